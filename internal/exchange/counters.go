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
	ClientsAccepted, ClientsRejected, ClientsOpen                  atomic.Int64
	Requests, BadRequests, ClientsDisconnected                     atomic.Int64
	Served, Refused, Failed, Overdue                               atomic.Int64
	Attempts                                                       atomic.Int64
	Results                                                        [balance.Malformed + 1]atomic.Int64
	Dials, ServerConnections, IdleConnections                      atomic.Int64
	ListAnswers, ListFailures                                      atomic.Int64
	PeerMessagesSent, PeerMessagesReceived, PeerMessagesDropped    atomic.Int64
	FactsHeld, FactsLearned, FactsInSync                           atomic.Int64 // state that routers share; FactsInSync is 1 or 0
	FactDatagramsSent, FactDatagramsReceived, FactDatagramsDropped atomic.Int64 // datagrams
	Panics                                                         atomic.Int64
	Lag                                                            atomic.Int64 // nanoseconds; recent maximum lag of the event loop
	InFlightMismatches                                             atomic.Int64 // mismatches of attempts in flight, balancer against loop
	MaxLag                                                         atomic.Int64 // nanoseconds; maximum lag since the start
	RecoveryPhase                                                  atomic.Int64 // after a start: 0 no server list, 1 serving, 2 full service
	TimeToFullService                                              atomic.Int64 // nanoseconds from the start to full service; 0 until then
}

// resultNames holds the name of each balance.Result in metrics and logs; some differ from the names of the constants.
var resultNames = [balance.Malformed + 1]string{"unknown", "ok", "errored", "full", "timed_out", "no_connect", "reset",
	"cancelled", "moot", "miss", "spoilt"}

// CounterGroup is an ordered list of counters of one subsystem.
type CounterGroup struct {
	Name   string
	Values []CounterValue
}

// CounterValue is the name and the current value of one counter.
type CounterValue struct {
	Name  string
	Count int64
}

// Snapshot returns the current values of all counters, grouped by subsystem.
func (c *Counters) Snapshot() []CounterGroup {
	value := func(name string, v *atomic.Int64) CounterValue { return CounterValue{name, v.Load()} }
	results := make([]CounterValue, len(resultNames))
	for i := range resultNames {
		results[i] = value(resultNames[i], &c.Results[i])
	}
	micros := func(name string, v *atomic.Int64) CounterValue {
		return CounterValue{name, time.Duration(v.Load()).Microseconds()}
	}
	return []CounterGroup{
		{"clients", []CounterValue{value("accepted", &c.ClientsAccepted), value("turned_away", &c.ClientsRejected),
			value("open", &c.ClientsOpen)}},
		{"requests", []CounterValue{value("taken", &c.Requests), value("bad", &c.BadRequests), value("gone", &c.ClientsDisconnected)}},
		{"answers", []CounterValue{value("served", &c.Served), value("refused", &c.Refused), value("failed", &c.Failed),
			value("overdue", &c.Overdue)}},
		{"attempts", append([]CounterValue{value("sent", &c.Attempts)}, results...)},
		{"connections", []CounterValue{value("dialled", &c.Dials), value("open", &c.ServerConnections),
			value("idle", &c.IdleConnections)}},
		{"discovery", []CounterValue{value("answers", &c.ListAnswers), value("failures", &c.ListFailures)}},
		{"peers", []CounterValue{value("told", &c.PeerMessagesSent), value("heard", &c.PeerMessagesReceived),
			value("dropped", &c.PeerMessagesDropped)}},
		{"facts", []CounterValue{value("held", &c.FactsHeld), value("learned", &c.FactsLearned), value("in_step", &c.FactsInSync),
			value("told", &c.FactDatagramsSent), value("heard", &c.FactDatagramsReceived), value("dropped", &c.FactDatagramsDropped)}},
		{"loop", []CounterValue{value("panics", &c.Panics), value("astray", &c.InFlightMismatches),
			micros("lag_us", &c.Lag), micros("lag_most_us", &c.MaxLag)}},
		{"recovery", []CounterValue{value("phase", &c.RecoveryPhase),
			{"full_after_ms", time.Duration(c.TimeToFullService.Load()).Milliseconds()}}},
	}
}

// LogAttrs returns the counters as attributes of a log line, one group for each subsystem.
func (c *Counters) LogAttrs() []any {
	var attrs []any
	for _, g := range c.Snapshot() {
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
	for _, g := range c.Snapshot() {
		all[g.Name] = map[string]int64{}
		for _, v := range g.Values {
			all[g.Name][v.Name] = v.Count
		}
	}
	text, _ := json.MarshalIndent(all, "", "  ") // cannot fail for maps of integers
	return append(text, '\n')
}
