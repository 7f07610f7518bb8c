package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// This file handles a client request from route lookup to response.

const (
	defaultTimeLeft   = 2 * time.Second        // of a request without a time-left header
	startupRetryAfter = 600 * time.Millisecond // Retry-After of a router that has just started and has no configuration yet
)

// itoa formats a decimal header value.
func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// atoi parses a decimal header value; 0 if it is malformed.
func atoi(s string) int64 { n, _ := strconv.ParseInt(s, 10, 64); return n }

// request is a client request in progress.
type request struct {
	*http.Request
	closeConn bool // the response closes the connection
	outbound  *link
	memory    *admission.Memory
	w         http.ResponseWriter
	id        string
	arrived   time.Time
	timeLeft  time.Duration
	target    string // of the request line, as the client sent it; see requestTarget
	path      string // of the target, not decoded: by it the route is picked, and servers get it
	route     *clusterstate.Route
	held      []*service  // that the route may lead to, until the request has been answered
	heldFew   [2]*service // room for held
	plan      *plan
	caller    *cancellation.Caller // the client, while work is done for it

	clientKey string               // kept for any route: one that needs no key now may need one before the request is sent
	tenant    *clusterstate.Tenant // the holder of clientKey according to plan; nil if the route requires no key

	answered bool             // the response has been started
	fromCopy bool             // the response's body is that of a cache entry, which is part of the cache's memory
	onAnswer func(status int) // called with the status once the response is written; may be nil
}

// serve handles one client request.
func (e *Edge) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.counters.Requests.Add(1)
	q := &request{Request: r, w: w, outbound: e.outbound, memory: e.memory, id: r.Header.Get(upstream.HeaderRequestID), arrived: arrived,
		timeLeft: defaultTimeLeft, closeConn: e.closeConns.Load()}
	if ms := atoi(r.Header.Get(upstream.HeaderTimeLeft)); ms > 0 {
		q.timeLeft = time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	q.target = requestTarget(r)
	q.path, _, _ = strings.Cut(q.target, "?")
	found := e.findRoute(q, host)
	defer q.releaseServices()
	switch {
	case found:
	case q.plan == nil: // just started: the replicated state has not arrived yet
		q.refuse(startupRetryAfter)
		return
	default:
		q.respond(http.StatusNotFound, nil, nil)
		return
	}
	if !e.authenticate(q) {
		return
	}
	q.timeLeft = min(q.timeLeft, q.route.Timeout)
	if q.route.Kind == clusterstate.KindCacheable && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		q.dropBody()
		e.serveObject(q, objectKey(q, strings.ToLower(host)))
		return
	}
	defer e.trackCaller(q)()
	e.serveWithBody(q)
}

// trackCaller registers the request's client as a caller until the returned function is called.
func (e *Edge) trackCaller(q *request) (done func()) {
	q.caller = e.callers.Open(q.Context(), cancellation.Client, q.route.Name)
	onDisconnect(q.Request, q.caller.Cancel)
	return func() {
		disconnected := q.caller.Cancelled()
		q.caller.Close()
		if disconnected && !q.answered { // http.Server would send an empty 200 for a handler that writes nothing
			panic(http.ErrAbortHandler)
		}
	}
}

// requestTarget returns the request target as the client sent it, without the scheme and host of an absolute-form target. Nothing is decoded
// or encoded: an encoded slash is no slash, and another spelling may be another resource.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, rest, absolute := strings.Cut(r.RequestURI, "://")
	if !absolute {
		return r.RequestURI
	}
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	}
	return rest[begin:]
}

// forward sends a request to a server of its route's service and writes the response.
func (e *Edge) forward(q *request, body *admission.Body) {
	svc := q.plan.services[q.route.PickService(rand.Float64())]
	if svc == nil {
		q.refuse(defaultRetryAfter)
		return
	}
	permit := e.permitFunc(q.route.Name, q.clientKey)
	if _, err := permit(); err != nil { // checked before the request waits for a server
		q.deny(denialOf(err))
		return
	}
	svc.limiter.countDemand()
	ranksLow := q.plan.ranksLow(q.route, q.tenant, svc)
	if !svc.limiter.take(ranksLow) {
		q.refuse(svc.limiter.waitTime(ranksLow))
		return
	}
	header := upstream.EndToEnd(q.Header.Clone())
	if e.plan.Load().keys != nil { // tenants may have been configured since the request arrived
		delete(header, upstream.HeaderClientKey)
		delete(header, upstream.HeaderTenant)
	}
	header["Host"] = []string{q.Host}
	originRequest := &upstream.OriginRequest{ID: q.id, OnceOnly: q.route.Kind == clusterstate.KindOnceOnly, Caller: q.caller,
		Permit: permit, HoldBody: func() func() { return e.holdBody(body) }, UsageCounter: e.usageCounter(q.tenant)}
	answer := e.sendToService(svc, q.route.Name, originRequest, exchange.Request{ID: q.id, Class: q.plan.className(q.route, q.tenant),
		Arrived: q.arrived, Timeout: q.timeLeft,
		Write: q.route.Kind == clusterstate.KindOnceOnly, Method: q.Method, Target: q.target, Header: header, Body: body.Bytes})
	denied := originRequest.DenyReason()
	switch failure := originRequest.LastFailure(); {
	case q.caller.Cancelled(): // the client has disconnected
	case denied != nil && originRequest.NeverRan():
		q.deny(denialOf(denied))
	case answer.Kind == exchange.Served:
		q.writeResponse(int(atoi(firstValue(answer.Header, upstream.StatusKey))), answer.Header, answer.Body)
	case failure != nil: // the last server's own error response
		q.writeResponse(int(atoi(firstValue(failure.Header, upstream.StatusKey))), failure.Header, failure.Body)
	case answer.Kind == exchange.Refused:
		q.refuse(max(answer.RetryAfter, 20*time.Millisecond))
	case originRequest.OnceOnly && !originRequest.MayHaveRun(): // nothing was sent, so it has not run
		q.refuse(defaultRetryAfter)
	case answer.TimedOut:
		q.respond(http.StatusGatewayTimeout, nil, nil)
	default:
		q.respond(http.StatusBadGateway, nil, nil)
	}
}

// objectKey returns the cache key of the requested object. Path and query are not normalized: another spelling may be another object.
func objectKey(q *request, host string) objectcache.Key {
	k := objectcache.Key{Host: host}
	k.SetTarget(q.target)
	k.Service = q.route.PickService(float64(k.Hash()>>11) / (1 << 53))
	return k
}

// serveObject answers from this router's cache entry if it is fresh, and otherwise through the cache tier. A fresh hit needs no further
// work, so its client is not tracked.
func (e *Edge) serveObject(q *request, k objectcache.Key) {
	q.onAnswer = e.answerCounter(q.tenant)
	cached, freshness := e.lookup(k, q.route.Shelf, objectcache.Requester{ID: q.id, ClientKey: q.clientKey}, true)
	if freshness == objectcache.Fresh {
		q.deliver(fetchedFrom(cached))
		return
	}
	defer e.trackCaller(q)()
	e.serveFromTier(q, k, cached)
}

// serveFromTier answers from the cache router that owns the key, or from the servers if that router does not answer.
func (e *Edge) serveFromTier(q *request, k objectcache.Key, cached *objectcache.Entry) {
	query := Fetch{Key: k, Target: k.Target(), ID: q.id, ClientKey: q.clientKey, Route: q.route.Name, Index: e.replica.Index(),
		AgeMS: ageMS(e.maxObjectAge(q.route.Shelf))}
	if cached != nil && cached.FromOwner && e.purgesKnown() {
		query.ETag = cached.ETag
	}
	timeLeft := q.timeLeft - tierReserve
	if timeLeft <= 0 {
		timeLeft = q.timeLeft
	}
	x := exchange.New(exchange.Request{ID: q.id, Class: copyClass, Key: k.Hash(), HasKey: true, Arrived: q.arrived, Timeout: timeLeft,
		Method: http.MethodGet, Target: query.Target, Header: encodeFetch(query)})
	started := time.Now()
	answer := e.zoneCaches.do(x, q.caller)
	if q.caller.Cancelled() {
		return
	}
	if answer.Kind == exchange.Served {
		fetched := decodeFetched(answer.Header, answer.Body)
		if fetched.Whole {
			fetched = e.storeFromPeer(k, q.route, fetched, cached, started)
		}
		if fetched.Denied != keyUnproven { // unproven on that router; this one may have a more recent proof
			q.deliver(fetched)
			return
		}
	}
	query.ETag, query.AgeMS = "", 0
	remaining := q.timeLeft - time.Since(q.arrived)
	if remaining < 20*time.Millisecond {
		q.refuse(defaultRetryAfter)
		return
	}
	query.LeftMS = remaining.Milliseconds()
	ctx, cancel := context.WithTimeout(q.caller.Context(), remaining) // the request may join a fetch that is allowed to take longer
	defer cancel()
	q.deliver(e.getObject(ctx, query)) // no cache router answered, or it could not decide: this router asks the servers itself
}

// deliver writes a fetched object, whole or the requested range, or else the denial, refusal or server response that came instead.
func (q *request) deliver(g Fetched) {
	switch {
	case g.Denied != notDenied:
		q.deny(g.Denied)
	case g.Refuse > 0:
		q.refuse(time.Duration(g.Refuse) * time.Millisecond)
	case !g.Whole:
		q.writeResponse(g.Status, g.Header, g.Body)
	default:
		q.fromCopy = true
		q.deliverObject(g)
	}
}

// deliverObject writes a whole object or the requested range.
func (q *request) deliverObject(g Fetched) {
	switch {
	case q.Header.Get("If-None-Match") != "" && q.Header.Get("If-None-Match") == firstValue(g.Header, "Etag"):
		q.writeResponse(http.StatusNotModified, g.Header, nil)
	default:
		from, to, ok, ranged := parseRange(q.Header.Get("Range"), int64(len(g.Body)))
		switch {
		case !ranged:
			q.writeResponse(http.StatusOK, g.Header, g.Body)
		case !ok:
			h := withoutHeader(g.Header, upstream.HeaderStamp) // the server's stamp belongs to its own status, and this status is the router's
			h["Content-Range"] = []string{"bytes */" + itoa(int64(len(g.Body)))}
			q.writeResponse(http.StatusRequestedRangeNotSatisfiable, h, nil)
		default:
			h := withoutHeader(g.Header, "Content-Range")
			h["Content-Range"] = []string{"bytes " + itoa(from) + "-" + itoa(to) + "/" + itoa(int64(len(g.Body)))}
			q.writeResponse(http.StatusPartialContent, h, g.Body[from:to+1])
		}
	}
}

// parseRange parses a Range header with a single range that names its first byte. ranged is false for any other header: the whole object
// is sent. ok is false if the range starts at or past size. to is inclusive.
func parseRange(text string, size int64) (from, to int64, ok, ranged bool) {
	spec, isBytes := strings.CutPrefix(text, "bytes=")
	firstText, lastText, dash := strings.Cut(spec, "-")
	from, err := strconv.ParseInt(firstText, 10, 64)
	if !isBytes || !dash || err != nil || from < 0 {
		return 0, 0, false, false
	}
	if to = size - 1; lastText != "" {
		last, err := strconv.ParseInt(lastText, 10, 64)
		if err != nil || last < from {
			return 0, 0, false, false
		}
		to = min(to, last)
	}
	return from, to, from < size, true
}

// writeResponse writes a server's response, or an equivalent from the cache. Every response with a body goes through it.
func (q *request) writeResponse(status int, h http.Header, body []byte) {
	out := q.w.Header()
	for name, values := range h {
		if name[0] != ':' && name != upstream.HeaderLoad {
			out[name] = values
		}
	}
	q.finish(status, body)
}

// refuse answers 503: the request has not run and will not run. after becomes Retry-After if it is positive.
func (q *request) refuse(after time.Duration) {
	if after > 0 {
		q.w.Header()["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	q.finish(http.StatusServiceUnavailable, nil)
}

// respond writes a response with the given headers.
func (q *request) respond(status int, h http.Header, body []byte) {
	for name, values := range h {
		q.w.Header()[name] = values
	}
	q.finish(status, body)
}

// finish adds the router's own headers, writes status and body and calls onAnswer.
func (q *request) finish(status int, body []byte) {
	q.answered = true
	out := q.w.Header()
	if q.id != "" {
		out[upstream.HeaderRequestID] = []string{q.id}
	}
	if out["Content-Type"] == nil {
		out["Content-Type"] = nil // keeps net/http from sniffing the content type
	}
	out["Date"] = nil
	if q.closeConn {
		out["Connection"] = []string{"close"}
	}
	if status != http.StatusNotModified && status != http.StatusNoContent {
		out["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	charged := len(body)
	if q.fromCopy {
		charged = 0
	}
	defer q.memory.BeginWrite(q.w, charged)()
	q.w.WriteHeader(status)
	if q.Method != http.MethodHead && len(body) > 0 {
		q.outbound.write(q.Context(), q.w.Write, body)
	}
	if q.onAnswer != nil {
		q.onAnswer(status)
	}
}
