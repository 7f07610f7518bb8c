package balance

import "time"

// View is the state of one server, which the host compares with the attempts that are really in flight.
type View struct {
	Server   ServerID
	Out      int           // attempts counted as in flight
	Limit    float64       // concurrency limit
	Excluded time.Duration // remaining time of its ejection
	Trial    bool          // its ejection has expired, and a successful attempt ends it; only one at a time is made
	Fails    int           // consecutive failures
	Warmth   float64       // share of its capacity that it is assumed to have
	Heard    time.Duration // since its last answer; negative if there was none
}

// View returns the state of each server, sorted by id. It changes no decision.
func (b *Balancer) View(now Time) []View {
	b.now = max(b.now, now)
	var all []View
	for _, id := range sortedIDs(b.servers) {
		s := b.servers[id]
		v := View{Server: id, Out: s.inFlight, Limit: s.limit, Excluded: max(s.ejectedUntil.Sub(b.now), 0),
			Trial: s.ejectedUntil != 0 && b.now >= s.ejectedUntil, Fails: s.failures, Warmth: b.warmFraction(s), Heard: -1}
		if s.lastHeard != 0 {
			v.Heard = b.now.Sub(s.lastHeard)
		}
		all = append(all, v)
	}
	return all
}

// Why is the reason for which a request was given up.
type Why int

// The reasons.
const (
	NoTime   Why = iota // its deadline is near or past
	Shut                // an admission gate rejected it
	NoServer            // no server is eligible: ejected, cold, tried already, not safe to repeat at (rule 2), or in a site without capacity
	Crowded             // the selected server is at its limit
	Spent               // an attempt failed, and no further one was allowed
	whyCount
)

func (w Why) String() string {
	return [whyCount]string{"no_time", "shut", "no_server", "crowded", "spent"}[w]
}

// Overall is the state of all caches together and the number of requests given up since the start.
type Overall struct {
	Gate, OriginGate float64       // part of requests that each admission gate lets pass
	Errors           float64       // smoothed share of errors among the caches' answers
	Latency          time.Duration // smoothed latency of answers to this router
	Taking           time.Duration // mean latency of the last answers, with those that other routers report
	Retries          float64       // further attempts that the retry budget allows
	Excluded         int           // caches that are ejected or need a successful trial after it
	Caches           int
	GivenUp          [whyCount]int // indexed by Why
	Sites            []SiteView    // with tiers, in their order
	Answered         float64       // answers of caches per second and warm weight of 1
	Fetches          float64       // with tiers: fetches that may be in flight at once for keys that a site may not hold
}

// Overall returns the state of all caches together. It changes no decision.
func (b *Balancer) Overall(now Time) Overall {
	b.now = max(b.now, now)
	o := Overall{Gate: b.cacheGate.ratio, OriginGate: b.originGate.ratio, Errors: b.errorRate, Latency: b.latency, Retries: b.retryBudget,
		Taking: b.fleetLatency, Caches: len(b.caches), GivenUp: b.givenUp, Answered: b.answerRate.rate(b.now, 2*b.cfg.OverloadFor)}
	for _, s := range b.caches {
		if s.ejectedUntil != 0 {
			o.Excluded++
		}
	}
	if b.tiers != nil {
		o.Sites, o.Fetches = b.tiers.View()
	}
	return o
}
