package simulation

import (
	"math/rand/v2"
	"time"

	"cedarmast/internal/cdn/consensus"
)

// network delays, loses, duplicates and reorders messages, and drops those that cross a cut. Each direction can be cut by itself.
type network struct {
	cutCounts     map[[2]string]int // number of active cuts by source and destination address
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
	reliable      bool // no degradation: messages are lost only over cuts
	activeCuts    map[int]func()
	lastCutID     int
}

const (
	minDelay          = 400 * time.Microsecond
	defaultMaxDelay   = 3 * time.Millisecond
	slowMessageFactor = 10 // one in 10 messages, on average, has 10 times the maximum delay
)

func newNetwork() network {
	return network{cutCounts: map[[2]string]int{}, maxDelay: defaultMaxDelay, reliable: true, activeCuts: map[int]func(){}}
}

// heal ends all cuts and restores the default delay without loss.
func (n *network) heal() {
	for _, end := range n.activeCuts {
		end()
	}
	clear(n.cutCounts)
	clear(n.activeCuts)
	n.lossRate, n.duplicateRate, n.maxDelay, n.reliable = 0, 0, defaultMaxDelay, true
}

// cut drops messages between two groups of addresses, one way or both, until the returned function is called.
func (n *network) cut(from, to []string, bothWays bool) (end func()) {
	adjust := func(delta int) {
		for _, a := range from {
			for _, b := range to {
				n.cutCounts[[2]string{a, b}] += delta
				if bothWays {
					n.cutCounts[[2]string{b, a}] += delta
				}
			}
		}
	}
	adjust(1)
	n.lastCutID++
	id := n.lastCutID
	n.activeCuts[id] = func() {}
	return func() {
		if _, active := n.activeCuts[id]; active {
			delete(n.activeCuts, id)
			adjust(-1)
		}
	}
}

func (n *network) reaches(from, to string) bool { return n.cutCounts[[2]string{from, to}] <= 0 }

// deliver calls arrive after the network delay, twice if the message is duplicated, never if it is lost.
func (w *world) deliver(from, to string, arrive func()) { w.deliverWith(w.rng, from, to, arrive) }

// deliverWith is deliver with a random source of the caller's.
func (w *world) deliverWith(rng *rand.Rand, from, to string, arrive func()) {
	if !w.network.reaches(from, to) || rng.Float64() < w.network.lossRate {
		return
	}
	maxDelay := w.network.maxDelay
	if rng.IntN(slowMessageFactor) == 0 {
		maxDelay *= slowMessageFactor
	}
	w.after(randomDuration(rng, minDelay, maxDelay), arrive)
	if rng.Float64() < w.network.duplicateRate {
		w.after(randomDuration(rng, minDelay, 2*w.network.maxDelay), arrive)
	}
}

// sendConsensus delivers a message of the consensus protocol to the host that it addresses.
func (w *world) sendConsensus(from *host, m consensus.Message) {
	w.messages++
	w.deliver(from.address, m.ToAddr, func() {
		to := w.hostAt(m.ToAddr)
		if to == nil || to.machine == nil || !w.network.reaches(from.address, m.ToAddr) {
			return
		}
		to.enqueue(func() { to.machine.Deliver(w.now, []consensus.Message{m}) })
	})
}
