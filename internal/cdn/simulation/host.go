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
	stepTime           = 200 * time.Microsecond // processor time of one step, without disk syncs
	minRestartDelay    = 300 * time.Millisecond
	leaveTimeout       = 2 * time.Second
	tailEntries        = 24
	maxLogEntries      = 60
	snapshotPieceBytes = 1000
)

// host is a core machine: its disk, and its process if one runs.
type host struct {
	w           *world
	index       int
	address     string
	firstStart  bool  // its next process is the first one, at the first start of the cluster
	predecessor *host // removed machine that it replaces; nil once it has started
	removed     bool  // removed for good
	disk        *Disk

	machine        *configstore.Machine
	heartbeats     *registry.Heartbeats // heartbeats that its registry has received
	reporting      *reporting           // usage reporting, if it is simulated
	incarnation    int                  // counts starts and stops of its process
	pendingStarts  int                  // scheduled starts
	outbox         []consensus.Message
	busyUntil      time.Time
	frozen         bool
	inbox          []func()  // actions queued for the loop
	drainScheduled bool      // an iteration of the loop is scheduled
	deferred       []func()  // actions outside the loop that arrived while the process was frozen
	killInSave     bool      // what stops its disk is a kill, not a loss of power
	leaving        bool      // shutting down after SIGTERM
	lostUntil      time.Time // the machine counts as lost until then; includes time to recover
}

// addHost adds a machine and starts it after a short random delay.
func (w *world) addHost(index int, founder bool) *host {
	h := &host{w: w, index: index, address: addressOf(index), firstStart: founder, disk: NewDisk(w.options.Seed<<8 | uint64(index))}
	h.disk.IgnoreDirectorySync = w.options.SkipDirectorySync
	w.hosts = append(w.hosts, h)
	h.startAfter(w.randomDuration(0, 300*time.Millisecond))
	return h
}

// hostAt returns the machine with an address; nil if there is none.
func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

// up reports whether the process runs and is not frozen.
func (h *host) up() bool { return h.machine != nil && !h.frozen }

// startAfter starts the process after a delay, unless it runs or another start is pending then.
func (h *host) startAfter(d time.Duration) {
	h.pendingStarts++
	h.w.after(d, func() {
		h.pendingStarts--
		if h.machine == nil && !h.removed && h.pendingStarts == 0 {
			h.open()
		}
	})
}

// open starts the process. It schedules a retry if power is lost meanwhile or the disk is full.
func (h *host) open() {
	h.incarnation++
	machine, err := configstore.OpenMachine(h.config(), h.disk, h.w.now)
	switch {
	case h.disk.PowerFailed():
		h.crash()
		return
	case errors.Is(err, configstore.ErrDiskUnavailable):
		h.startAfter(100 * time.Millisecond)
		return
	case err != nil:
		h.w.fail("host %d failed to start: %v", h.index, err)
		return
	}
	h.machine, h.heartbeats = machine, registry.NewHeartbeats()
	if p := h.predecessor; p != nil {
		p.lostUntil, h.predecessor = h.w.now.Add(catchUpTimeout), nil
	}
	h.busyUntil = h.w.now.Add(h.disk.TakeSyncTime() + stepTime)
	h.w.trace("host %d started as %s", h.index, machine.Self().ID)
	h.tick()
	h.startReporting()
}

func (h *host) config() configstore.MachineConfig {
	w, incarnation, lease := h.w, h.incarnation, time.Duration(0)
	if w.options.Reports {
		lease = reportLease
	}
	return configstore.MachineConfig{DutyLease: lease, IP: ipOf(h.index), Address: h.address, Founders: w.founders, FirstStart: h.firstStart,
		Contacts: h.contacts(), Tolerate: w.maxFailures, Timing: consensus.DefaultTiming,
		Seed: w.options.Seed<<16 | uint64(h.index)<<8 | uint64(incarnation), Weak: w.options.Weak, Log: hclog.NewNullLogger(),
		Send: func(m consensus.Message) { h.outbox = append(h.outbox, m) }, Identity: func() string { return fmt.Sprint("life-", incarnation) },
		Clock:  func() time.Time { return w.now.Add(h.disk.SyncTime) },
		Limits: consensus.Limits{TailEntries: tailEntries, TailBytes: 1 << 20, PieceBytes: snapshotPieceBytes}, RenewEntries: maxLogEntries,
		Committed: func(all []consensus.Entry) { w.checkCommitted(h, all) }}
}

// contacts returns the addresses of three other existing machines, as the settings of a starting process name them.
func (h *host) contacts() (addresses []string) {
	for _, o := range h.w.hosts {
		if !o.removed && o != h && len(addresses) < len(h.w.founders) {
			addresses = append(addresses, o.address)
		}
	}
	return addresses
}

// tick schedules iterations of the process's loop at tickInterval, as its ticker does.
func (h *host) tick() {
	incarnation := h.incarnation
	h.enqueue(func() {})
	h.w.after(tickInterval, func() {
		if h.incarnation == incarnation && h.machine != nil {
			h.tick()
		}
	})
}

// enqueue queues do for the process's loop. It drops do if no process runs or the queue is full.
func (h *host) enqueue(do func()) {
	if h.machine == nil || len(h.inbox) >= maxInboxLength {
		return
	}
	h.inbox = append(h.inbox, do)
	h.drain()
}

// drain schedules an iteration of the loop, which runs all queued actions and then steps the machine once.
func (h *host) drain() {
	if h.drainScheduled || h.frozen || h.machine == nil {
		return
	}
	h.drainScheduled = true
	incarnation := h.incarnation
	h.w.at(laterOf(h.w.now, h.busyUntil), func() {
		if h.incarnation != incarnation || h.machine == nil {
			return
		}
		h.drainScheduled = false
		if h.frozen {
			return
		}
		inbox := h.inbox
		h.inbox = nil
		for _, do := range inbox {
			do()
		}
		h.step()
	})
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// step advances the machine, and sends its messages once the time for processor and disk has passed.
func (h *host) step() {
	if err := h.machine.Advance(h.w.now); err != nil && !h.disk.PowerFailed() {
		h.w.fail("host %d stopped with an error: %v", h.index, err)
		return
	}
	h.busyUntil = h.w.now.Add(h.disk.TakeSyncTime() + stepTime)
	if h.disk.PowerFailed() {
		h.crash()
		return
	}
	outbox := h.outbox
	h.outbox = nil
	incarnation := h.incarnation
	h.w.at(h.busyUntil, func() {
		if h.incarnation == incarnation && h.machine != nil { // else the process ended before the messages were sent
			for _, m := range outbox {
				h.w.sendConsensus(h, m)
			}
		}
	})
	h.w.checkAfterStep(h)
	if h.leaving && h.machine != nil && h.machine.LeaveDone() {
		h.w.trace("host %d has left", h.index)
		h.stop()
	}
}

// crash ends the process between two disk operations, by a loss of power or by a kill.
func (h *host) crash() {
	restartDelay := h.w.randomDuration(minRestartDelay, 2*time.Second)
	if h.killInSave {
		h.killInSave = false
		h.disk.RestorePower()
		h.kill(restartDelay)
		return
	}
	h.losePower(restartDelay)
}

// stop ends the process.
func (h *host) stop() {
	if h.machine != nil {
		h.machine.Close()
	}
	h.machine, h.outbox, h.inbox, h.deferred = nil, nil, nil, nil
	h.drainScheduled, h.frozen, h.leaving, h.firstStart = false, false, false, false
	h.incarnation++
}

// kill ends the process and schedules its restart. Its files stay as it left them, including unsynced writes.
func (h *host) kill(restartDelay time.Duration) {
	h.stop()
	h.markLost(restartDelay)
	h.startAfter(restartDelay)
}

// losePower ends the process, loses unsynced data of the disk and schedules a restart.
func (h *host) losePower(restartDelay time.Duration) {
	h.stop()
	h.disk.LosePower()
	h.markLost(restartDelay)
	h.startAfter(restartDelay)
}

// wipe ends the process, deletes everything on its disk and schedules a restart.
func (h *host) wipe(restartDelay time.Duration) {
	h.w.trace("host %d loses its disk", h.index)
	h.stop()
	h.disk.Wipe()
	h.w.disksLost++
	h.markLost(restartDelay)
	h.startAfter(restartDelay)
}

// remove removes the machine for good.
func (h *host) remove() {
	h.stop()
	h.removed = true
	h.w.disksLost++
	h.lostUntil = h.w.now.Add(time.Hour) // shortened once its replacement has started
}

// freeze stops the process for a time.
func (h *host) freeze(span time.Duration) {
	if h.machine == nil || h.frozen {
		return
	}
	h.frozen = true
	h.markLost(span)
	incarnation := h.incarnation
	h.w.after(span, func() {
		if h.incarnation == incarnation {
			h.thaw()
		}
	})
}

// thaw resumes the process and runs the deferred actions.
func (h *host) thaw() {
	if !h.frozen {
		return
	}
	h.frozen = false
	deferred := h.deferred
	h.deferred = nil
	for _, do := range deferred {
		do()
	}
	h.drain()
}

// terminate simulates SIGTERM: the process leaves the cluster and ends when it has left or after leaveTimeout. Then then is called.
func (h *host) terminate(then func()) {
	if h.machine == nil {
		then()
		return
	}
	h.leaving = true
	h.enqueue(func() { h.machine.Leave() })
	incarnation := h.incarnation
	var wait func()
	started := h.w.now
	wait = func() {
		if h.incarnation == incarnation && h.machine != nil && h.w.now.Sub(started) < leaveTimeout {
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

// markLost marks the machine as lost for span and for catchUpTimeout after it.
func (h *host) markLost(span time.Duration) {
	if until := h.w.now.Add(span + catchUpTimeout); until.After(h.lostUntil) {
		h.lostUntil = until
	}
	if until := h.w.now.Add(span); until.After(h.w.quietSince) {
		h.w.quietSince = until
	}
}

// isLost reports whether the machine counts as lost.
func (h *host) isLost() bool {
	return h.machine == nil && !h.removed || h.frozen || h.disk.Slow || h.disk.Full || h.w.now.Before(h.lostUntil)
}

// mayLoseDisk reports whether the machine may lose its disk now, in addition to those that count as lost.
func (w *world) mayLoseDisk(h *host) bool {
	if h.removed || h.machine == nil || !w.network.reliable || w.now.Before(w.noDiskLossUntil) {
		return false
	}
	others := 0
	for _, o := range w.hosts {
		if o != h && o.isLost() {
			others++
		}
	}
	return others < w.maxFailures
}

const lostCheckInterval = 50 * time.Millisecond

// trackLost checks periodically how many machines are lost. While more are lost than must be tolerated, it extends the time to recover
// of all machines, including those that replace a removed one: a machine that lost its disk before or is new can't become a voter
// without a majority.
func (w *world) trackLost() {
	if w.since() > faultsEnd {
		return
	}
	lost := 0
	for _, h := range w.hosts {
		if h.isLost() {
			lost++
		}
	}
	if lost > w.maxFailures {
		w.noDiskLossUntil = w.now.Add(catchUpTimeout)
		for _, h := range w.hosts {
			if h.removed && w.now.Before(h.lostUntil) && h.lostUntil.Before(w.noDiskLossUntil) {
				h.lostUntil = w.noDiskLossUntil
			}
		}
	}
	w.after(lostCheckInterval, w.trackLost)
}
