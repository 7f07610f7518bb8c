package edge

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// This file is the cache router's side of a shelved request: its copy, or one fetch for all who wait for it.

const (
	slackPart     = 0.6 // of the slack past a copy's shelf time that is used while the server is asked
	fetchPatient  = 8 * time.Second
	leastPatience = 50 * time.Millisecond
	refreshTime   = 2 * time.Second
	comeAgain     = 120 * time.Millisecond
	rateWait      = 250 * time.Millisecond // for a place under the rate, if it is sure to come by then
	lookEvery     = 100 * time.Millisecond // for copies that are about to end
	mostDue       = 64
)

// slack is how long past its shelf time a copy may still go out while the server is asked.
func (e *Edge) slack() time.Duration {
	return time.Duration(float64(e.set.Bounds.StaleSlack) * slackPart)
}

// vouched tells whether copies may be handed on: all purges that had been acknowledged before the last span of contact are known. One that
// was out of touch for longer, and whom no neighbour has told, may lack purges. It is asked before a copy is looked up; see proof.go.
func (e *Edge) vouched() bool {
	return time.Since(e.replica.Proof()) < e.set.Bounds.Contact
}

// refreshDue asks the servers about copies that are wanted and about to end, while the service's rate has room to spare.
func (e *Edge) refreshDue(now time.Time) {
	p := e.plan.Load()
	if p == nil || !e.vouched() {
		return
	}
	for _, due := range e.cache.Due(now, mostDue) {
		sv := p.services[due.Key.Service]
		if sv == nil || !sv.rate.spare() {
			continue
		}
		route := p.table.Find(due.Key.Host, due.Key.Path)
		if route == nil {
			continue
		}
		if _, err := e.permit(route.Name, due.By.ClientKey)(); err != nil {
			continue
		}
		e.start(Fetch{Key: due.Key, Target: due.Key.Target(), Route: route.Name, ID: due.By.ID, ClientKey: due.By.ClientKey}, due.Copy, refreshTime, false)
	}
}

// held returns this router's copy, if it is good. With wanted false it does not count as wanted by that.
func (e *Edge) held(k objectcache.Key, by objectcache.Asker, wanted bool) (*objectcache.Copy, objectcache.Grade) {
	vouched := e.vouched() // before the look: a copy that a purge takes meanwhile is not vouched for by the news that brought the purge
	x, grade := e.cache.Peek(k, time.Now(), e.slack())
	if wanted {
		x, grade = e.cache.Get(k, time.Now(), e.slack(), by)
	}
	if grade != objectcache.NotThere && !vouched {
		grade = objectcache.Stale
	}
	return x, grade
}

// obtain brings an object: the copy, or what a server says.
func (e *Edge) obtain(ctx context.Context, q Fetch) Fetched {
	x, grade := e.held(q.Key, q.asker(), !q.Own)
	if q.AgeMS > 0 && grade != objectcache.NotThere && time.Since(x.At) > time.Duration(q.AgeMS)*time.Millisecond {
		grade = objectcache.Stale // the asker has as good a one
	}
	switch grade {
	case objectcache.Fresh:
		return e.answer(q, x)
	case objectcache.Ageing:
		e.start(q, x, refreshTime, false)
		return e.answer(q, x)
	}
	for ctx.Err() == nil {
		w := e.start(q, x, patienceOf(ctx, q), true)
		if w == nil {
			break
		}
		got, ended := e.await(ctx, level{q.Key, q.Home}, w)
		if !ended {
			break
		}
		if w.abandoned && got.Refuse > 0 { // it came to nothing because those who had begun it left: this one still waits
			continue
		}
		if got.Denied != notDenied && w.clientKey != q.ClientKey { // the key of the one who had begun it was refused: this one has his own
			continue
		}
		if got.Whole && q.ETag != "" && q.ETag == first(got.Header, "Etag") {
			return Fetched{Status: http.StatusOK, Whole: true, Same: true, AgeMS: got.AgeMS, Index: got.Index}
		}
		return got
	}
	return Fetched{Refuse: comeAgain.Milliseconds()}
}

// patienceOf is how long a fetch that is begun for a question may take.
func patienceOf(ctx context.Context, q Fetch) time.Duration {
	left := time.Duration(q.LeftMS) * time.Millisecond
	if due, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(due))
	}
	return max(left, leastPatience)
}

// await waits for a fetch that was joined; it is not ended if the context ends before.
func (e *Edge) await(ctx context.Context, at level, w *fetch) (got Fetched, ended bool) {
	defer e.fetches.leave(at, w)
	select {
	case <-w.done:
		return w.got, true
	case <-ctx.Done():
		return Fetched{}, false
	}
}

func fetchedFrom(x *objectcache.Copy) Fetched {
	return Fetched{Status: http.StatusOK, Header: x.Header, Body: x.Body, Whole: true, Index: x.Index,
		AgeMS: time.Since(x.At).Milliseconds() + 1}
}

// answer hands a copy on, without its body to one who has the same.
func (e *Edge) answer(q Fetch, x *objectcache.Copy) Fetched {
	got := fetchedFrom(x)
	if q.ETag != "" && q.ETag == x.ETag {
		got.Same, got.Header, got.Body = true, nil, nil
	}
	return got
}

// start begins a fetch unless one is under way, and joins it; nil if the configuration has no such service any more. Whoever waits is to call
// await; what nobody waits for is kept.
func (e *Edge) start(q Fetch, old *objectcache.Copy, patience time.Duration, waits bool) *fetch {
	p := e.plan.Load()
	var sv *service
	if p != nil {
		sv = p.services[q.Key.Service]
	}
	if sv == nil {
		return nil
	}
	at := level{q.Key, q.Home}
	e.fetches.mu.Lock()
	if w := e.fetches.all[at]; w != nil {
		w.join(waits)
		e.fetches.mu.Unlock()
		return w
	}
	w := &fetch{done: make(chan struct{}), clientKey: q.ClientKey, caller: e.callers.Open(e.life, departure.Waiters, q.Route)}
	w.join(waits)
	e.fetches.all[at] = w
	e.fetches.mu.Unlock()
	go func() {
		defer func() {
			if panicked := recover(); panicked != nil { // nobody waits for ever, and the process goes on
				e.counts.Panics.Add(1)
				e.log.Error("fetch panicked", "panic", panicked)
				w.got = Fetched{Refuse: comeAgain.Milliseconds()}
			}
			w.caller.Close()
			e.fetches.settled(at, w)
			close(w.done)
		}()
		w.got = e.fetch(w.caller, p, sv, q, old, min(patience, fetchPatient))
	}()
	return w
}

// fetch asks the servers for a whole object, or whether a copy of it is still good, and stores what may be handed on.
func (e *Edge) fetch(caller *departure.Caller, p *plan, sv *service, q Fetch, old *objectcache.Copy, patience time.Duration) Fetched {
	route := p.routes[q.Route]
	if route == nil {
		route = &clusterstate.Route{Timeout: patience}
	}
	if near := sv.here.Load() && sv.speeds.long(route.Name); !q.Home { // a long body of the own zone's servers stays in the zone
		way := e.shields
		if near {
			way = e.zoneShields
		}
		if got, ok := e.askHome(caller, way, q, old, route, patience); ok {
			return got
		}
	}
	permit := e.permit(q.Route, q.ClientKey)
	if _, err := permit(); err != nil {
		return denied(err)
	}
	tenant := p.tenant(route, q.ClientKey)
	sv.rate.want()
	low := p.low(route, tenant, sv)
	for late := time.Now().Add(min(patience/3, rateWait)); !sv.rate.take(low); {
		wait := sv.rate.wait(low)
		if time.Now().Add(wait).After(late) {
			return Fetched{Refuse: max(wait, comeAgain).Milliseconds()}
		}
		if !pause(caller.Context(), wait) {
			return Fetched{Refuse: comeAgain.Milliseconds()}
		}
	}
	header := http.Header{"Host": {q.Key.Host}}
	if old != nil && old.ETag != "" {
		header["If-None-Match"] = []string{old.ETag}
	}
	order := &upstream.Order{ID: q.ID, Stamped: true, Keep: route.Shelf > 0, Caller: caller, Permit: permit}
	index, begun := e.replica.Index(), time.Now()
	a := e.ask(sv, route.Name, order, exchange.Request{Class: p.class(route, tenant), Arrived: begun, TimeLeft: min(patience, route.Timeout),
		Method: http.MethodGet, Target: q.Target, Header: header})
	if a.Kind != exchange.Served {
		if last := order.Failure(); last != nil {
			return Fetched{Status: int(atoi(first(last.Header, upstream.StatusKey))), Header: without(last.Header, upstream.StatusKey), Body: last.Body}
		}
		if err := order.Denied(); err != nil {
			return denied(err)
		}
		return Fetched{Refuse: max(a.RetryAfter, comeAgain).Milliseconds()}
	}
	status := int(atoi(first(a.Header, upstream.StatusKey)))
	head := without(a.Header, upstream.StatusKey)
	switch {
	case status == http.StatusNotModified && old != nil:
		x := old.Renewed(begun, index, route.Shelf)
		x.For = q.asker()
		e.cache.Put(q.Key, x)
		return fetchedFrom(x)
	case status == http.StatusOK && first(head, upstream.HeaderStamp) != "":
		x := e.store(q, route, without(head, upstream.HeaderLoad), a.Body, begun, index)
		return fetchedFrom(x)
	}
	return Fetched{Status: status, Header: head, Body: a.Body}
}

// askHome asks the key's shield. It is not ok if there is none but this router, or it does not answer: then the servers are
// asked from here.
func (e *Edge) askHome(caller *departure.Caller, way *cacheTier, q Fetch, old *objectcache.Copy, route *clusterstate.Route, patience time.Duration) (Fetched, bool) {
	q.Index, q.AgeMS, q.ETag = e.replica.Index(), 0, ""
	if old != nil {
		q.ETag, q.AgeMS = old.ETag, max(int64(route.Shelf/4/time.Millisecond), 1)
	}
	begun := time.Now()
	x := exchange.New(exchange.Request{ID: q.ID, Class: copyClass, Key: q.Key.Hash(), HasKey: true, Arrived: begun,
		TimeLeft: patience, Method: http.MethodGet, Target: q.Target, Header: encodeAsk(q)})
	a := way.ask(x, caller)
	if caller.Left() {
		return Fetched{Refuse: comeAgain.Milliseconds()}, true
	}
	if a.Kind != exchange.Served {
		return Fetched{}, false
	}
	got := unpack(a.Header, a.Body)
	if !got.Whole {
		return got, got.Denied != notProven // there; this router may know more
	}
	at := begun.Add(-time.Duration(got.AgeMS) * time.Millisecond)
	if got.Same {
		if old == nil || old.ETag != q.ETag {
			return Fetched{}, false
		}
		same := old.Renewed(at, got.Index, route.Shelf)
		same.For = q.asker()
		e.cache.Put(q.Key, same)
		return fetchedFrom(same), true
	}
	e.store(q, route, got.Header, got.Body, at, got.Index)
	return got, true
}

// borrow keeps what the key's cache router has handed over, unless this one is it: while it is fresh it costs no call, and
// afterwards none of its bytes as long as it is the same.
func (e *Edge) borrow(k objectcache.Key, route *clusterstate.Route, got Fetched, old *objectcache.Copy, begun time.Time) Fetched {
	x := &objectcache.Copy{Header: got.Header, Body: got.Body, ETag: first(got.Header, "Etag"),
		Labels: strings.Fields(strings.Join(got.Header[upstream.HeaderLabels], " "))}
	if got.Same {
		if old == nil {
			return Fetched{Refuse: comeAgain.Milliseconds()}
		}
		x = old.Renewed(old.At, old.Index, old.Shelf)
	}
	x.Lent, x.Shelf, x.Index, x.At = true, route.Shelf, got.Index, begun.Add(-time.Duration(got.AgeMS)*time.Millisecond)
	if now, grade := e.cache.Get(k, begun, 0, objectcache.Asker{}); route.Shelf > 0 && (grade == objectcache.NotThere || now.Lent) {
		e.cache.Put(k, x)
	}
	return fetchedFrom(x)
}

// store keeps an object, if the route lets copies be kept.
func (e *Edge) store(q Fetch, route *clusterstate.Route, head http.Header, body []byte, at time.Time, index uint64) *objectcache.Copy {
	x := &objectcache.Copy{Header: head, Body: body, ETag: first(head, "Etag"), Shelf: route.Shelf, At: at, Index: index, For: q.asker(),
		Labels: strings.Fields(strings.Join(head[upstream.HeaderLabels], " "))}
	if route.Shelf > 0 {
		e.cache.Put(q.Key, x)
	}
	return x
}

// ask submits a request to a service's decisions and waits for the one answer.
func (e *Edge) ask(sv *service, route string, order *upstream.Order, r exchange.Request) exchange.Answer {
	x := exchange.New(r)
	e.sender.Begin(x, order)
	defer e.sender.End(x)
	a := await(sv.loop(route), x, order.Caller)
	sv.rate.spend(order.Sent() - 1) // one place was taken; where servers fail, what is sent again counts as well
	if a.Kind == exchange.Served {
		sv.speeds.note(route, order.Server(), order.Took(), len(a.Body))
	}
	return a
}

// await submits an exchange and waits for its answer. When its caller leaves the decisions are told, and nothing more is owed; what is
// finished all the same has its answer waited for, and no further attempt is sent (departure.Caller.Begin).
func await(l *exchange.Loop, x *exchange.Exchange, caller *departure.Caller) exchange.Answer {
	if caller.Left() {
		return exchange.Answer{Kind: exchange.Failed}
	}
	l.Submit(x)
	select {
	case a := <-x.Answer():
		return a
	case <-caller.Context().Done():
	}
	if caller.Finishing() {
		return <-x.Answer()
	}
	l.Depart(x)
	return exchange.Answer{Kind: exchange.Failed}
}

// pause waits for a span; false if the context has ended before.
func pause(ctx context.Context, span time.Duration) bool {
	late := time.NewTimer(span)
	defer late.Stop()
	select {
	case <-late.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// without copies a head and leaves one name out.
func without(h http.Header, name string) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if k != name {
			out[k] = v
		}
	}
	return out
}

func first(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}
