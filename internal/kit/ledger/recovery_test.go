package ledger

import (
	"testing"
	"time"

	"cedarmast/internal/kit/scenario"
)

// Full service is ten seconds in a row after a trouble's end, compared with the ten seconds before the first of a chain of
// troubles. A single good second does not count, and a run that ends too soon gives no result.
func TestFullService(t *testing.T) {
	span := func(s float64) scenario.Duration { return scenario.Duration(s * float64(time.Second)) }
	for name, c := range map[string]struct {
		share func(second int) float64
		want  float64 // under 0: never
	}{
		"at once":           {func(int) float64 { return 0.8 }, 0},
		"after four":        {func(s int) float64 { return map[bool]float64{true: 0.7, false: 0.8}[s >= 12 && s < 19] }, 4.5},
		"with a lucky one":  {func(s int) float64 { return map[bool]float64{true: 0.7, false: 0.8}[s >= 12 && s < 19 && s != 16] }, 4.5},
		"near enough":       {func(s int) float64 { return map[bool]float64{true: 0.77, false: 0.8}[s >= 12] }, 0},
		"never":             {func(s int) float64 { return map[bool]float64{true: 0.7, false: 0.8}[s >= 12] }, -1},
		"too late to tell":  {func(s int) float64 { return map[bool]float64{true: 0.7, false: 0.8}[s >= 12 && s < 32] }, -1},
		"a later cause too": {func(s int) float64 { return map[bool]float64{true: 0.1, false: 0.8}[s >= 12 && s < 16] }, 1.5},
	} {
		s := scenario.Default()
		s.Length = span(40)
		s.Troubles = []scenario.Trouble{{Kind: "router-kill", At: span(11), For: span(1)}, {Kind: "burst", At: span(13), For: span(1.5)}}
		var seconds []Second
		for i := range 40 {
			seconds = append(seconds, Second{1, c.share(i)})
		}
		l := New(&s, nil)
		for at := range 40 {
			for range 3 {
				l.Connected(span(float64(at)).D())
			}
		}
		for range 9 {
			l.Connected(14 * time.Second)
		}
		got := l.troubleReports(seconds)[1]
		if c.want < 0 && got.FullServiceS != nil || c.want >= 0 && (got.FullServiceS == nil || *got.FullServiceS != c.want) {
			t.Errorf("%s: full service after %v, want %v", name, got.FullServiceS, c.want)
		}
		if got.PeakDials != 4 || got.PeakFetches != 0 {
			t.Errorf("%s: peak of dials %v times the usual rate, of fetches %v", name, got.PeakDials, got.PeakFetches)
		}
	}
}

// A send is stale if it contradicts what the router was told or an operator ordered, also before a restart. An order outlasts a
// list that contradicts it, and ignoring it breaks a rule until the restart. A stalled router is excused for its open tries, but
// not for those of its next process.
func TestStaleSends(t *testing.T) {
	for name, c := range map[string]struct {
		know        func(l *Ledger, out bool, at Time)
		stale, rule int
	}{
		"told": {func(l *Ledger, out bool, at Time) { l.NodeStateTold(0, "n", !out, at) }, 2, 1},
		"ordered": {func(l *Ledger, out bool, at Time) {
			l.OperatorOrder(0, "n", out, at)
			l.NodeStateTold(0, "m", true, at)
		}, 2, 1},
	} {
		l := newTestLedger(t)
		l.TrySent(0, "a", 0, 0, time.Second)
		c.know(l, true, 0)
		l.NodeReceived("a", 0, "n", time.Second, true)
		l.NodeReceived("a", 0, "n", 3*time.Second, true)
		l.NodeReceived("a", 1, "n", 3*time.Second, true)
		l.Stalled(0, true, 3*time.Second)
		l.RouterEnded(0, true)
		l.TrySent(1, "b", 0, 4*time.Second, time.Second)
		l.Stalled(0, false, 4*time.Second)
		l.TryEnded("b", NoAnswer, "", 5*time.Second)
		l.NodeReceived("a", 0, "n", 4*time.Second, true)
		c.know(l, false, 5*time.Second)
		l.NodeReceived("a", 0, "n", 8*time.Second, true)
		if r := l.Report(); r.StaleSends != c.stale || r.Drain != c.rule || r.Lost != 1 {
			t.Errorf("%s: %d stale sends, %d drain breaches, %d lost", name, r.StaleSends, r.Drain, r.Lost)
		}
	}
}

// A refusal is stale if the router's last five sends were recent and all ended well and quickly; not while one is in flight.
func TestStaleRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		ends  int
		took  time.Duration
		at    Time
		stale int
	}{
		"five good":      {5, 100 * ms, time.Second, 1},
		"one out":        {4, 100 * ms, time.Second, 0},
		"slow ones":      {5, 600 * ms, time.Second, 0},
		"long ago":       {5, 100 * ms, 4 * time.Second, 0},
		"nothing before": {0, 0, time.Second, 0},
	} {
		l := newTestLedger(t)
		for n := range 5 {
			id := string(rune('a' + n))
			l.TrySent(0, id, 0, 0, 10*time.Second)
			if c.ends > 0 {
				l.NodeReceived(id, 0, "n", 0, true)
			}
			if n < c.ends {
				l.SendAnswered(id, c.took, true)
			}
		}
		l.TrySent(0, "z", 0, c.at, 10*time.Second)
		l.TryEnded("z", Refused, "", c.at)
		if r := l.Report(); r.StaleRefused != c.stale {
			t.Errorf("%s: %d stale refusals", name, r.StaleRefused)
		}
	}
}
