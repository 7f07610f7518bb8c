package configstore

import (
	"context"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/peerrpc"
)

// This file is how core machines compare their clocks, so that each can tell others a time that no single machine's clock sets.

const (
	clocksFirst  = 300 * time.Millisecond // after the start, until all members are known
	clocksEvery  = 10 * time.Second
	clocksWithin = 100 * time.Millisecond // an answer that takes longer says too little of the time
)

// compareClocks asks the other core machines for their time, again and again until the context ends.
func (s *Store) compareClocks(ctx context.Context) {
	wait := clocksFirst
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, clocksEvery)
		members := s.view.Status(time.Now()).Members
		s.clock.Keep(members)
		for _, address := range members {
			if address != s.set.Inner(s.set.IP, bootconfig.ConfigStorePort) {
				s.askClock(ctx, address)
			}
		}
	}
}

// askClock hears one machine. Its answer is of the middle of the time that it took.
func (s *Store) askClock(ctx context.Context, address string) {
	call, done := context.WithTimeout(ctx, deliverWithin) // as every call of a core machine: who ends one early ends its connection
	defer done()
	begun := time.Now()
	wallMS, err := peerrpc.Call[bool, int64](call, s.peers.At(address), "ConfigStore.Clock", new(bool))
	if err != nil {
		s.log.Debug("clock not heard", "err", err)
		return
	}
	if took := time.Since(begun); took < clocksWithin {
		s.clock.Hear(address, time.UnixMilli(wallMS), begun.Add(took/2))
	}
}
