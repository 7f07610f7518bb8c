package usage

import (
	"testing"

	"gotest.tools/v3/assert"
)

func report(node, life string, sequence uint64, final int64, windows map[int64]Counts) Report {
	return Report{Node: node, Life: life, Sequence: sequence, Final: final, Windows: windows}
}

// Reports are cumulative: a lost, repeated or overtaken report must change nothing, and a replaced process instance
// must keep its counts.
func TestCollector(t *testing.T) {
	roster := []string{"p", "q"}
	cases := []struct {
		name    string
		fixed   int64
		reports []Report
		sums    []Sum
	}{
		{"no reports", 0, nil, nil},
		{"reports without counts", 0, []Report{report("p", "1", 1, 7, nil), report("q", "1", 1, 7, nil)}, nil},
		{"a proxy that never reports", 0, []Report{report("p", "1", 1, 9, map[int64]Counts{9: {"a": 2}})}, []Sum{{9, Counts{"a": 2}, false}}},
		{"two proxies", 8, []Report{report("p", "1", 1, 9, map[int64]Counts{9: {"a": 2}}), report("q", "1", 1, 9, map[int64]Counts{9: {"a": 1, "b": 5}})},
			[]Sum{{9, Counts{"a": 3, "b": 5}, true}}},
		{"a lost report", 8, []Report{report("p", "1", 5, 9, map[int64]Counts{9: {"a": 6}}), report("q", "1", 1, 9, nil)}, []Sum{{9, Counts{"a": 6}, true}}},
		{"repeated and overtaken", 8, []Report{report("p", "1", 5, 9, map[int64]Counts{9: {"a": 6}}), report("p", "1", 5, 9, map[int64]Counts{9: {"a": 6}}),
			report("p", "1", 4, 8, map[int64]Counts{9: {"a": 3}}), report("q", "1", 1, 9, nil)}, []Sum{{9, Counts{"a": 6}, true}}},
		{"a restart within a window", 8, []Report{report("p", "1", 5, 8, map[int64]Counts{9: {"a": 6}}), report("q", "1", 1, 9, nil),
			report("p", "2", 1, 8, map[int64]Counts{9: {"a": 1}})}, []Sum{{9, Counts{"a": 7}, false}}},
		{"a restart, and the final counts of the new instance", 8, []Report{report("p", "1", 5, 8, map[int64]Counts{9: {"a": 6}}), report("q", "1", 1, 9, nil),
			report("p", "2", 2, 9, map[int64]Counts{9: {"a": 1}})}, []Sum{{9, Counts{"a": 7}, true}}},
		{"a late report of the replaced instance", 8, []Report{report("q", "1", 1, 9, nil), report("p", "2", 1, 8, nil), report("p", "1", 5, 8, map[int64]Counts{9: {"a": 6}}),
			report("p", "2", 2, 9, nil)}, []Sum{{9, Counts{"a": 6}, true}}},
		{"fixed windows", 9, []Report{report("p", "1", 1, 10, map[int64]Counts{8: {"a": 1}, 9: {"a": 2}}), report("q", "1", 1, 9, nil)}, []Sum{{10, Counts{}, false}}},
		{"a gap", 8, []Report{report("p", "1", 1, 11, map[int64]Counts{9: {"a": 1}, 11: {"a": 2}}), report("q", "1", 1, 11, nil)},
			[]Sum{{9, Counts{"a": 1}, true}, {10, Counts{}, true}, {11, Counts{"a": 2}, true}}},
		{"a proxy that left the roster keeps its counts", 8, []Report{report("p", "1", 1, 9, nil), report("q", "1", 1, 9, nil), report("gone", "1", 1, 8, map[int64]Counts{9: {"a": 4}})},
			[]Sum{{9, Counts{"a": 4}, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			collector := NewCollector()
			for _, r := range c.reports {
				collector.Take(r, c.fixed)
			}
			assert.DeepEqual(t, collector.Sums(c.fixed, roster), c.sums)
		})
	}
}

// The collector must drop what is fixed, replaced or gone, and keep at most maxInstances instances.
func TestCollectorIsBounded(t *testing.T) {
	c := NewCollector()
	for i := range maxInstances + 10 {
		c.Take(report("p", string(rune(i+0x4e00)), 1, 1, map[int64]Counts{1: {"a": 1}}), 0)
	}
	assert.Equal(t, len(c.reports), maxInstances)
	c.Take(report("p", string(rune(0x4e00)), 2, 1, map[int64]Counts{1: {"a": 1}, 2: {"a": 1}}), 1)
	assert.Equal(t, len(c.reports[instanceKey{"p", string(rune(0x4e00))}].windows), 1)
	c.Sums(2, []string{"p"})
	assert.Equal(t, len(c.reports), 1)
	c.Sums(1, nil)
	assert.Equal(t, len(c.reports), 0)
	assert.Equal(t, len(c.newest), 0)
}
