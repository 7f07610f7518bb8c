package model

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/scenario"
)

// testHost is a host in virtual time with one router that sends each request to a node chosen by the test and passes the
// answer on.
type testHost struct {
	*World
	choose  func(t *Try) *Node
	told    map[string]string // by node: the last state that the router was told
	notes   []string
	started []int
}

func (v *testHost) Send(t *Try) {
	n := v.choose(t)
	if n == nil || !n.up {
		v.After(0, func() { v.Answered(t, Answer{Outcome: ledger.Refused}, v.Now()) })
		return
	}
	n.Arrive(&Job{ID: t.CorrelationID, Router: t.Router, Reply: func(r *Reply) {
		v.After(r.Delay, func() {
			o := ledger.Failed
			switch {
			case r.Corrupt:
			case r.Status == StatusOK:
				o = ledger.Served
			case r.Status == StatusUnavailable:
				o = ledger.Refused
			}
			v.Answered(t, Answer{Outcome: o, Body: r.Body}, v.Now())
		})
	}})
}
func (v *testHost) CloseClient(*Try) bool           { return true }
func (v *testHost) NodeDown(*Node)                  {}
func (v *testHost) NodeUp(*Node)                    {}
func (v *testHost) SetNodeSilence(*Node, int, bool) {}
func (v *testHost) DiscoveryUpdated(router int) {
	_, whole, entries := v.List(router, 0, false)
	for _, e := range entries {
		v.told[e.Node.Name] = e.Status
	}
	for _, n := range v.Nodes {
		listed := false
		for _, e := range entries {
			listed = listed || e.Node == n
		}
		if !listed {
			v.told[n.Name] = "gone"
		}
	}
	v.ListSent(router, whole, entries)
}
func (v *testHost) SetDiscoverySilence(bool)   {}
func (v *testHost) SetDiskFull(int, bool)      {}
func (v *testHost) SetRouterStalled(int, bool) {}
func (v *testHost) StartRouter(r int, _ StoredState) {
	v.started = append(v.started, r)
	v.RouterReady(r)
}
func (v *testHost) KillRouter(r int)                { v.RouterEnded(r, true) }
func (v *testHost) StopRouter(r int)                { v.RouterStopping(r); v.RouterEnded(r, false) }
func (v *testHost) ReloadRouter(int)                {}
func (v *testHost) BadClients(int, time.Duration)   {}
func (v *testHost) RecordEvent(_ Time, what string) { v.notes = append(v.notes, what) }
func (v *testHost) play() *ledger.Report {
	for r := range v.Routers() {
		v.RouterReady(r)
	}
	v.Start()
	for !v.Done() {
		at, ok := v.Next()
		if !ok {
			at = v.scenario.Length.D()
		}
		v.Run(at)
	}
	return v.Ledger().Report()
}

func newTestHost(t *testing.T, seed uint64, text string, sets ...string) *testHost {
	t.Helper()
	s, err := scenario.Parse("day", []byte("name = \"day\"\nbase = \"calm\"\n"+text), sets...)
	if err != nil {
		t.Fatal(err)
	}
	v := &testHost{told: map[string]string{}}
	v.World = New(s, seed, v)
	v.choose = func(t *Try) *Node { // by key, skipping nodes that are down
		for k := range uint64(len(v.Nodes)) {
			if n := v.Nodes[(t.Key+k)%uint64(len(v.Nodes))]; n.up && !n.silentToAll {
				return n
			}
		}
		return nil
	}
	return v
}

// A run is deterministic for a seed, and the drawn input doesn't depend on what the router does.
func TestRunIsDeterministic(t *testing.T) {
	play := func(seed uint64, choose func(v *testHost) func(*Try) *Node) (*ledger.Report, []Request) {
		v := newTestHost(t, seed, "length = \"20s\"\nshort = \"20s\"")
		if choose != nil {
			v.choose = choose(v)
		}
		var drawn []Request
		for _, a := range v.requests {
			drawn = append(drawn, *a)
		}
		return v.play(), drawn
	}
	a, asked := play(1, nil)
	b, again := play(1, nil)
	if !reflect.DeepEqual(a, b) || !reflect.DeepEqual(asked, again) {
		t.Error("two runs with the same seed differ")
	}
	_, other := play(1, func(v *testHost) func(*Try) *Node { return func(*Try) *Node { return nil } })
	if !reflect.DeepEqual(asked, other) {
		t.Error("the requests depend on the behaviour of the router")
	}
	if _, other = play(2, nil); reflect.DeepEqual(asked, other) {
		t.Error("two seeds gave the same requests")
	}
	if !a.RulesHeld || a.Score < 0.9 || math.Abs(float64(a.Requests)-20*70) > 150 {
		t.Errorf("calm scenario: %+v", a)
	}
}

// A cache keeps what it fetched, evicts the least recently used entry and is invalidated by writes; reads of one key share a fetch.
func TestCacheAndFetches(t *testing.T) {
	v := newTestHost(t, 1, "rate = 0.1\nwarm_up = \"0s\"\nlength = \"1s\"\nshort = \"1s\"", "model[0].cache=2", "model[1].cache=2", "model[0].cold_from=1.0")
	n := v.Nodes[0]
	ids, got := 0, []string{}
	ask := func(class int, key uint64) {
		ids++
		id := fmt.Sprint("t", ids)
		v.tries[id] = &Try{Request: &Request{Class: class, Key: key, Work: time.Millisecond}, CorrelationID: id, IdempotencyKey: id}
		n.Arrive(&Job{ID: id, Reply: func(r *Reply) { got = append(got, r.Lookup) }})
	}
	v.ledger = ledger.New(v.scenario, make([]ledger.Request, 1))
	settle := func() string {
		v.Run(v.Now() + 5*time.Second)
		s := strings.Join(got, " ")
		got = nil
		return s
	}
	ask(0, 1)
	ask(0, 1)
	if s := settle(); s != "miss pending" || v.db.Fetches != 1 {
		t.Errorf("two concurrent reads: %s, %d fetches", s, v.db.Fetches)
	}
	ask(0, 1)
	if s := settle(); s != "hit" {
		t.Errorf("repeated read: %s", s)
	}
	ask(0, 2)
	ask(0, 3)
	settle()
	ask(0, 1)
	if s := settle(); s != "miss" {
		t.Errorf("least recently used of three keys in a cache of two: %s", s)
	}
	ask(2, 1) // a write
	settle()
	ask(0, 1)
	if s := settle(); s != "miss" {
		t.Errorf("read after a write: %s", s)
	}
}

// A cold node that is offered a multiple of its capacity for some time collapses and stays down. A warm node under the same
// load does not, and neither does a cold one after a short burst.
func TestColdNodeCollapse(t *testing.T) {
	for name, c := range map[string]struct {
		cold  bool
		burst time.Duration
		falls bool
	}{"cold": {true, 4 * time.Second, true}, "warm": {false, 4 * time.Second, false}, "a burst": {true, 900 * time.Millisecond, false}} {
		v := newTestHost(t, 1, "rate = 0.1\nwarm_up = \"0s\"\nlength = \"1s\"\nshort = \"1s\"", "model[0].queue=100000")
		n := v.Nodes[0]
		v.ledger = ledger.New(v.scenario, make([]ledger.Request, 1))
		if c.cold {
			v.stopNode(n, false)
			v.startNode(n)
		}
		for at := time.Duration(0); at < c.burst; at += 10 * time.Millisecond { // 5 cores' worth; it has 2, cold 0.4
			v.At(v.Now()+at, func() {
				id := fmt.Sprint("t", v.Now())
				v.tries[id] = &Try{Request: &Request{Work: 50 * time.Millisecond}, CorrelationID: id, IdempotencyKey: id}
				n.Arrive(&Job{ID: id, Reply: func(*Reply) {}})
			})
		}
		v.Run(20 * time.Second)
		if n.collapsed != c.falls || v.ledger.Counts.ColdFalls != map[bool]int{true: 1}[c.falls] {
			t.Errorf("%s: collapsed %v, %d cold falls recorded", name, n.collapsed, v.ledger.Counts.ColdFalls)
		}
		if v.startNode(n); n.up == c.falls {
			t.Errorf("%s: up %v after a restart", name, n.up)
		}
	}
}

// Each trouble has the effect that the reference describes, and leaves the fleet as it was.
func TestTroubles(t *testing.T) {
	const length = "length = \"40s\"\nshort = \"40s\"\nrate = 20\n"
	trouble := func(lines string) string { return length + "[[trouble]]\nat = \"2s\"\n" + lines }
	for name, c := range map[string]struct {
		text string
		at   Time
		then func(v *testHost) bool
	}{
		"crash":   {trouble("kind = \"crash\"\nnodes = [\"north-c1\"]\nfor = \"8s\""), 9 * time.Second, func(v *testHost) bool { return !v.Nodes[0].up && v.told["north-c1"] == "gone" }},
		"silence": {trouble("kind = \"silence\"\nnodes = [\"north-c1\"]\nfor = \"20s\""), 20 * time.Second, func(v *testHost) bool { return v.Nodes[0].Silent(2) && v.told["north-c1"] == "gone" }},
		"cut":     {trouble("kind = \"cut\"\nnodes = [\"north-c1\"]\nrouter = \"south-r1\"\nfor = \"8s\""), 5 * time.Second, func(v *testHost) bool { return v.Nodes[0].Silent(1) && !v.Nodes[0].Silent(0) }},
		"freeze":  {trouble("kind = \"freeze\"\nnodes = [\"north-c1\"]\nfor = \"8s\""), 9 * time.Second, func(v *testHost) bool { return v.Nodes[0].frozen && v.Nodes[0].busy == 2 }},
		"site-loss": {trouble("kind = \"site-loss\"\nsite = \"north\"\nwith_routers = true\nfor = \"8s\""), 5 * time.Second,
			func(v *testHost) bool {
				return v.Nodes[3].silentToAll && !v.Nodes[4].silentToAll && !v.inRotation[0] && v.inRotation[1]
			}},
		"shrink": {trouble("kind = \"shrink\"\nnodes = [\"north-c1\"]\nfor = \"15s\""), 7 * time.Second,
			func(v *testHost) bool { return v.Nodes[0].draining && v.told["north-c1"] == "DRAINING" }},
		"deploy":          {trouble("kind = \"deploy\"\nfor = \"25s\""), 10 * time.Second, func(v *testHost) bool { return v.Nodes[0].started > 0 && v.Nodes[0].up }},
		"grow":            {length + "[[trouble]]\nat = \"6s\"\nkind = \"grow\"\nnodes = [\"north-c1\"]", 5 * time.Second, func(v *testHost) bool { return !v.Nodes[0].up }},
		"flap":            {trouble("kind = \"discovery-flap\"\nnodes = [\"north-c1\"]\nfor = \"5s\""), 3 * time.Second, func(v *testHost) bool { return v.Nodes[0].up && v.told["north-c1"] == "gone" }},
		"database-stall":  {trouble("kind = \"database-stall\"\nfor = \"5s\""), 6 * time.Second, func(v *testHost) bool { return len(v.db.heldCompletions) > 0 }},
		"router-stop":     {trouble("kind = \"router-stop\"\nrouter = \"north-r1\"\nfor = \"5s\""), 5 * time.Second, func(v *testHost) bool { return !v.inRotation[0] }},
		"discovery-stale": {trouble("kind = \"discovery-stale\"\nfor = \"15s\"\n[[trouble]]\nat = \"3s\"\nkind = \"crash\"\nnodes = [\"north-c1\"]\nfor = \"25s\""), 16 * time.Second, func(v *testHost) bool { return !v.Nodes[0].up && v.told["north-c1"] == "" }},
	} {
		v := newTestHost(t, 3, c.text)
		reached := false
		v.At(c.at, func() { reached = c.then(v) })
		r := v.play()
		if !reached {
			t.Errorf("%s: expected state not reached at %v", name, c.at)
		}
		v.Run(60 * time.Second)
		for i, n := range v.Nodes {
			if !n.up || n.silentToAll || n.frozen || n.draining || len(n.silent) > 0 || v.told[n.Name] != "" && v.told[n.Name] != "SERVING" {
				t.Errorf("%s: %s did not return to its initial state: %+v, told %q", name, n.Name, *n, v.told[n.Name])
			}
			if n.busy != 0 || len(n.waiting) != 0 || len(n.pendingReads) != 0 {
				t.Errorf("%s: node %d has unfinished work at the end", name, i)
			}
		}
		if name != "site-loss" && !v.inRotation[0] || v.db.stalls != 0 {
			t.Errorf("%s: routers %v, database %+v", name, v.inRotation, v.db.stalls)
		}
		if r.Double != 0 || r.ColdFalls > 0 && name != "deploy" && name != "site-loss" {
			t.Errorf("%s: %v", name, r.Breaches)
		}
	}
}

// Key popularity follows the settings: hot keys get their share while they are hot, and rank changes move the popularity.
func TestKeys(t *testing.T) {
	const text = "length = \"40s\"\nshort = \"40s\"\nrate = 300\nwarm_up = \"0s\"\n[[trouble]]\nkind = \"hot-key\"\nsize = 2\npart = 0.4\nat = \"10s\"\nfor = \"10s\"\n"
	top := func(v *testHost, from, to Time) (part float64, keys map[uint64]int) {
		n := 0
		keys = map[uint64]int{}
		for _, a := range v.requests {
			if a.At >= from && a.At < to {
				keys[a.Key]++
				n++
			}
		}
		first, second := 0, 0
		for _, k := range keys {
			if k > first {
				first, second = k, first
			} else if k > second {
				second = k
			}
		}
		return float64(first+second) / float64(n), keys
	}
	v := newTestHost(t, 1, text)
	before, _ := top(v, 0, 10*time.Second)
	hot, _ := top(v, 10*time.Second, 20*time.Second)
	after, _ := top(v, 20*time.Second, 30*time.Second)
	if hot < 0.35 || hot > 0.5 || before > 0.15 || after > 0.15 {
		t.Errorf("the two most requested keys have a share of %.2f, %.2f and %.2f of the requests", before, hot, after)
	}
	common := func(sets ...string) (n int) {
		v := newTestHost(t, 1, text, sets...)
		_, early := top(v, 0, 5*time.Second)
		_, late := top(v, 35*time.Second, 40*time.Second)
		for k, times := range early {
			if times > 2 && late[k] > 2 {
				n++
			}
		}
		return n
	}
	if still, moving := common(), common("keys.changes=50"); moving*2 > still {
		t.Errorf("%d keys are popular early and late, %d with rank changes", still, moving)
	}
}
