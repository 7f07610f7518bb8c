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

// acknowledgements is how long orders took until they were acknowledged, by what config stores told at a day's end: orders up to each bound
// in seconds, with a settled leader and without. What processes that were killed had counted is lost.
type acknowledgements struct {
	settled, unsettled map[float64]float64
}

func newAcknowledgements() acknowledgements {
	return acknowledgements{map[float64]float64{}, map[float64]float64{}}
}

// add adds what one process tells.
func (a acknowledgements) add(figures string) {
	for line := range strings.Lines(figures) {
		labels, is := strings.CutPrefix(line, acknowledgementBuckets)
		if !is || !strings.Contains(labels, `outcome="done"`) {
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

func (a acknowledgements) merge(o acknowledgements) {
	for limit, count := range o.settled {
		a.settled[limit] += count
	}
	for limit, count := range o.unsettled {
		a.unsettled[limit] += count
	}
}

func (a acknowledgements) String() string {
	return fmt.Sprintf("acknowledgements, settled: %s; else: %s", quantiles(a.settled), quantiles(a.unsettled))
}

// quantiles tells the bounds under which half, 99 in 100 and all of the orders lie.
func quantiles(buckets map[float64]float64) string {
	all := buckets[math.Inf(1)]
	if all == 0 {
		return "none"
	}
	under := func(part float64) string {
		for _, limit := range slices.Sorted(maps.Keys(buckets)) {
			if buckets[limit] >= part*all {
				return fmt.Sprintf("%gs", limit)
			}
		}
		return "?"
	}
	return fmt.Sprintf("%.0f, half within %s, 99 in 100 within %s, all within %s", all, under(0.5), under(0.99), under(1))
}
