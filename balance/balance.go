// The types, events and actions of this package are in api.go; the interval table is in table.go.

package balance

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Balancer is one router's decisions. Its fields belong to the goroutine that calls Handle.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      Time
	acts     []Action
	table    table
	servers  map[ServerID]*server
	origin   *server // the origin in aside mode, if listed
	requests map[RequestID]*request
	fetches  map[uint64]*request // by key: the read that has the origin's fetch in hand
	queue    []*request          // waiting for a place at the origin
	timers   map[int64]func()
	token    int64
	retries  float64       // retry budget
	latency  time.Duration // smoothed time to an answer
	rate     meter         // what the warm caches answer
	asks     int           // failed or unanswered calls for the list in a row
	asked    bool          // a call for the list is out
}

// server is what the router knows of one cache, or of the origin.
type server struct {
	Entry
	out     int           // attempts in flight
	heard   Time          // last answer of any kind
	fails   int           // failures in a row
	ejected Time          // not used before; 0 when in use
	backoff time.Duration // of the next ejection
	back    Time          // when it came back from an ejection
	avoid   Time          // turned work away: passed over until then
	tokens  float64       // budget of a cold server
	filled  Time          // when tokens was last brought up to date
	limit   float64       // concurrency limit (the origin)
	base    time.Duration // latency of the origin when it is not crowded
	latency time.Duration
	cut     Time // the last cut of limit
}

// attempt is one Send.
type attempt struct {
	to   *server
	sent Time
	open bool
	idle bool // proved never to have run
	anew bool // its server may be asked again: what it missed has been fetched since
}

// request is one client's request until its answer is given and its attempts have ended.
type request struct {
	Request
	class    *Class
	hash     uint64
	worth    float64
	arrived  Time
	attempts []attempt
	out      int
	done     bool
	streams  bool
	rejoined bool // has waited for a fetch once
	waiters  []*request
}

// The module's constants are ratios; times come from the settings.
const (
	passRatio   = 2.0 // a first cache this far over the mean in flight passes the request on
	passFloor   = 3   // and holds more than this: below it the mean is noise of single requests
	retryShare  = 0.2 // further attempts a first one earns: a sick fleet sees at most a fifth more
	retryBurst  = 10.0
	keepInUse   = 1.0 / 3 // of the fleet's weight is never ejected: past that the cause is a common one
	suspectAt   = 2       // failures in a row; one is not proof
	smoothing   = 0.1
	crowdedAt   = 2.5 // times its base latency: the origin queues
	drawsPerOne = 8   // rehash draws per cache until the search for another one ends
)

// New returns the decisions of one router.
func New(set Settings, seed uint64) *Balancer {
	return &Balancer{
		set: set, rng: rand.New(rand.NewPCG(seed, 0)), servers: map[ServerID]*server{},
		requests: map[RequestID]*request{}, fetches: map[uint64]*request{}, timers: map[int64]func(){}, retries: retryBurst,
	}
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
		if s == nil {
			s = &server{filled: b.now, limit: 4}
			b.servers[e.Server] = s
		} else if e.Started != s.Started && e.State == Up { // restarted: what was held against it is gone
			s.fails, s.ejected, s.backoff, s.tokens, s.filled = 0, 0, 0, 0, b.now
		}
		s.Entry = e
	}
	b.origin = nil
	for _, id := range sortedIDs(b.servers) {
		s := b.servers[id]
		if l.Kind != Partial && !listed[id] {
			s.State = Gone
		}
		if b.isOrigin(s) && s.State == Up && b.origin == nil {
			b.origin = s
		}
		if s.State == Gone && s.out == 0 {
			delete(b.servers, id)
		}
	}
	b.cutTable()
}

func (b *Balancer) isOrigin(s *server) bool {
	return b.set.OriginKind != "" && s.Kind == b.set.OriginKind
}

// cutTable follows the list. An empty table is replayed by start time, then id, which is what the routers that saw
// the starts one by one have done.
func (b *Balancer) cutTable() {
	weights := map[ServerID]float64{}
	var starts []Time
	for _, id := range sortedIDs(b.servers) {
		if s := b.servers[id]; s.State == Up && !b.isOrigin(s) {
			weights[id] = max(s.Weight, 1e-6)
			starts = append(starts, s.Started)
		}
	}
	if len(b.table.intervals) == 0 {
		sort.Slice(starts, func(i, j int) bool { return starts[i] < starts[j] })
		for i, at := range starts {
			if i+1 < len(starts) && starts[i+1] == at {
				continue
			}
			then := map[ServerID]float64{}
			for id, w := range weights {
				if b.servers[id].Started <= at {
					then[id] = w
				}
			}
			b.table.change(then)
		}
	}
	b.table.change(weights)
}

// follow keeps a subscription alive where the list must be asked for: an unanswered call would leave this router
// told, by AskWithin, of drains it never heard of.
func (b *Balancer) follow(kind ListKind) {
	if !b.set.AskForList {
		return
	}
	switch kind {
	case Persisted:
		b.subscribe()
	case Failed:
		b.asks++
		b.asked = false
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
	b.asked = true
	b.do(Subscribe{})
	asks := b.asks
	b.after(b.set.AskWithin/2, func() {
		if b.asked && b.asks == asks {
			b.follow(Failed)
		}
	})
}

// --- Requests ---

func (b *Balancer) onRequest(q Request) {
	class := &Class{Aim: q.Due.Sub(b.now), Deadline: q.Due.Sub(b.now), Worth: 1}
	for i := range b.set.Classes {
		if b.set.Classes[i].Name == q.Class {
			class = &b.set.Classes[i]
		}
	}
	r := &request{Request: q, class: class, hash: mix(q.Key), worth: class.Worth, arrived: b.now}
	if !q.HasKey {
		r.hash = b.rng.Uint64()
	}
	b.requests[q.ID] = r
	b.retries = min(b.retries+retryShare, retryBurst)
	b.place(r)
}

// place sends a request on its ordinary way, or holds it until there is one.
func (b *Balancer) place(r *request) {
	if r.done || r.out > 0 {
		return
	}
	if b.set.Aside && b.origin != nil && (r.Write || len(b.table.intervals) == 0) {
		b.toOrigin(r)
		return
	}
	if lead := b.fetches[r.Key]; b.set.Aside && r.HasKey && lead != nil && lead != r && !r.rejoined {
		r.rejoined = true
		lead.waiters = append(lead.waiters, r)
		b.giveUpLater(r)
		return
	}
	if s := b.pick(r); s != nil {
		b.send(r, s)
	} else if wait := r.class.Aim / 20; len(b.table.intervals) > 0 && b.now.Add(wait) < b.patience(r) {
		b.after(wait, func() { b.place(r) })
	} else {
		b.finish(r)
	}
}

// patience is how long a request with nothing in flight is kept: past it an answer would come late.
func (b *Balancer) patience(r *request) Time {
	return min(r.arrived.Add(r.class.Aim), r.Due.Add(-b.latency))
}

func (b *Balancer) giveUpLater(r *request) {
	giveUp := func() {
		if r.out == 0 {
			b.finish(r)
		}
	}
	if left := b.patience(r).Sub(b.now); left > 0 {
		b.after(left, giveUp)
	} else {
		giveUp()
	}
}

// pick draws the request's caches by hash and rehash. The first is passed over when it is crowded; beyond the
// second the draws go on only past caches that are out of use or over their budget.
func (b *Balancer) pick(r *request) *server {
	var first, spare *server
	hash, n := r.hash, len(b.table.weights)
	for i := 0; i < n*drawsPerOne; i++ {
		s := b.servers[b.table.lookup(mix(hash))]
		hash = mix(hash + uint64(i) + 1)
		if s == first || r.tried(s) || !b.mayTake(r, s) {
			continue
		}
		if spare == nil && b.budgeted(s) {
			spare = s
		}
		if !b.healthy(s) || !b.budgeted(s) {
			continue
		}
		if first == nil {
			if first = s; !b.crowded(s) {
				break
			}
			continue
		}
		if float64(s.out)/s.Weight < float64(first.out)/first.Weight {
			first = s
		}
		break
	}
	if first == nil {
		first = spare
	}
	return first
}

// crowded is the load term of the design: over a multiple of the mean in flight and over a floor.
func (b *Balancer) crowded(s *server) bool {
	out, weight := 0, 0.0
	for id, w := range b.table.weights {
		out += b.servers[id].out
		weight += w
	}
	return s.out > passFloor && float64(s.out) > passRatio*float64(out)*b.table.weights[s.Server]/weight || b.now < s.avoid
}

func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].to == s && !r.attempts[i].anew {
			return true
		}
	}
	return false
}

// mayTake holds a keyed request that may have run to the group and the time in which repeats are dropped, and an
// unsafe one to its only attempt: no effect twice.
func (b *Balancer) mayTake(r *request, s *server) bool {
	if s.State != Up || b.set.MaxAttempts > 0 && len(r.attempts) >= b.set.MaxAttempts {
		return false
	}
	ran := r.ran()
	if ran == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect != Keyed || b.now >= ran.sent.Add(r.class.Memory) {
		return false
	}
	old := ran.to
	return r.class.Group == GroupAll || r.class.Group == GroupZone && s.Zone == old.Zone ||
		r.class.Group == GroupCell && s.Zone == old.Zone && s.Cell == old.Cell
}

func (b *Balancer) send(r *request, s *server) {
	s.out++
	s.tokens--
	r.out++
	r.attempts = append(r.attempts, attempt{to: s, sent: b.now, open: true})
	b.do(Send{ID: r.ID, Server: s.Server})
	n := len(r.attempts) - 1
	b.after(max(r.class.Aim/2, 4*b.latency), func() { b.check(r, n) })
}

// check looks at an attempt that has been out for long: where its server has been silent since, another is tried.
func (b *Balancer) check(r *request, n int) {
	a := &r.attempts[n]
	if !a.open || r.done || r.streams || b.isOrigin(a.to) {
		return
	}
	silent := a.to.heard <= a.sent
	if silent {
		b.failed(a.to)
	}
	if r.out > 1 || b.retries < 1 || r.class.Effect == Unsafe {
		return
	}
	if b.set.Parallel {
		if s := b.pick(r); s != nil {
			b.retries--
			b.send(r, s)
		}
	} else if b.set.MayCancel && silent && b.now.Add(2*b.latency) < r.Due {
		b.do(Cancel{ID: r.ID, Attempt: n})
	}
}

func (b *Balancer) onOutcome(o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].open {
		return
	}
	a := &r.attempts[o.Attempt]
	a.open = false
	a.idle = o.Result.NeverRan()
	a.to.out--
	r.out--
	b.judge(a, o.Result)
	switch {
	case o.Done || r.done:
		b.end(r, o.Result == OK)
	case r.out > 0:
	case o.Result == Miss && o.Fetching && !r.rejoined && b.latency > 0:
		r.rejoined = true
		a.anew = true
		b.after(b.originTime(), func() { b.place(r) })
	case o.Result == Miss && b.origin != nil:
		b.toOrigin(r)
	default:
		b.again(r, o.Result)
	}
	b.pump()
	if r.done && r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// ran returns the first attempt that may have run, or may yet: all that is not proved idle.
func (r *request) ran() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].idle {
			return &r.attempts[i]
		}
	}
	return nil
}

// again makes a further attempt after a failure, or gives up at once.
func (b *Balancer) again(r *request, result Result) {
	if !b.canRepeat(r) || b.retries < 1 || b.now.Add(b.latency) >= r.Due {
		b.finish(r)
		return
	}
	b.retries--
	b.place(r)
}

func (b *Balancer) canRepeat(r *request) bool {
	return r.ran() == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll
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
	first := !r.done
	r.done = true
	if first && b.set.MayCancel && !r.streams {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.open && !b.isOrigin(a.to) {
				b.do(Cancel{ID: r.ID, Attempt: i})
			}
		}
	}
	if b.fetches[r.Key] == r {
		delete(b.fetches, r.Key)
	}
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		if w.done || w.out > 0 {
			continue
		}
		for i := range w.attempts {
			w.attempts[i].anew = ok && w.attempts[i].idle
		}
		if ok || len(w.attempts) == 0 {
			b.place(w)
		} else { // the fetch failed: the first in line takes it over, the rest wait for that one
			b.toOrigin(w)
		}
	}
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// --- The origin ---

// toOrigin queues a write or a missed read for the origin; reads of one key share a fetch.
func (b *Balancer) toOrigin(r *request) {
	if !r.Write && r.HasKey {
		if lead := b.fetches[r.Key]; lead != nil && lead != r && !lead.done {
			lead.waiters = append(lead.waiters, r)
			b.giveUpLater(r)
			return
		}
		b.fetches[r.Key] = r
	}
	b.queue = append(b.queue, r)
	b.pump()
	if r.out == 0 && !r.done {
		b.giveUpLater(r)
	}
}

func (b *Balancer) originTime() time.Duration {
	if b.origin == nil {
		return b.latency
	}
	return b.origin.latency
}

// pump sends what the origin's concurrency limit allows, by worth, then by age.
func (b *Balancer) pump() {
	sort.SliceStable(b.queue, func(i, j int) bool { return b.queue[i].worth > b.queue[j].worth })
	for len(b.queue) > 0 && b.origin != nil && float64(b.origin.out) < b.origin.limit {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if r.done || r.out > 0 {
			continue
		}
		if !b.mayTake(r, b.origin) {
			b.finish(r)
			continue
		}
		b.send(r, b.origin)
	}
}

// adapt moves the origin's concurrency limit: up by one a round trip while answers come at their base pace, down
// when they slow or fail. Its capacity is told nowhere.
func (b *Balancer) adapt(s *server, took time.Duration, ok bool) {
	if ok {
		if s.base == 0 || took < s.base {
			s.base = took
		}
		s.base += s.base / 200
		s.latency += time.Duration(smoothing * 2 * float64(took-s.latency))
	}
	switch {
	case ok && s.latency < time.Duration(crowdedAt*float64(s.base))+s.base:
		s.limit += 1 / s.limit
	case b.now.Sub(s.cut) > s.latency:
		s.limit, s.cut = max(1, s.limit*0.8), b.now
	}
}

// --- Health ---

// judge books one outcome to its server.
func (b *Balancer) judge(a *attempt, result Result) {
	s, took := a.to, b.now.Sub(a.sent)
	if b.isOrigin(s) {
		if result != Cancelled && result != Moot {
			b.adapt(s, took, result == OK)
		}
		return
	}
	switch result {
	case OK, Miss:
		s.heard, s.fails, s.backoff = b.now, 0, 0
		if s.ejected != 0 {
			s.ejected, s.back = 0, b.now
		}
		if b.warmth(s) >= 1 {
			b.rate.add(b.now, 1, 2*b.set.OverloadFor)
		}
		if result == OK {
			b.latency += time.Duration(smoothing * float64(took-b.latency))
		}
	case Full:
		s.heard, s.avoid = b.now, b.now.Add(b.latency)
	case Errored, TimedOut, NoConnect, Reset, Unknown:
		b.failed(s)
	}
}

// failed counts a failure; two in a row eject the server, for longer each time, unless too few would be left.
func (b *Balancer) failed(s *server) {
	s.fails++
	if s.fails < suspectAt || b.now < s.ejected {
		return
	}
	total, out := 0.0, s.Weight
	for id, w := range b.table.weights {
		total += w
		if o := b.servers[id]; o != s && b.now < o.ejected {
			out += w
		}
	}
	if out > total*(1-keepInUse) {
		return
	}
	s.backoff = min(max(2*s.backoff, b.aim()), 8*b.aim())
	s.ejected = b.now.Add(s.backoff)
}

// aim is the shortest aim of the settings: the pace at which the service is judged.
func (b *Balancer) aim() time.Duration {
	aim := time.Second
	for i, c := range b.set.Classes {
		if i == 0 || c.Aim < aim {
			aim = c.Aim
		}
	}
	return aim
}

// healthy tells whether a server is in use; one whose ejection is over gets a single trial at a time.
func (b *Balancer) healthy(s *server) bool {
	return s.ejected == 0 || b.now >= s.ejected && s.out == 0
}

// warmth is the share of its capacity that a server has at least, by its listed start and by its last return.
func (b *Balancer) warmth(s *server) float64 {
	if b.set.Ramp <= 0 {
		return 1
	}
	w := 1.0
	if s.Started > 0 {
		w = min(w, b.set.ColdFrom+(1-b.set.ColdFrom)*float64(b.now.Sub(s.Started))/float64(b.set.Ramp))
	}
	if s.back > 0 {
		w = min(w, b.set.ColdFrom+(1-b.set.ColdFrom)*4*float64(b.now.Sub(s.back))/float64(b.set.Ramp))
	}
	return max(w, b.set.ColdFrom)
}

// budgeted keeps a cold server to its warm share of what a warm cache of its weight answers to this router, so that
// the routers together stay under what it can do however the traffic is spread over them.
func (b *Balancer) budgeted(s *server) bool {
	warmth := b.warmth(s)
	if warmth >= 1 {
		return true
	}
	weight := 0.0
	for id, w := range b.table.weights {
		if b.warmth(b.servers[id]) >= 1 {
			weight += w
		}
	}
	if weight == 0 { // nobody to go by: one at a time cannot exceed what it does
		return s.out == 0
	}
	rate := b.rate.perSecond(b.now, 2*b.set.OverloadFor) * s.Weight / weight * warmth
	s.tokens += rate * b.now.Sub(s.filled).Seconds()
	s.tokens = min(s.tokens, max(1, rate*b.set.OverloadFor.Seconds()/2))
	s.filled = b.now
	return s.tokens >= 1
}

// meter is a rate that fades over a span.
type meter struct {
	count float64
	at    Time
}

func (m *meter) add(now Time, n float64, span time.Duration) {
	m.count, m.at = m.perSecond(now, span)*span.Seconds()+n, now
}

func (m *meter) perSecond(now Time, span time.Duration) float64 {
	if span <= 0 {
		return 0
	}
	left := 1 - float64(now.Sub(m.at))/float64(span)
	return m.count * max(left, 0) / span.Seconds()
}
