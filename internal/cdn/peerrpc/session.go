package peerrpc

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// This file lets a caller cancel a call. net/rpc has no cancellation: without it the server would continue to work for
// nobody. A call that may be cancelled carries a ticket; the server registers the call with its session, which cancels
// the call's context when the caller cancels the ticket or the connection ends.

// ErrGivenUp is the cancellation cause of a call whose caller no longer waits.
var ErrGivenUp = errors.New("cancelled by the caller")

// Ticket identifies a call among those of the calling process, so that it can be cancelled; 0 for a call that cannot be
// cancelled.
type Ticket uint64

// lastTicket is the newest ticket of this process.
var lastTicket atomic.Uint64

// NewTicket returns a ticket that this process has not used before.
func NewTicket() Ticket { return Ticket(lastTicket.Add(1)) }

// Session is the server's side of a connection.
type Session struct {
	ctx   context.Context // cancelled when the connection ends
	mu    sync.Mutex
	calls map[Ticket]context.CancelCauseFunc // calls in progress
	// cancelledEarly holds tickets that were cancelled before their calls began: each call runs in its own goroutine, in no defined order.
	cancelledEarly []Ticket
}

// maxCancelledEarly bounds the tickets kept for calls that have yet to begin. Most of them belong to calls that have
// already ended.
const maxCancelledEarly = 256

func newSession(ctx context.Context) *Session {
	return &Session{ctx: ctx, calls: map[Ticket]context.CancelCauseFunc{}}
}

// Shared makes one service answer all connections. Its calls cannot be cancelled.
func Shared(service any) func(*Session) any { return func(*Session) any { return service } }

// Begin returns the context of a call; done must be called when the call ends. A nil session is that of calls within
// the process.
func (s *Session) Begin(ticket Ticket, timeout time.Duration) (ctx context.Context, done func()) {
	if s == nil {
		return context.WithTimeout(context.Background(), timeout)
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	if ticket == 0 {
		return ctx, func() { cancelTimeout(); cancel(nil) }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, cancelled := range s.cancelledEarly {
		if cancelled == ticket {
			s.cancelledEarly = append(s.cancelledEarly[:i], s.cancelledEarly[i+1:]...)
			cancel(ErrGivenUp)
			return ctx, cancelTimeout
		}
	}
	s.calls[ticket] = cancel
	return ctx, func() {
		s.mu.Lock()
		delete(s.calls, ticket)
		s.mu.Unlock()
		cancelTimeout()
		cancel(nil)
	}
}

// cancel cancels the context of a call, or remembers its ticket if the call has not begun.
func (s *Session) cancel(ticket Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[ticket]; cancel != nil {
		delete(s.calls, ticket)
		cancel(ErrGivenUp)
		return
	}
	if s.cancelledEarly = append(s.cancelledEarly, ticket); len(s.cancelledEarly) > maxCancelledEarly {
		s.cancelledEarly = s.cancelledEarly[1:]
	}
}

// peerService holds the RPC methods that every process offers beside its own service.
type peerService struct{ session *Session }

// Word replies at once, to show that the process is alive.
func (peerService) Word(_ *bool, ok *bool) error { *ok = true; return nil }

// GiveUp cancels a call whose caller no longer waits for it.
func (c peerService) GiveUp(ticket *Ticket, ok *bool) error {
	c.session.cancel(*ticket)
	*ok = true
	return nil
}

const (
	pingMethod   = "Peer.Word"
	cancelMethod = "Peer.GiveUp"
)

// cancelCall tells the peer that a call is cancelled. It does not wait for the reply.
func (c *peerConn) cancelCall(ticket Ticket) {
	ok := new(bool)
	c.client.Go(cancelMethod, &ticket, ok, make(chan *rpc.Call, 1))
}

// CallWatched is Call for calls that may take long. It fails with ErrGone soon after the peer stops responding. When
// ctx ends, even by its deadline, the peer is told to cancel the call with this ticket: the peer measures the call's
// time from its arrival, which may have been late.
func CallWatched[A, R any](ctx context.Context, p *Peer, method string, args *A, ticket Ticket) (R, error) {
	return call[A, R](ctx, p, method, args, callOptions{watched: true, ticket: ticket})
}

// CallTicketed is Call, but tells the peer to cancel the call when ctx ends.
func CallTicketed[A, R any](ctx context.Context, p *Peer, method string, args *A, ticket Ticket) (R, error) {
	return call[A, R](ctx, p, method, args, callOptions{ticket: ticket})
}

// callOptions are the options of a call.
type callOptions struct {
	watched bool   // fail soon after the peer stops responding
	ticket  Ticket // cancelled when the context ends; 0: none
}
