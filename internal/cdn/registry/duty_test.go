package registry

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

// A registry that takes over the duty, or reconnects, must start a new term and give every server its whole timeout
// again, because it has not heard them. A disconnected registry holds nothing, whatever its replica says.
func TestDutyTerm(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	type step struct {
		duty    clusterstate.Duty
		inTouch bool
		now     int
		epoch   uint64
		since   int
	}
	mine, others := clusterstate.Duty{Holder: "10.0.0.1", Epoch: 7}, clusterstate.Duty{Holder: "10.0.0.2", Epoch: 9}
	cases := []struct {
		name  string
		steps []step
	}{
		{"stays holder", []step{{mine, true, 1, 7, 1}, {mine, true, 5, 7, 1}}},
		{"another's", []step{{others, true, 1, 0, 0}}},
		{"nobody's", []step{{clusterstate.Duty{}, true, 1, 0, 0}}},
		{"moved to another registry and back", []step{{mine, true, 1, 7, 1}, {others, true, 2, 0, 0}, {clusterstate.Duty{Holder: mine.Holder, Epoch: 11}, true, 3, 11, 3}}},
		{"disconnected and connected again", []step{{mine, true, 1, 7, 1}, {mine, false, 2, 0, 0}, {mine, true, 9, 7, 9}}},
		{"appointed again under a new epoch", []step{{mine, true, 1, 7, 1}, {clusterstate.Duty{Holder: mine.Holder, Epoch: 8}, true, 4, 8, 4}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var current term
			for _, s := range c.steps {
				current.update(s.duty, "10.0.0.1", s.inTouch, at(s.now))
				assert.Equal(t, current.epoch, s.epoch)
				if s.epoch > 0 {
					assert.Equal(t, current.since, at(s.since))
				}
			}
		})
	}
}
