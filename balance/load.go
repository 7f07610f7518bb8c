package balance

import (
	"math"
	"slices"
	"time"
)

// start sets what is taken for true before anything was seen.
func (b *Balancer) start() {
	b.gate, b.originGate = gate{open: 1}, gate{open: 1}
	b.retries = retryBurst * b.share()
	b.taking = b.aim / 4
	b.latency = b.aim / 4 // a fresh router that takes slow work for silence ejects the fleet
}

// share is this router's part of what all routers do, as far as it can know.
func (b *Balancer) share() float64 { return 1 / float64(max(b.set.Routers, 1)) }

// usage is the time that attempts have been in flight, in seconds; it fades over the router's next sends.
type usage struct {
	seconds float64
	at      Time
	sends   int
}

// inUse is the weight of the caches that are not ejected, without s.
func (b *Balancer) inUse(s *server) (weight float64) {
	for _, o := range b.caches {
		if o != s && b.now >= o.ejected {
			weight += o.Weight
		}
	}
	return weight
}

// holds brings a usage up to date, with out attempts in flight since it last was.
func (b *Balancer) holds(u *usage, out int) float64 {
	fade := 1 - 1/(loadMemory*float64(max(len(b.caches), 1)))
	u.seconds = u.seconds*math.Pow(fade, float64(b.sends-u.sends)) + float64(out)*b.now.Sub(u.at).Seconds()
	u.at, u.sends = b.now, b.sends
	return u.seconds
}

// recentPart counts a request of a key and returns the part that the key had before of the last sends, in two
// generations; of less than half a generation it says little.
func (b *Balancer) recentPart(key uint32, generation float64) float64 {
	n, total := b.recent[0][key]+b.recent[1][key], max(float64(b.fresh+b.older), generation/2)
	if b.fresh++; b.recent[0] == nil || float64(b.fresh) > generation {
		b.recent, b.older, b.fresh = [2]map[uint32]int{{}, b.recent[0]}, b.fresh, 1
	}
	b.recent[0][key]++
	return float64(n) / max(total, 1)
}

// answered moves the mean time of the last answers, here and at routers that tell of theirs. Caches that are
// silent have no part in it: by all attempts the dead ones of a lost zone would pass for a jam of all.
func (b *Balancer) answered(took time.Duration) {
	b.taking += time.Duration(float64(took-b.taking) / (loadMemory * float64(max(len(b.caches), 1))))
	b.lastAnswer = b.now
}

// meter is a rate a second that fades over a span.
type meter struct {
	count float64
	at    Time
}

// add counts one more and returns the rate.
func (m *meter) add(now Time, span time.Duration) float64 {
	m.count, m.at = m.rate(now, span)*span.Seconds()+1, now
	return m.rate(now, span)
}

func (m *meter) rate(now Time, span time.Duration) float64 {
	return m.count * max(1-float64(now.Sub(m.at))/float64(max(span, 1)), 0) / max(span, 1).Seconds()
}

// tried tells whether the server has been asked, and what it answered still holds.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == s && !a.anew })
}

// ran returns the first attempt that may have run, or may yet: any that is not proved idle.
func (r *request) ran() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].idle {
			return &r.attempts[i]
		}
	}
	return nil
}
