package balance

import (
	"fmt"
	"testing"
)

// afterDeploy returns a router after a deploy of half of sixty caches, one after the other: each drains, leaves and comes back.
// The router gets the list changes in batches; at the change numbered restart it restarts and gets the whole list.
func afterDeploy(t *testing.T, batch, restart int, placement func() Placement) *harness {
	set := manyRoutersSettings()
	set.Placement = placement
	g, list, pending := newHarness(t, set), map[ServerID]Entry{}, []Entry(nil)
	g.caches(60)
	for i := range 60 {
		id := ServerID(fmt.Sprintf("c%d", i))
		list[id] = Entry{Server: id, Weight: 1}
	}
	for change := range 90 {
		id := ServerID(fmt.Sprintf("c%d", change/3))
		e := Entry{Server: id, Weight: 1, State: [...]State{Draining, Gone, Up}[change%3]}
		if list[id] = e; e.State == Gone {
			delete(list, id)
		} else if e.State == Up {
			e.Started = g.now
			list[id] = e
		}
		if pending = append(pending, e); change == restart {
			now := g.now
			g, pending = newHarness(t, set), nil
			g.now = now
			for _, id := range sortedIDs(list) {
				pending = append(pending, list[id])
			}
			g.handle(List{Kind: Complete, Entries: pending})
			pending = nil
		} else if len(pending) >= batch || change == 89 {
			g.handle(List{Kind: Partial, Entries: pending})
			pending = nil
		}
		g.now += 1000 * ms
	}
	return g
}

// Logs how many keys routers place differently after one deploy, depending on how they received the list changes; the section "State that
// the routers share" is about this. Routers with the same changes agree on every key; routers that got batches or restarted do
// not. docs/design/shared-state.md has the figures.
func TestTablesDependOnListHistory(t *testing.T) {
	one := afterDeploy(t, 1, -1, nil)
	for _, c := range []struct {
		what           string
		batch, restart int
		most           float64
	}{{"the same", 1, -1, 0}, {"batches of two", 2, -1, 0.6}, {"batches of six", 6, -1, 0.4},
		{"restarted in the middle", 1, 45, 0.99}, {"restarted at the end", 1, 89, 0.99}} {
		other, differ := afterDeploy(t, c.batch, c.restart, nil), 0.0
		for key := range uint64(20_000) {
			if at := mix(key); one.b.table.lookup(at) != other.b.table.lookup(at) {
				differ += 1.0 / 20_000
			}
		}
		if t.Logf("%s: %.3f of the keys are placed differently", c.what, differ); differ > c.most {
			t.Errorf("%s: %.3f", c.what, differ)
		}
	}
}

// firstByID is a Placement in which every key belongs to the first cache by id: it depends on the list alone.
type firstByID struct{ weights map[ServerID]float64 }

func (f *firstByID) SetWeights(weights map[ServerID]float64) { f.weights = weights }
func (f *firstByID) Owner(uint64) ServerID                   { return sortedIDs(f.weights)[0] }

// With a Placement set, it decides where keys belong, caches that left are removed from it, and the interval table stays unused.
func TestPlacementReplacesTable(t *testing.T) {
	g := afterDeploy(t, 2, 45, func() Placement { return &firstByID{} })
	if at := g.b.table.lookup(7); at != "c0" || len(g.b.table.intervals) != 1 {
		t.Errorf("%s, %d intervals", at, len(g.b.table.intervals))
	}
	g.handle(List{Kind: Partial, Entries: []Entry{{Server: "c0", State: Gone}}})
	if at := g.b.table.lookup(7); at != "c1" {
		t.Errorf("after c0 left: %s", at)
	}
}

// The interval table grows with each replacement of a cache; its size has no bound of its own yet.
func TestTableGrowth(t *testing.T) {
	tb, weights := newTable(), map[ServerID]float64{}
	for k := range 550 {
		if k >= 50 {
			delete(weights, ServerID(fmt.Sprintf("c%d", k-50)))
			tb.setWeights(weights)
		}
		weights[ServerID(fmt.Sprintf("c%d", k))] = 1
		tb.setWeights(weights)
	}
	if t.Logf("50 caches, 500 replacements: %d intervals", len(tb.intervals)); len(tb.intervals) > 8000 {
		t.Errorf("%d intervals", len(tb.intervals))
	}
}
