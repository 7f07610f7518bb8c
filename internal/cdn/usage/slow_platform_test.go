package usage

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// With a platform that accepts each report but answers after the call has timed out (cloud_slow), every fixed window
// must be sent within a short time, not only the oldest.
func TestSlowPlatformReceivesAllWindows(t *testing.T) {
	r := NewReporter(timetable)
	ledger := clusterstate.UsageLedger{Fixed: 102, Pending: pending(99, 100, 101).Pending}
	sentRounds := map[int64]int{}
	for now := windowStart; now.Before(windowStart.Add(60 * time.Second)); now = now.Add(100 * time.Millisecond) {
		v := holderView(7, ledger)
		v.Now, v.True, v.Proof, v.Summed = now, windowStart, now, false
		if step := r.Next(v); step.Kind == Send {
			sentRounds[step.Report.Round]++
			now = now.Add(1500 * time.Millisecond)
			r.Sent(now, 7, Unanswered, 0)
		}
	}
	for round := int64(99); round <= 101; round++ {
		if sentRounds[round] == 0 {
			t.Errorf("window %d was not sent in 60 s: %v", round, sentRounds)
		}
	}
}
