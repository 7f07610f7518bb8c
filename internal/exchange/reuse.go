package exchange

import (
	"math"
	"sync"
	"time"
)

// reuseTracker learns for how long an idle connection to a server can be reused safely. Servers and middleboxes close idle connections
// earlier than they announce, sometimes without notice: the next request on such a connection ends in a reset, and the router can't
// know whether it has run. These resets occur at once and only beyond a certain idle time, which distinguishes them from resets that
// affect connections of any idle time.
type reuseTracker struct {
	mu      sync.Mutex
	buckets [len(idleBounds) + 1]reuseStats
}

// reuseStats counts the results of requests on connections of one idle-time bucket; the counts decay exponentially.
type reuseStats struct {
	succeeded, reset float64
	updated          time.Time // of the last decay
}

// idleBounds holds the upper bounds of the idle-time buckets; the last bucket has none. The first bucket is the baseline for the others.
var idleBounds = [...]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond}

const (
	reuseHalfLife                = 10 * time.Second // half-life of the counts: idle times that are no longer used are tried again eventually
	minResets                    = 2.0              // fewer resets than this prove nothing
	maxExcessResets              = 0.12             // a bucket is not used if its share of resets exceeds the baseline's by more than this
	maxExcessResetsNonIdempotent = 0.02             // the same for non-idempotent requests
)

// idleBucket returns the index of the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	i := 0
	for i < len(idleBounds) && idle >= idleBounds[i] {
		i++
	}
	return i
}

// decay ages the counts up to now.
func (t *reuseStats) decay(now time.Time) {
	if !t.updated.IsZero() {
		factor := math.Exp2(-now.Sub(t.updated).Seconds() / reuseHalfLife.Seconds())
		t.succeeded, t.reset = t.succeeded*factor, t.reset*factor
	}
	t.updated = now
}

// resetShare returns the share of requests that ended in a reset.
func (t *reuseStats) resetShare() float64 { return t.reset / max(t.succeeded+t.reset, 1) }

// record counts the result of the first request on a connection after the given idle time.
func (t *reuseTracker) record(idle time.Duration, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	bucket := &t.buckets[idleBucket(idle)]
	bucket.decay(now)
	if ok {
		bucket.succeeded++
	} else {
		bucket.reset++
	}
}

// maxIdle returns the idle time up to which connections are reused, at most the given timeout, for idempotent or non-idempotent requests.
func (t *reuseTracker) maxIdle(nonIdempotent bool, timeout time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	maxExcess, minimum := maxExcessResets, minResets
	if nonIdempotent {
		maxExcess, minimum = maxExcessResetsNonIdempotent, minResets/2
	}
	t.buckets[0].decay(now)
	baseline := t.buckets[0].resetShare()
	for i := 1; i < len(t.buckets); i++ {
		bucket := &t.buckets[i]
		bucket.decay(now)
		if bucket.reset >= minimum && bucket.resetShare() > baseline+maxExcess {
			return min(idleBounds[i-1], timeout)
		}
	}
	return timeout
}
