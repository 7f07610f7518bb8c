package usage

import (
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
)

// A platform that takes each report but answers later than a call lasts (cloud_slow): every window that is fixed is to be sent within a short while,
// and not the oldest alone.
func TestASlowPlatformHearsOfAllWindows(t *testing.T) {
	r := NewReporter(timetable)
	ledger := clusterstate.UsageLedger{Fixed: 102, Pending: pending(99, 100, 101).Pending}
	sentRounds := map[int64]int{}
	for now := begin; now.Before(begin.Add(60 * time.Second)); now = now.Add(100 * time.Millisecond) {
		v := holds(7, ledger)
		v.Now, v.True, v.Proof, v.Summed = now, begin, now, false
		if step := r.Next(v); step.Kind == Send {
			sentRounds[step.Report.Round]++
			now = now.Add(1500 * time.Millisecond)
			r.Sent(now, 7, Unanswered, 0)
		}
	}
	for round := int64(99); round <= 101; round++ {
		if sentRounds[round] == 0 {
			t.Errorf("window %d is not sent in 60 s: %v", round, sentRounds)
		}
	}
}
