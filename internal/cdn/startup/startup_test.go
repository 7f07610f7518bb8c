package startup

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// An address that a predecessor holds is taken as soon as the predecessor lets it go.
func TestListenWaitsForPredecessor(t *testing.T) {
	predecessor, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := predecessor.Addr().String()
	opened := make(chan error, 1)
	go func() {
		successor, err := Listen(t.Context(), address, hclog.NewNullLogger())
		if err == nil {
			defer successor.Close()
		}
		opened <- err
	}()
	select {
	case err := <-opened:
		t.Fatalf("did not wait: %v", err)
	case <-time.After(3 * listenInterval):
	}
	predecessor.Close()
	assert.NilError(t, <-opened)
}

// Waiting ends with the context, and an address that can't be meant ends it at once.
func TestListenEnds(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer holder.Close()
	ctx, stop := context.WithTimeout(t.Context(), listenInterval)
	defer stop()
	_, err = Listen(ctx, holder.Addr().String(), hclog.NewNullLogger())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = Listen(t.Context(), "127.0.0.1:99999", hclog.NewNullLogger())
	assert.ErrorContains(t, err, "127.0.0.1:99999")
}

// failingListener fails a number of accepts.
type failingListener struct {
	net.Listener
	failures int
	conn     net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// A lack of memory at an accept, which ends http.Server.Serve, costs a retry only.
func TestAcceptGoesOn(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	l := &persistentListener{Listener: &failingListener{failures: 3, conn: conn}, log: hclog.NewNullLogger()}
	accepted, err := l.Accept()
	assert.NilError(t, err)
	assert.Equal(t, accepted, conn)
	_, err = l.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}

// A step with a timeout returns its last error, with the step's name.
func TestStepTimeout(t *testing.T) {
	attempts := 0
	step := Step{Name: "read the settings", Interval: time.Millisecond, Timeout: 20 * time.Millisecond, Do: func() error {
		attempts++
		return errors.New("empty file")
	}}
	assert.Error(t, step.Run(t.Context(), hclog.NewNullLogger()), "read the settings: empty file")
	assert.Assert(t, attempts > 1)
}
