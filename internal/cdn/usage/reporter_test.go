package usage

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var (
	timetable   = Timing{Window: 5 * time.Second, Delay: 10 * time.Second, Lease: 3 * time.Second, DutyPerS: 10}
	windowStart = time.Unix(500, 0) // start of window 100, by both clocks
)

// turn is one call of Next, after the end of a step if there is one.
type turn struct {
	at    time.Duration // since the start of window 100
	ended func(r *Reporter, now time.Time)
	view  View // proven at this turn, unless Proof is set
	want  StepKind
	round int64
	until time.Duration // with Wait
}

func pending(rounds ...int64) (l clusterstate.UsageLedger) {
	for _, round := range rounds {
		l.Fixed = max(l.Fixed, round)
		l.Pending = append(l.Pending, clusterstate.UsageReport{Round: round, Counts: Counts{"a": round}})
	}
	return l
}

func holderView(epoch uint64, ledger clusterstate.UsageLedger, sums ...Sum) View {
	return View{Epoch: epoch, Ledger: ledger, Sums: sums, Summed: true}
}

func withProof(v View, at time.Duration) View { v.Proof = windowStart.Add(at); return v }

func sent(epoch uint64, outcome CallOutcome, retryAfter time.Duration) func(*Reporter, time.Time) {
	return func(r *Reporter, now time.Time) { r.Sent(now, epoch, outcome, retryAfter) }
}

func fixed(epoch uint64, done bool) func(*Reporter, time.Time) {
	return func(r *Reporter, now time.Time) { r.Fixed(now, epoch, done) }
}

func noted(epoch uint64, done bool) func(*Reporter, time.Time) {
	return func(r *Reporter, now time.Time) { r.Recorded(now, epoch, done) }
}

func TestReporter(t *testing.T) {
	whole, part := Sum{100, Counts{"a": 3}, true}, Sum{100, Counts{"a": 2}, false}
	none, old := clusterstate.UsageLedger{}, clusterstate.UsageLedger{Fixed: 99}
	unread := holderView(7, old)
	unread.Summed = false
	s := time.Second
	cases := []struct {
		name  string
		turns []turn
	}{
		{"one window is fixed, sent and recorded once each", []turn{
			{at: 0, view: holderView(7, none), until: 5 * s},
			{at: 5 * s, view: holderView(7, none, whole), until: 6 * s},
			{at: 6 * s, view: holderView(7, none, whole), want: Fix, round: 100},
			{at: 6100 * ms, ended: fixed(7, true), view: holderView(7, none, whole), until: 16 * s},
			{at: 6200 * ms, view: holderView(7, pending(100)), want: Send, round: 100},
			{at: 6300 * ms, ended: sent(7, Accepted, 0), view: holderView(7, pending(100)), want: RecordAccepted, round: 100},
			{at: 6400 * ms, ended: noted(7, true), view: holderView(7, pending(100)), until: 16 * s},
			{at: 6500 * ms, view: holderView(7, clusterstate.UsageLedger{Fixed: 100}), until: 16 * s},
			{at: 16 * s, view: holderView(7, clusterstate.UsageLedger{Fixed: 100}), want: Fix, round: 101},
		}},
		{"another machine holds the duty", []turn{{at: 20 * s, view: holderView(0, pending(100), whole), until: 23 * s}}},
		{"fixing does not wait for the lease, sending does", []turn{
			{at: 6 * s, view: holderView(7, old, whole), want: Fix, round: 100},
			{at: 6 * s, ended: fixed(7, true), view: holderView(7, pending(100)), until: 9 * s},
			{at: 9 * s, view: holderView(7, pending(100)), want: Send, round: 100},
		}},
		{"a replica with an outdated proof", []turn{
			{at: 0, view: holderView(7, pending(100)), until: 3 * s},
			{at: 4500 * ms, view: withProof(holderView(7, pending(100)), 3*s), until: 4800 * ms},
			{at: 4500 * ms, view: withProof(holderView(7, pending(100)), 3001*ms), want: Send, round: 100},
		}},
		{"refused for its fencing token: no more steps under this epoch, nor when it returns", []turn{
			{at: 0, view: holderView(7, pending(100)), until: 3 * s},
			{at: 3 * s, view: holderView(7, pending(100)), want: Send, round: 100},
			{at: 4 * s, ended: sent(7, Refused, 0), view: holderView(7, pending(100)), until: 7 * s},
			{at: 60 * s, view: holderView(7, pending(100)), until: 63 * s},
			{at: 61 * s, view: holderView(0, pending(100)), until: 64 * s},
			{at: 62 * s, view: holderView(7, pending(100)), until: 65 * s},
			{at: 63 * s, view: holderView(9, clusterstate.UsageLedger{Fixed: 112, Pending: pending(100).Pending}), until: 66 * s},
			{at: 66 * s, view: holderView(9, clusterstate.UsageLedger{Fixed: 112, Pending: pending(100).Pending}), want: Send, round: 100},
		}},
		{"busy, with Retry-After", []turn{
			{at: 0, view: holderView(7, pending(100)), until: 3 * s},
			{at: 3 * s, view: holderView(7, pending(100)), want: Send, round: 100},
			{at: 3 * s, ended: sent(7, Busy, 2*s), view: holderView(7, pending(100)), until: 5 * s},
			{at: 5 * s, view: holderView(7, pending(100)), want: Send, round: 100},
		}},
		{"no answer: retries with growing backoff; fixing continues, and untried windows are sent first", []turn{
			{at: 0, view: holderView(7, pending(99)), until: 3 * s},
			{at: 3 * s, view: holderView(7, pending(99)), want: Send, round: 99},
			{at: 3 * s, ended: sent(7, Unanswered, 0), view: holderView(7, pending(99)), until: 3300 * ms},
			{at: 3300 * ms, view: holderView(7, pending(99)), want: Send, round: 99},
			{at: 3300 * ms, ended: sent(7, NotSent, 0), view: holderView(7, pending(99)), until: 3900 * ms},
			{at: 3900 * ms, view: holderView(7, pending(99)), want: Send, round: 99},
			{at: 3900 * ms, ended: sent(7, Failed, 0), view: holderView(7, pending(99)), until: 5100 * ms},
			{at: 5100 * ms, view: holderView(7, pending(99)), want: Send, round: 99},
			{at: 5100 * ms, ended: sent(7, Failed, 0), view: holderView(7, pending(99), whole), until: 6 * s},
			{at: 6 * s, view: holderView(7, pending(99), whole), want: Fix, round: 100},
			{at: 6 * s, ended: fixed(7, true), view: holderView(7, pending(99, 100)), until: 7500 * ms},
			{at: 7500 * ms, view: holderView(7, pending(99, 100)), want: Send, round: 100},
			{at: 7500 * ms, ended: sent(7, Unanswered, 0), view: holderView(7, pending(99, 100)), until: 10500 * ms},
		}},
		{"a proxy that never reports", []turn{
			{at: 5 * s, view: holderView(7, old, part), until: 11 * s},
			{at: 10999 * ms, view: holderView(7, old, part), until: 11 * s},
			{at: 11 * s, view: holderView(7, old, part), want: Fix, round: 100},
		}},
		{"a new holder gives the proxies time to report to it", []turn{
			{at: 9 * s, view: holderView(7, old), until: 11 * s},
			{at: 11 * s, view: holderView(7, old), want: Fix, round: 100},
		}},
		{"counts that could not be read are not fixed", []turn{{at: 0, view: holderView(7, old), until: 11 * s}, {at: 12 * s, view: unread, until: 17 * s}}},
		{"a proposal with unknown outcome is repeated", []turn{
			{at: 6 * s, view: holderView(7, old, whole), want: Fix, round: 100},
			{at: 6 * s, ended: fixed(7, false), view: holderView(7, old, whole), until: 6300 * ms},
			{at: 6300 * ms, view: holderView(7, old, whole), want: Fix, round: 100},
			{at: 6300 * ms, ended: fixed(7, false), view: holderView(7, pending(100)), until: 6900 * ms},
			{at: 9 * s, view: holderView(7, pending(100)), want: Send, round: 100},
		}},
		{"a backlog is sent in order, at half of the call rate that the platform accepts", []turn{
			{at: 0, view: holderView(7, pending(99, 100)), until: 3 * s},
			{at: 3 * s, view: holderView(7, pending(99, 100)), want: Send, round: 99},
			{at: 3 * s, ended: sent(7, Accepted, 0), view: holderView(7, pending(99, 100)), want: RecordAccepted, round: 99},
			{at: 3 * s, ended: noted(7, true), view: holderView(7, pending(99, 100)), until: 3200 * ms},
			{at: 3200 * ms, view: holderView(7, pending(99, 100)), want: Send, round: 100},
		}},
		{"the result of a call under an older epoch is ignored", []turn{
			{at: 0, view: holderView(7, pending(99)), until: 3 * s},
			{at: 3 * s, view: holderView(7, pending(99)), want: Send, round: 99},
			{at: 4 * s, view: holderView(9, pending(99)), until: 7 * s},
			{at: 5 * s, ended: sent(7, Accepted, 0), view: holderView(9, pending(99)), until: 7 * s},
			{at: 7 * s, view: holderView(9, pending(99)), want: Send, round: 99},
			{at: 7100 * ms, ended: sent(7, Accepted, 0), view: holderView(9, pending(99)), until: 10100 * ms},
			{at: 7200 * ms, ended: sent(9, Accepted, 0), view: holderView(9, pending(99)), want: RecordAccepted, round: 99},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReporter(timetable)
			for i, turn := range c.turns {
				now := windowStart.Add(turn.at)
				if turn.ended != nil {
					turn.ended(r, now)
				}
				turn.view.Now, turn.view.True = now, now
				if turn.view.Proof.IsZero() {
					turn.view.Proof = now
				}
				step := r.Next(turn.view)
				assert.Equal(t, step.Kind, turn.want, "turn %d: %+v", i, step)
				if step.Kind == Wait {
					assert.Equal(t, step.Until.Sub(windowStart), turn.until, "turn %d", i)
					continue
				}
				assert.Equal(t, step.Report.Round, turn.round, "turn %d", i)
				assert.Equal(t, step.Fence, turn.view.Epoch, "turn %d", i)
			}
		})
	}
}

// A holder that was suspended after a step was decided must check its lease again right before the write.
func TestMaySend(t *testing.T) {
	r := NewReporter(timetable)
	v := holderView(7, pending(99))
	v.Now, v.True = windowStart, windowStart
	r.Next(v)
	now := windowStart.Add(3 * time.Second)
	assert.Assert(t, !r.MaySend(now, 7, now), "no Send step is in progress")
	v.Now, v.True, v.Proof = now, now, now
	assert.Equal(t, r.Next(v).Kind, Send)
	cases := []struct {
		name   string
		delay  time.Duration
		epoch  uint64
		proven time.Duration
		want   bool
	}{
		{"at once", 0, 7, 0, true},
		{"suspended for half a lease", 1500 * ms, 7, 0, false},
		{"suspended, with a new proof", 1500 * ms, 7, ms, true},
		{"suspended, and another machine is the holder", 1500 * ms, 0, 1500 * ms, false},
		{"suspended, and holder again under a new epoch", 1500 * ms, 9, 1500 * ms, false},
	}
	for _, c := range cases {
		assert.Equal(t, r.MaySend(now.Add(c.delay), c.epoch, now.Add(c.proven)), c.want, c.name)
	}
}
