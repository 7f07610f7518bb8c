package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Cached objects are replaced without notice. The servers name an object's version in its Etag, so that clients know how old a cached
// response is.

const (
	minObjectLife    = 200 * time.Millisecond // between two replacements
	objectLifeSpread = 1300 * time.Millisecond
	staleSlack       = 2 * time.Second // the default of the setting stale_slack
)

// objects holds the versions of the cached objects. All are replaced at once.
type objects struct {
	mu       sync.Mutex
	replaced []time.Time // replaced[i] is when version i+1 was replaced
}

// version returns the present version; the first is 1.
func (o *objects) version() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.replaced) + 1
}

// replace replaces all objects by a new version.
func (o *objects) replace() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replaced = append(o.replaced, time.Now())
}

// replacedAt returns when a version was replaced, and whether it was.
func (o *objects) replacedAt(version int) (at time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version < 1 || version > len(o.replaced) {
		return time.Time{}, false
	}
	return o.replaced[version-1], true
}

// runReplacements replaces the objects repeatedly until the context ends.
func (s *soakRun) runReplacements(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 6))
	for sleep(ctx, minObjectLife+time.Duration(rng.Int64N(int64(objectLifeSpread)))) == nil {
		s.objects.replace()
	}
}

// etagVersion separates the path from the version in an Etag.
const etagVersion = " version "

// etag returns the Etag of a path: that of the present version, if the path is that of a cached object.
func (o *objects) etag(path string) string {
	if isCachedPath(path) {
		path += fmt.Sprint(etagVersion, o.version())
	}
	return fmt.Sprintf("%q", path)
}

// objectVersion returns the version that a response's Etag names; 0 if it names none.
func objectVersion(resp *http.Response) (version int) {
	if _, text, ok := strings.Cut(resp.Header.Get("Etag"), etagVersion); ok {
		fmt.Sscanf(text, "%d", &version)
	}
	return version
}

// isCachedPath reports whether responses for a path are cached.
func isCachedPath(path string) bool {
	kind := kindOfPath(path)
	return kind != nil && kind.cached
}

// checkStale checks that no response holds a version of an object that had been replaced for longer than the shelf of its route and
// stale_slack when the request was sent.
func (e *evidence) checkStale(f findings) {
	for _, req := range e.recorder.requests {
		replacedAt, replaced := e.objects.replacedAt(req.objectVersion)
		if !req.kind.cached || req.status != http.StatusOK || !replaced {
			continue
		}
		shelf := e.maxShelf(req)
		if age := req.started.Sub(replacedAt); age > shelf+staleSlack {
			f.add(ruleStale, "%s answers at %s to %s (%s) with version %d, which was replaced %s before the request was sent; the shelf is %s at most", req.edge,
				e.formatTime(req.end), req.id, req.path, req.objectVersion, age.Round(time.Millisecond), shelf)
		}
	}
}

// maxShelf returns the longest shelf of a request's route in the configurations that its proxy may have held. A proxy that is connected to
// a calm core holds none that was superseded by one acknowledged longer ago than `edition_time`.
func (e *evidence) maxShelf(req *request) (longest time.Duration) {
	oldest := 0
	if e.undisturbed(req) {
		for _, v := range e.versions {
			if v.result == acknowledged && v.defect == valid && v.answered.Add(editionTime).Before(req.started) {
				oldest = max(oldest, v.edition)
			}
		}
	}
	for _, v := range e.versions {
		if v.edition >= oldest && v.defect == valid && v.result != refused && v.sent.Before(req.end) {
			longest = max(longest, v.fields[req.kind.name].shelf)
		}
	}
	return longest
}
