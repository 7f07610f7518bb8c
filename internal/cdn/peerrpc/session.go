package peerrpc

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// This file lets a caller give a call up: net/rpc knows no such thing, and the one who answers would work on for nobody. A call that may be
// given up bears a ticket; the one who answers begins it at its session, which ends its context when the ticket is given up or the
// connection is gone.

// ErrGivenUp is the cause of a call's end where its caller waits no longer.
var ErrGivenUp = errors.New("given up by its caller")

// Ticket numbers a call among those of its process, so that it can be given up; 0 for one that can't.
type Ticket uint64

var tickets atomic.Uint64

// NewTicket returns a ticket that this process has not used.
func NewTicket() Ticket { return Ticket(tickets.Add(1)) }

// Session is a connection as the one who answers its calls sees it.
type Session struct {
	ctx   context.Context
	mu    sync.Mutex
	calls map[Ticket]context.CancelCauseFunc
	early []Ticket // given up before they were begun: each call is carried out by a goroutine of its own, in no order
}

// mostEarly bounds the tickets that are kept for calls yet to begin. Most of them are of calls that have ended already.
const mostEarly = 256

func newSession(ctx context.Context) *Session {
	return &Session{ctx: ctx, calls: map[Ticket]context.CancelCauseFunc{}}
}

// Shared makes one service answer all connections: its calls can't be given up.
func Shared(service any) func(*Session) any { return func(*Session) any { return service } }

// Begin returns the context of a call, which is to be let go with done. A nil session is that of the process's own calls.
func (s *Session) Begin(t Ticket, within time.Duration) (ctx context.Context, done func()) {
	if s == nil {
		return context.WithTimeout(context.Background(), within)
	}
	ctx, end := context.WithCancelCause(s.ctx)
	ctx, stop := context.WithTimeout(ctx, within)
	if t == 0 {
		return ctx, func() { stop(); end(nil) }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, early := range s.early {
		if early == t {
			s.early = append(s.early[:i], s.early[i+1:]...)
			end(ErrGivenUp)
			return ctx, stop
		}
	}
	s.calls[t] = end
	return ctx, func() {
		s.mu.Lock()
		delete(s.calls, t)
		s.mu.Unlock()
		stop()
		end(nil)
	}
}

func (s *Session) giveUp(t Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := s.calls[t]; end != nil {
		delete(s.calls, t)
		end(ErrGivenUp)
		return
	}
	if s.early = append(s.early, t); len(s.early) > mostEarly {
		s.early = s.early[1:]
	}
}

// common is what every process answers beside its own calls. Its methods have net/rpc's form.
type common struct{ session *Session }

// Word answers at once.
func (common) Word(_ *bool, ok *bool) error { *ok = true; return nil }

// GiveUp ends a call that its caller waits for no longer.
func (c common) GiveUp(t *Ticket, ok *bool) error {
	c.session.giveUp(*t)
	*ok = true
	return nil
}

const (
	wordCall   = "Peer.Word"
	giveUpCall = "Peer.GiveUp"
)

// giveUp tells the peer that a call is waited for no longer.
func (k *link) giveUp(t Ticket) {
	ok := new(bool)
	k.client.Go(giveUpCall, &t, ok, make(chan *rpc.Call, 1))
}

// CallWatched is Call for what may take long: it fails with ErrGone soon after the peer has fallen silent, and when the context ends, be it for its
// time, the peer is told that the call with this ticket is given up: it counts a call's time from when the call came to it, which may have been
// late.
func CallWatched[A, R any](ctx context.Context, p *Peer, method string, args *A, ticket Ticket) (R, error) {
	return call[A, R](ctx, p, method, args, terms{watched: true, ticket: ticket})
}

// CallTicketed is Call, with the peer told when the context ends.
func CallTicketed[A, R any](ctx context.Context, p *Peer, method string, args *A, ticket Ticket) (R, error) {
	return call[A, R](ctx, p, method, args, terms{ticket: ticket})
}

// terms are how a call is to be waited for.
type terms struct {
	watched bool
	ticket  Ticket
}
