package balance

import "time"

// View is the state of one server, which the host compares with the attempts that are really in flight.
type View struct {
	Server       ServerID
	InFlight     int           // attempts counted as in flight
	Limit        float64       // concurrency limit
	EjectedFor   time.Duration // remaining time of its ejection
	Trial        bool          // its ejection has expired, and a successful attempt ends it; only one at a time is made
	Fails        int           // consecutive failures
	WarmFraction float64       // share of its capacity that it is assumed to have
	SinceAnswer  time.Duration // since its last answer; negative if there was none
}

// View returns the state of each server, sorted by id. It changes no decision.
func (b *Balancer) View(now Time) []View {
	b.now = max(b.now, now)
	var all []View
	for _, id := range sortedIDs(b.servers) {
		s := b.servers[id]
		v := View{Server: id, InFlight: s.inFlight, Limit: s.limit, EjectedFor: max(s.ejectedUntil.Sub(b.now), 0),
			Trial: s.ejectedUntil != 0 && b.now >= s.ejectedUntil, Fails: s.failures, WarmFraction: b.warmFraction(s), SinceAnswer: -1}
		if s.lastHeard != 0 {
			v.SinceAnswer = b.now.Sub(s.lastHeard)
		}
		all = append(all, v)
	}
	return all
}

// GiveUpReason is the reason for which a request was given up.
type GiveUpReason int

// The reasons.
const (
	DeadlineNear     GiveUpReason = iota // its deadline is near or past
	GateClosed                           // an admission gate rejected it
	NoEligibleServer                     // each server is ejected, cold, tried, unsafe for a repeat (rule 2), or at a site without capacity
	AtLimit                              // the selected server is at its limit
	NoRetryAllowed                       // an attempt failed, and no further one was allowed
	giveUpReasonCount
)

// String returns the name of the reason in logs.
func (w GiveUpReason) String() string {
	return [giveUpReasonCount]string{"no_time", "shut", "no_server", "crowded", "spent"}[w]
}

// Overall is the state of all caches together and the number of requests given up since the start.
type Overall struct {
	CacheGate, OriginGate float64       // part of requests that each admission gate lets pass
	Errors                float64       // smoothed share of errors among the caches' answers
	Latency               time.Duration // smoothed latency of answers to this router
	FleetLatency          time.Duration // mean latency of the last answers, with those that other routers report
	Retries               float64       // further attempts that the retry budget allows
	Ejected               int           // caches that are ejected or need a successful trial after it
	Caches                int
	GivenUp               [giveUpReasonCount]int // indexed by GiveUpReason
	Sites                 []SiteView             // with tiers, in their order
	AnswerRate            float64                // answers of caches per second and warm weight of 1
	MaxFetches            float64                // with tiers: fetches that may be in flight at once for keys that a site may not hold
}

// Overall returns the state of all caches together. It changes no decision.
func (b *Balancer) Overall(now Time) Overall {
	b.now = max(b.now, now)
	o := Overall{CacheGate: b.cacheGate.ratio, OriginGate: b.originGate.ratio, Errors: b.errorRate, Latency: b.latency, Retries: b.retryBudget,
		FleetLatency: b.fleetLatency, Caches: len(b.caches), GivenUp: b.givenUp, AnswerRate: b.answerRate.rate(b.now, 2*b.cfg.OverloadFor)}
	for _, s := range b.caches {
		if s.ejectedUntil != 0 {
			o.Ejected++
		}
	}
	if b.tiers != nil {
		o.Sites, o.MaxFetches = b.tiers.View()
	}
	return o
}
