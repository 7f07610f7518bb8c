package exchange

import (
	"time"

	"cedarmast/balance"
)

// Clock is the only clock of a router. It is monotonic from its start and has the Unix epoch as its origin, so that it can be compared
// with the start times in a server list.
type Clock struct{ base time.Time }

// NewClock returns a clock that is set to the current time.
func NewClock() Clock { return Clock{base: time.Now()} }

// Now returns the current time of the clock.
func (c Clock) Now() balance.Time { return c.At(time.Now()) }

// At converts a time of the process to a time of the clock.
func (c Clock) At(t time.Time) balance.Time {
	return balance.Time(c.base.UnixNano()).Add(t.Sub(c.base))
}

// Time converts a time of the clock back, for socket deadlines.
func (c Clock) Time(t balance.Time) time.Time {
	return c.base.Add(t.Sub(balance.Time(c.base.UnixNano())))
}

// FromUnixMilli converts a Unix time in milliseconds. 0 stays 0, which means long ago.
func (c Clock) FromUnixMilli(ms int64) balance.Time {
	return balance.Time(ms * int64(time.Millisecond))
}
