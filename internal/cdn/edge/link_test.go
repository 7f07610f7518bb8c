package edge

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"

	"gotest.tools/v3/assert"
)

// blockedLink returns a slow link that is full, and whose chunks are sent only when the test calls dispatch.
func blockedLink() *link {
	l := newLink(8)
	l.freeAt, l.timerSet = time.Now().Add(time.Hour), true
	return l
}

// waiting returns the number of queued chunks.
func (l *link) waiting() int { l.mu.Lock(); defer l.mu.Unlock(); return len(l.queue) }

// The body with the fewest bytes left goes first, a body that has waited for long is not starved by shorter ones, and a body whose context
// ends leaves the queue. Without this, objects of 6 KB waited behind objects of 120 KB on links of 8.6 Mbit/s, an eighth of a second each.
func TestLinkScheduling(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name      string
		remaining []int
		waited    []time.Duration // before now
		order     []int
	}{
		{"fewest bytes left first", []int{120_000, 30_000, 60_000}, []time.Duration{0, 0, 0}, []int{1, 2, 0}},
		{"equal: longest wait first", []int{50_000, 50_000}, []time.Duration{0, time.Second}, []int{1, 0}},
		{"no starvation", []int{400_000, 50_000}, []time.Duration{4 * time.Second, 0}, []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, sent := blockedLink(), make(chan int)
			for i := range c.remaining {
				go func() {
					assert.Check(t, l.wait(t.Context(), chunkBytes, c.remaining[i], now.Add(-c.waited[i])))
					sent <- i
				}()
				waitUntil(t, func() bool { return l.waiting() == i+1 })
			}
			for _, want := range c.order {
				l.mu.Lock()
				l.freeAt = time.Now().Add(maxBacklog - time.Millisecond) // room for one chunk, which fills the link again
				l.mu.Unlock()
				l.dispatch()
				assert.Equal(t, <-sent, want)
				l.mu.Lock()
				l.timerSet = true
				l.mu.Unlock()
			}
		})
	}
	l := blockedLink()
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- l.wait(ctx, chunkBytes, 1, now) }()
	waitUntil(t, func() bool { return l.waiting() == 1 })
	end()
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Equal(t, l.waiting(), 0)

	wide, thin := newLink(1000), blockedLink()
	var b bytes.Buffer
	wide.write(t.Context(), b.Write, make([]byte, 1<<20))
	thin.write(t.Context(), b.Write, make([]byte, longBodyBytes)) // short: sent at once
	assert.Equal(t, b.Len(), 1<<20+longBodyBytes)
	assert.Assert(t, wide.freeAt.IsZero())
}

// waitUntil polls until a condition holds.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	timeout, ticker := time.After(10*time.Second), time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-timeout:
			t.Fatal("never")
		case <-ticker.C:
		}
	}
}

// fakePeer is another cache router with one object, which may be replaced between two pieces.
type fakePeer struct {
	body          []byte
	extraBytes    int // bytes added to the length that it reports
	replacedAfter int // number of pieces after which the object is replaced; 0: never
	pieces        int
}

// Fetch returns the object or its beginning.
func (p *fakePeer) Fetch(q *Fetch, g *Fetched) error {
	*g = Fetched{Status: 200, Whole: true, Header: http.Header{"Etag": {"e"}}, Body: p.body}
	if q.Most > 0 && len(p.body) > q.Most {
		g.Total, g.Body = len(p.body)+p.extraBytes, p.body[:q.Most]
	}
	return nil
}

// Piece returns part of the object, or an error once the object is replaced.
func (p *fakePeer) Piece(q *Piece, part *[]byte) error {
	if p.pieces++; p.replacedAfter > 0 && p.pieces > p.replacedAfter {
		return errCopyChanged
	}
	*part = p.body[q.From:min(q.From+q.N, len(p.body))]
	return nil
}

// A body that is fetched by pieces is exact, or the fetch fails: never a mix of two versions, and never too short.
func TestFetchByPieces(t *testing.T) {
	whole := make([]byte, 5*peerPieceBytes+17)
	for i := range whole {
		whole[i] = byte(i * 7 >> 3)
	}
	cases := []struct {
		name   string
		mbps   float64
		peer   fakePeer
		err    string
		pieces int
	}{
		{"fast link: whole", 1000, fakePeer{body: whole}, "", 0},
		{"slow link: by pieces", 90, fakePeer{body: whole}, "", 5},
		{"slow link, short body", 90, fakePeer{body: whole[:peerPieceBytes]}, "", 0},
		{"copy replaced midway", 90, fakePeer{body: whole, replacedAfter: 3}, errCopyChanged.Error(), 4},
		{"shorter than reported", 90, fakePeer{body: whole, extraBytes: 100}, "received a piece of", 5},
		{"longer than allowed", 90, fakePeer{body: whole, extraBytes: maxPeerBodyBytes}, "invalid body length of", 0},
		{"longer than there is memory for", 90, fakePeer{body: whole, extraBytes: 60 << 20}, admission.ErrNoRoom.Error(), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go peerrpc.Serve(l, "Edge", peerrpc.Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares)}, peerrpc.SharedService(&c.peer))
			e := &Edge{inbound: newLink(c.mbps), memory: admission.NewMemory(256, admission.ProxyShares)}
			got, err := e.fetchFromPeer(t.Context(), peerrpc.NewPeer(l.Addr().String()), Fetch{Key: objectcache.Key{Path: "/a"}})
			assert.Equal(t, c.peer.pieces, c.pieces)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got.Body, c.peer.body) && got.Total == 0)
		})
	}
}

// A piece is served only from the cache entry that the Fetch was served from, and only within its length.
func TestPieceRequiresSameCopy(t *testing.T) {
	e := &Edge{cache: objectcache.New(1 << 20)}
	k, body := objectcache.Key{Host: "h", Path: "/a"}, []byte("0123456789")
	e.cache.Put(k, &objectcache.Entry{Body: body, ETag: "e", TTL: time.Minute, ValidatedAt: time.Now(), LogIndex: 1})
	p := &peerHandler{edge: e}
	cases := []struct {
		q    Piece
		want string // empty: an error is expected
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
	e.cache.Purge(2, "h", "/a", "")
	var part []byte
	assert.ErrorIs(t, p.Piece(&cases[0].q, &part), errCopyChanged)
}
