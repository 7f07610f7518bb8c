package exchange

import "cedarmast/balance"

// List is a server list or its changes, with what the decisions need not know: where each server is reached.
type List struct {
	balance.List
	Addresses map[balance.ServerID]string // of the entries
}

// place is where a listed server is reached, and since when it has run there.
type place struct {
	address string
	started balance.Time
}

// addresses are the places of all listed servers. They belong to the loop.
type addresses map[balance.ServerID]place

// follow takes a list's addresses and returns the servers that are to have no idle connections any more: they
// are gone, draining, have moved or have started anew.
func (a addresses) follow(l List) []balance.ServerID {
	var leave []balance.ServerID
	listed := make(map[balance.ServerID]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Server] = true
		to := place{l.Addresses[e.Server], e.Started}
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

// succeeded returns the list with an entry added, as gone, for each server in whose place another one has started
// since. Lists are seconds late, and tell a new server at an old address before they tell that the old one has gone:
// what is meant for the old one, which was warm, would reach the new one, which is cold.
func (a addresses) succeeded(l List) List {
	now := map[balance.ServerID]place{}
	if l.Kind == balance.Partial {
		for server, at := range a {
			now[server] = at
		}
	}
	for _, e := range l.Entries {
		if delete(now, e.Server); e.State != balance.Gone {
			now[e.Server] = place{l.Addresses[e.Server], e.Started}
		}
	}
	newest := make(map[string]balance.Time, len(now))
	for _, at := range now {
		newest[at.address] = max(newest[at.address], at.started)
	}
	old := map[balance.ServerID]bool{}
	for server, at := range now {
		if at.address != "" && at.started < newest[at.address] {
			old[server] = true
		}
	}
	if len(old) == 0 {
		return l
	}
	entries := make([]balance.Entry, 0, len(l.Entries)+len(old))
	for _, e := range l.Entries {
		if !old[e.Server] {
			entries = append(entries, e)
		}
	}
	for server := range old {
		entries = append(entries, balance.Entry{Server: server, State: balance.Gone})
	}
	l.Entries = entries
	return l
}
