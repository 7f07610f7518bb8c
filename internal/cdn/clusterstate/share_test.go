package clusterstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func shares(s *State, also ...string) (total float64) {
	for node := range s.Routers {
		total += s.Share("shop", node)
	}
	for _, node := range also {
		total += s.Share("shop", node)
	}
	return total
}

// A rate is cut by need: nothing is cut without cause, a shield that is lost loses its part within a cut, and whoever needs it has it;
// a cut of an older duty, or one that adds up to more than the whole, is refused.
func TestRatesAreCutByNeed(t *testing.T) {
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
		node  string // whose share is
		least float64
		most  float64
	}{
		{"nobody needs anything", nil, false, "store-0", 0.2, 0.25},
		{"all need alike", all, false, "store-0", 0.2, 0.25},
		{"too little to matter", map[string]float64{"store-0": 1}, false, "store-0", 0.2, 0.25},
		{"one is lost", map[string]float64{"store-0": 60, "store-1": 70, "store-2": 65}, true, "store-1", 0.25, 0.45},
		{"the lost one keeps what is even", nil, false, "store-3", 0.05, 0.08},
		{"an edge takes over", map[string]float64{"edge-7": 200}, true, "edge-7", 0.7, 0.72},
		{"one that nobody knows counts for nothing", map[string]float64{"edge-7": 200, "stranger": 900}, false, "edge-7", 0.7, 0.72},
		{"all are back", all, true, "store-3", 0.2, 0.3},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cut, moved := s.Recut("shop", c.needs)
			assert.Equal(t, moved, c.moved)
			if moved {
				assert.Equal(t, s.Apply(uint64(10+i), Command{Cut: &cut, Epoch: 6}).Status, Stale)
				assert.Equal(t, s.Apply(uint64(10+i), Command{Cut: &cut, Epoch: 7}).Status, Done)
			}
			got := s.Share("shop", c.node)
			assert.Assert(t, got >= c.least && got <= c.most, got)
			assert.Assert(t, shares(s) < 1.001, shares(s))
		})
	}
	before := s.Parts
	for _, bad := range []map[string]float64{{"a": 0.7, "b": 0.7}, {"a": -0.1}, {"a": 2}} {
		assert.Equal(t, s.Apply(99, Command{Cut: &Cut{"shop", bad}, Epoch: 7}).Status, Invalid)
	}
	assert.DeepEqual(t, s.Parts, before)
	assert.Equal(t, s.Apply(100, Command{Put: manifest(`"r1"`, `0`, `{"parcel_kind":"carriers","label":{"name":"other"},"manifest":{}}`)}).Status, Done)
	assert.Equal(t, len(s.Parts), 0) // of a service that is no more
}

// Whatever comes and goes, and in whichever order rates are cut, the shares of a fleet are never more than the whole, in no version of
// the state; with them one router that is on its way in.
func TestSharesNeverPassTheWhole(t *testing.T) {
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
			if cut, moved := s.Recut("shop", needs); moved {
				assert.Equal(t, s.Apply(uint64(i+1), Command{Cut: &cut}).Status, Done)
			}
		}
		total := shares(s)
		assert.Assert(t, total < 1.0001, "%d: %v", i, total)
		if len(s.Routers) > 0 {
			assert.Assert(t, total > evenPart/2, "%d: %v", i, total)
		}
	}
}
