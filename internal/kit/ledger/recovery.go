package ledger

import (
	"math"
	"time"

	"cedarmast/internal/kit/scenario"
)

// This file measures recovery: load by second, and sends and refusals that contradict what a router knows.

// TroubleReport is the cost of one trouble and the recovery from it. Peaks are the busiest second from the trouble's
// beginning until ten seconds after its end, as a multiple of the mean of the ten seconds before (at least one a second).
// Where troubles follow one another within ten seconds, the seconds before the first of them are used.
type TroubleReport struct {
	Kind string  `json:"kind"`
	AtS  float64 `json:"at_s"`
	EndS float64 `json:"end_s"`
	// FullServiceS is the time from the trouble's end to the first of ten seconds in a row that each earn at least 95% of the share
	// of the worth that was earned before the trouble; nil if the run ends first.
	FullServiceS  *float64 `json:"full_service_s"`
	PeakDials     float64  `json:"peak_dials"`
	PeakListCalls float64  `json:"peak_list_calls"`
	PeakFetches   float64  `json:"peak_fetches"`
	FetchesOfCan  float64  `json:"peak_fetches_of_can"` // relative to the database's capacity for one second
	PeakColdSends float64  `json:"peak_cold_sends"`
	StaleSends    int      `json:"stale_sends"`    // see Ledger.NodeReceived
	StaleRefusals int      `json:"stale_refusals"` // see Ledger.staleRefusal
}

// The events that are counted by second.
const (
	dials = iota
	listCalls
	fetches
	coldSends
	staleSends
	staleRefusals
	counterCount
)

const (
	steadySeconds    = 10   // seconds of steady service before a trouble, and of full service after it
	fullServiceShare = 0.95 // share of the steady service that counts as full service
	staleSendCount   = 5    // consecutive good sends that prove that there is room
	recentSpan       = 2 * time.Second
)

// secondCounts counts events by second of the run; events of the warm-up are ignored.
type secondCounts [counterCount][]int

func (t *secondCounts) add(counter int, at Time) {
	if at < 0 {
		return
	}
	second := int(at / time.Second)
	for len(t[counter]) <= second {
		t[counter] = append(t[counter], 0)
	}
	t[counter][second]++
}

// sumAndPeak returns the sum and the maximum of a counter over the seconds from <= s < to.
func (t *secondCounts) sumAndPeak(counter, from, to int) (sum, peak int) {
	for s := max(from, 0); s < min(to, len(t[counter])); s++ {
		sum, peak = sum+t[counter][s], max(peak, t[counter][s])
	}
	return sum, peak
}

// timeline returns all counters by name and second of the run.
func (t *secondCounts) timeline(seconds int) map[string][]int {
	all := map[string][]int{}
	for counter, name := range [counterCount]string{"dials", "list_calls", "fetches", "cold_sends", "stale_sends", "stale_refusals"} {
		all[name] = make([]int, seconds)
		copy(all[name], t[counter])
	}
	return all
}

// Connected records a connection that a router opened to a node.
func (l *Ledger) Connected(at Time) { l.Counts.Connections++; l.perSecond.add(dials, at) }

// ListPolled records a router's poll for the node list.
func (l *Ledger) ListPolled(at Time) { l.perSecond.add(listCalls, at) }

// DatabaseRequested records a request to the database.
func (l *Ledger) DatabaseRequested(at Time) { l.perSecond.add(fetches, at) }

// ColdSent records a send to a node that is not warm yet.
func (l *Ledger) ColdSent(at Time) { l.perSecond.add(coldSends, at) }

// Stalled records that a router's process stalls or resumes. Its open tries are excused, and what it was told during the stall
// counts as told at its end.
func (l *Ledger) Stalled(router int, on bool, at Time) {
	if !on && !l.stalled[router] {
		return // it was killed during the stall; the stall doesn't concern its next incarnation
	}
	l.stalled[router] = on
	for _, t := range l.tries {
		if t.router == router && !t.done {
			t.excused, t.stalled = true, true
		}
	}
	for k := range l.notServing {
		if k.router == router && !on {
			l.notServing[k] = max(l.notServing[k], at)
		}
	}
}

// recentSend is one of a router's latest sends.
type recentSend struct {
	id   string
	at   Time
	good bool // succeeded within half of the shortest latency objective
}

// noteSend keeps a router's latest sends, for staleRefusal.
func (l *Ledger) noteSend(router int, id string, at Time) {
	all := append(l.recentSends[router], &recentSend{id: id, at: at})
	l.recentSends[router] = all[max(len(all)-staleSendCount, 0):]
}

// noteSendEnd records the result of a recent send.
func (l *Ledger) noteSendEnd(router int, id string, at Time, good bool) {
	for _, s := range l.recentSends[router] {
		if s.id == id {
			s.good = good && at-s.at <= l.shortestObjective/2
		}
	}
}

// staleRefusal reports whether a router that refuses a request unsent had evidence of free capacity: its last five sends, all
// within the last two seconds, all succeeded within half of the shortest latency objective of any class.
func (l *Ledger) staleRefusal(router int, at Time) bool {
	all := l.recentSends[router]
	if len(all) < staleSendCount {
		return false
	}
	for _, s := range all {
		if !s.good || at-s.at > recentSpan {
			return false
		}
	}
	return true
}

// troubleReports reports on each trouble of the run.
func (l *Ledger) troubleReports(seconds []Second) (all []TroubleReport) {
	capacity := float64(l.scenario.Database.Workers) / l.scenario.Database.Time.D().Seconds()
	for _, t := range l.scenario.Troubles {
		end := t.At + t.For
		from := firstTroubleSecond(l.scenario, t)
		began, ended := int(t.At.D()/time.Second), int(end.D()/time.Second)
		r := TroubleReport{Kind: t.Kind, AtS: t.At.D().Seconds(), EndS: end.D().Seconds()}
		steady := min(from, steadySeconds)
		peakRatio := func(what int) float64 {
			before, _ := l.perSecond.sumAndPeak(what, from-steady, from)
			_, peak := l.perSecond.sumAndPeak(what, began, ended+steadySeconds)
			return float64(peak) / max(float64(before)/float64(max(steady, 1)), 1)
		}
		r.PeakDials, r.PeakListCalls, r.PeakFetches, r.PeakColdSends = peakRatio(dials), peakRatio(listCalls), peakRatio(fetches), peakRatio(coldSends)
		_, peakFetches := l.perSecond.sumAndPeak(fetches, began, ended+steadySeconds)
		r.FetchesOfCan = float64(peakFetches) / max(capacity, 1)
		r.StaleSends, _ = l.perSecond.sumAndPeak(staleSends, began, ended+steadySeconds)
		r.StaleRefusals, _ = l.perSecond.sumAndPeak(staleRefusals, began, ended+steadySeconds)
		r.FullServiceS = fullService(seconds, from-steady, from, end.D().Seconds())
		all = append(all, r)
	}
	return all
}

// firstTroubleSecond returns the second in which the chain of troubles that leads to t begins: each starts within ten seconds of
// the end of the one before. Troubles that last until the end of the run are ignored, as there is no recovery from them.
func firstTroubleSecond(s *scenario.Scenario, t scenario.Trouble) int {
	from := t.At
	for again := true; again; {
		again = false
		for _, o := range s.Troubles {
			if o.At < from && o.At+o.For < s.Length && o.At+o.For+scenario.Duration(steadySeconds*time.Second) > from {
				from, again = o.At, true
			}
		}
	}
	return int(from.D() / time.Second)
}

// fullService returns the time from end to the first of ten seconds in a row of full service, compared with the seconds
// from <= s < to; nil if there is none.
func fullService(seconds []Second, from, to int, end float64) *float64 {
	var before Second
	for _, s := range seconds[min(from, len(seconds)):min(to, len(seconds))] {
		before.Asked, before.Earned = before.Asked+s.Asked, before.Earned+s.Earned
	}
	run := 0
	for s := int(math.Floor(end)); s < len(seconds); s++ {
		if run++; seconds[s].share() < fullServiceShare*before.share() {
			run = 0
		}
		if run == steadySeconds {
			took := max(float64(s+1-steadySeconds)-end, 0)
			return &took
		}
	}
	return nil
}

// worstRecovery aggregates the troubles for a scenario's expectations: the full service after the last one to end, and the
// highest peaks.
func worstRecovery(all []TroubleReport) (worst TroubleReport) {
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
