package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults of core machines.
const (
	Kill            FaultKind = "kill"            // a process is killed and restarted
	KillAll         FaultKind = "kill-all"        // all processes are killed and restarted
	PowerLoss       FaultKind = "power"           // a machine loses power and what its disk had not synced
	PowerLossAll    FaultKind = "power-all"       // all machines lose power
	PowerLossInSave FaultKind = "power-in-save"   // a machine loses power between two disk operations
	KillInSave      FaultKind = "kill-in-save"    // a process is killed between two disk operations
	Freeze          FaultKind = "freeze"          // a process is stopped for a time
	Cut             FaultKind = "cut"             // some machines and the others can't reach each other
	CutOneWay       FaultKind = "cut-one-way"     // messages between some machines and the others are lost in one direction
	BadNetwork      FaultKind = "bad-network"     // messages are lost, duplicated and delayed
	Wipe            FaultKind = "wipe"            // a machine loses its disk
	WipeOnAck       FaultKind = "wipe-on-ack"     // the machine that is first to commit an update, and about to acknowledge it, loses its disk
	WipeAndPower    FaultKind = "wipe-and-power"  // as WipeOnAck, and all other machines lose power
	Replace         FaultKind = "replace"         // a machine is removed for good, and then a new one is added at another address
	ReplaceFirst    FaultKind = "replace-first"   // a new machine is added first, then the old one gets SIGTERM and is removed
	Terminate       FaultKind = "terminate"       // a process gets SIGTERM and is restarted
	DiskFull        FaultKind = "disk-full"       // all writes to a disk fail
	DiskSlow        FaultKind = "disk-slow"       // syncs of a disk take 30 times as long
	DiskSyncFails   FaultKind = "disk-sync-fails" // a sync fails and its data is lost
	UpdateStorm     FaultKind = "storm"           // operators update the configuration rapidly
	DutyDelay       FaultKind = "duty-stalls"     // a decision of the duty holder is proposed with a delay
)

// Fault is one fault to inject into a run.
type Fault struct {
	Kind     FaultKind
	At       time.Duration // since the start of the run
	Duration time.Duration
	Target   int // index of the machine or edge; targetLeader for the leader
	Param    int // random parameter, whose meaning depends on the kind
}

// targetLeader stands for the machine that leads when the fault is injected.
const targetLeader = -1

func (f Fault) String() string {
	who := fmt.Sprint(f.Target)
	if f.Target == targetLeader {
		who = "leader"
	}
	return fmt.Sprintf("%s at %.2fs for %.2fs on %s (%d)", f.Kind, f.At.Seconds(), f.Duration.Seconds(), who, f.Param)
}

// hostFaultKinds are the kinds that are drawn for core machines, weighted by how often each is listed.
var hostFaultKinds = []FaultKind{Kill, KillAll, PowerLoss, PowerLoss, PowerLossAll, PowerLossInSave, PowerLossInSave, Freeze, Freeze,
	Cut, Cut, CutOneWay, BadNetwork, Wipe, Wipe, WipeOnAck, WipeAndPower, WipeAndPower, Replace, ReplaceFirst, Terminate,
	DiskFull, DiskSlow, DiskSyncFails, UpdateStorm, DutyDelay}

// drawFaults draws the faults of core machines for a run, in order of time.
func drawFaults(rng *rand.Rand, machines int) (all []Fault) {
	randomDuration := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	}
	for range 3 + rng.IntN(10) {
		f := Fault{Kind: hostFaultKinds[rng.IntN(len(hostFaultKinds))], At: randomDuration(faultsStart, faultsEnd-time.Second),
			Target: rng.IntN(machines), Param: rng.IntN(1000)}
		if rng.IntN(3) == 0 {
			f.Target = targetLeader
		}
		switch f.Kind {
		case Freeze, Cut, CutOneWay:
			f.Duration = randomDuration(200*time.Millisecond, 20*time.Second)
		case DiskFull, DiskSlow, BadNetwork, UpdateStorm, DutyDelay:
			f.Duration = randomDuration(500*time.Millisecond, 8*time.Second)
		default:
			f.Duration = randomDuration(minRestartDelay, 3*time.Second)
		}
		f.Duration = min(f.Duration, faultsEnd-f.At)
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// The faults of the first start.
const (
	earlyFaultsEnd     = 500 * time.Millisecond // in which all machines start for the first time
	maxEarlySeries     = 3                      // how often a fault of the first start may be repeated
	maxEarlyRestart    = 700 * time.Millisecond
	earlySeriesSpacing = time.Second
)

// earlyFaultKinds are the kinds that are drawn for the first start.
var earlyFaultKinds = []FaultKind{Kill, KillAll, KillInSave, PowerLoss, PowerLossAll, PowerLossInSave, Terminate}

// drawEarlyFaults draws the faults of the first start of the cluster: kills and losses of power from its first moment on, of single machines
// or of all, alone or in series.
func drawEarlyFaults(rng *rand.Rand, machines int) (all []Fault) {
	for range rng.IntN(2 * machines) {
		kind := earlyFaultKinds[rng.IntN(len(earlyFaultKinds))]
		target, at := rng.IntN(machines), time.Duration(rng.Int64N(int64(earlyFaultsEnd)))
		for range 1 + rng.IntN(maxEarlySeries) {
			all = append(all, Fault{Kind: kind, At: at, Duration: time.Duration(rng.Int64N(int64(maxEarlyRestart))), Target: target, Param: rng.IntN(1000)})
			at += time.Duration(rng.Int64N(int64(earlySeriesSpacing)))
		}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// targetHost returns the machine that a fault is meant for; nil if there is none.
func (w *world) targetHost(f Fault) *host {
	if f.Target == targetLeader {
		return w.leader()
	}
	h := w.hosts[f.Target%len(w.hosts)]
	if h.removed {
		return nil
	}
	return h
}

// leader returns the leader of the highest term; nil if there is none.
func (w *world) leader() (best *host) {
	for _, h := range w.hosts {
		if h.machine != nil && h.machine.IsLeader() && (best == nil || h.machine.Term() > best.machine.Term()) {
			best = h
		}
	}
	return best
}

// injectFault injects a fault, unless its target is gone.
func (w *world) injectFault(f Fault) {
	if w.injectEdgeFault(f) {
		return
	}
	h := w.targetHost(f)
	if h == nil && f.Target == targetLeader {
		h = w.hosts[f.Param%len(w.hosts)]
	}
	if h == nil || h.removed {
		return
	}
	w.trace("%v: host %d", f, h.index)
	switch f.Kind {
	case Kill:
		h.kill(f.Duration)
	case PowerLoss:
		h.losePower(f.Duration)
	case KillAll, PowerLossAll:
		w.injectFaultOnAll(f, nil)
	case PowerLossInSave, KillInSave:
		h.disk.PowerLossAfter, h.killInSave = 1+f.Param%6, f.Kind == KillInSave
		h.markLost(f.Duration)
	case Freeze:
		h.freeze(f.Duration)
	case Cut, CutOneWay:
		w.cutOff(h, f)
	case BadNetwork:
		w.degradeNetwork(f)
	case Wipe, Replace, ReplaceFirst:
		w.injectDiskLoss(f, h)
	case WipeOnAck, WipeAndPower:
		w.clients.onFirstCommit = func(by *host) { w.wipeAfterCommit(f, by) }
	case Terminate:
		h.markLost(leaveTimeout + f.Duration)
		h.terminate(func() { h.startAfter(f.Duration) })
	case DiskFull, DiskSlow:
		w.degradeDisk(h, f)
	case DiskSyncFails:
		h.disk.FailSyncs = 1 + f.Param%2
		h.markLost(time.Second)
	case UpdateStorm:
		w.clients.updateStorm = true
		w.after(f.Duration, func() { w.clients.updateStorm = false })
	case DutyDelay:
		w.clients.dutyDelay = f.Duration
	}
}

// injectFaultOnAll kills all machines but one, or has them lose power, and restarts them.
func (w *world) injectFaultOnAll(f Fault, except *host) {
	for _, h := range w.hosts {
		if h.removed || h == except {
			continue
		}
		restartDelay := w.randomDuration(minRestartDelay, f.Duration+minRestartDelay)
		if f.Kind == KillAll {
			h.kill(restartDelay)
		} else {
			h.losePower(restartDelay)
		}
	}
}

// cutOff cuts a group of machines off from the others: up to as many as may fail at once, or half of them.
func (w *world) cutOff(first *host, f Fault) {
	size := 1 + f.Param%max(w.maxFailures, 1)
	if f.Param%5 == 0 {
		size = len(w.hosts) / 2
	}
	var inside, outside []string
	for i := range w.hosts {
		h := w.hosts[(first.index+i)%len(w.hosts)]
		if len(inside) < size {
			inside = append(inside, h.address)
		} else {
			outside = append(outside, h.address)
		}
		h.markLost(f.Duration)
	}
	from, to := inside, outside
	if f.Kind == CutOneWay && f.Param%2 == 0 {
		from, to = to, from
	}
	w.after(f.Duration, w.network.cut(from, to, f.Kind == Cut))
}

// degradeNetwork has messages lost, duplicated and delayed for the duration of the fault.
func (w *world) degradeNetwork(f Fault) {
	n := &w.network
	n.lossRate, n.duplicateRate, n.maxDelay, n.reliable = float64(f.Param%30)/100, float64(f.Param%20)/100,
		time.Duration(5+f.Param%300)*time.Millisecond, false
	for _, h := range w.hosts {
		h.markLost(f.Duration)
	}
	w.after(f.Duration, func() { n.lossRate, n.duplicateRate, n.maxDelay, n.reliable = 0, 0, defaultMaxDelay, true })
}

// degradeDisk makes a disk full or slow for the duration of the fault.
func (w *world) degradeDisk(h *host, f Fault) {
	h.markLost(f.Duration)
	if f.Kind == DiskFull {
		h.disk.Full = true
		w.after(f.Duration, func() { h.disk.Full = false })
		return
	}
	h.disk.Slow = true
	w.after(f.Duration, func() { h.disk.Slow = false })
}

const diskLossRetryInterval = 500 * time.Millisecond

// injectDiskLoss takes a machine's disk or the whole machine away, once no more machines than must be tolerated count as lost
// together with it; until then it retries.
func (w *world) injectDiskLoss(f Fault, h *host) {
	if h.removed || w.since() > faultsEnd-diskLossRetryInterval-minRestartDelay {
		return
	}
	if !w.mayLoseDisk(h) {
		w.after(diskLossRetryInterval, func() { w.injectDiskLoss(f, h) })
		return
	}
	w.checkRecovered()
	switch f.Kind {
	case Wipe:
		h.wipe(min(f.Duration, faultsEnd-w.since()))
	case Replace:
		w.trace("host %d is removed for good", h.index)
		h.remove()
		w.after(min(f.Duration, faultsEnd-w.since()), func() { w.addReplacement(h) })
	case ReplaceFirst:
		w.addReplacement(nil)
		w.after(time.Second, func() {
			h.markLost(leaveTimeout)
			h.terminate(func() {
				h.remove()
				h.lostUntil = w.now.Add(catchUpTimeout)
			})
		})
	}
}

// addReplacement adds a machine at a new address in place of predecessor, which may be nil.
func (w *world) addReplacement(predecessor *host) {
	h := w.addHost(len(w.hosts), false)
	h.predecessor = predecessor
	h.markLost(minRestartDelay)
}

// wipeAfterCommit wipes the disk of the machine that has just committed an update, within a few milliseconds.
func (w *world) wipeAfterCommit(f Fault, by *host) {
	w.clients.onFirstCommit = nil
	w.after(time.Duration(f.Param%4)*time.Millisecond, func() {
		if w.mayLoseDisk(by) && w.since() < faultsEnd-minRestartDelay {
			w.checkRecovered()
			if f.Kind == WipeAndPower { // the machine may restart before those that hold what it has lost
				w.injectFaultOnAll(Fault{Kind: PowerLossAll, Duration: f.Duration}, by)
				f.Duration = minRestartDelay
			}
			by.wipe(min(f.Duration, faultsEnd-w.since()))
		}
	})
}
