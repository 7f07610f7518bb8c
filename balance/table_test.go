package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// ownerShares returns each owner's share of [0,1) and checks that the table covers it without gap or overlap.
func ownerShares(t *testing.T, tab *table) map[ServerID]float64 {
	t.Helper()
	got := map[ServerID]float64{}
	if tab.intervals[0].start != 0 {
		t.Fatalf("the table begins at %d", tab.intervals[0].start)
	}
	for i, iv := range tab.intervals {
		if tab.end(i) <= iv.start {
			t.Fatalf("interval %d ends before it begins: %v", i, tab.intervals)
		}
		got[iv.owner] += float64(tab.end(i)-iv.start) / float64(space)
	}
	return got
}

func checkShares(t *testing.T, tab *table, weights map[ServerID]float64) {
	t.Helper()
	total := 0.0
	for _, w := range weights {
		total += w
	}
	got := ownerShares(t, tab)
	if len(weights) > 0 && len(got) != len(weights) {
		t.Fatalf("%d owners, want %d", len(got), len(weights))
	}
	for id, w := range weights {
		if math.Abs(got[id]-w/total) > 1e-9 {
			t.Errorf("%s has %.6f of the space, want %.6f", id, got[id], w/total)
		}
	}
}

// movedShare returns the share of the space whose owner differs between the tables.
func movedShare(a, b *table) float64 {
	n, points := 0, 1<<14
	for i := range points {
		h := uint64(i) << 50
		if a.lookup(h) != b.lookup(h) {
			n++
		}
	}
	return float64(n) / float64(points)
}

func copyTable(t *table) *table {
	return &table{intervals: append([]interval(nil), t.intervals...), weights: t.weights}
}

// The values were computed from the published steps of the hash, independently of this code.
func TestMixFollowsWangsSteps(t *testing.T) {
	for key, want := range map[uint64]uint64{0: 0x77cfa1eef01bca90, 1: 0x5bca7c69b794f8ce,
		4569004829183723: 0xfd8eda3ac78f5bcb, 18446744073709551615: 0x1f89206e3f8ec794} {
		if got := mix(key); got != want {
			t.Errorf("mix(%d) = %#x, want %#x", key, got, want)
		}
	}
}

// Figure 2 of the Random Slicing paper: two bins join three. The sizes in the figure are hundredths.
func TestCutShiftFollowsFigure2(t *testing.T) {
	at := func(hundredths int) int64 { return int64(hundredths) * (space / 100) }
	tab := &table{intervals: []interval{
		{0, "B0"}, {at(10), "B1"}, {at(20), "B2"}, {at(60), "B0"}, {at(70), "B1"}, {at(90), "B2"}}}
	need := map[ServerID]int64{"B0": -at(6), "B1": -at(11), "B2": -at(16), "B3": at(14), "B4": at(19)}
	tab.assign(tab.release(need), need)
	want := []interval{{0, "B0"}, {at(4), "B4"}, {at(23), "B3"}, {at(36), "B2"}, {at(60), "B0"},
		{at(70), "B3"}, {at(71), "B1"}, {at(90), "B2"}}
	if len(tab.intervals) != len(want) {
		t.Fatalf("got %v\nwant %v", tab.intervals, want)
	}
	for i := range want {
		if d := tab.intervals[i].start - want[i].start; tab.intervals[i].owner != want[i].owner || d > 99 || d < -99 {
			t.Errorf("interval %d: got %v, want %v", i, tab.intervals[i], want[i])
		}
	}
}

func TestOnlyNecessaryKeysMove(t *testing.T) {
	for _, c := range []struct {
		name string
		to   map[ServerID]float64
		max  float64
	}{
		{"add one", map[ServerID]float64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}, 1.0 / 5},
		{"remove one", map[ServerID]float64{"a": 1, "b": 1, "c": 1}, 1.0 / 4},
		{"reweight", map[ServerID]float64{"a": 2, "b": 1, "c": 1, "d": 1}, 0.4 - 0.25},
		{"under the step", map[ServerID]float64{"a": 1.05, "b": 1, "c": 0.95, "d": 1}, 0},
		{"replace two", map[ServerID]float64{"a": 1, "b": 1, "e": 1, "f": 1}, 0.5},
		{"nothing", map[ServerID]float64{"a": 1, "b": 1, "c": 1, "d": 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tab := newTable()
			tab.setWeights(map[ServerID]float64{"a": 1, "b": 1, "c": 1, "d": 1})
			old := copyTable(&tab)
			tab.setWeights(c.to)
			if got := movedShare(old, &tab); got > c.max+0.001 {
				t.Errorf("%.4f of the space moved, want %.4f at most", got, c.max)
			}
			checkShares(t, &tab, c.to)
		})
	}
}

func TestTableWithoutCaches(t *testing.T) {
	tab := newTable()
	tab.setWeights(map[ServerID]float64{})
	if got := tab.lookup(1 << 63); got != "" {
		t.Errorf("owner %q of an empty table", got)
	}
	tab.setWeights(map[ServerID]float64{"a": 3})
	checkShares(t, &tab, map[ServerID]float64{"a": 3})
	tab.setWeights(map[ServerID]float64{})
	ownerShares(t, &tab)
}

// FuzzTable applies random weight changes and checks coverage and shares after each. The seeds are fixed for CI.
func FuzzTable(f *testing.F) {
	for seed := range uint64(50) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tab := newTable()
		for range 40 {
			weights := map[ServerID]float64{}
			for i := range 1 + rng.IntN(20) {
				if rng.IntN(3) > 0 {
					weights[ServerID(fmt.Sprintf("s%02d", i))] = float64(1 + rng.IntN(4))
				}
			}
			tab.setWeights(weights)
			checkShares(t, &tab, weights)
		}
	})
}
