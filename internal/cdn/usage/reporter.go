package usage

import (
	"maps"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

const (
	settleSpan    = time.Second            // after a window's end, for what is still on its way to the holder
	firstPause    = 300 * time.Millisecond // after a failure; twice as long after each one in a row
	mostPause     = 3 * time.Second
	mostAskedWait = 30 * time.Second // that the platform may ask for by Retry-After
	hearSpan      = 2 * time.Second  // a new holder gives the proxies, which report to it from now on
	mostDoublings = 8                // of a pause
	retryPart     = 10               // of the lease: so often it is looked whether a proof is young enough again
	dutyPart      = 0.5              // of the calls that the platform takes from all machines: the rest is for a holder before or after
	usualPerS     = 10.0             // calls a second, where the settings name none
)

// latestFix is when a window is fixed though not every proxy has spoken: so much of the span after its end in which its report falls due: a proxy that stands still for
// some seconds is counted, and a next holder still has the time that it waits for.
func latestFix(delay time.Duration) time.Duration { return delay * 3 / 5 }

// Timetable is what the settings say of the duty.
type Timetable struct {
	Window   time.Duration
	Delay    time.Duration // after a window's end its report is due
	Lease    time.Duration // within which two holders must not act by turns
	DutyPerS float64       // calls a second that the platform takes from all machines together
}

// View is what a machine knows when it asks its Reporter for the next step. The proof is read before the rest, so that the rest is at least
// as new as the proof says.
type View struct {
	Now    time.Time // of the steady clock
	True   time.Time // true time
	Epoch  uint64    // of the duty, if the copy names this machine as its holder; else 0
	Proof  time.Time // all that was acknowledged by this moment of the steady clock is in the copy; zero: nothing is proven
	Ledger clusterstate.UsageLedger
	Sums   []Sum
	Summed bool // Sums were read; without them nothing is fixed
}

// ReporterState is where a Reporter stands.
type ReporterState int

// The states of a Reporter. Fenced is left by another epoch alone.
const (
	NotHolder ReporterState = iota
	Idle                    // holder; nothing is under way
	Fixing                  // a window's counts are on their way into the log
	Sending                 // a call of the platform is under way
	Noting                  // that a window was taken is on its way into the log
	Fenced                  // the platform has seen a later epoch: no more acts under this one
)

func (s ReporterState) String() string {
	return [...]string{"not the holder", "idle", "fixing", "sending", "noting", "fenced"}[s]
}

// StepKind is a kind of Step.
type StepKind int

// The kinds of steps.
const (
	Wait StepKind = iota
	Fix           // propose Report as the counts of its window, under Fence
	Send          // call the platform with Report and Fence; right before the write MaySend is asked
	Note          // propose that Report's window was taken, under Fence
)

// Step is what a holder does next. Each but Wait is followed by the word of how it ended: Fixed, Sent or Noted.
type Step struct {
	Kind   StepKind
	Until  time.Time // with Wait: there is nothing to do before this moment of the steady clock
	Report clusterstate.UsageReport
	Fence  uint64
}

// CallOutcome is what came of a call of the platform.
type CallOutcome int

// The outcomes of calls.
const (
	NotSent    CallOutcome = iota // no byte left: no connection, or the look at the lease forbade it
	Accepted                      // 200
	Refused                       // 409: a later epoch has called
	Busy                          // 429
	Failed                        // another status
	Unanswered                    // it may have been taken, or not
)

func (o CallOutcome) String() string {
	return [...]string{"not sent", "accepted", "refused", "busy", "failed", "unanswered"}[o]
}

// Reporter decides what the holder of the duty does next about the tenants' usage. It belongs to one goroutine.
type Reporter struct {
	timetable Timetable
	state     ReporterState
	epoch     uint64
	since     time.Time      // when this machine learned that it holds the duty under this epoch
	fenced    uint64         // the newest epoch under which a call was refused
	round     int64          // of the act that is under way
	fixed     int64          // the newest window that was fixed under this epoch, which the copy may not have heard of yet
	accepted  map[int64]bool // windows that the platform has taken while the copy holds them; true: the log has it
	tries     map[int64]int  // by window: calls under this epoch that brought no clear answer
	proposals backoff
	calls     backoff
	nextCall  time.Time // no call of the platform before it, so that they are few
}

// backoff is the pause after failures.
type backoff struct {
	inARow int
	until  time.Time
}

// fail begins a pause, longer after each failure in a row and at least as long as asked for.
func (b *backoff) fail(now time.Time, asked time.Duration) {
	span := min(firstPause<<min(b.inARow, mostDoublings), mostPause)
	b.inARow++
	b.until = now.Add(max(span, min(asked, mostAskedWait)))
}

// NewReporter returns the reporter of a machine that holds nothing.
func NewReporter(t Timetable) *Reporter {
	if t.DutyPerS <= 0 {
		t.DutyPerS = usualPerS
	}
	return &Reporter{timetable: t, accepted: map[int64]bool{}, tries: map[int64]int{}}
}

// State is where the reporter stands.
func (r *Reporter) State() ReporterState { return r.state }

// become is the one place where the state changes.
func (r *Reporter) become(s ReporterState, round int64) { r.state, r.round = s, round }

// Next returns the next step, once the one before it has ended.
func (r *Reporter) Next(v View) Step {
	r.follow(v)
	r.forgetTaken(v.Ledger)
	if r.state != Idle {
		return Step{Kind: Wait, Until: v.Now.Add(mostPause)}
	}
	if v.Now.Before(r.proposals.until) {
		return Step{Kind: Wait, Until: r.proposals.until}
	}
	toNote, toSend := r.pending(v.Ledger)
	report, fixAt := r.nextWindow(v)
	switch {
	case toNote != nil:
		return r.begin(Noting, Step{Kind: Note, Report: *toNote, Fence: r.epoch})
	case !fixAt.After(v.Now):
		return r.begin(Fixing, Step{Kind: Fix, Report: report, Fence: r.epoch})
	case toSend == nil:
		return Step{Kind: Wait, Until: fixAt}
	}
	if at := r.sendAt(v); at.After(v.Now) {
		return Step{Kind: Wait, Until: earlier(at, fixAt)}
	}
	return r.begin(Sending, Step{Kind: Send, Report: *toSend, Fence: r.epoch})
}

// pending returns the oldest window that is to be noted as taken, and the one that is to be sent: of those with the fewest calls without a clear
// answer the oldest, so that a platform that is slow over one window hears of the others.
func (r *Reporter) pending(ledger clusterstate.UsageLedger) (toNote, toSend *clusterstate.UsageReport) {
	for i := range ledger.Pending {
		report := &ledger.Pending[i]
		inLog, accepted := r.accepted[report.Round]
		switch {
		case accepted && !inLog && toNote == nil:
			toNote = report
		case !accepted && (toSend == nil || r.tries[report.Round] < r.tries[toSend.Round]):
			toSend = report
		}
	}
	return toNote, toSend
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *Reporter) begin(s ReporterState, step Step) Step {
	r.become(s, step.Report.Round)
	return step
}

// follow takes the duty on or lets it go, by the copy. An act that is under way under an older epoch ends with it.
func (r *Reporter) follow(v View) {
	if v.Epoch == r.epoch {
		return
	}
	r.epoch, r.since, r.fixed, r.proposals, r.calls = v.Epoch, v.Now, 0, backoff{}, backoff{}
	clear(r.accepted)
	clear(r.tries)
	switch {
	case v.Epoch == 0:
		r.become(NotHolder, 0)
	case v.Epoch <= r.fenced:
		r.become(Fenced, 0)
	default:
		r.become(Idle, 0)
	}
}

// mayCall tells whether nobody who follows has begun to act. Whoever held the duty before has stopped a lease after this machine learned of it:
// sendAt waits for that.
func (r *Reporter) mayCall(now time.Time, epoch uint64, proof time.Time) bool {
	return epoch == r.epoch && epoch > 0 && !proof.IsZero() && now.Sub(proof) < r.timetable.Lease/2
}

// MaySend is the look at the lease right before a call is written: the time between the step and the write may have been long.
func (r *Reporter) MaySend(now time.Time, epoch uint64, proof time.Time) bool {
	return r.state == Sending && r.mayCall(now, epoch, proof)
}

// sendAt is when the platform may be called next; a moment that is over: now.
func (r *Reporter) sendAt(v View) time.Time {
	at := later(r.nextCall, later(r.calls.until, r.since.Add(r.timetable.Lease)))
	if !at.After(v.Now) && !r.mayCall(v.Now, v.Epoch, v.Proof) { // a proof that is young enough may come at any time
		return v.Now.Add(r.timetable.Lease / retryPart)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextWindow returns the next window to be fixed with its counts, and from when of the steady clock it may be.
func (r *Reporter) nextWindow(v View) (clusterstate.UsageReport, time.Time) {
	sum, known := r.nextSum(v)
	if !v.Summed || !known {
		return clusterstate.UsageReport{}, v.Now.Add(r.timetable.Window)
	}
	end := v.Now.Add(EndOf(sum.Round, r.timetable.Window).Sub(v.True))
	at := end.Add(min(settleSpan, latestFix(r.timetable.Delay)))
	if !sum.Complete {
		at = later(end.Add(latestFix(r.timetable.Delay)), r.since.Add(hearSpan))
	}
	return clusterstate.UsageReport{Round: sum.Round, Counts: sum.Counts}, at
}

// nextSum is the window after the newest fixed one, empty if nobody spoke of it. Where none is fixed yet it is the first one in which any proxy
// counted anything, if there is one. After a long outage the windows that could not wait for the platform any more are passed over.
func (r *Reporter) nextSum(v View) (sum Sum, known bool) {
	fixed := max(v.Ledger.Fixed, r.fixed)
	if fixed == 0 {
		if i := slices.IndexFunc(v.Sums, func(s Sum) bool { return len(s.Counts) > 0 }); i >= 0 {
			return v.Sums[i], true
		}
		return Sum{}, false
	}
	round := max(fixed+1, RoundOf(v.True, r.timetable.Window)-clusterstate.MostPendingUsage)
	if i := slices.IndexFunc(v.Sums, func(s Sum) bool { return s.Round == round }); i >= 0 {
		return v.Sums[i], true
	}
	return Sum{Round: round}, true
}

// NeedsSums tells whether the next step may hang on the sums: a window that is not fixed yet has ended, or none is fixed at all.
func (r *Reporter) NeedsSums(v View) bool {
	fixed := max(v.Ledger.Fixed, r.fixed)
	if v.Epoch == 0 || r.state == Fenced {
		return false
	}
	return fixed == 0 || !EndOf(fixed+1, r.timetable.Window).Add(min(settleSpan, latestFix(r.timetable.Delay))).After(v.True)
}

// forgetTaken forgets accepted windows that the copy holds no longer.
func (r *Reporter) forgetTaken(ledger clusterstate.UsageLedger) {
	for round := range r.accepted {
		if !slices.ContainsFunc(ledger.Pending, func(p clusterstate.UsageReport) bool { return p.Round == round }) {
			delete(r.accepted, round)
		}
	}
	maps.DeleteFunc(r.tries, func(round int64, _ int) bool {
		return !slices.ContainsFunc(ledger.Pending, func(p clusterstate.UsageReport) bool { return p.Round == round })
	})
}

// Fixed takes the end of a Fix; done: the log has the window's counts, these or those of an earlier holder. The copy tells which.
func (r *Reporter) Fixed(now time.Time, epoch uint64, done bool) {
	if r.ends(Fixing, epoch) {
		if done {
			r.fixed = r.round
		}
		r.proposed(now, done)
	}
}

// Noted takes the end of a Note; done: the log has it.
func (r *Reporter) Noted(now time.Time, epoch uint64, done bool) {
	if r.ends(Noting, epoch) {
		if done {
			r.accepted[r.round] = true
		}
		r.proposed(now, done)
	}
}

// ends tells whether the word of an act's end is of the one that is under way.
func (r *Reporter) ends(s ReporterState, epoch uint64) bool { return r.state == s && r.epoch == epoch }

func (r *Reporter) proposed(now time.Time, done bool) {
	r.become(Idle, 0)
	if done {
		r.proposals = backoff{}
	} else {
		r.proposals.fail(now, 0)
	}
}

// Sent takes the end of a Send. What is not known to be taken is sent again, the same.
func (r *Reporter) Sent(now time.Time, epoch uint64, outcome CallOutcome, retryAfter time.Duration) {
	r.nextCall = now.Add(time.Duration(float64(time.Second) / (dutyPart * r.timetable.DutyPerS)))
	if outcome == Refused {
		r.fenced = max(r.fenced, epoch)
	}
	if !r.ends(Sending, epoch) {
		return
	}
	round := r.round
	r.become(Idle, 0)
	switch outcome {
	case Accepted:
		r.calls = backoff{}
		r.accepted[round] = false
	case Refused:
		r.become(Fenced, 0)
	default:
		if outcome == Unanswered || outcome == Failed {
			r.tries[round]++
		}
		r.calls.fail(now, retryAfter)
	}
}
