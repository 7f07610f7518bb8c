package usage

import (
	"maps"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

const (
	reportArrivalDelay    = time.Second            // after a window's end, for reports still on their way to the duty holder
	initialBackoff        = 300 * time.Millisecond // after the first failure; doubled after each further failure in a row
	maxBackoff            = 3 * time.Second        // without a Retry-After of the platform
	maxRetryAfter         = 30 * time.Second       // longest wait that the platform may request by Retry-After
	newHolderDelay        = 2 * time.Second        // after a machine becomes the holder, for proxies to report to it
	maxDoublings          = 8                      // of the backoff
	proofRetryDivisor     = 10                     // an outdated proof is checked again after the lease divided by this
	callRateShare         = 0.5                    // share of the platform's call rate; the rest is for the previous or next holder
	defaultCallsPerSecond = 10.0                   // where the settings give no rate
)

// maxFixDelay returns how long after its end a window is fixed even though not every proxy has reported: three fifths
// of the delay after which its report is due. So a proxy that stalls for some seconds is still counted, and a next
// holder still has the time that it must wait.
func maxFixDelay(delay time.Duration) time.Duration { return delay * 3 / 5 }

// Timing holds the settings for usage reporting.
type Timing struct {
	Window   time.Duration // length of a report window
	Delay    time.Duration // from a window's end until its report is due
	Lease    time.Duration // two holders must not act alternately within it
	DutyPerS float64       // calls per second that the platform accepts from all machines together
}

// View is what a machine knows when it asks its Reporter for the next step. The proof must be read before the rest, so
// that the rest is at least as new as the proof.
type View struct {
	Now    time.Time // monotonic clock
	True   time.Time // true time
	Epoch  uint64    // of the duty, if the replica names this machine as its holder; else 0
	Proof  time.Time // the replica holds all that was acknowledged by this moment of the monotonic clock; zero: no proof
	Ledger clusterstate.UsageLedger
	Sums   []Sum
	Summed bool // Sums were read; otherwise nothing is fixed
}

// ReporterState is the state of a Reporter.
type ReporterState int

// The states of a Reporter. Only another epoch ends Fenced.
const (
	NotHolder ReporterState = iota
	Idle                    // holder, with no step in progress
	Fixing                  // the counts of a window are being committed
	Sending                 // a call of the platform is in progress
	Recording               // the fact that the platform accepted a window is being committed
	Fenced                  // the platform has seen a later epoch: nothing more is done under this one
)

func (s ReporterState) String() string {
	return [...]string{"not the holder", "idle", "fixing", "sending", "noting", "fenced"}[s]
}

// StepKind is a kind of Step.
type StepKind int

// The kinds of steps.
const (
	Wait           StepKind = iota
	Fix                     // propose Report as the counts of its window, under the epoch in Fence
	Send                    // call the platform with Report and Fence; MaySend must be asked right before the write
	RecordAccepted          // propose that the platform accepted Report's window, under the epoch in Fence
)

// Step is what a holder does next. The result of each step but Wait must be passed to Fixed, Sent or Recorded.
type Step struct {
	Kind   StepKind
	Until  time.Time // with Wait: nothing is to be done before this moment of the monotonic clock
	Report clusterstate.UsageReport
	Fence  uint64 // fencing token: the epoch of the duty
}

// CallOutcome is the outcome of a call of the platform.
type CallOutcome int

// The outcomes of calls.
const (
	NotSent    CallOutcome = iota // no byte was sent: no connection, or MaySend refused
	Accepted                      // status 200
	Refused                       // status 409: a later epoch has called
	Busy                          // status 429
	Failed                        // any other status
	Unanswered                    // the report may or may not have been accepted
)

func (o CallOutcome) String() string {
	return [...]string{"not sent", "accepted", "refused", "busy", "failed", "unanswered"}[o]
}

// Reporter decides what the duty holder does next to report the tenants' usage. It is not safe for concurrent use.
type Reporter struct {
	timing          Timing
	state           ReporterState
	epoch           uint64
	heldSince       time.Time      // when this machine learned that it holds the duty under this epoch
	fencedEpoch     uint64         // newest epoch under which a call was refused
	activeRound     int64          // window of the step in progress
	lastFixed       int64          // newest window fixed under this epoch; the replica may not have it yet
	accepted        map[int64]bool // windows that the platform has accepted and the replica still lists; true: this is committed
	unclearCalls    map[int64]int  // by window: calls under this epoch without a clear answer
	proposalBackoff backoff
	callBackoff     backoff
	nextCallAt      time.Time // earliest time of the next call, which limits the call rate
}

// backoff is the pause after consecutive failures.
type backoff struct {
	failures int
	until    time.Time
}

// recordFailure starts a pause. It is longer after each consecutive failure, and at least retryAfter, up to
// maxRetryAfter.
func (b *backoff) recordFailure(now time.Time, retryAfter time.Duration) {
	pause := min(initialBackoff<<min(b.failures, maxDoublings), maxBackoff)
	b.failures++
	b.until = now.Add(max(pause, min(retryAfter, maxRetryAfter)))
}

// NewReporter returns the reporter of a machine that does not hold the duty.
func NewReporter(t Timing) *Reporter {
	if t.DutyPerS <= 0 {
		t.DutyPerS = defaultCallsPerSecond
	}
	return &Reporter{timing: t, accepted: map[int64]bool{}, unclearCalls: map[int64]int{}}
}

// State returns the current state.
func (r *Reporter) State() ReporterState { return r.state }

// setState changes the state; nothing else does.
func (r *Reporter) setState(s ReporterState, round int64) { r.state, r.activeRound = s, round }

// Next returns the next step. While a step is in progress, this is Wait.
func (r *Reporter) Next(v View) Step {
	r.updateEpoch(v)
	r.forgetRemoved(v.Ledger)
	if r.state != Idle {
		return Step{Kind: Wait, Until: v.Now.Add(maxBackoff)}
	}
	if v.Now.Before(r.proposalBackoff.until) {
		return Step{Kind: Wait, Until: r.proposalBackoff.until}
	}
	toRecord, toSend := r.nextPending(v.Ledger)
	report, fixAt := r.nextWindow(v)
	switch {
	case toRecord != nil:
		return r.begin(Recording, Step{Kind: RecordAccepted, Report: *toRecord, Fence: r.epoch})
	case !fixAt.After(v.Now):
		return r.begin(Fixing, Step{Kind: Fix, Report: report, Fence: r.epoch})
	case toSend == nil:
		return Step{Kind: Wait, Until: fixAt}
	}
	if at := r.nextSendAt(v); at.After(v.Now) {
		return Step{Kind: Wait, Until: earlier(at, fixAt)}
	}
	return r.begin(Sending, Step{Kind: Send, Report: *toSend, Fence: r.epoch})
}

// nextPending returns the oldest window to record as accepted, and the window to send: the oldest of those with the
// fewest calls without a clear answer, so that a platform that is slow for one window still receives the others.
func (r *Reporter) nextPending(ledger clusterstate.UsageLedger) (toRecord, toSend *clusterstate.UsageReport) {
	for i := range ledger.Pending {
		report := &ledger.Pending[i]
		recorded, accepted := r.accepted[report.Round]
		switch {
		case accepted && !recorded && toRecord == nil:
			toRecord = report
		case !accepted && (toSend == nil || r.unclearCalls[report.Round] < r.unclearCalls[toSend.Round]):
			toSend = report
		}
	}
	return toRecord, toSend
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *Reporter) begin(s ReporterState, step Step) Step {
	r.setState(s, step.Report.Round)
	return step
}

// updateEpoch starts or ends holding the duty, by the replica. It abandons a step in progress under an older epoch.
func (r *Reporter) updateEpoch(v View) {
	if v.Epoch == r.epoch {
		return
	}
	r.epoch, r.heldSince, r.lastFixed, r.proposalBackoff, r.callBackoff = v.Epoch, v.Now, 0, backoff{}, backoff{}
	clear(r.accepted)
	clear(r.unclearCalls)
	switch {
	case v.Epoch == 0:
		r.setState(NotHolder, 0)
	case v.Epoch <= r.fencedEpoch:
		r.setState(Fenced, 0)
	default:
		r.setState(Idle, 0)
	}
}

// leaseHeld reports whether no later holder can have started to act. An earlier holder has stopped one lease after this
// machine learned that it holds the duty; nextSendAt waits for that.
func (r *Reporter) leaseHeld(now time.Time, epoch uint64, proof time.Time) bool {
	return epoch == r.epoch && epoch > 0 && !proof.IsZero() && now.Sub(proof) < r.timing.Lease/2
}

// MaySend is the lease check right before a call is written: much time may have passed since the step was decided.
func (r *Reporter) MaySend(now time.Time, epoch uint64, proof time.Time) bool {
	return r.state == Sending && r.leaseHeld(now, epoch, proof)
}

// nextSendAt returns the earliest time of the next call of the platform; a time in the past means now.
func (r *Reporter) nextSendAt(v View) time.Time {
	at := later(r.nextCallAt, later(r.callBackoff.until, r.heldSince.Add(r.timing.Lease)))
	if !at.After(v.Now) && !r.leaseHeld(v.Now, v.Epoch, v.Proof) { // a recent enough proof may arrive at any time
		return v.Now.Add(r.timing.Lease / proofRetryDivisor)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextWindow returns the next window to fix with its counts, and from which moment of the monotonic clock it may be
// fixed.
func (r *Reporter) nextWindow(v View) (clusterstate.UsageReport, time.Time) {
	sum, known := r.nextSum(v)
	if !v.Summed || !known {
		return clusterstate.UsageReport{}, v.Now.Add(r.timing.Window)
	}
	end := v.Now.Add(EndOf(sum.Round, r.timing.Window).Sub(v.True))
	at := end.Add(min(reportArrivalDelay, maxFixDelay(r.timing.Delay)))
	if !sum.Complete {
		at = later(end.Add(maxFixDelay(r.timing.Delay)), r.heldSince.Add(newHolderDelay))
	}
	return clusterstate.UsageReport{Round: sum.Round, Counts: sum.Counts}, at
}

// nextSum returns the window after the newest fixed one, empty if no proxy has reported it. If none is fixed yet, it is
// the first window with any count, if there is one. After a long outage, windows that exceed the limit of pending windows
// are skipped.
func (r *Reporter) nextSum(v View) (sum Sum, known bool) {
	fixed := max(v.Ledger.Fixed, r.lastFixed)
	if fixed == 0 {
		if i := slices.IndexFunc(v.Sums, func(s Sum) bool { return len(s.Counts) > 0 }); i >= 0 {
			return v.Sums[i], true
		}
		return Sum{}, false
	}
	round := max(fixed+1, RoundOf(v.True, r.timing.Window)-clusterstate.MaxPendingUsage)
	if i := slices.IndexFunc(v.Sums, func(s Sum) bool { return s.Round == round }); i >= 0 {
		return v.Sums[i], true
	}
	return Sum{Round: round}, true
}

// NeedsSums reports whether the next step may depend on the sums: a window that is not fixed yet has ended, or no
// window is fixed at all.
func (r *Reporter) NeedsSums(v View) bool {
	fixed := max(v.Ledger.Fixed, r.lastFixed)
	if v.Epoch == 0 || r.state == Fenced {
		return false
	}
	return fixed == 0 || !EndOf(fixed+1, r.timing.Window).Add(min(reportArrivalDelay, maxFixDelay(r.timing.Delay))).After(v.True)
}

// forgetRemoved forgets windows that are no longer pending in the replica.
func (r *Reporter) forgetRemoved(ledger clusterstate.UsageLedger) {
	for round := range r.accepted {
		if !slices.ContainsFunc(ledger.Pending, func(p clusterstate.UsageReport) bool { return p.Round == round }) {
			delete(r.accepted, round)
		}
	}
	maps.DeleteFunc(r.unclearCalls, func(round int64, _ int) bool {
		return !slices.ContainsFunc(ledger.Pending, func(p clusterstate.UsageReport) bool { return p.Round == round })
	})
}

// Fixed records the end of a Fix step. If done, the window is committed, with these counts or with those of an earlier
// holder; the replica tells which.
func (r *Reporter) Fixed(now time.Time, epoch uint64, done bool) {
	if r.isCurrent(Fixing, epoch) {
		if done {
			r.lastFixed = r.activeRound
		}
		r.proposalEnded(now, done)
	}
}

// Recorded records the end of a RecordAccepted step. If done, the acceptance is committed.
func (r *Reporter) Recorded(now time.Time, epoch uint64, done bool) {
	if r.isCurrent(Recording, epoch) {
		if done {
			r.accepted[r.activeRound] = true
		}
		r.proposalEnded(now, done)
	}
}

// isCurrent reports whether a result belongs to the step in progress.
func (r *Reporter) isCurrent(s ReporterState, epoch uint64) bool {
	return r.state == s && r.epoch == epoch
}

func (r *Reporter) proposalEnded(now time.Time, done bool) {
	r.setState(Idle, 0)
	if done {
		r.proposalBackoff = backoff{}
	} else {
		r.proposalBackoff.recordFailure(now, 0)
	}
}

// Sent records the end of a Send step. A report that is not known to be accepted is sent again unchanged.
func (r *Reporter) Sent(now time.Time, epoch uint64, outcome CallOutcome, retryAfter time.Duration) {
	r.nextCallAt = now.Add(time.Duration(float64(time.Second) / (callRateShare * r.timing.DutyPerS)))
	if outcome == Refused {
		r.fencedEpoch = max(r.fencedEpoch, epoch)
	}
	if !r.isCurrent(Sending, epoch) {
		return
	}
	round := r.activeRound
	r.setState(Idle, 0)
	switch outcome {
	case Accepted:
		r.callBackoff = backoff{}
		r.accepted[round] = false
	case Refused:
		r.setState(Fenced, 0)
	default:
		if outcome == Unanswered || outcome == Failed {
			r.unclearCalls[round]++
		}
		r.callBackoff.recordFailure(now, retryAfter)
	}
}
