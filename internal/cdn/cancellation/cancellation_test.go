package cancellation

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// Every order of cancellation, attempts and the caller's close: whether each attempt may be sent, and what is counted. A cancellation
// and an attempt's begin are never concurrent: one of them is first.
func TestEveryOrderOfCancellationAndAttempts(t *testing.T) {
	const (
		begin, beginFinish, end, endFinish = "begin", "begin to finish", "end", "end finished"
		callerCancels, parentEnds, closes  = "leave", "parent ends", "close"
	)
	cases := []struct {
		name             string
		steps            []string
		sent             int // attempts that may be sent
		left, endedAfter int64
		finishing, ended bool // at the end: an attempt is still finishing; the context has ended
	}{
		{"answered", []string{begin, end, closes}, 1, 0, 0, false, true},
		{"cancelled before anything is sent", []string{callerCancels, begin, closes}, 0, 1, 0, false, true},
		{"cancelled with an attempt in flight", []string{begin, callerCancels, end, closes}, 1, 1, 1, false, true},
		{"cancelled between two attempts", []string{begin, end, callerCancels, begin, closes}, 1, 1, 0, false, true},
		{"cancelled with a finishing attempt", []string{beginFinish, callerCancels, closes}, 1, 1, 0, true, true},
		{"the finishing attempt ends", []string{beginFinish, callerCancels, endFinish, beginFinish, closes}, 1, 1, 1, false, true},
		{"cancelled twice", []string{begin, callerCancels, callerCancels, end, closes}, 1, 1, 1, false, true},
		{"cancelled after its response", []string{begin, end, closes, callerCancels}, 1, 0, 0, false, true},
		{"the end of the parent context is detected at once", []string{parentEnds, begin}, 0, 1, 0, false, true},
		{"two attempts in flight", []string{begin, begin, callerCancels, end, end, closes}, 2, 1, 2, false, true},
		{"attempt begins after its caller is closed", []string{begin, end, closes, begin}, 1, 0, 0, false, true},
		{"attempt ends after its caller is closed", []string{begin, begin, end, closes, end}, 2, 0, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			parent, cancel := context.WithCancel(t.Context())
			defer cancel()
			caller := tracker.Open(parent, Client, "r")
			sent, deadline := 0, time.Now().Add(time.Minute)
			tryBegin := func(p CancelPolicy) {
				if caller.BeginAttempt(p, deadline) {
					sent++
				}
			}
			for _, step := range c.steps {
				switch step {
				case begin:
					tryBegin(Abort)
				case beginFinish:
					tryBegin(Finish)
				case end:
					caller.EndAttempt(Abort)
				case endFinish:
					caller.EndAttempt(Finish)
				case callerCancels:
					caller.Cancel()
				case parentEnds:
					cancel()
				case closes:
					caller.Close()
				}
			}
			f := tracker.statsFor(statsKey{Client, "r"})
			assert.Equal(t, sent, c.sent)
			assert.Equal(t, f.cancelled.Load(), c.left)
			assert.Equal(t, f.endedAfterCancel.Load(), c.endedAfter)
			assert.Equal(t, caller.Finishing(), c.finishing)
			assert.Equal(t, caller.Context().Err() != nil, c.ended)
			assert.Equal(t, tracker.Violations(), int64(0))
		})
	}
}

// Violations are detected: an attempt that is sent after the cancellation, one that ends too late, and one that never ends. An attempt
// with the policy Finish has until the request's own deadline.
func TestViolationsAreDetected(t *testing.T) {
	tracker := NewTracker()
	past := time.Now().Add(-2 * MaxCancelDelay)
	open := func() *Caller {
		c := tracker.Open(t.Context(), Client, "r")
		assert.Assert(t, c.BeginAttempt(Abort, time.Now().Add(time.Minute)))
		c.Cancel()
		return c
	}
	c := open()
	c.reportIfCancelled()
	assert.Equal(t, tracker.Violations(), int64(1), "begun after the cancellation")
	c.Close()
	c.EndAttempt(Abort)
	assert.Equal(t, tracker.Violations(), int64(1), "it ended in time")

	c = open()
	c.cancelledAt = past
	assert.Equal(t, tracker.OverdueCount(time.Now()), 1, "in flight past the allowed end")
	c.Close()
	c.EndAttempt(Abort)
	assert.Equal(t, tracker.OverdueCount(time.Now()), 0)
	assert.Equal(t, tracker.Violations(), int64(2), "it ended late")

	c = tracker.Open(t.Context(), Client, "r")
	assert.Assert(t, c.BeginAttempt(Finish, time.Now().Add(time.Minute)))
	c.Cancel()
	c.cancelledAt = past
	c.Close()
	assert.Equal(t, tracker.OverdueCount(time.Now()), 0, "it may take until the request's deadline")
	tracker.stalls.stop() // no stall during the two minutes
	assert.Equal(t, tracker.OverdueCount(time.Now().Add(2*time.Minute)), 1, "but no longer")
	c.EndAttempt(Finish)
	assert.Equal(t, tracker.Violations(), int64(2))
	assert.Equal(t, testutil.CollectAndCount(tracker), 2+len(metrics))
}

// Time in which the process was stopped after a cancellation does not count against its attempts, which could not end in it. A stall
// before the cancellation adds no time.
func TestStallIsNoViolation(t *testing.T) {
	tracker, start := NewTracker(), time.Now()
	tracker.runDetector = func() {} // the test calls tick itself
	tracker.stalls.start(start)
	tracker.stalls.tick(start.Add(10 * time.Second)) // before the cancellation
	c := tracker.Open(t.Context(), Client, "r")
	assert.Assert(t, c.BeginAttempt(Abort, start.Add(time.Hour)))
	c.mu.Lock()
	c.cancelLocked(start.Add(10*time.Second + tickInterval))
	c.mu.Unlock()
	late := start.Add(15 * time.Second)
	assert.Equal(t, tracker.OverdueCount(late), 0, "the stall is not recorded by a tick yet")
	tracker.stalls.tick(late)
	assert.Equal(t, tracker.OverdueCount(late.Add(MaxCancelDelay/2)), 0)
	for n := range 4 {
		tracker.stalls.tick(late.Add(time.Duration(n+1) * tickInterval))
	}
	assert.Equal(t, tracker.OverdueCount(late.Add(2*tickInterval)), 0,
		"the whole time between two ticks counts: the stall may have started right after the first")
	assert.Equal(t, tracker.OverdueCount(late.Add(4*tickInterval)), 1, "the process runs again, but the attempt does not end")
}

// The stall detector runs only while something is in flight for a cancelled caller.
func TestStallDetectorRunsOnlyWhileNeeded(t *testing.T) {
	tracker, started := NewTracker(), make(chan struct{}, 1)
	tracker.runDetector = func() { started <- struct{}{} }
	c := tracker.Open(t.Context(), Client, "r")
	assert.Assert(t, c.BeginAttempt(Abort, time.Now().Add(time.Minute)))
	assert.Assert(t, !tracker.detecting && tracker.stalls.lastTick.IsZero(), "the caller still waits")
	c.Cancel()
	<-started
	assert.Assert(t, !tracker.stopIfIdle(), "its attempt is in flight")
	c.Close()
	c.EndAttempt(Abort)
	assert.Assert(t, tracker.stopIfIdle() && !tracker.detecting && tracker.stalls.lastTick.IsZero())
}

// Routes beyond maxStatsKeys share their counters.
func TestStatsKeysAreBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 2 * maxStatsKeys {
		tracker.Open(t.Context(), Client, string(rune('a'+i))).Close()
	}
	assert.Equal(t, len(tracker.byKey), maxStatsKeys+1)
}

// BenchmarkCaller measures the cost of tracking one request with one attempt.
func BenchmarkCaller(b *testing.B) {
	tracker, deadline := NewTracker(), time.Now().Add(time.Hour)
	for b.Loop() {
		parent, cancel := context.WithCancel(b.Context())
		c := tracker.Open(parent, Client, "r")
		c.BeginAttempt(Abort, deadline)
		c.EndAttempt(Abort)
		c.Close()
		cancel()
	}
}
