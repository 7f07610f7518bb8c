package usage

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var (
	timetable = Timetable{Window: 5 * time.Second, Delay: 10 * time.Second, Lease: 3 * time.Second, DutyPerS: 10}
	begin     = time.Unix(500, 0) // of window 100, by both clocks
)

// turn is one look of a machine at its reporter.
type turn struct {
	at    time.Duration // since the beginning of window 100
	ended func(r *Reporter, now time.Time)
	view  View // proven just now, unless the proof is set
	want  StepKind
	round int64
	until time.Duration // of a Wait
}

func pending(rounds ...int64) (l clusterstate.UsageLedger) {
	for _, round := range rounds {
		l.Fixed = max(l.Fixed, round)
		l.Pending = append(l.Pending, clusterstate.UsageReport{Round: round, Counts: Counts{"a": round}})
	}
	return l
}

func holds(epoch uint64, ledger clusterstate.UsageLedger, sums ...Sum) View {
	return View{Epoch: epoch, Ledger: ledger, Sums: sums, Summed: true}
}

func proven(v View, at time.Duration) View { v.Proof = begin.Add(at); return v }

func sent(epoch uint64, outcome CallOutcome, asked time.Duration) func(*Reporter, time.Time) {
	return func(r *Reporter, now time.Time) { r.Sent(now, epoch, outcome, asked) }
}

func fixed(epoch uint64, done bool) func(*Reporter, time.Time) {
	return func(r *Reporter, now time.Time) { r.Fixed(now, epoch, done) }
}

func noted(epoch uint64, done bool) func(*Reporter, time.Time) {
	return func(r *Reporter, now time.Time) { r.Noted(now, epoch, done) }
}

func TestReporter(t *testing.T) {
	whole, part := Sum{100, Counts{"a": 3}, true}, Sum{100, Counts{"a": 2}, false}
	none, old := clusterstate.UsageLedger{}, clusterstate.UsageLedger{Fixed: 99}
	unread := holds(7, old)
	unread.Summed = false
	s := time.Second
	cases := []struct {
		name  string
		turns []turn
	}{
		{"a window from its counts to the platform's word, once each", []turn{
			{at: 0, view: holds(7, none), until: 5 * s},
			{at: 5 * s, view: holds(7, none, whole), until: 6 * s},
			{at: 6 * s, view: holds(7, none, whole), want: Fix, round: 100},
			{at: 6100 * ms, ended: fixed(7, true), view: holds(7, none, whole), until: 16 * s},
			{at: 6200 * ms, view: holds(7, pending(100)), want: Send, round: 100},
			{at: 6300 * ms, ended: sent(7, Accepted, 0), view: holds(7, pending(100)), want: Note, round: 100},
			{at: 6400 * ms, ended: noted(7, true), view: holds(7, pending(100)), until: 16 * s},
			{at: 6500 * ms, view: holds(7, clusterstate.UsageLedger{Fixed: 100}), until: 16 * s},
			{at: 16 * s, view: holds(7, clusterstate.UsageLedger{Fixed: 100}), want: Fix, round: 101},
		}},
		{"another's duty", []turn{{at: 20 * s, view: holds(0, pending(100), whole), until: 23 * s}}},
		{"fixing does not wait for the lease, sending does", []turn{
			{at: 6 * s, view: holds(7, old, whole), want: Fix, round: 100},
			{at: 6 * s, ended: fixed(7, true), view: holds(7, pending(100)), until: 9 * s},
			{at: 9 * s, view: holds(7, pending(100)), want: Send, round: 100},
		}},
		{"a copy whose proof is old", []turn{
			{at: 0, view: holds(7, pending(100)), until: 3 * s},
			{at: 4500 * ms, view: proven(holds(7, pending(100)), 3*s), until: 4800 * ms},
			{at: 4500 * ms, view: proven(holds(7, pending(100)), 3001*ms), want: Send, round: 100},
		}},
		{"refused for its fence: no more acts under this epoch, nor under it again", []turn{
			{at: 0, view: holds(7, pending(100)), until: 3 * s},
			{at: 3 * s, view: holds(7, pending(100)), want: Send, round: 100},
			{at: 4 * s, ended: sent(7, Refused, 0), view: holds(7, pending(100)), until: 7 * s},
			{at: 60 * s, view: holds(7, pending(100)), until: 63 * s},
			{at: 61 * s, view: holds(0, pending(100)), until: 64 * s},
			{at: 62 * s, view: holds(7, pending(100)), until: 65 * s},
			{at: 63 * s, view: holds(9, clusterstate.UsageLedger{Fixed: 112, Pending: pending(100).Pending}), until: 66 * s},
			{at: 66 * s, view: holds(9, clusterstate.UsageLedger{Fixed: 112, Pending: pending(100).Pending}), want: Send, round: 100},
		}},
		{"busy, and a wait that is asked for", []turn{
			{at: 0, view: holds(7, pending(100)), until: 3 * s},
			{at: 3 * s, view: holds(7, pending(100)), want: Send, round: 100},
			{at: 3 * s, ended: sent(7, Busy, 2*s), view: holds(7, pending(100)), until: 5 * s},
			{at: 5 * s, view: holds(7, pending(100)), want: Send, round: 100},
		}},
		{"no answer: the same again after pauses that grow; it fixes meanwhile, and what was not tried goes first", []turn{
			{at: 0, view: holds(7, pending(99)), until: 3 * s},
			{at: 3 * s, view: holds(7, pending(99)), want: Send, round: 99},
			{at: 3 * s, ended: sent(7, Unanswered, 0), view: holds(7, pending(99)), until: 3300 * ms},
			{at: 3300 * ms, view: holds(7, pending(99)), want: Send, round: 99},
			{at: 3300 * ms, ended: sent(7, NotSent, 0), view: holds(7, pending(99)), until: 3900 * ms},
			{at: 3900 * ms, view: holds(7, pending(99)), want: Send, round: 99},
			{at: 3900 * ms, ended: sent(7, Failed, 0), view: holds(7, pending(99)), until: 5100 * ms},
			{at: 5100 * ms, view: holds(7, pending(99)), want: Send, round: 99},
			{at: 5100 * ms, ended: sent(7, Failed, 0), view: holds(7, pending(99), whole), until: 6 * s},
			{at: 6 * s, view: holds(7, pending(99), whole), want: Fix, round: 100},
			{at: 6 * s, ended: fixed(7, true), view: holds(7, pending(99, 100)), until: 7500 * ms},
			{at: 7500 * ms, view: holds(7, pending(99, 100)), want: Send, round: 100},
			{at: 7500 * ms, ended: sent(7, Unanswered, 0), view: holds(7, pending(99, 100)), until: 10500 * ms},
		}},
		{"a proxy that never speaks", []turn{
			{at: 5 * s, view: holds(7, old, part), until: 11 * s},
			{at: 10999 * ms, view: holds(7, old, part), until: 11 * s},
			{at: 11 * s, view: holds(7, old, part), want: Fix, round: 100},
		}},
		{"a new holder gives the proxies time to report to it", []turn{
			{at: 9 * s, view: holds(7, old), until: 11 * s},
			{at: 11 * s, view: holds(7, old), want: Fix, round: 100},
		}},
		{"counts that could not be read are not fixed", []turn{{at: 0, view: holds(7, old), until: 11 * s}, {at: 12 * s, view: unread, until: 17 * s}}},
		{"a proposal without a clear end is made again", []turn{
			{at: 6 * s, view: holds(7, old, whole), want: Fix, round: 100},
			{at: 6 * s, ended: fixed(7, false), view: holds(7, old, whole), until: 6300 * ms},
			{at: 6300 * ms, view: holds(7, old, whole), want: Fix, round: 100},
			{at: 6300 * ms, ended: fixed(7, false), view: holds(7, pending(100)), until: 6900 * ms},
			{at: 9 * s, view: holds(7, pending(100)), want: Send, round: 100},
		}},
		{"a backlog goes in its order, at half of the calls that the platform takes", []turn{
			{at: 0, view: holds(7, pending(99, 100)), until: 3 * s},
			{at: 3 * s, view: holds(7, pending(99, 100)), want: Send, round: 99},
			{at: 3 * s, ended: sent(7, Accepted, 0), view: holds(7, pending(99, 100)), want: Note, round: 99},
			{at: 3 * s, ended: noted(7, true), view: holds(7, pending(99, 100)), until: 3200 * ms},
			{at: 3200 * ms, view: holds(7, pending(99, 100)), want: Send, round: 100},
		}},
		{"the word of an older epoch's call changes nothing", []turn{
			{at: 0, view: holds(7, pending(99)), until: 3 * s},
			{at: 3 * s, view: holds(7, pending(99)), want: Send, round: 99},
			{at: 4 * s, view: holds(9, pending(99)), until: 7 * s},
			{at: 5 * s, ended: sent(7, Accepted, 0), view: holds(9, pending(99)), until: 7 * s},
			{at: 7 * s, view: holds(9, pending(99)), want: Send, round: 99},
			{at: 7100 * ms, ended: sent(7, Accepted, 0), view: holds(9, pending(99)), until: 10100 * ms},
			{at: 7200 * ms, ended: sent(9, Accepted, 0), view: holds(9, pending(99)), want: Note, round: 99},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReporter(timetable)
			for i, turn := range c.turns {
				now := begin.Add(turn.at)
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
					assert.Equal(t, step.Until.Sub(begin), turn.until, "turn %d", i)
					continue
				}
				assert.Equal(t, step.Report.Round, turn.round, "turn %d", i)
				assert.Equal(t, step.Fence, turn.view.Epoch, "turn %d", i)
			}
		})
	}
}

// A holder that was stopped after its step was decided looks once more right before it writes.
func TestTheLookBeforeTheWrite(t *testing.T) {
	r := NewReporter(timetable)
	v := holds(7, pending(99))
	v.Now, v.True = begin, begin
	r.Next(v)
	now := begin.Add(3 * time.Second)
	assert.Assert(t, !r.MaySend(now, 7, now), "nothing is to be sent")
	v.Now, v.True, v.Proof = now, now, now
	assert.Equal(t, r.Next(v).Kind, Send)
	cases := []struct {
		name   string
		late   time.Duration
		epoch  uint64
		proven time.Duration
		want   bool
	}{
		{"at once", 0, 7, 0, true},
		{"stopped for half a lease", 1500 * ms, 7, 0, false},
		{"stopped, and proven anew", 1500 * ms, 7, ms, true},
		{"stopped, and another holds it", 1500 * ms, 0, 1500 * ms, false},
		{"stopped, and appointed anew", 1500 * ms, 9, 1500 * ms, false},
	}
	for _, c := range cases {
		assert.Equal(t, r.MaySend(now.Add(c.late), c.epoch, now.Add(c.proven)), c.want, c.name)
	}
}
