package exchange

import "cedarmast/balance"

// List is a server list or its changes, with what the decisions need not know: where each server is reached.
type List struct {
	balance.List
	Addresses map[balance.ServerID]string // of the entries
}

// addresses is where each listed server is reached. It belongs to the loop.
type addresses map[balance.ServerID]string

// follow takes a list's addresses and returns the servers that are to have no idle connections any more: they
// are gone, draining or have moved.
func (a addresses) follow(l List) []balance.ServerID {
	var leave []balance.ServerID
	listed := make(map[balance.ServerID]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Server] = true
		to := l.Addresses[e.Server]
		if old, known := a[e.Server]; known && (old != to || e.State != balance.Up) {
			leave = append(leave, e.Server)
		}
		if e.State == balance.Gone {
			delete(a, e.Server)
		} else {
			a[e.Server] = to
		}
	}
	if l.Kind == balance.Complete || l.Kind == balance.Persisted {
		for server := range a {
			if !listed[server] {
				leave = append(leave, server)
				delete(a, server)
			}
		}
	}
	return leave
}
