// Request routing. health.go holds server health and budgets, load.go load estimates, table.go the key table.

package balance

import (
	"cmp"
	"slices"
	"time"
)

// Constants are ratios and counts; all durations derive from the settings or from measurements.
const (
	loadRatio      = 2.0      // times the mean in flight: above it a cache passes requests on to the next
	loadFloor      = 3.0      // in flight, over all routers: below it the mean is noise
	gossipPeers    = 10       // routers that get a message: it costs a few thousandths of an attempt
	loadWindow     = 2.0      // sends per cache that a load average covers, for routers with few in flight
	maxRehashes    = 64       // rehashes until the search for another cache ends
	retryRatio     = 0.2      // retries that a request earns: a failing fleet gets a fifth more at most
	retryBurst     = 30.0     // retries at once over all routers, at least one each, for a server's death
	minInUse       = 1.0 / 3  // of the fleet's weight is never ejected: beyond that the cause is shared
	ejectAfter     = 3        // failures in a row; one proves nothing
	gateGrowth     = 0.013    // per good answer, times those in a row; with a fifth bad the gate closes
	minGate        = 1.0 / 16 // of requests always pass a gate: without an answer it would never open
	keyWindow      = 0.5      // sends per cache over which keys are counted: a hot key shows in a second
	maxKeyShare    = 0.25     // of a mean cache's work is the most that one key may bring to a cache
	isolatedFactor = 8        // times longer windows where no other router reports its requests
	minSamples     = 20       // answers in an isolated mean latency, the minimum elsewhere: a fifth off
	maxSamples     = 100      // answers in it elsewhere at most, for any number of caches: a tenth off
	commonErrors   = 0.2      // error rate that has a cause shared by all caches; retries make it worse
	smoothing      = 0.2      // weight of a new latency: averages about the last five answers
	stuckFactor    = 25       // mean latencies: longer than heavy work takes: the connection is dead
	initialLimit   = 12.0     // concurrency at a server before any answer, over all routers
	limitDecrease  = 0.85     // factor that cuts an overloaded server's limit, or a gate, once a round trip
	recheckRate    = 16       // times per target that a request without an eligible server is tried again
	idleTargets    = 32       // targets that a multiplexed connection is kept open without an attempt
	shareSlack     = 1.25     // times the others' rate by allowance is within a share: rates are rough
	retryAfterDiv  = 8        // a refused client is to retry after this part of the target: still in time
)

func (b *Balancer) onRequest(q Request) {
	class := b.class(q)
	r := &request{Request: q, class: class, hash: mix(q.Key), priority: class.Priority, arrived: b.now}
	if !q.HasKey {
		r.hash = b.rng.Uint64()
	}
	if b.overShare(q.Tenant) { // it ranks below all traffic within a share
		r.priority *= b.cfg.OverSharePriority
	}
	if q.HasKey && !(q.Write && b.cfg.CacheAside) {
		r.spread = b.hotKeySpread(uint32(r.hash >> 32))
	}
	b.meanPriority += smoothing / 4 * (r.priority - b.meanPriority)
	b.requests[q.ID] = r
	b.retryBudget = min(b.retryBudget+retryRatio, max(1, retryBurst*b.share()))
	b.after(q.Due.Sub(b.now), func() { b.giveUp(r, DeadlineNear) }) // in any case it is answered in time
	b.route(r)
}

// route sends r to a cache or the origin, lets it wait for a fetch or a server, or gives it up.
func (b *Balancer) route(r *request) {
	if r.done || r.inFlight > 0 {
		return
	}
	if b.origin != nil && (r.Write || len(b.caches) == 0) {
		b.fetchOrigin(r)
	} else if lead := b.fetches[r.Key]; r.HasKey && lead != nil && lead != r && !r.waited {
		b.joinFetch(r, lead)
	} else if len(r.attempts) == 0 && !b.admits(&b.cacheGate, r) {
		b.giveUp(r, GateClosed)
	} else if s := b.pick(r); s != nil {
		b.sendOrRefuse(r, s)
	} else if r.limitShare > 0 && len(r.attempts) < len(b.caches) && b.mayRepeat(r) &&
		b.now.Add(b.target/recheckRate) < b.waitDeadline(r) {
		b.after(b.target/recheckRate, func() { b.route(r) }) // a budget may fill or a trial succeed meanwhile
	} else {
		b.giveUp(r, NoEligibleServer)
	}
}

// pick selects a cache among all or, with tiers, in one site after another, as for a class confined to sites,
// until one has capacity. If only a site's limit stands in the way, it leaves r.limitShare at 0.
func (b *Balancer) pick(r *request) *server {
	if r.limitShare = 1; b.tiers == nil {
		return b.pickInZone(r, "")
	}
	limitShare := 1.0
	for _, t := range b.tiers.Order(b.now, b.requestInfo(r)) {
		if s := b.pickInZone(r, t.Zone); s != nil && b.hasCapacity(r, s, t.LimitShare) {
			r.limitShare = t.LimitShare
			return s
		} else if s != nil {
			limitShare = 0
		}
	}
	r.limitShare = limitShare
	return nil
}

// pickInZone follows the hash and rehashes of r to usable caches and returns the first of two not overloaded,
// of more for a hot key. With many routers, which see little load, a hot key starts at a random one.
func (b *Balancer) pickInZone(r *request, zone string) *server {
	best, seen, hash := (*server)(nil), map[*server]bool{}, r.hash
	for skip := b.rng.IntN(r.spread + 1); skip > 0 && b.manyRouters() && len(r.attempts) == 0; skip-- {
		hash = mix(hash)
	}
	for i := 0; i < maxRehashes && len(seen) <= max(1, r.spread); i, hash = i+1, mix(hash) {
		s := b.servers[b.table.lookup(hash)]
		if s == nil || zone != "" && s.Zone != zone || seen[s] || r.tried(s) || !b.eligible(r, s) ||
			!b.healthy(s) || !b.withinBudget(s, r) || b.isolated() && !s.connected && len(r.attempts) > 0 {
			continue // an isolated router dials only once per request
		}
		if seen[s] = true; !b.overloaded(s) {
			return s
		}
		if best == nil || b.lessLoaded(s, best) {
			best = s
		}
	}
	return best
}

// eligible tells whether s may get r: if keyed and possibly run, only in the group that drops its repeats.
func (b *Balancer) eligible(r *request, s *server) bool {
	ran, group := r.firstRan(), r.class.Group
	return s.State == Up && b.mayRepeat(r) && (ran == nil || r.class.Effect == Safe || group == GroupAll ||
		s.Zone == ran.to.Zone && (group == GroupZone || group == GroupCell && s.Cell == ran.to.Cell))
}

// mayRepeat tells whether r may be sent again: if it may have run, only if safe, or keyed in RepeatWindow.
func (b *Balancer) mayRepeat(r *request) bool {
	ran, left := r.firstRan(), b.cfg.MaxAttempts <= 0 || len(r.attempts) < b.cfg.MaxAttempts
	return left && b.now < r.Due && (ran == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && b.now < ran.sent.Add(r.class.RepeatWindow))
}

// sendOrRefuse sends r if its server has capacity and refuses it at once if not: a queue only makes it late.
// Low-priority requests, such as those over a tenant's share, leave part of the limit to the others.
func (b *Balancer) sendOrRefuse(r *request, s *server) {
	if b.eligible(r, s) && b.hasCapacity(r, s, 1) {
		b.send(r, s)
	} else {
		b.giveUp(r, AtLimit)
	}
}

// hasCapacity tells whether the limit of s allows r. Guests, whose part of the limit is below 1, may hold no
// more than that part; a part of less than one attempt is granted at random.
func (b *Balancer) hasCapacity(r *request, s *server, part float64) bool {
	limit := s.limit * min(1, 0.5+r.priority/b.meanPriority)
	return (s.inFlight == 0 || float64(s.inFlight+1) <= limit) &&
		(part >= 1 || b.manyRouters() && b.fleetLatency < b.target/4 ||
			b.rng.Float64() < part*limit-float64(s.guests))
}

func (b *Balancer) send(r *request, s *server) {
	n := len(r.attempts)
	r.attempts = append(r.attempts, attempt{to: s, sent: b.now, open: true})
	b.attemptBegun(r, &r.attempts[n])
	b.countAttempt(r, s, 1)
	if s.tokens--; b.isolated() && !s.connected { // opening a connection is work as well
		s.tokens--
	}
	b.emit(Send{ID: r.ID, Server: s.Server})
	b.after(r.class.Target/2, func() {
		if r.attempts[n].open {
			b.adjustGate(s, false)
			b.observe(r, &r.attempts[n], r.class.Target/2, false)
		}
	})
	// After an ejection the backoff lasts until a good answer, and the check comes that much sooner.
	b.after(max(r.class.Target/2, 6*b.latency-s.backoff), func() { b.checkAttempt(r, n) })
}

// checkAttempt acts on a slow attempt: it sends a second one where that is allowed, and otherwise cancels it
// if its server is silent or no work takes that long. Other slow work would be no faster elsewhere.
func (b *Balancer) checkAttempt(r *request, n int) {
	a := &r.attempts[n]
	if !a.open || r.done || r.streaming || a.to.isOrigin {
		return
	}
	silent, stuck := a.to.lastHeard <= a.sent, b.now.Sub(a.sent) >= stuckFactor*b.latency
	if silent {
		b.recordFailure(a.to)
	}
	switch s := b.pick(r); {
	case r.inFlight > 1 || !b.mayRetry(r):
	case b.cfg.ParallelAttempts && s != nil && !b.overloaded(s):
		b.retryBudget--
		b.send(r, s)
	case !b.cfg.ParallelAttempts && b.cfg.MayCancel && (silent || stuck):
		b.emit(Cancel{ID: r.ID, Attempt: n})
	case !stuck:
		b.after(a.sent.Add(stuckFactor*b.latency).Sub(b.now), func() { b.checkAttempt(r, n) })
	}
}

// mayRetry tells whether a further attempt is allowed, within the retry budget and likely to end in time.
func (b *Balancer) mayRetry(r *request) bool {
	return b.mayRepeat(r) && b.retryBudget >= 1 && b.now.Add(b.latency) < r.Due
}

func (b *Balancer) onOutcome(r *request, a *attempt, o Outcome) {
	s := a.to
	a.open, a.neverRan = false, o.Result.HadNoEffect()
	b.countAttempt(r, s, -1)
	b.closeIfIdle(s) // a timeout says nothing about the connection
	s.connected = o.Result != NoConnect && o.Result != Reset && (s.connected || o.Result != TimedOut)
	took := b.now.Sub(a.sent)
	b.attemptEnded(r, a, took, o)
	b.recordResult(s, took, o.Result)
	refused := o.Result == NoConnect && b.isolated() && !s.isOrigin // full connection table: no load, no work
	if took < r.class.Target/2 && o.Result != Cancelled && o.Result != NeverSent &&
		o.Result != Malformed && !refused {
		b.adjustGate(s, o.Result == OK || o.Result == Miss)
	}
	switch o.Result {
	case NoConnect, Reset, Errored, Rejected: // a fast failure must not look like low load
		took += r.class.Target
		b.updateLoad(&s.load, s.inFlight)
		s.load.seconds += r.class.Target.Seconds()
	}
	answered := o.Result == OK || o.Result == Rejected // a miss is fast even at an overloaded cache
	if answered && !s.isOrigin {
		b.recordAnswer(took)
	}
	b.observe(r, a, took, answered)
	switch {
	case o.Done || r.done:
		b.finish(r, o.Result == OK)
	case r.inFlight > 0: // another attempt is still in flight
	case o.Result == Miss && b.origin != nil:
		b.fetchOrigin(r)
	case refused && b.mayRepeat(r):
		b.route(r)
	case b.mayRetry(r) && (o.Result != Errored || b.errorRate < commonErrors):
		b.retryBudget--
		b.route(r)
	default:
		b.giveUp(r, NoRetryAllowed)
	}
}

// waitDeadline is until when r is kept with nothing in flight: later, an answer or a refusal comes too late.
func (b *Balancer) waitDeadline(r *request) Time {
	return r.arrived.Add(min(r.class.Target-b.latency, r.Due.Sub(r.arrived)/2-b.target/recheckRate))
}

// giveUp ends r unless an attempt is in flight: with a refusal if a retry is harmless, else with a failure.
func (b *Balancer) giveUp(r *request, why GiveUpReason) {
	if r.inFlight > 0 || r.done {
		return
	}
	b.givenUp[why]++
	if r.firstRan() != nil && r.class.Effect != Safe {
		b.emit(Fail{ID: r.ID})
	} else {
		b.emit(Refuse{ID: r.ID, RetryAfter: min(r.class.Target/retryAfterDiv, b.cfg.MaxRetryAfter)})
	}
	b.finish(r, false)
}

// finish ends r, cancels its open attempts and resumes the requests that wait for its fetch.
func (b *Balancer) finish(r *request, ok bool) {
	for i, a := range r.attempts {
		if a.open && !r.done && !r.streaming && b.cfg.MayCancel && !a.to.isOrigin {
			b.emit(Cancel{ID: r.ID, Attempt: i})
		}
	}
	for _, w := range b.release(r, ok) {
		if ok || len(w.attempts) == 0 || b.origin == nil {
			b.route(w)
		} else if !w.done { // the fetch failed: the first waiter takes it over, the others join
			b.fetchOrigin(w)
		}
	}
}

// fetchOrigin sends a write or a missed read to the origin; reads of one key share a fetch.
func (b *Balancer) fetchOrigin(r *request) {
	shared := r.HasKey && !r.Write
	if lead := b.fetches[r.Key]; shared && lead != nil && lead != r {
		b.joinFetch(r, lead)
		return
	}
	if shared {
		b.fetches[r.Key] = r
	}
	if b.admits(&b.originGate, r) {
		b.sendOrRefuse(r, b.origin)
	} else {
		b.giveUp(r, GateClosed)
	}
}

// joinFetch lets a read wait for the fetch of its key that another request has in flight.
func (b *Balancer) joinFetch(r, lead *request) {
	r.waited = true
	lead.waiters = append(lead.waiters, r)
	b.after(b.waitDeadline(r).Sub(b.now), func() { b.giveUp(r, DeadlineNear) })
}

// onList updates servers and table. An empty table is built by start time, then id, as others saw the starts.
func (b *Balancer) onList(l List) {
	b.keepSubscribed(l.Kind)
	if l.Kind == Failed {
		return
	}
	weights := b.mergeList(l)
	if len(b.table.weights) == 0 {
		order, replayed := slices.Clone(b.caches), map[ServerID]float64{}
		slices.SortStableFunc(order, func(x, y *server) int { return cmp.Compare(x.Started, y.Started) })
		for i, s := range order {
			replayed[s.Server] = s.Weight
			if i+1 == len(order) || order[i+1].Started != s.Started {
				b.table.setWeights(replayed)
			}
		}
	}
	b.table.setWeights(weights)
}

// keepSubscribed repeats failed and unanswered calls for the list, with backoff and jitter.
func (b *Balancer) keepSubscribed(kind ListKind) {
	b.callID++ // cancels the timers of earlier calls
	call, wait := b.callID, time.Duration(0)
	if !b.cfg.SubscribeToList || kind == Partial || kind == Complete {
		b.failedCalls = 0
		return
	}
	if kind == Failed {
		b.failedCalls = min(b.failedCalls+1, 4)
		wait = b.cfg.SubscribeTimeout / 32 << b.failedCalls
		wait = wait/2 + time.Duration(b.rng.Int64N(int64(wait/2)+1))
	}
	b.after(wait, func() {
		if b.callID == call {
			b.emit(Subscribe{}) // without it this router counts as informed of drains that it never heard of
			b.after(b.cfg.SubscribeTimeout/2, func() {
				if b.callID == call {
					b.keepSubscribed(Failed)
				}
			})
		}
	})
}
