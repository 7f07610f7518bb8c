// Package truetime is a process's notion of the time of day that does not follow jumps of its machine's clock: the clock as it was read at the
// process's start, carried on by the steady clock, and shifted by what other machines tell of theirs. It does no I/O and reads no clock.
package truetime

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// mostSources is how many others are listened to, each with its newest word.
const mostSources = 16

// Clock is one process's true time. Its methods take moments of the steady clock, as time.Now returns them.
type Clock struct {
	started time.Time // of both clocks
	among   bool      // the own clock counts as one among those heard

	mu      sync.Mutex
	offsets map[string]time.Duration // of the others' clocks from the own one, by source
}

// New returns a clock that began at a reading of both clocks. One that counts itself among those that it hears takes the median over all of
// them; one that does not goes by the others alone as soon as it has heard any.
func New(started time.Time, among bool) *Clock {
	return &Clock{started: started, among: among, offsets: map[string]time.Duration{}}
}

// Own is the own clock's time, as it would be without jumps since the start. This is what others are told who take a median themselves: what
// was shifted once must not shift others, or small errors would add up without end.
func (c *Clock) Own(now time.Time) time.Time {
	return c.started.Round(0).Add(now.Sub(c.started))
}

// Now is true time, as far as it is known here.
func (c *Clock) Now(now time.Time) time.Time { return c.Own(now).Add(c.shift()) }

// Hear takes what a source's clock showed at a moment. Where there is no room for another source it changes nothing.
func (c *Clock) Hear(source string, wall, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.offsets[source]; !known && len(c.offsets) >= mostSources {
		return
	}
	c.offsets[source] = wall.Sub(c.Own(at))
}

// Heard tells whether any other clock has been heard.
func (c *Clock) Heard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.offsets) > 0
}

// Keep forgets the sources that are not named.
func (c *Clock) Keep(sources []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for source := range c.offsets {
		if !slices.Contains(sources, source) {
			delete(c.offsets, source)
		}
	}
}

// shift is the median of the offsets; of two in the middle the one that is nearer to the own clock.
func (c *Clock) shift() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]time.Duration, 0, len(c.offsets)+1)
	for _, offset := range c.offsets {
		all = append(all, offset)
	}
	if c.among || len(all) == 0 {
		all = append(all, 0)
	}
	slices.SortFunc(all, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	low, high := all[(len(all)-1)/2], all[len(all)/2]
	if low.Abs() < high.Abs() {
		return low
	}
	return high
}
