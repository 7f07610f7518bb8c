package edge

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// cutOff is a router that was last told the news at a time, as far as they prove anything, and was cut off from all others then.
func cutOff(b bootconfig.Bounds, at time.Time) *Edge {
	f := &Edge{set: bootconfig.Settings{Bounds: b}, replica: statesync.New()}
	f.replica.Log = hclog.NewNullLogger()
	f.replica.Take(clusterstate.News{Fresh: true, Proven: true}, at)
	return f
}

// A router that is cut off while a key is taken away runs nothing with it later than revoke after that: it ends its trust in what it holds
// earlier by a margin, and goes on if a neighbour proves more.
func TestACutOffRouterEndsItsTrust(t *testing.T) {
	for _, c := range []struct {
		revoke, age time.Duration
		runs        bool
	}{
		{5 * time.Second, 0, true},
		{5 * time.Second, 4740 * time.Millisecond, true},
		{5 * time.Second, 4750 * time.Millisecond, false},
		{5 * time.Second, 5001 * time.Millisecond, false},
		{time.Second, 890 * time.Millisecond, true},
		{time.Second, 900 * time.Millisecond, false},
		{0, time.Hour, true},
	} {
		now := time.Now()
		f := cutOff(bootconfig.Bounds{Revoke: c.revoke, Contact: 5 * time.Second}, now)
		if got := f.mayRun(now.Add(c.age)); (got == nil) != c.runs {
			t.Errorf("revoke %v: %v after the proof a keyed request gets %v", c.revoke, c.age, got)
		}
	}
	now := time.Now()
	f := cutOff(bootconfig.Bounds{Revoke: 5 * time.Second}, now)
	later := now.Add(6 * time.Second)
	f.replica.TakeFromNeighbour(clusterstate.News{Proven: true, AgeMS: 4000}, later)
	assert.NilError(t, f.mayRun(later))
	assert.ErrorIs(t, f.mayRun(later.Add(time.Second)), errNotProven)
	f.replica.TakeFromNeighbour(clusterstate.News{Proven: true, AgeMS: 4000, Index: 7}, later.Add(time.Second))
	assert.ErrorIs(t, f.mayRun(later.Add(time.Second)), errNotProven, "of an answer that lacks what the neighbour holds")
	f.replica = statesync.New()
	assert.ErrorIs(t, f.mayRun(now), errNotProven, "nothing was ever told")
}

// Copies are handed on while all purges older than contact are known; half of that makes a router current.
func TestCopiesGoByTheProof(t *testing.T) {
	bounds := bootconfig.Bounds{Contact: time.Hour}
	for _, c := range []struct {
		age              time.Duration
		current, vouched bool
	}{{0, true, true}, {29 * time.Minute, true, true}, {31 * time.Minute, false, true}, {61 * time.Minute, false, false}} {
		f := cutOff(bounds, time.Now().Add(-c.age))
		assert.Equal(t, f.current(), c.current, "%v", c.age)
		assert.Equal(t, f.vouched(), c.vouched, "%v", c.age)
	}
	f := cutOff(bounds, time.Time{})
	assert.Assert(t, !f.current() && !f.vouched())
}
