package edge

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// link schedules one direction of a slow network link among the bodies that are sent over it. A long body is sent in chunks, each when the
// chunks before it are almost out, and the body with the fewest bytes left goes first (shortest remaining first, with aging): a short body
// never waits for more than a moment behind a long one. A fast link is not scheduled.
type link struct {
	mu             sync.Mutex
	bytesPerSecond float64   // 0: a fast link that is not scheduled
	freeAt         time.Time // when all that was sent so far will have left the link
	queue          chunkQueue
	timerSet       bool
}

// chunk is part of a body that waits to be sent.
type chunk struct {
	bytes, remaining int           // of the chunk, and of the body with it
	started          time.Time     // when the body was started
	granted          chan struct{} // closed when the chunk may be sent
	index            int           // in the queue; -1: not in it
}

const (
	slowLinkMbps  = 100                    // slower links are scheduled
	linkFraction  = 0.95                   // of the link's rate; the rest is for headers and other traffic
	maxBacklog    = 15 * time.Millisecond  // of sent data that may still be queued at the link when the next chunk is sent
	chunkBytes    = 8 << 10                // bytes
	agingHalfTime = 400 * time.Millisecond // after this time a body counts as having half of its bytes left
)

// newLink returns the scheduler for a link of mbps Mbit/s.
func newLink(mbps float64) *link {
	l := &link{}
	if mbps < slowLinkMbps {
		l.bytesPerSecond = mbps * 1e6 / 8 * linkFraction
	}
	return l
}

// chunkQueue is a heap ordered by the aged number of bytes left.
type chunkQueue []*chunk

// Len implements heap.Interface.
func (q chunkQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q chunkQueue) Less(i, j int) bool {
	now := time.Now()
	return q[i].priority(now) < q[j].priority(now)
}

// Swap implements heap.Interface.
func (q chunkQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].index, q[j].index = i, j }

// Push implements heap.Interface.
func (q *chunkQueue) Push(x any) { c := x.(*chunk); c.index = len(*q); *q = append(*q, c) }

// Pop implements heap.Interface.
func (q *chunkQueue) Pop() any {
	old := *q
	c := old[len(old)-1]
	*q = old[:len(old)-1]
	c.index = -1
	return c
}

// priority returns the body's bytes left, reduced by its age; the lowest is sent first.
func (c *chunk) priority(now time.Time) float64 {
	return float64(c.remaining) / (1 + float64(now.Sub(c.started))/float64(agingHalfTime))
}

// record accounts for bytes that are sent without waiting.
func (l *link) record(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserve(n, now)
}

// reserve accounts for bytes that are sent now. The caller holds the lock.
func (l *link) reserve(n int, now time.Time) {
	if l.bytesPerSecond <= 0 {
		return
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
}

// wait blocks until n bytes may be sent of a body that has remaining bytes left and was started at that time. It fails if the context ends
// first.
func (l *link) wait(ctx context.Context, n, remaining int, started time.Time) error {
	l.mu.Lock()
	now := time.Now()
	if l.bytesPerSecond <= 0 || len(l.queue) == 0 && l.freeAt.Sub(now) < maxBacklog {
		l.reserve(n, now)
		l.mu.Unlock()
		return nil
	}
	c := &chunk{bytes: n, remaining: remaining, started: started, granted: make(chan struct{})}
	heap.Push(&l.queue, c)
	l.armTimer(now)
	l.mu.Unlock()
	select {
	case <-c.granted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.index >= 0 {
		heap.Remove(&l.queue, c.index)
	}
	return ctx.Err()
}

// armTimer schedules dispatch for when the next chunk may be sent. The caller holds the lock.
func (l *link) armTimer(now time.Time) {
	if !l.timerSet && len(l.queue) > 0 {
		l.timerSet = true
		time.AfterFunc(max(l.freeAt.Sub(now)-maxBacklog, 0)+time.Millisecond, l.dispatch)
	}
}

// dispatch grants the chunks that may be sent now.
func (l *link) dispatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerSet = false
	now := time.Now()
	for len(l.queue) > 0 && l.freeAt.Sub(now) < maxBacklog {
		heap.Init(&l.queue) // priorities change with time
		c := heap.Pop(&l.queue).(*chunk)
		l.reserve(c.bytes, now)
		close(c.granted)
	}
	l.armTimer(now)
}

// write writes a body, in scheduled chunks if it is long, until the context ends.
func (l *link) write(ctx context.Context, to func([]byte) (int, error), body []byte) {
	if l.bytesPerSecond <= 0 || len(body) <= longBodyBytes {
		l.record(len(body), time.Now())
		to(body)
		return
	}
	for started := time.Now(); len(body) > 0; {
		n := min(chunkBytes, len(body))
		if l.wait(ctx, n, len(body), started) != nil {
			return // the client has disconnected
		}
		if _, err := to(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
