package peerrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patient works on each call until its context ends, and tells why it did.
type patient struct {
	session *Session
	begun   chan Ticket
	ended   chan error
}

// Work has net/rpc's form.
func (w *patient) Work(t *Ticket, ok *bool) error {
	ctx, done := w.session.Begin(*t, time.Minute)
	defer done()
	w.begun <- *t
	<-ctx.Done()
	w.ended <- context.Cause(ctx)
	return nil
}

// The one who answers learns that a call is given up, or that its caller's connection is gone, and works no longer; another call on the same
// connection goes on.
func TestACallThatIsGivenUpEndsAtThePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	begun, ended := make(chan Ticket, 4), make(chan error, 4)
	go Serve(l, "Worker", func(s *Session) any { return &patient{s, begun, ended} })
	p := NewPeer(l.Addr().String())
	work := func(ctx context.Context) Ticket {
		ticket := NewTicket()
		go CallWatched[Ticket, bool](ctx, p, "Worker.Work", &ticket, ticket)
		assert.Equal(t, <-begun, ticket)
		return ticket
	}
	stays, stop := context.WithCancel(t.Context())
	defer stop()
	leaves, leave := context.WithCancelCause(t.Context())
	work(stays)
	work(leaves)
	link := p.link
	leave(ErrGone) // whatever the cause is called
	assert.ErrorIs(t, <-ended, ErrGivenUp)
	assert.Equal(t, len(ended), 0, "the other call goes on")
	assert.Assert(t, p.link == link, "on the same connection")
	p.Close()
	assert.ErrorIs(t, <-ended, ErrGivenUp, "its connection is gone")
}

// A call whose time is over ends at the peer as well, though the peer is heard on the same connection: it counts a call's time from when the call
// came to it, which may have been late. (A cache router that was paused as the question came worked on for half a second after the last client's
// time was over: the soak's seed 3054.)
func TestACallWhoseTimeIsOverEndsAtThePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	begun, ended := make(chan Ticket, 1), make(chan error, 1)
	go Serve(l, "Worker", func(s *Session) any { return &patient{s, begun, ended} })
	p := NewPeer(l.Addr().String())
	short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	ticket := NewTicket()
	go CallWatched[Ticket, bool](short, p, "Worker.Work", &ticket, ticket)
	<-begun
	_, err = Call[bool, bool](t.Context(), p, wordCall, new(bool)) // so that the connection does not pass for a cut one
	assert.NilError(t, err)
	link := p.link
	select {
	case cause := <-ended:
		assert.ErrorIs(t, cause, ErrGivenUp)
	case <-time.After(10 * time.Second):
		t.Fatal("it works on")
	}
	assert.Assert(t, p.link == link, "on the same connection")
}

// A call that is given up before it is begun does not begin to work; tickets of calls that have ended are forgotten in time.
func TestGivenUpBeforeItIsBegun(t *testing.T) {
	s := newSession(t.Context())
	for ticket := range Ticket(2 * mostEarly) {
		s.giveUp(ticket + 1)
	}
	assert.Equal(t, len(s.early), mostEarly)
	ctx, done := s.Begin(2*mostEarly, time.Minute)
	defer done()
	assert.ErrorIs(t, context.Cause(ctx), ErrGivenUp)
	ctx, done = s.Begin(1, time.Minute)
	defer done()
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(s.calls), 1)
}
