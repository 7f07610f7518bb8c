package clusterstate

// UsageReport is what the platform is told of one report window: the requests of each tenant. It is fixed in the log before it is sent for
// the first time, so that every later holder of the duty repeats it exactly.
type UsageReport struct {
	Round  int64            `json:"round"` // the window's number: it begins Round report windows after the start of 1970
	Counts map[string]int64 `json:"counts,omitempty"`
}

// UsageLedger is what has become of report windows.
type UsageLedger struct {
	Fixed   int64         // the newest window whose counts are fixed; 0: none yet
	Pending []UsageReport // fixed, and not yet known to be taken by the platform, the oldest first
}
