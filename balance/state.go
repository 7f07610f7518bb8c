package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the state of a Balancer and the dispatch of events to the policy files.

// Balancer makes the decisions of one router. It is not safe for concurrent use.
type Balancer struct {
	cfg                   Settings
	rng                   *rand.Rand
	now                   Time
	target                time.Duration // the shortest latency target of any class: the time scale of health checks
	actions               []Action
	table                 table
	servers               map[ServerID]*server
	cachesByHash          map[uint32]*server // the caches by server.hash
	caches                []*server          // that are up, sorted by id
	origin                *server            // the origin for writes and cache-aside reads, if listed
	requests              map[RequestID]*request
	fetches               map[uint64]*request // by key: the read whose fetch from the origin is in flight
	timers                map[int64]func()
	lastToken             int64
	pool                                    // all caches
	pools                 map[string]*pool  // by zone, with tiers
	sends                 int               // attempts started at caches
	recentKeys            [2]map[uint32]int // requests by key hash, in two generations, newer first
	olderSends            int               // requests counted in the older generation
	newerSends            int               // requests counted in the newer generation
	retryBudget           float64           // further attempts allowed now
	latency               time.Duration     // smoothed latency of the caches' answers to this router
	fleetLatency          time.Duration     // mean latency of the last answers, here and at routers that report theirs
	lastAnswer            Time              // of any cache
	unanswered            int               // failed or late attempts since then
	observations          []observation     // not yet sent to other routers
	answerRate            meter             // answers of caches per warm weight of 1 at their time
	coldChecks            meter             // cold caches considered with many routers, per cold weight of 1
	tenantRates           []meter           // requests by tenant, in the order of the settings
	errorRate             float64           // smoothed share of errors among the caches' answers
	cacheGate, originGate gate
	meanPriority          float64 // smoothed priority of requests
	removedClasses        []Class // removed by the last change of settings; requests that name one may still arrive
	failedCalls           int     // consecutive failed calls for the list
	givenUp               [giveUpReasonCount]int
	callID                int   // number of the last list event or failed call; timers of earlier ones do nothing
	tiers                 Tiers // nil if requests are not confined to sites
}

// server is what the router knows about a cache or the origin.
type server struct {
	Entry
	isOrigin     bool
	hash         uint32        // hash of its id, as in messages between routers
	inFlight     int           // attempts in flight
	pool         *pool         // the caches that its load is compared with
	answerPool   *pool         // the caches whose answers to this router set its budget while it is cold
	guests       int           // attempts in flight for requests whose home is another site
	load         decayingLoad  // time of attempts in flight over the last sends
	limit        float64       // concurrency limit of this router
	latency      time.Duration // smoothed time to an answer
	lastCut      Time          // when limit was last decreased
	lastHeard    Time          // when it last answered in any way
	lastGood     Time          // when it last answered successfully
	failures     int           // consecutive failures
	ejectedUntil Time          // not used before this time; 0 if in use
	backoff      time.Duration // duration of the last ejection; 0 after a successful answer
	assumedStart Time          // assumed start if it may have restarted during an ejection
	tokens       float64       // attempts allowed while it is cold
	avoidUntil   Time          // not used before this time, since it refused a connection
	connected    bool          // a connection to it is probably open
	refusals     int           // consecutive refused connections
	lastUsed     Time          // when its last attempt ended
	lastRefill   Time          // when tokens was last updated
}

// pool is a set of caches whose load is compared: all caches or, with tiers, those of a zone.
type pool struct {
	weight      float64 // sum over the caches that are up
	warmSum     float64 // sum of weights times warm fractions; 0 if not yet computed
	coldSum     float64 // sum of the weights of caches that are not warm; computed with warmSum
	warmUpdated Time
	inFlight    int // attempts in flight, to listed caches that are not up as well
	load        decayingLoad
}

// gate is an admission gate: it lets a part of the requests pass.
type gate struct {
	ratio   float64 // part of requests that pass, from minGate to 1
	streak  int     // good answers in a row, halved by a bad one
	lastCut Time    // when it was last closed further
}

// decayingLoad is the time that attempts have been in flight, in seconds; it decays with the router's next sends.
type decayingLoad struct {
	seconds float64
	updated Time
	sends   int
}

// meter is a rate per second that decays over a span.
type meter struct {
	count   float64
	updated Time
}

// add counts n more and returns the rate.
func (m *meter) add(now Time, span time.Duration, n float64) float64 {
	m.count, m.updated = m.rate(now, span)*span.Seconds()+n, now
	return m.rate(now, span)
}

func (m *meter) rate(now Time, span time.Duration) float64 {
	return m.count * max(1-float64(now.Sub(m.updated))/float64(max(span, 1)), 0) / max(span, 1).Seconds()
}

// recentShare counts a request for a key and returns the share that the key had of the last requests, over two
// generations. With fewer than half a generation counted, the share is taken of half a generation: few samples say little.
func (b *Balancer) recentShare(key uint32, generation float64) float64 {
	n, total := b.recentKeys[0][key]+b.recentKeys[1][key], max(float64(b.newerSends+b.olderSends), generation/2)
	if b.newerSends++; b.recentKeys[0] == nil || float64(b.newerSends) > generation {
		b.recentKeys, b.olderSends, b.newerSends = [2]map[uint32]int{{}, b.recentKeys[0]}, b.newerSends, 1
	}
	b.recentKeys[0][key]++
	return float64(n) / max(total, 1)
}

// keyFraction hashes a key and a server to a number from 0 to 1 that is the same at all routers and each time. With a random number,
// each key of a cold cache would miss both there and at the cache that replaces it.
func keyFraction(key uint64, server uint32) float64 {
	return float64(mix(key^uint64(server)<<32)>>11) / (1 << 53)
}

// attempt is the state of one Send.
type attempt struct {
	to         *server
	sent       Time
	open       bool          // still in flight
	reported   time.Duration // part of its time in flight that was sent to other routers
	neverRan   bool          // proved to have had no effect
	mayReuse   bool          // its server may be used again: the key that it missed has been fetched since
	limitShare float64       // part of its server's limit that it could use, with tiers
	mayFetch   bool          // its site may have had to fetch the key, with tiers
	zone       string        // zone of its server when it was sent, with tiers: the list may have changed since
}

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	Request
	class      *Class
	hash       uint64
	spread     int // caches beyond the first that a hot key may use
	priority   float64
	limitShare float64 // part of its next server's limit that it may use; 0 if a site's limit is reached
	arrived    Time
	attempts   []attempt
	inFlight   int
	done       bool
	streaming  bool
	waited     bool       // has waited for another request's fetch before
	waiters    []*request // reads that wait for its fetch
}

// New returns the Balancer of one router. The seed determines its random choices.
func New(settings Settings, seed uint64) *Balancer {
	b := &Balancer{cfg: settings, rng: rand.New(rand.NewPCG(seed, 0)), target: time.Second,
		servers: map[ServerID]*server{}, requests: map[RequestID]*request{}, table: newTable(), fetches: map[uint64]*request{},
		timers: map[int64]func(){}, tenantRates: make([]meter, len(settings.Tenants))}
	b.setTarget()
	if settings.Tiers != nil {
		b.tiers = settings.Tiers()
	}
	if settings.Placement != nil {
		b.table.placement = settings.Placement()
	}
	b.initEstimates()
	return b
}

// setTarget sets target to the shortest latency target of any class.
func (b *Balancer) setTarget() {
	for i, c := range b.cfg.Classes {
		if i == 0 || c.Target < b.target {
			b.target = c.Target
		}
	}
}

// applySettings changes the settings. The old classes are not modified, since requests in progress point to them. Request rates
// of tenants are kept by name. Tiers and Placement stay as created.
func (b *Balancer) applySettings(settings Settings) {
	old, oldRates := b.cfg, b.tenantRates
	b.removedClasses = nil
	for _, c := range old.Classes {
		if !slices.ContainsFunc(settings.Classes, func(n Class) bool { return n.Name == c.Name }) {
			b.removedClasses = append(b.removedClasses, c)
		}
	}
	b.cfg, b.tenantRates = settings, make([]meter, len(settings.Tenants))
	b.cfg.Tiers, b.cfg.Placement = old.Tiers, old.Placement
	b.cfg.Classes = slices.Clone(settings.Classes)
	b.setTarget()
	for i, t := range settings.Tenants {
		if j := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name }); j >= 0 {
			b.tenantRates[i] = oldRates[j]
		}
	}
}

// Handle processes the events of one moment and returns the actions to carry out, in order. Events that refer to
// unknown requests, attempts or timers change nothing.
func (b *Balancer) Handle(now Time, events []Event) []Action {
	b.now, b.actions = now, nil
	if b.cfg.PriorAnswerRate > 0 { // an empty window fills only after its whole span, and cold servers would starve meanwhile
		span := 2 * b.cfg.OverloadFor
		b.answerRate, b.cfg.PriorAnswerRate = meter{count: b.cfg.PriorAnswerRate * span.Seconds(), updated: now}, 0
	}
	for _, e := range events {
		switch e := e.(type) {
		case List:
			b.onList(e)
		case Request:
			if b.requests[e.ID] == nil {
				b.onRequest(e)
			}
		case Outcome:
			r := b.requests[e.ID]
			if r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) && r.attempts[e.Attempt].open {
				b.onOutcome(r, &r.attempts[e.Attempt], e)
			}
		case Opened:
			if r := b.requests[e.ID]; r != nil {
				r.streaming = true
			}
		case ClientGone:
			if r := b.requests[e.ID]; r != nil {
				b.finish(r, false)
			}
		case SettingsChanged:
			b.applySettings(e.Settings)
		case PeerMessage:
			b.onPeerMessage(decodeObservations(e.Content))
		case Timer:
			if f := b.timers[e.Token]; f != nil {
				delete(b.timers, e.Token)
				f()
			}
		}
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// after runs f in a later call of Handle, d from now or later.
func (b *Balancer) after(d time.Duration, f func()) {
	b.lastToken++
	b.timers[b.lastToken] = f
	b.emit(SetTimer{After: max(d, 0), Token: b.lastToken})
}

// requestInfo returns the description of a request for the tiers.
func (b *Balancer) requestInfo(r *request) RequestInfo {
	return RequestInfo{Key: r.hash, Read: r.HasKey && !r.Write, Safe: r.class.Effect == Safe,
		RelativePriority: r.priority / max(b.meanPriority, 1e-9), Retry: len(r.attempts) > 0}
}

// attemptBegun and attemptEnded report an attempt to the tiers.
func (b *Balancer) attemptBegun(r *request, a *attempt) {
	if b.tiers == nil || a.to.isOrigin {
		return
	}
	if a.limitShare = r.limitShare; a.limitShare < 1 {
		a.to.guests++
	}
	a.zone = a.to.Zone
	a.mayFetch = b.tiers.AttemptBegun(b.now, a.zone, r.hash, r.HasKey && !r.Write, a.limitShare < 1)
}

func (b *Balancer) attemptEnded(r *request, a *attempt, took time.Duration, o Outcome) {
	if b.tiers == nil || a.to.isOrigin {
		return
	}
	if a.limitShare < 1 {
		a.to.guests--
	}
	if o.Result == NoConnect && b.isolated() { // a full connection table does not mean that the site is gone
		o.Result = NeverSent
	}
	b.tiers.AttemptEnded(b.now, AttemptResult{Zone: a.zone, Key: r.hash, Took: took, Connect: o.Connect, Result: o.Result,
		MayFetch: a.mayFetch})
}

// release removes r from the state and returns the reads that wait for its fetch. After a successful fetch they may
// use the caches again where they had a miss.
func (b *Balancer) release(r *request, ok bool) []*request {
	r.done = true
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
	if b.fetches[r.Key] == r {
		delete(b.fetches, r.Key)
	}
	waiters := r.waiters
	r.waiters = nil
	for _, waiter := range waiters {
		for i := range waiter.attempts {
			waiter.attempts[i].mayReuse = ok && waiter.attempts[i].neverRan
		}
	}
	return waiters
}

// tried tells whether r had an attempt at s whose result is still valid.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == s && !a.mayReuse })
}

// firstRan returns the first attempt that may have run or may still run: any that is not proved to have had no effect.
func (r *request) firstRan() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// class returns a request's class, also one that the last change of settings removed. A request of unknown class is never repeated.
func (b *Balancer) class(q Request) *Class {
	for _, all := range [][]Class{b.cfg.Classes, b.removedClasses} {
		for i := range all {
			if all[i].Name == q.Class {
				return &all[i]
			}
		}
	}
	return &Class{Target: q.Due.Sub(b.now), Priority: 1}
}

// countAttempt counts an attempt that begins (n is 1) or ends (n is -1).
func (b *Balancer) countAttempt(r *request, s *server, n int) {
	if !s.isOrigin {
		b.addLoad(s, 0)
		b.sends += max(n, 0)
	}
	r.inFlight += n
	s.inFlight += n
	if !s.isOrigin {
		b.inFlight += n
		if s.pool != &b.pool {
			s.pool.inFlight += n
		}
	}
}

// weightInUse returns the weight of the caches that are not ejected, without s.
func (b *Balancer) weightInUse(s *server) (weight float64) {
	for _, o := range b.caches {
		if o != s && b.now >= o.ejectedUntil {
			weight += o.Weight
		}
	}
	return weight
}

// updateLoad decays a load, adds the time of the attempts in flight since its last update, and returns the seconds.
func (b *Balancer) updateLoad(load *decayingLoad, inFlight int) float64 {
	fade := 1 - 1/(loadWindow*float64(max(len(b.caches), 1)))
	load.seconds = load.seconds*math.Pow(fade, float64(b.sends-load.sends)) + float64(inFlight)*b.now.Sub(load.updated).Seconds()
	load.updated, load.sends = b.now, b.sends
	return load.seconds
}

// warmWeight returns the sum of a pool's weights times warm fractions, over which its answers are distributed. The sum is
// computed again at most once in a sixteenth of a target.
func (b *Balancer) warmWeight(p *pool) float64 {
	if p.warmSum == 0 || b.now.Sub(p.warmUpdated) >= b.target/recheckRate {
		p.warmSum, p.coldSum, p.warmUpdated = 0, 0, b.now
		for _, s := range b.caches {
			if p == &b.pool || s.answerPool == p {
				warm := b.warmFraction(s)
				if p.warmSum += s.Weight * warm; warm < 1 {
					p.coldSum += s.Weight
				}
			}
		}
	}
	return max(p.warmSum, 1e-9)
}

// share is this router's part of the work of all routers, taken as equal for each.
func (b *Balancer) share() float64 { return 1 / float64(max(b.cfg.Routers, 1)) }

// addLoad updates the load of a cache and its pools and adds time in flight to it.
func (b *Balancer) addLoad(s *server, took time.Duration) {
	b.updateLoad(&s.load, s.inFlight)
	b.updateLoad(&b.load, b.inFlight)
	s.load.seconds += took.Seconds()
	b.load.seconds += took.Seconds()
	if s.pool != &b.pool {
		b.updateLoad(&s.pool.load, s.pool.inFlight)
		s.pool.load.seconds += took.Seconds()
	}
}

// mergeList updates the servers from a list and returns the weights of the caches that are up.
func (b *Balancer) mergeList(l List) map[ServerID]float64 {
	listed := map[ServerID]bool{}
	for _, e := range l.Entries {
		listed[e.Server], e.Weight = true, max(e.Weight, 1e-6)
		s := b.servers[e.Server]
		if s == nil {
			s = &server{}
			b.servers[e.Server] = s
		}
		if s.limit == 0 || e.Started != s.Started && e.State == Up { // new or restarted: earlier failures and load no longer count
			*s = server{inFlight: s.inFlight, guests: s.guests, lastRefill: b.now, limit: b.initialLimit()}
		}
		s.Entry, s.hash, s.isOrigin = e, hashID(e.Server), b.cfg.OriginKind != "" && e.Kind == b.cfg.OriginKind
	}
	b.origin, b.caches, b.weight, b.warmSum, b.inFlight, b.cachesByHash = nil, nil, 0, 0, 0, map[uint32]*server{}
	old := b.pools
	b.pools = map[string]*pool{}
	weights := map[ServerID]float64{}
	for _, id := range sortedIDs(b.servers) {
		s := b.servers[id]
		if l.Kind != Partial && !listed[id] {
			s.State = Gone
		}
		s.pool, s.answerPool = &b.pool, &b.pool
		if b.tiers != nil && !s.isOrigin {
			if s.pool = b.pools[s.Zone]; s.pool == nil {
				s.pool = &pool{}
				if old[s.Zone] != nil {
					s.pool.load = old[s.Zone].load
				}
				b.pools[s.Zone] = s.pool
			}
			if s.Zone == b.cfg.Zone { // another site's cache also serves its own routers: there the answers of all caches count
				s.answerPool = s.pool
			}
			s.pool.inFlight += s.inFlight
			if s.State == Up {
				s.pool.weight += s.Weight
			}
		}
		if s.State == Up && s.isOrigin {
			b.origin = s
		} else if s.State == Up {
			b.cachesByHash[s.hash], weights[id] = s, s.Weight
			b.caches, b.weight = append(b.caches, s), b.weight+s.Weight
		}
		if !s.isOrigin {
			b.inFlight += s.inFlight
		}
		if s.State == Gone && s.inFlight == 0 {
			delete(b.servers, id)
		}
	}
	if b.tiers != nil {
		b.tiers.SetUp(b.now, b.upPerZone())
	}
	return weights
}

// upPerZone counts the caches that are up in each zone.
func (b *Balancer) upPerZone() map[string]int {
	up := map[string]int{}
	for _, s := range b.caches {
		up[s.Zone]++
	}
	return up
}

// sortedIDs returns the keys of a map in order, so that no decision depends on the iteration order of maps.
func sortedIDs[V any](m map[ServerID]V) []ServerID {
	ids := make([]ServerID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
