package edge

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/upstream"
)

// This file checks client keys: whether a request may run, for which tenant it runs, and at which rank.

// errUnknownKey is the error of a request whose key is held by no tenant.
var errUnknownKey = errors.New("no tenant holds the key")

// Denial is the reason why a request must not run with its client's key. Routers send it to each other.
type Denial int

// The denials.
const (
	notDenied   Denial = iota
	keyUnknown         // no tenant holds the key
	keyUnproven        // the router can't prove whether a tenant holds it
)

// denialOf maps the reason why a request was not permitted to a denial. Any other error maps to keyUnproven: it
// says only that the request has not run.
func denialOf(err error) Denial {
	switch {
	case err == nil:
		return notDenied
	case errors.Is(err, errUnknownKey):
		return keyUnknown
	}
	return keyUnproven
}

// deniedFetch returns the response to a peer's fetch whose client key was refused.
func deniedFetch(err error) Fetched {
	return Fetched{Refuse: defaultRetryAfter.Milliseconds(), Denied: denialOf(err)}
}

// deny answers a request that was not run because of its key: 401 for an unknown key, else 503.
func (q *request) deny(why Denial) {
	if why == keyUnknown {
		q.respond(http.StatusUnauthorized, nil, nil)
		return
	}
	q.refuse(defaultRetryAfter)
}

// authenticate checks the client's key against the plan, before any other work is done for the request, and sets q.tenant. It returns false
// if it has answered the request. If tenants are configured, servers see neither the key nor the sender name that the client sent.
func (e *Edge) authenticate(q *request) bool {
	if values := q.Header[upstream.HeaderClientKey]; len(values) == 1 {
		q.clientKey = values[0]
	}
	if q.plan.keys == nil {
		return true
	}
	delete(q.Header, upstream.HeaderClientKey)
	delete(q.Header, upstream.HeaderTenant)
	if !q.plan.RequiresKey(q.route) {
		return true
	}
	if q.tenant = q.plan.keys.Find(q.clientKey); q.tenant == nil {
		q.deny(denialOf(e.unknownKeyError(q.clientKey)))
	}
	return q.tenant != nil
}

// unknownKeyError returns why a request whose key was not found in a plan must not run: errNotProven if the key may be newer than this
// router's state or than the plan that was checked, else errUnknownKey. The proof is read before the plan.
func (e *Edge) unknownKeyError(clientKey string) error {
	if !e.isCurrent() {
		return errNotProven
	}
	if keys := e.plan.Load().keys; keys == nil || keys.Find(clientKey) != nil {
		return errNotProven
	}
	return errUnknownKey
}

// permitFunc returns the Permit function of an upstream.OriginRequest, which is called right before each attempt. It returns the tenant's
// name according to the plan in force at that time, not at the request's arrival, or the reason why the request must not run. A request
// that carries a key needs a proof even if the plan asks for none: a later configuration may ask for it, and have removed this one.
func (e *Edge) permitFunc(route, clientKey string) func() (sender string, err error) {
	return func() (string, error) {
		if clientKey == "" && !e.plan.Load().requiresKey(route, clientKey) {
			return "", nil
		}
		if err := e.checkProof(time.Now()); err != nil { // before the plan is loaded, so that the plan lacks no removal that the proof covers
			return "", err
		}
		p := e.plan.Load()
		if !p.requiresKey(route, clientKey) {
			return "", nil
		}
		if t := p.keys.Find(clientKey); t != nil {
			return t.Name, nil
		}
		return "", e.unknownKeyError(clientKey)
	}
}

// tenantTable looks up and ranks a plan's tenants. The zero value is that of a configuration without tenants.
type tenantTable struct {
	keys            *clusterstate.KeyTable // nil without tenants
	onePerPriority  []*clusterstate.Tenant // one tenant of each priority, the highest priority (lowest number) first
	routePriorities int                    // number of priorities that routes may have
}

// newTenantTable builds the tenant table of a configuration.
func newTenantTable(m *clusterstate.Manifest) (table tenantTable) {
	if len(m.Tenants) == 0 {
		return table
	}
	table.keys, table.routePriorities = clusterstate.NewKeyTable(m), 1
	for i := range m.Tenants {
		table.onePerPriority = append(table.onePerPriority, &m.Tenants[i])
	}
	byPriority := func(a, b *clusterstate.Tenant) int { return a.Priority - b.Priority }
	slices.SortStableFunc(table.onePerPriority, byPriority)
	table.onePerPriority = slices.CompactFunc(table.onePerPriority, func(a, b *clusterstate.Tenant) bool { return byPriority(a, b) == 0 })
	for i := range m.Routes {
		table.routePriorities = max(table.routePriorities, m.Routes[i].Priority+1)
	}
	return table
}

// requiresKey reports whether requests on a route need a key. For a route that has been removed meanwhile, a request that came with a key
// needs it.
func (p *plan) requiresKey(route, clientKey string) bool {
	if p.keys == nil {
		return false
	}
	if r := p.routes[route]; r != nil {
		return p.RequiresKey(r)
	}
	return clientKey != ""
}

// tenantFor returns the tenant that holds a key on a route; nil if there is none or the route requires no key.
func (p *plan) tenantFor(r *clusterstate.Route, clientKey string) *clusterstate.Tenant {
	if p.keys == nil || r.Unsealed {
		return nil
	}
	return p.keys.Find(clientKey)
}

// rank returns a request's rank, 0 being the highest: ordered by the tenant's priority, then by the route's. Requests without a tenant rank
// with the highest tenant's.
func (p *plan) rank(r *clusterstate.Route, t *clusterstate.Tenant) int {
	rank := max(r.Priority, 0)
	if t != nil {
		rank += (t.Priority - p.onePerPriority[0].Priority) * p.routePriorities
	}
	return rank
}

// tenantPerPriority returns one tenant of each priority whose requests may come on a route; a single nil if the route requires no key.
func (p *plan) tenantPerPriority(r *clusterstate.Route) []*clusterstate.Tenant {
	if p.keys == nil || r.Unsealed {
		return []*clusterstate.Tenant{nil}
	}
	return p.onePerPriority
}
