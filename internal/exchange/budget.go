package exchange

import "sync/atomic"

// Budget bounds the bytes of long requests that are held at once: connections bound the short ones, but a few hundred
// long ones would be more than a small machine has.
type Budget struct{ left, most atomic.Int64 }

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.Grow(bytes)
	return b
}

// Grow changes the budget by so many bytes, which may be under 0.
func (b *Budget) Grow(bytes int64) {
	b.most.Add(bytes)
	b.left.Add(bytes)
}

// Most is all of it: what is longer never finds room.
func (b *Budget) Most() int64 { return b.most.Load() }

// Left is how much of it is free.
func (b *Budget) Left() int64 { return b.left.Load() }

// Take takes bytes if they are there; release gives them back, once.
func (b *Budget) Take(bytes int64) (release func(), ok bool) {
	if b.left.Add(-bytes) < 0 {
		b.left.Add(bytes)
		return nil, false
	}
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			b.left.Add(bytes)
		}
	}, true
}
