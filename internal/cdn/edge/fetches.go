package edge

import (
	"sync"

	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/objectcache"
)

// fetch is one question to the servers that several requests wait for. It goes on while one of them waits.
type fetch struct {
	done   chan struct{}
	got    Fetched
	caller *departure.Caller // all who wait, taken together

	clientKey string // of the one who began it: servers are shown his tenant

	abandoned bool // it ended after the last who waited had left; set before done is closed

	// Under the lock of all fetches:
	waiting int
	kept    bool // for the router's own account: nobody need wait
	left    bool // nobody waits any more
	settled bool // it has ended
}

type fetches struct {
	mu  sync.Mutex
	all map[level]*fetch
}

// join counts one more who waits, or with waits false keeps the fetch. The caller holds the lock.
func (w *fetch) join(waits bool) {
	if waits {
		w.waiting++
	} else {
		w.kept = true
	}
}

// leave counts one who waits no longer. With the last one the fetch ends, but for what was sent and becomes a copy: whoever asks for
// the object meanwhile waits for that.
func (f *fetches) leave(at level, w *fetch) {
	f.mu.Lock()
	w.waiting--
	ends := w.waiting == 0 && !w.kept && !w.left && !w.settled
	if ends {
		w.left = true
		if !w.caller.Finishing() && f.all[at] == w {
			delete(f.all, at)
		}
	}
	f.mu.Unlock()
	if ends {
		w.caller.Leave()
	}
}

// settled takes a fetch that has ended out.
func (f *fetches) settled(at level, w *fetch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.settled, w.abandoned = true, w.left
	if f.all[at] == w {
		delete(f.all, at)
	}
}

// level keeps what a router asks as a zone's cache router apart from what it asks as a shield: neither waits for the other
// in a circle.
type level struct {
	objectcache.Key
	home bool
}

// count is how many are under way.
func (f *fetches) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.all)
}
