// Package cancellation tracks callers that disconnect or cancel before they have their response, and the attempts that are made for
// them. A caller is whoever waits for work: a client, a call from a peer process, or all waiters of one coalesced fetch.
//
// Invariant: once a caller is cancelled, no attempt is sent for it any more, and attempts in flight end: within MaxCancelDelay if they
// are aborted, by the request's own deadline if they are finished. Every violation is counted; see Violations.
package cancellation

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrCallerCancelled is the cause of the cancellation of a caller's context when the caller was cancelled.
var ErrCallerCancelled = errors.New("caller cancelled the request")

// MaxCancelDelay is the maximum time from a caller's cancellation to the end of its aborted attempts. It covers closing a connection, a
// turn of the balancer's event loop and scheduling delay, each some milliseconds on a machine that is not overloaded. Two processes
// in a row and the network between them stay under half a second.
const MaxCancelDelay = 200 * time.Millisecond

// deadlineSlack is how long after its deadline an attempt that is being finished may still end without counting as late.
const deadlineSlack = 200 * time.Millisecond

// CancelPolicy is what happens to an attempt in flight when its caller is cancelled.
type CancelPolicy int

// The policies.
const (
	Abort  CancelPolicy = iota // abort: the request may run again, and nobody else needs its response
	Finish                     // let it finish: the request must not run twice, or its response will be cached
)

// Caller is one caller and its attempts in flight. It is safe for concurrent use. A nil Caller stands for the process itself: there
// is nobody who could cancel.
type Caller struct {
	tracker   *Tracker
	stats     *callerStats
	parent    context.Context
	stopWatch func() bool
	ctx       context.Context
	cancelCtx context.CancelCauseFunc

	mu             sync.Mutex
	cancelledAt    time.Time     // when it was cancelled; zero until then
	stallAtCancel  time.Duration // total stall time of the process at that moment
	inFlight       int           // attempts in flight
	finishing      int           // those of them with the policy Finish
	hadFinishing   bool          // an attempt with the policy Finish was in flight when the caller was cancelled
	latestDeadline time.Time     // latest deadline of the attempts with the policy Finish
	closed         bool
}

// Kind is the kind of a caller.
type Kind string

// The kinds of callers.
const (
	Client           Kind = "client"
	Peer             Kind = "neighbour" // another process of the network
	CoalescedWaiters Kind = "waiters"   // of a coalesced fetch, taken together
)

// Open starts tracking a caller that waits for a response on a route. It is cancelled if the parent context ends before Close.
func (t *Tracker) Open(parent context.Context, kind Kind, route string) *Caller {
	c := &Caller{tracker: t, stats: t.statsFor(statsKey{kind, route}), parent: parent}
	c.ctx, c.cancelCtx = context.WithCancelCause(context.Background())
	c.stats.waiting.Add(1)
	c.stopWatch = context.AfterFunc(parent, c.Cancel)
	return c
}

// Context returns a context that ends when the caller is cancelled or closed. All work for the caller up to sending an attempt must
// use it.
func (c *Caller) Context() context.Context {
	if c == nil {
		return context.Background()
	}
	return c.ctx
}

// Cancel cancels the caller: it no longer waits. Only the first call has an effect.
func (c *Caller) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelLocked(time.Now())
}

// cancelLocked cancels the caller, if it still waits; no other code does. c.mu must be held.
func (c *Caller) cancelLocked(now time.Time) {
	if !c.cancelledAt.IsZero() || c.closed {
		return
	}
	c.tracker.trackCancelled(c, now) // starts the stall detector, so before the stall time is read
	c.cancelledAt, c.stallAtCancel = now, c.tracker.stalls.totalAt(now)
	c.hadFinishing = c.finishing > 0
	c.stats.cancelled.Add(1)
	c.cancelCtx(ErrCallerCancelled)
}

// Cancelled reports whether the caller was cancelled.
func (c *Caller) Cancelled() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detectCancelled()
}

// detectCancelled reports whether the caller was cancelled. It also detects an end of the parent context whose callback has not run
// yet. c.mu must be held.
func (c *Caller) detectCancelled() bool {
	if c.cancelledAt.IsZero() && c.parent.Err() != nil {
		c.cancelLocked(time.Now())
	}
	return !c.cancelledAt.IsZero()
}

// Finishing reports whether an attempt with the policy Finish is in flight.
func (c *Caller) Finishing() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishing > 0
}

// BeginAttempt reports whether an attempt may be sent now, and counts it as in flight if so. It may not if the caller was cancelled or
// closed. A cancellation either precedes the call, and nothing is sent, or follows it and finds the attempt in flight. The end of every
// attempt that may be sent must be reported with EndAttempt.
func (c *Caller) BeginAttempt(policy CancelPolicy, deadline time.Time) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.detectCancelled() || c.closed {
		return false
	}
	c.reportIfCancelled()
	c.inFlight++
	if policy == Finish {
		c.finishing++
		if deadline.After(c.latestDeadline) {
			c.latestDeadline = deadline
		}
	}
	c.stats.attemptsInFlight.Add(1)
	return true
}

// reportIfCancelled reports a violation of the first half of the invariant, that no attempt is sent after the caller's cancellation.
func (c *Caller) reportIfCancelled() {
	if !c.cancelledAt.IsZero() {
		c.stats.begunAfterCancel.Add(1)
		c.tracker.report(Violation{Kind: c.stats.kind, Route: c.stats.route, SentAfterCancel: true, SinceCancel: time.Since(c.cancelledAt)})
	}
}

// EndAttempt records that an attempt in flight has ended. The policy must be the one that was passed to BeginAttempt.
func (c *Caller) EndAttempt(policy CancelPolicy) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if policy == Finish {
		c.finishing--
	}
	c.stats.attemptsInFlight.Add(-1)
	if c.cancelledAt.IsZero() {
		return
	}
	c.stats.endedAfterCancel.Add(1)
	c.recordEnd(time.Now())
}

// Close ends the tracking of the caller: it has its response, or can no longer receive one.
func (c *Caller) Close() {
	c.stopWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.stats.waiting.Add(-1)
	if c.cancelledAt.IsZero() {
		c.cancelCtx(nil)
		return
	}
	c.recordEnd(time.Now())
}

// recordEnd records when the last attempt of a cancelled caller ended, once the caller is closed and nothing is in flight. c.mu must
// be held.
func (c *Caller) recordEnd(now time.Time) {
	if !c.closed || c.inFlight > 0 {
		return
	}
	c.stats.cancelToLastEnd.observe(now.Sub(c.cancelledAt))
	if overrun := now.Sub(c.endDeadline(now)); overrun > 0 {
		c.stats.endedLate.Add(1)
		c.tracker.report(Violation{Kind: c.stats.kind, Route: c.stats.route, SinceCancel: now.Sub(c.cancelledAt), Overrun: overrun,
			Finishing: c.hadFinishing})
	}
	c.tracker.untrack(c)
}

// endDeadline returns the time by which all attempts of a cancelled caller must have ended: the second half of the invariant. Time in
// which the process stalled after the cancellation is added. c.mu must be held.
func (c *Caller) endDeadline(now time.Time) time.Time {
	deadline := c.cancelledAt.Add(MaxCancelDelay)
	if c.hadFinishing && c.latestDeadline.Add(deadlineSlack).After(deadline) {
		deadline = c.latestDeadline.Add(deadlineSlack)
	}
	return deadline.Add(c.tracker.stalls.totalAt(now) - c.stallAtCancel)
}
