package configstore

import (
	"context"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/peerrpc"
)

// Clock comparison between core machines: each estimates the time of day from the clocks of all members, so that no single
// wrong clock determines it.

const (
	firstClockInterval = 300 * time.Millisecond // first wait after the start, until the members are known; then doubled up to maxClockInterval
	maxClockInterval   = 10 * time.Second
	maxClockRoundTrip  = 100 * time.Millisecond // replies with a longer round trip are discarded as too imprecise
)

// compareClocks periodically reads the clocks of the other core machines until the context is done.
func (s *Store) compareClocks(ctx context.Context) {
	wait := firstClockInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, maxClockInterval)
		members := s.view.Status(time.Now()).Members
		s.clock.RetainSources(members)
		for _, address := range members {
			if address != s.settings.InternalAddress(s.settings.IP, bootconfig.ConfigStorePort) {
				s.queryClock(ctx, address)
			}
		}
	}
}

// queryClock reads the clock of one machine. The reply is taken as its time in the middle of the round trip.
func (s *Store) queryClock(ctx context.Context, address string) {
	// The timeout is that of all calls between core machines: a call that times out earlier closes the connection for all.
	callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	started := time.Now()
	wallMS, err := peerrpc.Call[bool, int64](callCtx, s.peers.At(address), "ConfigStore.Clock", new(bool))
	if err != nil {
		s.log.Debug("clock query failed", "err", err)
		return
	}
	if roundTrip := time.Since(started); roundTrip < maxClockRoundTrip {
		s.clock.SetReading(address, time.UnixMilli(wallMS), started.Add(roundTrip/2))
	}
}
