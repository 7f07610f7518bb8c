package edge

import (
	"net/http"
	"time"

	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// objectFetch gets one object from its shield or from the servers, for all requests that wait for it.
type objectFetch struct {
	edge    *Edge
	caller  *cancellation.Caller
	plan    *plan
	service *service
	request Fetch
	old     *objectcache.Entry // the cache entry to be revalidated; may be nil
	timeout time.Duration
}

// refusedFetch returns the response that tells to retry after a wait.
func refusedFetch(wait time.Duration) Fetched {
	return Fetched{Refuse: max(wait, defaultRetryAfter).Milliseconds()}
}

// run gets the object, or has the old cache entry revalidated, and caches a cacheable response.
func (f *objectFetch) run() Fetched {
	route := f.plan.cacheableRoute(f.request.Key)
	if route == nil { // the caller's configuration is older
		return refusedFetch(0)
	}
	if !f.request.Home {
		if got, ok := f.askShield(f.shieldTier(route), route); ok {
			return got
		}
	}
	permit := f.edge.permitFunc(route.Name, f.request.ClientKey)
	if _, err := permit(); err != nil {
		return deniedFetch(err)
	}
	tenant := f.plan.tenantFor(route, f.request.ClientKey)
	if refused, ok := f.waitForRate(f.plan.ranksLow(route, tenant, f.service)); !ok {
		return refused
	}
	return f.askServers(route, tenant, permit)
}

// shieldTier returns the tier of the object's shield. A long body from the own zone's servers stays in the zone.
func (f *objectFetch) shieldTier(route *clusterstate.Route) *cacheTier {
	if f.service.hasLocalServers.Load() && f.service.speeds.hasLongBodies(route.Name) {
		return f.edge.zoneShields
	}
	return f.edge.shields
}

// waitForRate takes a token of the service's rate limit, if one is due soon enough; otherwise it returns a refusal.
func (f *objectFetch) waitForRate(ranksLow bool) (refused Fetched, ok bool) {
	limiter := &f.service.limiter
	limiter.countDemand()
	for deadline := time.Now().Add(min(f.timeout/3, maxRateWait)); !limiter.take(ranksLow); {
		wait := limiter.waitTime(ranksLow)
		if time.Now().Add(wait).After(deadline) {
			return refusedFetch(wait), false
		}
		if !sleep(f.caller.Context(), wait) {
			return refusedFetch(0), false
		}
	}
	return Fetched{}, true
}

// askServers asks a server of the service for the object.
func (f *objectFetch) askServers(route *clusterstate.Route, tenant *clusterstate.Tenant, permit func() (string, error)) Fetched {
	q := f.request
	header := http.Header{"Host": {q.Key.Host}}
	if f.old != nil && f.old.ETag != "" {
		header["If-None-Match"] = []string{f.old.ETag}
	}
	originRequest := &upstream.OriginRequest{ID: q.ID, Cacheable: route.Shelf > 0, Caller: f.caller, Permit: permit}
	index, started := f.edge.replica.Index(), time.Now()
	answer := f.edge.sendToService(f.service, route.Name, originRequest, exchange.Request{Class: f.plan.className(route, tenant),
		Arrived: started, Timeout: min(f.timeout, route.Timeout), Method: http.MethodGet, Target: q.Target, Header: header})
	if answer.Kind != exchange.Served {
		return failedFetch(originRequest, answer)
	}
	status := int(atoi(firstValue(answer.Header, upstream.StatusKey)))
	responseHeader := withoutHeader(answer.Header, upstream.StatusKey)
	switch {
	case status == http.StatusNotModified && f.old != nil:
		return fetchedFrom(f.edge.storeRevalidated(q, f.old, route, started, index))
	case status == http.StatusOK && firstValue(responseHeader, upstream.HeaderStamp) != "":
		return fetchedFrom(f.edge.storeObject(q, route, withoutHeader(responseHeader, upstream.HeaderLoad), answer.Body, started, index))
	}
	return Fetched{Status: status, Header: responseHeader, Body: answer.Body}
}

// failedFetch returns the response to a request that no server has served: the last server's own error response, if there is one.
func failedFetch(originRequest *upstream.OriginRequest, answer exchange.Answer) Fetched {
	if last := originRequest.LastFailure(); last != nil {
		return Fetched{Status: int(atoi(firstValue(last.Header, upstream.StatusKey))),
			Header: withoutHeader(last.Header, upstream.StatusKey), Body: last.Body}
	}
	if err := originRequest.DenyReason(); err != nil {
		return deniedFetch(err)
	}
	return refusedFetch(answer.RetryAfter)
}

// askShield asks the key's shield. The result is false if there is no shield but this router, or it does not answer: the caller then asks the
// servers itself.
func (f *objectFetch) askShield(tier *cacheTier, route *clusterstate.Route) (Fetched, bool) {
	q := f.request
	q.Index, q.AgeMS, q.ETag = f.edge.replica.Index(), ageMS(f.edge.maxObjectAge(route.Shelf)), ""
	if f.old != nil {
		q.ETag, q.AgeMS = f.old.ETag, ageMS(route.Shelf/4)
	}
	started := time.Now()
	x := exchange.New(exchange.Request{ID: q.ID, Class: copyClass, Key: q.Key.Hash(), HasKey: true, Arrived: started,
		Timeout: f.timeout, Method: http.MethodGet, Target: q.Target, Header: encodeFetch(q)})
	answer := tier.do(x, f.caller)
	if f.caller.Cancelled() {
		return refusedFetch(0), true
	}
	if answer.Kind != exchange.Served {
		return Fetched{}, false
	}
	got := decodeFetched(answer.Header, answer.Body)
	if !got.Whole {
		return got, got.Denied != keyUnproven // unproven on the shield; this router may have a more recent proof
	}
	askedAt := started.Add(-time.Duration(got.AgeMS) * time.Millisecond)
	if !got.Same {
		f.edge.storeObject(q, route, got.Header, got.Body, askedAt, got.Index)
		return got, true
	}
	if f.old == nil || f.old.ETag != q.ETag {
		return Fetched{}, false
	}
	return fetchedFrom(f.edge.storeRevalidated(q, f.old, route, askedAt, got.Index)), true
}

// storeRevalidated renews a cache entry that is unchanged according to a server that was asked at a time and log index.
func (e *Edge) storeRevalidated(q Fetch, old *objectcache.Entry, route *clusterstate.Route, askedAt time.Time, index uint64) *objectcache.Entry {
	x := old.Revalidated(askedAt, index, route.Shelf)
	x.FetchedFor = q.requester()
	e.put(q.Key, x)
	return x
}
