package exchange

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"cedarmast/balance"
)

// Counters holds a router's counters since its start, and its gauges. It may be read at any time, from any goroutine.
type Counters struct {
	ClientsAccepted, ClientsTurnedAway, ClientsOpen atomic.Int64
	Requests, BadRequests, ClientsGone              atomic.Int64
	Served, Refused, Failed, Overdue                atomic.Int64
	Attempts                                        atomic.Int64
	Results                                         [balance.Spoilt + 1]atomic.Int64
	Dials, ServerConnections, IdleConnections       atomic.Int64
	ListAnswers, ListFailures                       atomic.Int64
	PeersTold, PeersHeard, PeersDropped             atomic.Int64
	FactsHeld, FactsLearned, FactsInStep            atomic.Int64 // state that routers share; FactsInStep is 1 when in sync, else 0
	FactsTold, FactsHeard, FactsDropped             atomic.Int64 // datagrams
	Panics                                          atomic.Int64
	Lag                                             atomic.Int64 // nanoseconds; recent maximum lag of the event loop
	Astray                                          atomic.Int64 // mismatches of attempts in flight, balancer against loop
	LagMost                                         atomic.Int64 // nanoseconds; maximum lag since the start
	Phase                                           atomic.Int64 // recovery after a start: 0 no server list, 1 serving, 2 full service
	FullAfter                                       atomic.Int64 // nanoseconds from the start to full service; 0 until then
}

// resultNames holds the name of each balance.Result in metrics and logs.
var resultNames = [balance.Spoilt + 1]string{"unknown", "ok", "errored", "full", "timed_out", "no_connect", "reset",
	"cancelled", "moot", "miss", "spoilt"}

// Group is an ordered list of counters of one subsystem.
type Group struct {
	Name   string
	Values []Value
}

// Value is the name and the current value of one counter.
type Value struct {
	Name  string
	Count int64
}

// Read returns the current values of all counters, grouped by subsystem.
func (c *Counters) Read() []Group {
	value := func(name string, v *atomic.Int64) Value { return Value{name, v.Load()} }
	results := make([]Value, len(resultNames))
	for i := range resultNames {
		results[i] = value(resultNames[i], &c.Results[i])
	}
	micros := func(name string, v *atomic.Int64) Value {
		return Value{name, time.Duration(v.Load()).Microseconds()}
	}
	return []Group{
		{"clients", []Value{value("accepted", &c.ClientsAccepted), value("turned_away", &c.ClientsTurnedAway),
			value("open", &c.ClientsOpen)}},
		{"requests", []Value{value("taken", &c.Requests), value("bad", &c.BadRequests), value("gone", &c.ClientsGone)}},
		{"answers", []Value{value("served", &c.Served), value("refused", &c.Refused), value("failed", &c.Failed),
			value("overdue", &c.Overdue)}},
		{"attempts", append([]Value{value("sent", &c.Attempts)}, results...)},
		{"connections", []Value{value("dialled", &c.Dials), value("open", &c.ServerConnections),
			value("idle", &c.IdleConnections)}},
		{"discovery", []Value{value("answers", &c.ListAnswers), value("failures", &c.ListFailures)}},
		{"peers", []Value{value("told", &c.PeersTold), value("heard", &c.PeersHeard), value("dropped", &c.PeersDropped)}},
		{"facts", []Value{value("held", &c.FactsHeld), value("learned", &c.FactsLearned), value("in_step", &c.FactsInStep),
			value("told", &c.FactsTold), value("heard", &c.FactsHeard), value("dropped", &c.FactsDropped)}},
		{"loop", []Value{value("panics", &c.Panics), value("astray", &c.Astray), micros("lag_us", &c.Lag), micros("lag_most_us", &c.LagMost)}},
		{"recovery", []Value{value("phase", &c.Phase), {"full_after_ms", time.Duration(c.FullAfter.Load()).Milliseconds()}}},
	}
}

// LogAttrs returns the counters as attributes of a log line, one group for each subsystem.
func (c *Counters) LogAttrs() []any {
	var attrs []any
	for _, g := range c.Read() {
		var values []any
		for _, v := range g.Values {
			values = append(values, slog.Int64(v.Name, v.Count))
		}
		attrs = append(attrs, slog.Group(g.Name, values...))
	}
	return attrs
}

// JSON returns the counters as a JSON object with one nested object for each subsystem.
func (c *Counters) JSON() []byte {
	all := map[string]map[string]int64{}
	for _, g := range c.Read() {
		all[g.Name] = map[string]int64{}
		for _, v := range g.Values {
			all[g.Name][v.Name] = v.Count
		}
	}
	text, _ := json.MarshalIndent(all, "", "  ") // cannot fail for maps of integers
	return append(text, '\n')
}
