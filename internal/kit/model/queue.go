// Package model simulates the environment of the routers in a rehearsal: cache nodes, the database behind them, discovery and
// clients, as an event queue with an external clock. It does no I/O. A host drives it, over sockets in real time or in virtual
// time, and carries out what the model requests through Host.
//
// All random input (arrivals, keys, work, troubles) comes from separate streams per seed and doesn't depend on what the routers
// do, so that two builds are tested with the same input.
package model

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Time counts from the beginning of the run; values under 0 are the warm-up of the caches.
type Time = time.Duration

// Queue is an event queue. Events with the same time run in the order in which they were added.
type Queue struct {
	now     Time
	lastSeq uint64
	events  eventHeap
}

// event is a callback and its time; seq orders events with the same time.
type event struct {
	at  Time
	seq uint64
	run func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (r eventHeap) Len() int { return len(r) }
func (r eventHeap) Less(i, j int) bool {
	return r[i].at < r[j].at || r[i].at == r[j].at && r[i].seq < r[j].seq
}
func (r eventHeap) Swap(i, j int) { r[i], r[j] = r[j], r[i] }
func (r *eventHeap) Push(x any)   { *r = append(*r, x.(event)) }
func (r *eventHeap) Pop() any {
	old := *r
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*r = old[:len(old)-1]
	return last
}

// Now returns the time of the running event, or the time of the last call of Run.
func (q *Queue) Now() Time { return q.now }

// At schedules an event; one whose time has passed runs next.
func (q *Queue) At(at Time, f func()) {
	q.lastSeq++
	heap.Push(&q.events, event{max(at, q.now), q.lastSeq, f})
}

// After schedules an event after a delay.
func (q *Queue) After(d time.Duration, f func()) { q.At(q.now+max(d, 0), f) }

// Next returns the time of the next event; false if there is none.
func (q *Queue) Next() (Time, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Run runs all events that are due by now and advances the clock to now. It returns the largest delay of an event, in real time.
func (q *Queue) Run(now Time) (late time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= now {
		r := heap.Pop(&q.events).(event)
		late = max(late, now-r.at)
		q.now = max(q.now, r.at)
		r.run()
	}
	q.now = max(q.now, now)
	return late
}

// Stream returns the random numbers for one purpose under a seed: drawing from one stream changes no other.
func Stream(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
