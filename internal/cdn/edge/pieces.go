package edge

import (
	"context"
	"errors"
	"time"

	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
)

// This file brings long bodies over a thin link by pieces. Whoever has the thin link asks for each piece when the ones before it have about
// come, what has least left first: a board of 6 KB never waits behind the tiles of 120 that others lend at the same moment.

// lentPiece is longer than what is written at once: the way to ask for the next one is waited for each time.
const lentPiece = 3 * piece

// Piece is a question for part of a body that is being lent.
type Piece struct {
	Key     objectcache.Key
	ETag    string
	Total   int // bytes of the whole
	From, N int
}

var errOther = errors.New("the copy is another one by now")

// holds returns the copy's body, if it is still this one.
func (e *Edge) holds(k objectcache.Key, etag string, total int) []byte {
	x, grade := e.cache.Get(k, time.Now(), e.slack(), objectcache.Asker{})
	if grade == objectcache.NotThere || etag == "" || x.ETag != etag || len(x.Body) != total {
		return nil
	}
	return x.Body
}

// Piece answers with part of a body.
func (p *peerCalls) Piece(q *Piece, part *[]byte) error {
	p.edge.lent.begin()
	defer p.edge.lent.done()
	body := p.edge.holds(q.Key, q.ETag, q.Total)
	if body == nil {
		return errOther
	}
	if q.From < 0 || q.N <= 0 || q.From > len(body)-q.N {
		return errors.New("a piece past the end")
	}
	*part = body[q.From : q.From+q.N]
	return nil
}

// lentBy asks another cache router for an object; over a thin link the rest of a long body comes by pieces.
func (e *Edge) lentBy(ctx context.Context, peer *peerrpc.Peer, q Fetch) (Fetched, error) {
	if e.from.rate > 0 {
		q.Most = lentPiece
	}
	begun := time.Now()
	q.Ticket = peerrpc.NewTicket()
	got, err := peerrpc.CallWatched[Fetch, Fetched](ctx, peer, "Edge.Fetch", &q, q.Ticket)
	e.from.out(len(got.Body), time.Now())
	if err != nil || got.Total == 0 {
		return got, err
	}
	if got.Total < len(got.Body) || got.Total > maxLent {
		return Fetched{}, Error.New("a body of %d bytes from %s", got.Total, peer.Address)
	}
	body := append(make([]byte, 0, got.Total), got.Body...)
	for etag := first(got.Header, "Etag"); len(body) < got.Total; {
		n := min(lentPiece, got.Total-len(body))
		if err := e.from.wait(ctx, n, got.Total-len(body), begun); err != nil {
			return Fetched{}, err
		}
		part, err := peerrpc.CallWatched[Piece, []byte](ctx, peer, "Edge.Piece", &Piece{q.Key, etag, got.Total, len(body), n}, 0)
		if err != nil {
			return Fetched{}, err
		}
		if len(part) != n {
			return Fetched{}, Error.New("a piece of %d bytes for %d from %s", len(part), n, peer.Address)
		}
		body = append(body, part...)
	}
	got.Body, got.Total = body, 0
	return got, nil
}
