package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"cedarmast/internal/exchange"
)

// timedReader records the time of the last successful read from a connection.
type timedReader struct {
	net.Conn
	lastRead time.Time
}

// Read reads from the connection and records the time if any bytes arrived.
func (t *timedReader) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.lastRead = time.Now()
	}
	return n, err
}

// firstByte reports when the first byte of the next request arrived, or the error that came instead.
type firstByte struct {
	at  time.Time
	err error
}

// clientConn is a client's connection. Two goroutines work on it: serve handles the requests, and watch waits for the next
// byte or the client's close while serve does not read.
type clientConn struct {
	net.Conn
	frontend   *Frontend
	input      *timedReader
	reader     *bufio.Reader
	firstBytes chan firstByte
	resume     chan struct{} // tells watch to read again
	done       chan struct{} // closed when serve returns

	// Used by serve only:
	watching      bool      // watch is waiting for a byte
	acceptedAt    time.Time // the timeout for the first request counts from here
	refusedLength int64     // length in bytes of a body that was refused because of it
	writing       bool      // an answer has been started and is not complete
	answered      bool      // at least one request has been answered
	bodyReleases  []func()  // return to the budget what the current body takes of it
	http10        bool      // the client speaks HTTP/1.0, without chunked encoding
	reject        bool      // over the connection limit: the request is to be refused
	// Guarded by frontend.mu:
	state      connState
	requests   int       // requests so far
	stateSince time.Time // when the state was entered
}

// connState is the state of a client connection.
type connState int

const (
	stateNew      connState = iota // no byte has arrived yet
	stateReading                   // a request has arrived in part
	stateInFlight                  // a complete request is not answered yet
	stateIdle                      // all requests are answered
	stateRejected                  // the request was rejected: further input is discarded
	stateEvicted                   // told to close, to free a file descriptor for another connection
)

// evictionRank is the order in which connections are closed to make room, lowest first. Connections that have been idle for
// a short time are closed only when a request would be refused otherwise; of these, the ones with one request so far come
// first, since usual clients send more than one.
func (c *clientConn) evictionRank() int {
	switch {
	case c.state == stateRejected:
		return 0
	case c.state == stateNew:
		return 1
	case c.state == stateReading:
		return 2
	case time.Since(c.stateSince) > softMinIdle:
		return 3
	case c.requests <= 1:
		return 4
	}
	return 5
}

// evictable reports whether the connection may be closed to make room for another one. The caller holds frontend.mu.
func (c *clientConn) evictable() bool {
	age := time.Since(c.stateSince)
	switch c.state {
	case stateRejected:
		return true
	case stateIdle:
		return age > hardMinIdle
	case stateNew:
		return age > atLimitFirstByteTimeout
	case stateReading:
		return age > atLimitReadTimeout
	}
	return false
}

// evict tells a connection to close: its read ends with a timeout, and serve closes it. It is not closed from here: on a
// busy core the watcher may have read a request that serve has not seen yet, and a request that has been read must be
// answered. The caller holds frontend.mu.
func (c *clientConn) evict() {
	if c.state == stateRejected {
		c.Close()
	} else {
		c.SetReadDeadline(time.Unix(1, 0))
	}
	c.state = stateEvicted
}

// isEvicted reports whether the connection has been told to close.
func (c *clientConn) isEvicted() bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	return c.state == stateEvicted
}

// setState enters a state. It returns false if the connection has been evicted, unless a request has arrived after all.
func (c *clientConn) setState(next connState) bool {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	if c.state == stateEvicted && next != stateReading && next != stateInFlight {
		return false
	}
	if c.state, c.stateSince = next, time.Now(); next == stateInFlight {
		c.requests++
	}
	return true
}

// serve handles the requests of the connection one after another. A panic closes this connection only.
func (c *clientConn) serve() {
	defer c.frontend.removeConn(c)
	defer c.Close()
	defer close(c.done)
	defer func() {
		if p := recover(); p != nil {
			c.frontend.Counters.Panics.Add(1)
			c.frontend.Log.Error("connection panicked", "panic", fmt.Sprint(p))
			if !c.writing { // the request must still be answered
				c.write(http.StatusBadGateway, nil, nil, true)
			}
		}
	}()
	c.watching = true
	go c.watch()
	for {
		first, ok := c.awaitRequest()
		if !ok {
			return
		}
		if !c.setState(stateReading) || !c.handleRequest(first) || !c.setState(stateIdle) {
			return
		}
		c.frontend.closeExcessIdle()
		c.answered = true
	}
}

// watch waits for the first byte of each request, or the end of the connection, and reports it to serve.
func (c *clientConn) watch() {
	for {
		_, err := c.reader.Peek(1)
		select {
		case c.firstBytes <- firstByte{time.Now(), err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-c.resume:
		case <-c.done:
			return
		}
	}
}

// awaitRequest waits for the first byte of the next request. It returns false if the connection ended, timed out or was shut
// down first.
func (c *clientConn) awaitRequest() (firstByte, bool) {
	switch {
	case c.reject:
		c.SetReadDeadline(c.acceptedAt.Add(rejectTimeout))
	case !c.answered:
		c.SetReadDeadline(c.acceptedAt.Add(firstByteTimeout))
	default:
		c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	c.resumeWatch()
	var first firstByte
	select {
	case first = <-c.firstBytes:
	case <-c.frontend.shutdown:
		select { // a request that arrives at the same moment is served, and so is the first one on a new connection
		case first = <-c.firstBytes:
		case <-time.After(c.shutdownGrace()):
			return first, false
		}
	}
	c.watching = false
	return first, first.err == nil
}

// shutdownGrace is how long a connection stays open at shutdown for a request that may be on its way.
func (c *clientConn) shutdownGrace() time.Duration {
	if c.answered {
		return time.Millisecond
	}
	return firstRequestGrace
}

// resumeWatch lets watch wait for the next byte, if it does not already.
func (c *clientConn) resumeWatch() {
	if !c.watching {
		c.watching = true
		c.resume <- struct{}{}
	}
}

// handleRequest reads one request and answers it. It returns false if the connection must be closed.
func (c *clientConn) handleRequest(first firstByte) bool {
	timeout := headTimeout
	if c.frontend.closing.Load() {
		timeout = shutdownHeadTimeout
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	req, request, err := c.readRequest(first.at)
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
			errors.Is(err, syscall.ECONNRESET) || errors.Is(err, os.ErrDeadlineExceeded) && c.isEvicted() {
			return false // the client has disconnected, or was too slow at the connection limit
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = badRequestf(http.StatusRequestTimeout, "the request did not come whole in time")
		}
		return c.rejectRequest(err)
	}
	c.SetReadDeadline(time.Time{})
	if !c.setState(stateInFlight) {
		return false
	}
	if c.bodyReleases != nil {
		defer c.releaseBody()
	}
	last := req.Close
	c.http10 = !req.ProtoAtLeast(1, 1)
	if isStatusRequest(req) {
		return c.serveStatus(req, last)
	}
	if !c.frontend.reserveID(request.ID) { // the request in flight keeps the id and is not affected
		return c.rejectRequest(badRequestf(http.StatusConflict, "%s: a request with this id is in hand", headerID))
	}
	defer c.frontend.releaseID(request.ID)
	c.frontend.Counters.Requests.Add(1)
	if c.reject && c.frontend.evictIdle() { // an idle connection can be closed after all
		c.reject = false
	}
	if c.reject {
		c.frontend.Counters.Refused.Add(1)
		return c.write(http.StatusServiceUnavailable, retryAfter(rejectRetryAfter), nil, true)
	}
	return c.awaitAnswer(exchange.New(request), last)
}

// awaitAnswer submits an exchange and waits for its answer or for the client's close, whichever comes first. It returns
// false if the connection must be closed.
func (c *clientConn) awaitAnswer(x *exchange.Exchange, last bool) bool {
	submitted := false
	defer func() {
		if p := recover(); p != nil {
			if submitted {
				c.frontend.Handler.ClientDisconnected(x)
			}
			panic(p)
		}
	}()
	c.frontend.Handler.Submit(x)
	submitted = true
	overdue := time.NewTimer(time.Until(x.Deadline) + overdueSlack)
	defer overdue.Stop()
	c.resumeWatch()
	for {
		select {
		case answer := <-x.Answer():
			defer answer.Release()
			return c.writeAnswer(answer, last)
		case next := <-c.firstBytes:
			if next.err != nil {
				c.frontend.Handler.ClientDisconnected(x)
				return false
			}
			// More input arrived before the answer: either the body length was wrong, and the request that was read is
			// not what the client meant, or the client pipelines requests. Neither is supported, and none is served.
			c.watching = false
			c.frontend.Handler.ClientDisconnected(x)
			return c.rejectRequest(errPipelined)
		case <-overdue.C: // the loop did not answer in time
			c.frontend.Counters.Overdue.Add(1)
			c.frontend.Handler.ClientDisconnected(x)
			c.write(http.StatusGatewayTimeout, nil, nil, true)
			return false
		}
	}
}
