package balance

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// manyRoutersSettings returns the settings of a router among 400, each with a few requests per second.
func manyRoutersSettings() Settings {
	set := testSettings()
	set.Routers, set.Index, set.PeerMessages = 400, 7, true
	return set
}

// requestKey sends a read of a key.
func (g *harness) requestKey(id string, key uint64) {
	g.handle(Request{ID: RequestID(id), Class: "read", Key: key, HasKey: true, Due: g.now + 1500*ms})
}

// messages returns the messages to other routers from the last batch.
func (g *harness) messages() (all []SendPeerMessage) {
	for _, a := range g.lastActions {
		if a, ok := a.(SendPeerMessage); ok {
			all = append(all, a)
		}
	}
	return all
}

// With many routers, each has at most about one request in flight at a cache, so load is compared by the time in flight over the last
// sends.
func TestManyRoutersAvoidSlowCache(t *testing.T) {
	g := newHarness(t, manyRoutersSettings())
	g.caches(8)
	g.requestKey("a", 42)
	home := g.tries["a"][0]
	g.run(1200 * time.Millisecond)
	g.answer("a", TimedOut)
	g.requestKey("b", 42)
	if g.tries["b"][0] == home {
		t.Error("a cache that just held an attempt for over a second is used again")
	}
	for i := range 200 { // the load decays with the sends
		g.requestKey(fmt.Sprint("x", i), uint64(1000+i))
		if len(g.tries[RequestID(fmt.Sprint("x", i))]) > 0 {
			g.answer(fmt.Sprint("x", i), OK)
		}
	}
	if s := g.b.servers[home]; g.b.isOutlier(s) {
		t.Error("the cache is still an outlier after 200 good answers")
	}
}

// A dead cache fails fast; if failures did not count as load, it would look idle.
func TestRefusedConnectionCountsAsLoad(t *testing.T) {
	for _, result := range []Result{NoConnect, Reset} {
		g := newHarness(t, manyRoutersSettings())
		g.caches(8)
		g.requestKey("a", 42)
		home := g.b.servers[g.tries["a"][0]]
		g.answer("a", result)
		if !g.b.isOutlier(home) {
			t.Errorf("result %v: the cache is not an outlier", result)
		}
	}
}

// A key with the load of many caches overloads its first two; many routers spread it, and leave rare keys where they are.
func TestHotKeySpreadsAndRareKeysStay(t *testing.T) {
	g := newHarness(t, manyRoutersSettings())
	g.caches(40)
	hot, cold := map[ServerID]bool{}, 0
	for i := range 400 {
		id, key := fmt.Sprint(i), uint64(42)
		if i%2 == 1 {
			key = uint64(1000 + i)
		}
		g.requestKey(id, key)
		to := g.tries[RequestID(id)][0]
		if key == 42 {
			hot[to] = true
		} else if to == g.b.table.lookup(mix(key)) {
			cold++
		}
		g.answer(id, OK)
	}
	if len(hot) < 20 {
		t.Errorf("a key with half of all requests used %d of 40 caches", len(hot))
	}
	if cold < 180 {
		t.Errorf("%d of 200 keys requested once went to their own cache", cold)
	}
	if n := len(g.b.recentKeys[0]) + len(g.b.recentKeys[1]); n > 100 {
		t.Errorf("%d keys are remembered for 40 caches", n)
	}
}

// Limits of one attempt at each router hold nothing back, so late answers everywhere close the gate and good ones open it
// again. It never closes fully, or no answer could open it.
func TestGateClosesWhenAllAreLate(t *testing.T) {
	g := newHarness(t, manyRoutersSettings())
	g.caches(8)
	for i := range 300 {
		id := fmt.Sprint(i)
		g.requestKey(id, uint64(i))
		g.run(350 * time.Millisecond)
		if len(g.tries[RequestID(id)]) > 0 {
			g.answer(id, OK)
		}
	}
	low := g.b.cacheGate.ratio
	if low > 0.5 || low < minGate {
		t.Fatalf("the gate is at %.3f", low)
	}
	if len(g.refused) < 50 {
		t.Errorf("%d refused", len(g.refused))
	}
	for _, after := range g.refused {
		if after <= 0 {
			t.Fatal("a refusal without RetryAfter")
		}
	}
	for i := range 2000 {
		id := fmt.Sprint("good", i)
		g.requestKey(id, uint64(i))
		if len(g.tries[RequestID(id)]) > 0 {
			g.answer(id, OK)
		}
	}
	if g.b.cacheGate.ratio < 1 {
		t.Errorf("after good answers the gate is at %.2f", g.b.cacheGate.ratio)
	}
}

// A single cache's trouble must not close the gate, or one hot cache would affect the whole fleet.
func TestOutlierLeavesTheGateOpen(t *testing.T) {
	g := newHarness(t, manyRoutersSettings())
	g.caches(8)
	s := g.b.caches[3]
	s.load.seconds, g.b.load.seconds, g.b.fleetLatency = 5, 6, g.b.target
	g.b.now = g.now
	g.b.adjustGate(s, false)
	if g.b.cacheGate.ratio < 1 {
		t.Error("an outlier closed the gate")
	}
	g.b.adjustGate(g.b.caches[4], false)
	if g.b.cacheGate.ratio >= 1 {
		t.Error("a cache that is no outlier left it open")
	}
}

// With few routers the limits at each cache suffice, and the gates refuse nothing.
func TestGateActsWithManyRoutersOnly(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(4)
	g.b.cacheGate.ratio = minGate
	for i := range 20 {
		g.requestKey(fmt.Sprint(i), uint64(i))
		g.answer(fmt.Sprint(i), OK)
	}
	if len(g.refused) > 0 {
		t.Errorf("%d refused", len(g.refused))
	}
}

// Observations of a router reach a few others, within the size of a message, and count there as if made there.
func TestRoutersExchangeObservations(t *testing.T) {
	g, other := newHarness(t, manyRoutersSettings()), newHarness(t, manyRoutersSettings())
	g.caches(8)
	other.caches(8)
	g.requestKey("a", 42)
	g.run(249 * time.Millisecond)
	var messages []SendPeerMessage
	for range 200 {
		g.lastActions = nil
		g.run(time.Millisecond)
		messages = append(messages, g.messages()...)
	}
	if len(messages) != gossipPeers {
		t.Fatalf("%d messages, want %d", len(messages), gossipPeers)
	}
	peers := map[int]bool{}
	for _, m := range messages {
		peers[m.To] = true
		if m.To == 7 || m.To < 0 || m.To >= 400 || len(m.Content) > 256 {
			t.Errorf("message to %d of %d bytes", m.To, len(m.Content))
		}
	}
	if len(peers) < 5 {
		t.Errorf("only %d different routers got a message", len(peers))
	}
	s := other.b.servers[g.tries["a"][0]]
	for range 4 {
		other.handle(PeerMessage{Content: messages[0].Content})
	}
	if !other.b.isOutlier(s) {
		t.Error("four reports about a cache do not make it an outlier")
	}
}

func TestNoMessagesWhereNotAllowed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no messages": func(s *Settings) { s.PeerMessages = false }, "few routers": func(s *Settings) { s.Routers = 3 },
	} {
		set := manyRoutersSettings()
		set.Index = 0
		change(&set)
		g := newHarness(t, set)
		g.caches(8)
		for i := range 50 {
			g.requestKey(fmt.Sprint(i), uint64(i))
			g.answer(fmt.Sprint(i), OK)
			for range 60 {
				g.lastActions = nil
				g.run(10 * time.Millisecond)
				if len(g.messages()) > 0 {
					t.Fatalf("%s: a message was sent", name)
				}
			}
		}
	}
}

// Messages may be lost, truncated or of another version; none may cause harm.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	g := newHarness(t, manyRoutersSettings())
	g.caches(8)
	before := g.b.load
	for _, text := range [][]byte{nil, {1}, bytes.Repeat([]byte{255}, 9), bytes.Repeat([]byte{7}, 300)} {
		g.handle(PeerMessage{Content: text})
	}
	if g.b.load != before {
		t.Error("a message that names no known cache changed the load")
	}
	all := []observation{{1, 2, 3 * time.Millisecond, true}, {4, 5, time.Hour, false}}
	got := decodeObservations(append(encodeObservations(all), 9, 9))
	if len(got) != 2 || got[0] != all[0] || got[1].took != maxMillis*time.Millisecond || got[1].answered {
		t.Errorf("decoded %v", got)
	}
}

// Rule 4: before any answer, hundreds of routers must not each send a first attempt to a cold server.
func TestHundredsOfRoutersSpareColdServer(t *testing.T) {
	set := manyRoutersSettings()
	set.Routers = 200
	sent := 0
	for i := range set.Routers {
		g := newHarness(t, set)
		g.b = New(set, uint64(i))
		g.handle(List{Kind: Complete, Entries: []Entry{{Server: "cold", Weight: 1, Started: g.now}, {Server: "b", Weight: 1}}})
		for n := range 40 { // overload: nothing is answered
			g.requestKey(fmt.Sprint(n), uint64(n))
			g.run(50 * time.Millisecond)
		}
		for _, to := range g.tries {
			for _, s := range to {
				if s == "cold" {
					sent++
				}
			}
		}
	}
	// One per target over all of them is four in these two seconds.
	if sent > 8 {
		t.Errorf("%d routers sent %d attempts to a cold server in two seconds, want about 4", set.Routers, sent)
	}
}

// The burst of retries is shared by all routers.
func TestRetryBurstIsShared(t *testing.T) {
	for routers, most := range map[int]float64{1: 30, 3: 10, 400: 1} {
		set := manyRoutersSettings()
		set.Routers, set.Index = routers, 0
		g := newHarness(t, set)
		g.caches(4)
		for i := range 300 {
			g.requestKey(fmt.Sprint(i), uint64(i))
			if len(g.tries[RequestID(fmt.Sprint(i))]) > 0 {
				g.answer(fmt.Sprint(i), OK)
			}
		}
		if g.b.retryBudget > most {
			t.Errorf("%d routers: %.1f retries at once, want at most %.0f", routers, g.b.retryBudget, most)
		}
	}
}

// Work is bounded: a request does not visit all caches, and a list event without changes leaves the table as it is.
func TestWorkIsBounded(t *testing.T) {
	cost := func(caches int) float64 {
		g := newHarness(t, manyRoutersSettings())
		g.caches(caches)
		r := &request{class: g.b.class(Request{Class: "read"}), hash: mix(42)}
		r.Due, g.b.now = g.now+1000*ms, g.now
		return testing.AllocsPerRun(100, func() { g.b.pick(r) })
	}
	if few, many := cost(10), cost(400); many > few+2 {
		t.Errorf("a request allocates %.0f with 400 caches, %.0f with 10", many, few)
	}
	tab, weights := newTable(), map[ServerID]float64{}
	for i := range 300 {
		weights[ServerID(fmt.Sprint("c", i))] = 1
		tab.setWeights(weights)
	}
	before := &tab.intervals[0]
	if tab.setWeights(weights); &tab.intervals[0] != before {
		t.Error("an unchanged list rebuilt the table")
	}
}

func BenchmarkTableChange(b *testing.B) {
	weights := map[ServerID]float64{}
	for i := range 200 {
		weights[ServerID(fmt.Sprint("c", i))] = 1
	}
	for b.Loop() {
		tab := newTable()
		tab.setWeights(weights)
		weights["new"] = 1
		tab.setWeights(weights)
		delete(weights, "new")
	}
}

func BenchmarkRequest(b *testing.B) {
	g := newHarness(nil, manyRoutersSettings())
	g.caches(200)
	for i := 0; b.Loop(); i++ {
		id := RequestID(fmt.Sprint(i))
		g.b.Handle(g.now, []Event{Request{ID: id, Class: "read", Key: uint64(i), HasKey: true, Due: g.now + 1000*ms}})
		g.b.Handle(g.now, []Event{Outcome{ID: id, Result: OK, Done: true}})
	}
}

// Rule 4 at scale: hundreds of routers that consider a cache once in ten seconds can't save up a token each before it is warm. While half
// of a fleet was replaced, none of them sent the new caches anything for five seconds, and the old ones were overloaded. Together they
// must send a cold cache a part of its share from the first second on, and no more than that at ten times the request rate.
func TestHundredsOfRoutersUseColdCachesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration // between a router's requests, once the caches are listed
	}{{"usual", 50 * time.Millisecond}, {"ten times", 5 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			set := manyRoutersSettings()
			set.ColdStartShare, set.OverloadFactor, set.OverloadFor, set.RampTime = 0.25, 4, 2*time.Second, 17*time.Second
			const routers, warm, cold = 60, 60, 30
			sent, asked := 0, 0
			for i := range routers {
				g := newHarness(t, set)
				g.b = New(set, uint64(i))
				one := func(every time.Duration) {
					asked++
					id := fmt.Sprint(asked)
					g.requestKey(id, mix(uint64(asked)))
					for _, to := range g.tries[RequestID(id)] {
						if to[0] == 'n' {
							sent++
						}
					}
					g.run(every)
					if to := g.tries[RequestID(id)]; len(to) > 0 { // the caches answer no more than at the usual rate
						result := OK
						if every < 50*time.Millisecond && asked%10 > 0 {
							result = Rejected
						}
						g.handle(Outcome{ID: RequestID(id), Attempt: len(to) - 1, Server: to[len(to)-1], Result: result, Done: true})
					}
				}
				g.caches(warm)
				for range 100 {
					one(50 * time.Millisecond)
				}
				l := List{Kind: Partial}
				for n := range cold {
					l.Entries = append(l.Entries, Entry{Server: ServerID(fmt.Sprint("n", n)), Weight: 1, Started: g.now})
				}
				g.handle(l)
				for range 2 * time.Second / c.every {
					one(c.every)
				}
			}
			// A warm cache got 40 of the usual requests in two seconds. If that was its capacity, a cold one can take a quarter.
			// It must not get OverloadFactor times that, and should get at least half of it at once.
			can := 40.0 * routers / warm * set.ColdStartShare // in those two seconds
			if got := float64(sent) / cold; got < can/2 || got > can*set.OverloadFactor {
				t.Errorf("a cold cache got %.1f attempts in two seconds, of which it can serve %.1f", got, can)
			}
		})
	}
}
