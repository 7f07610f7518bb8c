package usage

import (
	"maps"
	"slices"
)

const (
	maxInstances     = 8192  // process instances of proxies whose reports are kept
	maxReportWindows = 1024  // windows in one report
	maxSums          = 1024  // windows returned by one call of Sums
	maxReportTenants = 16384 // tenants in one window of a report
)

// Collector keeps, at the duty holder, what proxies have reported of windows that are not fixed yet. It is not safe for
// concurrent use.
type Collector struct {
	reports map[instanceKey]*instanceReport
	newest  map[string]instanceKey // by node: the instance that was heard last
}

// instanceKey identifies one process instance of a proxy.
type instanceKey struct{ node, instance string }

// instanceReport is the newest report of one process instance.
type instanceReport struct {
	sequence uint64
	final    int64
	windows  map[int64]Counts
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{reports: map[instanceKey]*instanceReport{}, newest: map[string]instanceKey{}}
}

// Take stores a report, without the windows up to the newest fixed one. It returns false, and changes nothing, for a
// report that a later one of the same instance has overtaken, or that exceeds a limit.
func (c *Collector) Take(r Report, fixed int64) bool {
	key := instanceKey{r.Node, r.Life}
	previous := c.reports[key]
	switch {
	case r.Node == "" || len(r.Windows) > maxReportWindows:
		return false
	case previous != nil && r.Sequence <= previous.sequence:
		return false
	case previous == nil && len(c.reports) >= maxInstances:
		return false
	}
	current := &instanceReport{sequence: r.Sequence, final: r.Final, windows: map[int64]Counts{}}
	for round, counts := range r.Windows {
		if len(counts) > maxReportTenants {
			return false
		}
		if round > fixed {
			current.windows[round] = counts
		}
	}
	c.reports[key], c.newest[r.Node] = current, key
	return true
}

// Sums returns the windows after the newest fixed one, in order and without gaps, added up over all process instances
// of all proxies. A window is complete if every proxy of the roster has reported its final counts.
func (c *Collector) Sums(fixed int64, roster []string) []Sum {
	c.prune(fixed, roster)
	first, last := c.windowRange(fixed)
	final := c.finalWindow(roster)
	var sums []Sum
	for round := first; round <= last && len(sums) < maxSums; round++ {
		sums = append(sums, Sum{Round: round, Counts: c.sumWindow(round), Complete: len(roster) > 0 && final >= round})
	}
	return sums
}

// prune drops fixed windows, replaced instances without windows, and instances without windows whose proxy has left the
// roster.
func (c *Collector) prune(fixed int64, roster []string) {
	inRoster := map[string]bool{}
	for _, node := range roster {
		inRoster[node] = true
	}
	for key, report := range c.reports {
		maps.DeleteFunc(report.windows, func(round int64, _ Counts) bool { return round <= fixed })
		newest := c.newest[key.node] == key
		if len(report.windows) > 0 || newest && inRoster[key.node] {
			continue
		}
		delete(c.reports, key)
		if newest {
			delete(c.newest, key.node)
		}
	}
}

// windowRange returns the first and last window to return. The first follows the newest fixed window or, if none is
// fixed, is the first with any count. The last is the newest in which any proxy has counted, or that any proxy has
// reported as final.
func (c *Collector) windowRange(fixed int64) (first, last int64) {
	var counted []int64
	for _, report := range c.reports {
		last = max(last, report.final)
		counted = slices.AppendSeq(counted, maps.Keys(report.windows))
	}
	if len(counted) > 0 {
		last = max(last, slices.Max(counted))
	}
	switch {
	case fixed > 0:
		return fixed + 1, last
	case len(counted) == 0:
		return 1, 0
	}
	return slices.Min(counted), last
}

// finalWindow returns the newest window for which all proxies of the roster have reported their final counts.
func (c *Collector) finalWindow(roster []string) int64 {
	var finals []int64
	for _, node := range roster {
		report := c.reports[c.newest[node]]
		if report == nil {
			return 0
		}
		finals = append(finals, report.final)
	}
	if len(finals) == 0 {
		return 0
	}
	return slices.Min(finals)
}

// sumWindow adds up one window over all instances.
func (c *Collector) sumWindow(round int64) Counts {
	total := Counts{}
	for _, report := range c.reports {
		for tenant, count := range report.windows[round] {
			total[tenant] += count
		}
	}
	return total
}
