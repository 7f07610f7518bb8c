package ledger

import (
	"math"
	"time"

	"cedarmast/internal/kit/scenario"
)

// This file books how a fleet comes back: what it asks for second by second, and what routers do against what they know.

// TroubleReport is what one trouble cost and how the fleet came back from it. Peaks are the busiest second from the trouble's
// beginning until ten seconds after its end, as a multiple of the mean of the ten seconds before (of one a second at least).
// Where troubles follow one another within ten seconds, what was before is before the first of them.
type TroubleReport struct {
	Kind string  `json:"kind"`
	AtS  float64 `json:"at_s"`
	EndS float64 `json:"end_s"`
	// FullServiceS is the time from its end to the first of ten seconds in a row that each earn at least 95% of the part of
	// the worth that the seconds before earned; nil where that never comes before the day is over.
	FullServiceS  *float64 `json:"full_service_s"`
	PeakDials     float64  `json:"peak_dials"`
	PeakListCalls float64  `json:"peak_list_calls"`
	PeakFetches   float64  `json:"peak_fetches"`
	FetchesOfCan  float64  `json:"peak_fetches_of_can"` // against what the database can do in a second
	PeakColdSends float64  `json:"peak_cold_sends"`
	StaleSends    int      `json:"stale_sends"`    // see Ledger.Sent
	StaleRefusals int      `json:"stale_refusals"` // see Ledger.staleRefusal
}

// What is counted by the second.
const (
	dials = iota
	listCalls
	fetches
	coldSends
	staleSends
	staleRefusals
	counted
)

const (
	steadyFor  = 10   // seconds: of steady service before a trouble, and of full service after it
	fullFrom   = 0.95 // of the steady part is full service
	staleAfter = 5    // sends in a row that ended well and quickly withdraw a belief that there is no room
	freshFor   = 2 * time.Second
)

// tally counts by the second of the day; the time before the day is not looked at.
type tally [counted][]int

func (t *tally) add(what int, at Time) {
	if at < 0 {
		return
	}
	second := int(at / time.Second)
	for len(t[what]) <= second {
		t[what] = append(t[what], 0)
	}
	t[what][second]++
}

// between sums what was counted in seconds from..to, and tells the busiest of them.
func (t *tally) between(what, from, to int) (sum, peak int) {
	for s := max(from, 0); s < min(to, len(t[what])); s++ {
		sum, peak = sum+t[what][s], max(peak, t[what][s])
	}
	return sum, peak
}

// timeline is what was counted, by second of the day.
func (t *tally) timeline(seconds int) map[string][]int {
	all := map[string][]int{}
	for what, name := range [counted]string{"dials", "list_calls", "fetches", "cold_sends", "stale_sends", "stale_refusals"} {
		all[name] = make([]int, seconds)
		copy(all[name], t[what])
	}
	return all
}

// Connected books a connection that a router opened to a node, ListCalled a call that one made for the list, Fetched what the
// database was asked for and ColdSent a send to a node that is not warm yet.
func (l *Ledger) Connected(at Time)  { l.Counts.Connections++; l.tally.add(dials, at) }
func (l *Ledger) ListCalled(at Time) { l.tally.add(listCalls, at) }
func (l *Ledger) Fetched(at Time)    { l.tally.add(fetches, at) }
func (l *Ledger) ColdSent(at Time)   { l.tally.add(coldSends, at) }

// Stalled books that a router's process stands still, or runs again. What it held meanwhile is excused, and what it was told
// it has heard only now.
func (l *Ledger) Stalled(router int, on bool, at Time) {
	if !on && !l.stalled[router] {
		return // it was killed meanwhile: what the one that started since holds is no matter of the stall
	}
	l.stalled[router] = on
	for _, t := range l.tries {
		if t.router == router && !t.over {
			t.excused, t.still = true, true
		}
	}
	for k := range l.told {
		if k.router == router && !on {
			l.told[k] = max(l.told[k], at)
		}
	}
}

// sending is one of a router's last sends.
type sending struct {
	id   string
	at   Time
	good bool // ended well, within half of the shortest time wanted
}

// note keeps a router's last sends, for staleRefusal.
func (l *Ledger) note(router int, id string, at Time) {
	all := append(l.last[router], &sending{id: id, at: at})
	l.last[router] = all[max(len(all)-staleAfter, 0):]
}

func (l *Ledger) noteEnd(router int, id string, at Time, good bool) {
	for _, s := range l.last[router] {
		if s.id == id {
			s.good = good && at-s.at <= l.shortest/2
		}
	}
}

// staleRefusal tells whether a router that refuses a request unsent had evidence at hand that there is room: its last five
// sends, all of the last two seconds, had all ended well within half of the shortest time that any class wants.
func (l *Ledger) staleRefusal(router int, at Time) bool {
	all := l.last[router]
	if len(all) < staleAfter {
		return false
	}
	for _, s := range all {
		if !s.good || at-s.at > freshFor {
			return false
		}
	}
	return true
}

// troubles reports on each trouble of the day.
func (l *Ledger) troubles(seconds []Second) (all []TroubleReport) {
	capacity := float64(l.set.Database.Workers) / l.set.Database.Time.D().Seconds()
	for _, t := range l.set.Troubles {
		end := t.At + t.For
		from := first(l.set, t)
		began, ended := int(t.At.D()/time.Second), int(end.D()/time.Second)
		r := TroubleReport{Kind: t.Kind, AtS: t.At.D().Seconds(), EndS: end.D().Seconds()}
		steady := min(from, steadyFor)
		multiple := func(what int) float64 {
			before, _ := l.tally.between(what, from-steady, from)
			_, peak := l.tally.between(what, began, ended+steadyFor)
			return float64(peak) / max(float64(before)/float64(max(steady, 1)), 1)
		}
		r.PeakDials, r.PeakListCalls, r.PeakFetches, r.PeakColdSends = multiple(dials), multiple(listCalls), multiple(fetches), multiple(coldSends)
		_, most := l.tally.between(fetches, began, ended+steadyFor)
		r.FetchesOfCan = float64(most) / max(capacity, 1)
		r.StaleSends, _ = l.tally.between(staleSends, began, ended+steadyFor)
		r.StaleRefusals, _ = l.tally.between(staleRefusals, began, ended+steadyFor)
		r.FullServiceS = fullService(seconds, from-steady, from, end.D().Seconds())
		all = append(all, r)
	}
	return all
}

// first is the second in which the first of the troubles begins that t follows on within ten seconds. What lasts until the day
// is over is how the day is, and no trouble that the fleet comes back from.
func first(s *scenario.Scenario, t scenario.Trouble) int {
	from := t.At
	for again := true; again; {
		again = false
		for _, o := range s.Troubles {
			if o.At < from && o.At+o.For < s.Length && o.At+o.For+scenario.Duration(steadyFor*time.Second) > from {
				from, again = o.At, true
			}
		}
	}
	return int(from.D() / time.Second)
}

// fullService is the time from a moment to the first of ten seconds in a row of full service by the measure of the seconds
// from..to; nil if there is none.
func fullService(seconds []Second, from, to int, end float64) *float64 {
	var before Second
	for _, s := range seconds[min(from, len(seconds)):min(to, len(seconds))] {
		before.Asked, before.Earned = before.Asked+s.Asked, before.Earned+s.Earned
	}
	run := 0
	for s := int(math.Floor(end)); s < len(seconds); s++ {
		if run++; seconds[s].share() < fullFrom*before.share() {
			run = 0
		}
		if run == steadyFor {
			took := max(float64(s+1-steadyFor)-end, 0)
			return &took
		}
	}
	return nil
}

// comingBack sums up the troubles for what a scenario expects: the full service after the last to end, and the worst peaks.
func comingBack(all []TroubleReport) (worst TroubleReport) {
	for _, t := range all {
		if t.EndS >= worst.EndS {
			worst.EndS, worst.FullServiceS = t.EndS, t.FullServiceS
		}
		worst.PeakDials, worst.PeakListCalls = max(worst.PeakDials, t.PeakDials), max(worst.PeakListCalls, t.PeakListCalls)
		worst.PeakFetches, worst.FetchesOfCan = max(worst.PeakFetches, t.PeakFetches), max(worst.FetchesOfCan, t.FetchesOfCan)
		worst.PeakColdSends = max(worst.PeakColdSends, t.PeakColdSends)
	}
	return worst
}
