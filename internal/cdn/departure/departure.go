// Package departure keeps account of callers that leave before they have their answer, and of the attempts that are made for
// them. A caller is whoever waits for work: a client, a neighbour's call, or all who wait for one gathered fetch.
//
// Its invariant: once a leave has been noted no attempt is sent for that caller, and what is under way ends: within EndWithin
// where it is broken off, by the request's own deadline where it is finished. Every breach is counted; see Ledger.Violations.
package departure

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrLeft is the cause of a context's end when its caller has left.
var ErrLeft = errors.New("the caller has left")

// EndWithin bounds the time from a leave to the end of what is broken off: closing a connection, a turn of the decisions and the
// wait for a share of the processor, each some milliseconds on a machine that is not overloaded. Two processes one after the other and
// the way between them stay under half a second.
const EndWithin = 200 * time.Millisecond

// deadlineSlack is how far past its deadline an attempt that is finished may be seen to end.
const deadlineSlack = 200 * time.Millisecond

// Policy says what becomes of an attempt that was sent when its caller leaves.
type Policy int

// The policies.
const (
	BreakOff Policy = iota // it may run again, and nobody else needs its answer
	Finish                 // it must not run again, or its answer becomes a copy for others
)

// Caller is one caller and the attempts under way for it. It is safe for use by many goroutines. A nil Caller stands for the
// process's own account: nobody waits who could leave.
type Caller struct {
	ledger  *Ledger
	figures *figures
	parent  context.Context
	stop    func() bool
	ctx     context.Context
	cancel  context.CancelCauseFunc

	mu        sync.Mutex
	leftAt    time.Time     // zero while it waits
	stoodAt   time.Duration // for how long the process had stood still by then
	open      int           // attempts that were sent and have not ended
	finishing int           // of them, those with the policy Finish
	finished  bool          // such a one was under way when the caller left
	due       time.Time     // the latest deadline of those
	closed    bool
}

// Kind is who a caller is.
type Kind string

// The kinds of callers.
const (
	Client    Kind = "client"
	Neighbour Kind = "neighbour" // another process of the network
	Waiters   Kind = "waiters"   // of a gathered fetch, taken together
)

// Open notes a caller of a route that waits from now on. It has left when the parent context ends before Close.
func (l *Ledger) Open(parent context.Context, kind Kind, route string) *Caller {
	c := &Caller{ledger: l, figures: l.figuresOf(subject{kind, route}), parent: parent}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.figures.inHand.Add(1)
	c.stop = context.AfterFunc(parent, c.Leave)
	return c
}

// Context ends when the caller leaves or is let go. All that is done for it before an attempt is sent ends with it.
func (c *Caller) Context() context.Context {
	if c == nil {
		return context.Background()
	}
	return c.ctx
}

// Leave notes that the caller waits no longer. Only the first call counts.
func (c *Caller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave(time.Now())
}

// leave is the one place where a caller goes from waiting to left. The caller of it holds the lock.
func (c *Caller) leave(now time.Time) {
	if !c.leftAt.IsZero() || c.closed {
		return
	}
	c.ledger.note(c, now) // before the standstills are read: it begins to look for them
	c.leftAt, c.stoodAt = now, c.ledger.standstill.until(now)
	c.finished = c.finishing > 0
	c.figures.left.Add(1)
	c.cancel(ErrLeft)
}

// Left tells whether the caller has left.
func (c *Caller) Left() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasLeft()
}

// hasLeft also sees an end of the parent context that no goroutine has brought yet. The caller of it holds the lock.
func (c *Caller) hasLeft() bool {
	if c.leftAt.IsZero() && c.parent.Err() != nil {
		c.leave(time.Now())
	}
	return !c.leftAt.IsZero()
}

// Finishing tells whether an attempt that is to be finished is under way.
func (c *Caller) Finishing() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishing > 0
}

// Begin asks whether an attempt may be sent now: not for one that has left, nor for one that has its answer. A leave comes either before it, and nothing is sent, or after it, and finds the
// attempt under way. Each attempt that may be sent is to be ended.
func (c *Caller) Begin(policy Policy, due time.Time) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasLeft() || c.closed {
		return false
	}
	c.checkBegun()
	c.open++
	if policy == Finish {
		c.finishing++
		if due.After(c.due) {
			c.due = due
		}
	}
	c.figures.attempts.Add(1)
	return true
}

// checkBegun is the first half of the invariant.
func (c *Caller) checkBegun() {
	if !c.leftAt.IsZero() {
		c.figures.begunAfter.Add(1)
		c.ledger.tell(Breach{Kind: c.figures.kind, Route: c.figures.route, Begun: true, After: time.Since(c.leftAt)})
	}
}

// End notes that an attempt that was begun has ended.
func (c *Caller) End(policy Policy) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if policy == Finish {
		c.finishing--
	}
	c.figures.attempts.Add(-1)
	if c.leftAt.IsZero() {
		return
	}
	c.figures.endedAfter.Add(1)
	c.settle(time.Now())
}

// Close lets the caller go: it has its answer, or nobody is there to take one.
func (c *Caller) Close() {
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.figures.inHand.Add(-1)
	if c.leftAt.IsZero() {
		c.cancel(nil)
		return
	}
	c.settle(time.Now())
}

// settle notes the end of all that was under way for a caller that has left. The caller of it holds the lock.
func (c *Caller) settle(now time.Time) {
	if !c.closed || c.open > 0 {
		return
	}
	c.figures.lastEnd.observe(now.Sub(c.leftAt))
	if late := now.Sub(c.bound(now)); late > 0 {
		c.figures.endedLate.Add(1)
		c.ledger.tell(Breach{Kind: c.figures.kind, Route: c.figures.route, After: now.Sub(c.leftAt), Late: late, Finished: c.finished})
	}
	c.ledger.drop(c)
}

// bound is the second half of the invariant: when all that is under way for a caller that has left should have ended. The caller of it holds
// the lock.
func (c *Caller) bound(now time.Time) time.Time {
	bound := c.leftAt.Add(EndWithin)
	if c.finished && c.due.Add(deadlineSlack).After(bound) {
		bound = c.due.Add(deadlineSlack)
	}
	return bound.Add(c.ledger.standstill.until(now) - c.stoodAt)
}
