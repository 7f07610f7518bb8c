package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// plan is one configuration, compiled for serving requests. It is immutable once it is in force.
type plan struct {
	*clusterstate.Manifest
	routeTable *clusterstate.RouteTable
	routes     map[string]*clusterstate.Route // by name
	classes    classNames                     // load balancer class names of all routes
	topRanks   map[string]int                 // by service: the highest rank of its routes, which is the lowest number
	services   map[string]*service
	tenantTable
}

// service is the load balancing of one service's servers, and this router's share of the service's rate limit.
type service struct {
	name            string
	zoneFirst       *exchange.Loop // prefers servers of the own zone: for long bodies
	allZones        *exchange.Loop // uses servers of all zones alike
	life            serviceLife
	limiter         rateLimiter
	applied         balance.Settings // settings that the loops were last given; accessed by Edge.runChanges only
	speeds          serverSpeeds
	hasLocalServers atomic.Bool // whether the service has servers in this router's zone
}

// loopFor returns the load balancer loop for a route's requests.
func (svc *service) loopFor(route string) *exchange.Loop {
	if svc.speeds.hasLongBodies(route) {
		return svc.zoneFirst
	}
	return svc.allZones
}

// loops returns both load balancer loops of the service.
func (svc *service) loops() [2]*exchange.Loop { return [2]*exchange.Loop{svc.zoneFirst, svc.allZones} }

const (
	initialSlotShare    = 1.5             // of a server's slots that all routers together may fill before any response was seen
	loneRouterLimit     = 12              // concurrency limit per server that package balance gives a lone router at first
	warmUpTime          = 3 * time.Second // warm-up time of a server
	warmUpStartFraction = 0.5             // of a warm server's capacity, at which a server starts its warm-up
	maxRetryAfter       = time.Second     // upper bound of the Retry-After that clients are sent
	defaultSlots        = 8               // per server, if there are none to average over
	placeholderDeadline = 2 * time.Second // deadline of the placeholder class of a service that no route uses
	idleConnFraction    = 0.5             // of a server's connection limit that all routers together may hold idle
)

// applyChange applies one change of the replicated state; snapshot means that the whole state was replaced. The replica calls it for every
// change, in order, with its lock held.
func (e *Edge) applyChange(s *clusterstate.State, c clusterstate.Command, index uint64, snapshot bool) {
	if snapshot {
		e.cache.Reset(index)
	}
	if snapshot || c.HasConfig() {
		e.applyConfig(s, c.Taken)
	}
	switch {
	case snapshot:
		e.changedServices[allServices] = true
		e.pushServerLists(s)
	case c.Server != nil:
		e.serversChanged(s, c.Server.Service)
	case c.Leave != "" || c.Lost != "":
		e.serversChanged(s, allServices)
	}
	if snapshot || c.Enrol != nil || c.Absent != "" {
		e.zoneCaches.applyRoster(s)
		e.shields.applyRoster(s)
		e.zoneShields.applyRoster(s)
		e.updateSettings(s)
	}
	if c.Cut != nil {
		e.updateSettings(s)
	}
	if p := c.Purge; p != nil {
		e.cache.Purge(index, p.Host, p.Path, p.Tag)
	}
}

// applyConfig puts the state's configuration into force. m is the parsed configuration if the caller has it, else nil. This is the only
// place where the version in force changes, and it only increases.
func (e *Edge) applyConfig(s *clusterstate.State, m *clusterstate.Manifest) {
	old := e.plan.Load()
	if len(s.Body) == 0 || old != nil && s.Version <= old.Version {
		return
	}
	if m == nil || m.Version != s.Version {
		var err error
		if m, err = clusterstate.ReadManifest(s.Body); err != nil { // unexpected: it was parsed in the same way when it was applied
			e.log.Error("cannot parse configuration", "version", s.Version, "err", err)
			return
		}
	}
	p := &plan{Manifest: m, routeTable: clusterstate.NewRouteTable(m), tenantTable: newTenantTable(m),
		services: map[string]*service{}, classes: classNames{}, routes: make(map[string]*clusterstate.Route, len(m.Routes))}
	for i := range m.Routes {
		p.routes[m.Routes[i].Name] = &m.Routes[i]
		for _, t := range p.tenantPerPriority(&m.Routes[i]) {
			p.classes.name(newClassKey(&m.Routes[i], p.rank(&m.Routes[i], t)))
		}
	}
	p.topRanks = topRanks(m)
	for _, def := range m.Services {
		svc := e.services[def.Name]
		if svc == nil || !svc.life.restore() {
			svc = &service{name: def.Name, speeds: newServerSpeeds()}
			ctx, cancel := context.WithCancel(e.lifetime)
			svc.life.end = cancel
			settings := e.loopSettings(s, p, def.Name)
			settings.Placement = newWeightedPlacement
			svc.allZones = e.newLoop(settings, e.sender, e.sender.Pool)
			settings.Tiers = func() balance.Tiers { return &zoneFirstTiers{zone: e.config.Zone} }
			svc.zoneFirst = e.newLoop(settings, e.sender, e.sender.Pool)
			e.services[def.Name] = svc
			for _, l := range svc.loops() {
				e.tasks.Go(func() { l.Run(ctx) })
			}
		}
		svc.limiter.setRate(def.RatePerS*s.RateShare(def.Name, e.config.Node), e.config.Limits)
		p.services[def.Name] = svc
	}
	e.plan.Store(p)
	e.ready.Store(true)
	e.removeServices(p)
	e.pushServerList(s, allServices)
	e.updateSettings(s)
	e.log.Info("configuration in force", "version", m.Version, "routes", len(m.Routes), "index", s.Index)
}

// cacheableRoute returns the route by which an object is cached according to this configuration. It is nil if the object's path has another
// kind of route now, or one that leads to other services.
func (p *plan) cacheableRoute(k objectcache.Key) *clusterstate.Route {
	r := p.routeTable.Find(k.Host, k.Path)
	if r == nil || r.Kind != clusterstate.KindCacheable || !r.LeadsTo(k.Service) {
		return nil
	}
	return r
}

// shelf returns how long responses for a key may be cached according to this configuration; 0 if not at all. A nil plan allows nothing.
func (p *plan) shelf(k objectcache.Key) time.Duration {
	if p == nil {
		return 0
	}
	if r := p.cacheableRoute(k); r != nil {
		return r.Shelf
	}
	return 0
}

// topRanks returns the highest rank (lowest number) of each service's routes: the rank of the highest-priority tenant's requests on them.
func topRanks(m *clusterstate.Manifest) map[string]int {
	top := map[string]int{}
	for _, r := range m.Routes {
		for _, s := range r.Split {
			if best, ok := top[s.Service]; s.Weight > 0 && (!ok || r.Priority < best) {
				top[s.Service] = max(r.Priority, 0)
			}
		}
	}
	return top
}

// className returns the load balancer class of a tenant's requests on a route.
func (p *plan) className(r *clusterstate.Route, t *clusterstate.Tenant) string {
	return p.classes[newClassKey(r, p.rank(r, t))]
}

// ranksLow reports whether a tenant's requests on a route rank below the highest rank of the service.
func (p *plan) ranksLow(r *clusterstate.Route, t *clusterstate.Tenant, svc *service) bool {
	return p.rank(r, t) > p.topRanks[svc.name]
}

// idleTimeout returns how long an unused server connection is kept. It is shorter where a server accepts fewer connections than there are
// routers.
func idleTimeout(services []clusterstate.Service, routers int) time.Duration {
	fraction := 1.0
	for _, def := range services {
		if def.ConnCap > 0 {
			fraction = min(fraction, idleConnFraction*float64(def.ConnCap)/float64(max(routers, 1)))
		}
	}
	return time.Duration(fraction * float64(upstream.IdleTimeout))
}

// updateSettings updates the load balancers' settings, the rate limits and the idle timeout from the configuration and the number of
// routers.
func (e *Edge) updateSettings(s *clusterstate.State) {
	p := e.plan.Load()
	if p == nil {
		return
	}
	e.sender.Pool.SetIdleTimeout(idleTimeout(p.Services, len(s.Routers)))
	for name, svc := range p.services {
		settings := e.loopSettings(s, p, name)
		for _, def := range p.Services {
			if def.Name == name {
				svc.limiter.setRate(def.RatePerS*s.RateShare(def.Name, e.config.Node), e.config.Limits)
			}
		}
		e.enqueue(func() {
			if !sameSettings(svc.applied, settings) {
				svc.applied = settings
				for _, l := range svc.loops() {
					l.UpdateSettings(settings)
				}
			}
		})
	}
}

// enqueue queues work for runChanges and blocks while the queue is full.
func (e *Edge) enqueue(do func()) {
	select {
	case e.changes <- do:
	default: // runChanges is thousands of changes behind: wait for it
		e.changes <- do
	}
}

// sameSettings compares the fields that updateSettings may change.
func sameSettings(a, b balance.Settings) bool {
	return a.Routers == b.Routers && a.MaxAttempts == b.MaxAttempts && slices.Equal(a.Classes, b.Classes)
}

// loopSettings returns the load balancer settings of a service. Routers is chosen so that all routers together fill at most
// initialSlotShare of a server's slots before they have seen any response; a lone router may fill that share by itself.
func (e *Edge) loopSettings(s *clusterstate.State, p *plan, name string) balance.Settings {
	settings := balance.Settings{Index: 0, Zone: e.config.Zone, OverSharePriority: 1, ParallelAttempts: true, MaxRetryAfter: maxRetryAfter,
		ConnectTimeout: time.Second, ColdStartShare: warmUpStartFraction, RampTime: warmUpTime, OverloadFactor: 2, OverloadFor: 2 * time.Second}
	known := map[classKey]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if !r.LeadsTo(name) {
			continue
		}
		for _, t := range p.tenantPerPriority(r) {
			if key := newClassKey(r, p.rank(r, t)); !known[key] {
				known[key] = true
				settings.Classes = append(settings.Classes, key.balanceClass())
			}
		}
		if settings.MaxAttempts == 0 || r.Tries < settings.MaxAttempts {
			settings.MaxAttempts = r.Tries
		}
	}
	if len(settings.Classes) == 0 {
		settings.Classes = []balance.Class{{Name: "none", Target: placeholderDeadline / 2, Deadline: placeholderDeadline, Priority: 1}}
	}
	slots, servers := 0, 0
	for _, server := range s.Servers {
		if server.Service == name {
			slots, servers = slots+server.Slots, servers+1
		}
	}
	requesters := len(s.Routers)
	for _, def := range p.Services {
		if def.Name == name && def.RatePerS > 0 { // only shields send requests to a rate-limited service
			requesters = len(clusterstate.Shields(s.Routers))
		}
	}
	slotsPerServer := float64(defaultSlots)
	if servers > 0 {
		slotsPerServer = float64(slots) / float64(servers)
	}
	settings.Routers = max(int(loneRouterLimit*float64(max(requesters, 1))/max(initialSlotShare*slotsPerServer, 1)), 1)
	return settings
}
