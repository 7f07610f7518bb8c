package edge

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// This file serves cacheable objects on a cache router: from its own cache entry, or by one fetch for all requests that wait for the
// object.

const (
	staleSlackFraction = 0.6                    // of Limits.StaleSlack, that is used while the server is asked
	maxFetchTime       = 8 * time.Second        // upper bound of a fetch's time
	minFetchTime       = 50 * time.Millisecond  // and lower bound
	refreshTimeout     = 2 * time.Second        // for a background refresh
	defaultRetryAfter  = 120 * time.Millisecond // Retry-After if no better estimate is known
	maxRateWait        = 250 * time.Millisecond // for a token of the rate limit, if one is due by then
	refreshInterval    = 100 * time.Millisecond // between looks for cache entries that are about to expire
	maxRefreshes       = 64                     // cache entries that are refreshed at each look
)

// staleSlack returns how long past its TTL a cache entry may still be served while the server is asked (stale-while-revalidate).
func (e *Edge) staleSlack() time.Duration {
	return time.Duration(float64(e.config.Limits.StaleSlack) * staleSlackFraction)
}

// purgesKnown reports whether cache entries may be served: every purge acknowledged longer than contact ago is known. A router that was
// disconnected for longer, and got no proof from a neighbour, may lack purges. Callers check it before they look up an entry; see proof.go.
func (e *Edge) purgesKnown() bool {
	return time.Since(e.replica.Proof()) < e.config.Limits.Contact
}

// refreshDue starts background refreshes of cache entries that are in demand and about to expire, while the service's rate limit has spare
// tokens.
func (e *Edge) refreshDue(now time.Time) {
	p := e.plan.Load()
	if p == nil || !e.purgesKnown() {
		return
	}
	for _, due := range e.cache.DueForRefresh(now, maxRefreshes) {
		svc := p.services[due.Key.Service]
		if svc == nil || !svc.limiter.hasSpare() {
			continue
		}
		route := p.cacheableRoute(due.Key)
		if route == nil || route.Shelf <= 0 {
			continue
		}
		if _, err := e.permitFunc(route.Name, due.Requester.ClientKey)(); err != nil {
			continue
		}
		e.startFetch(fetchKey{Key: due.Key}, Fetch{Key: due.Key, Target: due.Key.Target(), Route: route.Name, ID: due.Requester.ID,
			ClientKey: due.Requester.ClientKey}, due.Entry, refreshTimeout, false)
	}
}

// cacheLifetime returns how long a cache entry may be served on a route whose shelf is given.
func (e *Edge) cacheLifetime(shelf time.Duration) objectcache.Lifetime {
	return objectcache.Lifetime{MaxTTL: shelf, Slack: e.staleSlack()}
}

// maxObjectAge returns how long before a request was sent its response may have been requested from a server, on a route whose shelf is
// given.
func (e *Edge) maxObjectAge(shelf time.Duration) time.Duration { return shelf + e.staleSlack() }

// lookup returns this router's cache entry and its freshness, on a route whose shelf is given. It counts as a request for the object only
// if wanted is set.
func (e *Edge) lookup(k objectcache.Key, shelf time.Duration, requester objectcache.Requester,
	wanted bool) (*objectcache.Entry, objectcache.Freshness) {
	// Checked before the lookup: news that brings a purge must not also prove an entry that was looked up before the purge.
	purgesKnown := e.purgesKnown()
	entry, freshness := e.cache.Peek(k, time.Now(), e.cacheLifetime(shelf))
	if wanted {
		entry, freshness = e.cache.Get(k, time.Now(), e.cacheLifetime(shelf), requester)
	}
	if freshness != objectcache.Miss && !purgesKnown {
		freshness = objectcache.Stale
	}
	return entry, freshness
}

// getObject returns an object: the cache entry, or a server's response.
func (e *Edge) getObject(ctx context.Context, q Fetch) Fetched {
	asked, known, shelf := time.Now(), e.replica.Index(), e.plan.Load().shelf(q.Key)
	cached, freshness := e.lookup(q.Key, shelf, q.requester(), !q.Own)
	if q.AgeMS > 0 && freshness != objectcache.Miss && time.Since(cached.ValidatedAt) > time.Duration(q.AgeMS)*time.Millisecond {
		freshness = objectcache.Stale // the caller's entry is as recent
	}
	switch freshness {
	case objectcache.Fresh:
		return e.cachedResponse(q, cached)
	case objectcache.RefreshDue:
		e.startFetch(fetchKey{Key: q.Key, asShield: q.Home}, q, cached, refreshTimeout, false)
		return e.cachedResponse(q, cached)
	}
	key := fetchKey{Key: q.Key, asShield: q.Home}
	for ctx.Err() == nil {
		w, joined := e.startFetch(key, q, cached, fetchTimeout(ctx, q), true)
		if w == nil {
			break
		}
		fetched, ended := e.waitFor(ctx, key, w)
		if !ended {
			break
		}
		if w.abandoned && fetched.Refuse > 0 { // it failed because the waiters that started it left: this caller still waits
			continue
		}
		if fetched.Denied != notDenied && w.clientKey != q.ClientKey { // refused for another request's key: try again with this one's
			continue
		}
		if joined && fetched.isServerResponse() { // to another request: only objects may be shared
			if fetched.Status < http.StatusInternalServerError { // each request will get its own: not one after the other
				key.requestID = q.ID
			}
			continue
		}
		if w.started.Before(asked) && fetched.Whole &&
			(fetched.validatedAt(time.Now()).Before(asked.Add(-e.maxObjectAge(shelf))) || e.purgedBefore(q.Key, fetched, known)) {
			continue // it began under an earlier configuration, before a purge, or its server was slow: try again with another one
		}
		if fetched.Whole && q.ETag != "" && q.ETag == firstValue(fetched.Header, "Etag") {
			return Fetched{Status: http.StatusOK, Whole: true, Same: true, AgeMS: fetched.AgeMS, Index: fetched.Index}
		}
		return fetched
	}
	return refusedFetch(0)
}

// purgedBefore reports whether an object was purged after its server was asked, by a purge that was known at a log index.
func (e *Edge) purgedBefore(k objectcache.Key, got Fetched, known uint64) bool {
	return e.cache.PurgedBetween(k, &objectcache.Entry{Labels: labelsOf(got.Header), LogIndex: got.Index}, known)
}

// labelsOf returns the labels that a response's header gives its object.
func labelsOf(h http.Header) []string {
	return strings.Fields(strings.Join(h[upstream.HeaderLabels], " "))
}

// fetchTimeout returns how long a fetch that is started for q may take.
func fetchTimeout(ctx context.Context, q Fetch) time.Duration {
	timeout := time.Duration(q.LeftMS) * time.Millisecond
	if due, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(due))
	}
	return max(timeout, minFetchTime)
}

// waitFor waits for a fetch that was joined. ended is false if the context ends first.
func (e *Edge) waitFor(ctx context.Context, key fetchKey, w *fetch) (got Fetched, ended bool) {
	defer e.fetches.leave(key, w)
	select {
	case <-w.done:
		return w.result, true
	case <-ctx.Done():
		return Fetched{}, false
	}
}

// fetchedFrom returns a cache entry as a response.
func fetchedFrom(x *objectcache.Entry) Fetched {
	return Fetched{Status: http.StatusOK, Header: x.Header, Body: x.Body, Whole: true, Index: x.LogIndex,
		AgeMS: time.Since(x.ValidatedAt).Milliseconds() + 1}
}

// cachedResponse returns a cache entry as the response to q, without the body if the caller's entry has the same ETag.
func (e *Edge) cachedResponse(q Fetch, x *objectcache.Entry) Fetched {
	got := fetchedFrom(x)
	if q.ETag != "" && q.ETag == x.ETag {
		got.Same, got.Header, got.Body = true, nil, nil
	}
	return got
}

// startFetch joins the fetch in flight with this key, or starts one. It returns nil if the configuration no longer has the service. A caller
// with waits set must call waitFor; without waits the fetch continues even if nobody waits for it.
func (e *Edge) startFetch(key fetchKey, q Fetch, old *objectcache.Entry, timeout time.Duration, waits bool) (f *fetch, joined bool) {
	p, svc := e.holdService(q.Key.Service)
	if svc == nil {
		return nil, false
	}
	e.fetches.mu.Lock()
	if w := e.fetches.inFlight[key]; w != nil {
		w.join(waits)
		e.fetches.mu.Unlock()
		svc.life.release()
		return w, true
	}
	w := &fetch{done: make(chan struct{}), started: time.Now(), clientKey: q.ClientKey, caller: e.callers.Open(e.lifetime, cancellation.CoalescedWaiters, q.Route)}
	w.join(waits)
	e.fetches.inFlight[key] = w
	e.fetches.mu.Unlock()
	go func() {
		defer svc.life.release()
		defer func() {
			if panicked := recover(); panicked != nil { // the waiters get an answer, and the process goes on
				e.counters.Panics.Add(1)
				e.log.Error("panic in fetch", "panic", panicked)
				w.result = refusedFetch(0)
			}
			w.caller.Close()
			e.fetches.remove(key, w)
			close(w.done)
		}()
		f := objectFetch{edge: e, caller: w.caller, plan: p, service: svc, request: q, old: old, timeout: min(timeout, maxFetchTime)}
		w.result = f.run()
	}()
	return w, false
}

// storeFromPeer caches an object that the key's cache router has returned, unless this router owns the key. While the entry is fresh it
// saves the call; afterwards it saves the transfer of the body while the object is unchanged.
func (e *Edge) storeFromPeer(k objectcache.Key, route *clusterstate.Route, got Fetched, old *objectcache.Entry, started time.Time) Fetched {
	x := &objectcache.Entry{Header: got.Header, Body: got.Body, ETag: firstValue(got.Header, "Etag"),
		Labels: labelsOf(got.Header)}
	if got.Same {
		if old == nil {
			return refusedFetch(0)
		}
		x = old.Revalidated(old.ValidatedAt, old.LogIndex, old.TTL)
	}
	x.FromOwner, x.TTL, x.LogIndex, x.ValidatedAt = true, route.Shelf, got.Index, started.Add(-time.Duration(got.AgeMS)*time.Millisecond)
	if current, freshness := e.cache.Get(k, started, objectcache.Lifetime{MaxTTL: route.Shelf}, objectcache.Requester{}); freshness == objectcache.Miss ||
		current.FromOwner {
		e.put(k, x)
	}
	return fetchedFrom(x)
}

// storeObject caches an object if its route allows that, and returns its cache entry in either case.
func (e *Edge) storeObject(q Fetch, route *clusterstate.Route, header http.Header, body []byte, askedAt time.Time,
	index uint64) *objectcache.Entry {
	x := &objectcache.Entry{Header: header, Body: body, ETag: firstValue(header, "Etag"), TTL: route.Shelf,
		ValidatedAt: askedAt, LogIndex: index, FetchedFor: q.requester(),
		Labels: labelsOf(header)}
	e.put(q.Key, x)
	return x
}

// put stores a cache entry, unless its route has no shelf.
func (e *Edge) put(k objectcache.Key, x *objectcache.Entry) {
	if x.TTL > 0 {
		e.cache.Put(k, x)
	}
}

// ageMS returns a maximum age as a Fetch carries it: in milliseconds, at least one, since 0 stands for any.
func ageMS(age time.Duration) int64 { return max(age.Milliseconds(), 1) }

// sendToService submits a request to a service's load balancer and waits for the answer.
func (e *Edge) sendToService(svc *service, route string, originRequest *upstream.OriginRequest, r exchange.Request) exchange.Answer {
	originRequest.Service = svc.name
	x := exchange.New(r)
	e.sender.Register(x, originRequest)
	defer e.sender.Unregister(x)
	answer := submitAndWait(svc.loopFor(route), x, originRequest.Caller)
	svc.limiter.charge(originRequest.SentCount() - 1) // one token was taken; retries after failed attempts count as well
	if answer.Kind == exchange.Served {
		svc.speeds.record(route, originRequest.Server(), originRequest.Latency(), len(answer.Body))
	}
	return answer
}

// submitAndWait submits an exchange and waits for its answer. If the caller is cancelled, the load balancer is notified and the answer is
// Failed. If an attempt must be finished all the same, its answer is awaited; no further attempt is sent
// (cancellation.Caller.BeginAttempt).
func submitAndWait(l *exchange.Loop, x *exchange.Exchange, caller *cancellation.Caller) exchange.Answer {
	if caller.Cancelled() {
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
	l.ClientDisconnected(x)
	return exchange.Answer{Kind: exchange.Failed}
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// withoutHeader returns a copy of a header without one name.
func withoutHeader(h http.Header, name string) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if k != name {
			out[k] = v
		}
	}
	return out
}

// firstValue returns the first value of a header; name must be in canonical form.
func firstValue(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}
