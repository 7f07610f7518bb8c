package edge

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/peersampling"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// cacheTier sends fetches to the cache router that owns a key: by the balancer's interval table, or by its second hash if that router is
// overloaded.
type cacheTier struct {
	edge        *Edge
	toShield    bool // sends to a key's shield, else to its cache router
	loop        *exchange.Loop
	rosterBase  uint64 // the State.RosterBase that the interval table was built from
	rosterSteps int    // number of roster steps applied

	callers sync.Map // *exchange.Exchange to the *cancellation.Caller that it is sent for

	roster map[string]clusterstate.Router // routers after those steps
	listed map[string]clusterstate.Router // the routers in the balancer's list: peer sources, or shields
}

const (
	copyClass      = "copy"
	tierDeadline   = 30 * time.Second
	tierTarget     = 4 * time.Second        // far longer than a call takes: a slow origin must not look like a slow cache router
	tierReserve    = 60 * time.Millisecond  // of a request's time, kept back for asking the servers directly
	maxCatchUpWait = 150 * time.Millisecond // for a state change that the caller has seen already, such as a purge
)

// newCacheTier returns a tier that sends to shields if toShield is set, else to cache routers. With zoneFirst it prefers the own zone.
func newCacheTier(e *Edge, toShield, zoneFirst bool) *cacheTier {
	t := &cacheTier{edge: e, toShield: toShield, roster: map[string]clusterstate.Router{}, listed: map[string]clusterstate.Router{}}
	settings := balance.Settings{Classes: []balance.Class{{Name: copyClass, Target: tierTarget, Deadline: tierDeadline, Priority: 1,
		Effect: balance.Safe}}, Routers: 1, Zone: e.config.Zone, OverSharePriority: 1, MaxAttempts: 2, ConnectTimeout: time.Second,
		ColdStartShare: 1, RampTime: time.Second, OverloadFactor: 2, OverloadFor: time.Second}
	if zoneFirst {
		settings.Tiers = func() balance.Tiers { return &zoneFirstTiers{zone: e.config.Zone} }
	}
	t.loop = e.newLoop(settings, t, e.sender.Pool)
	return t
}

// applyRoster applies the roster steps that are new, one index at a time: every router must apply them in the same order to build the same
// interval table. If the roster has been compacted, the table is rebuilt from its new base.
func (t *cacheTier) applyRoster(s *clusterstate.State) {
	if t.rosterBase != s.RosterBase || t.rosterSteps > len(s.Roster) {
		empty := exchange.ServerList{Addresses: map[balance.ServerID]string{}}
		empty.Kind, empty.Version = balance.Complete, int64(s.Index)
		t.enqueueList(empty)
		t.rosterBase, t.rosterSteps = s.RosterBase, 0
		clear(t.roster)
		clear(t.listed)
	}
	for t.rosterSteps < len(s.Roster) {
		for index := s.Roster[t.rosterSteps].Index; t.rosterSteps < len(s.Roster) && s.Roster[t.rosterSteps].Index == index; t.rosterSteps++ {
			if step := s.Roster[t.rosterSteps]; step.Gone {
				delete(t.roster, step.Node)
			} else {
				t.roster[step.Node] = step.Router
			}
		}
		t.pushChanges(int64(s.Index))
	}
}

// pushChanges sends the balancer the difference between the routers that it should list and those that it lists.
func (t *cacheTier) pushChanges(version int64) {
	chosen, want := clusterstate.PeerSources(t.roster), map[string]clusterstate.Router{}
	if t.toShield {
		chosen = clusterstate.Shields(t.roster)
	}
	for node := range chosen {
		want[node] = t.roster[node]
	}
	list := exchange.ServerList{Addresses: map[balance.ServerID]string{}}
	list.Kind, list.Version = balance.Partial, version
	for _, node := range slices.Sorted(maps.Keys(t.listed)) {
		if _, ok := want[node]; !ok {
			list.Entries = append(list.Entries, balance.Entry{Server: balance.ServerID(node), Zone: t.listed[node].Zone, Weight: 1,
				State: balance.Gone})
		}
	}
	for _, node := range slices.Sorted(maps.Keys(want)) {
		if r := want[node]; t.listed[node] != r {
			list.Addresses[balance.ServerID(node)] = r.Address
			list.Entries = append(list.Entries, balance.Entry{Server: balance.ServerID(node), Zone: r.Zone, Weight: max(r.Weight, 1)})
		}
	}
	t.listed = want
	if len(list.Entries) > 0 {
		t.enqueueList(list)
	}
}

// enqueueList sends a list to the balancer, in order with other changes.
func (t *cacheTier) enqueueList(list exchange.ServerList) {
	t.edge.enqueue(func() { t.loop.UpdateServers(list) })
}

// Fetch is a request for an object from one cache router to another.
type Fetch struct {
	Key       objectcache.Key
	Target    string         // request target, as in the request line
	ID        string         // the client's Try-Id
	ClientKey string         // belongs to ID; the router that sends to a server names the tenant that holds the key at that time
	LeftMS    int64          // time left for the answer
	Route     string         // route name
	Index     uint64         // the caller's state index: the callee must have reached it
	Own       bool           // sent by a router to itself: not a client's demand for the object, which was counted already
	Home      bool           // the callee is asked as the key's shield: on a miss it asks the servers
	AgeMS     int64          // maximum age of a cache entry; 0: any that may be served
	ETag      string         // of the caller's cache entry: if it still matches, the body is left out
	Ticket    peerrpc.CallID // identifies the call, so that it can be cancelled
	Most      int            // maximum bytes of the body in the response, the rest is fetched with Piece; 0: all
}

// Fetched is the response to a Fetch.
type Fetched struct {
	Status int
	Header http.Header
	Body   []byte
	Total  int    // bytes of the whole body if Body is only its beginning; 0: Body is complete
	Whole  bool   // a complete object, of which ranges may be served; else another response of a server
	Same   bool   // the caller's cache entry still matches: there is no body
	AgeMS  int64  // with Whole: time since a server was asked
	Index  uint64 // with Whole: state index at that time
	Denied Denial // why the object was not fetched with the caller's client key
	Refuse int64  // milliseconds after which to retry if the object was not fetched; 0: it was
}

// IsBodyReply implements peerrpc.BodyReply: the bytes are mostly those of the object.
func (*Fetched) IsBodyReply() {}

// validatedAt returns when a server was asked for a whole object, given the time now at which the response arrived.
func (g Fetched) validatedAt(now time.Time) time.Time {
	return now.Add(-time.Duration(g.AgeMS) * time.Millisecond)
}

// isServerResponse reports whether it is a server's response other than an object: it belongs to the request that the server was asked for.
func (g Fetched) isServerResponse() bool { return g.Status > 0 && !g.Whole }

// ReplyBytes returns about how many bytes the response takes once it is encoded. It implements peerrpc.Sized.
func (g *Fetched) ReplyBytes() int64 { return int64(len(g.Body)) }

// requester returns the client request that the fetch is made for.
func (q Fetch) requester() objectcache.Requester {
	return objectcache.Requester{ID: q.ID, ClientKey: q.ClientKey}
}

// do submits a fetch on behalf of a caller and waits for the answer.
func (t *cacheTier) do(x *exchange.Exchange, caller *cancellation.Caller) exchange.Answer {
	t.callers.Store(x, caller)
	defer t.callers.Delete(x)
	return submitAndWait(t.loop, x, caller)
}

// Send implements exchange.Sender: it sends the fetch to the chosen cache router. A fetch for this router itself needs no call.
func (t *cacheTier) Send(a *exchange.Attempt) {
	caller, ok := t.callers.Load(a.Exchange)
	go func() {
		if !ok { // answered meanwhile
			a.Finish(exchange.AttemptResult{Result: balance.NeverSent})
			return
		}
		a.Finish(t.runAttempt(a, caller.(*cancellation.Caller)))
	}()
}

// runAttempt makes one attempt and returns its result for the balancer.
func (t *cacheTier) runAttempt(a *exchange.Attempt, caller *cancellation.Caller) exchange.AttemptResult {
	q := Fetch{}
	if err := decodeFetch(a.Exchange, &q); err != nil {
		return exchange.AttemptResult{Result: balance.NeverSent, Err: err}
	}
	q.LeftMS = max(time.Until(a.Deadline).Milliseconds(), 1)
	q.Home = t.toShield
	ctx, release := upstream.AttemptContext(a.Context, caller)
	defer release()
	if !caller.BeginAttempt(cancellation.Abort, a.Deadline) {
		return exchange.AttemptResult{Result: balance.NeverSent, Err: cancellation.ErrCallerCancelled}
	}
	defer caller.EndAttempt(cancellation.Abort)
	var got Fetched
	var err error
	if string(a.Server) == t.edge.config.Node {
		q.Own = true
		got = t.edge.getObject(ctx, q)
	} else {
		got, err = t.edge.fetchFromPeer(ctx, t.edge.peers.At(a.Address), q)
	}
	switch cause := upstream.CancelCause(ctx); {
	case cause != nil: // cancelled by this router: not the cache router's fault
		return exchange.AttemptResult{Result: balance.Cancelled, Err: cause}
	case errors.Is(err, peerrpc.ErrNotConnected):
		return exchange.AttemptResult{Result: balance.NoConnect, Err: err}
	case errors.Is(err, context.DeadlineExceeded):
		return exchange.AttemptResult{Result: balance.TimedOut, Err: err}
	case err != nil:
		return exchange.AttemptResult{Result: balance.Reset, Err: err}
	}
	return exchange.AttemptResult{Result: balance.OK, Header: got.encodeHeader(), Body: got.Body}
}

// A Fetch and its response pass through package exchange in these header fields, which nothing in between reads.
const (
	headerFetch      = ":ask"
	headerWhole      = ":whole"
	headerRetryAfter = ":later"
	headerSame       = ":same"
	headerAge        = ":age"
	headerIndex      = ":index"
	headerDenied     = ":denied"
)

const fetchValues = 11 // number of values of the fetch field

// encodeFetch encodes a Fetch, except for the fields that runAttempt and fetchFromPeer set.
func encodeFetch(q Fetch) http.Header {
	return http.Header{headerFetch: {q.Key.Service, q.Key.Host, q.Key.Path, q.Key.Query, q.Target, q.ID, q.Route, itoa(int64(q.Index)),
		itoa(q.AgeMS), q.ETag, q.ClientKey}}
}

// decodeFetch reverses encodeFetch.
func decodeFetch(x *exchange.Exchange, q *Fetch) error {
	v := x.Header[headerFetch]
	if len(v) != fetchValues {
		return Error.New("cache tier: malformed fetch header with %d values", len(v))
	}
	*q = Fetch{Key: objectcache.Key{Service: v[0], Host: v[1], Path: v[2], Query: v[3]}, Target: v[4], ID: v[5], Route: v[6],
		Index: uint64(atoi(v[7])), AgeMS: atoi(v[8]), ETag: v[9], ClientKey: v[10]}
	return nil
}

// encodeHeader adds the response's fields to its header; decodeFetched reverses it.
func (g Fetched) encodeHeader() http.Header {
	h := g.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h[upstream.StatusKey] = []string{itoa(int64(g.Status))}
	if g.Whole {
		h[headerWhole], h[headerAge], h[headerIndex] = []string{"1"}, []string{itoa(g.AgeMS)}, []string{itoa(int64(g.Index))}
	}
	if g.Same {
		h[headerSame] = []string{"1"}
	}
	if g.Refuse > 0 {
		h[headerRetryAfter] = []string{itoa(g.Refuse)}
	}
	if g.Denied != notDenied {
		h[headerDenied] = []string{itoa(int64(g.Denied))}
	}
	return h
}

// decodeFetched reads a response that encodeHeader encoded, and removes its fields from the header.
func decodeFetched(h http.Header, body []byte) Fetched {
	g := Fetched{Status: int(atoi(firstValue(h, upstream.StatusKey))), Body: body, Whole: firstValue(h, headerWhole) != "",
		Refuse: atoi(firstValue(h, headerRetryAfter)),
		Same:   firstValue(h, headerSame) != "", AgeMS: atoi(firstValue(h, headerAge)), Index: uint64(atoi(firstValue(h, headerIndex))),
		Denied: Denial(atoi(firstValue(h, headerDenied)))}
	for _, name := range [...]string{upstream.StatusKey, headerWhole, headerRetryAfter, headerSame, headerAge, headerIndex, headerDenied} {
		delete(h, name)
	}
	g.Header = h
	return g
}

// peerHandler implements the RPCs that other processes may call, as net/rpc methods.
type peerHandler struct {
	edge    *Edge
	session *peerrpc.Session
}

// Fetch returns an object to another cache router. A panic fails only this call; net/rpc would let it end the process.
func (p *peerHandler) Fetch(q *Fetch, g *Fetched) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			p.edge.counters.Panics.Add(1)
			err = Error.New("fetch: panic: %v", panicked)
		}
	}()
	ctx, done := p.session.Begin(q.Ticket, time.Duration(q.LeftMS)*time.Millisecond)
	defer done()
	caller := p.edge.callers.Open(ctx, cancellation.Peer, q.Route)
	defer caller.Close()
	p.edge.inboundCalls.begin()
	defer p.edge.inboundCalls.done()
	if p.edge.shuttingDown.Load() {
		return errors.New("ending")
	}
	if p.edge.replica.Index() < q.Index {
		wait, cancel := context.WithTimeout(ctx, maxCatchUpWait)
		ok := p.edge.replica.Await(wait, q.Index)
		cancel()
		if !ok {
			return errors.New("replica is behind the caller and may hold purged objects")
		}
	}
	*g = p.edge.getObject(ctx, *q)
	if q.Most > 0 && g.Whole && len(g.Body) > q.Most && p.edge.cachedBody(q.Key, firstValue(g.Header, "Etag"), len(g.Body)) != nil {
		g.Total, g.Body = len(g.Body), g.Body[:q.Most]
	}
	return nil
}

// callCounter counts calls in flight, so that a shutdown can wait for them.
type callCounter struct{ n atomic.Int64 }

// begin counts a call that starts.
func (c *callCounter) begin() { c.n.Add(1) }

// done counts a call that ends.
func (c *callCounter) done() { c.n.Add(-1) }

// waitIdle waits until no call is in flight, or the deadline.
func (c *callCounter) waitIdle(deadline time.Time) {
	for c.n.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
}

// News returns state changes and the age of this replica's proof to a router that no core machine answers.
func (p *peerHandler) News(a *clusterstate.Ask, n *clusterstate.News) error {
	if err := p.session.ReserveReply(n, p.edge.replica.TransferBytes(a.Have)); err != nil {
		return err
	}
	*n = p.edge.replica.News(*a, time.Now())
	return nil
}

// Mingle exchanges parts of the partial views of the peer sampling.
func (p *peerHandler) Mingle(offer *[]peersampling.Neighbour, answer *[]peersampling.Neighbour) error {
	*answer = p.edge.peerView.HandleExchange(*offer, p.edge.replica.Index())
	return nil
}
