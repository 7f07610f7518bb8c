package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// After the day, while nothing is disturbed, a shelf is shortened and the answers are judged. Then a configuration is put, and all processes
// are killed right after it was answered.

const (
	longShelf        = 10 * time.Second
	closingReadPause = 100 * time.Millisecond // of each client between two requests
	closingObjects   = 8                      // number of objects that are read
	minOutage        = 300 * time.Millisecond // of all machines
	outageSpread     = 600 * time.Millisecond
	recoveryTimeout  = 15 * time.Second // from the start of the processes until all proxies are ready
)

// shortShelves are the shelves of which one replaces longShelf.
var shortShelves = []time.Duration{0, 300 * time.Millisecond, time.Second}

// playShorterShelf keeps objects under a long shelf, shortens it, replaces the objects and reads them. checkStale judges the answers.
func (s *soakRun) playShorterShelf(ctx context.Context, rng *rand.Rand) {
	if !s.putCalmShelf(ctx, longShelf) {
		return
	}
	s.readObjects(ctx, "long", editionTime+500*time.Millisecond)
	shelf := shortShelves[rng.IntN(len(shortShelves))]
	if !s.putCalmShelf(ctx, shelf) {
		return
	}
	if sleep(ctx, editionTime) != nil {
		return
	}
	s.objects.replace()
	s.logf("the shelf of cached objects is %s, and they are replaced", shelf)
	s.readObjects(ctx, "short", shelf+staleSlack+time.Second)
}

// putCalmShelf is putShelf while nothing is disturbed, so that the configuration must be acknowledged.
func (s *soakRun) putCalmShelf(ctx context.Context, shelf time.Duration) bool {
	acknowledged := s.putShelf(ctx, shelf)
	if !acknowledged {
		s.recorder.addViolation("a configuration can't be read or put once the faults are over")
	}
	return acknowledged
}

// stopCaching takes the shelf of cached objects away, so that proxies refresh none of their own accord. It tries until the context ends.
func (s *soakRun) stopCaching(ctx context.Context) {
	for ctx.Err() == nil && !s.putShelf(ctx, 0) {
		sleep(ctx, retryInterval)
	}
}

// putShelf puts a configuration that gives cached objects a shelf, and reports whether it is acknowledged.
func (s *soakRun) putShelf(ctx context.Context, shelf time.Duration) bool {
	base := s.operators.current(ctx)
	if base == nil {
		return false
	}
	v := s.operators.newChange(base, valid)
	for name, f := range v.fields {
		if isCachedPath("/" + name + "/") {
			f.shelf = shelf
			v.fields[name] = f
		}
	}
	v.encode()
	s.operators.put(ctx, v, 0)
	return v.result == acknowledged
}

// readObjects has a client at each proxy request objects for a time.
func (s *soakRun) readObjects(ctx context.Context, phase string, span time.Duration) {
	phaseCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var clients sync.WaitGroup
	for n, edge := range s.net.EdgeMachines() {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(s.Seed, uint64(9000+n)))
			for turn := 0; sleep(phaseCtx, closingReadPause) == nil; turn++ {
				s.readObject(ctx, edge, fmt.Sprintf("%d-%s-%d-%d", s.Seed, phase, n, turn), rng)
			}
		})
	}
	clients.Wait()
}

// readObject requests one cached object.
func (s *soakRun) readObject(ctx context.Context, edge *localnet.Machine, id string, rng *rand.Rand) {
	for _, kind := range requestKinds {
		if kind.cached {
			s.sendRequest(ctx, &request{id: id, path: fmt.Sprintf("/%s/%d", kind.name, rng.IntN(closingObjects)), kind: kind, edge: edge.Name,
				behavior: waitsForAnswer, key: s.liveKey(rng), keyLive: true}, edge.ClientAddress())
		}
	}
}

// playClosingFault puts a configuration, kills all processes right after its answer, and starts them again. The configuration is valid, or
// has a defect and must be refused.
func (s *soakRun) playClosingFault(ctx context.Context, rng *rand.Rand) {
	if base := s.operators.current(ctx); base != nil {
		kind := valid
		if rng.IntN(2) == 0 {
			kind = textDefects[rng.IntN(len(textDefects))]
		}
		v := s.operators.newChange(base, kind)
		s.operators.put(ctx, v, rng.IntN(s.Shape.Core))
		s.logf("r%d is put (%q, result %d), and all processes are killed", v.edition, v.defect, v.result)
	}
	var faults []func()
	for _, m := range s.net.Machines {
		faults = append(faults, s.recorder.faultStarted(m.Name, kill))
	}
	var killed sync.WaitGroup
	for _, m := range s.net.Machines {
		killed.Go(func() { s.net.Signal(m, syscall.SIGKILL) })
	}
	killed.Wait()
	sleep(ctx, minOutage+time.Duration(rng.Int64N(int64(outageSpread))))
	for i, m := range s.net.Machines {
		if err := s.net.StartMachine(m); err != nil {
			s.recorder.addViolation("%s does not start: %v", m.Name, err)
		}
		faults[i]()
	}
	s.waitReady(ctx)
}

// waitReady waits until all proxies are ready, and records those that are not within recoveryTimeout.
func (s *soakRun) waitReady(ctx context.Context) {
	readyCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, m := range s.net.EdgeMachines() {
		for !s.net.Ready(m) {
			if sleep(readyCtx, 20*time.Millisecond) != nil {
				s.recorder.addViolation("%s is not ready within %s after all processes were killed", m.Name, recoveryTimeout)
				break
			}
		}
	}
}
