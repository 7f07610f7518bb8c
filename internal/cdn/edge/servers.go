package edge

import (
	"maps"
	"slices"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/exchange"
)

// This file keeps the load balancers' server lists up to date.

// allServices stands for all services in place of a service's name.
const allServices = ""

// listDebounce is how long a server change waits for further changes. A list is always sent whole and costs time in proportion to the
// number of servers; without the delay, tens of servers that leave at once would cost one list each.
const listDebounce = 100 * time.Millisecond

// serversChanged schedules a new server list for a service, together with all that change within listDelay.
func (e *Edge) serversChanged(s *clusterstate.State, name string) {
	first := len(e.changedServices) == 0
	e.changedServices[name] = true
	switch {
	case e.listDelay == 0:
		e.pushServerLists(s)
	case first:
		time.AfterFunc(e.listDelay, func() { e.replica.View(e.pushServerLists) })
	}
}

// pushServerLists sends new lists to the load balancers of the services whose servers have changed since the last call. Settings go first,
// because a new server's concurrency limit depends on the number of slots.
func (e *Edge) pushServerLists(s *clusterstate.State) {
	e.updateSettings(s)
	if e.changedServices[allServices] {
		e.pushServerList(s, allServices)
	} else {
		for name := range e.changedServices {
			e.pushServerList(s, name)
		}
	}
	clear(e.changedServices)
}

// pushServerList sends the current server list to the load balancers of the named service, or of allServices.
func (e *Edge) pushServerList(s *clusterstate.State, name string) {
	e.forgetEndedServices()
	for svcName, svc := range e.services {
		if name != allServices && svcName != name {
			continue
		}
		hasLocal := false
		list := exchange.ServerList{Addresses: map[balance.ServerID]string{}}
		list.Kind, list.Version = balance.Complete, int64(s.Index)
		for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
			server := s.Servers[id]
			if server.Service != svcName {
				continue
			}
			entry := balance.Entry{Server: balance.ServerID(id), Zone: server.Zone,
				Weight: float64(max(server.Slots, 1)) * svc.speeds.weightFactor(id), Started: e.warmupStart(server)}
			hasLocal = hasLocal || server.Zone == e.config.Zone
			if server.State != clusterstate.ServerOpen {
				entry.State = balance.Draining
			}
			list.Entries = append(list.Entries, entry)
			list.Addresses[entry.Server] = server.Address
		}
		svc.hasLocalServers.Store(hasLocal)
		e.serverLists.Add(1)
		e.enqueue(func() {
			for _, loop := range svc.loops() {
				loop.UpdateServers(list)
			}
		})
	}
	for id := range e.warmupStarts {
		if _, ok := s.Servers[id]; !ok {
			delete(e.warmupStarts, id)
		}
	}
}

// warmupStart returns when a server began its warm-up, by this process's clock; 0 for a server that is warm.
func (e *Edge) warmupStart(server clusterstate.Server) balance.Time {
	start, ok := e.warmupStarts[server.ID]
	if !ok {
		if server.WarmupMS > 0 {
			start = e.clock.Now().Add(time.Duration(server.WarmupMS)*time.Millisecond - warmUpTime)
		}
		e.warmupStarts[server.ID] = start
	}
	return start
}
