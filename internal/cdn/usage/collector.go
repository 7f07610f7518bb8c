package usage

import (
	"maps"
	"slices"
)

const (
	mostLives         = 8192 // of proxies, whose reports are kept
	mostReportWindows = 1024 // that one report may name
	mostSums          = 1024 // windows that are told at once
	mostReportTenants = 16384
)

// Collector keeps what proxies have reported of windows that are not fixed yet, at the holder of the duty. It belongs to one goroutine.
type Collector struct {
	lives  map[lifeKey]*life
	newest map[string]lifeKey // by node: the life that was heard last
}

// lifeKey names one life of a proxy.
type lifeKey struct{ node, life string }

// life is the newest report of one life.
type life struct {
	sequence uint64
	final    int64
	windows  map[int64]Counts
}

// NewCollector returns a collector that has heard nobody.
func NewCollector() *Collector {
	return &Collector{lives: map[lifeKey]*life{}, newest: map[string]lifeKey{}}
}

// Take keeps a report, without the windows up to the newest fixed one. It tells whether it was new: one that was overtaken by a later
// one of the same life, or for which there is no room, changes nothing.
func (c *Collector) Take(r Report, fixed int64) bool {
	key := lifeKey{r.Node, r.Life}
	held := c.lives[key]
	switch {
	case r.Node == "" || len(r.Windows) > mostReportWindows:
		return false
	case held != nil && r.Sequence <= held.sequence:
		return false
	case held == nil && len(c.lives) >= mostLives:
		return false
	}
	now := &life{sequence: r.Sequence, final: r.Final, windows: map[int64]Counts{}}
	for round, counts := range r.Windows {
		if len(counts) > mostReportTenants {
			return false
		}
		if round > fixed {
			now.windows[round] = counts
		}
	}
	c.lives[key], c.newest[r.Node] = now, key
	return true
}

// Sums returns the windows above the newest fixed one, in their order and without a gap, over all lives of all proxies. Complete are those
// whose final counts every proxy of the roster has told.
func (c *Collector) Sums(fixed int64, roster []string) []Sum {
	c.forget(fixed, roster)
	first, last := c.span(fixed)
	final := c.final(roster)
	var sums []Sum
	for round := first; round <= last && len(sums) < mostSums; round++ {
		sums = append(sums, Sum{Round: round, Counts: c.sum(round), Complete: len(roster) > 0 && final >= round})
	}
	return sums
}

// forget lets go of windows that are fixed, of replaced lives of which nothing is left, and of proxies that have gone.
func (c *Collector) forget(fixed int64, roster []string) {
	here := map[string]bool{}
	for _, node := range roster {
		here[node] = true
	}
	for key, l := range c.lives {
		maps.DeleteFunc(l.windows, func(round int64, _ Counts) bool { return round <= fixed })
		newest := c.newest[key.node] == key
		if len(l.windows) > 0 || newest && here[key.node] {
			continue
		}
		delete(c.lives, key)
		if newest {
			delete(c.newest, key.node)
		}
	}
}

// span is the first window to be told and the last: from the one after the newest fixed one, or where none is fixed from the first one
// in which anything was counted, to the newest that any proxy has counted in or told to be over.
func (c *Collector) span(fixed int64) (first, last int64) {
	var counted []int64
	for _, l := range c.lives {
		last = max(last, l.final)
		counted = slices.AppendSeq(counted, maps.Keys(l.windows))
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

// final is the newest window whose final counts all proxies of the roster have told.
func (c *Collector) final(roster []string) int64 {
	var all []int64
	for _, node := range roster {
		l := c.lives[c.newest[node]]
		if l == nil {
			return 0
		}
		all = append(all, l.final)
	}
	if len(all) == 0 {
		return 0
	}
	return slices.Min(all)
}

// sum adds one window up.
func (c *Collector) sum(round int64) Counts {
	total := Counts{}
	for _, l := range c.lives {
		for tenant, count := range l.windows[round] {
			total[tenant] += count
		}
	}
	return total
}
