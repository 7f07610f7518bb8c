package edge

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/objectcache"

	"gotest.tools/v3/assert"
)

// BenchmarkRoster measures rebuilding the interval table while a fleet of cache routers joins in ten batches, and ten of them leave and
// return one by one.
func BenchmarkRoster(b *testing.B) {
	for _, routers := range []int{105, 210, 420} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for b.Loop() {
				l := balance.New(balance.Settings{Classes: []balance.Class{{Name: copyClass, Target: tierTarget, Deadline: tierDeadline, Priority: 1}},
					Routers: 1, RampTime: time.Second, OverloadFor: time.Second, ColdStartShare: 1}, 1)
				for batch := range 10 { // config stores enrol new routers in batches, and then a few one by one
					news := balance.List{Kind: balance.Partial, Version: int64(batch)}
					for i := batch; i < routers; i += 10 {
						news.Entries = append(news.Entries, balance.Entry{Server: balance.ServerID(fmt.Sprint("edge-", i)),
							Zone: fmt.Sprint(i % 31), Weight: 1})
					}
					l.Handle(1, []balance.Event{news})
				}
				for i := range 20 {
					state := balance.Gone
					if i%2 == 1 {
						state = balance.Up
					}
					l.Handle(1, []balance.Event{balance.List{Kind: balance.Partial, Version: int64(10 + i), Entries: []balance.Entry{
						{Server: balance.ServerID(fmt.Sprint("edge-", i/2)), Zone: fmt.Sprint(i / 2 % 31), Weight: 1, State: state}}}})
				}
			}
		})
	}
}

// BenchmarkCopies measures the memory overhead of a small cached object.
func BenchmarkCopies(b *testing.B) {
	for _, copies := range []int{50_000, 100_000, 200_000} {
		b.Run(fmt.Sprint(copies), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := objectcache.New(1 << 30)
				for i := range copies {
					c.Put(objectcache.Key{Service: "s", Host: "a.example", Path: fmt.Sprint("/objects/", i)}, &objectcache.Entry{Body: make([]byte, 1024),
						Labels: []string{fmt.Sprint("t", i%30)}, TTL: 20 * time.Second, ValidatedAt: time.Unix(int64(i), 0), LogIndex: 1})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(copies)-1024, "B/copy")
				runtime.KeepAlive(c)
			}
		})
	}
}

// The cache makes room for what callers make the router hold, as soon as that is more than a little, and takes its part back afterwards.
func TestCacheMakesRoom(t *testing.T) {
	e, _ := newTestEdge(t, newOrigin(t), threeRoutesJSON)
	memory := int64(e.config.MemoryMB << 20)
	assert.Equal(t, e.cacheBytes(), memory/cacheMemoryDivisor)
	held := e.memory.Bodies.Reserve()
	assert.NilError(t, held.Grow(memory/sharedMemoryDivisor))
	assert.Equal(t, e.cacheBytes(), memory/cacheMemoryDivisor)
	assert.NilError(t, held.Grow(memory/20))
	assert.Equal(t, e.cacheBytes(), memory/cacheMemoryDivisor-memory/20)
	held.Release()
	assert.Equal(t, e.cacheBytes(), memory/cacheMemoryDivisor)
}
