package ledger

import (
	"testing"
	"time"

	"cedarmast/internal/kit/scenario"
)

const ms = time.Millisecond

func newTestLedger(t *testing.T) *Ledger {
	t.Helper()
	s := scenario.Default()
	s.Name, s.Length = "x", scenario.Duration(20*time.Second)
	s.Classes = []scenario.Class{
		{Name: "read", Wanted: scenario.Duration(time.Second), Deadline: scenario.Duration(3 * time.Second), Worth: 1, LateShare: 0.5, Effect: "safe"},
		{Name: "tally", Wanted: scenario.Duration(time.Second), Deadline: scenario.Duration(3 * time.Second), Worth: 3, Effect: "keyed", Memory: scenario.Duration(2 * time.Second)},
		{Name: "submit", Wanted: scenario.Duration(time.Second), Deadline: scenario.Duration(3 * time.Second), Worth: 3, Effect: "unsafe"}}
	s.Tenants = []scenario.Tenant{{Name: "a", Share: 1}}
	return New(&s, []Request{{At: 0, Class: 0, Worth: 1, WithinShare: true}, {At: time.Second, Class: 1, Worth: 3, WithinShare: true},
		{At: 2 * time.Second, Class: 2, Worth: 3, WithinShare: true}})
}

// breachCounts returns the number of breaches by rule: lost, effects, drains, cold falls, held back.
func (l *Ledger) breachCounts() [5]int {
	r := l.Report()
	return [5]int{r.Lost, r.Double, r.Drain, r.ColdFalls, r.Held}
}

// Each case is a sequence of events with the breaches it causes; the first case of each rule is the same sequence without a fault.
func TestRules(t *testing.T) {
	try := func(l *Ledger, n int, id string, at Time) { l.TrySent(n, id, 0, at, time.Second) }
	for name, c := range map[string]struct {
		day  func(l *Ledger)
		want [5]int
	}{
		"served": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.NodeReceived("a", 0, "n", 5*ms, true)
			l.BodyMade("a", "v", true)
			l.TryEnded("a", Served, "v", 100*ms)
		}, [5]int{}},
		"served what was made for another": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.BodyMade("b", "v", true)
			l.TryEnded("a", Served, "v", 100*ms)
		}, [5]int{1}},
		"served what was spoilt": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.BodyMade("a", "v", false)
			l.TryEnded("a", Served, "v", 100*ms)
		}, [5]int{1}},
		"no answer": {func(l *Ledger) { try(l, 0, "a", 0); l.TryEnded("a", NoAnswer, "", 1050*ms) }, [5]int{1}},
		"no answer, for its router was killed": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.RouterEnded(0, true)
			l.TryEnded("a", Truncated, "", 1050*ms)
		}, [5]int{}},
		"no answer at an end in order": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.RouterEnded(0, false)
			l.TryEnded("a", Truncated, "", 1050*ms)
		}, [5]int{1}},
		"late": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.BodyMade("a", "v", true)
			l.TryEnded("a", Served, "v", 1100*ms)
		}, [5]int{1}},
		"nobody took it, and that is known late": {func(l *Ledger) { try(l, 0, "a", 0); l.TryEnded("a", NotConnected, "", 1100*ms) }, [5]int{}},
		"answered twice": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.TryEnded("a", Refused, "", 10*ms)
			l.TryEnded("a", Refused, "", 12*ms)
		}, [5]int{1}},
		"a read resent": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.NodeReceived("a", 0, "m", 9*ms, true)
		}, [5]int{}},
		"a submit turned away": {func(l *Ledger) {
			try(l, 2, "a", 0)
			l.NodeReceived("a", 0, "n", 0, false)
			l.NodeReceived("a", 0, "m", 9*ms, true)
		}, [5]int{}},
		"a submit resent": {func(l *Ledger) {
			try(l, 2, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.NodeReceived("a", 0, "m", 9*ms, true)
		}, [5]int{0, 1}},
		"a tally resent": {func(l *Ledger) {
			try(l, 1, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.NodeReceived("a", 0, "m", 1900*ms, true)
		}, [5]int{}},
		"a tally resent after it is forgotten": {func(l *Ledger) {
			try(l, 1, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.NodeReceived("a", 0, "m", 2100*ms, true)
		}, [5]int{0, 1}},
		"a submit that failed may have run": {func(l *Ledger) {
			try(l, 2, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.TryEnded("a", Failed, "", 90*ms)
		}, [5]int{}},
		"a submit refused though it may have run": {func(l *Ledger) {
			try(l, 2, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.TryEnded("a", Refused, "", 90*ms)
		}, [5]int{0, 1}},
		"two effects":         {func(l *Ledger) { l.Effect(2, "submit", "unsafe"); l.Effect(2, "submit", "unsafe") }, [5]int{0, 1}},
		"a request of nobody": {func(l *Ledger) { l.UnknownSend("zz", "n") }, [5]int{0, 1}},
		"a send in the grace": {func(l *Ledger) {
			l.NodeStateTold(0, "n", false, 0)
			l.NodeReceived("a", 0, "n", 2*time.Second, true)
		}, [5]int{}},
		"a send after it": {func(l *Ledger) {
			l.NodeStateTold(0, "n", false, 0)
			l.NodeReceived("a", 0, "n", 2100*ms, true)
		}, [5]int{0, 0, 1}},
		"told again that it drains": {func(l *Ledger) {
			l.NodeStateTold(0, "n", false, 0)
			l.NodeStateTold(0, "n", false, time.Second)
			l.NodeReceived("a", 0, "n", 2100*ms, true)
		}, [5]int{0, 0, 1}},
		"a send by another router": {func(l *Ledger) {
			l.NodeStateTold(0, "n", false, 0)
			l.NodeReceived("a", 1, "n", 3*time.Second, true)
		}, [5]int{}},
		"a send after it is back": {func(l *Ledger) {
			l.NodeStateTold(0, "n", false, 0)
			l.NodeStateTold(0, "n", true, time.Second)
			l.NodeReceived("a", 0, "n", 3*time.Second, true)
		}, [5]int{}},
		"a cold fall":      {func(l *Ledger) { l.ColdFall("n", 0) }, [5]int{0, 0, 0, 1}},
		"given up at once": {func(l *Ledger) { try(l, 0, "a", 0); l.TryEnded("a", Refused, "", 400*ms) }, [5]int{}},
		"held back":        {func(l *Ledger) { try(l, 0, "a", 0); l.TryEnded("a", Refused, "", 700*ms) }, [5]int{0, 0, 0, 0, 1}},
		"connections that did not come up": {func(l *Ledger) {
			l.Silence(true, 0)
			try(l, 0, "a", 0)
			l.TryEnded("a", Refused, "", 700*ms)
		}, [5]int{}},
		"a send was still out": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.TryEnded("a", Failed, "", 990*ms)
		}, [5]int{}},
		"held back after its last send": {func(l *Ledger) {
			try(l, 0, "a", 0)
			l.NodeReceived("a", 0, "n", 0, true)
			l.SendAnswered("a", 100*ms, true)
			l.TryEnded("a", Failed, "", 900*ms)
		}, [5]int{0, 0, 0, 0, 1}},
	} {
		l := newTestLedger(t)
		if c.day(l); l.breachCounts() != c.want {
			t.Errorf("%s: breaches %v, want %v; %v", name, l.breachCounts(), c.want, l.breaches)
		}
	}
}

// Latency and worth count from the due time of the first try; a late answer earns its late share; warm-up requests don't count.
func TestLatencyCountsFromFirstTry(t *testing.T) {
	l := newTestLedger(t)
	l.requests = append(l.requests, requestRecord{Request: Request{At: -time.Second, Worth: 100, WithinShare: true}})
	for n, at := range []Time{1500 * ms, 1200 * ms, 2900 * ms} { // 1.5 s after, 0.2 s after, 0.9 s after
		id := string(rune('a' + n))
		l.TrySent(n, id, 0, at-100*ms, time.Second)
		l.BodyMade(id, "v", true)
		l.TryEnded(id, Served, "v", at)
	}
	r := l.Report()
	if want := (0.5 + 3 + 3) / 7; r.Score != want || r.Requests != 3 || r.Answered != 3 {
		t.Errorf("score %v of %d requests, want %v", r.Score, r.Requests, want)
	}
	if p := r.Classes["read"].P50; p < 1490 || p > 1510 {
		t.Errorf("latency %v ms", p)
	}
	if r.WorstClass != 0.5 || !r.RulesHeld {
		t.Errorf("worst class %v, rules held %v", r.WorstClass, r.RulesHeld)
	}
	low := 0.99
	l.scenario.Expect.Score = &low
	if r.CheckExpectations(l); r.RulesHeld || len(r.Missed) != 1 {
		t.Errorf("missed expectation: rules held %v, %v", r.RulesHeld, r.Missed)
	}
}

// The recovery time counts from the end of the last trouble, and a single good second does not end it.
func TestRegained(t *testing.T) {
	at := func(s int) scenario.Duration { return scenario.Duration(time.Duration(s) * time.Second) }
	troubles := []scenario.Trouble{{At: at(2), For: at(2)}, {At: at(3), For: at(3)}}
	for want, earned := range map[float64][]float64{
		0: {1, 1, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1},
		3: {1, 1, 0, 0, 0, 0, 0.4, 0.5, 0.5, 1, 1, 1},
		2: {0.8, 0.8, 0, 0, 0, 0, 0.7, 0.1, 0.8, 0.8, 0.8, 0.8},
		6: {1, 1, 0, 0, 0, 0, 0.5, 0.5, 0.5, 0.5, 0.5, 1},
	} {
		var all []Second
		for _, e := range earned {
			all = append(all, Second{Asked: 1, Earned: e})
		}
		if got := regained(all, troubles); got != want {
			t.Errorf("%v: %v s, want %v", earned, got, want)
		}
	}
}
