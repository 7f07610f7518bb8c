package exchange

import (
	"time"

	"cedarmast/balance"
)

// Clock is the one clock of a router: monotonic from its start, with Unix time as its origin, so that the start
// times in a server list need no second clock.
type Clock struct{ base time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{base: time.Now()} }

// Now reads the clock.
func (c Clock) Now() balance.Time { return c.At(time.Now()) }

// At maps a reading of the process's clock.
func (c Clock) At(t time.Time) balance.Time {
	return balance.Time(c.base.UnixNano()).Add(t.Sub(c.base))
}

// Time maps back, for the deadlines of sockets.
func (c Clock) Time(t balance.Time) time.Time {
	return c.base.Add(t.Sub(balance.Time(c.base.UnixNano())))
}

// Unix maps Unix time in milliseconds; 0 stays 0, which means long ago.
func (c Clock) Unix(ms int64) balance.Time { return balance.Time(ms * int64(time.Millisecond)) }
