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
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/peersampling"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// cacheTier is the way to the cache router that a key belongs to: the interval table, and the second hash when it is crowded.
type cacheTier struct {
	edge *Edge
	home bool // to the shield of a key, else to its cache router
	loop *exchange.Loop
	base uint64 // of the roster that the table was cut by
	done int    // steps of it that the table has

	callers sync.Map // *exchange.Exchange to *departure.Caller: for whom each question is asked

	roster map[string]clusterstate.Router // as of those steps
	listed map[string]clusterstate.Router // of them, that the table has: all, or the shields
}

const (
	copyClass    = "copy"
	tierDeadline = 30 * time.Second
	tierAim      = 4 * time.Second // far over what the way to a cache router takes: an origin's slowness is not to pass for the cache router's
	tierSlack    = 60 * time.Millisecond
	behindFor    = 150 * time.Millisecond // a cache router that lacks a purge may take so long to learn of it
)

func newCacheTier(e *Edge, home, near bool) *cacheTier {
	h := &cacheTier{edge: e, home: home, roster: map[string]clusterstate.Router{}, listed: map[string]clusterstate.Router{}}
	set := balance.Settings{Classes: []balance.Class{{Name: copyClass, Aim: tierAim, Deadline: tierDeadline, Worth: 1,
		Effect: balance.Safe}}, Routers: 1, Zone: e.set.Zone, OverShareWorth: 1, MaxAttempts: 2, ConnectTimeout: time.Second,
		ColdFrom: 1, Ramp: time.Second, OverloadFactor: 2, OverloadFor: time.Second}
	if near {
		set.Tiers = func() balance.Tiers { return &nearFirst{zone: e.set.Zone} }
	}
	h.loop = e.newLoop(set, h, e.sender.Pool)
	return h
}

// follow hands the table the changes that it lacks, one by one, as every router's table gets them. When the roster has been
// written down anew, the table begins anew with it.
func (h *cacheTier) follow(s *clusterstate.State) {
	if h.base != s.RosterBase || h.done > len(s.Roster) {
		gone := exchange.List{Addresses: map[balance.ServerID]string{}}
		gone.Kind, gone.Version = balance.Complete, int64(s.Index)
		h.post(gone)
		h.base, h.done = s.RosterBase, 0
		clear(h.roster)
		clear(h.listed)
	}
	for h.done < len(s.Roster) {
		for at := s.Roster[h.done].Index; h.done < len(s.Roster) && s.Roster[h.done].Index == at; h.done++ {
			if step := s.Roster[h.done]; step.Gone {
				delete(h.roster, step.Node)
			} else {
				h.roster[step.Node] = step.Router
			}
		}
		h.change(int64(s.Index))
	}
}

// change tells the table how those whom it is to have differ from those whom it has.
func (h *cacheTier) change(version int64) {
	chosen, want := clusterstate.Lenders(h.roster), map[string]clusterstate.Router{}
	if h.home {
		chosen = clusterstate.Shields(h.roster)
	}
	for node := range chosen {
		want[node] = h.roster[node]
	}
	l := exchange.List{Addresses: map[balance.ServerID]string{}}
	l.Kind, l.Version = balance.Partial, version
	for _, node := range slices.Sorted(maps.Keys(h.listed)) {
		if _, ok := want[node]; !ok {
			l.Entries = append(l.Entries, balance.Entry{Server: balance.ServerID(node), Zone: h.listed[node].Zone, Weight: 1, State: balance.Gone})
		}
	}
	for _, node := range slices.Sorted(maps.Keys(want)) {
		if r := want[node]; h.listed[node] != r {
			l.Addresses[balance.ServerID(node)] = r.Address
			l.Entries = append(l.Entries, balance.Entry{Server: balance.ServerID(node), Zone: r.Zone, Weight: max(r.Weight, 1)})
		}
	}
	h.listed = want
	if len(l.Entries) > 0 {
		h.post(l)
	}
}

func (h *cacheTier) post(l exchange.List) { h.edge.later(func() { h.loop.Listed(l) }) }

// Fetch is one cache router's question to another.
type Fetch struct {
	Key       objectcache.Key
	Target    string // as in the request line
	ID        string // the client's Try-Id
	ClientKey string // goes with ID: the machine that sends to a server names the tenant that holds it there and then
	LeftMS    int64
	Route     string
	Index     uint64 // the asker's history: the one who is asked must hold as much
	Own       bool   // asked of itself: whoever wanted the object has been counted, and a refresh does not make its copy wanted
	Home      bool   // who is asked is the key's shield: on a miss it goes to the servers
	AgeMS     int64  // of a copy, at most; 0: any that may be handed on
	ETag      string // of the asker's copy: the body is not needed if it is still this one
	Ticket    peerrpc.Ticket
	Most      int // bytes of a body that come with the answer, the rest is asked for; 0: all
}

// Fetched is its answer.
type Fetched struct {
	Status int
	Header http.Header
	Body   []byte
	Total  int    // bytes of the body, where the rest of it is to be asked for; 0: it is all there
	Whole  bool   // an object that may be cut into ranges, else a server's other answer
	Same   bool   // the object that the asker has: there is no body
	AgeMS  int64  // with Whole: since a server was asked
	Index  uint64 // and the history as it was
	Denied Denial // not had, for the key of the one who asked
	Refuse int64  // not had: come again after so many milliseconds; 0: it was had
}

// asker is the client's request that the question is asked for.
func (q Fetch) asker() objectcache.Asker { return objectcache.Asker{ID: q.ID, ClientKey: q.ClientKey} }

// ask submits a question on behalf of a caller and waits for the answer.
func (h *cacheTier) ask(x *exchange.Exchange, caller *departure.Caller) exchange.Answer {
	h.callers.Store(x, caller)
	defer h.callers.Delete(x)
	return await(h.loop, x, caller)
}

// Send asks the cache router that was decided on; this one asks itself without a call.
func (h *cacheTier) Send(a *exchange.Attempt) {
	known, ok := h.callers.Load(a.Exchange)
	go func() {
		if !ok { // answered and let go meanwhile
			a.End(exchange.Reply{Result: balance.Moot})
			return
		}
		a.End(h.attempt(a, known.(*departure.Caller)))
	}()
}

func (h *cacheTier) attempt(a *exchange.Attempt, caller *departure.Caller) exchange.Reply {
	q := Fetch{}
	if err := decodeAsk(a.Exchange, &q); err != nil {
		return exchange.Reply{Result: balance.Moot, Err: err}
	}
	q.LeftMS = max(time.Until(a.Due).Milliseconds(), 1)
	q.Home = h.home
	ctx, release := upstream.Bind(a.Context, caller)
	defer release()
	if !caller.Begin(departure.BreakOff, a.Due) {
		return exchange.Reply{Result: balance.Moot, Err: departure.ErrLeft}
	}
	defer caller.End(departure.BreakOff)
	var got Fetched
	var err error
	if string(a.Server) == h.edge.set.Node {
		q.Own = true
		got = h.edge.obtain(ctx, q)
	} else {
		got, err = h.edge.lentBy(ctx, h.edge.peers.At(a.Address), q)
	}
	switch cause := upstream.Withdrawal(ctx); {
	case cause != nil: // no fault of the cache router's
		return exchange.Reply{Result: balance.Cancelled, Err: cause}
	case errors.Is(err, peerrpc.ErrNotBegun):
		return exchange.Reply{Result: balance.NoConnect, Err: err}
	case errors.Is(err, context.DeadlineExceeded):
		return exchange.Reply{Result: balance.TimedOut, Err: err}
	case err != nil:
		return exchange.Reply{Result: balance.Reset, Err: err}
	}
	return exchange.Reply{Result: balance.OK, Header: got.pack(), Body: got.Body}
}

// The question travels through the exchange in its header, which nobody between reads.
const (
	askKey    = ":ask"
	wholeKey  = ":whole"
	laterKey  = ":later"
	sameKey   = ":same"
	ageKey    = ":age"
	indexKey  = ":index"
	deniedKey = ":denied"
)

const askParts = 11 // of a question

func encodeAsk(q Fetch) http.Header {
	return http.Header{askKey: {q.Key.Service, q.Key.Host, q.Key.Path, q.Key.Query, q.Target, q.ID, q.Route, itoa(int64(q.Index)),
		itoa(q.AgeMS), q.ETag, q.ClientKey}}
}

func decodeAsk(x *exchange.Exchange, q *Fetch) error {
	v := x.Header[askKey]
	if len(v) != askParts {
		return Error.New("cache tier: a question of %d parts", len(v))
	}
	*q = Fetch{Key: objectcache.Key{Service: v[0], Host: v[1], Path: v[2], Query: v[3]}, Target: v[4], ID: v[5], Route: v[6],
		Index: uint64(atoi(v[7])), AgeMS: atoi(v[8]), ETag: v[9], ClientKey: v[10]}
	return nil
}

func (g Fetched) pack() http.Header {
	h := g.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h[upstream.StatusKey] = []string{itoa(int64(g.Status))}
	if g.Whole {
		h[wholeKey], h[ageKey], h[indexKey] = []string{"1"}, []string{itoa(g.AgeMS)}, []string{itoa(int64(g.Index))}
	}
	if g.Same {
		h[sameKey] = []string{"1"}
	}
	if g.Refuse > 0 {
		h[laterKey] = []string{itoa(g.Refuse)}
	}
	if g.Denied != notDenied {
		h[deniedKey] = []string{itoa(int64(g.Denied))}
	}
	return h
}

func unpack(h http.Header, body []byte) Fetched {
	g := Fetched{Status: int(atoi(first(h, upstream.StatusKey))), Body: body, Whole: first(h, wholeKey) != "", Refuse: atoi(first(h, laterKey)),
		Same: first(h, sameKey) != "", AgeMS: atoi(first(h, ageKey)), Index: uint64(atoi(first(h, indexKey))),
		Denied: Denial(atoi(first(h, deniedKey)))}
	for _, name := range [...]string{upstream.StatusKey, wholeKey, laterKey, sameKey, ageKey, indexKey, deniedKey} {
		delete(h, name)
	}
	g.Header = h
	return g
}

// peerCalls is what other processes may call. Its methods have net/rpc's form.
type peerCalls struct {
	edge    *Edge
	session *peerrpc.Session
}

// Fetch answers a cache router that asks for an object. A panic ends this call alone: net/rpc would end the process.
func (p *peerCalls) Fetch(q *Fetch, g *Fetched) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			p.edge.counts.Panics.Add(1)
			err = Error.New("fetch: panic: %v", panicked)
		}
	}()
	ctx, done := p.session.Begin(q.Ticket, time.Duration(q.LeftMS)*time.Millisecond)
	defer done()
	caller := p.edge.callers.Open(ctx, departure.Neighbour, q.Route)
	defer caller.Close()
	p.edge.lent.begin()
	defer p.edge.lent.done()
	if p.edge.ending.Load() {
		return errors.New("ending")
	}
	if p.edge.replica.Index() < q.Index {
		wait, late := context.WithTimeout(ctx, behindFor)
		ok := p.edge.replica.Await(wait, q.Index)
		late()
		if !ok {
			return errors.New("behind: it may hold what was purged")
		}
	}
	*g = p.edge.obtain(ctx, *q)
	if q.Most > 0 && g.Whole && len(g.Body) > q.Most && p.edge.holds(q.Key, first(g.Header, "Etag"), len(g.Body)) != nil {
		g.Total, g.Body = len(g.Body), g.Body[:q.Most]
	}
	return nil
}

// calls counts the calls in hand, for an end that waits for them.
type calls struct{ n atomic.Int64 }

func (c *calls) begin() { c.n.Add(1) }
func (c *calls) done()  { c.n.Add(-1) }

// end waits until none is in hand, or it is too late.
func (c *calls) end(until time.Time) {
	for c.n.Load() > 0 && time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
	}
}

// News hands on what is held and the age of its proof, for one that no core machine answers.
func (p *peerCalls) News(a *clusterstate.Ask, n *clusterstate.News) error {
	*n = p.edge.replica.News(*a, time.Now())
	return nil
}

// Mingle exchanges part of a view.
func (p *peerCalls) Mingle(offer *[]peersampling.Neighbour, answer *[]peersampling.Neighbour) error {
	*answer = p.edge.view.Answer(*offer, p.edge.replica.Index())
	return nil
}
