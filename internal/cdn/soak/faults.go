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
			at += f.duration + intervalFactor*(2*time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
		}
	}
	return faults
}

// drawFault draws the kind and duration of one fault. Some pauses last longer than revoke.
func drawFault(rng *rand.Rand, revoke time.Duration) fault {
	f := fault{duration: minFaultDuration + time.Duration(rng.Int64N(int64(faultDurationSpread)))}
	if rng.Float64() < reloadFraction {
		f.kind = reload
		return f
	}
	f.kind = []string{kill, pause, restart}[rng.IntN(3)]
	if f.kind == pause && rng.Float64() < longPauseFraction {
		f.duration = revoke + time.Duration(rng.Int64N(int64(longPauseSpread)))
	}
	return f
}

// inject waits for the start of a fault, applies it and restores the machine.
func (s *soakRun) inject(ctx context.Context, f fault) {
	if sleep(ctx, f.start) != nil {
		return
	}
	s.logf("%s: %s for %s", f.machine.Name, f.kind, f.duration.Round(time.Millisecond))
	faultEnded := s.recorder.faultStarted(f.machine.Name, f.kind)
	defer faultEnded()
	switch f.kind {
	case kill:
		s.net.Signal(f.machine, syscall.SIGKILL)
		sleep(ctx, f.duration)
	case restart:
		s.restart(f.machine)
	case reload:
		s.reload(f.machine)
		sleep(ctx, f.duration)
		return
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

// restart shuts a machine's processes down with SIGTERM, and reloads its settings before and during the shutdown.
func (s *soakRun) restart(m *localnet.Machine) {
	var reloads sync.WaitGroup
	reloads.Go(func() {
		for range reloadsPerRestart {
			s.reload(m)
			time.Sleep(reloadInterval)
		}
	})
	time.Sleep(reloadInterval / 2)
	s.net.Signal(m, syscall.SIGTERM)
	reloads.Wait()
}

// reload rewrites a machine's settings and signals its processes.
func (s *soakRun) reload(m *localnet.Machine) {
	if err := s.net.Reload(m); err != nil {
		s.recorder.addViolation("%s: can't write its settings: %v", m.Name, err)
	}
}
