package clusterstate

import (
	"fmt"
	"slices"
)

// UsageReport is what the platform is told of one report window: the requests of each tenant. It is fixed in the log before it is sent for
// the first time, so that every later holder of the duty repeats it exactly.
type UsageReport struct {
	Round  int64            `json:"round"` // the window's number: it begins Round report windows after the start of 1970
	Counts map[string]int64 `json:"counts,omitempty"`
}

// UsageLedger is what has become of report windows.
type UsageLedger struct {
	Fixed   int64         // the newest window whose counts are fixed; 0: none yet
	Pending []UsageReport // fixed, and not yet known to be taken by the platform, the oldest first; a copy may be kept, and is not changed
}

const (
	// MostPendingUsage is how many windows may wait for the platform: an hour of its silence, with windows of 5 s. Past that the oldest
	// is let go, and is never reported.
	MostPendingUsage = 720
	// MostUsageTenants is how many tenants one window's counts may name.
	MostUsageTenants = 16384
)

// fixUsage takes the counts of the next window. A window that is fixed already keeps the counts that were fixed first.
func (s *State) fixUsage(report UsageReport) Outcome {
	switch {
	case report.Round == s.Usage.Fixed && report.Round > 0:
		return Outcome{Status: Done}
	case report.Round < s.Usage.Fixed:
		return Outcome{Status: Stale, Text: fmt.Sprintf("round: %d is fixed already", s.Usage.Fixed)}
	case report.Round <= 0:
		return Outcome{Status: Invalid, Text: "round: not above 0"}
	case len(report.Counts) > MostUsageTenants:
		return Outcome{Status: Invalid, Text: fmt.Sprintf("counts: more than %d tenants", MostUsageTenants)}
	}
	s.Usage.Fixed = report.Round
	s.Usage.Pending = keepLast(append(slices.Clone(s.Usage.Pending), report), MostPendingUsage)
	return Outcome{Status: Done}
}

// usageTaken lets a window go that the platform has taken.
func (s *State) usageTaken(round int64) {
	var left []UsageReport // nil where none is left, as it is after a snapshot
	for _, report := range s.Usage.Pending {
		if report.Round != round {
			left = append(left, report)
		}
	}
	s.Usage.Pending = left
}
