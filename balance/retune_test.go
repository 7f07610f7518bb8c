package balance

import (
	"testing"
	"time"
)

// changed is the test's settings with changes.
func changed(change func(*Settings)) Settings {
	set := testSettings()
	change(&set)
	return set
}

// A request in hand keeps the class it came with when the class becomes stricter or vanishes; the next one has the new one.
func TestRequestsInHandKeepTheirClass(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
	}{
		{"stricter", func(s *Settings) { s.Classes[0].Effect = Unsafe }},
		{"gone", func(s *Settings) { s.Classes = s.Classes[1:] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, testSettings())
			g.caches(3)
			g.ask("before", "read")
			g.give(Retuned{changed(c.change)})
			g.answer("before", Reset)
			g.want("before", 2, false, false) // safe: sent again
			g.answer("before", OK)
		})
	}
	g := newRig(t, testSettings())
	g.caches(3)
	g.give(Retuned{changed(func(s *Settings) { s.Classes[0].Effect = Unsafe })})
	g.ask("after", "read")
	g.answer("after", Reset)
	g.want("after", 1, false, true)
}

// What came with a class that has just vanished, and is handed over only now, has that class still; one of a class that
// never was, or vanished before, is not repeated.
func TestClassThatVanishedOnTheWay(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(3)
	without := changed(func(s *Settings) { s.Classes = s.Classes[1:] })
	g.give(Retuned{without})
	g.ask("late", "read")
	g.answer("late", Reset)
	g.want("late", 2, false, false)
	g.answer("late", OK)
	g.give(Retuned{without})
	g.ask("later", "read")
	g.answer("later", Reset)
	g.want("later", 1, false, true)
}

// Fewer attempts hold at once, also for requests in hand.
func TestFewerAttempts(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(4)
	g.ask("q", "read")
	g.give(Retuned{changed(func(s *Settings) { s.MaxAttempts = 2 })})
	g.answer("q", Full)
	g.answer("q", Full)
	g.want("q", 2, true, false)
}

// Tenants keep what they have asked for under another order, and what was learned of servers stays.
func TestRetuningForgetsNothing(t *testing.T) {
	two := func(s *Settings) { s.Tenants = []Tenant{{"a", 1}, {"b", 1}} }
	g := newRig(t, changed(two))
	g.caches(3)
	for range 50 {
		g.give(Request{ID: RequestID(string(rune('A' + len(g.tries)))), Class: "read", Tenant: "a", Due: g.now.Add(time.Second)})
	}
	out := g.b.out
	g.give(Retuned{changed(func(s *Settings) { s.Tenants = []Tenant{{"new", 1}, {"b", 1}, {"a", 1}} })})
	if a, b := g.b.shares[2].rate(g.now, g.b.set.OverloadFor), g.b.shares[1].rate(g.now, g.b.set.OverloadFor); a == 0 || b != 0 || len(g.b.shares) != 3 {
		t.Errorf("a has asked %v a second, b %v, of %d tenants", a, b, len(g.b.shares))
	}
	if g.b.out != out || out == 0 || len(g.b.caches) != 3 {
		t.Errorf("%d in flight, %d before; %d caches", g.b.out, out, len(g.b.caches))
	}
	if !g.b.overShare("a") {
		t.Error("a is within its share")
	}
}
