// Package model is the world around the routers of a rehearsal: cache nodes, the database behind them, discovery and the
// clients, as an event queue with a clock that is handed in. It does no I/O. A host drives it, on sockets in real time
// or in virtual time, and does what it asks for through Host.
//
// What is drawn (arrivals, keys, work, troubles) comes from streams of its own per seed and hangs on nothing that the
// routers do, so that two builds meet the same day.
package model

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Time counts from the day's beginning; what is under 0 is the time in which caches are warmed, before it.
type Time = time.Duration

// Queue holds what is to happen. Events of one moment happen in the order in which they were put in.
type Queue struct {
	now  Time
	n    uint64
	rows rows
}

type row struct {
	at Time
	n  uint64
	f  func()
}

type rows []row

func (r rows) Len() int           { return len(r) }
func (r rows) Less(i, j int) bool { return r[i].at < r[j].at || r[i].at == r[j].at && r[i].n < r[j].n }
func (r rows) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *rows) Push(x any)        { *r = append(*r, x.(row)) }
func (r *rows) Pop() any {
	old := *r
	last := old[len(old)-1]
	old[len(old)-1] = row{}
	*r = old[:len(old)-1]
	return last
}

// Now is the moment of the event that happens, or the one that Run was last told.
func (q *Queue) Now() Time { return q.now }

// At puts in an event; one that is over already happens next.
func (q *Queue) At(at Time, f func()) {
	q.n++
	heap.Push(&q.rows, row{max(at, q.now), q.n, f})
}

// After puts in an event some time from now.
func (q *Queue) After(d time.Duration, f func()) { q.At(q.now+max(d, 0), f) }

// Next tells when the next event is due; false if there is none.
func (q *Queue) Next() (Time, bool) {
	if len(q.rows) == 0 {
		return 0, false
	}
	return q.rows[0].at, true
}

// Run lets all happen that is due by a moment, which is now afterwards. It returns how late the first one was.
func (q *Queue) Run(now Time) (late time.Duration) {
	for len(q.rows) > 0 && q.rows[0].at <= now {
		r := heap.Pop(&q.rows).(row)
		late = max(late, now-r.at)
		q.now = max(q.now, r.at)
		r.f()
	}
	q.now = max(q.now, now)
	return late
}

// Stream returns the random numbers of one purpose under a seed: drawing more of one changes no other.
func Stream(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
