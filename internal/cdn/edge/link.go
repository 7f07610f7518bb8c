package edge

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// link shares one direction of a thin link among the bodies that go over it. A long one goes piece by piece, each when the pieces before it are
// about to have gone, and the one that has the least left goes first: what is short never waits behind more than a moment of what is long.
// A wide link is not shared out.
type link struct {
	mu    sync.Mutex
	rate  float64   // bytes a second; 0: wide
	free  time.Time // when all that was let out will have gone
	queue turns
	timer bool
}

// turn is a piece of a body that waits.
type turn struct {
	bytes, left int
	begun       time.Time
	let         chan struct{}
	at          int // in the queue; -1: no more
}

const (
	thinMbps  = 100                   // below which a link is shared out
	linkPart  = 0.95                  // of a link, for headers and what else goes over it
	lead      = 15 * time.Millisecond // of what was let out that may still be on its way
	piece     = 8 << 10
	agingHalf = 400 * time.Millisecond // a body that has waited so long counts for half of what it has left
)

func newLink(mbps float64) *link {
	l := &link{}
	if mbps < thinMbps {
		l.rate = mbps * 1e6 / 8 * linkPart
	}
	return l
}

// turns is a heap by what counts as left.
type turns []*turn

func (q turns) Len() int { return len(q) }
func (q turns) Less(i, j int) bool {
	now := time.Now()
	return q[i].weight(now) < q[j].weight(now)
}
func (q turns) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].at, q[j].at = i, j }
func (q *turns) Push(x any)   { t := x.(*turn); t.at = len(*q); *q = append(*q, t) }
func (q *turns) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.at = -1
	return t
}

func (t *turn) weight(now time.Time) float64 {
	return float64(t.left) / (1 + float64(now.Sub(t.begun))/float64(agingHalf))
}

// out notes bytes that go out without waiting.
func (l *link) out(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spend(n, now)
}

func (l *link) spend(n int, now time.Time) {
	if l.rate <= 0 {
		return
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
}

// wait returns when a piece of a body may go that has so much left and was begun then; an error when the context has ended before.
func (l *link) wait(ctx context.Context, n, left int, begun time.Time) error {
	l.mu.Lock()
	now := time.Now()
	if l.rate <= 0 || len(l.queue) == 0 && l.free.Sub(now) < lead {
		l.spend(n, now)
		l.mu.Unlock()
		return nil
	}
	t := &turn{bytes: n, left: left, begun: begun, let: make(chan struct{})}
	heap.Push(&l.queue, t)
	l.arm(now)
	l.mu.Unlock()
	select {
	case <-t.let:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.at >= 0 {
		heap.Remove(&l.queue, t.at)
	}
	return ctx.Err()
}

// arm has the next turn looked at once it may be let. The caller holds the lock.
func (l *link) arm(now time.Time) {
	if !l.timer && len(l.queue) > 0 {
		l.timer = true
		time.AfterFunc(max(l.free.Sub(now)-lead, 0)+time.Millisecond, l.next)
	}
}

func (l *link) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = false
	now := time.Now()
	for len(l.queue) > 0 && l.free.Sub(now) < lead {
		heap.Init(&l.queue) // waiting has changed what counts
		t := heap.Pop(&l.queue).(*turn)
		l.spend(t.bytes, now)
		close(t.let)
	}
	l.arm(now)
}

// write writes a body, until the context ends.
func (l *link) write(ctx context.Context, to func([]byte) (int, error), body []byte) {
	if l.rate <= 0 || len(body) <= longBody {
		l.out(len(body), time.Now())
		to(body)
		return
	}
	for begun := time.Now(); len(body) > 0; {
		n := min(piece, len(body))
		if l.wait(ctx, n, len(body), begun) != nil {
			return // the client has gone
		}
		if _, err := to(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
