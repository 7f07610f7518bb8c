// Package harness lets tests start several router processes on a rig and inject faults between them. The injected faults are the same
// in every run; the timing of the processes is not.
package harness

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
)

// BaseScenario is a small fleet: eight routers at two sites, twelve nodes, a run of fourteen seconds of which the first five have no faults.
const BaseScenario = `
name = "harness"
base = "calm"
warm_up = "3s"
length = "14s"
short = "14s"
rate = 120
[keys]
count = 1500
zipf = 1.0
[database]
workers = 16
[[site]]
name = "north"
nodes = 7
routers = 5
share = 0.6
[[site]]
name = "south"
nodes = 5
routers = 3
share = 0.4
[discovery]
lag = ["200ms", "600ms"]
silent_lag = ["1s", "2s"]
[expect]
score = 0.3
`

// Fleet is the configuration of a run.
type Fleet struct {
	Router       []string // the router's command line
	Env          []string // additional environment variables of the routers
	ScenarioText string   // scenario text appended to Base: its troubles
	Overrides    []string // key=value, overrides both
	Drive        func(c *rig.Control)
}

// runSlots bounds the concurrent runs: with more processes than the cores can carry, runs are late and give no verdict.
var runSlots = make(chan struct{}, max(runtime.NumCPU()*3/8, 1))

// Run runs the fleet and returns the report. It fails the test if the run fails, and skips it if the machine was too slow for a
// verdict.
func (f Fleet) Run(t testing.TB) *ledger.Report {
	t.Helper()
	s, err := scenario.Parse("harness", []byte(BaseScenario+f.ScenarioText), f.Overrides...)
	if err != nil {
		t.Fatal(err)
	}
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	report, err := rig.Run(t.Context(), s, rig.Options{Seed: 1, Router: f.Router, Env: f.Env, Drive: f.Drive})
	if errors.Is(err, rig.ErrHostTooSlow) {
		t.Skipf("%v: %.1f ms", err, report.HostLateMS)
	}
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// EarnedFraction returns the fraction of the worth that was earned in the seconds from..to of a run.
func EarnedFraction(r *ledger.Report, from, to time.Duration) float64 {
	var asked, earned float64
	for _, s := range r.Seconds[int(from/time.Second):int(to/time.Second)] {
		asked, earned = asked+s.Asked, earned+s.Earned
	}
	return earned / max(asked, 1e-9)
}
