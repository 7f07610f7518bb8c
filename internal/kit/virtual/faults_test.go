package virtual

import (
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/scenario"
)

// counting passes events on to the decisions in service and counts, by router and life, what each hears.
type counting struct {
	exchange.Decider
	c *counts
}

type counts struct {
	lives  int
	listed []balance.List // the first list of each life
	heard  map[int]int    // messages, by second
	at     map[int]int    // events, by second
}

func (d *counting) Handle(now balance.Time, events []balance.Event) []balance.Action {
	second := int((int64(now) - epoch) / int64(time.Second))
	for _, e := range events {
		d.c.at[second]++
		switch e := e.(type) {
		case balance.List:
			if len(d.c.listed) < d.c.lives {
				d.c.listed = append(d.c.listed, e)
			}
		case balance.Heard:
			d.c.heard[second]++
		}
	}
	return d.Decider.Handle(now, events)
}

// faultDay plays 30 s of eight routers with troubles and returns what the first router's lives heard.
func faultDay(t *testing.T, troubles string, sets ...string) (*counts, *ledger.Report) {
	t.Helper()
	s, err := scenario.Parse("faults", []byte("name = \"faults\"\nbase = \"calm\"\nrate = 200\nwarm_up=\"3s\"\n"+`
[[site]]
name = "north"
nodes = 20
routers = 8
[database]
workers = 40
`+troubles), sets...)
	if err != nil {
		t.Fatal(err)
	}
	c := &counts{heard: map[int]int{}, at: map[int]int{}}
	r, err := Run(t.Context(), s, Options{Seed: 1, Decide: func(set balance.Settings, seed uint64) exchange.Decider {
		if set.Number > 0 {
			return balance.New(set, seed)
		}
		c.lives++
		return &counting{balance.New(set, seed), c}
	}})
	if err != nil {
		t.Fatal(err)
	}
	return c, r
}

// A router that stands still takes nothing in and sends nothing, is excused for it, and goes on with all that has come.
func TestStall(t *testing.T) {
	c, r := faultDay(t, "[[trouble]]\nkind=\"router-stall\"\nrouter=\"north-r1\"\nat=\"11s\"\nfor=\"3s\"\n")
	if c.at[10] == 0 || c.at[11] > 0 || c.at[12] > 0 || c.at[13] > 0 || c.at[14] == 0 || c.lives != 1 {
		t.Errorf("events by second: 10 to 15 s: %d %d %d %d %d %d in %d lives", c.at[10], c.at[11], c.at[12], c.at[13], c.at[14], c.at[15], c.lives)
	}
	if r.Lost+r.Double+r.Drain+r.ColdFalls+r.Held > 0 || r.Troubles[0].FullServiceS == nil {
		t.Errorf("%+v\n%v", r.Troubles, r.Breaches)
	}
}

// A link that is cut brings nothing to a router, and its messages again afterwards.
func TestLinkCut(t *testing.T) {
	c, r := faultDay(t, "[[trouble]]\nkind=\"router-link\"\nrouter=\"north-r1\"\nway=\"in\"\nat=\"11s\"\nfor=\"3s\"\n")
	if c.heard[10] == 0 || c.heard[12] > 0 || c.heard[13] > 0 || c.heard[15] == 0 || !r.RulesHeld {
		t.Errorf("heard by second, 10 to 15 s: %d %d %d %d %d %d, held %v", c.heard[10], c.heard[11], c.heard[12], c.heard[13], c.heard[14], c.heard[15], r.RulesHeld)
	}
}

// A crash loop is as many deaths as it says, and then none.
func TestCrashLoop(t *testing.T) {
	c, r := faultDay(t, "[[trouble]]\nkind=\"router-crash-loop\"\nrouter=\"north-r1\"\nsize=3\nat=\"11s\"\nfor=\"8s\"\n")
	if c.lives != 5 || c.at[25] == 0 || !r.RulesHeld {
		t.Errorf("%d lives, %d events in second 25, held %v", c.lives, c.at[25], r.RulesHeld)
	}
}

// A router that starts while discovery is silent goes on from the list that it finds, which is the day's beginning where nobody has
// renewed it: a node gone since is on it.
func TestOldListWhileDiscoveryIsSilent(t *testing.T) {
	for known, nodes := range map[string]int{"current": 19, "old": 20} {
		c, _ := faultDay(t, `
[[trouble]]
kind = "shrink"
nodes = ["north-c3"]
at = "1s"
for = "20s"
[[trouble]]
kind = "discovery-silence"
at = "12s"
for = "6s"
[[trouble]]
kind = "router-kill"
router = "north-r1"
known = "`+known+`"
at = "13s"
for = "1s"
`)
		if c.lives != 2 {
			t.Fatalf("%d lives", c.lives)
		}
		up := 0
		for _, e := range c.listed[1].Entries {
			if e.State == balance.Up {
				up++
			}
		}
		if c.listed[1].Kind != balance.Persisted || up != nodes {
			t.Errorf("%s: a list of kind %v with %d nodes up, not %d", known, c.listed[1].Kind, up, nodes)
		}
	}
}
