package balance

import (
	"testing"
	"time"
)

// changedSettings returns the test settings after change.
func changedSettings(change func(*Settings)) Settings {
	set := testSettings()
	change(&set)
	return set
}

// A request in progress keeps its class when the class becomes stricter or is removed; the next request gets the new one.
func TestRequestsInProgressKeepTheirClass(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
	}{
		{"stricter", func(s *Settings) { s.Classes[0].Effect = Unsafe }},
		{"gone", func(s *Settings) { s.Classes = s.Classes[1:] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, testSettings())
			g.caches(3)
			g.request("before", "read")
			g.handle(SettingsChanged{changedSettings(c.change)})
			g.answer("before", Reset)
			g.wantResult("before", 2, false, false) // safe: sent again
			g.answer("before", OK)
		})
	}
	g := newHarness(t, testSettings())
	g.caches(3)
	g.handle(SettingsChanged{changedSettings(func(s *Settings) { s.Classes[0].Effect = Unsafe })})
	g.request("after", "read")
	g.answer("after", Reset)
	g.wantResult("after", 1, false, true)
}

// A request that arrives with a class removed by the last change of settings still has that class. A request of a class that never
// existed, or was removed earlier, is not repeated.
func TestRequestOfRemovedClass(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(3)
	without := changedSettings(func(s *Settings) { s.Classes = s.Classes[1:] })
	g.handle(SettingsChanged{without})
	g.request("late", "read")
	g.answer("late", Reset)
	g.wantResult("late", 2, false, false)
	g.answer("late", OK)
	g.handle(SettingsChanged{without})
	g.request("later", "read")
	g.answer("later", Reset)
	g.wantResult("later", 1, false, true)
}

// A lower MaxAttempts applies at once, also to requests in progress.
func TestLowerMaxAttemptsAppliesAtOnce(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(4)
	g.request("q", "read")
	g.handle(SettingsChanged{changedSettings(func(s *Settings) { s.MaxAttempts = 2 })})
	g.answer("q", Rejected)
	g.answer("q", Rejected)
	g.wantResult("q", 2, true, false)
}

// New settings with another order of tenants keep the request rate of each and the state of the servers.
func TestSettingsChangeKeepsState(t *testing.T) {
	two := func(s *Settings) { s.Tenants = []Tenant{{"a", 1}, {"b", 1}} }
	g := newHarness(t, changedSettings(two))
	g.caches(3)
	for range 50 {
		g.handle(Request{ID: RequestID(string(rune('A' + len(g.tries)))), Class: "read", Tenant: "a", Due: g.now.Add(time.Second)})
	}
	out := g.b.inFlight
	g.handle(SettingsChanged{changedSettings(func(s *Settings) { s.Tenants = []Tenant{{"new", 1}, {"b", 1}, {"a", 1}} })})
	if a, b := g.b.tenantRates[2].rate(g.now, g.b.cfg.OverloadFor), g.b.tenantRates[1].rate(g.now, g.b.cfg.OverloadFor); a == 0 ||
		b != 0 || len(g.b.tenantRates) != 3 {
		t.Errorf("a has a rate of %v per second, b %v, of %d tenants", a, b, len(g.b.tenantRates))
	}
	if g.b.inFlight != out || out == 0 || len(g.b.caches) != 3 {
		t.Errorf("%d in flight, %d before; %d caches", g.b.inFlight, out, len(g.b.caches))
	}
	if !g.b.overShare("a") {
		t.Error("tenant a is not over its share")
	}
}
