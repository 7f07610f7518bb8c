package upstream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// upload writes the rest of a request's body to a server in a goroutine of its own. The server may respond before it has read the request,
// keep the connection and read on later: the connection carries nothing else until the upload has ended. Nil is one that has ended well.
type upload struct {
	done chan struct{} // closed when it has ended
	err  error         // why it failed; valid once done is closed
}

// startUpload starts to write the rest of a body. Before the last byte it rechecks the permission, and closes the connection without it: a
// server that reads the whole request before it runs it then does not.
func startUpload(c *conn, rest []byte, recheckPermit func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = c.writeRest(rest, recheckPermit)
	}()
	return u
}

// failedUpload returns an upload that has failed.
func failedUpload(err error) *upload {
	u := &upload{done: make(chan struct{}), err: err}
	close(u.done)
	return u
}

// writeRest writes the rest of a body, which is not empty.
func (c *conn) writeRest(rest []byte, recheckPermit func() error) error {
	last := len(rest) - 1
	if _, err := c.Conn.Write(rest[:last]); err != nil {
		return err
	}
	if err := recheckPermit(); err != nil {
		c.Close()
		return &permitLostError{err}
	}
	_, err := c.Conn.Write(rest[last:])
	return err
}

// permitLostError is the error of an upload that was cut off because the request was no longer permitted.
type permitLostError struct{ cause error }

// Error implements error.
func (e *permitLostError) Error() string { return "no longer permitted: " + e.cause.Error() }

// Unwrap returns why it was not permitted.
func (e *permitLostError) Unwrap() error { return e.cause }

// ended reports whether the upload has ended.
func (u *upload) ended() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// wait waits for the end of the upload and returns why it failed, nil if all was sent.
func (u *upload) wait() error {
	if u == nil {
		return nil
	}
	<-u.done
	return u.err
}

// wasReset reports whether a connection whose end has been read was reset, and not closed in order. The kernel reports a reset to one call
// only, which may have been the upload's; after an orderly end it reports EPIPE to that.
func (c *conn) wasReset(u *upload) bool {
	if u == nil || !u.ended() && !hungUp(c) {
		return false
	}
	return errors.Is(u.wait(), syscall.ECONNRESET)
}

// hungUp reports whether a connection can be neither read nor written any more. One whose peer has only ended its own sending can be
// written.
func hungUp(c *conn) bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := true
	rawConn.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(poll, 0)
		hungUp = err != nil || poll[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
	})
	return hungUp
}
