package registry

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

// Who holds the duty, and since when: a registry that takes it over, or comes back into touch, gives everybody their whole time again, for it
// has not heard them; one that is out of touch holds nothing, whatever its copy of the state says.
func TestTermOfDuty(t *testing.T) {
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
		{"held on", []step{{mine, true, 1, 7, 1}, {mine, true, 5, 7, 1}}},
		{"another's", []step{{others, true, 1, 0, 0}}},
		{"nobody's", []step{{clusterstate.Duty{}, true, 1, 0, 0}}},
		{"gone to another and come back", []step{{mine, true, 1, 7, 1}, {others, true, 2, 0, 0}, {clusterstate.Duty{Holder: mine.Holder, Epoch: 11}, true, 3, 11, 3}}},
		{"out of touch and back", []step{{mine, true, 1, 7, 1}, {mine, false, 2, 0, 0}, {mine, true, 9, 7, 9}}},
		{"appointed anew", []step{{mine, true, 1, 7, 1}, {clusterstate.Duty{Holder: mine.Holder, Epoch: 8}, true, 4, 8, 4}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w term
			for _, s := range c.steps {
				w.follow(s.duty, "10.0.0.1", s.inTouch, at(s.now))
				assert.Equal(t, w.epoch, s.epoch)
				if s.epoch > 0 {
					assert.Equal(t, w.since, at(s.since))
				}
			}
		})
	}
}
