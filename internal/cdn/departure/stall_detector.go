package departure

import (
	"sync"
	"time"
)

const (
	// pulseEvery is how often the time is noted while something is under way for a caller that has left.
	pulseEvery = 100 * time.Millisecond
	// pulseSlack is how late a pulse may come before it counts as a standstill.
	pulseSlack = 50 * time.Millisecond
)

// standstill adds up for how long the process was stopped, or had no share of the processor, between begin and end. The zero value has not
// begun and knows of none.
type standstill struct {
	mu   sync.Mutex
	last time.Time
	sum  time.Duration
}

// begin begins to look: what was before is of no interest.
func (s *standstill) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
}

// end ends it until the next begin.
func (s *standstill) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = time.Time{}
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

// late is the time since the last pulse, if the next one would come too late now: the standstill may have begun right after that one. The
// caller holds the lock.
func (s *standstill) late(now time.Time) time.Duration {
	if since := now.Sub(s.last); !s.last.IsZero() && since > pulseEvery+pulseSlack {
		return since
	}
	return 0
}
