// Package halfclose tells a client that has closed its connection from one that has only ended its sending side. Both look alike: the
// connection brings no more bytes. The first waits for no answer, and work for it is to end; the second still does.
//
// HTTP lets a server send interim answers at any time (RFC 9110, 15.2). One that comes to a closed connection is answered with a reset, so that
// the next one can't be sent any more; a client that waits passes it over. A client that speaks HTTP/1.0 knows no interim answers: its end is
// taken for its leave.
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

// probe is sent to see whether anybody is there.
var probe = []byte("HTTP/1.1 100 Continue\r\n\r\n")

var (
	interimStart = []byte("HTTP/1.1 1")
	oldProtocol  = []byte(" HTTP/1.0\r\n")
)

// probePauses are the waits after each probe; clients commonly bear five interim answers. After the last one, 0, the connection is looked at
// without a further probe until the request is answered.
var probePauses = [...]time.Duration{25 * time.Millisecond, 75 * time.Millisecond, 150 * time.Millisecond, 0}

// brokenLook is how often a connection is looked at for the answer to a probe, which may take its time over a slow way.
const brokenLook = 25 * time.Millisecond

// earlyLook is how often a connection is looked at whose client has sent more before its answer: nobody reads it meanwhile.
const earlyLook = 50 * time.Millisecond

// Conn is a client's connection under an http.Server. While a request is in hand that server waits for one byte more, and takes the end of the
// bytes for the client's leave; here that end is told only once the client has left.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	answering bool          // the answer to the request in hand has begun: writing it shows whether the client is there
	old       bool          // the client speaks HTTP/1.0
	early     chan struct{} // closed to end the watch over a connection whose client has sent more; nil without one
	onLeave   func()
	woken     chan struct{} // holds a word when a waiting read is to end
	closed    bool
}

// Listen wraps the connections of a listener.
func Listen(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(c), nil
}

// New wraps a client's connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c, woken: make(chan struct{}, 1)} }

// OnLeave names what is called, once, when the client of the request in hand leaves after it has sent more: an http.Server can't see that. It
// holds until the next request.
func (c *Conn) OnLeave(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLeave = f
}

// Read reads as an http.Server does: one byte while a request is in hand, more otherwise.
func (c *Conn) Read(b []byte) (int, error) {
	waiting := len(b) == 1
	if !waiting {
		c.next()
	}
	n, err := c.Conn.Read(b)
	switch {
	case waiting && n > 0:
		c.watchEarly()
	case waiting && errors.Is(err, io.EOF):
		return 0, c.ended()
	case n > 0:
		c.note(b[:n])
	}
	return n, err
}

// next begins a request: the answer to the one before it is out.
func (c *Conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering, c.onLeave = false, nil
	c.endWatch()
	select {
	case <-c.woken: // of the request before
	default:
	}
}

func (c *Conn) note(bytesRead []byte) {
	if bytes.Contains(bytesRead, oldProtocol) {
		c.mu.Lock()
		c.old = true
		c.mu.Unlock()
	}
}

// Write writes, and notes when an answer begins.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if !bytes.HasPrefix(b, interimStart) {
		c.answering = true
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// SetReadDeadline also ends a read that waits to see whether the client has left.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.wake()
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.endWatch()
	c.mu.Unlock()
	c.wake()
	return c.Conn.Close()
}

// SyscallConn lets the connection be asked about.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

func (c *Conn) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// ended returns io.EOF once the client has left, and a timeout when the read is to end before.
func (c *Conn) ended() error {
	if c.left(c.woken) {
		return io.EOF
	}
	return os.ErrDeadlineExceeded
}

// left tells whether a client whose bytes have ended leaves before the word to stop.
func (c *Conn) left(stop <-chan struct{}) bool {
	look := time.NewTicker(brokenLook)
	defer look.Stop()
	for _, pause := range probePauses {
		if !c.present() {
			return true
		}
		for until := time.Now().Add(pause); pause == 0 || time.Now().Before(until); {
			select {
			case <-look.C:
			case <-stop:
				return false
			}
			if _, broken := c.peerEnded(); broken {
				return true
			}
		}
	}
	return false
}

// present sends a probe; false if nobody is there to take it.
func (c *Conn) present() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.answering: // the answer's own bytes are the probe
		return true
	case c.old:
		return false
	}
	_, err := c.Conn.Write(probe)
	return err == nil
}

// watchEarly looks after a connection that nobody reads while a request is in hand.
func (c *Conn) watchEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early == nil && !c.closed {
		c.early = make(chan struct{})
		go c.lookEarly(c.early)
	}
}

// endWatch ends that. The caller holds the lock.
func (c *Conn) endWatch() {
	if c.early != nil {
		close(c.early)
		c.early = nil
	}
}

func (c *Conn) lookEarly(stop <-chan struct{}) {
	turn := time.NewTicker(earlyLook)
	defer turn.Stop()
	for {
		select {
		case <-stop:
			return
		case <-turn.C:
		}
		ended, broken := c.peerEnded()
		if !ended && !broken {
			continue
		}
		if broken || c.left(stop) {
			c.tellLeave(stop)
		}
		return
	}
}

// peerEnded asks the system whether the peer has ended its side, also behind bytes that nobody has read, or the connection is broken.
func (c *Conn) peerEnded() (ended, broken bool) {
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

// tellLeave calls what was named, unless the request has been answered meanwhile.
func (c *Conn) tellLeave(stop <-chan struct{}) {
	c.mu.Lock()
	f := c.onLeave
	select {
	case <-stop:
		f = nil
	default:
	}
	c.onLeave = nil
	c.mu.Unlock()
	if f != nil {
		f()
	}
}
