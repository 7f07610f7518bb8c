package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var reportSeeds = flag.Uint64("simulation.reports", 100, "number of seeds to run with usage reporting")

// Under faults the platform receives each window once, from one holder at a time, and on time once the faults have ended.
func TestReports(t *testing.T) {
	failed := 0
	RunSeeds(0, *reportSeeds, func(seed uint64) Options { return Options{Seed: seed, Reports: true} }, func(r Result) bool {
		if r.Failure != "" {
			failed++
			t.Errorf("seed %d at %v: %s\n%v", r.Seed, r.At, r.Failure, r.Faults)
		}
		return true
	})
	t.Logf("%d seeds, %d failed", *reportSeeds, failed)
	assert.DeepEqual(t, Run(Options{Seed: 5, Reports: true}), Run(Options{Seed: 5, Reports: true}))
}

// Disabling any safeguard of usage reporting leads to a violated invariant.
func TestReportConvictions(t *testing.T) {
	cases := []struct {
		name string
		weak DisabledReportSafeguards
		says string // part of the failure of the invariant that it violates
	}{
		{"calls carry no fence", DisabledReportSafeguards{SameFence: true}, "fence 1 of"},
		{"a holder does not look at its lease", DisabledReportSafeguards{IgnoreProofAge: true}, "was appointed"},
		{"counts are not fixed before they are sent", DisabledReportSafeguards{SendUnfixedCounts: true}, "then map"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runs, first := 0, ""
			RunSeeds(0, maxSeedsPerSafeguard, func(seed uint64) Options { return Options{Seed: seed, Reports: true, ReportWeak: c.weak} },
				func(r Result) bool {
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
