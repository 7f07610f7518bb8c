package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// This file is the way of a client's request from its route to its answer.

const (
	usualBody    = 256 << 10              // bytes of a request that are held without being counted
	usualLeft    = 2 * time.Second        // for a client that says nothing
	startsWithin = 600 * time.Millisecond // a router that has just started is to be asked again after this
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func atoi(s string) int64 { n, _ := strconv.ParseInt(s, 10, 64); return n }

// request is a client's request on its way.
type request struct {
	*http.Request
	last    bool // of its connection
	link    *link
	w       http.ResponseWriter
	id      string
	arrived time.Time
	left    time.Duration
	route   *clusterstate.Route
	plan    *plan
	caller  *departure.Caller // the client, while something is done for it

	clientKey string               // the client's; a route that needs none may come to need it
	tenant    *clusterstate.Tenant // who holds it by the plan; nil where none is asked for

	answered bool             // its answer has begun
	onAnswer func(status int) // hears of the answer once it is out; may be nil
}

func (e *Edge) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.counts.Requests.Add(1)
	q := &request{Request: r, w: w, link: e.link, id: r.Header.Get(upstream.HeaderID), arrived: arrived, left: usualLeft, plan: e.plan.Load(), last: e.lastWord.Load()}
	if ms := atoi(r.Header.Get(upstream.HeaderLeft)); ms > 0 {
		q.left = time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	if q.plan == nil { // just started: the common state is on its way
		q.refuse(startsWithin)
		return
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	if q.route = q.plan.table.Find(host, r.URL.Path); q.route == nil {
		q.final(http.StatusNotFound, nil, nil)
		return
	}
	if !e.admit(q) {
		return
	}
	q.left = min(q.left, q.route.Timeout)
	if q.route.Kind == clusterstate.Shelved && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		io.Copy(io.Discard, http.MaxBytesReader(q.w, r.Body, usualBody)) // it says nothing of an object; behind it a leave would not be seen
		e.serveObject(q, objectKey(q, strings.ToLower(host)))
		return
	}
	defer e.account(q)()
	e.serveWithBody(q)
}

// account keeps account of a request's client from now until the returned function is called.
func (e *Edge) account(q *request) (done func()) {
	q.caller = e.callers.Open(q.Context(), departure.Client, q.route.Name)
	onLeave(q.Request, q.caller.Leave)
	return func() {
		left := q.caller.Left()
		q.caller.Close()
		if left && !q.answered { // http.Server would write an empty success for a handler that writes nothing
			panic(http.ErrAbortHandler)
		}
	}
}

// serveWithBody reads a request's body and sends it to a server.
func (e *Edge) serveWithBody(q *request) {
	r := q.Request
	most := q.plan.Limits.BodyBytes
	if r.ContentLength > most {
		q.final(http.StatusRequestEntityTooLarge, nil, nil)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > usualBody { // held whole, all of them within a part of the memory
		most = min(most, e.bodies.Most())
		let, ok := e.bodies.Take(max(r.ContentLength, min(most, usualBody)))
		if !ok {
			q.refuse(comeAgain)
			return
		}
		defer let()
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, r.Body, most))
	if err != nil {
		q.final(http.StatusBadRequest, nil, nil)
		return
	}
	e.serveDirect(q, body)
}

// target is the request line's, as the client wrote it, but for the host before it that some write.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// serveDirect sends a request to a server of its route's service.
func (e *Edge) serveDirect(q *request, body []byte) {
	sv := q.plan.services[q.route.Pick(rand.Float64())]
	if sv == nil {
		q.refuse(comeAgain)
		return
	}
	permit := e.permit(q.route.Name, q.clientKey)
	if _, err := permit(); err != nil { // at once, and not after it has waited for a server
		q.deny(denialOf(err))
		return
	}
	sv.rate.want()
	low := q.plan.low(q.route, q.tenant, sv)
	if !sv.rate.take(low) {
		q.refuse(sv.rate.wait(low))
		return
	}
	header := upstream.EndToEnd(q.Header.Clone())
	if e.plan.Load().keys != nil { // tenants may have come since the request did
		delete(header, upstream.HeaderKey)
		delete(header, upstream.HeaderSender)
	}
	header["Host"] = []string{q.Host}
	order := &upstream.Order{ID: q.id, OnceOnly: q.route.Kind == clusterstate.OnceOnly, Caller: q.caller, Permit: permit, Account: e.usageAccount(q.tenant)}
	a := e.ask(sv, q.route.Name, order, exchange.Request{ID: q.id, Class: q.plan.class(q.route, q.tenant), Arrived: q.arrived, TimeLeft: q.left,
		Write: q.route.Kind == clusterstate.OnceOnly, Method: q.Method, Target: target(q.Request), Header: header, Body: body})
	denied := order.Denied()
	switch failure := order.Failure(); {
	case q.caller.Left(): // nobody is there to take an answer
	case denied != nil && order.SurelyNotRun():
		q.deny(denialOf(denied))
	case a.Kind == exchange.Served:
		q.pass(int(atoi(first(a.Header, upstream.StatusKey))), a.Header, a.Body)
	case failure != nil: // a server's own word about it
		q.pass(int(atoi(first(failure.Header, upstream.StatusKey))), failure.Header, failure.Body)
	case a.Kind == exchange.Refused:
		q.refuse(max(a.RetryAfter, 20*time.Millisecond))
	case order.OnceOnly && !order.MayHaveRun(): // nothing has left: it has not run
		q.refuse(comeAgain)
	case a.TimedOut:
		q.final(http.StatusGatewayTimeout, nil, nil)
	default:
		q.final(http.StatusBadGateway, nil, nil)
	}
}

// objectKey is the key of the object that a request asks for, as it was written: another spelling may be another object.
func objectKey(q *request, host string) objectcache.Key {
	k := objectcache.Key{Host: host, Path: q.URL.EscapedPath(), Query: q.URL.RawQuery}
	k.Service = q.route.Pick(float64(k.Hash()>>11) / (1 << 53))
	return k
}

// serveObject answers from this router's copy. Nothing is done for the client of one that is fresh, so that no account of it is kept.
func (e *Edge) serveObject(q *request, k objectcache.Key) {
	q.onAnswer = e.answerCounter(q.tenant)
	own, grade := e.held(k, objectcache.Asker{ID: q.id, ClientKey: q.clientKey}, true)
	if grade == objectcache.Fresh {
		q.deliver(fetchedFrom(own))
		return
	}
	defer e.account(q)()
	e.serveShelved(q, k, own)
}

// serveShelved answers from the copy of the cache router that the table names, or of the servers.
func (e *Edge) serveShelved(q *request, k objectcache.Key, own *objectcache.Copy) {
	ask := Fetch{Key: k, Target: k.Target(), ID: q.id, ClientKey: q.clientKey, Route: q.route.Name, Index: e.replica.Index()}
	if own != nil && own.Lent && e.vouched() {
		ask.ETag = own.ETag
	}
	left := q.left - tierSlack
	if left <= 0 {
		left = q.left
	}
	x := exchange.New(exchange.Request{ID: q.id, Class: copyClass, Key: k.Hash(), HasKey: true, Arrived: q.arrived, TimeLeft: left,
		Method: http.MethodGet, Target: ask.Target, Header: encodeAsk(ask)})
	begun := time.Now()
	a := e.zoneCaches.ask(x, q.caller)
	if q.caller.Left() {
		return
	}
	if a.Kind == exchange.Served {
		got := unpack(a.Header, a.Body)
		if got.Whole {
			got = e.borrow(k, q.route, got, own, begun)
		}
		if got.Denied != notProven { // there; this router may know more
			q.deliver(got)
			return
		}
	}
	ask.ETag = ""
	rest := q.left - time.Since(q.arrived)
	if rest < 20*time.Millisecond {
		q.refuse(comeAgain)
		return
	}
	ask.LeftMS = rest.Milliseconds()
	ctx, done := context.WithTimeout(q.caller.Context(), rest) // a fetch that another one has begun may take longer
	defer done()
	q.deliver(e.obtain(ctx, ask)) // no cache router answers, or may: this one asks the servers itself
}

// deliver answers with an object, whole or the range that was asked for, or with what a server said instead.
func (q *request) deliver(g Fetched) {
	switch {
	case g.Denied != notDenied:
		q.deny(g.Denied)
	case g.Refuse > 0:
		q.refuse(time.Duration(g.Refuse) * time.Millisecond)
	case !g.Whole:
		q.pass(g.Status, g.Header, g.Body)
	case q.Header.Get("If-None-Match") != "" && q.Header.Get("If-None-Match") == first(g.Header, "Etag"):
		q.pass(http.StatusNotModified, g.Header, nil)
	default:
		from, to, ok, ranged := parseRange(q.Header.Get("Range"), int64(len(g.Body)))
		switch {
		case !ranged:
			q.pass(http.StatusOK, g.Header, g.Body)
		case !ok:
			h := without(g.Header, upstream.HeaderStamp) // a server's stamp stands under the status that it gave, and this one is ours
			h["Content-Range"] = []string{"bytes */" + itoa(int64(len(g.Body)))}
			q.pass(http.StatusRequestedRangeNotSatisfiable, h, nil)
		default:
			h := without(g.Header, "Content-Range")
			h["Content-Range"] = []string{"bytes " + itoa(from) + "-" + itoa(to) + "/" + itoa(int64(len(g.Body)))}
			q.pass(http.StatusPartialContent, h, g.Body[from:to+1])
		}
	}
}

// parseRange reads a single range that names its first byte; anything else asks for the whole.
func parseRange(text string, size int64) (from, to int64, ok, ranged bool) {
	spec, is := strings.CutPrefix(text, "bytes=")
	a, b, dash := strings.Cut(spec, "-")
	from, err := strconv.ParseInt(a, 10, 64)
	if !is || !dash || err != nil || from < 0 {
		return 0, 0, false, false
	}
	if to = size - 1; b != "" {
		last, err := strconv.ParseInt(b, 10, 64)
		if err != nil || last < from {
			return 0, 0, false, false
		}
		to = min(to, last)
	}
	return from, to, from < size, true
}

// pass writes what a server said, or what stands for it. It is the one gate by which an answer with a body goes out.
func (q *request) pass(status int, h http.Header, body []byte) {
	out := q.w.Header()
	for name, values := range h {
		if name[0] != ':' && name != upstream.HeaderLoad {
			out[name] = values
		}
	}
	q.finish(status, body)
}

// refuse says that the request has not run and never will, and when to come again.
func (q *request) refuse(after time.Duration) {
	if after > 0 {
		q.w.Header()["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	q.finish(http.StatusServiceUnavailable, nil)
}

func (q *request) final(status int, h http.Header, body []byte) {
	for name, values := range h {
		q.w.Header()[name] = values
	}
	q.finish(status, body)
}

func (q *request) finish(status int, body []byte) {
	q.answered = true
	out := q.w.Header()
	if q.id != "" {
		out[upstream.HeaderID] = []string{q.id}
	}
	if out["Content-Type"] == nil {
		out["Content-Type"] = nil // nothing is guessed
	}
	out["Date"] = nil
	if q.last {
		out["Connection"] = []string{"close"}
	}
	if status != http.StatusNotModified && status != http.StatusNoContent {
		out["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	q.w.WriteHeader(status)
	if q.Method != http.MethodHead && len(body) > 0 {
		q.link.write(q.Context(), q.w.Write, body)
	}
	if q.onAnswer != nil {
		q.onAnswer(status)
	}
}
