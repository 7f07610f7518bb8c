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

// A fetch's class must have a longer target than the route, and the number of routers must follow the servers' slots. Otherwise a tenth of
// the requests of an operators' mix was refused: the target was 120 ms of which a fetch takes 60, which looked like overload, and limits
// were set before the servers' slots were known.
func TestLoopSettings(t *testing.T) {
	e := &Edge{config: bootconfig.Settings{Zone: "a"}}
	s := clusterstate.New()
	p := &plan{Manifest: &clusterstate.Manifest{Routes: []clusterstate.Route{
		{Name: "board", Kind: clusterstate.KindCacheable, Target: 120 * time.Millisecond, Timeout: 1500 * time.Millisecond,
			Priority: 2, Tries: 3, Split: []clusterstate.ServiceShare{{Service: "vault", Weight: 1}}},
		{Name: "claim", Kind: clusterstate.KindOnceOnly, Target: 500 * time.Millisecond, Timeout: 2 * time.Second,
			Priority: 1, Tries: 2, Split: []clusterstate.ServiceShare{{Service: "vault", Weight: 1}}},
		{Name: "other", Kind: clusterstate.KindResendable, Timeout: time.Second, Tries: 1,
			Split: []clusterstate.ServiceShare{{Service: "desk", Weight: 1}, {Service: "vault", Weight: 0}}},
	}}}
	set := e.loopSettings(s, p, "vault")
	assert.Equal(t, len(set.Classes), 2)
	assert.Equal(t, set.Classes[0].Target, 375*time.Millisecond)
	assert.Equal(t, set.Classes[0].Effect, balance.Safe)
	assert.Equal(t, set.Classes[1].Target, 500*time.Millisecond)
	assert.Equal(t, set.Classes[1].Effect, balance.Unsafe)
	assert.Equal(t, set.MaxAttempts, 2)
	assert.Equal(t, e.loopSettings(s, p, "desk").Classes[0].Target, 500*time.Millisecond)
	assert.Equal(t, e.loopSettings(s, p, "none").Classes[0].Name, "none")

	for i := range 11 {
		s.Routers[string(rune('a'+i))] = clusterstate.Router{}
	}
	few := e.loopSettings(s, p, "vault").Routers
	s.Servers["i-1"] = clusterstate.Server{Service: "vault", Slots: 32}
	many := e.loopSettings(s, p, "vault").Routers
	assert.Assert(t, many < few, "%d %d", many, few)
	s.Servers["i-1"] = clusterstate.Server{Service: "vault", Slots: 2}
	assert.Assert(t, e.loopSettings(s, p, "vault").Routers > few)
}

// The routers' shares of a service's rate add up to no more than its ceiling in any window, for any number of routers, also after they were
// idle.
func TestRateLimiterShares(t *testing.T) {
	b := bootconfig.Limits{CeilingWindow: 5 * time.Second, CeilingExcess: 1.1}
	for _, routers := range []int{1, 11, 82, 420} {
		var r rateLimiter
		r.setRate(410/float64(routers), b)
		r.refilledAt = time.Now().Add(-time.Hour) // idle for a long time
		taken := 0
		for range 3000 { // at once
			if r.take(false) {
				taken++
			}
		}
		window := float64(taken) + r.perSecond*b.CeilingWindow.Seconds()
		assert.Assert(t, window*float64(routers) <= 410*5*1.1+float64(routers), "%d: %v", routers, window*float64(routers))
		assert.Assert(t, r.waitTime(false) > 0 && !r.hasSpare())
	}
	// Retries are charged before any other request is let through; unused tokens are returned.
	var r rateLimiter
	r.setRate(20, b)
	for r.take(false) {
	}
	r.charge(-1)
	assert.Assert(t, r.take(false) && !r.take(false))
	r.charge(3)
	assert.Assert(t, r.waitTime(false) > 100*time.Millisecond && r.waitTime(false) <= 207*time.Millisecond, r.waitTime(false).String())
	r.charge(1 << 20) // the debt is bounded
	assert.Assert(t, r.waitTime(false) < 5*time.Second, r.waitTime(false).String())
	r.charge(-1 << 20) // and so is the balance
	assert.Assert(t, r.tokens <= r.burst)

	// A very small share still lets low ranks through: the tokens that they need are never more than the burst.
	var sliver rateLimiter
	sliver.setRate(1, b)
	sliver.refilledAt = time.Now().Add(-time.Minute)
	assert.Assert(t, sliver.take(true), "no request of a low rank is ever let through")

	var none rateLimiter
	none.setRate(0, b)
	assert.Assert(t, none.take(true) && none.hasSpare() && none.waitTime(true) == 0)
}

// When a rate limit is used up, low ranks leave a part of the burst to the service's highest rank and get all the rest. A service whose
// routes have equal ranks has no low ones. Without this, boards took the tokens that tiles, of twice the priority, needed.
func TestRateLimiterRanks(t *testing.T) {
	m := &clusterstate.Manifest{Routes: []clusterstate.Route{
		{Name: "board", Priority: 2, Split: []clusterstate.ServiceShare{{Service: "vault", Weight: 1}}},
		{Name: "tile", Priority: 1, Split: []clusterstate.ServiceShare{{Service: "vault", Weight: 1}}},
		{Name: "gone", Priority: 0, Split: []clusterstate.ServiceShare{{Service: "vault"}, {Service: "desk", Weight: 1}}},
		{Name: "seat", Priority: 0, Split: []clusterstate.ServiceShare{{Service: "desk", Weight: 1}}},
	}}
	p, vault, desk := &plan{Manifest: m, topRanks: topRanks(m)}, &service{name: "vault"}, &service{name: "desk"}
	assert.Assert(t, p.ranksLow(&m.Routes[0], nil, vault) && !p.ranksLow(&m.Routes[1], nil, vault) && !p.ranksLow(&m.Routes[3], nil, desk))

	var r rateLimiter
	r.setRate(100, bootconfig.Limits{CeilingWindow: 5 * time.Second, CeilingExcess: 1.1})
	r.perSecond = 1e-9 // no refill during the test
	boards, tiles := 0, 0
	for r.take(true) {
		boards++
	}
	for r.take(false) {
		tiles++
	}
	assert.Assert(t, tiles >= 8 && boards > 3*tiles, "%d %d", boards, tiles)
}

// In a large fleet only some routers are shields, and a router that joins changes at most one of them. All shares add up to one.
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
		share := s.RateShare("shop", n)
		if total += share; share > 0.01 {
			asking++
		}
	}
	assert.Assert(t, total > 0.999 && total < 1.001 && asking == 20, "%v %d", total, asking)
}

// Among routers with slow links the few strong machines are the shields and the peer sources, because an object that goes through a
// router with a slow link is sent twice over that link. When they are gone the others are both, and in a fleet whose machines differ by
// less all routers are peer sources. All shares add up to one in each case.
func TestShieldsAndPeerSources(t *testing.T) {
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
		name             string
		routers          map[string]clusterstate.Router
		shields, sources int
	}{
		{"slow links and stores", roster(12, 640, 82, 4), 4, 4},
		{"slow links and one store", roster(12, 640, 82, 1), 1, 1},
		{"slow links alone", roster(12, 640, 82, 0), 20, 82},
		{"fast links and stores", roster(256, 640, 11, 2), 2, 13},
		{"fast links alone", roster(256, 640, 11, 0), 11, 11},
		{"weights not known yet", roster(0, 0, 11, 2), 13, 13},
		{"nobody", nil, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(clusterstate.Shields(c.routers)), c.shields)
			assert.Equal(t, len(clusterstate.PeerSources(c.routers)), c.sources)
			total, s := 0.0, clusterstate.New()
			s.Routers = c.routers
			for node := range c.routers {
				total += s.RateShare("shop", node)
			}
			assert.Assert(t, total < 1.001 && (total > 0.999 || len(c.routers) == 0), total)
		})
	}
}

// A machine that is configured to serve clients must not start without a client address, as a machine that only serves other routers would.
func TestClientAddressIsRequired(t *testing.T) {
	err := Run(t.Context(), bootconfig.Settings{Serves: []string{"counter"}}, nil)
	assert.ErrorContains(t, err, "network.listen_on.counter")
	err = Run(t.Context(), bootconfig.Settings{Serves: []string{"counter"}, ClientAddress: "127.0.0.1:1"}, nil)
	assert.ErrorContains(t, err, "network.listen_on.readiness")
}

// A machine's weight is the capacity of its link or of its share of a core, whichever is less.
func TestMachineWeight(t *testing.T) {
	assert.Equal(t, machineWeight(bootconfig.Settings{LinkMbps: 12, Cores: 0.16}), 12.0)
	assert.Equal(t, machineWeight(bootconfig.Settings{LinkMbps: 1000, Cores: 0.8}), 0.8*mbpsPerCore)
	assert.Equal(t, machineWeight(bootconfig.Settings{}), 1.0)
}

// Eighty-two routers that each keep a connection would fill a server that accepts 63.
func TestIdleTimeout(t *testing.T) {
	assert.Equal(t, idleTimeout([]clusterstate.Service{{ConnCap: 130}, {}}, 11), upstream.IdleTimeout)
	few := idleTimeout([]clusterstate.Service{{ConnCap: 130}, {ConnCap: 63}}, 82)
	assert.Assert(t, few < upstream.IdleTimeout/2 && few > time.Second, few.String())
}

func TestParseRange(t *testing.T) {
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

// The own zone comes first, and routers of zones without servers don't all prefer the same other zone.
func TestZoneFirstTiers(t *testing.T) {
	seen := map[string]bool{}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		tiers := &zoneFirstTiers{zone: zone}
		tiers.SetUp(0, map[string]int{"a": 2, "b": 2, "c": 0, "x": 1})
		order := tiers.Order(0, balance.RequestInfo{})
		assert.Equal(t, len(order), 3)
		if zone == "a" || zone == "b" {
			assert.Equal(t, order[0].Zone, zone)
		} else {
			seen[order[0].Zone] = true
		}
	}
	assert.Assert(t, len(seen) > 1)
}

// A server that takes twice as long as the mean gets a quarter of the requests, and is dropped once it is removed.
func TestServerSpeeds(t *testing.T) {
	speeds := newServerSpeeds()
	assert.Assert(t, speeds.hasLongBodies("r"), "an unknown route is assumed to have long bodies")
	speeds.weightFactor("slow")
	for range 200 {
		speeds.record("r", "quick", 50*time.Millisecond, 6000)
		speeds.record("r", "slow", 150*time.Millisecond, 0)
	}
	assert.Assert(t, !speeds.hasLongBodies("r"))
	assert.Assert(t, speeds.factor("quick") > 1.5 && speeds.factor("slow") < 0.6, "%v %v", speeds.factor("quick"), speeds.factor("slow"))
	assert.Assert(t, speeds.changed(map[string]bool{"quick": true, "slow": true}))
	speeds.changed(nil)
	assert.Equal(t, len(speeds.relativeTime)+len(speeds.reported), 0)
}

// A Fetch and its response are unchanged after they were encoded for package exchange and decoded.
func TestFetchHeaderRoundTrip(t *testing.T) {
	q := Fetch{Target: "/x?y", ID: "try", Route: "r", Index: 7, AgeMS: 5000, ETag: `"1"`, ClientKey: "k-1"}
	q.Key.Service, q.Key.Host, q.Key.Path, q.Key.Query = "s", "h", "/x", "y"
	var got Fetch
	assert.NilError(t, decodeFetch(exchange.New(exchange.Request{Header: encodeFetch(q)}), &got))
	assert.DeepEqual(t, got, q)
	for _, a := range []Fetched{{Status: 200, Whole: true, AgeMS: 3, Index: 9}, {Status: 200, Whole: true, Same: true, AgeMS: 1},
		{Refuse: 120}, {Status: 404}, deniedFetch(errUnknownKey), deniedFetch(errNotProven)} {
		back := decodeFetched(a.encodeHeader(), nil)
		back.Header = nil
		assert.DeepEqual(t, back, a)
	}
}
