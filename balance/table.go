package balance

import (
	"math"
	"sort"
)

// space is the length of [0,1) in integer positions: whole numbers, so that no rounding drifts over the changes.
const space = int64(1) << 62

// weightStep is the relative change of a listed weight below which the table stays as it is: remapped keys
// miss, so a move must be worth more than the spread that hashing leaves anyway (about a tenth).
const weightStep = 0.1

// interval is a stretch of positions from start up to the next interval's start.
type interval struct {
	start int64
	owner ServerID
}

// table is the interval table of Random Slicing: sorted, without gap or overlap, covering all of space.
type table struct {
	intervals []interval
	weights   map[ServerID]float64 // the weights it was last cut for
}

// mix is Thomas Wang's 64-bit integer mix.
func mix(key uint64) uint64 {
	key = ^key + key<<21
	key ^= key >> 24
	key = key + key<<3 + key<<8
	key ^= key >> 14
	key = key + key<<2 + key<<4
	key ^= key >> 28
	return key + key<<31
}

// lookup returns the owner of a mixed key; the table must not be empty.
func (t *table) lookup(hash uint64) ServerID {
	pos := int64(hash >> 2)
	i := sort.Search(len(t.intervals), func(i int) bool { return t.intervals[i].start > pos })
	return t.intervals[i-1].owner
}

// end returns where interval i stops.
func (t *table) end(i int) int64 {
	if i+1 < len(t.intervals) {
		return t.intervals[i+1].start
	}
	return space
}

// shares cuts space by weight, in whole positions; what rounding leaves goes to the first ids.
func shares(ids []ServerID, weights map[ServerID]float64) map[ServerID]int64 {
	total, left := 0.0, space
	for _, id := range ids {
		total += weights[id]
	}
	out := make(map[ServerID]int64, len(ids))
	for _, id := range ids {
		out[id] = int64(math.Floor(weights[id] / total * (1 << 53)))
		out[id] = min(out[id]<<9, left)
		left -= out[id]
	}
	for i := 0; left > 0; i++ {
		part := min(left, 1<<10)
		out[ids[i%len(ids)]] += part
		left -= part
	}
	return out
}

// gap is a released stretch.
type gap struct{ start, end int64 }

// change moves the table to new weights by CutShift+Sorted: owners whose share shrank, or who left, release it, and
// those who grew or came take it. Only what must move moves.
func (t *table) change(weights map[ServerID]float64) {
	ids := sortedIDs(weights)
	for i, id := range ids { // a move under the step is no change
		if old, ok := t.weights[id]; ok && math.Abs(weights[id]-old) < weightStep*old {
			weights[ids[i]] = old
		}
	}
	t.weights = weights
	if len(ids) == 0 {
		t.intervals = nil
		return
	}
	need := shares(ids, weights)
	release := map[ServerID]int64{}
	for i, iv := range t.intervals {
		release[iv.owner] += t.end(i) - iv.start
	}
	for _, id := range ids {
		both := min(need[id], release[id])
		need[id] -= both
		release[id] -= both
	}
	gaps := []gap{{0, space}}
	if len(t.intervals) > 0 {
		gaps = t.collect(release)
	}
	t.assign(gaps, ids, need)
}

// collect walks the intervals in position order and takes what is to be released: whole ones while they fit,
// the last one cut at its end or its start by turns, so that neighbouring gaps join (Algorithm 1).
func (t *table) collect(release map[ServerID]int64) (gaps []gap) {
	cutEnd := true
	kept := t.intervals[:0:0]
	for i, iv := range t.intervals {
		end, r := t.end(i), release[iv.owner]
		length := end - iv.start
		from, to := iv.start, iv.start // the part released
		adjoins := len(gaps) > 0 && gaps[len(gaps)-1].end == iv.start
		switch {
		case r == 0:
		case length <= r:
			to, cutEnd = end, false
		case adjoins: // grows the gap before it, which is no turn (so Figure 2)
			to = iv.start + r
		case !cutEnd:
			to, cutEnd = iv.start+r, true
		default:
			from, to, cutEnd = end-r, end, false
		}
		release[iv.owner] -= to - from
		if from > iv.start || to == from {
			kept = append(kept, iv)
		}
		if to > from && adjoins {
			gaps[len(gaps)-1].end = to
		} else if to > from {
			gaps = append(gaps, gap{from, to})
		}
		if to > from && to < end {
			kept = append(kept, interval{to, iv.owner})
		}
	}
	t.intervals = kept
	return gaps
}

// assign gives the largest needs the largest gaps; ties go by id and by position.
func (t *table) assign(gaps []gap, ids []ServerID, need map[ServerID]int64) {
	takers := append([]ServerID(nil), ids...)
	sort.SliceStable(takers, func(i, j int) bool { return need[takers[i]] > need[takers[j]] })
	for _, id := range takers {
		for need[id] > 0 {
			big := 0
			for i := range gaps {
				if gaps[i].end-gaps[i].start > gaps[big].end-gaps[big].start {
					big = i
				}
			}
			g := &gaps[big]
			part := min(need[id], g.end-g.start)
			t.intervals = append(t.intervals, interval{g.start, id})
			g.start += part
			need[id] -= part
		}
	}
	sort.Slice(t.intervals, func(i, j int) bool { return t.intervals[i].start < t.intervals[j].start })
	merged := t.intervals[:0]
	for _, iv := range t.intervals {
		if len(merged) == 0 || merged[len(merged)-1].owner != iv.owner {
			merged = append(merged, iv)
		}
	}
	t.intervals = merged
}

// sortedIDs returns a map's keys in order.
func sortedIDs[V any](m map[ServerID]V) []ServerID {
	ids := make([]ServerID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
