package exchange

import (
	"sync/atomic"
	"time"
)

// lag measures how late the decision loop gets to its events and timers: its worst of late, which fades. What a
// client's time runs short by is taken from it.
type lag struct {
	worst atomic.Int64 // nanoseconds
	at    atomic.Int64 // of the last reading, in nanoseconds from the process's start
}

const (
	leastMargin = 2 * time.Millisecond // for the way from the client and back, which nobody tells
	mostMargin  = 40 * time.Millisecond
	lagFades    = 2 * time.Second // to nothing
)

var processStart = time.Now()

// note takes a reading; only the loop's goroutine calls it.
func (l *lag) note(late time.Duration, counts *Counters) {
	now := time.Since(processStart)
	left := l.read(now)
	if late > left {
		left = late
	}
	l.worst.Store(int64(left))
	l.at.Store(int64(now))
	counts.Lag.Store(int64(left))
	if int64(late) > counts.LagMost.Load() {
		counts.LagMost.Store(int64(late))
	}
}

func (l *lag) read(now time.Duration) time.Duration {
	since := now - time.Duration(l.at.Load())
	faded := float64(l.worst.Load()) * (1 - float64(since)/float64(lagFades))
	return time.Duration(max(faded, 0))
}

// margin is what is kept back of a client's time: twice the lag of late, in bounds and never over an eighth.
func (l *lag) margin(left time.Duration) time.Duration {
	m := min(leastMargin+2*l.read(time.Since(processStart)), mostMargin)
	return min(m, left/8)
}
