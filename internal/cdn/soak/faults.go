package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// fault is a planned fault or administrative action on a machine.
type fault struct {
	kind            string
	machine         *localnet.Machine
	start, duration time.Duration
	repeats         int           // how often a kill, restart or reload is repeated, each soon after the one before
	gap             time.Duration // between two of them: a process may be signaled as soon as it has started
	killAfter       time.Duration // from SIGTERM to SIGKILL, for a restart whose shutdown is cut short; 0: it is not
	successorAfter  time.Duration // from SIGTERM to the start of successors, beside the processes that still shut down; 0: once those have ended
}

// The kinds of faults of machines. Faults of servers are drawn per request; see stubServer.drawRun.
const (
	kill    = "kill"    // SIGKILL, and a start after the fault's duration
	pause   = "pause"   // SIGSTOP and SIGCONT, like a network partition: nothing is lost, and nothing is received meanwhile
	restart = "restart" // SIGTERM and a start, with reloads before and during the shutdown
	reload  = "reload"  // the settings file changes, and SIGHUP is sent
)

// How long faults last, and how they are drawn.
const (
	minFaultDuration     = 300 * time.Millisecond
	faultDurationSpread  = time.Second
	longPauseFraction    = 0.3 // of the pauses last longer than `revoke`
	longPauseSpread      = 1500 * time.Millisecond
	reloadFraction       = 0.2
	reloadsPerRestart    = 3 // SIGHUPs around a graceful shutdown
	reloadInterval       = 120 * time.Millisecond
	smallNetworkMachines = 8 // machines; on a larger network each has fewer faults, so that as many overlap
	seriesFraction       = 0.3
	maxRepeats           = 2
	maxRepeatGap         = 400 * time.Millisecond
	cutShortFraction     = 0.3
	maxKillDelay         = 3 * time.Second
	overlapFraction      = 0.4 // of the restarts, in which successors start while their predecessors still run
	maxSuccessorDelay    = 500 * time.Millisecond
)

// drawFaults draws the faults of all machines so that two or three, each on another machine, overlap most of the time.
func drawFaults(rng *rand.Rand, dayLength time.Duration, n *localnet.Network) []fault {
	var faults []fault
	for i, m := range n.Machines {
		intervalFactor := time.Duration(1)
		if i >= n.Core {
			intervalFactor = time.Duration(max(len(n.Machines)/smallNetworkMachines, 1))
		}
		for at := time.Duration(rng.Int64N(int64(dayLength / 2 * intervalFactor))); at < dayLength; {
			f := drawFault(rng, n.Revoke)
			f.machine, f.start = m, at
			faults = append(faults, f)
			at += time.Duration(1+f.repeats)*(f.duration+f.gap) + intervalFactor*(2*time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
		}
	}
	return faults
}

// drawFault draws the kind and duration of one fault. Some pauses last longer than revoke.
func drawFault(rng *rand.Rand, revoke time.Duration) fault {
	f := fault{duration: minFaultDuration + time.Duration(rng.Int64N(int64(faultDurationSpread)))}
	if rng.Float64() < seriesFraction {
		f.repeats, f.gap = 1+rng.IntN(maxRepeats), time.Duration(rng.Int64N(int64(maxRepeatGap)))
	}
	if rng.Float64() < reloadFraction {
		f.kind = reload
		return f
	}
	f.kind = []string{kill, pause, restart}[rng.IntN(3)]
	if f.kind == pause && rng.Float64() < longPauseFraction {
		f.duration = revoke + time.Duration(rng.Int64N(int64(longPauseSpread)))
	}
	if f.kind == restart && rng.Float64() < cutShortFraction {
		f.killAfter = 1 + time.Duration(rng.Int64N(int64(maxKillDelay)))
	}
	if f.kind == restart && rng.Float64() < overlapFraction {
		f.successorAfter = 1 + time.Duration(rng.Int64N(int64(maxSuccessorDelay)))
	}
	return f
}

// inject waits for the start of a fault, applies it and restores the machine, as often as the fault is repeated.
func (s *soakRun) inject(ctx context.Context, f fault) {
	if sleep(ctx, f.start) != nil {
		return
	}
	for range 1 + f.repeats {
		s.injectOnce(ctx, f)
		if sleep(ctx, f.gap) != nil {
			return
		}
	}
}

// injectOnce applies a fault and restores the machine.
func (s *soakRun) injectOnce(ctx context.Context, f fault) {
	s.logf("%s: %s for %s", f.machine.Name, f.kind, f.duration.Round(time.Millisecond))
	faultEnded := s.recorder.faultStarted(f.machine.Name, f.kind)
	defer faultEnded()
	switch f.kind {
	case kill:
		s.net.Signal(f.machine, syscall.SIGKILL)
		sleep(ctx, f.duration)
	case restart:
		s.restart(f)
	case reload:
		s.reload(f.machine)
		sleep(ctx, f.duration)
	case pause:
		s.net.Signal(f.machine, syscall.SIGSTOP)
		sleep(ctx, f.duration)
		s.net.Signal(f.machine, syscall.SIGCONT)
		return
	}
	if err := s.net.StartMachine(f.machine); err != nil {
		s.recorder.addViolation("%s does not start: %v", f.machine.Name, err)
	}
}

// restart shuts a machine's processes down with SIGTERM. It reloads their settings before and during the shutdown, and sends SIGTERM once
// more. Successors may be started beside them: the last SIGTERM may reach those, which are started once more at the end.
func (s *soakRun) restart(f fault) {
	m := f.machine
	var signals sync.WaitGroup
	signals.Go(func() {
		for range reloadsPerRestart {
			s.reload(m)
			time.Sleep(reloadInterval)
		}
		s.net.Signal(m, syscall.SIGTERM)
	})
	time.Sleep(reloadInterval / 2)
	ended := make(chan struct{})
	if f.killAfter > 0 {
		signals.Go(func() { s.cutShort(m, f.killAfter, ended) })
	}
	if f.successorAfter > 0 {
		signals.Go(func() { s.startSuccessors(m, f.successorAfter) })
	}
	s.net.Signal(m, syscall.SIGTERM)
	close(ended)
	signals.Wait()
}

// startSuccessors starts a machine's processes anew, whether their predecessors have ended or not.
func (s *soakRun) startSuccessors(m *localnet.Machine, delay time.Duration) {
	time.Sleep(delay)
	s.logf("%s: successors start %s after SIGTERM", m.Name, delay.Round(time.Millisecond))
	if err := s.net.StartSuccessors(m); err != nil {
		s.recorder.addViolation("%s: successors do not start: %v", m.Name, err)
	}
}

// cutShort kills a machine's processes after a delay, unless they have ended by then.
func (s *soakRun) cutShort(m *localnet.Machine, delay time.Duration, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-time.After(delay):
		s.logf("%s: killed while it shuts down", m.Name)
		defer s.recorder.faultStarted(m.Name, kill)()
		s.net.Signal(m, syscall.SIGKILL)
	}
}

// reload rewrites a machine's settings and signals its processes.
func (s *soakRun) reload(m *localnet.Machine) { s.reloadOn(s.net, m) }

// reloadOn is reload on a network that is not started completely.
func (s *soakRun) reloadOn(n *localnet.Network, m *localnet.Machine) {
	if err := n.Reload(m); err != nil {
		s.recorder.addViolation("%s: can't write its settings: %v", m.Name, err)
	}
}
