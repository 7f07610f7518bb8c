package edge

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// collectors returns the process's Prometheus metrics, including those of package cancellation.
func (e *Edge) collectors() []prometheus.Collector {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cedarmast_" + name, Help: help}, read)
	}
	counter := func(name, help string, of *atomic.Int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "cedarmast_" + name, Help: help},
			func() float64 { return float64(of.Load()) })
	}
	return []prometheus.Collector{
		e.callers, e.memory, &e.sender.Refused,
		gauge("server_connections_busy", "Connections to servers that an attempt uses or opens.", func() float64 {
			return float64(e.counters.ServerConnections.Load() - e.counters.IdleConnections.Load())
		}),
		gauge("server_connections_idle", "Connections to servers that nobody uses.",
			func() float64 { return float64(e.counters.IdleConnections.Load()) }),
		gauge("fetches_under_way", "Fetches of objects that somebody or the cache waits for.",
			func() float64 { return float64(e.fetches.count()) }),
		counter("requests_total", "Requests that clients have sent.", &e.counters.Requests),
		counter("attempts_total", "Attempts that were decided on.", &e.counters.Attempts),
		counter("early_responses_total", "Responses of servers that came while the request was still being sent.", &e.sender.EarlyResponses),
		counter("dials_total", "Connections to servers that were opened.", &e.counters.Dials),
		counter("server_lists_total", "Server lists that the decisions of services were told.", &e.serverLists),
		counter("panics_total", "Panics that were survived.", &e.counters.Panics),
	}
}
