package edge

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/upstream"
)

// This file is what becomes of clients' keys: who may ask at all, for which tenant a request runs, and by which rank.

// errKeyGone is the cause where a request's key is held by no tenant.
var errKeyGone = errors.New("no tenant holds the key")

// Denial is why a request does not run for its client's key, as one router tells it to another.
type Denial int

// The denials.
const (
	notDenied Denial = iota
	keyGone          // no tenant holds the key
	notProven        // the router can't prove whether one does
)

// denialOf is the denial that an order's error stands for. An error without a denial of its own says no more than that it has not run.
func denialOf(err error) Denial {
	switch {
	case err == nil:
		return notDenied
	case errors.Is(err, errKeyGone):
		return keyGone
	}
	return notProven
}

// denied is the answer to a question whose client's key was refused.
func denied(err error) Fetched {
	return Fetched{Refuse: comeAgain.Milliseconds(), Denied: denialOf(err)}
}

// deny answers a request that has not run for its key.
func (q *request) deny(why Denial) {
	if why == keyGone {
		q.final(http.StatusUnauthorized, nil, nil)
		return
	}
	q.refuse(comeAgain)
}

// admit looks at a client's key by the plan, before anything else is done for the request. It is false once that is answered. Where there are
// tenants, servers are shown neither the key nor what the client calls itself.
func (e *Edge) admit(q *request) bool {
	if values := q.Header[upstream.HeaderKey]; len(values) == 1 {
		q.clientKey = values[0]
	}
	if q.plan.keys == nil {
		return true
	}
	delete(q.Header, upstream.HeaderKey)
	delete(q.Header, upstream.HeaderSender)
	if !q.plan.Keyed(q.route) {
		return true
	}
	if q.tenant = q.plan.keys.Find(q.clientKey); q.tenant == nil {
		q.deny(denialOf(e.unknownKey(q.clientKey)))
	}
	return q.tenant != nil
}

// unknownKey is why a request does not run whose key was not found in a plan: the key may be newer than what this router holds, or than the plan
// that was looked at. The proof is read before the plan.
func (e *Edge) unknownKey(clientKey string) error {
	if !e.current() {
		return errNotProven
	}
	if keys := e.plan.Load().keys; keys == nil || keys.Find(clientKey) != nil {
		return errNotProven
	}
	return errKeyGone
}

// permit returns what an order asks right before an attempt: the tenant's name by the plan that is in force then, not by that of the arrival.
func (e *Edge) permit(route, clientKey string) func() (sender string, err error) {
	return func() (string, error) {
		if !e.plan.Load().asks(route, clientKey) {
			return "", nil
		}
		if err := e.mayRun(time.Now()); err != nil { // before the look: the plan that is looked at then lacks no removal that the proof covers
			return "", err
		}
		p := e.plan.Load()
		if !p.asks(route, clientKey) {
			return "", nil
		}
		if t := p.keys.Find(clientKey); t != nil {
			return t.Name, nil
		}
		return "", e.unknownKey(clientKey)
	}
}

// tenantTable finds and ranks a plan's tenants. The zero value is that of a configuration without any.
type tenantTable struct {
	keys           *clusterstate.KeyTable // nil without tenants
	onePerPriority []*clusterstate.Tenant // one of each priority, the highest first
	routeRanks     int                    // how many priorities the routes have
}

func tenantTableOf(m *clusterstate.Manifest) (h tenantTable) {
	if len(m.Tenants) == 0 {
		return h
	}
	h.keys, h.routeRanks = clusterstate.NewKeyTable(m), 1
	for i := range m.Tenants {
		h.onePerPriority = append(h.onePerPriority, &m.Tenants[i])
	}
	byPriority := func(a, b *clusterstate.Tenant) int { return a.Priority - b.Priority }
	slices.SortStableFunc(h.onePerPriority, byPriority)
	h.onePerPriority = slices.CompactFunc(h.onePerPriority, func(a, b *clusterstate.Tenant) bool { return byPriority(a, b) == 0 })
	for i := range m.Routes {
		h.routeRanks = max(h.routeRanks, m.Routes[i].Priority+1)
	}
	return h
}

// asks tells whether requests on a route need a key. One of a route that is gone meanwhile runs for the key that it came with.
func (p *plan) asks(route, clientKey string) bool {
	if p.keys == nil {
		return false
	}
	if r := p.routes[route]; r != nil {
		return p.Keyed(r)
	}
	return clientKey != ""
}

// tenant is who holds a key on a route; nil if nobody does or the route asks for none.
func (p *plan) tenant(r *clusterstate.Route, clientKey string) *clusterstate.Tenant {
	if p.keys == nil || r.Unsealed {
		return nil
	}
	return p.keys.Find(clientKey)
}

// rank orders requests, 0 the highest: by their tenant's priority, then by their route's. Without a tenant they rank with the highest.
func (p *plan) rank(r *clusterstate.Route, t *clusterstate.Tenant) int {
	rank := max(r.Priority, 0)
	if t != nil {
		rank += (t.Priority - p.onePerPriority[0].Priority) * p.routeRanks
	}
	return rank
}

// eachPriority is one tenant of each priority whose requests may come on a route; a lone nil where none is asked for.
func (p *plan) eachPriority(r *clusterstate.Route) []*clusterstate.Tenant {
	if p.keys == nil || r.Unsealed {
		return []*clusterstate.Tenant{nil}
	}
	return p.onePerPriority
}
