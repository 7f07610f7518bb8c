// Package departure keeps account of callers that leave before they have their answer, and of the attempts that are made for
// them. A caller is whoever waits for work: a client, a neighbour's call, or all who wait for one gathered fetch.
package departure

import (
	"context"
	"sync"
	"time"
)

// Caller is one caller and the attempts under way for it. It is safe for use by many goroutines. A nil Caller stands for the
// process's own account: nobody waits who could leave.
type Caller struct {
	figures *figures
	parent  context.Context
	stop    func() bool

	mu     sync.Mutex
	leftAt time.Time // zero while it waits
	open   int       // attempts that were sent and have not ended
}

// Open notes a caller of a route that waits from now on. It has left when the parent context ends before Close.
func (l *Ledger) Open(parent context.Context, route string) *Caller {
	c := &Caller{figures: l.route(route), parent: parent}
	c.figures.inHand.Add(1)
	c.stop = context.AfterFunc(parent, c.Leave)
	return c
}

// Leave notes that the caller waits no longer.
func (c *Caller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave(time.Now())
}

// leave is the one place where a caller goes from waiting to left. The caller of it holds the lock.
func (c *Caller) leave(now time.Time) {
	if !c.leftAt.IsZero() {
		return
	}
	c.leftAt = now
	c.figures.left.Add(1)
	if c.open == 0 {
		c.figures.lastEnd.observe(0)
	}
}

// Begin notes that an attempt is about to be sent.
func (c *Caller) Begin() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.figures.attempts.Add(1)
	if !c.leftAt.IsZero() {
		c.figures.begunAfter.Add(1)
	}
}

// End notes that an attempt that was begun has ended.
func (c *Caller) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.figures.attempts.Add(-1)
	if c.leftAt.IsZero() {
		return
	}
	c.figures.endedAfter.Add(1)
	if c.open == 0 {
		c.figures.lastEnd.observe(time.Since(c.leftAt))
	}
}

// Close lets the caller go: it has its answer, or nobody is there to take one.
func (c *Caller) Close() {
	c.stop()
	c.figures.inHand.Add(-1)
}
