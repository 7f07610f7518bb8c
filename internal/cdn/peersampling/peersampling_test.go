package peersampling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// From a chain in which each knows one other, views become a mesh that stays in one piece when half of the routers are gone, and
// the dead fall out of it.
func TestViews(t *testing.T) {
	const n, most = 200, 10
	all := map[string]*View{}
	name := func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/100, i%100) }
	for i := range n {
		all[name(i)] = New(name(i), most, uint64(i))
		if i > 0 {
			all[name(i)].Meet(name(i - 1))
		}
	}
	rng := rand.New(rand.NewPCG(4, 4))
	round := func() {
		for _, i := range rng.Perm(n) {
			v := all[name(i)]
			if v == nil {
				continue
			}
			ask, offer := v.Begin(uint64(i))
			if other := all[ask]; other != nil {
				v.End(other.Answer(offer, 7), offer)
			}
		}
	}
	reached := func() int {
		start := ""
		for i := range n {
			if all[name(i)] != nil {
				start = name(i)
				break
			}
		}
		seen, front := map[string]bool{start: true}, []string{start}
		for len(front) > 0 {
			for _, to := range all[front[0]].Neighbours() {
				if all[to] != nil && !seen[to] {
					seen[to] = true
					front = append(front, to)
				}
			}
			front = front[1:]
		}
		return len(seen)
	}
	for range 30 {
		round()
	}
	assert.Equal(t, reached(), n)
	for i := 0; i < n; i += 2 {
		delete(all, name(i))
	}
	assert.Equal(t, reached(), n/2)
	for range 40 {
		round()
	}
	assert.Equal(t, reached(), n/2)
	dead := 0
	for _, v := range all {
		assert.Assert(t, len(v.Neighbours()) <= most)
		for _, to := range v.Neighbours() {
			if all[to] == nil {
				dead++
			}
		}
	}
	assert.Assert(t, dead < n/2*most/50, "%d entries of dead routers", dead)
}

// What a neighbour sends is bounded and can't fill the view with nothing.
func TestOffersAreBounded(t *testing.T) {
	v := New("a", 8, 1)
	var flood []Neighbour
	for i := range 1000 {
		flood = append(flood, Neighbour{Address: fmt.Sprint(i)})
	}
	v.Answer(append([]Neighbour{{Address: ""}, {Address: "a"}}, flood...), 1)
	assert.Assert(t, len(v.Neighbours()) <= 8)
	ask, offer := v.Begin(5)
	assert.Assert(t, ask != "" && len(offer) <= 4)
}
