package harness

import (
	"testing"
	"time"

	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
)

var allRouters = []int{0, 1, 2, 3, 4, 5, 6, 7}

// lossyLinks drops three in ten datagrams between routers and duplicates one in ten.
var lossyLinks = scenario.Trouble{Way: "both", Loss: 0.3, Repeats: 0.1}

// TestOrderOutlivesItsRouter takes a node out at one of eight real processes over links that lose three in ten datagrams, kills that
// process right after its acknowledgement, and then the others in turn, at last seven at once; no state is on disk. No restarted router
// sends to the node. Without sharing, or if all die at once without a disk, no replica of the order is left and they do send; if one
// of all kept its disk they don't.
func TestOrderOutlivesItsRouter(t *testing.T) {
	for name, day := range map[string]struct {
		sets  []string
		kills [][]int
		state map[int]string // by router: the stored state that it restarts with; kept if absent
		keeps bool
	}{
		"each in turn":        {kills: [][]int{{0}, {1}, {2, 3}, {4, 5}, {6, 7}, {0, 1, 2, 4, 5, 6, 7}}, keeps: true},
		"not shared":          {sets: []string{"shared.on=false"}, kills: [][]int{{0}}},
		"all, without a disk": {kills: [][]int{allRouters}},
		"all, one kept": {sets: []string{"stored.on=true"}, kills: [][]int{allRouters}, keeps: true,
			state: map[int]string{0: "lost", 1: "lost", 2: "lost", 3: "lost", 4: "lost", 5: "lost", 6: "torn"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Fleet{Router: routerCommand, Overrides: append([]string{"shared.on=true", "length=9s", "short=9s"}, day.sets...), Drive: func(c *rig.Control) {
				c.InjectLinkFault(allRouters, allRouters, lossyLinks)
				c.Await(second)
				GiveOrder(t, c, 0, "north-c1", true)
				shares := name != "not shared"
				if !shares {
					for _, k := range allRouters[1:] {
						GiveOrder(t, c, k, "north-c1", true) // without sharing, operators give the order at each router
					}
				} else if len(day.kills) == 1 {
					AwaitAgreement(t, c, "all know", "north-c1", "out", 3*second, allRouters...)
				}
				for n, kill := range day.kills {
					for _, k := range kill {
						c.Kill(k)
					}
					if n == 0 {
						RecordOrders(c, allRouters, "north-c1", true)
						if shares && len(day.kills) > 1 {
							AwaitAgreement(t, c, "the others know", "north-c1", "out", 3*second, 1, 2, 3, 4, 5, 6, 7)
						}
					}
					for _, k := range kill {
						state := "kept"
						if day.state[k] != "" {
							state = day.state[k]
						}
						c.Start(k, model.StoredState{State: state})
					}
					if day.keeps {
						AwaitAgreement(t, c, "those that were killed know again", "north-c1", "out", 3*second, kill...)
					}
				}
			}}.Run(t)
			if r.Lost+r.Double+r.ColdFalls+r.Held > 0 || r.Crashes > 0 || (r.StaleSends+r.Drain == 0) != day.keeps {
				t.Errorf("%d crashes, %d stale sends, %d against drains, %.500v", r.Crashes, r.StaleSends, r.Drain, r.Breaches)
			}
		})
	}
}

// TestContraryOrders partitions eight real processes into two halves, gives them conflicting orders and heals the partition: the order
// that keeps a drain wins at all of them, an operator sees both copies, and one call resolves the conflict. A router behind a one-way cut
// and a stalled one learn of an order once they can; a later order wins even where it arrives late.
func TestContraryOrders(t *testing.T) {
	t.Parallel()
	r := Fleet{Router: routerCommand, Overrides: []string{"shared.on=true"}, Drive: func(c *rig.Control) {
		north, south := allRouters[:4], allRouters[4:]
		c.InjectLinkFault(allRouters, allRouters, lossyLinks)
		c.Await(500 * time.Millisecond)
		GiveOrder(t, c, 0, "north-c1", true)
		GiveOrder(t, c, 0, "north-c2", true)
		AwaitAgreement(t, c, "before the cut", "north-c1", "out", 3*second, allRouters...)
		AwaitAgreement(t, c, "before the cut", "north-c2", "out", 3*second, allRouters...)
		heal := c.InjectLinkFault(north, south, scenario.Trouble{Way: "both"})
		GiveOrder(t, c, 1, "north-c1", false) // the other half gets the same order, then out again
		GiveOrder(t, c, 5, "north-c1", false)
		GiveOrder(t, c, 6, "north-c1", true)
		GiveOrder(t, c, 2, "north-c2", false) // an order in one half only: later than what the other half knows
		AwaitAgreement(t, c, "the north", "north-c1", "back", 3*second, north...)
		AwaitAgreement(t, c, "the south", "north-c1", "out", 3*second, south...)
		heal()
		AwaitAgreement(t, c, "healed, contrary", "north-c1", "out", 3*second, allRouters...)
		AwaitAgreement(t, c, "healed, later", "north-c2", "back", 3*second, allRouters...)
		RecordOrders(c, allRouters, "north-c1", true)
		RecordOrders(c, allRouters, "north-c2", false)
		if r, err := c.Facts(7); err != nil || len(r.Facts) != 2 || len(r.Facts[0].Copies) < 2 {
			t.Errorf("the copies of contrary orders: %+v, %v", r, err)
		}
		heal = c.InjectLinkFault([]int{4}, allRouters, scenario.Trouble{Way: "in"}) // it can send and receives nothing
		c.SetStalled(2, true)
		GiveOrder(t, c, 7, "south-c1", true)
		AwaitAgreement(t, c, "beside a router that is deaf and one that stands still", "south-c1", "out", 3*second, 0, 1, 3, 5, 6, 7)
		if got := KnownOrders(c, "south-c1", 4)[0]; got != "" {
			t.Errorf("the deaf one knows: %q", got)
		}
		heal()
		c.SetStalled(2, false)
		AwaitAgreement(t, c, "once they can hear", "south-c1", "out", 3*second, allRouters...)
		RecordOrders(c, allRouters, "south-c1", true)
		GiveOrder(t, c, 3, "north-c1", false)
		AwaitAgreement(t, c, "settled by one call", "north-c1", "back", 3*second, allRouters...)
		RecordOrders(c, allRouters, "north-c1", false)
		digests := map[string]bool{}
		for _, k := range allRouters {
			r, err := c.Facts(k)
			if digests[r.Digest] = true; err != nil || len(r.Facts) != 3 || len(r.Facts[0].Copies) != 1 {
				t.Errorf("router %d in the end: %+v, %v", k, r, err)
			}
		}
		if len(digests) != 1 {
			t.Errorf("%d digests in the end", len(digests))
		}
	}}.Run(t)
	checkRulesHeld(t, r)
}
