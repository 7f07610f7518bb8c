package balance

import "time"

// View is what the decisions hold of one server, for whoever compares it with what is under way.
type View struct {
	Server   ServerID
	Out      int           // attempts that count as in flight
	Limit    float64       // of them
	Excluded time.Duration // for which it is ejected yet
	Trial    bool          // its ejection is over, and one attempt at a time may end it
	Fails    int           // in a row
	Warmth   float64       // the share of its capacity that it is taken to have
	Heard    time.Duration // since its last answer; under 0 if there was none
}

// View tells what is held of each server, by id. Nothing is changed by it.
func (b *Balancer) View(now Time) []View {
	b.now = max(b.now, now)
	var all []View
	for _, id := range sortedIDs(b.servers) {
		s := b.servers[id]
		v := View{Server: id, Out: s.out, Limit: s.limit, Excluded: max(s.ejected.Sub(b.now), 0),
			Trial: s.ejected != 0 && b.now >= s.ejected, Fails: s.fails, Warmth: b.warmth(s), Heard: -1}
		if s.heard != 0 {
			v.Heard = b.now.Sub(s.heard)
		}
		all = append(all, v)
	}
	return all
}

// Why names what a request was given up for.
type Why int

// The reasons.
const (
	NoTime   Why = iota // its time was up
	Shut                // a gate was not open for it
	NoServer            // none might take it: ejected, cold, tried already, forbidden by rule 2, or at sites without a place for it
	Crowded             // the server that was chosen is at its limit
	Spent               // an attempt ended without an answer, and no further one was allowed
	whys
)

func (w Why) String() string {
	return [whys]string{"no_time", "shut", "no_server", "crowded", "spent"}[w]
}

// Overall is what the decisions hold of the caches together, and why they gave requests up since their start.
type Overall struct {
	Gate, OriginGate float64       // the part of requests that each lets through
	Errors           float64       // smoothed share of the caches' answers
	Latency          time.Duration // smoothed, to an answer
	Taking           time.Duration // mean time of the last answers, those told by other routers among them
	Retries          float64       // left in the budget
	Excluded         int           // caches that are ejected, or have yet to end it by a trial
	Caches           int
	GivenUp          [whys]int  // by Why
	Sites            []SiteView // with tiers, in order
	Answered         float64    // by the caches, a second and warm weight of 1
	Fetches          float64    // that may be out at once for keys that a site may not have, with tiers
}

// Overall tells it; nothing is changed by it.
func (b *Balancer) Overall(now Time) Overall {
	b.now = max(b.now, now)
	o := Overall{Gate: b.gate.open, OriginGate: b.originGate.open, Errors: b.erring, Latency: b.latency, Retries: b.retries,
		Taking: b.taking, Caches: len(b.caches), GivenUp: b.givenUp, Answered: b.answers.rate(b.now, 2*b.set.OverloadFor)}
	for _, s := range b.caches {
		if s.ejected != 0 {
			o.Excluded++
		}
	}
	if b.tiers != nil {
		o.Sites, o.Fetches = b.tiers.View()
	}
	return o
}
