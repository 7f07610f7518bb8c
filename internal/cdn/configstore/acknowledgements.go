package configstore

import (
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// slowAcknowledgement is what is logged: callers of the control interface go on to another machine after a second.
const slowAcknowledgement = time.Second

// The outcomes that acknowledgements are counted under.
const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeUnclear = "unclear" // it may or may not come into force
)

// acknowledgements measures the time from the receipt of an order at this machine to its answer.
type acknowledgements struct {
	log     hclog.Logger
	seconds *prometheus.HistogramVec
}

func newAcknowledgements(log hclog.Logger) *acknowledgements {
	return &acknowledgements{log: log, seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "cedarmast_acknowledgement_seconds",
		Help:    "Time from the receipt of an order to its answer, by kind, outcome and whether the leader had been the same for as long as contact.",
		Buckets: []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5},
	}, []string{"kind", "outcome", "settled"})}
}

// observe notes the end of an order.
func (a *acknowledgements) observe(kind string, r Reply, settled bool, took time.Duration) {
	outcome := outcomeRefused
	switch {
	case !r.Known:
		outcome = outcomeUnclear
	case r.Status == clusterstate.Done:
		outcome = outcomeDone
	}
	a.seconds.WithLabelValues(kind, outcome, settledLabel(settled)).Observe(took.Seconds())
	if took >= slowAcknowledgement {
		a.log.Warn("slow acknowledgement", "kind", kind, "outcome", outcome, "settled", settled, "took", took.Round(time.Millisecond))
	}
}

func settledLabel(settled bool) string {
	if settled {
		return "yes"
	}
	return "no"
}
