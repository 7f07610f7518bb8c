package departure

import (
	"sync"
	"time"
)

const (
	// PulseEvery is how often a Ledger's Pulse is to be called.
	PulseEvery = 100 * time.Millisecond
	// pulseSlack is how late a call may come before it counts as a standstill.
	pulseSlack = 50 * time.Millisecond
)

// standstill adds up for how long the process was stopped, or had no share of the processor. The zero value has never been called and knows
// of none.
type standstill struct {
	mu   sync.Mutex
	last time.Time
	sum  time.Duration
}

func (s *standstill) pulse(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum += s.late(now)
	s.last = now
}

// until is the sum up to a moment, with the standstill that has not been noted yet.
func (s *standstill) until(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum + s.late(now)
}

// late is how much too late a call would come now. The caller holds the lock.
func (s *standstill) late(now time.Time) time.Duration {
	if s.last.IsZero() {
		return 0
	}
	if late := now.Sub(s.last) - PulseEvery; late > pulseSlack {
		return late
	}
	return 0
}
