package soak

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

const acknowledgementBuckets = "cedarmast_acknowledgement_seconds_bucket{"

// acknowledgements holds cumulative histograms of how long operators' calls took until their acknowledgement, from the config
// stores' metrics after the day: the number of calls up to each bound in seconds, with a settled leader and without. Counts of
// processes that were killed are lost.
type acknowledgements struct {
	settled, unsettled map[float64]float64
}

func newAcknowledgements() acknowledgements {
	return acknowledgements{map[float64]float64{}, map[float64]float64{}}
}

// add adds the histograms in one machine's metrics text.
func (a acknowledgements) add(metrics string) {
	for line := range strings.Lines(metrics) {
		labels, ok := strings.CutPrefix(line, acknowledgementBuckets)
		if !ok || !strings.Contains(labels, `outcome="done"`) {
			continue
		}
		labels, value, _ := strings.Cut(strings.TrimSpace(labels), "} ")
		_, bound, _ := strings.Cut(labels, `le="`)
		count, err := strconv.ParseFloat(value, 64)
		limit, boundErr := strconv.ParseFloat(strings.TrimSuffix(bound, `"`), 64)
		if err != nil || boundErr != nil {
			continue
		}
		if strings.Contains(labels, `settled="yes"`) {
			a.settled[limit] += count
		} else {
			a.unsettled[limit] += count
		}
	}
}

// merge adds the counts of another run.
func (a acknowledgements) merge(other acknowledgements) {
	for limit, count := range other.settled {
		a.settled[limit] += count
	}
	for limit, count := range other.unsettled {
		a.unsettled[limit] += count
	}
}

func (a acknowledgements) String() string {
	return fmt.Sprintf("acknowledgements, settled: %s; unsettled: %s", quantiles(a.settled), quantiles(a.unsettled))
}

// quantiles describes the bounds within which half, 99 in 100 and all of the calls lie.
func quantiles(buckets map[float64]float64) string {
	total := buckets[math.Inf(1)]
	if total == 0 {
		return "none"
	}
	bound := func(fraction float64) string {
		for _, limit := range slices.Sorted(maps.Keys(buckets)) {
			if buckets[limit] >= fraction*total {
				return fmt.Sprintf("%gs", limit)
			}
		}
		return "?"
	}
	return fmt.Sprintf("%.0f, half within %s, 99 in 100 within %s, all within %s", total, bound(0.5), bound(0.99), bound(1))
}
