package exchange

import (
	"sync/atomic"
	"time"
)

// lagTracker measures how late the event loop handles its events and timers, as a recent maximum that decays. The safety margin that is
// subtracted from a client's deadline is derived from it.
type lagTracker struct {
	peak       atomic.Int64 // nanoseconds, at the time of the last measurement
	measuredAt atomic.Int64 // time of the last measurement, in nanoseconds since processStart
}

const (
	minMargin    = 2 * time.Millisecond // for the unknown network latency from and to the client
	maxMargin    = 40 * time.Millisecond
	lagDecayTime = 2 * time.Second // time in which a measured lag decays to zero
)

// processStart is the reference of the times that lagTracker stores.
var processStart = time.Now()

// record adds a measurement; only the loop's goroutine may call it.
func (l *lagTracker) record(measured time.Duration, counts *Counters) {
	now := time.Since(processStart)
	recent := l.current(now)
	if measured > recent {
		recent = measured
	}
	l.peak.Store(int64(recent))
	l.measuredAt.Store(int64(now))
	counts.Lag.Store(int64(recent))
	if int64(measured) > counts.MaxLag.Load() {
		counts.MaxLag.Store(int64(measured))
	}
}

// current returns the lag at a time since processStart, after linear decay.
func (l *lagTracker) current(now time.Duration) time.Duration {
	elapsed := now - time.Duration(l.measuredAt.Load())
	decayed := float64(l.peak.Load()) * (1 - float64(elapsed)/float64(lagDecayTime))
	return time.Duration(max(decayed, 0))
}

// margin returns the time to subtract from a client's timeout: minMargin plus twice the recent lag, at most maxMargin and at most an
// eighth of the timeout.
func (l *lagTracker) margin(timeout time.Duration) time.Duration {
	m := min(minMargin+2*l.current(time.Since(processStart)), maxMargin)
	return min(m, timeout/8)
}
