package exchange

import "cedarmast/balance"

// ServerList is a server list, complete or partial, together with the servers' addresses, which the balancer does not need.
type ServerList struct {
	balance.List
	Addresses map[balance.ServerID]string // host:port of each entry
}

// endpoint is the address of a listed server and the time at which the server started there.
type endpoint struct {
	address string
	started balance.Time
}

// addresses holds the endpoints of all listed servers. It is owned by the loop.
type addresses map[balance.ServerID]endpoint

// update applies a server list and returns the servers whose idle connections are to be closed, because they are gone, are draining,
// or have moved or restarted.
func (a addresses) update(l ServerList) []balance.ServerID {
	var toClose []balance.ServerID
	listed := make(map[balance.ServerID]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Server] = true
		current := endpoint{l.Addresses[e.Server], e.Started}
		if old, known := a[e.Server]; known && (old != current || e.State != balance.Up) {
			toClose = append(toClose, e.Server)
		}
		if e.State == balance.Gone {
			delete(a, e.Server)
		} else {
			a[e.Server] = current
		}
	}
	if l.Kind == balance.Complete || l.Kind == balance.Persisted {
		for server := range a {
			if !listed[server] {
				toClose = append(toClose, server)
				delete(a, server)
			}
		}
	}
	return toClose
}

// markReplaced returns the list with each server marked as gone at whose address another server has started since. Server lists are
// seconds late and may show a new server at an address before they show that the old server is gone: requests meant for the old server,
// whose cache was warm, would reach the new one, whose cache is cold.
func (a addresses) markReplaced(l ServerList) ServerList {
	endpoints := map[balance.ServerID]endpoint{}
	if l.Kind == balance.Partial {
		for server, ep := range a {
			endpoints[server] = ep
		}
	}
	for _, e := range l.Entries {
		if delete(endpoints, e.Server); e.State != balance.Gone {
			endpoints[e.Server] = endpoint{l.Addresses[e.Server], e.Started}
		}
	}
	newest := make(map[string]balance.Time, len(endpoints))
	for _, ep := range endpoints {
		newest[ep.address] = max(newest[ep.address], ep.started)
	}
	replaced := map[balance.ServerID]bool{}
	for server, ep := range endpoints {
		if ep.address != "" && ep.started < newest[ep.address] {
			replaced[server] = true
		}
	}
	if len(replaced) == 0 {
		return l
	}
	entries := make([]balance.Entry, 0, len(l.Entries)+len(replaced))
	for _, e := range l.Entries {
		if !replaced[e.Server] {
			entries = append(entries, e)
		}
	}
	for server := range replaced {
		entries = append(entries, balance.Entry{Server: server, State: balance.Gone})
	}
	l.Entries = entries
	return l
}
