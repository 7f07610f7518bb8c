package configstore

import (
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// slowAcknowledgement is the time from which an acknowledgement is logged: clients of the control API try another machine after
// a second.
const slowAcknowledgement = time.Second

// Values of the metric label "outcome".
const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeUnclear = "unclear" // the command may or may not take effect
)

// acknowledgements records the time from the receipt of a command at this machine to its reply, as a metric and in the log.
type acknowledgements struct {
	log     hclog.Logger
	seconds *prometheus.HistogramVec
}

// newAcknowledgements returns a recorder that logs slow acknowledgements to log.
func newAcknowledgements(log hclog.Logger) *acknowledgements {
	return &acknowledgements{log: log, seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "cedarmast_acknowledgement_seconds",
		Help:    "Time from the receipt of an order to its answer, by kind, outcome and whether the leader had been the same for as long as contact.",
		Buckets: []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5},
	}, []string{"kind", "outcome", "settled"})}
}

// observe records the reply to a command of a kind. leaderStable says whether the leader had been the same for the
// contact time.
func (a *acknowledgements) observe(kind string, r Reply, leaderStable bool, took time.Duration) {
	outcome := outcomeRefused
	switch {
	case !r.Known:
		outcome = outcomeUnclear
	case r.Status == clusterstate.StatusOK:
		outcome = outcomeDone
	}
	a.seconds.WithLabelValues(kind, outcome, settledLabel(leaderStable)).Observe(took.Seconds())
	if took >= slowAcknowledgement {
		a.log.Warn("slow acknowledgement", "kind", kind, "outcome", outcome, "settled", leaderStable, "took", took.Round(time.Millisecond))
	}
}

// settledLabel returns the value of the metric label "settled".
func settledLabel(leaderStable bool) string {
	if leaderStable {
		return "yes"
	}
	return "no"
}
