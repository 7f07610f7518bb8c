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

// This file plays the duty to report the tenants' usage: proxies that count, the holder's usage.Reporter and usage.Collector as they are
// deployed, and a platform that judges.

const (
	reportWindow   = 4 * time.Second
	reportDelay    = 10 * time.Second
	reportLease    = 2 * time.Second
	reportPerS     = 40
	reportLook     = 20 * time.Millisecond
	reportProve    = 100 * time.Millisecond
	reportCalm     = 16 * time.Second // two appointments, a lease each, and a backlog
	reportUntil    = faultsUntil + reportCalm - time.Second
	reportCall     = reportLease / 2
	reportHeard    = 2 * time.Second // a config store tells no sums before proxies have had the time to report
	countEvery     = 70 * time.Millisecond
	tellEvery      = 500 * time.Millisecond
	takenWithin    = 6 * time.Second // of a window's end, after a calm time
	actSlack       = 100 * time.Millisecond
	platformAt     = "platform"
	silentCalls    = 10 // of a hundred: taken, and not answered
	busyCalls      = 5  // of a hundred
	countedTenants = 3
)

// ReportWeaknesses take guards of the duty out, one each, for tests.
type ReportWeaknesses struct {
	SameFence bool // every holder's calls carry the same fence
	NoLook    bool // a holder takes its copy for current, whatever is proven
	Unfixed   bool // what is sent is what the holder has heard, not what the log has fixed
}

// reports is what is known outside of the tenants' usage.
type reports struct {
	platform  *localnet.Platform
	truth     map[int64]usage.Counts
	appointed []appointment
	down      bool // the platform takes and answers nothing
}

// appointment is when a machine first took an entry that appoints a holder.
type appointment struct {
	epoch uint64
	at    time.Time
}

func (w *world) beginReports() {
	if !w.options.Reports {
		return
	}
	w.reports = reports{platform: localnet.NewPlatform(reportLease), truth: map[int64]usage.Counts{}}
	for i := range w.copies {
		p := &countingProxy{w: w, copied: w.copies[i], windows: map[int64]usage.Counts{}}
		w.after(time.Second, p.count)
		w.after(time.Second, p.tell)
	}
	w.after(faultsFrom, w.turnPlatform)
}

// turnPlatform lets the platform go down for a while and come back, until all is calm.
func (w *world) turnPlatform() {
	w.reports.down = !w.reports.down && w.since() < faultsUntil
	if w.since() < faultsUntil {
		w.after(min(w.between(time.Second, 6*time.Second), faultsUntil-w.since()), w.turnPlatform)
	}
}

// countingProxy counts requests, as a proxy does, and tells the holder.
type countingProxy struct {
	w        *world
	copied   *stateCopy
	sequence uint64
	windows  map[int64]usage.Counts
}

func (p *countingProxy) count() {
	round := usage.RoundOf(p.w.now, reportWindow)
	tenant := fmt.Sprint("tenant-", p.w.rng.IntN(countedTenants))
	for _, all := range []map[int64]usage.Counts{p.windows, p.w.reports.truth} {
		if all[round] == nil {
			all[round] = usage.Counts{}
		}
		all[round][tenant]++
	}
	p.w.after(countEvery, p.count)
}

// tell reports what is not fixed yet, as far as the proxy's copy knows, to the holder that the copy names.
func (p *countingProxy) tell() {
	w := p.w
	w.after(tellEvery, p.tell)
	var fixed int64
	var holder string
	p.copied.replica.Read(func(s *clusterstate.State) { fixed, holder = s.Usage.Fixed, s.Duty.Holder })
	if w.options.ReportWeak.Unfixed {
		fixed = 0
	}
	maps.DeleteFunc(p.windows, func(round int64, _ usage.Counts) bool { return round <= fixed })
	p.sequence++
	report := usage.Report{Node: p.copied.address, Life: "1", Sequence: p.sequence, Final: usage.RoundOf(w.now, reportWindow) - 1, Windows: map[int64]usage.Counts{}}
	for round, counts := range p.windows {
		report.Windows[round] = maps.Clone(counts)
	}
	for _, h := range w.hosts {
		if ipOf(h.index) == holder {
			w.carry(p.copied.address, h.address, func() { h.hearUsage(report) })
		}
	}
}

func (h *host) hearUsage(r usage.Report) {
	if h.machine != nil && h.reporting != nil {
		h.reporting.collector.Take(r, h.reporting.fixed())
	}
}

// fixed is the newest fixed window by the machine's state.
func (r *reporting) fixed() (round int64) {
	if !r.h.w.options.ReportWeak.Unfixed {
		state(r.h.machine, func(s *clusterstate.State) { round = s.Usage.Fixed })
	}
	return round
}

// reporting is one process's part in the duty.
type reporting struct {
	h           *host
	incarnation int
	begun       time.Time
	collector   *usage.Collector
	reporter    *usage.Reporter
	proof       time.Time
}

func (h *host) beginReporting() {
	h.reporting = nil
	if !h.w.options.Reports {
		return
	}
	h.reporting = &reporting{h: h, incarnation: h.incarnation, begun: h.w.now, collector: usage.NewCollector(),
		reporter: usage.NewReporter(usage.Timetable{Window: reportWindow, Delay: reportDelay, Lease: reportLease, DutyPerS: reportPerS})}
	h.reporting.turn()
	h.reporting.proveOn()
}

// whenUp does something in the process unless it has ended, once it runs.
func (r *reporting) whenUp(do func()) {
	switch {
	case r.h.machine == nil || r.h.incarnation != r.incarnation:
	case r.h.frozen:
		r.h.waiting = append(r.h.waiting, func() { r.whenUp(do) })
	default:
		do()
	}
}

func (r *reporting) turn() {
	r.whenUp(func() {
		w := r.h.w
		if w.since() > reportUntil {
			return
		}
		w.after(reportLook, r.turn)
		switch step := r.reporter.Next(r.look()); step.Kind {
		case usage.Fix:
			r.propose(clusterstate.Command{Epoch: step.Fence, FixUsage: &step.Report}, func(done bool) { r.reporter.Fixed(w.now, step.Fence, done) })
		case usage.Note:
			r.propose(clusterstate.Command{Epoch: step.Fence, UsageTaken: step.Report.Round}, func(done bool) { r.reporter.Noted(w.now, step.Fence, done) })
		case usage.Send:
			r.send(step)
		}
	})
}

// proveOn proves the machine's state again and again.
func (r *reporting) proveOn() {
	r.whenUp(func() {
		if r.h.w.since() <= reportUntil {
			r.h.w.after(reportProve, r.proveOn)
			r.prove()
		}
	})
}

// prove asks what is surely committed, and proves the machine's state by it.
func (r *reporting) prove() {
	w, begun := r.h.w, r.h.w.now
	w.barrierAt(r.h, func(index uint64, ok bool) {
		if ok {
			w.whenApplied(r.h, index, func() { r.whenUp(func() { r.proof = later(r.proof, begun) }) })
		}
	})
}

func (r *reporting) look() usage.View {
	v := usage.View{Now: r.h.w.now, True: r.h.w.now, Proof: r.proof, Summed: r.h.w.now.Sub(r.begun) >= reportHeard}
	state(r.h.machine, func(s *clusterstate.State) {
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
	if r.h.w.options.ReportWeak.NoLook {
		v.Proof = v.Now
	}
	return v
}

func (r *reporting) propose(c clusterstate.Command, ended func(done bool)) {
	once := r.once(ended)
	r.h.w.commandOf(c)(r.h, func(reply configstore.Reply) { once(reply.Known && reply.Status == clusterstate.Done) })
	r.h.w.after(orderWithin, func() { once(false) })
}

// once hands the first word of several on.
func (r *reporting) once(take func(bool)) func(bool) {
	heard := false
	return func(ok bool) {
		r.whenUp(func() {
			if !heard {
				heard = true
				take(ok)
			}
		})
	}
}

// send connects to the platform, looks at the lease and writes.
func (r *reporting) send(step usage.Step) {
	w, ended := r.h.w, false
	end := func(outcome usage.CallOutcome) {
		r.whenUp(func() {
			if !ended {
				ended = true
				r.reporter.Sent(w.now, step.Fence, outcome, 0)
			}
		})
	}
	w.after(reportCall, func() { end(usage.Unanswered) })
	w.carry(r.h.address, platformAt, func() {
		w.carry(platformAt, r.h.address, func() {
			r.whenUp(func() {
				if ended {
					return
				}
				if v := r.look(); !r.reporter.MaySend(v.Now, v.Epoch, v.Proof) {
					end(usage.NotSent)
					return
				}
				r.write(step, end)
			})
		})
	})
}

func (r *reporting) write(step usage.Step, end func(usage.CallOutcome)) {
	w, call := r.h.w, localnet.UsageCall{Holder: ipOf(r.h.index), Fence: step.Fence, Round: step.Report.Round, Counts: step.Report.Counts}
	w.checkAct(r.h, step.Fence)
	if w.options.ReportWeak.SameFence {
		call.Fence = 1
	}
	if w.options.ReportWeak.Unfixed {
		call.Counts = r.heardOf(step.Report.Round)
	}
	w.carry(r.h.address, platformAt, func() {
		outcome, answers := w.callPlatform(call)
		if answers {
			w.carry(platformAt, r.h.address, func() { end(outcome) })
		}
	})
}

// heardOf is what this process has heard of a window.
func (r *reporting) heardOf(round int64) usage.Counts {
	for _, sum := range r.look().Sums {
		if sum.Round == round {
			return sum.Counts
		}
	}
	return nil
}

// callPlatform is a call as it arrives; some are not answered.
func (w *world) callPlatform(call localnet.UsageCall) (outcome usage.CallOutcome, answers bool) {
	lot := w.rng.IntN(100)
	if w.since() >= faultsUntil { // it is calm
		lot = busyCalls
	}
	if w.reports.down {
		return usage.Unanswered, false
	}
	if lot < busyCalls {
		return usage.Busy, true
	}
	outcome = usage.Accepted
	if w.reports.platform.Take(call, w.now) == http.StatusConflict {
		outcome = usage.Refused
	}
	w.trace("the platform is told window %d by %s under %d: %v", call.Round, call.Holder, call.Fence, outcome)
	if breaches := w.reports.platform.Breaches(); len(breaches) > 0 {
		w.fail("the platform: %s", breaches[0])
	}
	return outcome, lot < 100-silentCalls
}

// appoint notes when a holder was appointed.
func (w *world) appoint(epoch uint64) {
	w.reports.appointed = append(w.reports.appointed, appointment{epoch, w.now})
}

// checkAct holds a call that leaves against who has been appointed: nobody acts when another one has had the duty for half a lease.
func (w *world) checkAct(h *host, fence uint64) {
	for _, a := range w.reports.appointed {
		if age := w.now.Sub(a.at); a.epoch > fence && age > reportLease/2+actSlack {
			w.fail("host %d acts under %d, and %d was appointed %v ago", h.index, fence, a.epoch, age)
		}
	}
}

// checkReports holds what the platform has at the end against the truth: every window from the first to the last, none with more than there was,
// and after a calm time none late.
func (w *world) checkReports() {
	if !w.options.Reports {
		return
	}
	windows := w.reports.platform.Windows()
	rounds := slices.Sorted(maps.Keys(windows))
	if len(rounds) == 0 {
		w.fail("the platform has no report at all")
		return
	}
	for i, round := range rounds {
		if round != rounds[0]+int64(i) {
			w.fail("window %d was not reported", rounds[0]+int64(i))
		}
		for tenant, count := range windows[round] {
			if truth := w.reports.truth[round][tenant]; count > truth {
				w.fail("window %d: %d requests of %s, and there were %d", round, count, tenant, truth)
			}
		}
	}
	last := rounds[len(rounds)-1]
	if late := w.now.Sub(usage.EndOf(last+1, reportWindow)); late > takenWithin {
		w.fail("window %d is %v late, after %v of calm", last+1, late, w.now.Sub(w.calm))
	}
	if !maps.Equal(windows[last], w.reports.truth[last]) {
		w.fail("window %d, in a calm time: %v, and there were %v", last, windows[last], w.reports.truth[last])
	}
}
