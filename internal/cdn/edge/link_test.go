package edge

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"

	"gotest.tools/v3/assert"
)

// full is a thin link over which nothing may go for now, and whose turns only the test lets go.
func full() *link {
	l := newLink(8)
	l.free, l.timer = time.Now().Add(time.Hour), true
	return l
}

func (l *link) waiting() int { l.mu.Lock(); defer l.mu.Unlock(); return len(l.queue) }

// Boards of 6 KB waited behind tiles of 120 KB on links of 8.6 Mbit/s, an eighth of a second each: of what waits, what has the least left
// goes first; what has waited for long is not starved by what is shorter; whose context ends waits no more.
func TestALinkIsSharedOut(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		left  []int
		begun []time.Duration // before now
		order []int
	}{
		{"the least left first", []int{120_000, 30_000, 60_000}, []time.Duration{0, 0, 0}, []int{1, 2, 0}},
		{"as much: who waits longer", []int{50_000, 50_000}, []time.Duration{0, time.Second}, []int{1, 0}},
		{"nobody starves", []int{400_000, 50_000}, []time.Duration{4 * time.Second, 0}, []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, went := full(), make(chan int)
			for i := range c.left {
				go func() {
					assert.Check(t, l.wait(t.Context(), piece, c.left[i], now.Add(-c.begun[i])))
					went <- i
				}()
				until(t, func() bool { return l.waiting() == i+1 })
			}
			for _, want := range c.order {
				l.mu.Lock()
				l.free = time.Now().Add(lead - time.Millisecond) // room for one piece: it takes the link past its lead
				l.mu.Unlock()
				l.next()
				assert.Equal(t, <-went, want)
				l.mu.Lock()
				l.timer = true
				l.mu.Unlock()
			}
		})
	}
	l := full()
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- l.wait(ctx, piece, 1, now) }()
	until(t, func() bool { return l.waiting() == 1 })
	end()
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Equal(t, l.waiting(), 0)

	wide, thin := newLink(1000), full()
	var b bytes.Buffer
	wide.write(t.Context(), b.Write, make([]byte, 1<<20))
	thin.write(t.Context(), b.Write, make([]byte, longBody)) // short: it goes at once
	assert.Equal(t, b.Len(), 1<<20+longBody)
	assert.Assert(t, wide.free.IsZero())
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	late, look := time.After(10*time.Second), time.NewTicker(time.Millisecond)
	defer look.Stop()
	for !ok() {
		select {
		case <-late:
			t.Fatal("never")
		case <-look.C:
		}
	}
}

// lender is another cache router with one object, which may turn into another one between two pieces.
type lender struct {
	body  []byte
	lied  int // bytes added to the length that it tells
	gone  int // pieces after which the copy is another one; 0: never
	asked int
}

func (l *lender) Fetch(q *Fetch, g *Fetched) error {
	*g = Fetched{Status: 200, Whole: true, Header: http.Header{"Etag": {"e"}}, Body: l.body}
	if q.Most > 0 && len(l.body) > q.Most {
		g.Total, g.Body = len(l.body)+l.lied, l.body[:q.Most]
	}
	return nil
}

func (l *lender) Piece(q *Piece, part *[]byte) error {
	if l.asked++; l.gone > 0 && l.asked > l.gone {
		return errOther
	}
	*part = l.body[q.From:min(q.From+q.N, len(l.body))]
	return nil
}

// What comes by pieces is the body to the byte, or an error: never one put together of two versions, or one that is too short.
func TestBodiesByPieces(t *testing.T) {
	whole := make([]byte, 5*lentPiece+17)
	for i := range whole {
		whole[i] = byte(i * 7 >> 3)
	}
	cases := []struct {
		name   string
		mbps   float64
		lender lender
		fails  string
		pieces int
	}{
		{"wide: at once", 1000, lender{body: whole}, "", 0},
		{"thin: by pieces", 90, lender{body: whole}, "", 5},
		{"thin, short", 90, lender{body: whole[:lentPiece]}, "", 0},
		{"another version midway", 90, lender{body: whole, gone: 3}, errOther.Error(), 4},
		{"shorter than was told", 90, lender{body: whole, lied: 100}, "a piece of", 5},
		{"longer than may be", 90, lender{body: whole, lied: maxLent}, "a body of", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go peerrpc.Serve(l, "Edge", peerrpc.Shared(&c.lender))
			f := &Edge{from: newLink(c.mbps)}
			got, err := f.lentBy(t.Context(), peerrpc.NewPeer(l.Addr().String()), Fetch{Key: objectcache.Key{Path: "/a"}})
			assert.Equal(t, c.lender.asked, c.pieces)
			if c.fails != "" {
				assert.ErrorContains(t, err, c.fails)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got.Body, c.lender.body) && got.Total == 0)
		})
	}
}

// A piece is given of the copy that was begun, and of no other one; questions past its end are refused.
func TestPiecesOfACopy(t *testing.T) {
	f := &Edge{cache: objectcache.New(1 << 20)}
	k, body := objectcache.Key{Host: "h", Path: "/a"}, []byte("0123456789")
	f.cache.Put(k, &objectcache.Copy{Body: body, ETag: "e", Shelf: time.Minute, At: time.Now(), Index: 1})
	p := &peerCalls{edge: f}
	cases := []struct {
		q    Piece
		want string // empty: refused
	}{
		{Piece{k, "e", 10, 2, 3}, "234"},
		{Piece{k, "e", 10, 7, 3}, "789"},
		{Piece{k, "e", 10, 8, 3}, ""},
		{Piece{k, "e", 10, -1, 3}, ""},
		{Piece{k, "e", 10, 0, 0}, ""},
		{Piece{k, "e", 10, 1, int(^uint(0) >> 1)}, ""},
		{Piece{k, "f", 10, 0, 3}, ""},
		{Piece{k, "e", 11, 0, 3}, ""},
		{Piece{k, "", 10, 0, 3}, ""},
		{Piece{objectcache.Key{Host: "h", Path: "/b"}, "e", 10, 0, 3}, ""},
	}
	for _, c := range cases {
		var part []byte
		err := p.Piece(&c.q, &part)
		assert.Equal(t, string(part), c.want, "%+v", c.q)
		assert.Equal(t, err == nil, c.want != "", "%+v", c.q)
	}
	f.cache.Purge(2, "h", "/a", "")
	var part []byte
	assert.ErrorIs(t, p.Piece(&cases[0].q, &part), errOther)
}
