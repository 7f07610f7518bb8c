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

// Endpoints is a server list in the discovery service's JSON form.
type Endpoints struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one server of the list.
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

// stateByStatus maps the status of an endpoint to the balancer's state.
var stateByStatus = map[string]balance.State{"SERVING": balance.Up, "DRAINING": balance.Draining, "DELETED": balance.Gone}

// ParseEndpoints decodes and checks a list. With an error from Validate it returns the list too.
func ParseEndpoints(text []byte) (*Endpoints, error) {
	var e Endpoints
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	return &e, e.Validate()
}

// Validate returns an error for the first invalid endpoint: no name, an unknown status, or no address unless DELETED.
func (e *Endpoints) Validate() error {
	for i, ep := range e.Endpoints {
		switch _, known := stateByStatus[ep.Status]; {
		case ep.Name == "":
			return fmt.Errorf("endpoint %d has no name", i)
		case !known:
			return fmt.Errorf("endpoint %q: unknown status %q", ep.Name, ep.Status)
		case ep.Address == "" && ep.Status != "DELETED":
			return fmt.Errorf("endpoint %q has no address", ep.Name)
		}
	}
	return nil
}

// ServerList converts the list to the form that the exchange loop takes.
func (e *Endpoints) ServerList(kind balance.ListKind, clock exchange.Clock) exchange.ServerList {
	list := exchange.ServerList{List: balance.List{Kind: kind, Version: e.Index},
		Addresses: make(map[balance.ServerID]string, len(e.Endpoints))}
	for _, ep := range e.Endpoints {
		id := balance.ServerID(ep.Name)
		list.Addresses[id] = ep.Address
		list.Entries = append(list.Entries, balance.Entry{Server: id, Kind: ep.Type, Zone: ep.Zone, Cell: ep.Group,
			Weight: ep.Weight, Started: clock.FromUnixMilli(ep.SinceMS), State: stateByStatus[ep.Status]})
	}
	return list
}

// NewEndpoints converts a complete list to the discovery service's form, sorted by name.
func NewEndpoints(l exchange.ServerList) *Endpoints {
	e := &Endpoints{Index: l.Version, Snapshot: true, Endpoints: []endpoint{}}
	for _, entry := range l.Entries {
		ep := endpoint{Name: string(entry.Server), Address: l.Addresses[entry.Server], Zone: entry.Zone, Type: entry.Kind,
			Group: entry.Cell, Status: "SERVING", Weight: entry.Weight, SinceMS: int64(entry.Started) / int64(time.Millisecond)}
		if entry.State == balance.Draining {
			ep.Status = "DRAINING"
		}
		e.Endpoints = append(e.Endpoints, ep)
	}
	slices.SortFunc(e.Endpoints, func(a, b endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return e
}
