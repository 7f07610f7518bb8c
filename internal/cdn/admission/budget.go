// Package admission bounds what callers can make a process hold, on all its ports together: connections, heads and bodies of requests,
// messages between processes, and answers that nobody reads. Each is charged to a budget before it is kept, the budgets together are a part
// of the process's memory, and what does not fit is refused.
package admission

import (
	"errors"
	"sync/atomic"
)

// ErrNoRoom is the error of what is refused because its budget is used up.
var ErrNoRoom = errors.New("no memory for this now")

// ErrOverShare is the error of what is refused because its owner holds more than its share of a budget; see Partition.
var ErrOverShare = errors.New("its owner holds too much of the memory for this")

// Budget is a number of bytes that may be held at once. It is safe for concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
	parent  *Budget // is charged as well; nil: none
}

// NewBudget returns a budget of so many bytes. What it is charged is charged to the parent as well, unless that is nil.
func NewBudget(limit int64, parent *Budget) *Budget { return &Budget{limit: limit, parent: parent} }

// Limit returns the number of bytes that may be held at once: more never fits.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are held now.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often something did not fit.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// acquire charges bytes, and reports whether they fit.
func (b *Budget) acquire(bytes int64) bool {
	if b.used.Add(bytes) > b.limit || b.parent != nil && !b.parent.acquire(bytes) {
		b.used.Add(-bytes)
		b.refused.Add(1)
		return false
	}
	return true
}

// release returns bytes.
func (b *Budget) release(bytes int64) {
	b.used.Add(-bytes)
	if b.parent != nil {
		b.parent.release(bytes)
	}
}

// Reserve returns a reservation without bytes.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is what one connection, request or message holds of a budget. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Grow charges further bytes, or returns ErrNoRoom and charges nothing.
func (r *Reservation) Grow(bytes int64) error {
	if !r.budget.acquire(bytes) {
		return ErrNoRoom
	}
	r.bytes += bytes
	return nil
}

// Shrink returns bytes to the budget, at most those that are held.
func (r *Reservation) Shrink(bytes int64) {
	bytes = min(bytes, r.bytes)
	r.bytes -= bytes
	r.budget.release(bytes)
}

// Limit returns the number of bytes that the budget holds at most: more never fits.
func (r *Reservation) Limit() int64 { return r.budget.limit }

// Split moves bytes, at most those that are held, to a reservation of their own.
func (r *Reservation) Split(bytes int64) *Reservation {
	bytes = min(bytes, r.bytes)
	r.bytes -= bytes
	return &Reservation{budget: r.budget, bytes: bytes}
}

// Release returns all bytes. Nil and empty reservations have none.
func (r *Reservation) Release() {
	if r != nil {
		r.Shrink(r.bytes)
	}
}
