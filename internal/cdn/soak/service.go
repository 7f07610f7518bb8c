package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// The probes that show whether a proxy serves after the faults: a number of sequential requests to each proxy.
const (
	probeCount         = 30
	probeTimeout       = 20 * time.Second
	probeRetryInterval = 5 * time.Millisecond // after a probe that was not served
)

// probeResult summarizes the probes of one proxy.
type probeResult struct {
	served           int
	failures         map[string]int // by status or error
	slowest          time.Duration
	elapsed          time.Duration
	firstServedAfter time.Duration // from the start to the end of the first probe served
}

func (r probeResult) String() string {
	text := fmt.Sprintf("serves %d of %d after the faults, in %s", r.served, probeCount, r.elapsed.Round(time.Millisecond))
	if r.served > 0 {
		text += fmt.Sprintf(", the first after %s, the slowest probe took %s", r.firstServedAfter.Round(time.Millisecond), r.slowest.Round(time.Millisecond))
	}
	for _, outcome := range slices.Sorted(maps.Keys(r.failures)) {
		text += fmt.Sprintf("; %d times %s", r.failures[outcome], outcome)
	}
	return text
}

// checkServing checks that every proxy serves again after the faults: neither admission slots nor healthy servers were lost.
// Proxies are probed concurrently, each with its own deadline, so that one that serves hardly anything does not hide the results of
// the others.
func (s *soakRun) checkServing(ctx context.Context) {
	var probes sync.WaitGroup
	for _, m := range s.net.EdgeMachines() {
		probes.Go(func() {
			result := s.probe(ctx, m)
			s.logf("%s %s", m.Name, result)
			if result.served < probeCount {
				s.recorder.addViolation("%s %s", m.Name, result)
				s.logMetrics(ctx, m)
			}
		})
	}
	probes.Wait()
}

// probe sends requests to a proxy until probeCount were served or probeTimeout expires.
func (s *soakRun) probe(ctx context.Context, m *localnet.Machine) (result probeResult) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result.failures = map[string]int{}
	key := pickKey(s.operators.history.newest().keys, rand.New(rand.NewPCG(s.Seed, 5)))
	start := time.Now()
	for n := 0; result.served < probeCount && probeCtx.Err() == nil; n++ {
		started := time.Now()
		status, err := s.net.RequestWithKey(m, "shop.example", fmt.Sprintf("/again/probe-%s-%d", m.Name, n),
			fmt.Sprintf("probe-%s-%d-%d", m.Name, s.Seed, n), key)
		result.slowest = max(result.slowest, time.Since(started))
		switch {
		case err == nil && status == 200:
			if result.served++; result.served == 1 {
				result.firstServedAfter = time.Since(start)
			}
			continue
		case err != nil:
			result.failures[errorReason(err)]++
		default:
			result.failures[fmt.Sprint(status)]++
		}
		sleep(probeCtx, probeRetryInterval)
	}
	result.elapsed = time.Since(start)
	return result
}

// errorReason returns the last part of an error's text, which contains no ports.
func errorReason(err error) string {
	text := err.Error()
	return strings.TrimSpace(text[strings.LastIndexByte(text, ':')+1:])
}

// logMetrics logs the metrics of a proxy that fails its probes, and the status of the core machines.
func (s *soakRun) logMetrics(ctx context.Context, m *localnet.Machine) {
	s.net.Signal(m, syscall.SIGUSR1) // dumps the state of its decisions to its log
	if text, err := s.net.ReadMetrics(ctx, m); err == nil {
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, "#") {
				s.logf("%s: %s", m.Name, strings.TrimSpace(line))
			}
		}
	}
	for _, core := range s.net.CoreMachines() {
		_, status, err := s.net.ControlAt(ctx, core, "GET", "/status", nil)
		s.logf("%s: %s %v", core.Name, strings.TrimSpace(string(status)), err)
	}
}
