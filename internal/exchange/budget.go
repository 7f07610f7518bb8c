package exchange

import "sync/atomic"

// Budget limits the bytes of long requests that are in memory at once. The connection limit bounds short requests, but a few hundred long
// ones would exceed the memory of a small machine.
type Budget struct{ available, size atomic.Int64 }

// NewBudget returns a budget of the given size in bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.Adjust(bytes)
	return b
}

// Adjust changes the size of the budget by a number of bytes, which may be negative.
func (b *Budget) Adjust(bytes int64) {
	b.size.Add(bytes)
	b.available.Add(bytes)
}

// Size returns the size of the budget in bytes: a longer request never fits.
func (b *Budget) Size() int64 { return b.size.Load() }

// Available returns the number of bytes that are free; negative after a reduction below what is in use.
func (b *Budget) Available() int64 { return b.available.Load() }

// Acquire reserves bytes if that many are free. release returns them; further calls of it have no effect.
func (b *Budget) Acquire(bytes int64) (release func(), ok bool) {
	if b.available.Add(-bytes) < 0 {
		b.available.Add(bytes)
		return nil, false
	}
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			b.available.Add(bytes)
		}
	}, true
}
