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

// late is the time since the last call, if the next one would come too late now: the standstill may have begun right after that one. The
// caller holds the lock.
func (s *standstill) late(now time.Time) time.Duration {
	if since := now.Sub(s.last); !s.last.IsZero() && since > PulseEvery+pulseSlack {
		return since
	}
	return 0
}
