package balance

import (
	"math"
	"time"
)

// recordResult updates s after an attempt. Its concurrency limit grows while answers take under half the
// target, so that a second attempt has time, and is cut when they take longer, fail or are turned away.
func (b *Balancer) recordResult(s *server, took time.Duration, result Result) {
	switch result {
	case OK, Miss:
		if s.ejectedUntil != 0 && b.now.Sub(s.lastGood) > b.cfg.RampTime/8 { // may have restarted unseen: half warm
			s.assumedStart, s.tokens, s.lastRefill = b.now.Add(-b.cfg.RampTime/2), 0, b.now
		}
		s.lastHeard, s.lastGood, s.ejectedUntil, s.failures, s.backoff, s.refusals = b.now, b.now, 0, 0, 0, 0
		if result == OK {
			s.latency += time.Duration(smoothing * float64(took-s.latency))
		}
		if !s.isOrigin {
			b.answerRate.add(b.now, 2*b.cfg.OverloadFor, 1/b.warmWeight(&b.pool))
			b.errorRate -= smoothing / 4 * b.errorRate
		}
		if result == OK && !s.isOrigin { // more slowly: timeouts depend on it
			b.latency += time.Duration(smoothing / 4 * float64(took-b.latency))
		}
		if s.latency < b.target/2 {
			if float64(2*s.inFlight+2) >= s.limit {
				s.limit += 1 / s.limit
			}
			return
		}
	case Errored:
		s.lastHeard = b.now
		// With a shared cause, errors follow good answers. A few bad caches return mostly errors and can be a
		// fifth of those left after a zone is lost: counted as a shared cause they would close the gate.
		if s.failures == 0 || s.isOrigin {
			b.errorRate += smoothing / 4 * (1 - b.errorRate)
		}
		if b.errorRate < commonErrors {
			b.recordFailure(s)
		} else {
			s.failures = max(s.failures, 1)
		}
	case Rejected:
		s.lastHeard = b.now
	case Cancelled, NeverSent:
		return
	case Malformed, Reset, NoConnect: // no sign of load, and any server has a few: only several in a row count
		if result == NoConnect && b.isolated() { // its connection table may be full while it serves others
			s.refusals = min(s.refusals+1, 4)
			s.avoidUntil = b.now.Add(2 * b.target << s.refusals)
		} else {
			b.recordFailure(s)
		}
		return
	default:
		b.recordFailure(s)
	}
	if b.now.Sub(s.lastCut) > s.latency {
		s.limit, s.lastCut = max(1, s.limit*limitDecrease), b.now
	}
}

// recordFailure ejects s, longer each time, after several failures and no recent success, if enough are left.
func (b *Balancer) recordFailure(s *server) {
	stale := b.now.Sub(s.lastGood) > b.target/4 && b.now >= s.ejectedUntil
	if s.failures++; s.failures >= ejectAfter && stale && !s.isOrigin && b.weightInUse(s) >= b.weight*minInUse {
		s.backoff = min(max(2*s.backoff, b.target), 8*b.target)
		s.ejectedUntil = b.now.Add(s.backoff)
	}
}

// healthy tells whether s is in use; after an ejection it gets a single trial at a time until a good answer.
func (b *Balancer) healthy(s *server) bool {
	return b.now >= s.avoidUntil && (s.ejectedUntil == 0 || b.now >= s.ejectedUntil && s.inFlight == 0)
}

// admits lets part of the requests pass a gate that is not fully open, higher priorities first. Gates act
// with many routers, whose limits of one attempt hold nothing back, and where errors have a shared cause.
func (b *Balancer) admits(g *gate, r *request) bool {
	if b.isolated() && g == &b.cacheGate && r.priority < r.class.Priority/8 && b.fleetLatency > b.target/3 {
		return false // very low priority, such as traffic over a share: it yields before answers are late
	}
	return g.ratio >= 1 || !b.manyRouters() && b.errorRate < commonErrors ||
		b.rng.Float64() < math.Pow(g.ratio, b.meanPriority/max(r.priority, b.meanPriority/64))
}

// adjustGate opens the caches' or the origin's gate by good answers and closes it by late or failed ones, at
// most once a mean latency; not for an outlier, whose trouble is its own, or while answers are fast.
func (b *Balancer) adjustGate(s *server, good bool) {
	// An isolated router may see no answer for a whole target when all is well, and has few caches to compare.
	silent := b.now.Sub(b.lastAnswer) > b.target && (b.unanswered >= ejectAfter-1 || !b.isolated())
	slow := (b.fleetLatency > b.target/2 || silent) && (b.isolated() || !b.isOutlier(s))
	g := &b.cacheGate
	if s.isOrigin { // writes and rare objects may take that long when all is well
		g, slow = &b.originGate, s.latency > b.target/4 || b.now.Sub(s.lastGood) > b.target
	}
	if g.streak++; good {
		g.ratio = min(1, g.ratio*(1+min(gateGrowth*float64(g.streak), 0.5)))
		return
	}
	b.unanswered++
	if g.streak /= 2; (slow || b.errorRate >= commonErrors && !s.isOrigin) && b.now.Sub(g.lastCut) > b.latency {
		g.streak, g.ratio, g.lastCut = 0, max(g.ratio*limitDecrease, minGate), b.now
	}
}

// manyRouters tells whether a server's limit at each router is about one, too small to follow the load.
func (b *Balancer) manyRouters() bool { return initialLimit*b.share() < 2 }

// isolated tells whether there are many routers without peer messages, as where every client has its own.
func (b *Balancer) isolated() bool { return b.manyRouters() && !b.cfg.PeerMessages }

// initialLimit is for a new server: many routers at once must not fill it before they have seen an answer.
func (b *Balancer) initialLimit() float64 { return max(1, initialLimit*b.share()) }

// fits tells whether another attempt is within the limit of s; the first always is.
func (b *Balancer) fits(s *server) bool { return s.inFlight == 0 || float64(s.inFlight+1) <= s.limit }

// lessLoaded tells whether s is the better choice of two overloaded servers.
func (b *Balancer) lessLoaded(s, o *server) bool {
	return b.fits(s) && !b.fits(o) || b.fits(s) == b.fits(o) && s.load.seconds*o.Weight < o.load.seconds*s.Weight
}

// overloaded tells whether s is at its limit or has more in flight than a multiple of the mean and a floor.
func (b *Balancer) overloaded(s *server) bool {
	return !b.fits(s) || b.manyRouters() && b.isOutlier(s) ||
		float64(s.inFlight) > max(loadFloor*b.share(), loadRatio*s.Weight/s.pool.weight*float64(s.pool.inFlight))
}

// isOutlier tells whether the load of s is above the mean plus one mean latency, over the last sends here and
// at routers that report theirs. A cache that is hot, slow, hung or gone has held its attempts for longer.
func (b *Balancer) isOutlier(s *server) bool {
	mean := s.Weight / s.pool.weight * b.updateLoad(&s.pool.load, s.pool.inFlight)
	return b.updateLoad(&s.load, s.inFlight) > mean+b.latency.Seconds()
}

// hotKeySpread is how many caches beyond the first a key uses so that it brings none over maxKeyShare.
func (b *Balancer) hotKeySpread(key uint32) int {
	caches, window := float64(len(b.caches)), keyWindow*float64(len(b.caches))
	if b.isolated() { // of few sends any key that came twice would seem hot
		window *= isolatedFactor
	}
	return int(min(b.recentShare(key, window)*caches/maxKeyShare, max(caches-1, 0)))
}

// observe notes an attempt's time in flight for some other routers: with many routers each sees too little.
func (b *Balancer) observe(r *request, a *attempt, took time.Duration, answered bool) {
	if !b.manyRouters() || !b.cfg.PeerMessages || a.to.isOrigin || len(b.observations) >= maxObservations {
		return
	}
	seen := observation{uint32(r.hash >> 32), a.to.hash, took - a.reported, answered}
	if a.reported > 0 {
		seen.key = 0 // the same attempt once more
	}
	a.reported = took
	if b.observations = append(b.observations, seen); len(b.observations) == 1 {
		b.after(b.target/4, func() { b.gossip(gossipPeers) })
	}
}

// onPeerMessage adds what another router saw to the averages; no correctness rule depends on it.
func (b *Balancer) onPeerMessage(all []observation) {
	for _, seen := range all {
		if s := b.cachesByHash[seen.server]; s != nil {
			b.addLoad(s, seen.took)
			if seen.key != 0 {
				b.sends++
				b.hotKeySpread(seen.key)
			}
			if seen.answered && seen.key != 0 {
				b.recordAnswer(seen.took)
			} else if seen.answered { // it was reported before, at half its target
				b.recordAnswer(seen.took + b.target/2)
			}
		}
	}
}

// warmFraction is the share of its capacity that s has at least, by its listed start and its last return.
func (b *Balancer) warmFraction(s *server) float64 {
	since := max(s.Started, s.assumedStart)
	if since == 0 {
		return 1
	}
	progress := float64(b.now.Sub(since)) / float64(max(b.cfg.RampTime, 1))
	return min(max(b.cfg.ColdStartShare+(1-b.cfg.ColdStartShare)*progress, b.cfg.ColdStartShare), 1)
}

// withinBudget limits a cold server to its warm fraction of a warm one's answers here; before any answer all
// routers together send one per target. Where a token at each would be too much, a hash of the key decides.
func (b *Balancer) withinBudget(s *server, r *request) bool {
	warm := b.warmFraction(s)
	if warm >= 1 {
		return true
	}
	margin := math.Sqrt(max(b.cfg.OverloadFactor, 1)) // halfway to overload as routers and cold means are uneven
	part, poolWeight := warm*margin, max(b.warmWeight(s.answerPool), s.answerPool.weight/margin)
	rate := part * b.answerRate.rate(b.now, 2*b.cfg.OverloadFor) * s.Weight * b.warmWeight(&b.pool) / poolWeight
	if rate == 0 {
		rate = b.share() / b.target.Seconds()
	} else if b.manyRouters() && !b.isolated() { // a token would take longer than warming up
		checkRate := max(b.coldChecks.rate(b.now, b.cfg.OverloadFor/2)*s.Weight, 0.25/b.cfg.OverloadFor.Seconds())
		b.coldChecks.add(b.now, b.cfg.OverloadFor/2, 1/max(b.coldSum, s.Weight))
		return keyFraction(r.hash, s.hash) < min(part, rate/checkRate)
	}
	s.tokens = min(s.tokens+rate*b.now.Sub(s.lastRefill).Seconds(), max(1, rate*b.cfg.OverloadFor.Seconds()/2))
	s.lastRefill = b.now
	return s.tokens >= 1 && (!b.manyRouters() || b.rng.Float64() < part)
}
