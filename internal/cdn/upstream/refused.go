package upstream

import (
	"errors"
	"sync/atomic"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/cdn/admission"

	"github.com/prometheus/client_golang/prometheus"
)

// refusal is a reason for which a response is given up before its end.
type refusal struct {
	err  error
	name string // in the metrics
}

// refusals are the reasons, in no order.
var refusals = [...]refusal{
	{boundedhttp.ErrHeadTooLong, "head_too_long"},
	{boundedhttp.ErrMalformedHead, "head_malformed"},
	{boundedhttp.ErrInterimResponses, "interim_responses"},
	{boundedhttp.ErrBodyTooLong, "body_too_long"},
	{admission.ErrOverShare, "over_share"},
	{admission.ErrNoRoom, "no_room"},
}

// refusedResponses counts the responses that were given up, by reason. It implements prometheus.Collector.
type refusedResponses struct{ counts [len(refusals)]atomic.Int64 }

// count counts a response that was given up with an error; other errors are not counted.
func (r *refusedResponses) count(err error) {
	for i, reason := range refusals {
		if errors.Is(err, reason.err) {
			r.counts[i].Add(1)
			return
		}
	}
}

var refusedDescription = prometheus.NewDesc("cedarmast_server_responses_refused_total",
	"Responses of servers that were given up before their end.", []string{"reason"}, nil)

// Describe implements prometheus.Collector.
func (r *refusedResponses) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- refusedDescription
}

// Collect implements prometheus.Collector.
func (r *refusedResponses) Collect(metrics chan<- prometheus.Metric) {
	for i, reason := range refusals {
		metrics <- prometheus.MustNewConstMetric(refusedDescription, prometheus.CounterValue, float64(r.counts[i].Load()), reason.name)
	}
}
