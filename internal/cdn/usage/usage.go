// Package usage counts the requests of tenants per report window, collects the counts of all proxies at the duty
// holder, and decides which windows are fixed and which are sent to the platform. A window is fixed once its counts are
// committed to the replicated log; they do not change afterwards. The package does no I/O and reads no clock.
package usage

import "time"

// Counts holds the number of requests by tenant.
type Counts map[string]int64

// Report holds what one process instance of a proxy has counted, in every window that is not fixed yet. It is
// cumulative: a later report of the same instance replaces the earlier ones, so that a lost or repeated report changes
// nothing.
type Report struct {
	Node     string
	Life     string           // identifies the process instance; random, set at process start
	Sequence uint64           // increases with every report of an instance
	Final    int64            // windows up to this one have ended, and their counts no longer change
	Windows  map[int64]Counts // by window number
}

// Sum holds the counts of one window, added up over all proxies.
type Sum struct {
	Round    int64
	Counts   Counts
	Complete bool // every proxy of the roster has reported its final counts
}

// RoundOf returns the number of the window that contains a moment of true time.
func RoundOf(at time.Time, window time.Duration) int64 { return at.UnixNano() / int64(window) }

// EndOf returns the moment of true time at which a window ends.
func EndOf(round int64, window time.Duration) time.Time { return time.Unix(0, (round+1)*int64(window)) }
