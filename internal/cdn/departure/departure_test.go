package departure

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// Every order in which a leave, attempts and the end of a caller can come: whether each attempt may be sent, and what is counted. A leave and
// an attempt's begin never cross: one of the two is first.
func TestEveryOrderOfLeavesAndAttempts(t *testing.T) {
	const (
		begin, beginFinish, end, endFinish = "begin", "begin to finish", "end", "end finished"
		leave, parentEnds, closes          = "leave", "parent ends", "close"
	)
	cases := []struct {
		name             string
		steps            []string
		sent             int // attempts that may be sent
		left, endedAfter int64
		finishing, ended bool // at the end: something is finished still; the context has ended
	}{
		{"answered", []string{begin, end, closes}, 1, 0, 0, false, true},
		{"leaves before anything is sent", []string{leave, begin, closes}, 0, 1, 0, false, true},
		{"leaves under way", []string{begin, leave, end, closes}, 1, 1, 1, false, true},
		{"leaves between two tries", []string{begin, end, leave, begin, closes}, 1, 1, 0, false, true},
		{"leaves under what is finished", []string{beginFinish, leave, closes}, 1, 1, 0, true, true},
		{"what is finished ends", []string{beginFinish, leave, endFinish, beginFinish, closes}, 1, 1, 1, false, true},
		{"leaves twice", []string{begin, leave, leave, end, closes}, 1, 1, 1, false, true},
		{"leaves after its answer", []string{begin, end, closes, leave}, 1, 0, 0, false, true},
		{"the parent's end is seen at once", []string{parentEnds, begin}, 0, 1, 0, false, true},
		{"two under way", []string{begin, begin, leave, end, end, closes}, 2, 1, 2, false, true},
		{"begins after its caller's answer", []string{begin, end, closes, begin}, 1, 0, 0, false, true},
		{"an attempt outlives its caller's answer", []string{begin, begin, end, closes, end}, 2, 0, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger()
			parent, cancel := context.WithCancel(t.Context())
			defer cancel()
			caller := l.Open(parent, Client, "r")
			sent, due := 0, time.Now().Add(time.Minute)
			may := func(p Policy) {
				if caller.Begin(p, due) {
					sent++
				}
			}
			for _, step := range c.steps {
				switch step {
				case begin:
					may(BreakOff)
				case beginFinish:
					may(Finish)
				case end:
					caller.End(BreakOff)
				case endFinish:
					caller.End(Finish)
				case leave:
					caller.Leave()
				case parentEnds:
					cancel()
				case closes:
					caller.Close()
				}
			}
			f := l.figuresOf(subject{Client, "r"})
			assert.Equal(t, sent, c.sent)
			assert.Equal(t, f.left.Load(), c.left)
			assert.Equal(t, f.endedAfter.Load(), c.endedAfter)
			assert.Equal(t, caller.Finishing(), c.finishing)
			assert.Equal(t, caller.Context().Err() != nil, c.ended)
			assert.Equal(t, l.Violations(), int64(0))
		})
	}
}

// The invariant convicts: an attempt that is sent after the leave, one that ends past its bound, and one that never ends. What is finished has
// the request's own time.
func TestTheInvariantConvicts(t *testing.T) {
	l := NewLedger()
	past := time.Now().Add(-2 * EndWithin)
	open := func() *Caller {
		c := l.Open(t.Context(), Client, "r")
		assert.Assert(t, c.Begin(BreakOff, time.Now().Add(time.Minute)))
		c.Leave()
		return c
	}
	c := open()
	c.checkBegun()
	assert.Equal(t, l.Violations(), int64(1), "begun after the leave")
	c.Close()
	c.End(BreakOff)
	assert.Equal(t, l.Violations(), int64(1), "it ended in time")

	c = open()
	c.leftAt = past
	assert.Equal(t, l.Overdue(time.Now()), 1, "under way past its bound")
	c.Close()
	c.End(BreakOff)
	assert.Equal(t, l.Overdue(time.Now()), 0)
	assert.Equal(t, l.Violations(), int64(2), "it ended late")

	c = l.Open(t.Context(), Client, "r")
	assert.Assert(t, c.Begin(Finish, time.Now().Add(time.Minute)))
	c.Leave()
	c.leftAt = past
	c.Close()
	assert.Equal(t, l.Overdue(time.Now()), 0, "it may take its request's time")
	l.standstill.end() // the two minutes pass without one
	assert.Equal(t, l.Overdue(time.Now().Add(2*time.Minute)), 1, "and no more")
	c.End(Finish)
	assert.Equal(t, l.Violations(), int64(2))
	assert.Equal(t, testutil.CollectAndCount(l), 2+len(metrics))
}

// A process that was stopped has its time anew: what was under way could not end meanwhile. A standstill before the leave gives none.
func TestAStandstillIsNoBreach(t *testing.T) {
	l, at := NewLedger(), time.Now()
	l.pulse = func() {} // the test's own times
	l.standstill.begin(at)
	l.standstill.pulse(at.Add(10 * time.Second)) // before
	c := l.Open(t.Context(), Client, "r")
	assert.Assert(t, c.Begin(BreakOff, at.Add(time.Hour)))
	c.mu.Lock()
	c.leave(at.Add(10*time.Second + pulseEvery))
	c.mu.Unlock()
	late := at.Add(15 * time.Second)
	assert.Equal(t, l.Overdue(late), 0, "not noted yet")
	l.standstill.pulse(late)
	assert.Equal(t, l.Overdue(late.Add(EndWithin/2)), 0)
	for n := range 4 {
		l.standstill.pulse(late.Add(time.Duration(n+1) * pulseEvery))
	}
	assert.Equal(t, l.Overdue(late.Add(2*pulseEvery)), 0, "the whole span between two pulses counts: the standstill may have begun right after the first")
	assert.Equal(t, l.Overdue(late.Add(4*pulseEvery)), 1, "it runs again, and nothing ends")
}

// A process looks for standstills while something is under way for a caller that has left, and is woken by nothing else.
func TestPulsesWhileSomethingIsUnderWay(t *testing.T) {
	l, begun := NewLedger(), make(chan struct{}, 1)
	l.pulse = func() { begun <- struct{}{} }
	c := l.Open(t.Context(), Client, "r")
	assert.Assert(t, c.Begin(BreakOff, time.Now().Add(time.Minute)))
	assert.Assert(t, !l.pulsing && l.standstill.last.IsZero(), "it waits still")
	c.Leave()
	<-begun
	assert.Assert(t, !l.endPulses(), "its attempt is under way")
	c.Close()
	c.End(BreakOff)
	assert.Assert(t, l.endPulses() && !l.pulsing && l.standstill.last.IsZero())
}

// Routes past a bound share their figures.
func TestFiguresAreBounded(t *testing.T) {
	l := NewLedger()
	for i := range 2 * mostSubjects {
		l.Open(t.Context(), Client, string(rune('a'+i))).Close()
	}
	assert.Equal(t, len(l.all), mostSubjects+1)
}

// What the account of one request with one attempt costs.
func BenchmarkCaller(b *testing.B) {
	l, due := NewLedger(), time.Now().Add(time.Hour)
	for b.Loop() {
		parent, cancel := context.WithCancel(b.Context())
		c := l.Open(parent, Client, "r")
		c.Begin(BreakOff, due)
		c.End(BreakOff)
		c.Close()
		cancel()
	}
}
