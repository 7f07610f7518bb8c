// Package truetime estimates the time of day independently of jumps of the machine's wall clock: the wall clock is read once
// when the process starts, advanced by the monotonic clock, and corrected by the median offset of other machines' clocks. The
// package does no I/O and reads no clock.
package truetime

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxSources limits the number of other clocks; only the latest reading of each is kept.
const maxSources = 16

// Clock is the estimated time of day of one process. Its methods take times with a monotonic reading, as time.Now returns them.
type Clock struct {
	started    time.Time // reading of the wall clock and the monotonic clock at the start
	includeOwn bool      // the own clock takes part in the median

	mu      sync.Mutex
	offsets map[string]time.Duration // of other clocks relative to the own one, by source
}

// New returns a clock that starts at a reading of the wall clock and the monotonic clock. If includeOwn is true the own clock takes
// part in the median; otherwise only the other clocks do, as soon as there is a reading of one.
func New(started time.Time, includeOwn bool) *Clock {
	return &Clock{started: started, includeOwn: includeOwn, offsets: map[string]time.Duration{}}
}

// Uncorrected returns the time of the own clock without any jumps since the start. It is what to send to machines that compute a
// median themselves: if a corrected time corrected others, small errors would accumulate without bound.
func (c *Clock) Uncorrected(now time.Time) time.Time {
	return c.started.Round(0).Add(now.Sub(c.started))
}

// Now returns the estimated time of day.
func (c *Clock) Now(now time.Time) time.Time { return c.Uncorrected(now).Add(c.medianOffset()) }

// SetReading records that the clock of a source showed wall at the time at. A new source beyond the limit is ignored.
func (c *Clock) SetReading(source string, wall, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.offsets[source]; !known && len(c.offsets) >= maxSources {
		return
	}
	c.offsets[source] = wall.Sub(c.Uncorrected(at))
}

// HasReadings reports whether there is a reading of any other clock.
func (c *Clock) HasReadings() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.offsets) > 0
}

// RetainSources deletes the readings of all sources that are not listed.
func (c *Clock) RetainSources(sources []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for source := range c.offsets {
		if !slices.Contains(sources, source) {
			delete(c.offsets, source)
		}
	}
}

// medianOffset returns the median of the offsets; of two middle values, the one nearer to the own clock.
func (c *Clock) medianOffset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := make([]time.Duration, 0, len(c.offsets)+1)
	for _, offset := range c.offsets {
		offsets = append(offsets, offset)
	}
	if c.includeOwn || len(offsets) == 0 {
		offsets = append(offsets, 0)
	}
	slices.SortFunc(offsets, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if low.Abs() < high.Abs() {
		return low
	}
	return high
}
