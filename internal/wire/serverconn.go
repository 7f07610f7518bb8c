package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// answer is a server's answer, whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	keep   bool // the connection may be used again
	err    error
}

// serverConn is a connection to a server. A goroutine reads it all its life, so that a close is seen at once, also
// of one that is idle.
type serverConn struct {
	net.Conn
	server  balance.ServerID
	pool    *exchange.Pool
	answers chan answer // holds one: the answer to the request in hand
	reading atomic.Bool // a byte of it has come

	mu     sync.Mutex
	busy   bool
	broken bool
	closed sync.Once
}

// newServerConn takes over a connection for which room has been reserved. It is busy at first.
func newServerConn(c net.Conn, server balance.ServerID, pool *exchange.Pool) *serverConn {
	s := &serverConn{Conn: c, server: server, pool: pool, answers: make(chan answer, 1), busy: true}
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

// stale asks the system whether the server's close has come in though the reader has not run since: on a busy core
// that is the difference between an attempt that never ran and one that may have. Bytes that nobody asked for count
// alike, lest they be taken for the next request's answer.
func (c *serverConn) stale() bool {
	state := peek(c.Conn)
	return state == unread || state == closed
}

// idle makes the connection ready for its next request; false if it has ended.
func (c *serverConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
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
	r := bufio.NewReaderSize(c.Conn, maxHead)
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
		a := readAnswer(r)
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
	select {
	case c.answers <- a:
	default: // one is there already: nobody waits for a second
	}
}

// readAnswer reads one answer whole.
func readAnswer(r *bufio.Reader) answer {
	for {
		if err := awaitHead(r); err != nil {
			return answer{err: err}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answer{err: fmt.Errorf("%w: %w", errMalformed, err)}
		}
		if resp.StatusCode < 200 { // an interim one
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return answer{err: fmt.Errorf("%w: status %d", errMalformed, resp.StatusCode)}
			}
			continue
		}
		body, err := readBody(resp.Body, resp.ContentLength)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return answer{err: err}
		}
		return answer{status: resp.StatusCode, header: endToEnd(resp.Header), body: body, keep: !resp.Close}
	}
}
