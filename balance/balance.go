// The types, events and actions of this package are in api.go, its state in state.go and the interval table, the
// other half of the decisions, in table.go.

package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The module's constants are ratios; every time comes from the settings or from what was measured.
const (
	passRatio  = 2.0     // a first cache this far over the mean in flight passes the request on
	passFloor  = 3       // and holds more than this: below it the mean is noise of single requests
	maxDraws   = 64      // rehash draws until the search for another cache ends
	retryShare = 0.2     // further attempts that a first one earns: a sick fleet sees a fifth more at most
	retryBurst = 10.0    // and so many at once, for a single server's death
	keepInUse  = 1.0 / 3 // of the fleet's weight is never ejected: past that the cause is a common one
	suspectAt  = 2       // failures in a row; one is not proof
	smoothing  = 0.2     // of latencies: about the last five answers
	firstLimit = 4.0     // of concurrency, before anything was seen
	limitCut   = 0.7     // what a crowded server's limit is cut to, once a round trip
	comeback   = 4       // a server back from an ejection is trusted this many times faster than a cold one
)

// New returns the decisions of one router.
func New(set Settings, seed uint64) *Balancer {
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0)), retries: retryBurst, aim: time.Second,
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, fetches: map[uint64]*request{},
		timers: map[int64]func(){}, shares: make([]meter, len(set.Tenants))}
	for i, c := range set.Classes {
		if i == 0 || c.Aim < b.aim {
			b.aim = c.Aim
		}
	}
	return b
}

// Handle takes the events of one moment and returns what is to be done, in order.
func (b *Balancer) Handle(now Time, events []Event) []Action {
	b.now, b.acts = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case List:
			b.onList(e)
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case Opened:
			if r := b.requests[e.ID]; r != nil {
				r.streams = true
			}
		case ClientGone:
			if r := b.requests[e.ID]; r != nil {
				b.end(r, false)
			}
		case Timer:
			if f := b.timers[e.Token]; f != nil {
				delete(b.timers, e.Token)
				f()
			}
		}
	}
	return b.acts
}

func (b *Balancer) do(a Action) { b.acts = append(b.acts, a) }

// after runs f at a later batch.
func (b *Balancer) after(d time.Duration, f func()) {
	b.token++
	b.timers[b.token] = f
	b.do(SetTimer{After: max(d, 0), Token: b.token})
}

// --- Requests ---

func (b *Balancer) onRequest(q Request) {
	r := &request{Request: q, hash: mix(q.Key), arrived: b.now}
	r.class = &Class{Aim: q.Due.Sub(b.now), Worth: 1} // of a class that the settings don't name: never repeated
	for i := range b.set.Classes {
		if b.set.Classes[i].Name == q.Class {
			r.class = &b.set.Classes[i]
		}
	}
	if !q.HasKey {
		r.hash = b.rng.Uint64()
	}
	r.worth = r.class.Worth
	for i, t := range b.set.Tenants { // traffic over a tenant's share waits behind all that is within one
		if t.Name != q.Tenant {
			continue
		}
		b.shares[i].add(b.now, b.set.OverloadFor)
		if b.shares[i].rate(b.now, b.set.OverloadFor)*float64(b.set.Routers) > t.AllowancePerS {
			r.worth *= b.set.OverShareWorth
		}
	}
	b.requests[q.ID] = r
	b.retries = min(b.retries+retryShare, retryBurst)
	b.after(q.Due.Sub(b.now), func() { b.giveUp(r) }) // whatever else happens, it is answered in time
	b.place(r)
}

// place sends a request on its ordinary way, or lets it wait for one.
func (b *Balancer) place(r *request) {
	if r.done || r.out > 0 || r.at != nil {
		return
	}
	if b.set.Aside && b.origin != nil && (r.Write || len(b.caches) == 0) {
		b.fetch(r)
		return
	}
	if lead := b.fetches[r.Key]; b.set.Aside && r.HasKey && lead != nil && lead != r && !r.waited {
		b.join(r, lead)
		return
	}
	if s := b.pick(r); s != nil {
		b.enqueue(r, s)
	} else if len(b.caches) > 0 && b.now.Add(b.aim/16) < b.patience(r) && b.mayRepeat(r) {
		b.after(b.aim/16, func() { b.place(r) }) // a budget fills or a trial succeeds meanwhile
	} else {
		b.giveUp(r)
	}
}

// patience is how long a request with nothing in flight is kept: past it an answer would come late.
func (b *Balancer) patience(r *request) Time {
	return min(r.arrived.Add(r.class.Aim), r.Due).Add(-b.latency)
}

// giveUp ends a request that has nothing in flight; one that has is ended by its attempt.
func (b *Balancer) giveUp(r *request) {
	if r.out == 0 {
		b.finish(r)
	}
}

// pick draws the request's caches by hash and rehash. The first passes the request on to the second when it is
// crowded and the second is less so; the draws go on past these two only for caches that are out of use.
func (b *Balancer) pick(r *request) *server {
	var first, second, spare *server
	for i, hash := 0, r.hash; i < maxDraws && len(b.caches) > 0; i, hash = i+1, mix(hash) {
		s := b.servers[b.table.lookup(hash)]
		if s == first || s == second || r.tried(s) || !b.mayTake(r, s) || !b.budgeted(s) {
			continue
		}
		if !b.healthy(s) {
			if spare == nil {
				spare = s
			}
			continue
		}
		if first == nil && !b.crowded(s) {
			return s
		}
		switch {
		case first == nil:
			first = s
		case second == nil && s.room() && (s.load() < first.load() || !first.room()):
			return s
		case first.room():
			return first
		case second == nil:
			second = s
		case s.load() < 0.5 && s.room():
			return s
		}
	}
	if second != nil && second.load() < first.load() {
		return second
	}
	if first == nil {
		return spare // all that is left has been ejected: the least bad is the one that holds the key
	}
	return first
}

// crowded is the load term of the design: over a multiple of the mean in flight and over a floor, or at its limit.
func (b *Balancer) crowded(s *server) bool {
	mean := float64(b.out) * s.weight() / b.weight
	return !s.room() || s.out > passFloor && float64(s.out) > passRatio*mean
}

// room tells whether the concurrency limit allows another attempt; one is always allowed.
func (s *server) room() bool { return s.out == 0 || float64(s.out+1) <= s.limit }

func (s *server) weight() float64 { return max(s.Weight, 1e-6) }

func (s *server) load() float64 { return float64(s.out+len(s.queue)) / s.limit }

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

// mayTake holds a keyed request that may have run to the group and the time in which repeats are dropped, and an
// unsafe one to its only attempt: no effect twice.
func (b *Balancer) mayTake(r *request, s *server) bool {
	if s.State != Up || !b.mayRepeat(r) {
		return false
	}
	ran := r.ran()
	return ran == nil || r.class.Effect == Safe || r.class.Group == GroupAll ||
		s.Zone == ran.to.Zone && (r.class.Group == GroupZone || r.class.Group == GroupCell && s.Cell == ran.to.Cell)
}

// mayRepeat tells whether any further attempt is allowed at all.
func (b *Balancer) mayRepeat(r *request) bool {
	if b.set.MaxAttempts > 0 && len(r.attempts) >= b.set.MaxAttempts {
		return false
	}
	ran := r.ran()
	return ran == nil || r.class.Effect == Safe || r.class.Effect == Keyed && b.now < ran.sent.Add(r.class.Memory)
}

// enqueue sends the request if its server has a place, else lets it wait, by worth. What cannot be served in half
// the aim is given up at once, the least worth first.
func (b *Balancer) enqueue(r *request, s *server) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].worth < r.worth {
		at--
	}
	s.queue = slices.Insert(s.queue, at, r)
	r.at = s
	b.pump(s)
	for len(s.queue) > 0 && float64(len(s.queue))/s.limit*float64(s.latency) > float64(b.aim)/2 {
		last := s.queue[len(s.queue)-1]
		s.queue, last.at = s.queue[:len(s.queue)-1], nil
		b.giveUp(last)
	}
	if r.at != nil {
		b.giveUpLater(r)
	}
}

func (b *Balancer) giveUpLater(r *request) {
	if left := b.patience(r).Sub(b.now); left > 0 {
		b.after(left, func() { b.giveUp(r) })
	} else {
		b.giveUp(r)
	}
}

// pump sends from a server's queue what its concurrency limit allows.
func (b *Balancer) pump(s *server) {
	for len(s.queue) > 0 && s.room() {
		r := s.queue[0]
		s.queue, r.at = s.queue[1:], nil
		switch {
		case r.done || r.out > 0:
		case b.mayTake(r, s):
			b.send(r, s)
		default:
			b.giveUp(r)
		}
	}
}

// scatter finds other places for what waits at a server that is no longer to be used.
func (b *Balancer) scatter(s *server) {
	queue := s.queue
	s.queue = nil
	for _, r := range queue {
		r.at = nil
		b.place(r)
	}
}

func (b *Balancer) send(r *request, s *server) {
	s.out++
	r.out++
	if s != b.origin {
		b.out++
		s.tokens--
	}
	r.attempts = append(r.attempts, attempt{to: s, sent: b.now, open: true})
	b.do(Send{ID: r.ID, Server: s.Server})
	n := len(r.attempts) - 1
	b.after(max(r.class.Aim/2, 4*b.latency), func() { b.check(r, n) })
}

// check looks at an attempt that has been out for half its aim or long by the fleet's measure. Where second copies
// are allowed one is sent; else it is withdrawn only if its server has been silent: slow work is no faster elsewhere.
func (b *Balancer) check(r *request, n int) {
	a := &r.attempts[n]
	if !a.open || r.done || r.streams || a.to == b.origin {
		return
	}
	silent := a.to.heard <= a.sent
	if silent {
		b.failed(a.to)
	}
	if r.out > 1 || b.retries < 1 || !b.mayRepeat(r) || b.now.Add(b.latency) >= r.Due {
		return
	}
	if b.set.Parallel {
		if s := b.pick(r); s != nil && !b.crowded(s) {
			b.retries--
			b.send(r, s)
		}
	} else if b.set.MayCancel && silent {
		b.do(Cancel{ID: r.ID, Attempt: n})
	}
}

func (b *Balancer) onOutcome(o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].open {
		return
	}
	a := &r.attempts[o.Attempt]
	s := a.to
	a.open, a.idle = false, o.Result.NeverRan()
	s.out--
	r.out--
	if s != b.origin {
		b.out--
	}
	b.judge(s, b.now.Sub(a.sent), o.Result)
	switch {
	case o.Done || r.done:
		b.end(r, o.Result == OK)
	case r.out > 0:
	case o.Result == Miss && o.Fetching && !r.waited: // another router's fetch brings it
		r.waited, a.anew = true, true
		if b.origin != nil {
			b.after(min(b.origin.latency, b.aim/2), func() { b.place(r) })
		} else {
			b.place(r)
		}
	case o.Result == Miss && b.origin != nil:
		b.fetch(r)
	case b.mayRepeat(r) && b.retries >= 1 && b.now.Add(b.latency) < r.Due:
		b.retries--
		b.place(r)
	default:
		b.finish(r)
	}
	b.pump(s)
}

// finish gives the final answer: a refusal only where a retry is harmless.
func (b *Balancer) finish(r *request) {
	if r.done {
		return
	}
	if r.ran() == nil || r.class.Effect == Safe {
		advice := time.Duration(0)
		if b.set.RetryAfter {
			advice = min(r.class.Aim/2, b.set.MaxRetryAfter)
		}
		b.do(Refuse{ID: r.ID, RetryAfter: advice})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.end(r, false)
}

// end lets go of a request and of what waits on it.
func (b *Balancer) end(r *request, ok bool) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.open && !r.done && !r.streams && b.set.MayCancel && a.to != b.origin {
			b.do(Cancel{ID: r.ID, Attempt: i})
		}
	}
	r.done = true
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
	if r.at != nil {
		r.at.queue = slices.DeleteFunc(r.at.queue, func(q *request) bool { return q == r })
		r.at = nil
	}
	if b.fetches[r.Key] == r {
		delete(b.fetches, r.Key)
	}
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		for i := range w.attempts {
			w.attempts[i].anew = ok && w.attempts[i].idle
		}
		if ok || len(w.attempts) == 0 {
			b.place(w)
		} else if !w.done { // the fetch failed: the first in line takes it over, the rest wait for that one
			b.fetch(w)
		}
	}
}

// fetch takes a write or a missed read to the origin; reads of one key share a fetch.
func (b *Balancer) fetch(r *request) {
	if lead := b.fetches[r.Key]; !r.Write && r.HasKey && lead != nil && lead != r {
		b.join(r, lead)
		return
	}
	if !r.Write && r.HasKey {
		b.fetches[r.Key] = r
	}
	b.enqueue(r, b.origin)
}

// join lets a read wait for the fetch that another one has in hand.
func (b *Balancer) join(r, lead *request) {
	r.waited = true
	lead.waiters = append(lead.waiters, r)
	b.giveUpLater(r)
}

// --- Health and load ---

// judge books one outcome to its server. The concurrency limit grows while answers take under half the shortest aim,
// so that a second attempt still has time, and is cut when they take longer or the server turns work away.
func (b *Balancer) judge(s *server, took time.Duration, result Result) {
	switch result {
	case OK, Miss:
		s.heard, s.fails, s.backoff = b.now, 0, 0
		if s.ejected != 0 {
			s.ejected, s.back = 0, b.now
		}
		if s != b.origin && b.warmth(s) >= 1 {
			b.warm.add(b.now, 2*b.set.OverloadFor)
		}
		if result == OK {
			s.latency += time.Duration(smoothing * float64(took-s.latency))
			if s != b.origin {
				b.latency += time.Duration(smoothing / 4 * float64(took-b.latency))
			}
		}
		if s.latency < b.aim/2 {
			if float64(2*s.out+2) >= s.limit {
				s.limit += 1 / s.limit
			}
			return
		}
	case Full:
		s.heard = b.now
	case Errored, TimedOut, NoConnect, Reset, Unknown:
		b.failed(s)
	default:
		return
	}
	if b.now.Sub(s.cut) > s.latency {
		s.limit, s.cut = max(1, s.limit*limitCut), b.now
	}
}

// failed counts a failure; two in a row eject the server, for longer each time, unless too few would be left.
func (b *Balancer) failed(s *server) {
	s.fails++
	if s.fails < suspectAt || b.now < s.ejected || s == b.origin {
		return
	}
	out := s.weight()
	for _, o := range b.caches {
		if o != s && b.now < o.ejected {
			out += o.weight()
		}
	}
	if out > b.weight*(1-keepInUse) {
		return
	}
	s.backoff = min(max(2*s.backoff, b.aim), 8*b.aim)
	s.ejected = b.now.Add(s.backoff)
	b.scatter(s)
}

// healthy tells whether a server is in use; one whose ejection is over gets a single trial at a time.
func (b *Balancer) healthy(s *server) bool {
	return s.ejected == 0 || b.now >= s.ejected && s.out == 0
}

// warmth is the share of its capacity that a server has at least, by its listed start and by its last return.
func (b *Balancer) warmth(s *server) float64 {
	w, ramp := 1.0, float64(max(b.set.Ramp, 1))
	if s.Started > 0 {
		w = b.set.ColdFrom + (1-b.set.ColdFrom)*float64(b.now.Sub(s.Started))/ramp
	}
	if s.back > 0 {
		w = min(w, b.set.ColdFrom+(1-b.set.ColdFrom)*comeback*float64(b.now.Sub(s.back))/ramp)
	}
	return min(max(w, b.set.ColdFrom), 1)
}

// budgeted keeps a cold server to its warm share of what a warm cache of its weight answers to this router, so that
// the routers together stay under what it can do however the traffic is spread over them.
func (b *Balancer) budgeted(s *server) bool {
	warmth := b.warmth(s)
	if warmth >= 1 {
		return true
	}
	weight := 0.0
	for _, o := range b.caches {
		if b.warmth(o) >= 1 {
			weight += o.weight()
		}
	}
	if weight == 0 { // nobody to go by: one at a time cannot exceed what it does
		return s.out == 0
	}
	rate := b.warm.rate(b.now, 2*b.set.OverloadFor) * s.weight() / weight * warmth
	s.tokens = min(s.tokens+rate*b.now.Sub(s.filled).Seconds(), max(1, rate*b.set.OverloadFor.Seconds()/2))
	s.filled = b.now
	return s.tokens >= 1
}

func (m *meter) add(now Time, span time.Duration) {
	m.count, m.at = m.rate(now, span)*span.Seconds()+1, now
}

func (m *meter) rate(now Time, span time.Duration) float64 {
	return m.count * max(1-float64(now.Sub(m.at))/float64(max(span, 1)), 0) / max(span, 1).Seconds()
}

// --- The list of servers ---

func (b *Balancer) onList(l List) {
	b.follow(l.Kind)
	if l.Kind == Failed {
		return
	}
	listed := map[ServerID]bool{}
	for _, e := range l.Entries {
		listed[e.Server] = true
		s := b.servers[e.Server]
		if s == nil || e.Started != s.Started && e.State == Up { // new or restarted: nothing is held against it
			out, queue := 0, []*request(nil)
			if s != nil {
				out, queue = s.out, s.queue
			} else {
				s = &server{}
				b.servers[e.Server] = s
			}
			*s = server{out: out, queue: queue, limit: firstLimit, filled: b.now}
		}
		s.Entry = e
	}
	b.origin, b.caches, b.weight, b.out = nil, nil, 0, 0
	weights := map[ServerID]float64{}
	for _, id := range sortedIDs(b.servers) {
		s := b.servers[id]
		isOrigin := b.set.OriginKind != "" && s.Kind == b.set.OriginKind
		switch {
		case l.Kind != Partial && !listed[id]:
			s.State = Gone
		case isOrigin && s.State == Up && b.origin == nil:
			b.origin = s
		case !isOrigin && s.State == Up:
			b.caches, weights[id] = append(b.caches, s), s.weight()
			b.weight += s.weight()
		}
		if s != b.origin {
			b.out += s.out
		}
		if s.State == Gone && s.out == 0 && len(s.queue) == 0 {
			delete(b.servers, id)
		}
	}
	b.cutTable(weights)
	for _, id := range sortedIDs(b.servers) {
		if s := b.servers[id]; s.State != Up {
			b.scatter(s)
		}
	}
}

// cutTable follows the list. An empty table is replayed by start time, then id, which is what the routers that saw
// the starts one by one have done.
func (b *Balancer) cutTable(weights map[ServerID]float64) {
	starts := []Time{}
	for _, s := range b.caches {
		starts = append(starts, s.Started)
	}
	slices.Sort(starts)
	if len(b.table.intervals) > 0 {
		starts = nil
	}
	for _, at := range slices.Compact(starts) {
		then := map[ServerID]float64{}
		for _, s := range b.caches {
			if s.Started <= at {
				then[s.Server] = s.weight()
			}
		}
		b.table.change(then)
	}
	b.table.change(weights)
}

// follow keeps a subscription alive where the list must be asked for: an unanswered call would leave this router
// told, by AskWithin, of drains it never heard of.
func (b *Balancer) follow(kind ListKind) {
	switch {
	case !b.set.AskForList:
	case kind == Persisted:
		b.subscribe()
	case kind == Failed:
		b.asks, b.asked = b.asks+1, false
		wait := min(b.set.AskWithin/32<<min(b.asks, 4), b.set.AskWithin/2)
		b.after(wait/2+time.Duration(b.rng.Int64N(int64(wait/2)+1)), func() {
			if !b.asked {
				b.subscribe()
			}
		})
	default:
		b.asks, b.asked = 0, false
	}
}

func (b *Balancer) subscribe() {
	asks := b.asks
	b.asked = true
	b.do(Subscribe{})
	b.after(b.set.AskWithin/2, func() {
		if b.asked && b.asks == asks {
			b.follow(Failed)
		}
	})
}
