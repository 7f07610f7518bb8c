// Package objectcache is a cache of objects with expiry, purges by path or label, refresh before expiry and LRU eviction. It does no
// I/O and has no clock. Its methods may be called from many goroutines.
package objectcache

import (
	"container/heap"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
	"weak"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Key identifies an object: its service, and the host, path and query with which a client requests it, as in the request line. The path of
// a target that ends with its question mark includes that.
type Key struct{ Service, Host, Path, Query string }

// SetTarget sets path and query from the target of a request line.
func (k *Key) SetTarget(target string) {
	path, query, _ := strings.Cut(target, "?")
	if k.Path, k.Query = path, query; query == "" {
		k.Path = target
	}
}

// place returns what a purge by path names the object by.
func (k Key) place() pathKey { return pathKey{k.Host, strings.TrimSuffix(k.Path, "?")} }

// Target returns the target of the request line: the path with the query.
func (k Key) Target() string {
	if k.Query != "" {
		return k.Path + "?" + k.Query
	}
	return k.Path
}

// Hash returns the key's FNV-1a hash, which is the same on every router.
func (k Key) Hash() uint64 {
	h := uint64(14695981039346656037)
	for _, part := range [...]string{k.Service, k.Host, k.Path, k.Query} {
		for i := range len(part) {
			h = (h ^ uint64(part[i])) * 1099511628211
		}
		h *= 1099511628211 // hashes a zero byte between the parts
	}
	return h
}

// Entry is a cache entry: a complete object as a server returned it. Its exported fields must not change once it is stored.
type Entry struct {
	Header      http.Header // end-to-end headers, without those that belong to one request
	Body        []byte
	ETag        string
	Labels      []string
	TTL         time.Duration // time to live, from the request to the server or the last validation
	ValidatedAt time.Time     // when it was requested from the server, or last confirmed as unchanged
	LogIndex    uint64        // index of the replicated log when the server was asked
	FromOwner   bool          // fetched from the cache router that owns the key: the owner refreshes it, not this router

	FetchedFor Requester // the request that it was fetched for

	requester     Requester // the last request that it served; ID is cleared once a server has seen it; guarded by Cache.mu
	refreshesLeft int       // refreshes that remain until it is requested again; guarded by Cache.mu
}

// Requester identifies a client's request for an object. ID and ClientKey belong together: a server gets the id with that key's tenant.
type Requester struct {
	ID        string // the client's Try-Id
	ClientKey string // empty on a route that needs no key
}

// Revalidated returns the entry as revalidated by a server: with a new time, log index and time to live.
func (e *Entry) Revalidated(at time.Time, index uint64, ttl time.Duration) *Entry {
	return &Entry{Header: e.Header, Body: e.Body, ETag: e.ETag, Labels: e.Labels, TTL: ttl, ValidatedAt: at, LogIndex: index,
		FromOwner: e.FromOwner, FetchedFor: e.FetchedFor}
}

// refreshesPerUse is how many times an entry is refreshed after it was last requested. Two cover an object that is requested once in
// every two lifetimes.
const refreshesPerUse = 2

// size estimates the memory of the entry and its key in bytes.
func (e *Entry) size(k Key) int64 {
	n := int64(len(e.Body)+len(k.Host)+len(k.Path)+len(k.Query)) + 512
	for name, values := range e.Header {
		n += int64(len(name)) + 32
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// Freshness says how fresh a cache entry is.
type Freshness int

// The values, from the freshest.
const (
	Fresh      Freshness = iota
	RefreshDue           // may be served, but it is time to revalidate it with the server
	Stale                // may only be revalidated
	Miss                 // not in the cache
)

// Cache holds entries up to a total size in bytes.
type Cache struct {
	mu             sync.Mutex
	maxBytes       int64
	lru            *simplelru.LRU[Key, *Entry]
	bytes          int64
	byPath         map[pathKey]map[Key]struct{}
	byLabel        map[string]map[Key]struct{}
	recentPurges   []purge      // the latest ones, oldest first: an object requested before a purge is not stored after it
	refreshes      refreshQueue // refresh times of stored entries, and of some that were removed
	purgeBytes     int          // size of those
	forgottenIndex uint64       // purges up to this index are no longer remembered
	Stats          Stats        // guarded by mu
}

// Stats holds counters of entries: stored, evicted for memory, purged, and not stored because a purge arrived during the fetch.
type Stats struct{ Stored, Evicted, Purged, PurgedInFlight int64 }

type pathKey struct{ host, path string }

type purge struct {
	index uint64
	pathKey
	label string
}

// size returns the bytes of the purge's names.
func (p purge) size() int { return len(p.host) + len(p.path) + len(p.label) }

const (
	maxEntries = 1 << 20
	maxPurges  = 4096
	// maxPurgeBytes bounds the names of the purges that are remembered.
	maxPurgeBytes = 4 << 20
	// The refreshes of removed entries are forgotten when there are more than minRefreshes and maxRefreshesPerEntry for each entry.
	minRefreshes         = 1024
	maxRefreshesPerEntry = 2
)

// New returns an empty cache for at most so many bytes.
func New(maxBytes int64) *Cache {
	c := &Cache{maxBytes: maxBytes, byPath: map[pathKey]map[Key]struct{}{}, byLabel: map[string]map[Key]struct{}{}}
	c.lru, _ = simplelru.NewLRU[Key, *Entry](maxEntries, nil) // fails only for a size that is not positive
	return c
}

// Lifetime bounds how long entries may be served. It comes from the configuration in force: an entry that was stored under an earlier one
// is served no longer than this one allows.
type Lifetime struct {
	MaxTTL time.Duration // upper bound of an entry's own TTL; 0: it may only be revalidated
	Slack  time.Duration // how long after its expiry it may still be served while it is revalidated
}

// Get returns the entry of a key and its freshness. Requester is the client's request that the entry will answer; without an id it stands
// for no request.
func (c *Cache) Get(k Key, now time.Time, lifetime Lifetime, requester Requester) (*Entry, Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, freshness := c.lookup(k, now, lifetime)
	if freshness == Fresh || freshness == RefreshDue {
		entry.refreshesLeft = refreshesPerUse
		if requester.ID != "" {
			entry.requester = requester
		}
	}
	return entry, freshness
}

// Peek is like Get, but does not count as a request for the entry, so that it is not refreshed again because of it.
func (c *Cache) Peek(k Key, now time.Time, lifetime Lifetime) (*Entry, Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lookup(k, now, lifetime)
}

// lookup finds an entry and its freshness. c.mu must be held.
func (c *Cache) lookup(k Key, now time.Time, lifetime Lifetime) (*Entry, Freshness) {
	entry, ok := c.lru.Get(k)
	if !ok {
		return nil, Miss
	}
	return entry, entry.freshness(now, lifetime)
}

// freshness returns the entry's freshness at the given time.
func (e *Entry) freshness(now time.Time, lifetime Lifetime) Freshness {
	ttl := min(e.TTL, lifetime.MaxTTL)
	switch age := now.Sub(e.ValidatedAt); {
	case ttl <= 0:
		return Stale
	case age < refreshAge(ttl):
		return Fresh
	case age < ttl+lifetime.Slack:
		return RefreshDue
	}
	return Stale
}

// refreshAge is the age from which an entry with a time to live should be revalidated.
func refreshAge(ttl time.Duration) time.Duration { return ttl * 3 / 4 }

// refresh is the time at which an entry is to be revalidated. It does not keep an entry in memory that has been removed from the cache.
type refresh struct {
	at time.Time
	Key
	entry weak.Pointer[Entry]
}

// refreshQueue is a heap of refreshes, ordered by time.
type refreshQueue []refresh

func (q refreshQueue) Len() int           { return len(q) }
func (q refreshQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q refreshQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *refreshQueue) Push(x any)        { *q = append(*q, x.(refresh)) }
func (q *refreshQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = refresh{}
	*q = (*q)[:len(*q)-1]
	return last
}

// RefreshCandidate is an entry that was requested lately and is about to expire.
type RefreshCandidate struct {
	Key
	*Entry
	Requester Requester // a request that the entry has served; without an id if a server may have seen the id
}

// DueForRefresh returns up to limit entries that should be revalidated now, each once. Entries that were not requested lately are skipped.
func (c *Cache) DueForRefresh(now time.Time, limit int) (candidates []RefreshCandidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.refreshes) > 0 && len(candidates) < limit && !c.refreshes[0].at.After(now) {
		next := heap.Pop(&c.refreshes).(refresh)
		if entry := c.stored(next); entry != nil && entry.refreshesLeft > 0 {
			candidates = append(candidates, RefreshCandidate{next.Key, entry, entry.requester})
			entry.requester.ID = ""
		}
	}
	return candidates
}

// stored returns the entry of a refresh, or nil if the cache no longer holds it. The caller holds the lock.
func (c *Cache) stored(r refresh) *Entry {
	entry, ok := c.lru.Peek(r.Key)
	if !ok || entry != r.entry.Value() {
		return nil
	}
	return entry
}

// scheduleRefresh adds the refresh of an entry that has just been stored, and forgets those of removed entries when they are too many. The
// caller holds the lock.
func (c *Cache) scheduleRefresh(k Key, entry *Entry) {
	heap.Push(&c.refreshes, refresh{entry.ValidatedAt.Add(refreshAge(entry.TTL)), k, weak.Make(entry)})
	if len(c.refreshes) > minRefreshes+maxRefreshesPerEntry*c.lru.Len() {
		c.refreshes = slices.DeleteFunc(c.refreshes, func(r refresh) bool { return c.stored(r) == nil })
		heap.Init(&c.refreshes)
	}
}

// Put stores an entry and reports whether it did. It does not if a purge of the object arrived after the server was asked, if a newer
// entry is stored, or if the entry is larger than a quarter of the cache.
func (c *Cache) Put(k Key, entry *Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.purgedBetween(k, entry, math.MaxUint64) {
		c.Stats.PurgedInFlight++
		return false
	}
	entry.requester = Requester{ClientKey: entry.FetchedFor.ClientKey}
	size := entry.size(k)
	if size > c.maxBytes/4 {
		return false
	}
	if old, ok := c.lru.Peek(k); ok {
		if old.ValidatedAt.After(entry.ValidatedAt) { // the stored one was requested later
			return false
		}
		c.remove(k, old)
		entry.refreshesLeft = max(old.refreshesLeft-1, 0)
		// A request was served from the cache in the meantime, so no server has seen its id.
		if old.requester.ID != "" && old.requester.ID != entry.FetchedFor.ID {
			entry.requester = old.requester
		}
	} else {
		entry.refreshesLeft = refreshesPerUse
	}
	c.lru.Add(k, entry)
	if !entry.FromOwner {
		c.scheduleRefresh(k, entry)
	}
	c.bytes += size
	addToIndex(c.byPath, k.place(), k)
	for _, label := range entry.Labels {
		addToIndex(c.byLabel, label, k)
	}
	c.evict()
	c.Stats.Stored++
	return true
}

// evict removes the entries that were not used for longest until the rest fits. The caller holds the lock.
func (c *Cache) evict() {
	for c.bytes > c.maxBytes {
		k, old, ok := c.lru.GetOldest()
		if !ok {
			return
		}
		c.Stats.Evicted++
		c.remove(k, old)
	}
}

// SetMaxBytes changes the total size that entries may have.
func (c *Cache) SetMaxBytes(maxBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxBytes = maxBytes
	c.evict()
}

// PurgedBetween reports whether a purge after the entry's log index, up to another index, matches the entry.
func (c *Cache) PurgedBetween(k Key, entry *Entry, last uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.purgedBetween(k, entry, last)
}

// purgedBetween is PurgedBetween; c.mu must be held. Purges that are no longer remembered match every entry.
func (c *Cache) purgedBetween(k Key, entry *Entry, last uint64) bool {
	if entry.LogIndex < min(c.forgottenIndex, last) {
		return true
	}
	for i := len(c.recentPurges) - 1; i >= 0 && c.recentPurges[i].index > entry.LogIndex; i-- {
		p := c.recentPurges[i]
		if p.index > last {
			continue
		}
		if p.label == "" && p.pathKey == k.place() {
			return true
		}
		for _, label := range entry.Labels {
			if p.label != "" && label == p.label {
				return true
			}
		}
	}
	return false
}

// addToIndex adds a key to an index.
func addToIndex[K comparable](index map[K]map[Key]struct{}, value K, k Key) {
	if index[value] == nil {
		index[value] = map[Key]struct{}{}
	}
	index[value][k] = struct{}{}
}

// removeFromIndex removes a key from an index.
func removeFromIndex[K comparable](index map[K]map[Key]struct{}, value K, k Key) {
	if delete(index[value], k); len(index[value]) == 0 {
		delete(index, value)
	}
}

// remove removes an entry from the cache and its indexes. c.mu must be held.
func (c *Cache) remove(k Key, entry *Entry) {
	c.lru.Remove(k)
	c.bytes -= entry.size(k)
	removeFromIndex(c.byPath, k.place(), k)
	for _, label := range entry.Labels {
		removeFromIndex(c.byLabel, label, k)
	}
}

// Purge removes the entries of a path, or those with a label, if one is given, that were requested before the log entry of the given index.
func (c *Cache) Purge(index uint64, host, path, label string) {
	host = strings.ToLower(host)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rememberPurge(purge{index, pathKey{host, path}, label})
	matching := c.byLabel[label]
	if label == "" {
		matching = c.byPath[pathKey{host, path}]
	}
	for k := range matching {
		if entry, ok := c.lru.Peek(k); ok && entry.LogIndex < index {
			c.Stats.Purged++
			c.remove(k, entry)
		}
	}
}

// rememberPurge adds a purge to the latest ones, and forgets the oldest if they are too many. The caller holds the lock.
func (c *Cache) rememberPurge(p purge) {
	c.recentPurges = append(c.recentPurges, p)
	c.purgeBytes += p.size()
	for len(c.recentPurges) > maxPurges || c.purgeBytes > maxPurgeBytes {
		oldest := c.recentPurges[0]
		c.forgottenIndex = oldest.index
		c.purgeBytes -= oldest.size()
		c.recentPurges[0] = purge{}
		c.recentPurges = c.recentPurges[1:]
	}
}

// Reset removes all entries, because purges up to the given log index may have been missed.
func (c *Cache) Reset(index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Purge()
	clear(c.byPath)
	clear(c.byLabel)
	c.bytes, c.recentPurges, c.purgeBytes, c.forgottenIndex, c.refreshes = 0, nil, 0, index, nil
}

// Size returns the number of entries and their size in bytes.
func (c *Cache) Size() (entries int, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Len(), c.bytes
}
