package simulation

import (
	"errors"
	"fmt"
	"time"

	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/registry"

	"github.com/hashicorp/go-hclog"
)

const (
	turnTime     = 200 * time.Microsecond // of the processor, beside what the disk takes
	restartAfter = 300 * time.Millisecond
	leaveWithin  = 2 * time.Second
	tailEntries  = 24
	renewEntries = 60
	pieceBytes   = 1000
)

// host is one core machine: its disk, and the process on it, if one runs.
type host struct {
	w           *world
	index       int
	address     string
	founder     bool  // it was there at the first start
	predecessor *host // whose place it takes, until it has started
	gone        bool  // for good
	disk        *Disk
	wipes       int

	machine     *configstore.Machine
	beats       *registry.Beats // of the registry beside it
	reporting   *reporting      // its part in the duty, if that is played
	incarnation int             // of its processes
	opening     int             // starts that are under way
	outbox      []consensus.Message
	busyUntil   time.Time
	frozen      bool
	inbox       []func() // what waits for its loop
	draining    bool     // the loop is to come round
	waiting     []func() // what came to its other goroutines while it was frozen
	leaving     bool
	lostUntil   time.Time // it counts as lost, and for a while after it is back
}

func (w *world) addHost(index int, founder bool) *host {
	h := &host{w: w, index: index, address: addressOf(index), founder: founder, disk: NewDisk(w.options.Seed<<8 | uint64(index))}
	h.disk.IgnoreFolderSync = w.options.NoSync
	w.hosts = append(w.hosts, h)
	h.startAfter(w.between(0, 300*time.Millisecond))
	return h
}

func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

func (h *host) up() bool { return h.machine != nil && !h.frozen }

// startAfter starts the process after a while.
func (h *host) startAfter(d time.Duration) {
	h.opening++
	h.w.after(d, func() {
		h.opening--
		if h.machine == nil && !h.gone && h.opening == 0 {
			h.open()
		}
	})
}

func (h *host) open() {
	h.incarnation++
	machine, err := configstore.OpenMachine(h.config(), h.disk, h.w.now)
	switch {
	case h.disk.Died():
		h.losePower(h.w.between(restartAfter, 2*time.Second))
		return
	case errors.Is(err, configstore.ErrNotBegun):
		h.startAfter(100 * time.Millisecond)
		return
	case err != nil:
		h.w.fail("host %d does not open: %v", h.index, err)
		return
	}
	h.machine, h.beats = machine, registry.NewBeats()
	if p := h.predecessor; p != nil {
		p.lostUntil, h.predecessor = h.w.now.Add(catchUp), nil
	}
	h.busyUntil = h.w.now.Add(h.disk.TakeSpent() + turnTime)
	h.w.trace("host %d starts as %s", h.index, machine.Self().ID)
	h.tick()
	h.beginReporting()
}

func (h *host) config() configstore.MachineConfig {
	w, incarnation, lease := h.w, h.incarnation, time.Duration(0)
	if w.options.Reports {
		lease = reportLease
	}
	return configstore.MachineConfig{DutyLease: lease, IP: ipOf(h.index), Address: h.address, Founders: w.founders, FirstStart: h.founder && h.wipes == 0,
		Contacts: h.seeds(), Tolerate: w.tolerate, Timing: consensus.Usual,
		Seed: w.options.Seed<<16 | uint64(h.index)<<8 | uint64(incarnation), Weak: w.options.Weak, Log: hclog.NewNullLogger(),
		Send: func(m consensus.Message) { h.outbox = append(h.outbox, m) }, Identity: func() string { return fmt.Sprint("life-", incarnation) },
		Clock:  func() time.Time { return w.now.Add(h.disk.Spent) },
		Limits: consensus.Limits{TailEntries: tailEntries, TailBytes: 1 << 20, PieceBytes: pieceBytes}, RenewEntries: renewEntries,
		Committed: func(all []consensus.Entry) { w.checkCommitted(h, all) }}
}

// seeds are three machines that are there when a process is started, as its settings name them.
func (h *host) seeds() (addresses []string) {
	for _, o := range h.w.hosts {
		if !o.gone && o != h && len(addresses) < len(h.w.founders) {
			addresses = append(addresses, o.address)
		}
	}
	return addresses
}

// tick lets the process's loop come round, as its ticker does.
func (h *host) tick() {
	incarnation := h.incarnation
	h.run(func() {})
	h.w.after(tickEvery, func() {
		if h.incarnation == incarnation && h.machine != nil {
			h.tick()
		}
	})
}

// run does something in the process, when its loop comes to it.
func (h *host) run(do func()) {
	if h.machine == nil || len(h.inbox) >= mostInFlight {
		return
	}
	h.inbox = append(h.inbox, do)
	h.drain()
}

// drain lets the loop come round: it takes all that waits, then turns once.
func (h *host) drain() {
	if h.draining || h.frozen || h.machine == nil {
		return
	}
	h.draining = true
	incarnation := h.incarnation
	h.w.at(later(h.w.now, h.busyUntil), func() {
		if h.incarnation != incarnation || h.machine == nil {
			return
		}
		h.draining = false
		if h.frozen {
			return
		}
		inbox := h.inbox
		h.inbox = nil
		for _, do := range inbox {
			do()
		}
		h.turn()
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *host) turn() {
	if err := h.machine.Turn(h.w.now); err != nil && !h.disk.Died() {
		h.w.fail("host %d ends: %v", h.index, err)
		return
	}
	h.busyUntil = h.w.now.Add(h.disk.TakeSpent() + turnTime)
	if h.disk.Died() {
		h.losePower(h.w.between(restartAfter, 2*time.Second))
		return
	}
	outbox := h.outbox
	h.outbox = nil
	incarnation := h.incarnation
	h.w.at(h.busyUntil, func() {
		if h.incarnation == incarnation && h.machine != nil { // else it ended before they left
			for _, m := range outbox {
				h.w.transmit(h, m)
			}
		}
	})
	h.w.checkTurn(h)
	if h.leaving && h.machine != nil && h.machine.Left() {
		h.w.trace("host %d has left", h.index)
		h.stop()
	}
}

// stop ends the process.
func (h *host) stop() {
	if h.machine != nil {
		h.machine.Close()
	}
	h.machine, h.outbox, h.inbox, h.waiting = nil, nil, nil, nil
	h.draining, h.frozen, h.leaving = false, false, false
	h.incarnation++
}

// kill ends the process; its files stay as it left them.
func (h *host) kill(back time.Duration) {
	h.stop()
	h.lost(back)
	h.startAfter(back)
}

func (h *host) losePower(back time.Duration) {
	h.stop()
	h.disk.PowerLost()
	h.lost(back)
	h.startAfter(back)
}

// wipe takes the disk away as well.
func (h *host) wipe(back time.Duration) {
	h.w.trace("host %d loses its disk", h.index)
	h.stop()
	h.disk.Wipe()
	h.w.disksLost++
	h.wipes++
	h.lost(back)
	h.startAfter(back)
}

// remove takes the machine away for good.
func (h *host) remove() {
	h.stop()
	h.gone = true
	h.w.disksLost++
	h.lostUntil = h.w.now.Add(time.Hour) // until its successor has had its time
}

func (h *host) freeze(span time.Duration) {
	if h.machine == nil || h.frozen {
		return
	}
	h.frozen = true
	h.lost(span)
	incarnation := h.incarnation
	h.w.after(span, func() {
		if h.incarnation == incarnation {
			h.thaw()
		}
	})
}

func (h *host) thaw() {
	if !h.frozen {
		return
	}
	h.frozen = false
	waiting := h.waiting
	h.waiting = nil
	for _, turn := range waiting {
		turn()
	}
	h.drain()
}

// terminate is SIGTERM: the process leaves, and ends when it may or when its time is over.
func (h *host) terminate(then func()) {
	if h.machine == nil {
		then()
		return
	}
	h.leaving = true
	h.run(func() { h.machine.Leave() })
	incarnation := h.incarnation
	var wait func()
	begun := h.w.now
	wait = func() {
		if h.incarnation == incarnation && h.machine != nil && h.w.now.Sub(begun) < leaveWithin {
			h.w.after(10*time.Millisecond, wait)
			return
		}
		if h.incarnation == incarnation {
			h.stop()
		}
		then()
	}
	wait()
}

// lost notes that the machine counts as lost for a span, and for a while after it.
func (h *host) lost(span time.Duration) {
	if until := h.w.now.Add(span + catchUp); until.After(h.lostUntil) {
		h.lostUntil = until
	}
	if until := h.w.now.Add(span); until.After(h.w.calm) {
		h.w.calm = until
	}
}

// isLost tells whether a machine counts as lost.
func (h *host) isLost() bool {
	return h.machine == nil && !h.gone || h.frozen || h.disk.Slow || h.disk.Full || h.w.now.Before(h.lostUntil)
}

// mayLose tells whether one more machine may lose its disk now, beside those that count as lost.
func (w *world) mayLose(h *host) bool {
	if h.gone || h.machine == nil || !w.network.calm || w.now.Before(w.tooMany) {
		return false
	}
	others := 0
	for _, o := range w.hosts {
		if o != h && o.isLost() {
			others++
		}
	}
	return others < w.tolerate
}

const countLostEvery = 50 * time.Millisecond

// countLost gives all machines their time anew to come back after more were lost than must be tolerated, and to those that
// succeed one that is gone: whoever lost its disk before, or has come, can't become a voter without a majority.
func (w *world) countLost() {
	if w.since() > faultsUntil {
		return
	}
	lost := 0
	for _, h := range w.hosts {
		if h.isLost() {
			lost++
		}
	}
	if lost > w.tolerate {
		w.tooMany = w.now.Add(catchUp)
		for _, h := range w.hosts {
			if h.gone && w.now.Before(h.lostUntil) && h.lostUntil.Before(w.tooMany) {
				h.lostUntil = w.tooMany
			}
		}
	}
	w.after(countLostEvery, w.countLost)
}
