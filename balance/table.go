package balance

import (
	"maps"
	"math"
	"sort"
)

// space is the length of [0,1) in integer positions, so that rounding errors do not add up over the changes.
const space = int64(1) << 62

// minWeightChange is relative; smaller changes are ignored: a moved key misses, and hashing is as uneven.
const minWeightChange = 0.1

// mix is Thomas Wang's 64-bit integer hash.
func mix(key uint64) uint64 {
	key = ^key + key<<21
	key ^= key >> 24
	key += key<<3 + key<<8
	key ^= key >> 14
	key += key<<2 + key<<4
	key ^= key >> 28
	return key + key<<31
}

// rebalance moves the table to new weights by CutShift+Sorted: owners whose share shrank, or that left,
// release their excess, and those that grew or joined take it. No other position changes its owner.
func (t *table) rebalance(weights map[ServerID]float64) {
	ids, total, need := sortedIDs(weights), 0.0, map[ServerID]int64{"": space}
	for _, id := range ids {
		if old, ok := t.weights[id]; ok && math.Abs(weights[id]-old) < minWeightChange*old {
			weights[id] = old
		}
		total += weights[id]
	}
	if maps.Equal(weights, t.weights) {
		return
	}
	for _, id := range ids {
		need[id] = int64(weights[id]/total*(1<<40)) << 22
		need[""] -= need[id]
	}
	if len(ids) > 0 { // the remainder from rounding
		need[ids[0]], need[""] = need[ids[0]]+need[""], 0
	}
	for i, iv := range t.intervals {
		need[iv.owner] -= t.end(i) - iv.start
	}
	t.weights = maps.Clone(weights) // the caller may change its map
	t.assign(t.release(need), need)
}

// release collects gaps in position order (Algorithm 1): whole intervals while they fit, the last one cut at
// its end and its start by turns. A cut right after a gap extends it and is no turn (Figure 2 of the paper).
func (t *table) release(need map[ServerID]int64) (gaps []gap) {
	var kept []interval
	cutEnd := true
	for i, iv := range t.intervals {
		end, excess := t.end(i), max(-need[iv.owner], 0)
		from, to := iv.start, min(iv.start+excess, end)
		adjoins := len(gaps) > 0 && gaps[len(gaps)-1].end == iv.start
		if to == end {
			cutEnd = false
		} else if excess > 0 && !adjoins {
			if cutEnd {
				from, to = end-excess, end
			}
			cutEnd = !cutEnd
		}
		need[iv.owner] += to - from
		if from > iv.start {
			kept = append(kept, iv)
		}
		if to < end {
			kept = append(kept, interval{to, iv.owner})
		}
		if to > from && adjoins {
			gaps[len(gaps)-1].end = to
		} else if to > from {
			gaps = append(gaps, gap{from, to})
		}
	}
	t.intervals = kept
	return gaps
}

// assign gives the owners with the largest needs the largest gaps; ties go by id and by position.
func (t *table) assign(gaps []gap, need map[ServerID]int64) {
	var assigned []interval
	owners := sortedIDs(need)
	sort.SliceStable(owners, func(i, j int) bool { return need[owners[i]] > need[owners[j]] })
	for _, id := range owners {
		for need[id] > 0 {
			largest := &gaps[0]
			for i := range gaps {
				if gaps[i].end-gaps[i].start > largest.end-largest.start {
					largest = &gaps[i]
				}
			}
			size := min(need[id], largest.end-largest.start)
			assigned = append(assigned, interval{largest.start, id})
			largest.start += size
			need[id] -= size
		}
	}
	t.intervals = mergeIntervals(t.intervals, assigned)
}
