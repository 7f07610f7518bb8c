package truetime

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The median must not follow a single wrong clock, be it the own one or another. Without readings of other clocks the own clock
// counts.
func TestMedianOffset(t *testing.T) {
	cases := []struct {
		name       string
		includeOwn bool
		others     []time.Duration
		want       time.Duration
	}{
		{"no other clock", true, nil, 0},
		{"no other clock, own excluded", false, nil, 0},
		{"one other clock, own excluded", false, []time.Duration{4 * time.Second}, 4 * time.Second},
		{"one other clock, own included: own wins", true, []time.Duration{4 * time.Second}, 0},
		{"own clock wrong", true, []time.Duration{-5 * time.Second, -5 * time.Second, -5*time.Second + 2*time.Millisecond},
			-5*time.Second + 2*time.Millisecond},
		{"one other clock wrong", true, []time.Duration{2 * time.Millisecond, 5 * time.Second, -time.Millisecond}, 0},
		{"one of four other clocks wrong, own excluded", false,
			[]time.Duration{2 * time.Millisecond, 5 * time.Second, -time.Millisecond, 3 * time.Millisecond}, 2 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			clock := New(start, c.includeOwn)
			for i, offset := range c.others {
				clock.SetReading(fmt.Sprint(i), start.Add(-time.Hour), start)                          // an older reading
				clock.SetReading(fmt.Sprint(i), start.Add(time.Minute+offset), start.Add(time.Minute)) // the latest
			}
			assert.Equal(t, clock.Now(start.Add(2*time.Minute)).Sub(start.Round(0)), 2*time.Minute+c.want)
		})
	}
}

// The own clock must advance with the monotonic one. The number of sources is limited, and sources can be removed.
func TestOwnClockAndBounds(t *testing.T) {
	start := time.Now()
	clock := New(start, false)
	later := start.Add(time.Second)
	assert.Equal(t, clock.Now(later).UnixNano(), start.UnixNano()+time.Second.Nanoseconds())
	for i := range maxSources + 4 {
		clock.SetReading(fmt.Sprint(i), start, start)
	}
	assert.Equal(t, len(clock.offsets), maxSources)
	clock.RetainSources([]string{"3"})
	assert.Equal(t, len(clock.offsets), 1)
}
