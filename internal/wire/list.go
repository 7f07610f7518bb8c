package wire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// Endpoints is a server list in discovery's form.
type Endpoints struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

var states = map[string]balance.State{"SERVING": balance.Up, "DRAINING": balance.Draining, "DELETED": balance.Gone}

// ParseEndpoints reads a list.
func ParseEndpoints(text []byte) (*Endpoints, error) {
	var e Endpoints
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	return &e, e.Check()
}

// Check names what is wrong with a list.
func (e *Endpoints) Check() error {
	for i, p := range e.Endpoints {
		switch _, known := states[p.Status]; {
		case p.Name == "":
			return fmt.Errorf("endpoint %d has no name", i)
		case !known:
			return fmt.Errorf("endpoint %q: unknown status %q", p.Name, p.Status)
		case p.Address == "" && p.Status != "DELETED":
			return fmt.Errorf("endpoint %q has no address", p.Name)
		}
	}
	return nil
}

// List is the list as the loop takes it.
func (e *Endpoints) List(kind balance.ListKind, clock exchange.Clock) exchange.List {
	list := exchange.List{List: balance.List{Kind: kind, Version: e.Index},
		Addresses: make(map[balance.ServerID]string, len(e.Endpoints))}
	for _, p := range e.Endpoints {
		id := balance.ServerID(p.Name)
		list.Addresses[id] = p.Address
		list.Entries = append(list.Entries, balance.Entry{Server: id, Kind: p.Type, Zone: p.Zone, Cell: p.Group,
			Weight: p.Weight, Started: clock.Unix(p.SinceMS), State: states[p.Status]})
	}
	return list
}

// EndpointsOf is a whole list in discovery's form, in the order of names.
func EndpointsOf(l exchange.List) *Endpoints {
	e := &Endpoints{Index: l.Version, Snapshot: true, Endpoints: []endpoint{}}
	for _, entry := range l.Entries {
		p := endpoint{Name: string(entry.Server), Address: l.Addresses[entry.Server], Zone: entry.Zone, Type: entry.Kind,
			Group: entry.Cell, Status: "SERVING", Weight: entry.Weight, SinceMS: int64(entry.Started) / int64(time.Millisecond)}
		if entry.State == balance.Draining {
			p.Status = "DRAINING"
		}
		e.Endpoints = append(e.Endpoints, p)
	}
	slices.SortFunc(e.Endpoints, func(a, b endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return e
}
