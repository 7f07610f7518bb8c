package edge

import (
	"sync"
	"time"

	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/objectcache"
)

// fetch is one request to the servers that several client requests may wait for. It continues while one of them waits.
type fetch struct {
	done    chan struct{}
	started time.Time
	result  Fetched
	caller  *cancellation.Caller // stands for all waiters together

	clientKey string // key of the request that started it: servers see that key's tenant

	abandoned bool // it ended after the last waiter had left; set before done is closed

	// Guarded by fetches.mu:
	waiters    int  // number of waiters
	background bool // started by the router itself: continues without waiters
	allLeft    bool // the last waiter has left
	ended      bool // the fetch has ended
}

// fetches holds the fetches in flight, so that requests for the same object share one.
type fetches struct {
	mu       sync.Mutex
	inFlight map[fetchKey]*fetch
}

// join adds a waiter or, if waits is false, lets the fetch continue without waiters. The caller holds fetches.mu.
func (w *fetch) join(waits bool) {
	if waits {
		w.waiters++
	} else {
		w.background = true
	}
}

// leave removes a waiter. When the last one leaves the fetch is cancelled, except for an attempt that was sent and whose response will be
// cached: requests for the object that arrive meanwhile join it.
func (f *fetches) leave(key fetchKey, w *fetch) {
	f.mu.Lock()
	w.waiters--
	last := w.waiters == 0 && !w.background && !w.allLeft && !w.ended
	if last {
		w.allLeft = true
		if !w.caller.Finishing() && f.inFlight[key] == w {
			delete(f.inFlight, key)
		}
	}
	f.mu.Unlock()
	if last {
		w.caller.Cancel()
	}
}

// remove marks a fetch as ended and removes it.
func (f *fetches) remove(key fetchKey, w *fetch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.ended, w.abandoned = true, w.allLeft
	if f.inFlight[key] == w {
		delete(f.inFlight, key)
	}
}

// fetchKey identifies a fetch. A router's fetches as a zone's cache router are separate from its fetches as a shield, so that they can't
// wait for each other in a cycle.
type fetchKey struct {
	objectcache.Key
	asShield  bool
	requestID string // of the only request that waits for the fetch; empty: all requests for the object share it
}

// count returns the number of fetches in flight.
func (f *fetches) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.inFlight)
}
