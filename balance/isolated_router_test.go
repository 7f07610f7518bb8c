package balance

import (
	"fmt"
	"testing"
	"time"
)

// isolatedHarness returns the router of one client process among hundreds, without messages between routers.
func isolatedHarness(t *testing.T, caches int, change ...func(*Settings)) *harness {
	set := manyRoutersSettings()
	set.PeerMessages, set.ParallelAttempts, set.StreamsPerConn, set.MaxAttempts, set.OverSharePriority = false, true, 100, 5, 0.05
	for _, c := range change {
		c(&set)
	}
	g := newHarness(t, set)
	g.caches(caches)
	return g
}

// serve requests n keys one after the other; the cache answers each after the time took, then there is a pause.
func (g *harness) serve(n int, took, pause time.Duration) {
	for i := range n {
		id := fmt.Sprint(g.now, "/", i)
		g.requestKey(id, uint64(i))
		g.run(took)
		if len(g.tries[RequestID(id)]) > 0 {
			g.answer(id, OK)
		}
		g.run(pause)
	}
}

// Caches accept a fixed number of connections. When each refused connection used up a retry token and one of the request's attempts,
// ejected the cache after three and closed the gate, a third of all requests failed though the caches were healthy.
func TestRefusedConnectionsCostLittle(t *testing.T) {
	g := isolatedHarness(t, 8)
	g.serve(40, 0, 0)
	full, key := g.b.caches[0], uint64(1)
	for _, s := range g.b.caches[:7] {
		s.connected = false
	}
	for ; g.b.servers[g.b.table.lookup(mix(key))] != full; key++ {
	}
	before := g.b.retryBudget
	g.requestKey("a", key)
	g.answer("a", NoConnect)
	if to := g.tries["a"]; len(to) != 2 || to[0] != full.Server || !g.b.servers[to[1]].connected || g.b.retryBudget < before ||
		g.b.cacheGate.ratio < 1 || full.ejectedUntil != 0 || g.b.healthy(full) {
		t.Errorf("sent to %v, %.1f of %.1f retries left, gate %.2f, %+v", to, g.b.retryBudget, before, g.b.cacheGate.ratio, full)
	}
	if g.b.now += 3000 * ms; !g.b.healthy(full) {
		t.Error("the cache is not dialled again")
	}
}

// Routers that keep a connection to each cache for a minute fill the caches' connection tables together.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	for want, change := range []func(*Settings){func(s *Settings) { s.StreamsPerConn = 1 }, func(*Settings) {}} {
		g := isolatedHarness(t, 1, change)
		g.serve(1, 0, 0)
		g.run(17 * time.Second) // 32 targets are 16 s; whether the action closes connections is tested where the router is started
		if connected := g.b.caches[0].connected; connected != (want == 0) {
			t.Errorf("case %d: connected %v", want, connected)
		}
	}
}

// A router may carry a hundred times another's traffic. With the allowance divided by the routers, all tenants were over their shares
// at a busy router and none at a quiet one. A tenant that is alone at a router is not compared, or all its requests would be over.
func TestIsolatedRouterComparesTenants(t *testing.T) {
	for n, gap := range []Time{5 * ms, 200 * ms, 5 * ms, 200 * ms} {
		g, over, alone := isolatedHarness(t, 1, func(s *Settings) {
			s.Tenants = []Tenant{{"t0", 100}, {"t1", 100}, {"t2", 100}, {"t3", 100}}
		}), [4]float64{}, n > 1
		for i := range 2000 { // t0 sends five times as much as each of the others, or is alone
			tenant := max(0, i%8-4)
			if alone {
				tenant = 0
			}
			if g.b.now += gap; g.b.overShare(fmt.Sprint("t", tenant)) {
				over[tenant]++
			}
		}
		if alone && over[0] > 0 || !alone && (over[0] < 750 || over[0] > 1060) || over[1] > 12 {
			t.Errorf("requests %v apart, alone %v: %v of 2000 over their shares", time.Duration(gap), alone, over)
		}
	}
}

// Guards against these faults: gates of quiet routers closed after single late attempts, since nothing had been answered for one target;
// under overload they took a minute to close, with a mean over two answers per cache, and never closed for an outlier, which any
// cache is among few sends. Writes that are slow when all is well closed the origin's gate. Traffic of very low priority was
// admitted until answers were late.
func TestGatesOfIsolatedRouters(t *testing.T) {
	g := isolatedHarness(t, 8)
	g.serve(10, 0, 2*time.Second)
	g.serve(1, 300*time.Millisecond, 0)
	quiet := g.b.cacheGate.ratio
	g = isolatedHarness(t, 80)
	g.serve(60, 450*time.Millisecond, 0)
	s, overloaded := g.b.caches[3], g.b.cacheGate.ratio
	s.load.seconds, g.b.load.seconds, g.b.now = 5, 6, g.now+1000*ms
	if g.b.adjustGate(s, false); quiet < 1 || overloaded > 0.7 || g.b.cacheGate.ratio >= overloaded || !g.b.isOutlier(s) {
		t.Errorf("gate at %.2f when quiet, %.2f under overload, %.2f after an outlier", quiet, overloaded, g.b.cacheGate.ratio)
	}
	slow := &server{isOrigin: true, lastGood: g.b.now, latency: g.b.target / 5}
	g.b.adjustGate(slow, false)
	calm := g.b.originGate.ratio
	slow.latency = g.b.target / 3
	if g.b.adjustGate(slow, false); calm < 1 || g.b.originGate.ratio >= 1 {
		t.Errorf("the origin's gate is at %.2f, then %.2f under overload", calm, g.b.originGate.ratio)
	}
	r := &request{class: g.b.class(Request{Class: "read"}), priority: 0.05}
	for n, latency := range []time.Duration{g.b.target / 4, g.b.target * 2 / 5} {
		if g.b.cacheGate.ratio, g.b.meanPriority, g.b.fleetLatency = 1, 0.5, latency; g.b.admits(&g.b.cacheGate, r) != (n == 0) {
			t.Errorf("while answers take %v, traffic of very low priority is admitted: %v", latency, n == 1)
		}
	}
}

// A key that came twice among a few dozen sends was treated as hot and went to any cache: half of all reads missed. And hundreds of
// routers opened their connections to a cold cache at once, which is work as well and overloaded it.
func TestHotKeysAndColdDialsOfIsolatedRouters(t *testing.T) {
	g := isolatedHarness(t, 40)
	for i := range 100 {
		g.b.hotKeySpread(uint32(i / 2))
	}
	s, twice := g.b.caches[0], g.b.hotKeySpread(49)
	r := &request{class: g.b.class(Request{Class: "read"})}
	g.b.send(r, s)
	dialled := s.tokens
	s.connected = true
	if g.b.send(r, s); twice > 4 || dialled != -2 || s.tokens != -3 {
		t.Errorf("a key requested twice uses %d caches; %.0f tokens after a dial, %.0f after one more send", twice+1, dialled, s.tokens)
	}
}
