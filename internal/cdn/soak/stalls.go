package soak

import (
	"context"
	"time"
)

// How stalls of this process, which plays the clients and the servers, are noticed: a timer that fires late by minLoggedStall is logged.
const (
	stallCheckInterval = 20 * time.Millisecond
	minLoggedStall     = 200 * time.Millisecond
)

// logStalls logs when this process itself stood still, until the context ends: what it observes is late by that much.
func (s *soakRun) logStalls(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if late := now.Sub(last) - stallCheckInterval; late > minLoggedStall {
			s.logf("clients and servers stood still for %s", late.Round(time.Millisecond))
		}
		last = now
	}
}
