// Package usage counts the requests of tenants by report windows, brings each proxy's counts to the holder of the duty, and decides what is
// fixed in the log and sent to the platform. It does no I/O and reads no clock.
package usage

import "time"

// Counts are requests by tenant.
type Counts map[string]int64

// Report is what one life of a proxy has counted, in every window that is not fixed yet. It is cumulative: a later report of the same life
// replaces the earlier ones, so that one that is lost or repeated changes nothing.
type Report struct {
	Node     string
	Life     string           // drawn at the process's start
	Sequence uint64           // rises with every report of a life
	Final    int64            // windows up to this one have ended, and their counts change no more
	Windows  map[int64]Counts // by number
}

// Sum is one window over all proxies.
type Sum struct {
	Round    int64
	Counts   Counts
	Complete bool // every proxy of the roster has told its final count
}

// RoundOf is the number of the window in which a moment of true time lies.
func RoundOf(at time.Time, window time.Duration) int64 { return at.UnixNano() / int64(window) }

// EndOf is the moment of true time at which a window ends.
func EndOf(round int64, window time.Duration) time.Time { return time.Unix(0, (round+1)*int64(window)) }
