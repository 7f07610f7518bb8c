package virtual

import (
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/scenario"
)

// countingDecider passes events on to the production decisions and counts what the router receives, over all its incarnations.
type countingDecider struct {
	exchange.Balancer
	counts *counts
}

type counts struct {
	incarnations     int
	firstLists       []balance.List // the first node list of each incarnation
	messagesBySecond map[int]int    // messages from other routers, by second
	eventsBySecond   map[int]int    // all events, by second
}

func (d *countingDecider) Handle(now balance.Time, events []balance.Event) []balance.Action {
	second := int((int64(now) - clockEpoch) / int64(time.Second))
	for _, e := range events {
		d.counts.eventsBySecond[second]++
		switch e := e.(type) {
		case balance.List:
			if len(d.counts.firstLists) < d.counts.incarnations {
				d.counts.firstLists = append(d.counts.firstLists, e)
			}
		case balance.PeerMessage:
			d.counts.messagesBySecond[second]++
		}
	}
	return d.Balancer.Handle(now, events)
}

// runWithTroubles runs 30 s of eight routers with troubles and returns what the first router received in all its incarnations.
func runWithTroubles(t *testing.T, troubles string, sets ...string) (*counts, *ledger.Report) {
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
	c := &counts{messagesBySecond: map[int]int{}, eventsBySecond: map[int]int{}}
	r, err := Run(t.Context(), s, Options{Seed: 1, NewDecider: func(set balance.Settings, seed uint64) exchange.Balancer {
		if set.Index > 0 {
			return balance.New(set, seed)
		}
		c.incarnations++
		return &countingDecider{balance.New(set, seed), c}
	}})
	if err != nil {
		t.Fatal(err)
	}
	return c, r
}

// A stalled router neither receives nor sends anything, is excused for the time of the stall, and handles everything that arrived
// when it resumes.
func TestStall(t *testing.T) {
	c, r := runWithTroubles(t, "[[trouble]]\nkind=\"router-stall\"\nrouter=\"north-r1\"\nat=\"11s\"\nfor=\"3s\"\n")
	if c.eventsBySecond[10] == 0 || c.eventsBySecond[11] > 0 || c.eventsBySecond[12] > 0 || c.eventsBySecond[13] > 0 || c.eventsBySecond[14] == 0 || c.incarnations != 1 {
		t.Errorf("events by second, 10 to 15 s: %d %d %d %d %d %d in %d incarnations", c.eventsBySecond[10], c.eventsBySecond[11], c.eventsBySecond[12], c.eventsBySecond[13], c.eventsBySecond[14], c.eventsBySecond[15], c.incarnations)
	}
	if r.Lost+r.Double+r.Drain+r.ColdFalls+r.Held > 0 || r.Troubles[0].FullServiceS == nil {
		t.Errorf("%+v\n%v", r.Troubles, r.Breaches)
	}
}

// A cut link delivers no messages to a router until the cut ends.
func TestLinkCut(t *testing.T) {
	c, r := runWithTroubles(t, "[[trouble]]\nkind=\"router-link\"\nrouter=\"north-r1\"\nway=\"in\"\nat=\"11s\"\nfor=\"3s\"\n")
	if c.messagesBySecond[10] == 0 || c.messagesBySecond[12] > 0 || c.messagesBySecond[13] > 0 || c.messagesBySecond[15] == 0 || !r.RulesHeld {
		t.Errorf("messages by second, 10 to 15 s: %d %d %d %d %d %d, rules held %v", c.messagesBySecond[10], c.messagesBySecond[11], c.messagesBySecond[12], c.messagesBySecond[13], c.messagesBySecond[14], c.messagesBySecond[15], r.RulesHeld)
	}
}

// A crash loop kills the router as often as configured, and then no more.
func TestCrashLoop(t *testing.T) {
	c, r := runWithTroubles(t, "[[trouble]]\nkind=\"router-crash-loop\"\nrouter=\"north-r1\"\nsize=3\nat=\"11s\"\nfor=\"8s\"\n")
	if c.incarnations != 5 || c.eventsBySecond[25] == 0 || !r.RulesHeld {
		t.Errorf("%d incarnations, %d events in second 25, rules held %v", c.incarnations, c.eventsBySecond[25], r.RulesHeld)
	}
}

// A router that starts while discovery is silent uses the list in its configuration. If that was never updated, it is the list
// of the beginning of the run, with a node that has left since.
func TestOldListWhileDiscoveryIsSilent(t *testing.T) {
	for known, nodes := range map[string]int{"current": 19, "old": 20} {
		c, _ := runWithTroubles(t, `
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
		if c.incarnations != 2 {
			t.Fatalf("%d incarnations", c.incarnations)
		}
		up := 0
		for _, e := range c.firstLists[1].Entries {
			if e.State == balance.Up {
				up++
			}
		}
		if c.firstLists[1].Kind != balance.Persisted || up != nodes {
			t.Errorf("%s: list of kind %v with %d nodes up, want %d", known, c.firstLists[1].Kind, up, nodes)
		}
	}
}
