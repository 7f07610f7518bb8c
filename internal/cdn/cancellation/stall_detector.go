package cancellation

import (
	"sync"
	"time"
)

const (
	// tickInterval is the interval of the stall detector's ticks while attempts of cancelled callers are in flight.
	tickInterval = 100 * time.Millisecond
	// tickSlack is how late a tick may come before it counts as a stall.
	tickSlack = 50 * time.Millisecond
)

// stallDetector adds up the time in which the process was stopped, or got no CPU time, between start and stop. The zero value is not
// started and has measured no stall.
type stallDetector struct {
	mu       sync.Mutex
	lastTick time.Time
	total    time.Duration
}

// start starts the measurement. Earlier stalls are not counted.
func (s *stallDetector) start(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTick = now
}

// stop stops the measurement until the next start.
func (s *stallDetector) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTick = time.Time{}
}

// tick records that the process runs at the given time, and adds a stall since the last tick.
func (s *stallDetector) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += s.currentStall(now)
	s.lastTick = now
}

// totalAt returns the total stall time up to now, with a current stall that no tick has recorded yet.
func (s *stallDetector) totalAt(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total + s.currentStall(now)
}

// currentStall returns the whole time since the last tick if the next one is already late, because the stall may have started right
// after that tick; otherwise 0. s.mu must be held.
func (s *stallDetector) currentStall(now time.Time) time.Duration {
	if since := now.Sub(s.lastTick); !s.lastTick.IsZero() && since > tickInterval+tickSlack {
		return since
	}
	return 0
}
