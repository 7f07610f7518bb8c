package simulation

import (
	"math/rand/v2"
	"time"

	"cedarmast/internal/cdn/consensus"
)

// network is how messages travel: with delay, lost, doubled, out of order, and not at all over a cut, either way by itself.
type network struct {
	cuts   map[[2]string]int // from one address to another
	loss   float64
	double float64
	jitter time.Duration
	calm   bool // nothing is lost or late by the network's own
	cutNow map[int]func()
	nextID int
}

const (
	leastDelay = 400 * time.Microsecond
	usualDelay = 3 * time.Millisecond
	lateOne    = 10 // in so many messages takes so many times as long
)

func newNetwork() network {
	return network{cuts: map[[2]string]int{}, jitter: usualDelay, calm: true, cutNow: map[int]func(){}}
}

func (n *network) heal() {
	for _, end := range n.cutNow {
		end()
	}
	clear(n.cuts)
	clear(n.cutNow)
	n.loss, n.double, n.jitter, n.calm = 0, 0, usualDelay, true
}

// cut cuts two groups off from each other, one way or both, until the returned function is called.
func (n *network) cut(from, to []string, bothWays bool) (end func()) {
	change := func(by int) {
		for _, a := range from {
			for _, b := range to {
				n.cuts[[2]string{a, b}] += by
				if bothWays {
					n.cuts[[2]string{b, a}] += by
				}
			}
		}
	}
	change(1)
	n.nextID++
	id := n.nextID
	n.cutNow[id] = func() {}
	return func() {
		if _, there := n.cutNow[id]; there {
			delete(n.cutNow, id)
			change(-1)
		}
	}
}

func (n *network) reaches(from, to string) bool { return n.cuts[[2]string{from, to}] <= 0 }

// carry brings something from one address to another, unless it is lost on its way.
func (w *world) carry(from, to string, arrive func()) { w.carryBy(w.rng, from, to, arrive) }

// carryBy is carry by a lot of the caller's.
func (w *world) carryBy(rng *rand.Rand, from, to string, arrive func()) {
	if !w.network.reaches(from, to) || rng.Float64() < w.network.loss {
		return
	}
	most := w.network.jitter
	if rng.IntN(lateOne) == 0 {
		most *= lateOne
	}
	w.after(between(rng, leastDelay, most), arrive)
	if rng.Float64() < w.network.double {
		w.after(between(rng, leastDelay, 2*w.network.jitter), arrive)
	}
}

// transmit brings a message of the agreement.
func (w *world) transmit(from *host, m consensus.Message) {
	w.messages++
	w.carry(from.address, m.ToAddr, func() {
		to := w.hostAt(m.ToAddr)
		if to == nil || to.machine == nil || !w.network.reaches(from.address, m.ToAddr) {
			return
		}
		to.run(func() { to.machine.Deliver(w.now, []consensus.Message{m}) })
	})
}
