package edge

import (
	"maps"
	"slices"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/exchange"
)

// This file tells the decisions which servers there are.

// everyService stands for all services where one is named.
const everyService = ""

// listTogether is how long a change of a server waits for others: a list is told whole, and what it costs goes by how many servers there
// are. Where tens of servers leave at once each would else cost a list of its own.
const listTogether = 100 * time.Millisecond

// serversChanged has the decisions told that a service's servers have changed, with all that change within listPause.
func (e *Edge) serversChanged(s *clusterstate.State, name string) {
	first := len(e.relisted) == 0
	e.relisted[name] = true
	switch {
	case e.listPause == 0:
		e.tellServers(s)
	case first:
		time.AfterFunc(e.listPause, func() { e.replica.Read(e.tellServers) })
	}
}

// tellServers tells the decisions of the services whose servers have changed since it last did. A new server's limit hangs on how many slots
// there are, so that the settings come first.
func (e *Edge) tellServers(s *clusterstate.State) {
	e.retune(s)
	if e.relisted[everyService] {
		e.list(s, everyService)
	} else {
		for name := range e.relisted {
			e.list(s, name)
		}
	}
	clear(e.relisted)
}

// list tells the decisions which servers a service has, or which all services have.
func (e *Edge) list(s *clusterstate.State, name string) {
	for each, sv := range e.services {
		if name != everyService && each != name {
			continue
		}
		here := false
		l := exchange.List{Addresses: map[balance.ServerID]string{}}
		l.Kind, l.Version = balance.Complete, int64(s.Index)
		for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
			x := s.Servers[id]
			if x.Service != each {
				continue
			}
			entry := balance.Entry{Server: balance.ServerID(id), Zone: x.Zone, Weight: float64(max(x.Slots, 1)) * sv.speeds.part(id), Started: e.startOf(x)}
			here = here || x.Zone == e.set.Zone
			if x.State != clusterstate.Open {
				entry.State = balance.Draining
			}
			l.Entries = append(l.Entries, entry)
			l.Addresses[entry.Server] = x.Address
		}
		sv.here.Store(here)
		e.lists.Add(1)
		e.later(func() {
			for _, to := range sv.loops() {
				to.Listed(l)
			}
		})
	}
	for id := range e.started {
		if _, ok := s.Servers[id]; !ok {
			delete(e.started, id)
		}
	}
}

// startOf is when a server began its warm-up, by this process's clock; 0 for one that is warm.
func (e *Edge) startOf(x clusterstate.Server) balance.Time {
	at, ok := e.started[x.ID]
	if !ok {
		if x.WarmupMS > 0 {
			at = e.clock.Now().Add(time.Duration(x.WarmupMS)*time.Millisecond - cold)
		}
		e.started[x.ID] = at
	}
	return at
}
