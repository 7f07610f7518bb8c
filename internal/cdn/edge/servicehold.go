package edge

import (
	"math"
	"sync/atomic"
)

// serviceEnded is the number of holders of a service that has ended; hold never makes it positive.
const serviceEnded = math.MinInt64 / 2

// serviceLife decides how long a service's load balancers live: while a configuration in force names the service, and after that until the
// last request or fetch that holds it has ended. The zero value is that of a service that is named and not held.
type serviceLife struct {
	holders atomic.Int64 // requests and fetches in progress
	removed atomic.Bool  // the configuration in force does not name the service
	end     func()       // stops the load balancers; called once
}

// hold keeps the service alive until release is called. It returns false if the service has ended.
func (l *serviceLife) hold() bool {
	if l.holders.Add(1) > 0 {
		return true
	}
	l.holders.Add(-1)
	return false
}

// release ends a hold.
func (l *serviceLife) release() {
	if l.holders.Add(-1) == 0 && l.removed.Load() {
		l.endIfUnused()
	}
}

// remove records that the configuration does not name the service any more.
func (l *serviceLife) remove() {
	l.removed.Store(true)
	l.endIfUnused()
}

// restore records that the configuration names the service again. It returns false if the service has ended: another one must take its place.
func (l *serviceLife) restore() bool {
	if !l.hold() {
		return false
	}
	l.removed.Store(false)
	l.release()
	return true
}

// endIfUnused ends the service if nobody holds it.
func (l *serviceLife) endIfUnused() {
	if l.holders.CompareAndSwap(0, serviceEnded) {
		l.end()
	}
}

// ended reports whether the service has ended.
func (l *serviceLife) ended() bool { return l.holders.Load() < 0 }

// holdServices holds the services that a route may lead to, according to the request's plan. It returns false, and holds none, if one of
// them has ended: then a newer plan is in force.
func (q *request) holdServices() bool {
	q.held = q.heldFew[:0]
	for _, share := range q.route.Split {
		svc := q.plan.services[share.Service]
		switch {
		case svc == nil:
		case svc.life.hold():
			q.held = append(q.held, svc)
		default:
			q.releaseServices()
			return false
		}
	}
	return true
}

// releaseServices ends the holds of the request.
func (q *request) releaseServices() {
	for _, svc := range q.held {
		svc.life.release()
	}
	q.held = nil
}

// findRoute sets the request's plan and route, and holds the services that the route leads to. It returns false if there is no plan or no
// route.
func (e *Edge) findRoute(q *request, host string) bool {
	for {
		q.plan = e.plan.Load()
		if q.plan == nil {
			return false
		}
		q.route = q.plan.routeTable.Find(host, q.path)
		if q.route == nil || q.holdServices() {
			return q.route != nil
		}
	}
}

// holdService returns the service of that name in the plan in force, and holds it; nil if there is none.
func (e *Edge) holdService(name string) (*plan, *service) {
	for {
		p := e.plan.Load()
		if p == nil || p.services[name] == nil {
			return p, nil
		}
		if svc := p.services[name]; svc.life.hold() {
			return p, svc
		}
	}
}

// removeServices ends the services that the plan does not name, or lets them live until nobody holds them.
func (e *Edge) removeServices(p *plan) {
	for name, svc := range e.services {
		if p.services[name] == nil {
			svc.life.remove()
		}
	}
	e.forgetEndedServices()
}

// forgetEndedServices removes the services that have ended. State changes call it.
func (e *Edge) forgetEndedServices() {
	for name, svc := range e.services {
		if svc.life.ended() {
			delete(e.services, name)
		}
	}
}
