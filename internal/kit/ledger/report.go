package ledger

import (
	"math"
	"time"

	"cedarmast/internal/kit/scenario"
)

// Report is the result of a run. The keys of its JSON are stable; new ones may be added.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Router   string  `json:"router"`
	Policy   string  `json:"policy"`
	LengthS  float64 `json:"length_s"`

	Score        float64                `json:"score"`
	WorstWindow  float64                `json:"worst_window"`
	WorstClass   float64                `json:"worst_class"`
	WorstTenant  float64                `json:"worst_tenant"`
	Nines        float64                `json:"nines"`
	Requests     int                    `json:"requests"`
	Tries        int                    `json:"tries"`
	Answered     int                    `json:"answered"`
	Refused      int                    `json:"refused_tries"`
	Failed       int                    `json:"failed_tries"`
	Unheard      int                    `json:"unheard_tries"`
	Lost         int                    `json:"lost"`
	Double       int                    `json:"double_effects"`
	Drain        int                    `json:"drain_breaks"`
	ColdFalls    int                    `json:"cold_falls"`
	Held         int                    `json:"held_back"`
	Classes      map[string]ClassReport `json:"classes"`
	Tenants      map[string]float64     `json:"tenants"`
	DatabasePeak float64                `json:"database_peak"`
	Fetches      int                    `json:"database_asks"`
	DatabaseFell int                    `json:"database_falls"`
	Wasted       float64                `json:"work_wasted"`
	Sends        int                    `json:"sends"`
	Crossed      int                    `json:"sites_crossed"`
	Regained     float64                `json:"regained_s"` // see regained
	Connections  int                    `json:"connections_opened"`
	MemoryMB     float64                `json:"router_memory_mb"`
	CPU          float64                `json:"router_cpu_s"`
	Crashes      int                    `json:"router_crashes"`
	HostLateMS   float64                `json:"host_late_ms"`
	HostCPU      float64                `json:"host_cpu_s"`
	HostMemoryMB float64                `json:"host_memory_mb"`
	Events       int                    `json:"events,omitempty"` // given to routers, in virtual time
	Seconds      []Second               `json:"seconds"`
	Troubles     []TroubleReport        `json:"troubles"`
	Timeline     map[string][]int       `json:"timeline"` // number of events in each second, by counter
	StaleSends   int                    `json:"stale_sends"`
	StaleRefused int                    `json:"stale_refusals"`
	Marks        []Mark                 `json:"marks"`
	Nodes        []NodeReport           `json:"nodes"`
	// Beliefs has, by router and node, a letter for each second: the state of the node according to the router's own reports.
	Beliefs   map[string]map[string]string `json:"beliefs"`
	Breaches  []Breach                     `json:"breaches"`
	Missed    []string                     `json:"expectations_missed"`
	RulesHeld bool                         `json:"held"`
}

// Mark is an event of the run that charts show.
type Mark struct {
	AtS  float64 `json:"at_s"`
	What string  `json:"what"`
}

// NodeReport has a node's load and state by second: the busy share of its cores, and a letter for its state.
type NodeReport struct {
	Name  string    `json:"name"`
	Load  []float64 `json:"load"`
	State string    `json:"state"`
}

// The letters for a node's state.
const (
	StateUp       = 'u'
	StateCold     = 'c'
	StateDown     = 'd'
	StateSilent   = 's'
	StateDraining = 'r'
)

// The letters for a node's state as a router sees it.
const (
	ViewInUse    = 'u'
	ViewExcluded = 'x' // not in use: ejected, draining or gone
	ViewUnknown  = '-'
)

// ClassReport is the result of one request class.
type ClassReport struct {
	Score    float64 `json:"score"`
	Requests int     `json:"requests"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
}

// Second is the worth of the requests that were due in one second.
type Second struct {
	Asked  float64 `json:"worth_asked"`
	Earned float64 `json:"worth_earned"`
}

// windowSeconds is the length of the windows of which the report names the worst.
const windowSeconds = 10

// Report computes the result. Requests after the last full second of the run count in the score too.
func (l *Ledger) Report() *Report {
	r := &Report{Scenario: l.scenario.Name, LengthS: l.scenario.Length.D().Seconds(), Tries: l.Counts.Tries,
		Lost: l.Counts.Lost, Double: l.Counts.DoubleEffects, Drain: l.Counts.DrainBreaches, ColdFalls: l.Counts.ColdFalls,
		Held: l.Counts.HeldBack, Refused: l.answers[Refused], Failed: l.answers[Failed], Unheard: l.answers[NotConnected],
		Sends: l.Counts.Sends, Crossed: l.Counts.SiteCrossings, Connections: l.Counts.Connections, DatabaseFell: l.Counts.DatabaseFalls,
		Classes: map[string]ClassReport{}, Tenants: map[string]float64{}, Breaches: l.breaches, Missed: []string{}}
	if r.Breaches == nil {
		r.Breaches = []Breach{}
	}
	r.Seconds = make([]Second, int(math.Ceil(r.LengthS)))
	classes, tenants := make([]Second, len(l.scenario.Classes)), make([]Second, len(l.scenario.Tenants))
	counts := make([]int, len(classes))
	var all Second
	for i := range l.requests {
		a := &l.requests[i]
		if a.At < 0 { // warm-up
			continue
		}
		r.Requests++
		add := func(s *Second) { s.Asked, s.Earned = s.Asked+a.Worth, s.Earned+a.earned }
		add(&all)
		add(&r.Seconds[min(int(a.At/time.Second), len(r.Seconds)-1)])
		add(&classes[a.Class])
		counts[a.Class]++
		if a.WithinShare {
			add(&tenants[a.Tenant])
		}
		if a.served {
			r.Answered++
		}
	}
	r.Score, r.WorstClass, r.WorstTenant, r.WorstWindow = all.share(), 1, 1, 1
	for i, c := range l.scenario.Classes {
		ms := func(q float64) float64 { return float64(l.latencies[i].ValueAtQuantile(q)) / 1000 }
		r.Classes[c.Name] = ClassReport{classes[i].share(), counts[i], ms(50), ms(99), ms(99.9)}
		r.WorstClass = min(r.WorstClass, classes[i].share())
	}
	for i, t := range l.scenario.Tenants {
		r.Tenants[t.Name] = tenants[i].share()
		r.WorstTenant = min(r.WorstTenant, tenants[i].share())
	}
	for i := 0; i == 0 || i+windowSeconds <= len(r.Seconds); i++ {
		var w Second
		for _, s := range r.Seconds[i:min(i+windowSeconds, len(r.Seconds))] {
			w.Asked, w.Earned = w.Asked+s.Asked, w.Earned+s.Earned
		}
		r.WorstWindow = min(r.WorstWindow, w.share())
	}
	r.Troubles, r.Timeline = l.troubleReports(r.Seconds), l.perSecond.timeline(len(r.Seconds))
	r.StaleSends, _ = l.perSecond.sumAndPeak(staleSends, 0, math.MaxInt)
	r.StaleRefused, _ = l.perSecond.sumAndPeak(staleRefusals, 0, math.MaxInt)
	r.Regained = regained(r.Seconds, l.scenario.Troubles)
	if r.Requests > 0 {
		r.Nines = -math.Log10(max(1-float64(r.Answered)/float64(r.Requests), 1e-9))
	}
	if l.totalWork > 0 {
		r.Wasted = 1 - l.usefulWork.Seconds()/l.totalWork.Seconds()
	}
	r.RulesHeld = r.Lost == 0 && r.Double == 0 && r.Drain == 0 && r.ColdFalls == 0 && r.Held == 0
	return r
}

// regained returns the seconds from the end of the last trouble until three consecutive seconds earn 95% of the share earned
// before the first trouble: 0 if nothing was lost or the trouble outlasts the run, the rest of the run if that never happens.
func regained(seconds []Second, troubles []scenario.Trouble) float64 {
	first, last := len(seconds), 0
	for _, t := range troubles {
		first, last = min(first, int(t.At.D()/time.Second)), max(last, int((t.At+t.For).D()/time.Second))
	}
	sum := func(part []Second) (all Second) {
		for _, s := range part {
			all.Asked, all.Earned = all.Asked+s.Asked, all.Earned+s.Earned
		}
		return all
	}
	before := sum(seconds[:first]).share()
	for at := last; at+3 <= len(seconds); at++ {
		if now := sum(seconds[at : at+3]); now.share() >= 0.95*before {
			return float64(at - last)
		}
	}
	return float64(max(len(seconds)-last, 0))
}

// share returns the earned share of the worth; 1 if no request was due.
func (s Second) share() float64 {
	if s.Asked == 0 {
		return 1
	}
	return s.Earned / s.Asked
}

// CheckExpectations compares the report with the scenario's expectations and sets RulesHeld. A run in which a router crashed does not
// pass.
func (r *Report) CheckExpectations(l *Ledger) {
	if r.Crashes > 0 {
		r.Missed = append(r.Missed, "router_crashes")
	}
	e, back := l.scenario.Expect, worstRecovery(r.Troubles)
	full := math.Inf(1)
	if back.FullServiceS != nil {
		full = *back.FullServiceS
	}
	for _, x := range []struct {
		name  string
		want  *float64
		is    float64
		least bool
	}{{"score", e.Score, r.Score, true}, {"worst_window", e.WorstWindow, r.WorstWindow, true},
		{"database_peak", e.DatabasePeak, r.DatabasePeak, false}, {"memory_mb", e.MemoryMB, r.MemoryMB, false},
		{"full_service_s", e.FullServiceS, full, false}, {"peak_dials", e.PeakDials, back.PeakDials, false},
		{"peak_list_calls", e.PeakListCalls, back.PeakListCalls, false}, {"peak_fetches", e.PeakFetches, back.PeakFetches, false},
		{"peak_fetches_of_can", e.FetchesOfCan, back.FetchesOfCan, false}, {"peak_cold_sends", e.PeakColdSends, back.PeakColdSends, false},
		{"stale_sends", e.StaleSends, float64(r.StaleSends), false}, {"stale_refusals", e.StaleRefusals, float64(r.StaleRefused), false}} {
		if x.want != nil && (x.is < *x.want) == x.least && x.is != *x.want {
			r.Missed = append(r.Missed, x.name)
		}
	}
	r.RulesHeld = r.RulesHeld && len(r.Missed) == 0
}
