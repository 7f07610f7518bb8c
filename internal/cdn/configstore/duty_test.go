package configstore

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

// Two appointments to the duty must be at least a lease apart, also if a leader's earlier proposal is not committed yet, or if a
// new leader observes the duty for the first time.
func TestAppointmentsWaitForLease(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	first, second := clusterstate.Duty{Holder: "10.0.0.1", Epoch: 4}, clusterstate.Duty{Holder: "10.0.0.2", Epoch: 9}
	type observation struct {
		ms      int
		duty    clusterstate.Duty
		expired bool
	}
	cases := []struct {
		name         string
		lease        time.Duration
		observations []observation
	}{
		{"no holder", time.Second, []observation{{0, clusterstate.Duty{}, true}}},
		{"no lease", 0, []observation{{0, first, true}}},
		{"new leader", time.Second, []observation{{0, first, false}, {999, first, false}, {1000, first, true}}},
		{"new holder", time.Second, []observation{{0, first, false}, {1000, first, true}, {1100, second, false}, {2099, second, false},
			{2100, second, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var current tenure
			for _, o := range c.observations {
				current.observe(o.duty, at(o.ms))
				assert.Equal(t, current.leaseExpired(at(o.ms), c.lease), o.expired, "at %d ms", o.ms)
			}
		})
	}
}
