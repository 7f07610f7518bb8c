package peersampling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Starting from a chain in which each router knows one other, the views become a mesh that stays connected when half of the routers
// fail, and the failed ones disappear from the views.
func TestViewsStayConnected(t *testing.T) {
	const n, maxEntries = 200, 10
	views := map[string]*View{}
	name := func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/100, i%100) }
	for i := range n {
		views[name(i)] = New(name(i), maxEntries, uint64(i))
		if i > 0 {
			views[name(i)].AddAddresses(name(i - 1))
		}
	}
	rng := rand.New(rand.NewPCG(4, 4))
	round := func() {
		for _, i := range rng.Perm(n) {
			v := views[name(i)]
			if v == nil {
				continue
			}
			target, offer := v.StartExchange(uint64(i))
			if other := views[target]; other != nil {
				v.FinishExchange(other.HandleExchange(offer, 7), offer)
			}
		}
	}
	reachable := func() int {
		start := ""
		for i := range n {
			if views[name(i)] != nil {
				start = name(i)
				break
			}
		}
		seen, queue := map[string]bool{start: true}, []string{start}
		for len(queue) > 0 {
			for _, to := range views[queue[0]].Addresses() {
				if views[to] != nil && !seen[to] {
					seen[to] = true
					queue = append(queue, to)
				}
			}
			queue = queue[1:]
		}
		return len(seen)
	}
	for range 30 {
		round()
	}
	assert.Equal(t, reachable(), n)
	for i := 0; i < n; i += 2 {
		delete(views, name(i))
	}
	assert.Equal(t, reachable(), n/2)
	for range 40 {
		round()
	}
	assert.Equal(t, reachable(), n/2)
	dead := 0
	for _, v := range views {
		assert.Assert(t, len(v.Addresses()) <= maxEntries)
		for _, to := range v.Addresses() {
			if views[to] == nil {
				dead++
			}
		}
	}
	assert.Assert(t, dead < n/2*maxEntries/50, "%d entries of dead routers", dead)
}

// An oversized offer is truncated, and its empty addresses or the router's own are not added to the view.
func TestOffersAreBounded(t *testing.T) {
	v := New("a", 8, 1)
	var flood []Neighbour
	for i := range 1000 {
		flood = append(flood, Neighbour{Address: fmt.Sprint(i)})
	}
	v.HandleExchange(append([]Neighbour{{Address: ""}, {Address: "a"}}, flood...), 1)
	assert.Assert(t, len(v.Addresses()) <= 8)
	target, offer := v.StartExchange(5)
	assert.Assert(t, target != "" && len(offer) <= 4)
}
