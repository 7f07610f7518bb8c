package registry

import (
	"context"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/truetime"
	"cedarmast/internal/cdn/usage"

	"github.com/prometheus/client_golang/prometheus"
)

// This file contains the usage reporting of the duty holder: it carries out the steps that a usage.Reporter decides,
// one at a time.

const (
	usagePollInterval = 250 * time.Millisecond // longest wait before the duty is checked for a change
	usageMinWait      = 10 * time.Millisecond  // between two steps
	coreClockSource   = "core"                 // one clock source for all core machines: their clocks are synchronized
)

// usageDuty reports the tenants' usage while this registry holds the duty.
type usageDuty struct {
	registry       *Registry
	reporter       *usage.Reporter // used only by the run loop
	platform       platformClient
	provenAt       func() time.Time // statesync.Replica.Proof: the replica holds everything acknowledged by this time
	clock          *truetime.Clock
	callsByOutcome *prometheus.CounterVec
	backlog        prometheus.Gauge
}

// newUsageDuty returns the usage duty of a registry. The platform settings must be present.
func newUsageDuty(reg *Registry) *usageDuty {
	p := reg.settings.Platform
	return &usageDuty{registry: reg, provenAt: reg.replica.Proof, clock: truetime.New(time.Now(), false),
		reporter: usage.NewReporter(usage.Timing{Window: p.ReportWindow, Delay: p.UsageDelay, Lease: p.DutyLease, DutyPerS: p.DutyPerS}),
		platform: platformClient{address: p.Address, holder: reg.settings.Node, timeout: min(p.DutyLease, maxCallTimeout)},
		callsByOutcome: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cedarmast_usage_calls_total",
			Help: "Calls of the platform with a window's usage, by outcome."}, []string{"outcome"}),
		backlog: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cedarmast_usage_backlog",
			Help: "Report windows that are fixed and not known to be taken by the platform."})}
}

// onTimeOfDay records the time of day that a core machine reported. Core machines synchronize their clocks with one
// another, so the newest reading of any of them is enough.
func (d *usageDuty) onTimeOfDay(_ string, wall, _, answered time.Time) {
	d.clock.SetReading(coreClockSource, wall, answered)
}

// run performs the usage duty until ctx is cancelled.
func (d *usageDuty) run(ctx context.Context) {
	state := d.reporter.State()
	for ctx.Err() == nil {
		wait := d.runStep(ctx)
		if current := d.reporter.State(); current != state && (current == usage.NotHolder || current == usage.Fenced || state == usage.NotHolder) {
			d.registry.log.Info("usage duty", "state", current.String())
			state = current
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// runStep carries out one step and returns how long to wait before the next one.
func (d *usageDuty) runStep(ctx context.Context) time.Duration {
	view := d.readView()
	d.backlog.Set(float64(len(view.Ledger.Pending)))
	if d.clock.HasReadings() && d.reporter.NeedsSums(view) { // the local clock alone cannot tell which windows have ended
		d.readSums(ctx, &view)
	}
	switch step := d.reporter.Next(view); step.Kind {
	case usage.Fix:
		d.fixCounts(ctx, step)
	case usage.Send:
		d.sendReport(ctx, step)
	case usage.RecordAccepted:
		done := d.propose(ctx, clusterstate.Command{Epoch: step.Fence, UsageTaken: step.Report.Round})
		d.reporter.Recorded(time.Now(), step.Fence, done)
	default:
		return min(max(time.Until(step.Until), usageMinWait), usagePollInterval)
	}
	return usageMinWait
}

// readView reads the current view. It reads the proof before the replica, so that the replica holds at least what the
// proof covers.
func (d *usageDuty) readView() (v usage.View) {
	v.Proof = d.provenAt()
	d.registry.replica.View(func(s *clusterstate.State) {
		if s.Duty.Holder == d.registry.settings.IP {
			v.Epoch = s.Duty.Epoch
		}
		v.Ledger = s.Usage
	})
	v.Now = time.Now()
	v.True = d.clock.Now(v.Now)
	return v
}

// readSums reads the usage sums from the machine's config store, to which the proxies report while this registry holds
// the duty.
func (d *usageDuty) readSums(ctx context.Context, v *usage.View) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sums, err := peerrpc.Call[bool, []usage.Sum](callCtx, d.registry.store, "ConfigStore.UsageSums", new(bool))
	if err != nil {
		d.registry.log.Debug("cannot read usage sums", "err", err)
		return
	}
	v.Sums, v.Summed = sums, true
}

// propose proposes a command of the usage duty and reports whether it is known to be committed.
func (d *usageDuty) propose(ctx context.Context, command clusterstate.Command) bool {
	out, err := d.registry.propose(ctx, command, commitTimeout)
	if err != nil || out.Status != clusterstate.StatusOK {
		d.registry.log.Warn("usage command not known to be committed", "kind", command.Kind(), "epoch", command.Epoch,
			"status", out.Status, "why", out.Text, "err", err)
		return false
	}
	return true
}

// fixCounts proposes the final counts of a window.
func (d *usageDuty) fixCounts(ctx context.Context, step usage.Step) {
	done := d.propose(ctx, clusterstate.Command{Epoch: step.Fence, FixUsage: &step.Report})
	if done {
		d.registry.log.Info("usage counts committed", "window", step.Report.Round, "tenants", len(step.Report.Counts), "epoch", step.Fence)
	}
	d.reporter.Fixed(time.Now(), step.Fence, done)
}

// sendReport sends a window's report to the platform and records the outcome.
func (d *usageDuty) sendReport(ctx context.Context, step usage.Step) {
	answer := d.platform.sendReport(ctx, step, func() bool {
		v := d.readView()
		return d.reporter.MaySend(v.Now, v.Epoch, v.Proof)
	})
	d.callsByOutcome.WithLabelValues(answer.outcome.String()).Inc()
	level := d.registry.log.Warn
	if answer.outcome == usage.Accepted {
		level = d.registry.log.Info
	}
	level("usage report call finished", "window", step.Report.Round, "outcome", answer.outcome.String(), "fence", step.Fence, "err", answer.err)
	d.reporter.Sent(time.Now(), step.Fence, answer.outcome, answer.retryAfter)
}
