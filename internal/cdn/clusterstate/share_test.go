package clusterstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// totalShare returns the sum of the shares of all routers in the roster and of the other nodes.
func totalShare(s *State, others ...string) (total float64) {
	for node := range s.Routers {
		total += s.RateShare("shop", node)
	}
	for _, node := range others {
		total += s.RateShare("shop", node)
	}
	return total
}

// A rate is divided by demand: the division changes only with the demand, a shield that is lost loses its part with the next division, and
// the routers with demand get it. A division of an older epoch, or one that adds up to more than the whole, is refused.
func TestRateFollowsDemand(t *testing.T) {
	s := New()
	s.Duty.Epoch = 7
	for i := range 4 {
		node := fmt.Sprint("store-", i)
		s.Routers[node] = Router{Node: node, Weight: 640}
	}
	for i := range 60 {
		node := fmt.Sprint("edge-", i)
		s.Routers[node] = Router{Node: node, Weight: 9}
	}
	all := map[string]float64{"store-0": 60, "store-1": 70, "store-2": 65, "store-3": 75}
	cases := []struct {
		name  string
		needs map[string]float64
		moved bool
		node  string // whose share is checked
		least float64
		most  float64
	}{
		{"no demand", nil, false, "store-0", 0.2, 0.25},
		{"similar demand everywhere", all, false, "store-0", 0.2, 0.25},
		{"too little demand", map[string]float64{"store-0": 1}, false, "store-0", 0.2, 0.25},
		{"one is lost", map[string]float64{"store-0": 60, "store-1": 70, "store-2": 65}, true, "store-1", 0.25, 0.45},
		{"the lost one keeps its even share", nil, false, "store-3", 0.05, 0.08},
		{"an edge takes over", map[string]float64{"edge-7": 200}, true, "edge-7", 0.7, 0.72},
		{"the demand of an unknown node is ignored", map[string]float64{"edge-7": 200, "stranger": 900}, false, "edge-7", 0.7, 0.72},
		{"all are back", all, true, "store-3", 0.2, 0.3},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cut, moved := s.DivideRate("shop", c.needs)
			assert.Equal(t, moved, c.moved)
			if moved {
				assert.Equal(t, s.Apply(uint64(10+i), Command{Cut: &cut, Epoch: 6}).Status, StatusStale)
				assert.Equal(t, s.Apply(uint64(10+i), Command{Cut: &cut, Epoch: 7}).Status, StatusOK)
			}
			got := s.RateShare("shop", c.node)
			assert.Assert(t, got >= c.least && got <= c.most, got)
			assert.Assert(t, totalShare(s) < 1.001, totalShare(s))
		})
	}
	before := s.Parts
	for _, bad := range []map[string]float64{{"a": 0.7, "b": 0.7}, {"a": -0.1}, {"a": 2}} {
		assert.Equal(t, s.Apply(99, Command{Cut: &RateDivision{"shop", bad}, Epoch: 7}).Status, StatusInvalid)
	}
	assert.DeepEqual(t, s.Parts, before)
	assert.Equal(t, s.Apply(100, Command{Put: manifest(`"r1"`, `0`,
		`{"parcel_kind":"carriers","label":{"name":"other"},"manifest":{}}`)}).Status, StatusOK)
	assert.Equal(t, len(s.Parts), 0) // the service was removed
}

// While routers join and leave and rates are divided in any order, the shares of the fleet never exceed the whole in any version of the
// state.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := New()
	for i := range 4000 {
		node := fmt.Sprint("n", rng.IntN(40))
		switch rng.IntN(4) {
		case 0:
			s.Apply(uint64(i+1), Command{Enrol: []Router{{Node: node, Weight: float64(1 + rng.IntN(2)*600)}}})
		case 1:
			s.Apply(uint64(i+1), Command{Absent: node})
		default:
			needs := map[string]float64{}
			for range rng.IntN(6) {
				needs[fmt.Sprint("n", rng.IntN(40))] = rng.Float64() * 100
			}
			if cut, moved := s.DivideRate("shop", needs); moved {
				assert.Equal(t, s.Apply(uint64(i+1), Command{Cut: &cut}).Status, StatusOK)
			}
		}
		total := totalShare(s)
		assert.Assert(t, total < 1.0001, "%d: %v", i, total)
		if len(s.Routers) > 0 {
			assert.Assert(t, total > evenFraction/2, "%d: %v", i, total)
		}
	}
}
