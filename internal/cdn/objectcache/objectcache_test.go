package objectcache

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	t0  = time.Unix(1000, 0)
	key = Key{"shop", "a", "/x/1", ""}

	anyTTL = Lifetime{MaxTTL: time.Hour} // bounds no entry of these tests
)

func object(index uint64, at time.Time) *Entry {
	return &Entry{Body: []byte("body"), ETag: `"1"`, Labels: []string{"red", "big"}, TTL: 20 * time.Second, ValidatedAt: at, LogIndex: index}
}

func TestFreshness(t *testing.T) {
	c := New(1 << 20)
	c.Put(key, object(1, t0))
	for after, want := range map[time.Duration]Freshness{0: Fresh, 14 * time.Second: Fresh, 15 * time.Second: RefreshDue,
		21 * time.Second: RefreshDue, 22 * time.Second: Stale} {
		_, got := c.Get(key, t0.Add(after), Lifetime{time.Hour, 1500 * time.Millisecond}, Requester{})
		assert.Equal(t, got, want, after.String())
	}
	_, got := c.Get(Key{}, t0, anyTTL, Requester{})
	assert.Equal(t, got, Miss)
}

// The configuration in force bounds how long an entry is served that was stored under an earlier one.
func TestShorterLifetime(t *testing.T) {
	const slack = time.Second
	cases := []struct {
		maxTTL, age time.Duration
		want        Freshness
	}{
		{4 * time.Second, 2 * time.Second, Fresh}, {4 * time.Second, 3 * time.Second, RefreshDue}, {4 * time.Second, 5 * time.Second, Stale},
		{0, 0, Stale}, {0, slack / 2, Stale},
		{time.Hour, 14 * time.Second, Fresh}, {time.Hour, 15 * time.Second, RefreshDue}, {time.Hour, 21 * time.Second, Stale},
	}
	for _, c := range cases {
		cache := New(1 << 20)
		cache.Put(key, object(1, t0))
		_, got := cache.Get(key, t0.Add(c.age), Lifetime{c.maxTTL, slack}, Requester{})
		assert.Equal(t, got, c.want, "%+v", c)
		_, got = cache.Peek(key, t0.Add(c.age), Lifetime{c.maxTTL, slack})
		assert.Equal(t, got, c.want, "%+v", c)
	}
}

// A purge removes entries that were requested before it, also one that is stored only after it. Entries requested after it stay.
func TestPurges(t *testing.T) {
	cases := []struct {
		name            string
		host, path, tag string
		ends            bool
	}{
		{"its path", "A", "/x/1", "", true}, {"another path", "a", "/x/2", "", false}, {"another host", "b", "/x/1", "", false},
		{"its tag", "", "", "red", true}, {"its other tag", "", "", "big", true}, {"another tag", "", "", "blue", false},
	}
	for _, c := range cases {
		for _, when := range []string{"stored", "on its way", "requested after it"} {
			cache := New(1 << 20)
			index := uint64(5)
			if when == "requested after it" {
				index = 7
			}
			if when == "stored" {
				assert.Assert(t, cache.Put(key, object(index, t0)))
			}
			cache.Purge(7, c.host, c.path, c.tag)
			if when != "stored" {
				cache.Put(key, object(index, t0))
			}
			_, grade := cache.Get(key, t0, anyTTL, Requester{})
			assert.Equal(t, grade == Miss, c.ends && index < 7, "%s, %s", c.name, when)
		}
	}
}

// A purge counts against an object that was requested before it, up to a given index.
func TestPurgedBetween(t *testing.T) {
	c := New(1 << 20)
	c.Purge(7, "a", "/x/1", "")
	c.Purge(9, "", "", "red")
	other := Key{"shop", "a", "/x/2", ""}
	for _, x := range []struct {
		key         Key
		index, last uint64
		want        bool
	}{{key, 6, 6, false}, {key, 6, 7, true}, {key, 7, 8, false}, {key, 7, 9, true}, {key, 9, 20, false}, {other, 6, 8, false}, {other, 6, 9, true}} {
		assert.Equal(t, c.PurgedBetween(x.key, object(x.index, t0), x.last), x.want, "%+v", x)
	}
	c.Reset(20)
	assert.Assert(t, c.PurgedBetween(key, object(19, t0), 20))
	assert.Assert(t, !c.PurgedBetween(key, object(19, t0), 19))
	assert.Assert(t, !c.PurgedBetween(key, object(20, t0), 30))
}

// A purge that is no longer remembered applies to every object that was requested before it.
func TestForgottenPurges(t *testing.T) {
	c := New(1 << 20)
	for i := range uint64(maxPurges + 10) {
		c.Purge(100+i, "other", "/", "")
	}
	assert.Assert(t, !c.Put(key, object(50, t0)))
	assert.Assert(t, c.Put(key, object(200, t0)))
	c.Reset(9000)
	_, grade := c.Get(key, t0, anyTTL, Requester{})
	assert.Equal(t, grade, Miss)
	assert.Assert(t, !c.Put(key, object(8999, t0)))
}

func TestMemoryIsBounded(t *testing.T) {
	c := New(64 << 10)
	for i := range 1000 {
		c.Put(Key{Path: fmt.Sprint(i)}, object(1, t0))
	}
	n, bytes := c.Size()
	assert.Assert(t, bytes <= 64<<10 && n > 50, "%d %d", n, bytes)
	assert.Equal(t, len(c.byPath), n)
	assert.Equal(t, len(c.byLabel["red"]), n)
	assert.Assert(t, !c.Put(key, &Entry{Body: make([]byte, 40<<10)}))
}

// A requested entry is refreshed before it expires, on behalf of a request that it served. Without requests it is refreshed twice.
func TestDue(t *testing.T) {
	c := New(1 << 20)
	c.Put(key, object(1, t0))
	c.Get(key, t0.Add(time.Second), anyTTL, Requester{"try-1", "key-1"})
	c.Get(key, t0.Add(time.Second), anyTTL, Requester{}) // for no client: the requester stays
	assert.Equal(t, len(c.DueForRefresh(t0.Add(14*time.Second), 9)), 0)
	now := t0
	for round, by := range []Requester{{"try-1", "key-1"}, {"", "key-1"}} { // the id goes to a server only once, the client key each time
		now = now.Add(15 * time.Second)
		due := c.DueForRefresh(now, 9)
		assert.Equal(t, len(due), 1, "turn %d", round)
		assert.Equal(t, due[0].Requester, by)
		assert.Equal(t, len(c.DueForRefresh(now, 9)), 0, "each is returned once")
		renewed := due[0].Entry.Revalidated(now, 1, 20*time.Second)
		renewed.FetchedFor = by
		c.Put(key, renewed)
	}
	assert.Equal(t, len(c.DueForRefresh(now.Add(15*time.Second), 9)), 0)
	lent := object(1, now)
	lent.FromOwner = true
	c.Put(Key{Path: "lent"}, lent)
	c.Get(Key{Path: "lent"}, now, anyTTL, Requester{ID: "try-2"})
	assert.Equal(t, len(c.DueForRefresh(now.Add(time.Hour), 9)), 0, "its owner refreshes it")
	fetched := object(1, now)
	fetched.FetchedFor = Requester{"try-3", "key-3"}
	c.Put(Key{Path: "new"}, fetched)
	assert.Equal(t, c.DueForRefresh(now.Add(15*time.Second), 9)[0].Requester, Requester{ClientKey: "key-3"},
		"only the request that it was fetched for has asked for it")
	older := object(1, t0)
	assert.Assert(t, !c.Put(key, older), "an older response that arrives late replaces nothing")
}

// A request id is sent to a server only once, either with a refresh or with the fetch for that request itself.
func TestRequestIDIsSentOnce(t *testing.T) {
	cases := []struct {
		name       string
		wants      Requester // requests the entry while it is refreshed for try-1
		fetchedFor Requester // the request that the next entry is fetched for
		want       Requester // the request that the next entry is refreshed for
	}{
		{"no request in the meantime", Requester{}, Requester{"try-1", "key-1"}, Requester{"", "key-1"}},
		{"another request in the meantime", Requester{"try-2", "key-2"}, Requester{"try-1", "key-1"}, Requester{"try-2", "key-2"}},
		{"a request in the meantime, which fetches it", Requester{"try-2", "key-2"}, Requester{"try-2", "key-2"}, Requester{"", "key-2"}},
		{"another request fetches it first", Requester{}, Requester{"try-3", "key-3"}, Requester{"", "key-3"}},
	}
	for _, c := range cases {
		cache := New(1 << 20)
		cache.Put(key, object(1, t0))
		cache.Get(key, t0, anyTTL, Requester{"try-1", "key-1"})
		assert.Equal(t, cache.DueForRefresh(t0.Add(15*time.Second), 9)[0].Requester, Requester{"try-1", "key-1"})
		cache.Get(key, t0.Add(16*time.Second), anyTTL, c.wants)
		next := object(1, t0.Add(16*time.Second))
		next.FetchedFor = c.fetchedFor
		cache.Put(key, next)
		assert.Equal(t, cache.DueForRefresh(t0.Add(31*time.Second), 9)[0].Requester, c.want, c.name)
	}
}

// Entries that were evicted or purged are not kept in memory until the time at which they would have been refreshed, and neither are their
// refreshes.
func TestRemovedEntriesAreFreed(t *testing.T) {
	const cacheBytes, bodyBytes, entries = 4 << 20, 64 << 10, 4000
	before := liveHeapBytes()
	c := New(cacheBytes)
	for i := range entries {
		k := Key{Service: "s", Host: "a", Path: fmt.Sprint("/", i)}
		assert.Assert(t, c.Put(k, &Entry{Body: make([]byte, bodyBytes), TTL: time.Hour, ValidatedAt: time.Now()}))
		if i%2 == 0 {
			c.Purge(0, k.Host, k.Path, "")
		}
	}
	assert.Assert(t, len(c.refreshes) <= minRefreshes+maxRefreshesPerEntry*c.lru.Len()+1, "%d refreshes", len(c.refreshes))
	held := liveHeapBytes() - before
	assert.Assert(t, held < 2*cacheBytes, "%d bytes are held", held)
	runtime.KeepAlive(c)
}

// liveHeapBytes returns the bytes of the heap that are in use after a collection.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A cache whose maximum is lowered evicts at once, and the names of purges are bounded.
func TestBoundsOfMemory(t *testing.T) {
	c := New(4 << 20)
	for i := range 30 {
		c.Put(Key{Service: "s", Host: "a", Path: fmt.Sprint("/", i)}, &Entry{Body: make([]byte, 64<<10), TTL: time.Hour, ValidatedAt: time.Now()})
	}
	c.SetMaxBytes(1 << 20)
	entries, size := c.Size()
	assert.Assert(t, size <= 1<<20 && entries > 10, "%d entries of %d bytes", entries, size)
	c.SetMaxBytes(0)
	_, size = c.Size()
	assert.Equal(t, size, int64(0))
	long := strings.Repeat("x", 16<<10)
	for i := range 1000 {
		c.Purge(uint64(i+1), "a", long, "")
	}
	assert.Assert(t, c.purgeBytes <= maxPurgeBytes)
	assert.Assert(t, c.forgottenIndex > 0)
}
