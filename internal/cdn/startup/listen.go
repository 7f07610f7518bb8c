package startup

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	listenInterval      = 50 * time.Millisecond // between two attempts to take an address
	acceptRetryInterval = 10 * time.Millisecond
)

// passingListenErrors are the causes of a failed listen that pass: a predecessor ends, an interface comes up, resources become free.
var passingListenErrors = []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN}

// Listen listens at a TCP address, and waits for it as long as that may succeed later. The listener accepts connections until it is closed,
// whatever an accept fails with.
func Listen(ctx context.Context, address string, log hclog.Logger) (net.Listener, error) {
	var listener net.Listener
	step := Step{Name: "listen at " + address, Interval: listenInterval, IsFinal: isFinalListenError, Do: func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}}
	if err := step.Run(ctx, log); err != nil {
		return nil, err
	}
	return &persistentListener{Listener: listener, log: log}, nil
}

// isFinalListenError reports whether an address can't become free by waiting.
func isFinalListenError(err error) bool {
	return !slices.ContainsFunc(passingListenErrors, func(cause syscall.Errno) bool { return errors.Is(err, cause) })
}

// persistentListener retries failed accepts. An http.Server stops accepting for good at an error that is not temporary to it, such as a
// lack of memory.
type persistentListener struct {
	net.Listener
	log      hclog.Logger
	loggedAt atomic.Int64 // when a failure was last logged, in nanoseconds since 1970
}

// Accept returns the next connection, or net.ErrClosed.
func (l *persistentListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.logFailure(err)
		time.Sleep(acceptRetryInterval)
	}
}

// logFailure logs a failed accept, at most one every logInterval.
func (l *persistentListener) logFailure(err error) {
	last, now := l.loggedAt.Load(), time.Now().UnixNano()
	if now-last >= int64(logInterval) && l.loggedAt.CompareAndSwap(last, now) {
		l.log.Warn("cannot accept connections, retrying", "address", l.Addr().String(), "err", err)
	}
}
