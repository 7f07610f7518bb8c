package balance

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// This file holds the interval table's data structure; table.go holds how intervals are assigned.

// interval is a range of positions from start up to the start of the next interval.
type interval struct {
	start int64
	owner ServerID
}

// gap is a range that its owner has released; end is exclusive.
type gap struct{ start, end int64 }

// table is the interval table of Random Slicing: sorted and covering all of space without gap or overlap.
// Without any cache, the empty id owns all of it.
type table struct {
	intervals []interval
	weights   map[ServerID]float64 // weights of the last rebalancing
	placement Placement            // replaces the intervals unless nil
}

// newTable returns a table without caches.
func newTable() table { return table{intervals: []interval{{0, ""}}} }

func (t *table) end(i int) int64 {
	if i+1 < len(t.intervals) {
		return t.intervals[i+1].start
	}
	return space
}

// setWeights moves the table or placement to new weights.
func (t *table) setWeights(weights map[ServerID]float64) {
	if t.placement == nil {
		t.rebalance(weights)
		return
	}
	t.weights = maps.Clone(weights)
	t.placement.SetWeights(weights)
}

// lookup returns the owner of a hashed key.
func (t *table) lookup(hash uint64) ServerID {
	if t.placement != nil {
		return t.placement.Owner(hash)
	}
	after := func(i int) bool { return t.intervals[i].start > int64(hash>>2) }
	return t.intervals[sort.Search(len(t.intervals), after)-1].owner
}

// mergeIntervals adds taken to the sorted kept intervals and joins neighbours of the same owner. The table may have
// thousands of intervals and a change only a few, so kept is not sorted again.
func mergeIntervals(kept, taken []interval) []interval {
	slices.SortFunc(taken, func(a, b interval) int { return cmp.Compare(a.start, b.start) })
	merged := make([]interval, 0, len(kept)+len(taken))
	for _, iv := range kept {
		for ; len(taken) > 0 && taken[0].start < iv.start; taken = taken[1:] {
			merged = append(merged, taken[0])
		}
		merged = append(merged, iv)
	}
	merged = append(merged, taken...)
	return slices.CompactFunc(merged, func(a, b interval) bool { return a.owner == b.owner })
}
