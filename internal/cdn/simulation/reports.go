package simulation

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/usage"
)

// This file simulates the reporting of the tenants' usage: proxies that count requests, the duty holder's usage.Reporter and
// usage.Collector as they are deployed, and a platform that checks the reports.

const (
	reportWindow        = 4 * time.Second
	reportDelay         = 10 * time.Second
	reportLease         = 2 * time.Second
	reportDutyPerS      = 40
	reportStepInterval  = 20 * time.Millisecond
	proofInterval       = 100 * time.Millisecond
	reportQuietPeriod   = 16 * time.Second // time for two appointments with a lease each, and for a backlog
	reportsEnd          = faultsEnd + reportQuietPeriod - time.Second
	platformCallTimeout = reportLease / 2
	collectTime         = 2 * time.Second // after its start a config store gives no sums until proxies have had time to report
	countInterval       = 70 * time.Millisecond
	usageReportInterval = 500 * time.Millisecond
	maxReportDelay      = 6 * time.Second // from a window's end to its report, while there are no faults
	leaseSlack          = 100 * time.Millisecond
	platformAddress     = "platform"
	unansweredPercent   = 10 // of the calls, which the platform accepts without an answer
	busyPercent         = 5  // of the calls, which the platform answers with usage.Busy
	countedTenants      = 3
)

// DisabledReportSafeguards disables safeguards of usage reporting, one for each field, for tests.
type DisabledReportSafeguards struct {
	SameFence         bool // calls of all holders carry the same fencing token
	IgnoreProofAge    bool // a holder treats its replica as current without a freshness proof
	SendUnfixedCounts bool // a holder sends the counts that it has collected instead of those fixed in the log
}

// reports is the platform's and the simulation's view of the tenants' usage.
type reports struct {
	platform     *localnet.Platform
	counted      map[int64]usage.Counts // all requests, by window and tenant
	appointments []appointment
	platformDown bool // the platform drops all calls
}

// appointment is the time at which a machine first committed an entry that appoints a duty holder.
type appointment struct {
	epoch uint64
	at    time.Time
}

func (w *world) startReports() {
	if !w.options.Reports {
		return
	}
	w.reports = reports{platform: localnet.NewPlatform(reportLease), counted: map[int64]usage.Counts{}}
	for i := range w.copies {
		p := &countingProxy{w: w, stateCopy: w.copies[i], windows: map[int64]usage.Counts{}}
		w.after(time.Second, p.count)
		w.after(time.Second, p.reportUsage)
	}
	w.after(faultsStart, w.togglePlatform)
}

// togglePlatform takes the platform down and up again at random times until the faults end.
func (w *world) togglePlatform() {
	w.reports.platformDown = !w.reports.platformDown && w.since() < faultsEnd
	if w.since() < faultsEnd {
		w.after(min(w.randomDuration(time.Second, 6*time.Second), faultsEnd-w.since()), w.togglePlatform)
	}
}

// countingProxy counts requests, as a proxy does, and reports the counts to the duty holder.
type countingProxy struct {
	w         *world
	stateCopy *stateCopy
	sequence  uint64
	windows   map[int64]usage.Counts
}

// count counts one request of a random tenant and repeats.
func (p *countingProxy) count() {
	round := usage.RoundOf(p.w.now, reportWindow)
	tenant := fmt.Sprint("tenant-", p.w.rng.IntN(countedTenants))
	for _, all := range []map[int64]usage.Counts{p.windows, p.w.reports.counted} {
		if all[round] == nil {
			all[round] = usage.Counts{}
		}
		all[round][tenant]++
	}
	p.w.after(countInterval, p.count)
}

// reportUsage sends the counts of the windows that are not fixed yet to the duty holder, both according to the proxy's replica, and
// repeats.
func (p *countingProxy) reportUsage() {
	w := p.w
	w.after(usageReportInterval, p.reportUsage)
	var fixed int64
	var holder string
	p.stateCopy.replica.View(func(s *clusterstate.State) { fixed, holder = s.Usage.Fixed, s.Duty.Holder })
	if w.options.ReportWeak.SendUnfixedCounts {
		fixed = 0
	}
	maps.DeleteFunc(p.windows, func(round int64, _ usage.Counts) bool { return round <= fixed })
	p.sequence++
	report := usage.Report{Node: p.stateCopy.address, Life: "1", Sequence: p.sequence, Final: usage.RoundOf(w.now, reportWindow) - 1, Windows: map[int64]usage.Counts{}}
	for round, counts := range p.windows {
		report.Windows[round] = maps.Clone(counts)
	}
	for _, h := range w.hosts {
		if ipOf(h.index) == holder {
			w.deliver(p.stateCopy.address, h.address, func() { h.receiveUsage(report) })
		}
	}
}

// receiveUsage passes a proxy's report to the process's collector.
func (h *host) receiveUsage(r usage.Report) {
	if h.machine != nil && h.reporting != nil {
		h.reporting.collector.Take(r, h.reporting.fixed())
	}
}

// fixed returns the newest window whose counts are fixed in the machine's state.
func (r *reporting) fixed() (round int64) {
	if !r.h.w.options.ReportWeak.SendUnfixedCounts {
		readState(r.h.machine, func(s *clusterstate.State) { round = s.Usage.Fixed })
	}
	return round
}

// reporting is the usage reporting of one process.
type reporting struct {
	h           *host
	incarnation int
	started     time.Time
	collector   *usage.Collector
	reporter    *usage.Reporter
	proof       time.Time
}

func (h *host) startReporting() {
	h.reporting = nil
	if !h.w.options.Reports {
		return
	}
	h.reporting = &reporting{h: h, incarnation: h.incarnation, started: h.w.now, collector: usage.NewCollector(),
		reporter: usage.NewReporter(usage.Timing{Window: reportWindow, Delay: reportDelay, Lease: reportLease, DutyPerS: reportDutyPerS})}
	h.reporting.step()
	h.reporting.proofLoop()
}

// runWhenUp runs do at once or, if the process is frozen, when it is thawed; never, if the process has ended.
func (r *reporting) runWhenUp(do func()) {
	switch {
	case r.h.machine == nil || r.h.incarnation != r.incarnation:
	case r.h.frozen:
		r.h.deferred = append(r.h.deferred, func() { r.runWhenUp(do) })
	default:
		do()
	}
}

// step carries out the reporter's next step and repeats.
func (r *reporting) step() {
	r.runWhenUp(func() {
		w := r.h.w
		if w.since() > reportsEnd {
			return
		}
		w.after(reportStepInterval, r.step)
		switch step := r.reporter.Next(r.view()); step.Kind {
		case usage.Fix:
			r.propose(clusterstate.Command{Epoch: step.Fence, FixUsage: &step.Report}, func(done bool) { r.reporter.Fixed(w.now, step.Fence, done) })
		case usage.RecordAccepted:
			r.propose(clusterstate.Command{Epoch: step.Fence, UsageTaken: step.Report.Round},
				func(done bool) { r.reporter.Recorded(w.now, step.Fence, done) })
		case usage.Send:
			r.connectAndSend(step)
		}
	})
}

// proofLoop renews the freshness proof periodically.
func (r *reporting) proofLoop() {
	r.runWhenUp(func() {
		if r.h.w.since() <= reportsEnd {
			r.h.w.after(proofInterval, r.proofLoop)
			r.prove()
		}
	})
}

// prove requests a read barrier and renews the freshness proof once the machine has applied the entries up to it.
func (r *reporting) prove() {
	w, started := r.h.w, r.h.w.now
	w.readBarrierAt(r.h, func(index uint64, ok bool) {
		if ok {
			w.whenApplied(r.h, index, func() { r.runWhenUp(func() { r.proof = laterOf(r.proof, started) }) })
		}
	})
}

// view returns what the process knows, as input for the reporter.
func (r *reporting) view() usage.View {
	v := usage.View{Now: r.h.w.now, True: r.h.w.now, Proof: r.proof, Summed: r.h.w.now.Sub(r.started) >= collectTime}
	readState(r.h.machine, func(s *clusterstate.State) {
		v.Ledger = s.Usage
		if s.Duty.Holder == ipOf(r.h.index) {
			v.Epoch = s.Duty.Epoch
		}
	})
	var roster []string
	for _, c := range r.h.w.copies {
		roster = append(roster, c.address)
	}
	v.Sums = r.collector.Sums(r.fixed(), roster)
	if r.h.w.options.ReportWeak.IgnoreProofAge {
		v.Proof = v.Now
	}
	return v
}

// propose proposes a command and calls ended with whether it was committed; false after proposeTimeout.
func (r *reporting) propose(c clusterstate.Command, ended func(done bool)) {
	once := r.firstResult(ended)
	r.h.w.commandCall(c)(r.h, func(reply configstore.Reply) { once(reply.Known && reply.Status == clusterstate.StatusOK) })
	r.h.w.after(proposeTimeout, func() { once(false) })
}

// firstResult returns a callback that passes the first of several results to take, if the process still runs.
func (r *reporting) firstResult(take func(bool)) func(bool) {
	done := false
	return func(ok bool) {
		r.runWhenUp(func() {
			if !done {
				done = true
				take(ok)
			}
		})
	}
}

// connectAndSend connects to the platform, checks that the process may still act as the duty holder, and sends a report.
func (r *reporting) connectAndSend(step usage.Step) {
	w, ended := r.h.w, false
	end := func(outcome usage.CallOutcome) {
		r.runWhenUp(func() {
			if !ended {
				ended = true
				r.reporter.Sent(w.now, step.Fence, outcome, 0)
			}
		})
	}
	w.after(platformCallTimeout, func() { end(usage.Unanswered) })
	w.deliver(r.h.address, platformAddress, func() {
		w.deliver(platformAddress, r.h.address, func() {
			r.runWhenUp(func() {
				if ended {
					return
				}
				if v := r.view(); !r.reporter.MaySend(v.Now, v.Epoch, v.Proof) {
					end(usage.NotSent)
					return
				}
				r.sendReport(step, end)
			})
		})
	})
}

// sendReport sends a report over an open connection and passes the platform's answer to end.
func (r *reporting) sendReport(step usage.Step, end func(usage.CallOutcome)) {
	w, call := r.h.w, localnet.UsageReport{Holder: ipOf(r.h.index), Fence: step.Fence, Round: step.Report.Round, Counts: step.Report.Counts}
	w.checkHolder(r.h, step.Fence)
	if w.options.ReportWeak.SameFence {
		call.Fence = 1
	}
	if w.options.ReportWeak.SendUnfixedCounts {
		call.Counts = r.collected(step.Report.Round)
	}
	w.deliver(r.h.address, platformAddress, func() {
		outcome, answers := w.handlePlatformCall(call)
		if answers {
			w.deliver(platformAddress, r.h.address, func() { end(outcome) })
		}
	})
}

// collected returns the counts of a window that this process has collected from proxies.
func (r *reporting) collected(round int64) usage.Counts {
	for _, sum := range r.view().Sums {
		if sum.Round == round {
			return sum.Counts
		}
	}
	return nil
}

// handlePlatformCall handles a call that arrives at the platform. It reports whether the platform answers.
func (w *world) handlePlatformCall(call localnet.UsageReport) (outcome usage.CallOutcome, answers bool) {
	percent := w.rng.IntN(100)
	if w.since() >= faultsEnd { // no faults any more
		percent = busyPercent
	}
	if w.reports.platformDown {
		return usage.Unanswered, false
	}
	if percent < busyPercent {
		return usage.Busy, true
	}
	outcome = usage.Accepted
	if w.reports.platform.Accept(call, w.now) == http.StatusConflict {
		outcome = usage.Refused
	}
	w.trace("the platform receives window %d from %s with fence %d: %v", call.Round, call.Holder, call.Fence, outcome)
	if breaches := w.reports.platform.Violations(); len(breaches) > 0 {
		w.fail("the platform: %s", breaches[0])
	}
	return outcome, percent < 100-unansweredPercent
}

// recordAppointment records the time at which a duty holder was appointed.
func (w *world) recordAppointment(epoch uint64) {
	w.reports.appointments = append(w.reports.appointments, appointment{epoch, w.now})
}

// checkHolder checks a call that is being sent: no holder may act once another one has held the duty for more than half a lease.
func (w *world) checkHolder(h *host, fence uint64) {
	for _, a := range w.reports.appointments {
		if age := w.now.Sub(a.at); a.epoch > fence && age > reportLease/2+leaseSlack {
			w.fail("host %d acts with fence %d, but %d was appointed %v ago", h.index, fence, a.epoch, age)
		}
	}
}

// checkReports checks the platform's reports at the end against the counted requests: no window is missing between the first and the
// last, none has more requests than were counted, and none is late after the quiet period.
func (w *world) checkReports() {
	if !w.options.Reports {
		return
	}
	windows := w.reports.platform.Windows()
	rounds := slices.Sorted(maps.Keys(windows))
	if len(rounds) == 0 {
		w.fail("the platform has received no report")
		return
	}
	for i, round := range rounds {
		if round != rounds[0]+int64(i) {
			w.fail("window %d was not reported", rounds[0]+int64(i))
		}
		for tenant, count := range windows[round] {
			if truth := w.reports.counted[round][tenant]; count > truth {
				w.fail("window %d: %d requests of %s reported, but there were %d", round, count, tenant, truth)
			}
		}
	}
	last := rounds[len(rounds)-1]
	if late := w.now.Sub(usage.EndOf(last+1, reportWindow)); late > maxReportDelay {
		w.fail("window %d is %v late, %v after the last fault", last+1, late, w.now.Sub(w.quietSince))
	}
	if !maps.Equal(windows[last], w.reports.counted[last]) {
		w.fail("window %d, without faults: reported %v, but there were %v", last, windows[last], w.reports.counted[last])
	}
}
