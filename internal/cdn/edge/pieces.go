package edge

import (
	"context"
	"errors"
	"time"

	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
)

// This file transfers long bodies between cache routers piece by piece over a slow link. The receiver with the slow link requests each
// piece when the previous ones have almost arrived, and the body with the fewest bytes left goes first: a small object of 6 KB never waits
// behind objects of 120 KB that other routers send at the same time.

// peerPieceBytes is larger than chunkBytes, because each piece costs a round trip.
const peerPieceBytes = 3 * chunkBytes

// Piece is a request for part of a body, of which a Fetch returned the beginning.
type Piece struct {
	Key     objectcache.Key
	ETag    string
	Total   int // bytes of the whole
	From, N int
}

var errCopyChanged = errors.New("the cached copy has changed")

// cachedBody returns the body of the cache entry if its ETag and length still match, else nil.
func (e *Edge) cachedBody(k objectcache.Key, etag string, total int) []byte {
	x, freshness := e.cache.Get(k, time.Now(), e.cacheLifetime(e.plan.Load().shelf(k)), objectcache.Requester{})
	if freshness == objectcache.Miss || etag == "" || x.ETag != etag || len(x.Body) != total {
		return nil
	}
	return x.Body
}

// Piece returns part of a body.
func (p *peerHandler) Piece(q *Piece, part *[]byte) error {
	p.edge.inboundCalls.begin()
	defer p.edge.inboundCalls.done()
	body := p.edge.cachedBody(q.Key, q.ETag, q.Total)
	if body == nil {
		return errCopyChanged
	}
	if q.From < 0 || q.N <= 0 || q.From > len(body)-q.N {
		return errors.New("piece out of range")
	}
	*part = body[q.From : q.From+q.N]
	return nil
}

// fetchFromPeer requests an object from another cache router. Over a slow link the rest of a long body is requested piece by piece.
func (e *Edge) fetchFromPeer(ctx context.Context, peer *peerrpc.Peer, q Fetch) (Fetched, error) {
	if e.inbound.bytesPerSecond > 0 {
		q.Most = peerPieceBytes
	}
	started := time.Now()
	q.Ticket = peerrpc.NewCallID()
	got, err := peerrpc.CallWatched[Fetch, Fetched](ctx, peer, "Edge.Fetch", &q, q.Ticket)
	e.inbound.record(len(got.Body), time.Now())
	if err != nil || got.Total == 0 {
		return got, err
	}
	if got.Total < len(got.Body) || got.Total > maxPeerBodyBytes {
		return Fetched{}, Error.New("invalid body length of %d bytes from %s", got.Total, peer.Address)
	}
	reservation := e.memory.Received.Reserve()
	defer reservation.Release()
	if err := reservation.Grow(int64(got.Total)); err != nil {
		return Fetched{}, Error.New("a body of %d bytes from %s: %w", got.Total, peer.Address, err)
	}
	body := append(make([]byte, 0, got.Total), got.Body...)
	for etag := firstValue(got.Header, "Etag"); len(body) < got.Total; {
		n := min(peerPieceBytes, got.Total-len(body))
		if err := e.inbound.wait(ctx, n, got.Total-len(body), started); err != nil {
			return Fetched{}, err
		}
		part, err := peerrpc.CallWatched[Piece, []byte](ctx, peer, "Edge.Piece", &Piece{q.Key, etag, got.Total, len(body), n}, 0)
		if err != nil {
			return Fetched{}, err
		}
		if len(part) != n {
			return Fetched{}, Error.New("received a piece of %d bytes instead of %d from %s", len(part), n, peer.Address)
		}
		body = append(body, part...)
	}
	got.Body, got.Total = body, 0
	return got, nil
}
