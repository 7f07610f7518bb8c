package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var reportSeeds = flag.Uint64("simulation.reports", 100, "how many seeds of the duty are played")

// Whatever goes wrong, the platform is told each window once, by one holder at a time, and on time once all is calm.
func TestReports(t *testing.T) {
	failed := 0
	Play(0, *reportSeeds, func(seed uint64) Options { return Options{Seed: seed, Reports: true} }, func(r Result) bool {
		if r.Failure != "" {
			failed++
			t.Errorf("seed %d at %v: %s\n%v", r.Seed, r.At, r.Failure, r.Faults)
		}
		return true
	})
	t.Logf("%d seeds, %d failed", *reportSeeds, failed)
	assert.DeepEqual(t, Run(Options{Seed: 5, Reports: true}), Run(Options{Seed: 5, Reports: true}))
}

// Each guard of the duty, taken out, is found.
func TestReportConvictions(t *testing.T) {
	cases := []struct {
		name string
		weak ReportWeaknesses
		says string // of the rule that it breaks
	}{
		{"calls carry no fence", ReportWeaknesses{SameFence: true}, "fence 1 of"},
		{"a holder does not look at its lease", ReportWeaknesses{NoLook: true}, "was appointed"},
		{"counts are not fixed before they are sent", ReportWeaknesses{Unfixed: true}, "then map"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runs, first := 0, ""
			Play(0, mostForConviction, func(seed uint64) Options { return Options{Seed: seed, Reports: true, ReportWeak: c.weak} }, func(r Result) bool {
				runs++
				if strings.Contains(r.Failure, c.says) {
					first = fmt.Sprintf("seed %d: %.200s", r.Seed, r.Failure)
				}
				return first == ""
			})
			assert.Assert(t, first != "", "not found in %d seeds", runs)
			t.Logf("after %d seeds: %s", runs, first)
		})
	}
}
