package peerrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingWorker blocks in each call until its context ends, and reports the cause.
type blockingWorker struct {
	session *Session
	started chan CallID
	ended   chan error
}

// Work is an RPC method.
func (w *blockingWorker) Work(t *CallID, ok *bool) error {
	ctx, done := w.session.Begin(*t, time.Minute)
	defer done()
	w.started <- *t
	<-ctx.Done()
	w.ended <- context.Cause(ctx)
	return nil
}

// A server must learn that a call is cancelled, or that its caller's connection is closed, and stop working on it;
// another call on the same connection must continue.
func TestCancelledCallEndsAtPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	started, ended := make(chan CallID, 4), make(chan error, 4)
	go Serve(l, "Worker", testOptions(), func(s *Session) any { return &blockingWorker{s, started, ended} })
	p := NewPeer(l.Addr().String())
	work := func(ctx context.Context) CallID {
		id := NewCallID()
		go CallWatched[CallID, bool](ctx, p, "Worker.Work", &id, id)
		assert.Equal(t, <-started, id)
		return id
	}
	firstCtx, stop := context.WithCancel(t.Context())
	defer stop()
	cancelledCtx, cancel := context.WithCancelCause(t.Context())
	work(firstCtx)
	work(cancelledCtx)
	conn := p.conn
	cancel(ErrPeerGone) // the cause must make no difference
	assert.ErrorIs(t, <-ended, ErrCallerCancelled)
	assert.Equal(t, len(ended), 0, "the other call continues")
	assert.Assert(t, p.conn == conn, "on the same connection")
	p.Close()
	assert.ErrorIs(t, <-ended, ErrCallerCancelled, "its connection is closed")
}

// A call whose deadline has passed must end at the peer as well, even if the peer responds on the same connection: it
// measures the call's time from its arrival, which may have been late. (A cache router that was paused as the request
// arrived continued for half a second after the last client's deadline: seed 3054 of the soak test.)
func TestExpiredCallEndsAtPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	started, ended := make(chan CallID, 1), make(chan error, 1)
	go Serve(l, "Worker", testOptions(), func(s *Session) any { return &blockingWorker{s, started, ended} })
	p := NewPeer(l.Addr().String())
	short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	id := NewCallID()
	go CallWatched[CallID, bool](short, p, "Worker.Work", &id, id)
	<-started
	_, err = Call[bool, bool](t.Context(), p, pingMethod, new(bool)) // so that the connection does not count as cut
	assert.NilError(t, err)
	conn := p.conn
	select {
	case cause := <-ended:
		assert.ErrorIs(t, cause, ErrCallerCancelled)
	case <-time.After(10 * time.Second):
		t.Fatal("the call still runs at the peer")
	}
	assert.Assert(t, p.conn == conn, "on the same connection")
}

// A call that is cancelled before it begins must not start to work. The IDs of calls that have ended must be dropped
// once there are too many.
func TestCancelBeforeBegin(t *testing.T) {
	s := newSession(t.Context())
	for id := range CallID(2 * maxCancelledEarly) {
		s.cancel(id + 1)
	}
	assert.Equal(t, len(s.cancelledEarly), maxCancelledEarly)
	ctx, done := s.Begin(2*maxCancelledEarly, time.Minute)
	defer done()
	assert.ErrorIs(t, context.Cause(ctx), ErrCallerCancelled)
	ctx, done = s.Begin(1, time.Minute)
	defer done()
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(s.calls), 1)
}
