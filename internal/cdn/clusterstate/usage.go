package clusterstate

import (
	"fmt"
	"slices"
)

// UsageReport is the report of one window to the platform: the number of requests of each tenant. It is written to the log before it is
// sent for the first time, so that every later holder of the duty repeats it exactly.
type UsageReport struct {
	Round  int64            `json:"round"`            // number of the window, which begins Round report windows after the start of 1970
	Counts map[string]int64 `json:"counts,omitempty"` // requests, by tenant
}

// UsageLedger records which report windows have final counts and which are still to be accepted by the platform.
type UsageLedger struct {
	Fixed   int64         // the newest window whose counts are final; 0: none yet
	Pending []UsageReport // final, but not known to be accepted by the platform, the oldest first; the slice is replaced, never modified
}

const (
	// MaxPendingUsage is the maximum number of windows that wait for the platform: an hour of its silence, with windows of 5 s. Past that
	// the oldest is dropped and never reported.
	MaxPendingUsage = 720
	// MaxUsageTenants is the maximum number of tenants in one window's counts.
	MaxUsageTenants = 16384
)

// fixUsage records the final counts of the next window. A repeat for the newest window keeps its first counts.
func (s *State) fixUsage(report UsageReport) Outcome {
	switch {
	case report.Round == s.Usage.Fixed && report.Round > 0:
		return Outcome{Status: StatusOK}
	case report.Round < s.Usage.Fixed:
		return Outcome{Status: StatusStale, Text: fmt.Sprintf("round: %d is fixed already", s.Usage.Fixed)}
	case report.Round <= 0:
		return Outcome{Status: StatusInvalid, Text: "round: not above 0"}
	case len(report.Counts) > MaxUsageTenants:
		return Outcome{Status: StatusInvalid, Text: fmt.Sprintf("counts: more than %d tenants", MaxUsageTenants)}
	}
	s.Usage.Fixed = report.Round
	s.Usage.Pending = keepLast(append(slices.Clone(s.Usage.Pending), report), MaxPendingUsage)
	return Outcome{Status: StatusOK}
}

// acknowledgeUsage drops a window whose report the platform has accepted.
func (s *State) acknowledgeUsage(round int64) {
	var pending []UsageReport // nil if none is left, as after restoring a snapshot
	for _, report := range s.Usage.Pending {
		if report.Round != round {
			pending = append(pending, report)
		}
	}
	s.Usage.Pending = pending
}
