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

// disconnectedEdge returns a router whose last proof is of the given time, and that was disconnected from all others then.
func disconnectedEdge(b bootconfig.Bounds, at time.Time) *Edge {
	f := &Edge{config: bootconfig.Settings{Bounds: b}, replica: statesync.New()}
	f.replica.Log = hclog.NewNullLogger()
	f.replica.Take(clusterstate.News{Fresh: true, Proven: true}, at)
	return f
}

// A router that is disconnected while a key is removed must run no request with it later than revoke after the removal: its proof expires
// earlier by a margin. It continues if a neighbour has a newer proof.
func TestProofExpiry(t *testing.T) {
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
		f := disconnectedEdge(bootconfig.Bounds{Revoke: c.revoke, Contact: 5 * time.Second}, now)
		if got := f.checkProof(now.Add(c.age)); (got == nil) != c.runs {
			t.Errorf("revoke %v: %v after the proof checkProof returns %v", c.revoke, c.age, got)
		}
	}
	now := time.Now()
	f := disconnectedEdge(bootconfig.Bounds{Revoke: 5 * time.Second}, now)
	later := now.Add(6 * time.Second)
	f.replica.TakeFromNeighbour(clusterstate.News{Proven: true, AgeMS: 4000}, later)
	assert.NilError(t, f.checkProof(later))
	assert.ErrorIs(t, f.checkProof(later.Add(time.Second)), errNotProven)
	f.replica.TakeFromNeighbour(clusterstate.News{Proven: true, AgeMS: 4000, Index: 7}, later.Add(time.Second))
	assert.ErrorIs(t, f.checkProof(later.Add(time.Second)), errNotProven, "proof from a response that lacks changes that the neighbour holds")
	f.replica = statesync.New()
	assert.ErrorIs(t, f.checkProof(now), errNotProven, "proof of an empty replica")
}

// Cached copies are served while all purges older than contact are known. A router is current while its proof is younger than half of that.
func TestCachedCopiesRequireProof(t *testing.T) {
	bounds := bootconfig.Bounds{Contact: time.Hour}
	for _, c := range []struct {
		age              time.Duration
		current, vouched bool
	}{{0, true, true}, {29 * time.Minute, true, true}, {31 * time.Minute, false, true}, {61 * time.Minute, false, false}} {
		f := disconnectedEdge(bounds, time.Now().Add(-c.age))
		assert.Equal(t, f.current(), c.current, "%v", c.age)
		assert.Equal(t, f.purgesKnown(), c.vouched, "%v", c.age)
	}
	f := disconnectedEdge(bounds, time.Time{})
	assert.Assert(t, !f.current() && !f.purgesKnown())
}
