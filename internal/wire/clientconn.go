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

// timedReader reads a connection and notes when bytes came last.
type timedReader struct {
	net.Conn
	last time.Time
}

func (t *timedReader) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.last = time.Now()
	}
	return n, err
}

// arrival says that the next request's first byte has come, or why none will.
type arrival struct {
	at  time.Time
	err error
}

// clientConn is one client's connection. Two goroutines serve it: one has the word, the other watches for the next
// byte or the client's close whenever the first does not read.
type clientConn struct {
	net.Conn
	side    *Clients
	in      *timedReader
	r       *bufio.Reader
	arrived chan arrival
	resume  chan struct{} // the watcher may read again
	gone    chan struct{} // closed when serve returns

	watching bool      // serve's: the watcher has been let go on
	accepted time.Time // serve's: the time that a client has to make itself understood counts from here
	coming   int64     // serve's: the bytes of a body that was refused by its length
	writing  bool      // serve's: an answer has been begun
	answered bool      // serve's: a request has been
	held     []func()  // serve's: give back what the body in hand has of the budget
	old      bool      // serve's: the client speaks HTTP/1.0 and knows no chunks
	turnAway bool
	// Under side.mu:
	phase phase
	asked int       // requests, so far
	since time.Time // of the phase
}

// phase is what a connection is about.
type phase int

const (
	fresh   phase = iota // no byte has come yet
	reading              // a request has begun to come
	inHand               // it has come whole and is not answered
	idle                 // all that came is answered
	leaving              // refused for good: what still comes is thrown away
	givenUp              // asked to go for want of descriptors
)

// order is in which connections are given up for others. Of those that have hardly been idle, which go rather than that
// a request is turned away, the ones that have asked once go first: usual clients ask again.
func (c *clientConn) order() int {
	switch {
	case c.phase == leaving:
		return 0
	case c.phase == fresh:
		return 1
	case c.phase == reading:
		return 2
	case time.Since(c.since) > leastIdle:
		return 3
	case c.asked <= 1:
		return 4
	}
	return 5
}

// mayGo tells whether the connection may be given up for another one. The caller holds side.mu.
func (c *clientConn) mayGo() bool {
	age := time.Since(c.since)
	switch c.phase {
	case leaving:
		return true
	case idle:
		return age > hardlyIdle
	case fresh:
		return age > freshFor
	case reading:
		return age > slowFor
	}
	return false
}

// giveUp asks a connection to go: its reader stops waiting, and serve closes it. It is not closed from here, for on a
// busy core its bytes may have been read already by a goroutine that has not run since; that request was taken and is
// owed its answer. The caller holds side.mu.
func (c *clientConn) giveUp() {
	if c.phase == leaving {
		c.Close()
	} else {
		c.SetReadDeadline(time.Unix(1, 0))
	}
	c.phase = givenUp
}

// isGivenUp tells whether the connection has been asked to go.
func (c *clientConn) isGivenUp() bool {
	c.side.mu.Lock()
	defer c.side.mu.Unlock()
	return c.phase == givenUp
}

// enter begins a phase; false if the connection has been given up meanwhile and no request has come after all.
func (c *clientConn) enter(p phase) bool {
	c.side.mu.Lock()
	defer c.side.mu.Unlock()
	if c.phase == givenUp && p != reading && p != inHand {
		return false
	}
	if c.phase, c.since = p, time.Now(); p == inHand {
		c.asked++
	}
	return true
}

// serve answers one request after the other. A panic ends this connection alone.
func (c *clientConn) serve() {
	defer c.side.drop(c)
	defer c.Close()
	defer close(c.gone)
	defer func() {
		if p := recover(); p != nil {
			c.side.Counts.Panics.Add(1)
			c.side.Log.Error("connection panicked", "panic", fmt.Sprint(p))
			if !c.writing { // the request still gets its answer
				c.write(http.StatusBadGateway, nil, nil, true)
			}
		}
	}()
	c.watching = true
	go c.watch()
	for {
		a, ok := c.next()
		if !ok {
			return
		}
		if !c.enter(reading) || !c.one(a) || !c.enter(idle) {
			return
		}
		c.side.trimIdle()
		c.answered = true
	}
}

// watch waits for bytes on behalf of serve.
func (c *clientConn) watch() {
	for {
		_, err := c.r.Peek(1)
		select {
		case c.arrived <- arrival{time.Now(), err}:
		case <-c.gone:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-c.resume:
		case <-c.gone:
			return
		}
	}
}

// next waits for the next request's first byte; none comes to a connection that is closed while idle.
func (c *clientConn) next() (arrival, bool) {
	switch {
	case c.turnAway:
		c.SetReadDeadline(c.accepted.Add(turnAwayFor))
	case !c.answered:
		c.SetReadDeadline(c.accepted.Add(freshPatience))
	default:
		c.SetReadDeadline(time.Now().Add(idlePatience))
	}
	c.goOn()
	var a arrival
	select {
	case a = <-c.arrived:
	case <-c.side.shutting:
		select { // a byte that came at the same moment counts, and a new connection's first request still does
		case a = <-c.arrived:
		case <-time.After(c.grace()):
			return a, false
		}
	}
	c.watching = false
	return a, a.err == nil
}

// grace is how long a connection stays open for a request that may be on its way when the router stops.
func (c *clientConn) grace() time.Duration {
	if c.answered {
		return time.Millisecond
	}
	return graceForFirst
}

// goOn lets the watcher read, if it does not.
func (c *clientConn) goOn() {
	if !c.watching {
		c.watching = true
		c.resume <- struct{}{}
	}
}

// one reads a request and sees to its answer; false ends the connection.
func (c *clientConn) one(a arrival) bool {
	patience := headPatience
	if c.side.closing.Load() {
		patience = lastPatience
	}
	c.SetReadDeadline(time.Now().Add(patience))
	req, request, err := c.read(a.at)
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
			errors.Is(err, syscall.ECONNRESET) || errors.Is(err, os.ErrDeadlineExceeded) && c.isGivenUp() {
			return false // the client has gone, or is too slow while descriptors are short
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = badf(http.StatusRequestTimeout, "the request did not come whole in time")
		}
		return c.bad(err)
	}
	c.SetReadDeadline(time.Time{})
	if !c.enter(inHand) {
		return false
	}
	if c.held != nil {
		defer c.letBody()
	}
	last := req.Close
	c.old = !req.ProtoAtLeast(1, 1)
	if isOwn(req) {
		return c.own(req, last)
	}
	if !c.side.claim(request.ID) { // the other one keeps it, and is not disturbed
		return c.bad(badf(http.StatusConflict, "%s: a request with this id is in hand", headerID))
	}
	defer c.side.release(request.ID)
	c.side.Counts.Requests.Add(1)
	if c.turnAway && c.side.giveUpIdle() { // another one has turned out to be silent, and this one is not
		c.turnAway = false
	}
	if c.turnAway {
		c.side.Counts.Refused.Add(1)
		return c.write(http.StatusServiceUnavailable, retryAfter(comeAgainAfter), nil, true)
	}
	return c.exchange(exchange.New(request), last)
}

// exchange waits for the answer and for the client's close, whichever comes first.
func (c *clientConn) exchange(x *exchange.Exchange, last bool) bool {
	submitted := false
	defer func() {
		if p := recover(); p != nil {
			if submitted {
				c.side.Taker.Depart(x)
			}
			panic(p)
		}
	}()
	c.side.Taker.Submit(x)
	submitted = true
	overdue := time.NewTimer(time.Until(x.Due) + overdueSlack)
	defer overdue.Stop()
	c.goOn()
	for {
		select {
		case answer := <-x.Answer():
			defer answer.Let()
			return c.answer(answer, last)
		case a := <-c.arrived:
			if a.err != nil {
				c.side.Taker.Depart(x)
				return false
			}
			// More came before the answer: either the length was wrong, and what went on is not what the client
			// meant, or it sends several at once. Neither is a usual client, and none of them is served.
			c.watching = false
			c.side.Taker.Depart(x)
			return c.bad(errMore)
		case <-overdue.C: // the loop hangs
			c.side.Counts.Overdue.Add(1)
			c.side.Taker.Depart(x)
			c.write(http.StatusGatewayTimeout, nil, nil, true)
			return false
		}
	}
}
