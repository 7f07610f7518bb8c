package harness

import (
	"testing"
	"time"

	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
)

var eight = []int{0, 1, 2, 3, 4, 5, 6, 7}

// lossy has three in ten datagrams between routers lost and one in ten come twice.
var lossy = scenario.Trouble{Way: "both", Loss: 0.3, Repeats: 0.1}

// TestOrderOutlivesItsRouter takes a node out at one of eight real processes, over links that lose three in ten datagrams, kills that one with
// its yes barely out, and then every other one in turn, seven at once at last; nothing lasts on a disk. None that has come back sends there.
// Without sharing, and where all die at once without a disk, nobody is left who knows, and they do; where one of all has kept its disk they don't.
func TestOrderOutlivesItsRouter(t *testing.T) {
	for name, day := range map[string]struct {
		sets  []string
		kills [][]int
		state map[int]string // what each finds
		keeps bool
	}{
		"each in turn":        {kills: [][]int{{0}, {1}, {2, 3}, {4, 5}, {6, 7}, {0, 1, 2, 4, 5, 6, 7}}, keeps: true},
		"not shared":          {sets: []string{"shared.on=false"}, kills: [][]int{{0}}},
		"all, without a disk": {kills: [][]int{eight}},
		"all, one kept": {sets: []string{"stored.on=true"}, kills: [][]int{eight}, keeps: true,
			state: map[int]string{0: "lost", 1: "lost", 2: "lost", 3: "lost", 4: "lost", 5: "lost", 6: "torn"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Fleet{Router: own, Sets: append([]string{"shared.on=true", "length=9s", "short=9s"}, day.sets...), Drive: func(c *rig.Control) {
				c.Strike(eight, eight, lossy)
				c.Await(second)
				Order(t, c, 0, "north-c1", true)
				shares := name != "not shared"
				if !shares {
					for _, k := range eight[1:] {
						Order(t, c, k, "north-c1", true) // as operators have to
					}
				} else if len(day.kills) == 1 {
					Agree(t, c, "all know", "north-c1", "out", 3*second, eight...)
				}
				for n, kill := range day.kills {
					for _, k := range kill {
						c.Kill(k)
					}
					if n == 0 {
						Hold(c, eight, "north-c1", true)
						if shares && len(day.kills) > 1 {
							Agree(t, c, "the others know", "north-c1", "out", 3*second, 1, 2, 3, 4, 5, 6, 7)
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
						Agree(t, c, "those that were killed know again", "north-c1", "out", 3*second, kill...)
					}
				}
			}}.Play(t)
			if r.Lost+r.Double+r.ColdFalls+r.Held > 0 || r.Crashes > 0 || (r.StaleSends+r.Drain == 0) != day.keeps {
				t.Errorf("%d crashes, %d stale sends, %d against drains, %.500v", r.Crashes, r.StaleSends, r.Drain, r.Breaches)
			}
		})
	}
}

// TestContraryOrders cuts eight real processes into two halves, gives them contrary orders, and heals the cut: the order that keeps a drain wins
// at all of them, an operator sees both copies, and one call settles them. A router behind a cut that is one way only, and one that stood
// still, hear of an order once they can; and what is later wins whoever hears it late.
func TestContraryOrders(t *testing.T) {
	t.Parallel()
	r := Fleet{Router: own, Sets: []string{"shared.on=true"}, Drive: func(c *rig.Control) {
		north, south := eight[:4], eight[4:]
		c.Strike(eight, eight, lossy)
		c.Await(500 * time.Millisecond)
		Order(t, c, 0, "north-c1", true)
		Order(t, c, 0, "north-c2", true)
		Agree(t, c, "before the cut", "north-c1", "out", 3*second, eight...)
		Agree(t, c, "before the cut", "north-c2", "out", 3*second, eight...)
		heal := c.Strike(north, south, scenario.Trouble{Way: "both"})
		Order(t, c, 1, "north-c1", false) // and the other half is told the same, then out once more
		Order(t, c, 5, "north-c1", false)
		Order(t, c, 6, "north-c1", true)
		Order(t, c, 2, "north-c2", false) // here one half alone says anything: it is later than what the other knows
		Agree(t, c, "the north", "north-c1", "back", 3*second, north...)
		Agree(t, c, "the south", "north-c1", "out", 3*second, south...)
		heal()
		Agree(t, c, "healed, contrary", "north-c1", "out", 3*second, eight...)
		Agree(t, c, "healed, later", "north-c2", "back", 3*second, eight...)
		Hold(c, eight, "north-c1", true)
		Hold(c, eight, "north-c2", false)
		if r, err := c.Facts(7); err != nil || len(r.Facts) != 2 || len(r.Facts[0].Copies) < 2 {
			t.Errorf("the copies of contrary orders: %+v, %v", r, err)
		}
		heal = c.Strike([]int{4}, eight, scenario.Trouble{Way: "in"}) // it is heard, and hears nothing
		c.Stall(2, true)
		Order(t, c, 7, "south-c1", true)
		Agree(t, c, "beside a router that is deaf and one that stands still", "south-c1", "out", 3*second, 0, 1, 3, 5, 6, 7)
		if got := Says(c, "south-c1", 4)[0]; got != "" {
			t.Errorf("the deaf one knows: %q", got)
		}
		heal()
		c.Stall(2, false)
		Agree(t, c, "once they can hear", "south-c1", "out", 3*second, eight...)
		Hold(c, eight, "south-c1", true)
		Order(t, c, 3, "north-c1", false)
		Agree(t, c, "settled by one call", "north-c1", "back", 3*second, eight...)
		Hold(c, eight, "north-c1", false)
		digests := map[string]bool{}
		for _, k := range eight {
			r, err := c.Facts(k)
			if digests[r.Digest] = true; err != nil || len(r.Facts) != 3 || len(r.Facts[0].Copies) != 1 {
				t.Errorf("router %d in the end: %+v, %v", k, r, err)
			}
		}
		if len(digests) != 1 {
			t.Errorf("%d digests in the end", len(digests))
		}
	}}.Play(t)
	kept(t, r)
}
