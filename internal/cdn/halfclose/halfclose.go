// Package halfclose distinguishes a client that has closed its connection from one that has only shut down its sending side. Both look
// alike: reading returns EOF. The first no longer waits for its response, and work for it should be cancelled; the second still waits.
//
// HTTP lets a server send interim responses at any time (RFC 9110, 15.2). A closed connection answers one with a reset, so that the
// next write fails; a client that waits ignores it. An HTTP/1.0 client does not know interim responses: its EOF is taken for a
// disconnect.
package halfclose

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probe is the interim response that is sent to see whether the client is still connected.
var probe = []byte("HTTP/1.1 100 Continue\r\n\r\n")

var (
	interimPrefix = []byte("HTTP/1.1 1")
	http10Marker  = []byte(" HTTP/1.0\r\n")
)

// probePauses are the waits after each probe; clients commonly accept five interim responses. The last value, 0, means that the
// connection is polled without a further probe until the request is answered.
var probePauses = [...]time.Duration{25 * time.Millisecond, 75 * time.Millisecond, 150 * time.Millisecond, 0}

// resetPollInterval is the interval at which a connection is polled for the reset that a probe causes. It arrives late on a slow network.
const resetPollInterval = 25 * time.Millisecond

// pipelinedPollInterval is the interval at which a connection is polled whose client has sent more bytes before its response. Nobody
// reads from it in the meantime.
const pipelinedPollInterval = 50 * time.Millisecond

// Conn is a client connection under an http.Server. While a request is being handled, that server reads one more byte and takes EOF for
// the client's disconnect. Conn returns EOF from that read only once the client has really disconnected.
type Conn struct {
	net.Conn

	mu           sync.Mutex
	responding   bool          // the final response has started: writing it shows whether the client is connected
	isHTTP10     bool          // the client uses HTTP/1.0
	stopPoll     chan struct{} // closed to stop polling a connection whose client has sent more; nil if none is polled
	onDisconnect func()
	disconnected bool          // a client that had sent more disconnected before onDisconnect was set
	interrupt    chan struct{} // signals a waiting read to return
	closed       bool
}

// NewListener returns a listener that wraps each accepted connection in a Conn.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// NewConn wraps a client connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, interrupt: make(chan struct{}, 1)} }

// OnDisconnect sets a function that is called, once, if the client of the current request disconnects after it has sent more bytes: an
// http.Server can't detect that. It is cleared at the next request, and also while the request's body is read: it must be set after that.
func (c *Conn) OnDisconnect(f func()) {
	c.mu.Lock()
	disconnected := c.disconnected
	if !disconnected {
		c.onDisconnect = f
	}
	c.mu.Unlock()
	if disconnected {
		f()
	}
}

// Read implements net.Conn. It relies on how an http.Server reads: with a buffer of one byte while a request is being handled, with a
// larger one otherwise.
func (c *Conn) Read(b []byte) (int, error) {
	backgroundRead := len(b) == 1
	if !backgroundRead {
		c.startRequest()
	}
	n, err := c.Conn.Read(b)
	switch {
	case backgroundRead && n > 0:
		c.watchPipelined()
	case backgroundRead && errors.Is(err, io.EOF):
		return 0, c.waitForDisconnect()
	case n > 0:
		c.detectHTTP10(b[:n])
	}
	return n, err
}

// startRequest resets the state for the next request, once the previous one is answered.
func (c *Conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding, c.onDisconnect, c.disconnected = false, nil, false
	c.stopPolling()
	select {
	case <-c.interrupt: // signal for the previous request
	default:
	}
}

// detectHTTP10 records that the client uses HTTP/1.0.
func (c *Conn) detectHTTP10(bytesRead []byte) {
	if bytes.Contains(bytesRead, http10Marker) {
		c.mu.Lock()
		c.isHTTP10 = true
		c.mu.Unlock()
	}
}

// Write implements net.Conn, and records when a final response starts.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if !bytes.HasPrefix(b, interimPrefix) {
		c.responding = true
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. A deadline in the past also ends a read that waits to see whether the client disconnects.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.interruptRead()
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and stops polling it.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.stopPolling()
	c.mu.Unlock()
	c.interruptRead()
	return c.Conn.Close()
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn, for polling the underlying socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// interruptRead makes a waiting read return.
func (c *Conn) interruptRead() {
	select {
	case c.interrupt <- struct{}{}:
	default:
	}
}

// waitForDisconnect returns io.EOF once the client has disconnected, or a timeout error if the read is interrupted before.
func (c *Conn) waitForDisconnect() error {
	if c.disconnects(c.interrupt) {
		return io.EOF
	}
	return os.ErrDeadlineExceeded
}

// disconnects probes a client that sent EOF, and reports whether it disconnects before stop is signalled.
func (c *Conn) disconnects(stop <-chan struct{}) bool {
	ticker := time.NewTicker(resetPollInterval)
	defer ticker.Stop()
	for _, wait := range probePauses {
		if !c.sendProbe() {
			return true
		}
		for end := time.Now().Add(wait); wait == 0 || time.Now().Before(end); {
			select {
			case <-ticker.C:
			case <-stop:
				return false
			}
			if _, broken := c.pollPeer(); broken {
				return true
			}
		}
	}
	return false
}

// sendProbe sends a probe and reports whether the client may still be connected.
func (c *Conn) sendProbe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.responding: // the response's own bytes serve as the probe
		return true
	case c.isHTTP10:
		return false
	}
	_, err := c.Conn.Write(probe)
	return err == nil
}

// watchPipelined starts polling a connection that nobody reads from while a request is being handled.
func (c *Conn) watchPipelined() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopPoll == nil && !c.closed {
		c.stopPoll = make(chan struct{})
		go c.pollPipelined(c.stopPoll)
	}
}

// stopPolling stops the polling that watchPipelined started. c.mu must be held.
func (c *Conn) stopPolling() {
	if c.stopPoll != nil {
		close(c.stopPoll)
		c.stopPoll = nil
	}
}

// pollPipelined polls the connection until it disconnects or stop is closed, and calls onDisconnect after a disconnect.
func (c *Conn) pollPipelined(stop <-chan struct{}) {
	ticker := time.NewTicker(pipelinedPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		ended, broken := c.pollPeer()
		if !ended && !broken {
			continue
		}
		if broken || c.disconnects(stop) {
			c.notifyDisconnect(stop)
		}
		return
	}
}

// pollPeer asks the system whether the peer has shut down its sending side, even if unread bytes precede the EOF, and whether the
// connection is broken.
func (c *Conn) pollPeer() (ended, broken bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(poll, 0); err == nil && n > 0 {
			ended = poll[0].Revents&unix.POLLRDHUP != 0
			broken = poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		}
	})
	return ended, broken || err != nil
}

// notifyDisconnect calls onDisconnect, unless the request has been answered in the meantime.
func (c *Conn) notifyDisconnect(stop <-chan struct{}) {
	c.mu.Lock()
	f := c.onDisconnect
	select {
	case <-stop:
		f = nil
	default:
		c.disconnected = f == nil
	}
	c.onDisconnect = nil
	c.mu.Unlock()
	if f != nil {
		f()
	}
}
