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
func disconnectedEdge(b bootconfig.Limits, at time.Time) *Edge {
	e := &Edge{config: bootconfig.Settings{Limits: b}, replica: statesync.New()}
	e.replica.Log = hclog.NewNullLogger()
	e.replica.Apply(clusterstate.News{Fresh: true, Proven: true}, at)
	return e
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
		e := disconnectedEdge(bootconfig.Limits{RevokeTimeout: c.revoke, Contact: 5 * time.Second}, now)
		if got := e.checkProof(now.Add(c.age)); (got == nil) != c.runs {
			t.Errorf("revoke %v: %v after the proof checkProof returns %v", c.revoke, c.age, got)
		}
	}
	now := time.Now()
	e := disconnectedEdge(bootconfig.Limits{RevokeTimeout: 5 * time.Second}, now)
	later := now.Add(6 * time.Second)
	e.replica.ApplyFromNeighbour(clusterstate.News{Proven: true, AgeMS: 4000}, later)
	assert.NilError(t, e.checkProof(later))
	assert.ErrorIs(t, e.checkProof(later.Add(time.Second)), errNotProven)
	e.replica.ApplyFromNeighbour(clusterstate.News{Proven: true, AgeMS: 4000, Index: 7}, later.Add(time.Second))
	assert.ErrorIs(t, e.checkProof(later.Add(time.Second)), errNotProven, "proof from a response that lacks changes that the neighbour holds")
	e.replica = statesync.New()
	assert.ErrorIs(t, e.checkProof(now), errNotProven, "proof of an empty replica")
}

// Cache entries are served while all purges older than contact are known. A router is current while its proof is younger than half of that.
func TestCachedCopiesRequireProof(t *testing.T) {
	bounds := bootconfig.Limits{Contact: time.Hour}
	for _, c := range []struct {
		age              time.Duration
		current, vouched bool
	}{{0, true, true}, {29 * time.Minute, true, true}, {31 * time.Minute, false, true}, {61 * time.Minute, false, false}} {
		e := disconnectedEdge(bounds, time.Now().Add(-c.age))
		assert.Equal(t, e.isCurrent(), c.current, "%v", c.age)
		assert.Equal(t, e.purgesKnown(), c.vouched, "%v", c.age)
	}
	e := disconnectedEdge(bounds, time.Time{})
	assert.Assert(t, !e.isCurrent() && !e.purgesKnown())
}
