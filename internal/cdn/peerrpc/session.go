package peerrpc

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/cdn/admission"
)

// This file lets a caller cancel a call. net/rpc has no cancellation: without it the server would continue to work for
// nobody. A call that may be cancelled carries a call ID; the server registers the call with its session, which cancels
// the call's context when the caller cancels the call or the connection ends.

// ErrCallerCancelled is the cancellation cause of a call whose caller no longer waits.
var ErrCallerCancelled = errors.New("cancelled by the caller")

// CallID identifies a call among those of the calling process, so that it can be cancelled; 0 for a call that cannot be
// cancelled.
type CallID uint64

// lastCallID is the newest call ID of this process.
var lastCallID atomic.Uint64

// NewCallID returns a call ID that this process has not used before.
func NewCallID() CallID { return CallID(lastCallID.Add(1)) }

// Session is the server's side of a connection.
type Session struct {
	ctx   context.Context // cancelled when the connection ends
	mu    sync.Mutex
	calls map[CallID]context.CancelCauseFunc // calls in progress
	// cancelledEarly holds the IDs of calls that were cancelled before they began: each call runs in its own goroutine, in no defined order.
	cancelledEarly []CallID

	replies      *admission.Budget              // nil for sessions of tests
	reservations map[any]*admission.Reservation // of replies that are being made
}

// maxCancelledEarly bounds the IDs kept of cancelled calls that have yet to begin. Most of them belong to calls that have
// already ended.
const maxCancelledEarly = 256

func newSession(ctx context.Context) *Session {
	return &Session{ctx: ctx, calls: map[CallID]context.CancelCauseFunc{}, reservations: map[any]*admission.Reservation{}}
}

// ReserveReply charges a long reply before it is made, or returns admission.ErrNoRoom. It is charged until it has been written; a method that
// fails after it holds the charge until its connection ends, so it must be the last step that can fail. A reply of
// 0 bytes is charged when it is written, as any other; a nil session is that of calls within the process, which are not charged.
func (s *Session) ReserveReply(reply Sized, bytes int64) error {
	if s == nil || s.replies == nil || bytes == 0 {
		return nil
	}
	reservation := s.replies.Reserve()
	if err := reservation.Grow(bytes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservations[reply] = reservation
	return nil
}

// takeReservation returns and forgets what was reserved for a reply; nil if that is nothing.
func (s *Session) takeReservation(reply any) *admission.Reservation {
	if _, sized := reply.(Sized); !sized {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation := s.reservations[reply]
	delete(s.reservations, reply)
	return reservation
}

// releaseReservations releases what was reserved for replies that were never written.
func (s *Session) releaseReservations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for reply, reservation := range s.reservations {
		reservation.Release()
		delete(s.reservations, reply)
	}
}

// SharedService makes one service answer all connections. Its calls cannot be cancelled.
func SharedService(service any) func(*Session) any { return func(*Session) any { return service } }

// Begin returns the context of a call; done must be called when the call ends. A nil session is that of calls within
// the process.
func (s *Session) Begin(id CallID, timeout time.Duration) (ctx context.Context, done func()) {
	if s == nil {
		return context.WithTimeout(context.Background(), timeout)
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	if id == 0 {
		return ctx, func() { cancelTimeout(); cancel(nil) }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, cancelled := range s.cancelledEarly {
		if cancelled == id {
			s.cancelledEarly = append(s.cancelledEarly[:i], s.cancelledEarly[i+1:]...)
			cancel(ErrCallerCancelled)
			return ctx, cancelTimeout
		}
	}
	s.calls[id] = cancel
	return ctx, func() {
		s.mu.Lock()
		delete(s.calls, id)
		s.mu.Unlock()
		cancelTimeout()
		cancel(nil)
	}
}

// cancel cancels the context of a call, or remembers its ID if the call has not begun.
func (s *Session) cancel(id CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.calls[id]; cancel != nil {
		delete(s.calls, id)
		cancel(ErrCallerCancelled)
		return
	}
	if s.cancelledEarly = append(s.cancelledEarly, id); len(s.cancelledEarly) > maxCancelledEarly {
		s.cancelledEarly = s.cancelledEarly[1:]
	}
}

// peerService holds the RPC methods that every process offers beside its own service.
type peerService struct{ session *Session }

// Word replies at once, to show that the process is alive.
func (peerService) Word(_ *bool, ok *bool) error { *ok = true; return nil }

// GiveUp cancels a call whose caller no longer waits for it.
func (c peerService) GiveUp(id *CallID, ok *bool) error {
	c.session.cancel(*id)
	*ok = true
	return nil
}

const (
	pingMethod   = "Peer.Word"
	cancelMethod = "Peer.GiveUp"
)

// cancelCall tells the peer that a call is cancelled. It does not wait for the reply.
func (c *peerConn) cancelCall(id CallID) {
	ok := new(bool)
	c.client.Go(cancelMethod, &id, ok, make(chan *rpc.Call, 1))
}

// CallWatched is Call for calls that may take long. It fails with ErrPeerGone soon after the peer stops responding. When
// ctx ends, even by its deadline, the peer is told to cancel the call with this ID: the peer measures the call's
// time from its arrival, which may have been late.
func CallWatched[A, R any](ctx context.Context, p *Peer, method string, args *A, id CallID) (R, error) {
	return call[A, R](ctx, p, method, args, callOptions{watched: true, id: id})
}

// CallCancellable is Call, but tells the peer to cancel the call when ctx ends.
func CallCancellable[A, R any](ctx context.Context, p *Peer, method string, args *A, id CallID) (R, error) {
	return call[A, R](ctx, p, method, args, callOptions{id: id})
}

// callOptions are the options of a call.
type callOptions struct {
	watched bool   // fail soon after the peer stops responding
	id      CallID // cancelled when the context ends; 0: none
}
