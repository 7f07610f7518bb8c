package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/exchange"
)

// plan is what requests are served by: one configuration. It is not changed once it is in force.
type plan struct {
	*clusterstate.Manifest
	table    *clusterstate.Table
	routes   map[string]*clusterstate.Route // by name
	classes  classNames                     // names of the decisions' classes of all routes
	ranks    map[string]int                 // the highest of each service's routes, which is the least number
	services map[string]*service
	tenantTable
}

// service is the decisions about one service's servers, and its share of the origin's rate.
type service struct {
	name   string
	near   *exchange.Loop // own zone first: for long bodies
	any    *exchange.Loop // wherever there is room
	end    context.CancelFunc
	rate   rate
	tuned  balance.Settings // as last told; the follower's
	speeds serverSpeeds
	here   atomic.Bool // it has servers in this router's zone
}

// loop is the decisions that send a route's requests.
func (sv *service) loop(route string) *exchange.Loop {
	if sv.speeds.long(route) {
		return sv.near
	}
	return sv.any
}

func (sv *service) loops() [2]*exchange.Loop { return [2]*exchange.Loop{sv.near, sv.any} }

const (
	slotsPart   = 1.5 // of a server's slots that all routers together may fill before anything was seen
	firstLimit  = 12  // what balance allows a lone router
	cold        = 3 * time.Second
	coldPart    = 0.5
	mostAdvice  = time.Second
	usualSlots  = 8
	noSuchClass = 2 * time.Second
	capPart     = 0.5 // of a server's connections that routers may hold without using them
)

// took hears of every change, in order, under the replica's lock.
func (e *Edge) took(s *clusterstate.State, c clusterstate.Command, index uint64, whole bool) {
	if whole {
		e.cache.Forget(index)
	}
	if whole || c.Configures() {
		e.configure(s, c.Taken)
	}
	switch {
	case whole:
		e.relisted[everyService] = true
		e.tellServers(s)
	case c.Server != nil:
		e.serversChanged(s, c.Server.Service)
	case c.Leave != "" || c.Lost != "":
		e.serversChanged(s, everyService)
	}
	if whole || c.Enrol != nil || c.Absent != "" {
		e.zoneCaches.follow(s)
		e.shields.follow(s)
		e.zoneShields.follow(s)
		e.retune(s)
	}
	if c.Cut != nil {
		e.retune(s)
	}
	if p := c.Purge; p != nil {
		e.cache.Purge(index, p.Host, p.Path, p.Tag)
	}
}

// configure takes the state's configuration on, with its reading if that was made already. It is the one place where the version in force
// changes, and it only rises.
func (e *Edge) configure(s *clusterstate.State, m *clusterstate.Manifest) {
	old := e.plan.Load()
	if len(s.Body) == 0 || old != nil && s.Version <= old.Version {
		return
	}
	if m == nil || m.Version != s.Version {
		var err error
		if m, err = clusterstate.ParseManifest(s.Body); err != nil { // the log takes no invalid ones
			e.log.Error("configuration not readable", "version", s.Version, "err", err)
			return
		}
	}
	p := &plan{Manifest: m, table: clusterstate.NewTable(m), tenantTable: tenantTableOf(m), services: map[string]*service{}, classes: classNames{}, routes: make(map[string]*clusterstate.Route, len(m.Routes))}
	for i := range m.Routes {
		p.routes[m.Routes[i].Name] = &m.Routes[i]
		for _, t := range p.eachPriority(&m.Routes[i]) {
			p.classes.of(classKeyOf(&m.Routes[i], p.rank(&m.Routes[i], t)))
		}
	}
	p.ranks = ranks(m)
	for _, def := range m.Services {
		sv := e.services[def.Name]
		if sv == nil {
			sv = &service{name: def.Name, speeds: newServerSpeeds()}
			ctx, end := context.WithCancel(e.life)
			sv.end = end
			set := e.settings(s, p, def.Name)
			set.Placement = newWeightedDraw
			sv.any = e.newLoop(set, e.sender, e.sender.Pool)
			set.Tiers = func() balance.Tiers { return &nearFirst{zone: e.set.Zone} }
			sv.near = e.newLoop(set, e.sender, e.sender.Pool)
			e.services[def.Name] = sv
			for _, l := range sv.loops() {
				e.running.Go(func() { l.Run(ctx) })
			}
		}
		sv.rate.set(def.RatePerS*s.Share(def.Name, e.set.Node), e.set.Bounds)
		p.services[def.Name] = sv
	}
	e.plan.Store(p)
	e.ready.Store(true)
	for name, sv := range e.services {
		if p.services[name] == nil { // let go once what is in hand has ended
			delete(e.services, name)
			time.AfterFunc(time.Minute, sv.end)
		}
	}
	e.list(s, everyService)
	e.retune(s)
	e.log.Info("configuration in force", "version", m.Version, "routes", len(m.Routes), "index", s.Index)
}

// ranks are the highest ranks among each service's routes, which are those of the highest tenants' requests on them.
func ranks(m *clusterstate.Manifest) map[string]int {
	all := map[string]int{}
	for _, r := range m.Routes {
		for _, s := range r.Split {
			if best, ok := all[s.Service]; s.Weight > 0 && (!ok || r.Priority < best) {
				all[s.Service] = max(r.Priority, 0)
			}
		}
	}
	return all
}

// class is the name of the class of a tenant's requests on a route.
func (p *plan) class(r *clusterstate.Route, t *clusterstate.Tenant) string {
	return p.classes[classKeyOf(r, p.rank(r, t))]
}

// low tells whether a tenant's requests on a route rank below others of the service.
func (p *plan) low(r *clusterstate.Route, t *clusterstate.Tenant, sv *service) bool {
	return p.rank(r, t) > p.ranks[sv.name]
}

// idleFor is how long a connection is kept that nobody uses: less where a server takes fewer of them than there are routers.
func idleFor(services []clusterstate.Service, routers int) time.Duration {
	least := 1.0
	for _, def := range services {
		if def.ConnCap > 0 {
			least = min(least, capPart*float64(def.ConnCap)/float64(max(routers, 1)))
		}
	}
	return time.Duration(least * float64(upstream.IdleFor))
}

// retune tells the decisions of the configuration's classes and of how many share the work.
func (e *Edge) retune(s *clusterstate.State) {
	p := e.plan.Load()
	if p == nil {
		return
	}
	e.sender.Pool.SetIdleFor(idleFor(p.Services, len(s.Routers)))
	for name, sv := range p.services {
		set := e.settings(s, p, name)
		for _, def := range p.Services {
			if def.Name == name {
				sv.rate.set(def.RatePerS*s.Share(def.Name, e.set.Node), e.set.Bounds)
			}
		}
		e.later(func() {
			if !sameSettings(sv.tuned, set) {
				sv.tuned = set
				for _, l := range sv.loops() {
					l.Retune(set)
				}
			}
		})
	}
}

func (e *Edge) later(do func()) {
	select {
	case e.changes <- do:
	default: // the follower is thousands of changes behind: it is waited for
		e.changes <- do
	}
}

func sameSettings(a, b balance.Settings) bool {
	return a.Routers == b.Routers && a.MaxAttempts == b.MaxAttempts && slices.Equal(a.Classes, b.Classes)
}

// settings are what the decisions about a service are told. A lone router may fill its part of the servers' slots before it
// has seen anything.
func (e *Edge) settings(s *clusterstate.State, p *plan, name string) balance.Settings {
	set := balance.Settings{Number: 0, Zone: e.set.Zone, OverShareWorth: 1, Parallel: true, MaxRetryAfter: mostAdvice,
		ConnectTimeout: time.Second, ColdFrom: coldPart, Ramp: cold, OverloadFactor: 2, OverloadFor: 2 * time.Second}
	known := map[classKey]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if !slices.ContainsFunc(r.Split, func(x clusterstate.Share) bool { return x.Service == name && x.Weight > 0 }) {
			continue
		}
		for _, t := range p.eachPriority(r) {
			if key := classKeyOf(r, p.rank(r, t)); !known[key] {
				known[key] = true
				set.Classes = append(set.Classes, key.class())
			}
		}
		if set.MaxAttempts == 0 || r.Tries < set.MaxAttempts {
			set.MaxAttempts = r.Tries
		}
	}
	if len(set.Classes) == 0 {
		set.Classes = []balance.Class{{Name: "none", Aim: noSuchClass / 2, Deadline: noSuchClass, Worth: 1}}
	}
	slots, servers := 0, 0
	for _, sv := range s.Servers {
		if sv.Service == name {
			slots, servers = slots+sv.Slots, servers+1
		}
	}
	askers := len(s.Routers)
	for _, def := range p.Services {
		if def.Name == name && def.RatePerS > 0 { // objects: shields ask for them
			askers = len(clusterstate.Shields(s.Routers))
		}
	}
	each := float64(usualSlots)
	if servers > 0 {
		each = float64(slots) / float64(servers)
	}
	set.Routers = max(int(firstLimit*float64(max(askers, 1))/max(slotsPart*each, 1)), 1)
	return set
}
