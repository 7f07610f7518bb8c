// Package objectcache keeps copies of objects: for how long each may be handed on, what a purge ends, and which are let go when
// memory runs out. It does no I/O and has no clock; its methods may be called from many goroutines.
package objectcache

import (
	"container/heap"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Key names an object: where a client asks for it, as it is written in the request line, and the service that has it.
type Key struct{ Service, Host, Path, Query string }

// Target is the request line's.
func (k Key) Target() string {
	if k.Query != "" {
		return k.Path + "?" + k.Query
	}
	return k.Path
}

// Hash maps a key to a number, by FNV-1a: the same at every router.
func (k Key) Hash() uint64 {
	h := uint64(14695981039346656037)
	for _, part := range [...]string{k.Service, k.Host, k.Path, k.Query} {
		for i := range len(part) {
			h = (h ^ uint64(part[i])) * 1099511628211
		}
		h *= 1099511628211 // as a byte of zero between the parts
	}
	return h
}

// Copy is a whole object as a server gave it. It is not changed once it is stored.
type Copy struct {
	Header http.Header // end to end, without what belongs to one request
	Body   []byte
	ETag   string
	Labels []string
	Shelf  time.Duration // how long it may be handed on
	At     time.Time     // when the server was asked for it, or last said that it has not changed
	Index  uint64        // of the common history as the server was asked
	Lent   bool          // by the cache router that the key belongs to: that one asks the servers in time, not this one

	For Asker // whom it was fetched for

	by     Asker // the last request that it answered, without its id once a server has seen that; the cache's
	wanted int   // times that it is yet to be asked about before it ends; the cache's
}

// Asker is a client's request for an object. Its id and its key belong together: a server is shown the one with the tenant of the other.
type Asker struct {
	ID        string // the client's Try-Id
	ClientKey string // empty on a route that needs none
}

// Renewed is the copy as a server has confirmed it.
func (x *Copy) Renewed(at time.Time, index uint64, shelf time.Duration) *Copy {
	return &Copy{Header: x.Header, Body: x.Body, ETag: x.ETag, Labels: x.Labels, Shelf: shelf, At: at, Index: index, Lent: x.Lent, For: x.For}
}

// wantedFor is how often a copy is asked about before its end after it was wanted last: twice covers what is wanted once in
// two shelf times.
const wantedFor = 2

func (x *Copy) size() int64 {
	n := int64(len(x.Body)) + 512
	for name, values := range x.Header {
		n += int64(len(name)) + 32
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// Grade says what a copy is good for.
type Grade int

// The grades, the best first.
const (
	Fresh    Grade = iota
	Ageing         // good, but it is time to ask the server whether it has changed
	Stale          // good for nothing but to be asked about
	NotThere       // there is none
)

// Cache holds copies within a number of bytes.
type Cache struct {
	most int64

	mu     sync.Mutex
	lru    *simplelru.LRU[Key, *Copy]
	bytes  int64
	places map[place]map[Key]struct{}
	labels map[string]map[Key]struct{}
	purges []purge // the last ones: what was asked for before one is not stored after it
	dues   dues    // of copies stored, also of some that are gone
	floor  uint64  // purges up to this index have been forgotten
	Counts Counts  // under mu
}

// Counts are what happened to copies.
type Counts struct{ Stored, Dropped, Purged, Late int64 }

type place struct{ host, path string }

type purge struct {
	index uint64
	place
	tag string
}

const (
	mostCopies = 1 << 20
	mostPurges = 4096
)

// New returns an empty cache of so many bytes.
func New(most int64) *Cache {
	c := &Cache{most: most, places: map[place]map[Key]struct{}{}, labels: map[string]map[Key]struct{}{}}
	c.lru, _ = simplelru.NewLRU[Key, *Copy](mostCopies, nil) // fails for no size alone
	return c
}

// Get returns the copy of a key and its grade. Slack is how long past its shelf time it may still be handed on while the
// server is being asked. By is the client's request that is to be answered with it; without an id it stands for none.
func (c *Cache) Get(k Key, now time.Time, slack time.Duration, by Asker) (*Copy, Grade) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, grade := c.look(k, now, slack)
	if grade == Fresh || grade == Ageing {
		x.wanted = wantedFor
		if by.ID != "" {
			x.by = by
		}
	}
	return x, grade
}

// Peek is Get for whom nobody wants the copy: it is not asked about again for that.
func (c *Cache) Peek(k Key, now time.Time, slack time.Duration) (*Copy, Grade) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.look(k, now, slack)
}

// look finds a copy. The caller holds the lock.
func (c *Cache) look(k Key, now time.Time, slack time.Duration) (*Copy, Grade) {
	x, ok := c.lru.Get(k)
	if !ok {
		return nil, NotThere
	}
	return x, x.grade(now, slack)
}

func (x *Copy) grade(now time.Time, slack time.Duration) Grade {
	switch age := now.Sub(x.At); {
	case age < x.ripe():
		return Fresh
	case age < x.Shelf+slack:
		return Ageing
	}
	return Stale
}

// ripe is the age at which it is time to ask the server.
func (x *Copy) ripe() time.Duration { return x.Shelf * 3 / 4 }

// due is when a copy is to be asked about.
type due struct {
	at time.Time
	Key
	*Copy
}

// dues are ordered by their times.
type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = due{}
	*d = (*d)[:len(*d)-1]
	return last
}

// Ripe is a copy that is wanted and about to end.
type Ripe struct {
	Key
	*Copy
	By Asker // a request that it has answered; without an id if a server may have seen that
}

// Due returns copies that it is time to ask about, each once, and passes over those that nobody has wanted lately.
func (c *Cache) Due(now time.Time, most int) (all []Ripe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.dues) > 0 && len(all) < most && !c.dues[0].at.After(now) {
		d := heap.Pop(&c.dues).(due)
		if x, ok := c.lru.Peek(d.Key); ok && x == d.Copy && x.wanted > 0 {
			all = append(all, Ripe{d.Key, x, x.by})
			x.by.ID = ""
		}
	}
	return all
}

// Put stores a copy, unless a purge that names it has come since its server was asked.
func (c *Cache) Put(k Key, x *Copy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.Index < c.floor || c.ended(k, x) {
		c.Counts.Late++
		return false
	}
	x.by = Asker{ClientKey: x.For.ClientKey}
	size := x.size()
	if size > c.most/4 {
		return false
	}
	if old, ok := c.lru.Peek(k); ok {
		if old.At.After(x.At) { // asked for later, stored sooner
			return false
		}
		c.remove(k, old)
		x.wanted = max(old.wanted-1, 0)
		if old.by.ID != "" && old.by.ID != x.For.ID { // answered meanwhile, and not by a server
			x.by = old.by
		}
	} else {
		x.wanted = wantedFor
	}
	c.lru.Add(k, x)
	if !x.Lent {
		heap.Push(&c.dues, due{x.At.Add(x.ripe()), k, x})
	}
	c.bytes += size
	index(c.places, place{k.Host, k.Path}, k)
	for _, label := range x.Labels {
		index(c.labels, label, k)
	}
	for c.bytes > c.most {
		k, old, ok := c.lru.GetOldest()
		if !ok {
			break
		}
		c.Counts.Dropped++
		c.remove(k, old)
	}
	c.Counts.Stored++
	return true
}

// ended tells whether a purge after the copy's index names it.
func (c *Cache) ended(k Key, x *Copy) bool {
	for i := len(c.purges) - 1; i >= 0 && c.purges[i].index > x.Index; i-- {
		p := c.purges[i]
		if p.tag == "" && p.place == (place{k.Host, k.Path}) {
			return true
		}
		for _, label := range x.Labels {
			if p.tag != "" && label == p.tag {
				return true
			}
		}
	}
	return false
}

func index[K comparable](all map[K]map[Key]struct{}, at K, k Key) {
	if all[at] == nil {
		all[at] = map[Key]struct{}{}
	}
	all[at][k] = struct{}{}
}

func unindex[K comparable](all map[K]map[Key]struct{}, at K, k Key) {
	if delete(all[at], k); len(all[at]) == 0 {
		delete(all, at)
	}
}

func (c *Cache) remove(k Key, x *Copy) {
	c.lru.Remove(k)
	c.bytes -= x.size()
	unindex(c.places, place{k.Host, k.Path}, k)
	for _, label := range x.Labels {
		unindex(c.labels, label, k)
	}
}

// Purge ends the use of copies of a path, or of those with a tag, as the history's entry of that index orders.
func (c *Cache) Purge(index uint64, host, path, tag string) {
	host = strings.ToLower(host)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.purges = append(c.purges, purge{index, place{host, path}, tag})
	if len(c.purges) > mostPurges {
		c.floor = c.purges[0].index
		c.purges = c.purges[1:]
	}
	named := c.labels[tag]
	if tag == "" {
		named = c.places[place{host, path}]
	}
	for k := range named {
		if x, ok := c.lru.Peek(k); ok && x.Index < index {
			c.Counts.Purged++
			c.remove(k, x)
		}
	}
}

// Forget drops all copies: purges up to the index may have been missed.
func (c *Cache) Forget(index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Purge()
	clear(c.places)
	clear(c.labels)
	c.bytes, c.purges, c.floor, c.dues = 0, nil, index, nil
}

// Size is how many copies there are, and their bytes.
func (c *Cache) Size() (copies int, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Len(), c.bytes
}
