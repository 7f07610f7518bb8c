package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// answer is a server's answer, whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	keep   bool // the connection may be used again
	err    error

	release func() // of a long body's share of the budget; nil without
}

// let gives back what an answer holds that nobody takes.
func (a answer) let() {
	if a.release != nil {
		a.release()
	}
}

// serverConn is a connection to a server. A goroutine reads it all its life, so that a close is seen at once, also
// of one that is idle.
type serverConn struct {
	net.Conn
	server  balance.ServerID
	pool    *exchange.Pool
	long    *exchange.Budget // of long bodies; nil: none is taken
	answers chan answer      // holds one: the answer to the request in hand
	reading atomic.Bool      // a byte of it has come

	mu     sync.Mutex
	since  time.Time // when it last fell idle; zero for a new one
	busy   bool
	left   bool // by its attempt: nobody takes an answer any more
	broken bool
	closed sync.Once
}

// newServerConn takes over a connection for which room has been reserved. It is busy at first.
func newServerConn(c net.Conn, server balance.ServerID, pool *exchange.Pool, long *exchange.Budget) *serverConn {
	s := &serverConn{Conn: c, server: server, pool: pool, long: long, answers: make(chan answer, 1), busy: true}
	go s.read()
	return s
}

// Acquire makes an idle connection busy.
func (c *serverConn) Acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.busy {
		return false
	}
	c.busy = true
	c.reading.Store(false)
	return true
}

// Close closes the connection and gives its room back, once.
func (c *serverConn) Close() error {
	var err error
	c.closed.Do(func() {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		err = c.Conn.Close()
		c.pool.Release()
	})
	return err
}

// usable tells whether nothing has been seen against the connection.
func (c *serverConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken
}

// idleFor is how long the connection has been idle; a new one has not been.
func (c *serverConn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		return 0
	}
	return now.Sub(c.since)
}

// stale asks the system whether the server's close has come in though the reader has not run since: on a busy core
// that is the difference between an attempt that never ran and one that may have. Bytes that nobody asked for count
// alike, lest they be taken for the next request's answer.
func (c *serverConn) stale() bool {
	state := socket.Peek(c.Conn)
	return state == socket.Unread || state == socket.Closed
}

// idle makes the connection ready for its next request; false if it has ended.
func (c *serverConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.since = false, time.Now()
	return !c.broken
}

// read waits for answers, one to a request. What comes unasked ends the connection, and so does a panic, whose
// request still hears of it.
func (c *serverConn) read() {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil {
			c.deliver(answer{err: fmt.Errorf("panic: %v", p)})
		}
	}()
	in := &stallReader{Conn: c.Conn}
	r := bufio.NewReaderSize(in, maxHead)
	for {
		_, err := r.Peek(1)
		c.mu.Lock()
		busy := c.busy
		if !busy || err != nil {
			c.broken = true
		}
		c.mu.Unlock()
		if !busy {
			c.pool.Remove(c.server, c)
			return
		}
		if err != nil {
			c.deliver(answer{err: err})
			return
		}
		c.reading.Store(true)
		in.arm(true)
		a := readAnswer(r, c.reserve)
		in.arm(false)
		if r.Buffered() > 0 { // more than was asked for
			a.keep = false
		}
		if a.err != nil || !a.keep {
			c.mu.Lock()
			c.broken = true
			c.mu.Unlock()
		} else if !c.idle() {
			a.keep = false
		}
		c.deliver(a)
		if a.err != nil || !a.keep {
			return
		}
	}
}

func (c *serverConn) deliver(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		a.let()
		return
	}
	select {
	case c.answers <- a:
	default: // one is there already: nobody waits for a second
		a.let()
	}
}

// leave closes the connection under its request: whatever comes of it is let go.
func (c *serverConn) leave() {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	select {
	case a := <-c.answers:
		a.let()
	default:
	}
}

// reserve waits until the budget has room for a long body, as long as the connection stands.
func (c *serverConn) reserve(bytes int64) (release func(), ok bool) {
	for c.long != nil && c.usable() {
		if release, ok = c.long.Take(bytes); ok {
			return release, true
		}
		time.Sleep(reserveEvery)
	}
	return nil, false
}

const (
	reserveEvery = 2 * time.Millisecond   // to ask for room for a long body
	maxInterim   = 8                      // interim answers before the final one
	stallFor     = 200 * time.Millisecond // in which an answer that has begun must go on: servers write it at once
)

// stallReader reads a connection and, while it is armed, gives up when nothing more comes. A router that got to its
// bytes late is not to take its own slowness for the server's, so it looks once more.
type stallReader struct {
	net.Conn
	armed bool
}

func (s *stallReader) Read(p []byte) (int, error) {
	for {
		if s.armed {
			s.SetReadDeadline(time.Now().Add(stallFor))
		}
		n, err := s.Conn.Read(p)
		if n > 0 || !s.armed || !errors.Is(err, os.ErrDeadlineExceeded) || socket.Peek(s.Conn) != socket.Unread {
			return n, err
		}
	}
}

// arm begins or ends the watch over an answer.
func (s *stallReader) arm(on bool) {
	if s.armed = on; !on {
		s.SetReadDeadline(time.Time{})
	}
}

// onceInAnswer are the headers of an answer that change its meaning.
var onceInAnswer = map[string]bool{headerUnprocessed: true, headerLookup: true}

// readAnswer reads one answer whole. What can't be read in one way alone is no answer, and neither is one that only the
// connection's end would end: cut short it would look the same.
//
// A body over the usual bound is taken if there is room for it, and at once for its whole length; one in chunks, whose
// length nobody tells, is held to the usual bound.
func readAnswer(r *bufio.Reader, reserve func(int64) (func(), bool)) answer {
	for interim := 0; ; interim++ {
		text, err := awaitHead(r, 0)
		if err != nil {
			return answer{err: spoilt(err)}
		}
		softenLoad(text)
		start := string(text[:min(len(text), 160)])
		frame, err := checkHead(text, onceInAnswer)
		if err != nil {
			return answer{err: fmt.Errorf("%w: %w: %q", errMalformed, err, start)}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answer{err: fmt.Errorf("%w: %w", errMalformed, err)}
		}
		body := frame.chunked || frame.length > 0
		switch {
		case resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > 599,
			resp.StatusCode == http.StatusSwitchingProtocols, resp.StatusCode < 200 && body, interim > maxInterim:
			return answer{err: fmt.Errorf("%w: %.40q out of place", errMalformed, resp.Status)}
		case resp.StatusCode < 200:
			continue
		case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		case frame.length < 0 && !frame.chunked:
			return answer{err: fmt.Errorf("%w: no length", errMalformed)}
		}
		var release func()
		most := int64(maxBody)
		if frame.length > maxBody && frame.length <= maxLong && reserve != nil {
			var ok bool
			if release, ok = reserve(frame.length); ok {
				most = maxLong
			}
		}
		got, err := readBody(resp.Body, resp.ContentLength, most)
		if err != nil {
			answer{release: release}.let()
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return answer{err: spoilt(err)}
		}
		resp.Header.Del(headerLoad)
		return answer{status: resp.StatusCode, header: endToEnd(resp.Header), body: got, keep: !resp.Close,
			release: release}
	}
}

// spoilt tells an answer that can't be read, or does not go on, from a connection that broke.
func spoilt(err error) error {
	var broken *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: it does not go on", errMalformed)
	case errors.As(err, &broken), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return err
	}
	return fmt.Errorf("%w: %w", errMalformed, err)
}

// softenLoad blanks out what can't be read in a load report, where it lies: the report is of no use then, but the
// answer under it is good.
func softenLoad(head []byte) {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !bytes.EqualFold(name, []byte(headerLoad)) || plain(value) {
			continue
		}
		for i := range value {
			value[i] = ' '
		}
	}
}
