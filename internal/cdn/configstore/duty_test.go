package configstore

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

// An appointment follows the one before by a lease at least, also where a leader proposed it whose log has not brought it yet, or where a new
// leader finds a duty that it has not seen before.
func TestAppointmentsAreALeaseApart(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	first, second := clusterstate.Duty{Holder: "10.0.0.1", Epoch: 4}, clusterstate.Duty{Holder: "10.0.0.2", Epoch: 9}
	type look struct {
		ms   int
		duty clusterstate.Duty
		over bool
	}
	cases := []struct {
		name  string
		lease time.Duration
		looks []look
	}{
		{"nobody has it", time.Second, []look{{0, clusterstate.Duty{}, true}}},
		{"no lease", 0, []look{{0, first, true}}},
		{"a new leader", time.Second, []look{{0, first, false}, {999, first, false}, {1000, first, true}}},
		{"another holder", time.Second, []look{{0, first, false}, {1000, first, true}, {1100, second, false}, {2099, second, false}, {2100, second, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var seen tenure
			for _, l := range c.looks {
				seen.follow(l.duty, at(l.ms))
				assert.Equal(t, seen.over(at(l.ms), c.lease), l.over, "at %d ms", l.ms)
			}
		})
	}
}
