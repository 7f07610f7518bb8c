package balance

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// thinSettings are those of a fleet of hundreds of routers, each with a few requests a second.
func thinSettings() Settings {
	set := testSettings()
	set.Routers, set.Number, set.PeerMessages = 400, 7, true
	return set
}

func (g *rig) askKey(id string, key uint64) {
	g.give(Request{ID: RequestID(id), Class: "read", Key: key, HasKey: true, Due: g.now + 1500*ms})
}

// told returns the messages of the last batch.
func (g *rig) told() (all []Tell) {
	for _, a := range g.last {
		if a, ok := a.(Tell); ok {
			all = append(all, a)
		}
	}
	return all
}

// Guard: a thin router's requests in flight are none or one, so the load term goes by their time over the last sends.
func TestThinRouterPassesOverWhatHeldLong(t *testing.T) {
	g := newRig(t, thinSettings())
	g.caches(8)
	g.askKey("a", 42)
	home := g.tries["a"][0]
	g.run(1200 * time.Millisecond)
	g.answer("a", TimedOut)
	g.askKey("b", 42)
	if g.tries["b"][0] == home {
		t.Error("a cache that just held an attempt for over a second is used again")
	}
	for i := range 200 { // it fades with the sends
		g.askKey(fmt.Sprint("x", i), uint64(1000+i))
		if len(g.tries[RequestID(fmt.Sprint("x", i))]) > 0 {
			g.answer(fmt.Sprint("x", i), OK)
		}
	}
	if s := g.b.servers[home]; g.b.standsOut(s) {
		t.Error("the cache still stands out after 200 good answers")
	}
}

// Guard: a dead cache fails quickly; without a count for it the load term would take it for idle.
func TestRefusedConnectionCountsAsLoad(t *testing.T) {
	for _, result := range []Result{NoConnect, Reset} {
		g := newRig(t, thinSettings())
		g.caches(8)
		g.askKey("a", 42)
		home := g.b.servers[g.tries["a"][0]]
		g.answer("a", result)
		if !g.b.standsOut(home) {
			t.Errorf("result %v: the cache does not stand out", result)
		}
	}
}

// Guard: a key worth many caches jams its first two; thin routers spread it, and leave cold keys where they are.
func TestHotKeySpreadsAndColdKeysStay(t *testing.T) {
	g := newRig(t, thinSettings())
	g.caches(40)
	hot, cold := map[ServerID]bool{}, 0
	for i := range 400 {
		id, key := fmt.Sprint(i), uint64(42)
		if i%2 == 1 {
			key = uint64(1000 + i)
		}
		g.askKey(id, key)
		to := g.tries[RequestID(id)][0]
		if key == 42 {
			hot[to] = true
		} else if to == g.b.table.lookup(mix(key)) {
			cold++
		}
		g.answer(id, OK)
	}
	if len(hot) < 20 {
		t.Errorf("a key with half of all requests met %d of 40 caches", len(hot))
	}
	if cold < 180 {
		t.Errorf("%d of 200 keys asked for once went to their own cache", cold)
	}
	if n := len(g.b.recent[0]) + len(g.b.recent[1]); n > 100 {
		t.Errorf("%d keys are remembered for 40 caches", n)
	}
}

// Guard: limits of one attempt at each router hold nothing back; late answers everywhere close the gate, good ones
// open it again, and it never shuts, or no answer could open it.
func TestGateClosesWhenAllAreLate(t *testing.T) {
	g := newRig(t, thinSettings())
	g.caches(8)
	for i := range 300 {
		id := fmt.Sprint(i)
		g.askKey(id, uint64(i))
		g.run(350 * time.Millisecond)
		if len(g.tries[RequestID(id)]) > 0 {
			g.answer(id, OK)
		}
	}
	low := g.b.gate.open
	if low > 0.5 || low < gateFloor {
		t.Fatalf("the gate is open by %.3f", low)
	}
	if len(g.refused) < 50 {
		t.Errorf("%d refused", len(g.refused))
	}
	for _, after := range g.refused {
		if after <= 0 {
			t.Fatal("a refusal without advice")
		}
	}
	for i := range 2000 {
		id := fmt.Sprint("good", i)
		g.askKey(id, uint64(i))
		if len(g.tries[RequestID(id)]) > 0 {
			g.answer(id, OK)
		}
	}
	if g.b.gate.open < 1 {
		t.Errorf("after good answers the gate is open by %.2f", g.b.gate.open)
	}
}

// Guard: one cache's trouble is passed over; were it to close the gate, a hot cache would cost the whole fleet.
func TestCacheThatStandsOutLeavesTheGateOpen(t *testing.T) {
	g := newRig(t, thinSettings())
	g.caches(8)
	s := g.b.caches[3]
	s.held.seconds, g.b.held.seconds, g.b.taking = 5, 6, g.b.aim
	g.b.now = g.now
	g.b.moveGate(s, false)
	if g.b.gate.open < 1 {
		t.Error("a cache that stands out closed the gate")
	}
	g.b.moveGate(g.b.caches[4], false)
	if g.b.gate.open >= 1 {
		t.Error("one that does not stand out left it open")
	}
}

// With few routers the limits at each cache do the work, and the gates stay out of the way.
func TestGateActsAtThinRoutersOnly(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(4)
	g.b.gate.open = gateFloor
	for i := range 20 {
		g.askKey(fmt.Sprint(i), uint64(i))
		g.answer(fmt.Sprint(i), OK)
	}
	if len(g.refused) > 0 {
		t.Errorf("%d refused", len(g.refused))
	}
}

// What one router saw reaches a few others, within the size of a message, and counts there as if seen there.
func TestRoutersTellWhatTheySaw(t *testing.T) {
	g, other := newRig(t, thinSettings()), newRig(t, thinSettings())
	g.caches(8)
	other.caches(8)
	g.askKey("a", 42)
	g.run(249 * time.Millisecond)
	var told []Tell
	for range 200 {
		g.last = nil
		g.run(time.Millisecond)
		told = append(told, g.told()...)
	}
	if len(told) != toldPeers {
		t.Fatalf("%d messages, want %d", len(told), toldPeers)
	}
	peers := map[int]bool{}
	for _, m := range told {
		peers[m.To] = true
		if m.To == 7 || m.To < 0 || m.To >= 400 || len(m.Content) > 256 {
			t.Errorf("message to %d of %d bytes", m.To, len(m.Content))
		}
	}
	if len(peers) < 5 {
		t.Errorf("only %d different routers were told", len(peers))
	}
	s := other.b.servers[g.tries["a"][0]]
	for range 4 {
		other.give(Heard{Content: told[0].Content})
	}
	if !other.b.standsOut(s) {
		t.Error("what was heard four times of one cache does not make it stand out")
	}
}

func TestNothingIsToldWhereItIsNotAllowed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no messages": func(s *Settings) { s.PeerMessages = false }, "few routers": func(s *Settings) { s.Routers = 3 },
	} {
		set := thinSettings()
		set.Number = 0
		change(&set)
		g := newRig(t, set)
		g.caches(8)
		for i := range 50 {
			g.askKey(fmt.Sprint(i), uint64(i))
			g.answer(fmt.Sprint(i), OK)
			for range 60 {
				g.last = nil
				g.run(10 * time.Millisecond)
				if len(g.told()) > 0 {
					t.Fatalf("%s: told something", name)
				}
			}
		}
	}
}

// Messages may be lost, cut short or of another version: none may do harm.
func TestOddMessagesChangeNothing(t *testing.T) {
	g := newRig(t, thinSettings())
	g.caches(8)
	before := g.b.held
	for _, text := range [][]byte{nil, {1}, bytes.Repeat([]byte{255}, 9), bytes.Repeat([]byte{7}, 300)} {
		g.give(Heard{Content: text})
	}
	if g.b.held != before {
		t.Error("a message that names no cache changed the load term")
	}
	all := []sighting{{1, 2, 3 * time.Millisecond, true}, {4, 5, time.Hour, false}}
	got := decodeSightings(append(encodeSightings(all), 9, 9))
	if len(got) != 2 || got[0] != all[0] || got[1].took != mostTold*time.Millisecond || got[1].answered {
		t.Errorf("decoded %v", got)
	}
}

// Rule 4: with nothing measured, hundreds of routers together must not send each a first attempt to a cold server.
func TestColdServerAndHundredsOfRouters(t *testing.T) {
	set := thinSettings()
	set.Routers = 200
	sent := 0
	for i := range set.Routers {
		g := newRig(t, set)
		g.b = New(set, uint64(i))
		g.give(List{Kind: Complete, Entries: []Entry{{Server: "cold", Weight: 1, Started: g.now}, {Server: "b", Weight: 1}}})
		for n := range 40 { // a jam: nothing is answered
			g.askKey(fmt.Sprint(n), uint64(n))
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
	// One an aim over all of them is four in these two seconds.
	if sent > 8 {
		t.Errorf("%d routers sent %d attempts to a cold server in two seconds, want about 4", set.Routers, sent)
	}
}

// The burst of further attempts is one fleet's, not one router's.
func TestRetryBurstIsShared(t *testing.T) {
	for routers, most := range map[int]float64{1: 30, 3: 10, 400: 1} {
		set := thinSettings()
		set.Routers, set.Number = routers, 0
		g := newRig(t, set)
		g.caches(4)
		for i := range 300 {
			g.askKey(fmt.Sprint(i), uint64(i))
			if len(g.tries[RequestID(fmt.Sprint(i))]) > 0 {
				g.answer(fmt.Sprint(i), OK)
			}
		}
		if g.b.retries > most {
			t.Errorf("%d routers: %.1f further attempts at once, want %.0f", routers, g.b.retries, most)
		}
	}
}

// Work is bounded: a request does not walk the fleet, and a list event costs what the table has.
func TestWorkIsBounded(t *testing.T) {
	cost := func(caches int) float64 {
		g := newRig(t, thinSettings())
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
		tab.change(weights)
	}
	before := &tab.intervals[0]
	if tab.change(weights); &tab.intervals[0] != before {
		t.Error("an unchanged list cut the table anew")
	}
}

func BenchmarkTableChange(b *testing.B) {
	weights := map[ServerID]float64{}
	for i := range 200 {
		weights[ServerID(fmt.Sprint("c", i))] = 1
	}
	for b.Loop() {
		tab := newTable()
		tab.change(weights)
		weights["new"] = 1
		tab.change(weights)
		delete(weights, "new")
	}
}

func BenchmarkRequest(b *testing.B) {
	g := newRig(nil, thinSettings())
	g.caches(200)
	for i := 0; b.Loop(); i++ {
		id := RequestID(fmt.Sprint(i))
		g.b.Handle(g.now, []Event{Request{ID: id, Class: "read", Key: uint64(i), HasKey: true, Due: g.now + 1000*ms}})
		g.b.Handle(g.now, []Event{Outcome{ID: id, Result: OK, Done: true}})
	}
}

// Rule 4, and service: hundreds of routers that see a cache once in ten seconds can't save up a token each before it is warm. While
// half of a fleet was replaced none of them sent the new caches anything for five seconds, and the old ones were jammed. Together they
// are to send a cold cache a part of its share from the first second on, and no more of it while they ask ten times as often.
func TestHundredsOfRoutersUseColdCachesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration // between a router's requests, once the caches are listed
	}{{"usual", 50 * time.Millisecond}, {"ten times", 5 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			set := thinSettings()
			set.ColdFrom, set.OverloadFactor, set.OverloadFor, set.Ramp = 0.25, 4, 2*time.Second, 17*time.Second
			const routers, warm, cold = 60, 60, 30
			sent, asked := 0, 0
			for i := range routers {
				g := newRig(t, set)
				g.b = New(set, uint64(i))
				one := func(every time.Duration) {
					asked++
					id := fmt.Sprint(asked)
					g.askKey(id, mix(uint64(asked)))
					for _, to := range g.tries[RequestID(id)] {
						if to[0] == 'n' {
							sent++
						}
					}
					g.run(every)
					if to := g.tries[RequestID(id)]; len(to) > 0 { // the caches answer no more than usual
						result := OK
						if every < 50*time.Millisecond && asked%10 > 0 {
							result = Full
						}
						g.give(Outcome{ID: RequestID(id), Attempt: len(to) - 1, Server: to[len(to)-1], Result: result, Done: true})
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
				g.give(l)
				for range 2 * time.Second / c.every {
					one(c.every)
				}
			}
			// A warm cache had 40 of the usual requests in two seconds. A quarter of it is what a cold one can do, if that was
			// all that the warm one could; the multiple of that it must not get, and a part of it should come at once.
			can := 40.0 * routers / warm * set.ColdFrom // in those two seconds
			if got := float64(sent) / cold; got < can/2 || got > can*set.OverloadFactor {
				t.Errorf("a cold cache got %.1f attempts in two seconds, of which it can serve %.1f", got, can)
			}
		})
	}
}
