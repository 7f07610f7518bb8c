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
