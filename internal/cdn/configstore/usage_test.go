package configstore

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/usage"

	"gotest.tools/v3/assert"
)

// The sums of the proxies' reports must be returned only once the proxies have had enough time to report, and without the windows
// that are fixed.
func TestUsageIsCollected(t *testing.T) {
	state := clusterstate.New()
	state.Usage.Fixed = 6
	state.Routers = map[string]clusterstate.Router{"p": {Node: "p"}, "store": {Node: "store", Inner: true}}
	s := &service{Store: &Store{view: newView(clusterstate.NewHistory(state), 0)}}
	var ok bool
	assert.NilError(t, s.Usage(&usage.Report{Node: "p", Life: "1", Sequence: 2, Final: 7,
		Windows: map[int64]usage.Counts{6: {"a": 1}, 7: {"a": 3}}}, &ok))
	assert.Assert(t, ok)
	assert.NilError(t, s.Usage(&usage.Report{Node: "p", Life: "1", Sequence: 1, Final: 6}, &ok))
	assert.Assert(t, !ok)
	var sums []usage.Sum
	assert.Equal(t, s.UsageSums(new(bool), &sums), errUsageIncomplete)
	s.view.presence.usageSince = time.Now().Add(-usageWarmup)
	assert.NilError(t, s.UsageSums(new(bool), &sums))
	assert.DeepEqual(t, sums, []usage.Sum{{Round: 7, Counts: usage.Counts{"a": 3}, Complete: true}})
}
