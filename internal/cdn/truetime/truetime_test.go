package truetime

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The median of all clocks holds though one of them is off, the own one or another's; nothing heard means the own clock.
func TestShift(t *testing.T) {
	cases := []struct {
		name   string
		among  bool
		others []time.Duration
		want   time.Duration
	}{
		{"nobody heard", true, nil, 0},
		{"nobody heard, a follower", false, nil, 0},
		{"a follower goes by the only one", false, []time.Duration{4 * time.Second}, 4 * time.Second},
		{"one against one: the own", true, []time.Duration{4 * time.Second}, 0},
		{"the own clock is off", true, []time.Duration{-5 * time.Second, -5 * time.Second, -5*time.Second + 2*time.Millisecond}, -5*time.Second + 2*time.Millisecond},
		{"another's clock is off", true, []time.Duration{2 * time.Millisecond, 5 * time.Second, -time.Millisecond}, 0},
		{"a follower among four, one is off", false, []time.Duration{2 * time.Millisecond, 5 * time.Second, -time.Millisecond, 3 * time.Millisecond}, 2 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			clock := New(start, c.among)
			for i, offset := range c.others {
				clock.Hear(fmt.Sprint(i), start.Add(-time.Hour), start)                          // an older word
				clock.Hear(fmt.Sprint(i), start.Add(time.Minute+offset), start.Add(time.Minute)) // the newest
			}
			assert.Equal(t, clock.Now(start.Add(2*time.Minute)).Sub(start.Round(0)), 2*time.Minute+c.want)
		})
	}
}

// The own clock is carried on by the steady one. Sources are bounded, and forgotten.
func TestOwnClockAndBounds(t *testing.T) {
	start := time.Now()
	clock := New(start, false)
	later := start.Add(time.Second)
	assert.Equal(t, clock.Now(later).UnixNano(), start.UnixNano()+time.Second.Nanoseconds())
	for i := range mostSources + 4 {
		clock.Hear(fmt.Sprint(i), start, start)
	}
	assert.Equal(t, len(clock.offsets), mostSources)
	clock.Keep([]string{"3"})
	assert.Equal(t, len(clock.offsets), 1)
}
