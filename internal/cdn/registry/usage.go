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

// This file is the duty to report the tenants' usage: it carries out what a usage.Reporter decides, one step after the other.

const (
	usageLookEvery = 250 * time.Millisecond // for a change of the duty
	usageLeastWait = 10 * time.Millisecond
	usageSourceOwn = "core" // whichever core machine answers tells the time of all of them
)

// usageDuty is a registry's part in the duty.
type usageDuty struct {
	registry *Registry
	reporter *usage.Reporter // the loop's
	platform platformClient
	proof    func() time.Time // of the copy: statesync.Replica.Proof
	clock    *truetime.Clock
	calls    *prometheus.CounterVec
	backlog  prometheus.Gauge
}

func newUsageDuty(w *Registry) *usageDuty {
	p := w.set.Platform
	return &usageDuty{registry: w, proof: w.replica.Proof, clock: truetime.New(time.Now(), false),
		reporter: usage.NewReporter(usage.Timetable{Window: p.ReportWindow, Delay: p.UsageDelay, Lease: p.Lease, DutyPerS: p.DutyPerS}),
		platform: platformClient{address: p.Address, holder: w.set.Node, within: min(p.Lease, longestCall)},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cedarmast_usage_calls_total",
			Help: "Calls of the platform with a window's usage, by outcome."}, []string{"outcome"}),
		backlog: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cedarmast_usage_backlog",
			Help: "Report windows that are fixed and not known to be taken by the platform."})}
}

// hear takes what time it is for the core machines. They have compared their clocks, so the newest word of any one is enough.
func (d *usageDuty) hear(_ string, wall, _, answered time.Time) {
	d.clock.Hear(usageSourceOwn, wall, answered)
}

// run does what is to be done while the duty is held here, until the context ends.
func (d *usageDuty) run(ctx context.Context) {
	state := d.reporter.State()
	for ctx.Err() == nil {
		wait := d.turn(ctx)
		if now := d.reporter.State(); now != state && (now == usage.NotHolder || now == usage.Fenced || state == usage.NotHolder) {
			d.registry.log.Info("usage duty", "state", now.String())
			state = now
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// turn carries out one step and returns how long to wait before the next one.
func (d *usageDuty) turn(ctx context.Context) time.Duration {
	view := d.look()
	d.backlog.Set(float64(len(view.Ledger.Pending)))
	if d.clock.Heard() && d.reporter.NeedsSums(view) { // by its own clock alone it would not know which windows have ended
		d.readSums(ctx, &view)
	}
	switch step := d.reporter.Next(view); step.Kind {
	case usage.Fix:
		d.fix(ctx, step)
	case usage.Send:
		d.send(ctx, step)
	case usage.Note:
		done := d.propose(ctx, clusterstate.Command{Epoch: step.Fence, UsageTaken: step.Report.Round})
		d.reporter.Noted(time.Now(), step.Fence, done)
	default:
		return min(max(time.Until(step.Until), usageLeastWait), usageLookEvery)
	}
	return usageLeastWait
}

// look reads what is known here. The proof comes first: the copy that is read after it holds at least as much.
func (d *usageDuty) look() (v usage.View) {
	v.Proof = d.proof()
	d.registry.replica.Read(func(s *clusterstate.State) {
		if s.Duty.Holder == d.registry.set.IP {
			v.Epoch = s.Duty.Epoch
		}
		v.Ledger = s.Usage
	})
	v.Now = time.Now()
	v.True = d.clock.Now(v.Now)
	return v
}

// readSums asks the machine's config store, which proxies report to while the duty is held here.
func (d *usageDuty) readSums(ctx context.Context, v *usage.View) {
	call, done := context.WithTimeout(ctx, readWithin)
	defer done()
	sums, err := peerrpc.Call[bool, []usage.Sum](call, d.registry.store, "ConfigStore.UsageSums", new(bool))
	if err != nil {
		d.registry.log.Debug("usage not read", "err", err)
		return
	}
	v.Sums, v.Summed = sums, true
}

// propose brings a command of the duty into the log and tells whether it is there.
func (d *usageDuty) propose(ctx context.Context, c clusterstate.Command) bool {
	out, err := d.registry.propose(ctx, c, beatWithin)
	if err != nil || out.Status != clusterstate.Done {
		d.registry.log.Warn("usage not written down", "kind", c.Kind(), "epoch", c.Epoch, "status", out.Status, "why", out.Text, "err", err)
		return false
	}
	return true
}

func (d *usageDuty) fix(ctx context.Context, step usage.Step) {
	done := d.propose(ctx, clusterstate.Command{Epoch: step.Fence, FixUsage: &step.Report})
	if done {
		d.registry.log.Info("usage fixed", "window", step.Report.Round, "tenants", len(step.Report.Counts), "epoch", step.Fence)
	}
	d.reporter.Fixed(time.Now(), step.Fence, done)
}

func (d *usageDuty) send(ctx context.Context, step usage.Step) {
	answer := d.platform.report(ctx, step, func() bool {
		v := d.look()
		return d.reporter.MaySend(v.Now, v.Epoch, v.Proof)
	})
	d.calls.WithLabelValues(answer.outcome.String()).Inc()
	level := d.registry.log.Warn
	if answer.outcome == usage.Accepted {
		level = d.registry.log.Info
	}
	level("usage sent", "window", step.Report.Round, "outcome", answer.outcome.String(), "fence", step.Fence, "err", answer.err)
	d.reporter.Sent(time.Now(), step.Fence, answer.outcome, answer.retryAfter)
}
