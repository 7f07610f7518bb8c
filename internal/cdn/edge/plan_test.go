package edge

import (
	"fmt"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"

	"gotest.tools/v3/assert"
)

// A mix of the operators had a tenth of its requests refused: the aim of a board is 120 ms and a fetch takes 60 of them, which passed
// for overload; and limits were set before the servers' slots were known.
func TestSettingsOfDecisions(t *testing.T) {
	f := &Edge{set: bootconfig.Settings{Zone: "a"}}
	s := clusterstate.New()
	p := &plan{Manifest: &clusterstate.Manifest{Routes: []clusterstate.Route{
		{Name: "board", Kind: clusterstate.Shelved, Target: 120 * time.Millisecond, Timeout: 1500 * time.Millisecond, Priority: 2, Tries: 3, Split: []clusterstate.Share{{Service: "vault", Weight: 1}}},
		{Name: "claim", Kind: clusterstate.OnceOnly, Target: 500 * time.Millisecond, Timeout: 2 * time.Second, Priority: 1, Tries: 2, Split: []clusterstate.Share{{Service: "vault", Weight: 1}}},
		{Name: "other", Kind: clusterstate.Resendable, Timeout: time.Second, Tries: 1, Split: []clusterstate.Share{{Service: "desk", Weight: 1}, {Service: "vault", Weight: 0}}},
	}}}
	set := f.settings(s, p, "vault")
	assert.Equal(t, len(set.Classes), 2)
	assert.Equal(t, set.Classes[0].Aim, 375*time.Millisecond)
	assert.Equal(t, set.Classes[0].Effect, balance.Safe)
	assert.Equal(t, set.Classes[1].Aim, 500*time.Millisecond)
	assert.Equal(t, set.Classes[1].Effect, balance.Unsafe)
	assert.Equal(t, set.MaxAttempts, 2)
	assert.Equal(t, f.settings(s, p, "desk").Classes[0].Aim, 500*time.Millisecond)
	assert.Equal(t, f.settings(s, p, "none").Classes[0].Name, "none")

	for i := range 11 {
		s.Routers[string(rune('a'+i))] = clusterstate.Router{}
	}
	few := f.settings(s, p, "vault").Routers
	s.Servers["i-1"] = clusterstate.Server{Service: "vault", Slots: 32}
	many := f.settings(s, p, "vault").Routers
	assert.Assert(t, many < few, "%d %d", many, few)
	s.Servers["i-1"] = clusterstate.Server{Service: "vault", Slots: 2}
	assert.Assert(t, f.settings(s, p, "vault").Routers > few)
}

// Shares of an origin's rate add up to no more than its ceiling in any window, however many routers there are and however idle
// they were before.
func TestSharesOfARate(t *testing.T) {
	b := bootconfig.Bounds{CeilingWindow: 5 * time.Second, CeilingExcess: 1.1}
	for _, routers := range []int{1, 11, 82, 420} {
		var r rate
		r.set(410/float64(routers), b)
		r.at = time.Now().Add(-time.Hour) // idle for long
		taken := 0
		for range 3000 { // at one moment
			if r.take(false) {
				taken++
			}
		}
		window := float64(taken) + r.per*b.CeilingWindow.Seconds()
		assert.Assert(t, window*float64(routers) <= 410*5*1.1+float64(routers), "%d: %v", routers, window*float64(routers))
		assert.Assert(t, r.wait(false) > 0 && !r.spare())
	}
	// What was sent to a second server counts as well, before anything else is let; what was let and not sent is given back.
	var r rate
	r.set(20, b)
	for r.take(false) {
	}
	r.spend(-1)
	assert.Assert(t, r.take(false) && !r.take(false))
	r.spend(3)
	assert.Assert(t, r.wait(false) > 100*time.Millisecond && r.wait(false) <= 207*time.Millisecond, r.wait(false).String())
	r.spend(1 << 20) // no debt for ever
	assert.Assert(t, r.wait(false) < 5*time.Second, r.wait(false).String())
	r.spend(-1 << 20) // and no more than may be saved
	assert.Assert(t, r.tokens <= r.burst)

	// A share of a few requests a second is a sliver that lower ranks get as well: what must be saved for them is never more than can be.
	var sliver rate
	sliver.set(1, b)
	sliver.at = time.Now().Add(-time.Minute)
	assert.Assert(t, sliver.take(true), "nothing of a low rank is ever let through")

	var none rate
	none.set(0, b)
	assert.Assert(t, none.take(true) && none.spare() && none.wait(true) == 0)
}

// Under an origin's rate that is used up boards took what tiles, of twice the worth, needed: what ranks below others of its service leaves a
// part of what is saved to those, and gets all the rest; a service whose routes rank alike knows no low ones.
func TestRanksUnderARate(t *testing.T) {
	m := &clusterstate.Manifest{Routes: []clusterstate.Route{
		{Name: "board", Priority: 2, Split: []clusterstate.Share{{Service: "vault", Weight: 1}}},
		{Name: "tile", Priority: 1, Split: []clusterstate.Share{{Service: "vault", Weight: 1}}},
		{Name: "gone", Priority: 0, Split: []clusterstate.Share{{Service: "vault"}, {Service: "desk", Weight: 1}}},
		{Name: "seat", Priority: 0, Split: []clusterstate.Share{{Service: "desk", Weight: 1}}},
	}}
	p, vault, desk := &plan{Manifest: m, ranks: ranks(m)}, &service{name: "vault"}, &service{name: "desk"}
	assert.Assert(t, p.low(&m.Routes[0], nil, vault) && !p.low(&m.Routes[1], nil, vault) && !p.low(&m.Routes[3], nil, desk))

	var r rate
	r.set(100, bootconfig.Bounds{CeilingWindow: 5 * time.Second, CeilingExcess: 1.1})
	r.per = 1e-9 // nothing comes back while the test looks
	boards, tiles := 0, 0
	for r.take(true) {
		boards++
	}
	for r.take(false) {
		tiles++
	}
	assert.Assert(t, tiles >= 8 && boards > 3*tiles, "%d %d", boards, tiles)
}

// Of a large fleet a part talks to the servers of objects, and one router that comes or goes changes one of them at most; the
// shares of all add up to the whole.
func TestShields(t *testing.T) {
	s := clusterstate.New()
	var nodes []string
	for i := range 82 {
		node := fmt.Sprint("edge-", i)
		before := clusterstate.Shields(s.Routers)
		nodes = append(nodes, node)
		s.Routers[node] = clusterstate.Router{Node: node, Weight: 12}
		after := clusterstate.Shields(s.Routers)
		want := i + 1
		if want > 16 {
			want = max(16, want/4)
		}
		assert.Equal(t, len(after), want)
		lost := 0
		for n := range before {
			if !after[n] {
				lost++
			}
		}
		assert.Assert(t, lost <= 1)
	}
	total, asking := 0.0, 0
	for _, n := range nodes {
		share := s.Share("shop", n)
		if total += share; share > 0.01 {
			asking++
		}
	}
	assert.Assert(t, total > 0.999 && total < 1.001 && asking == 20, "%v %d", total, asking)
}

// Among routers of thin links the few strong machines are the shields and the lenders, for what goes by way of a thin link is sent twice over it;
// when they are gone the others do it all, and in a fleet whose machines differ by less all lend. Whoever shields, shares add up to the whole.
func TestStrongMachinesShieldAndLend(t *testing.T) {
	roster := func(edge, store float64, edges, stores int) map[string]clusterstate.Router {
		all := map[string]clusterstate.Router{}
		for i := range edges {
			all[fmt.Sprint("edge-", i)] = clusterstate.Router{Weight: edge}
		}
		for i := range stores {
			all[fmt.Sprint("store-", i)] = clusterstate.Router{Weight: store}
		}
		return all
	}
	cases := []struct {
		name            string
		routers         map[string]clusterstate.Router
		shields, lender int
	}{
		{"thin links beside stores", roster(12, 640, 82, 4), 4, 4},
		{"one store left", roster(12, 640, 82, 1), 1, 1},
		{"none left", roster(12, 640, 82, 0), 20, 82},
		{"wide links beside stores", roster(256, 640, 11, 2), 2, 13},
		{"wide links alone", roster(256, 640, 11, 0), 11, 11},
		{"before weights were told", roster(0, 0, 11, 2), 13, 13},
		{"nobody", nil, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(clusterstate.Shields(c.routers)), c.shields)
			assert.Equal(t, len(clusterstate.Lenders(c.routers)), c.lender)
			total, s := 0.0, clusterstate.New()
			s.Routers = c.routers
			for node := range c.routers {
				total += s.Share("shop", node)
			}
			assert.Assert(t, total < 1.001 && (total > 0.999 || len(c.routers) == 0), total)
		})
	}
}

// A machine that is said to serve clients does not start as one that only lends copies because its address was left out.
func TestAMachineForClientsNeedsTheirAddress(t *testing.T) {
	err := Run(t.Context(), bootconfig.Settings{Serves: []string{"counter"}}, nil)
	assert.ErrorContains(t, err, "network.listen_on.counter")
	err = Run(t.Context(), bootconfig.Settings{Serves: []string{"counter"}, Counter: "127.0.0.1:1"}, nil)
	assert.ErrorContains(t, err, "network.listen_on.readiness")
}

// A machine's weight is what its link and its part of a core bear, whichever is less.
func TestWeightOfAMachine(t *testing.T) {
	assert.Equal(t, weight(bootconfig.Settings{LinkMbps: 12, Cores: 0.16}), 12.0)
	assert.Equal(t, weight(bootconfig.Settings{LinkMbps: 1000, Cores: 0.8}), 0.8*mbpsPerCore)
	assert.Equal(t, weight(bootconfig.Settings{}), 1.0)
}

// Eighty-two routers that each keep a connection would fill a server that takes 63.
func TestIdleConnections(t *testing.T) {
	assert.Equal(t, idleFor([]clusterstate.Service{{ConnCap: 130}, {}}, 11), upstream.IdleFor)
	few := idleFor([]clusterstate.Service{{ConnCap: 130}, {ConnCap: 63}}, 82)
	assert.Assert(t, few < upstream.IdleFor/2 && few > time.Second, few.String())
}

func TestRanges(t *testing.T) {
	cases := []struct {
		text       string
		from, to   int64
		ok, ranged bool
	}{
		{"", 0, 0, false, false}, {"bytes=0-9", 0, 9, true, true}, {"bytes=5-", 5, 99, true, true}, {"bytes=90-200", 90, 99, true, true},
		{"bytes=100-", 100, 99, false, true}, {"bytes=-5", 0, 0, false, false}, {"bytes=9-5", 0, 0, false, false},
		{"bytes=0-1,5-6", 0, 0, false, false}, {"items=0-1", 0, 0, false, false},
	}
	for _, c := range cases {
		from, to, ok, ranged := parseRange(c.text, 100)
		assert.Equal(t, ranged, c.ranged, c.text)
		assert.Equal(t, ok, c.ok, c.text)
		if ok {
			assert.Assert(t, from == c.from && to == c.to, "%s: %d %d", c.text, from, to)
		}
	}
}

// Bytes between zones are dear: the own zone first, and routers of a zone without servers do not all go to the same other one.
func TestNearFirst(t *testing.T) {
	seen := map[string]bool{}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		n := &nearFirst{zone: zone}
		n.Listed(0, map[string]int{"a": 2, "b": 2, "c": 0, "x": 1})
		order := n.Order(0, balance.Visit{})
		assert.Equal(t, len(order), 3)
		if zone == "a" || zone == "b" {
			assert.Equal(t, order[0].Zone, zone)
		} else {
			seen[order[0].Zone] = true
		}
	}
	assert.Assert(t, len(seen) > 1)
}

// A server that takes twice as long as the mean is drawn a quarter as often, and is forgotten once it is gone.
func TestPace(t *testing.T) {
	p := newServerSpeeds()
	assert.Assert(t, p.long("r"), "of what is not known it is assumed")
	p.part("slow")
	for range 200 {
		p.note("r", "quick", 50*time.Millisecond, 6000)
		p.note("r", "slow", 150*time.Millisecond, 0)
	}
	assert.Assert(t, !p.long("r"))
	assert.Assert(t, p.now("quick") > 1.5 && p.now("slow") < 0.6, "%v %v", p.now("quick"), p.now("slow"))
	assert.Assert(t, p.moved(map[string]bool{"quick": true, "slow": true}))
	p.moved(nil)
	assert.Equal(t, len(p.quick)+len(p.told), 0)
}

// What one cache router asks another comes back as it was asked, through the exchange that carries it.
func TestQuestionsAndAnswersSurviveTheWay(t *testing.T) {
	q := Fetch{Target: "/x?y", ID: "try", Route: "r", Index: 7, AgeMS: 5000, ETag: `"1"`, ClientKey: "k-1"}
	q.Key.Service, q.Key.Host, q.Key.Path, q.Key.Query = "s", "h", "/x", "y"
	var got Fetch
	assert.NilError(t, decodeAsk(exchange.New(exchange.Request{Header: encodeAsk(q)}), &got))
	assert.DeepEqual(t, got, q)
	for _, a := range []Fetched{{Status: 200, Whole: true, AgeMS: 3, Index: 9}, {Status: 200, Whole: true, Same: true, AgeMS: 1}, {Refuse: 120}, {Status: 404}, denied(errKeyGone), denied(errNotProven)} {
		back := unpack(a.pack(), nil)
		back.Header = nil
		assert.DeepEqual(t, back, a)
	}
}
