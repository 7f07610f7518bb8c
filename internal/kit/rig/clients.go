package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/socket"
)

// clients sends the model's requests to routers as an open workload: each try has its own goroutine and none waits for another.
type clients struct {
	rig *Rig

	mu       sync.Mutex
	idle     map[string][]*clientConn // by router address, the most recently used last
	inFlight map[*model.Try]*progress
	closed   bool
}

// clientConn is a client's connection to a router.
type clientConn struct {
	net.Conn
	reader   *boundedhttp.Reader
	answered bool   // has carried an answer
	lastID   string // correlation ID of the previous request
}

// progress is the state of a try in flight.
type progress struct {
	conn     *clientConn // nil while the try has none
	sent     bool        // a byte of the request may have been sent
	canceled bool        // the client has given up
}

const (
	dialTimeout = time.Second
	// synRetransmitDelay is how long the kernel waits before it resends an unanswered SYN. A connection that was established sooner than this
	// and yet after its client's timeout was late because the rig itself lacked processor time.
	synRetransmitDelay = time.Second
)

// answerLimits bound the answers of routers.
var answerLimits = boundedhttp.Limits{HeadBytes: 16 << 10, HeadLines: 256, InterimResponses: 8, BodyBytes: 128 << 20}

func newClients(r *Rig) *clients {
	return &clients{rig: r, idle: map[string][]*clientConn{}, inFlight: map[*model.Try]*progress{}}
}

// takeIdle returns the most recently used idle connection that is still open, or nil.
func (c *clients) takeIdle(address string) *clientConn {
	for {
		c.mu.Lock()
		idle := c.idle[address]
		if len(idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		conn := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		c.mu.Unlock()
		switch socket.Peek(conn.Conn) {
		case socket.Idle:
			return conn
		case socket.Unread: // no request is open: this is a second answer to the previous one
			last := conn.lastID
			c.rig.post(func() { c.rig.world.Ledger().ExtraAnswer(last, c.rig.world.Now()) })
		}
		conn.Close()
	}
}

// putIdle keeps a connection for later requests, or closes it if the pool is full.
func (c *clients) putIdle(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= c.rig.scenario.Clients.Connections {
		conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// send starts a try. It must be called on the model's goroutine.
func (c *clients) send(t *model.Try) {
	address := c.rig.routers[t.Router].listen
	if c.rig.opt.Direct {
		address = c.rig.directAddress(t)
	}
	c.mu.Lock()
	c.inFlight[t] = &progress{}
	c.mu.Unlock()
	c.rig.background(func() { c.runTry(t, address) })
}

// directAddress returns where a try goes when there are no routers: the first node from the key's position that is up.
func (r *Rig) directAddress(t *model.Try) string {
	for k := range uint64(len(r.world.Nodes)) {
		if n := r.world.Nodes[(t.Key+k)%uint64(len(r.world.Nodes))]; n.Up() {
			return r.nodes[n.Index][t.Router].address
		}
	}
	return r.nodes[0][t.Router].address
}

// cancel closes a try's connection because its client gives up. If nothing was sent yet, runTry reports how the try ends.
func (c *clients) cancel(t *model.Try) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.inFlight[t]
	if p == nil {
		return true
	}
	p.canceled = true
	if p.conn != nil {
		p.conn.Close()
	}
	return p.sent
}

// runTry sends a try and reports its answer to the model.
func (c *clients) runTry(t *model.Try, address string) {
	a := c.try(t, address)
	at := c.rig.now()
	c.mu.Lock()
	delete(c.inFlight, t)
	c.mu.Unlock()
	c.rig.post(func() { c.rig.world.Answered(t, a, at) })
}

// try sends a request and waits for its answer. If a reused connection closes before a byte of the answer, the request is sent once
// more on a new connection: the router may have closed the idle one before the request arrived. If the new connection can't be
// established, a router that has died since may still have read the first request, so the outcome is Truncated and not NotConnected.
func (c *clients) try(t *model.Try, address string) model.Answer {
	for fresh := false; ; fresh = true {
		var conn *clientConn
		if !fresh {
			conn = c.takeIdle(address)
		}
		started := time.Now()
		if conn == nil {
			raw, err := net.DialTimeout("tcp", address, dialTimeout)
			switch {
			case err != nil && fresh:
				return model.Answer{Outcome: ledger.Truncated}
			case err != nil && c.isCanceled(t) && time.Since(started) >= synRetransmitDelay:
				return model.Answer{Outcome: ledger.NoAnswer} // no router accepted the connection while the client waited
			case err != nil:
				return model.Answer{Outcome: ledger.NotConnected}
			}
			conn = &clientConn{Conn: raw, reader: boundedhttp.NewReader(raw, answerLimits)}
		}
		if !c.attach(t, conn) {
			conn.Close()
			return c.canceledAnswer(t, time.Since(started))
		}
		a, noBytes := c.exchange(t, conn, address)
		if noBytes && conn.answered && !fresh {
			continue
		}
		return a
	}
}

// isCanceled reports whether a try's client has given up.
func (c *clients) isCanceled(t *model.Try) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight[t].canceled
}

// attach assigns a connection to a try; false if the client has given up.
func (c *clients) attach(t *model.Try, conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.inFlight[t]
	if p.canceled {
		return false
	}
	p.conn, p.sent = conn, true
	return true
}

// canceledAnswer returns the outcome of a try whose client had given up by the time it had a connection. It is NotConnected, unless the
// request was sent before on a connection that closed, or the connection took as long as one that no router accepts.
func (c *clients) canceledAnswer(t *model.Try, took time.Duration) model.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[t].sent || took >= synRetransmitDelay {
		return model.Answer{Outcome: ledger.NoAnswer}
	}
	return model.Answer{Outcome: ledger.NotConnected}
}

// exchange sends one request on a connection and reads the answer; noBytes reports that the connection ended before the first byte.
func (c *clients) exchange(t *model.Try, conn *clientConn, address string) (a model.Answer, noBytes bool) {
	keep := false
	defer func() {
		c.mu.Lock()
		c.inFlight[t].conn = nil
		c.mu.Unlock()
		if keep {
			c.putIdle(address, conn)
		} else {
			conn.Close()
		}
	}()
	a.Outcome = ledger.Truncated
	conn.SetDeadline(time.Now().Add(t.Timeout + time.Second)) // the model cancels the try before
	if _, err := io.WriteString(conn, c.request(t, c.rig.now())); err != nil {
		return a, true
	}
	if err := conn.reader.AwaitByte(); err != nil {
		return a, true
	}
	resp, err := conn.reader.Response(http.MethodGet, boundedhttp.Uncharged{})
	if err != nil {
		return a, false
	}
	body, err := conn.reader.Body(resp, http.MethodGet, boundedhttp.Uncharged{})
	if err != nil {
		return a, false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		a.Outcome, a.Body = ledger.Served, string(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.Outcome = ledger.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.RetryAfter = time.Duration(s * 1e9)
		}
	default:
		a.Outcome = ledger.Failed
	}
	if conn.reader.Buffered() > 0 {
		c.rig.post(func() { c.rig.world.Ledger().ExtraAnswer(t.CorrelationID, c.rig.world.Now()) })
		return a, false
	}
	conn.SetDeadline(time.Time{})
	conn.answered, conn.lastID = true, t.CorrelationID
	keep = !resp.Close
	return a, false
}

// minTimeLeft is the least X-Time-Left that a client sends, however little of its timeout remains.
const minTimeLeft = time.Millisecond

// request encodes a try as an HTTP request sent at the given time of the run. X-Time-Left is what remains then: the timeout runs from
// the time at which the try was due, and on a busy machine its goroutine and its connection come later.
func (c *clients) request(t *model.Try, at time.Duration) string {
	left := max(t.StartedAt+t.Timeout-at, minTimeLeft)
	class := &c.rig.scenario.Classes[t.Class]
	var b strings.Builder
	method, body := "GET", ""
	if class.Write {
		method, body = "PUT", fmt.Sprintf("value of %s", t.IdempotencyKey)
	}
	fmt.Fprintf(&b, "%s /%s/%016x HTTP/1.1\r\nHost: rehearsal.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Time-Left: %dm\r\n",
		method, class.Name, t.Key, t.CorrelationID, class.Name, c.rig.scenario.Tenants[t.Tenant].Name, left.Milliseconds())
	if class.Effect == "keyed" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.IdempotencyKey)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, idle := range c.idle {
		for _, conn := range idle {
			conn.Close()
		}
	}
	for _, p := range c.inFlight {
		if p.conn != nil {
			p.conn.Close()
		}
	}
}

// malformedMessages are malformed or incomplete requests.
var malformedMessages = []string{
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 not what you think\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nX-Service-Class: nothing\r\nX-Time-Left: 500m\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nX-Service-Class: list\r\nX-Time-Left: soon\r\n\r\n",
	"PUT /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nContent-Length: -5\r\n\r\nhello",
	"PUT /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("y", 40000) + "\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Corr",
	"",
}

const malformedPause = 20 * time.Millisecond

// sendMalformed runs clients that send malformed requests, or nothing, for the given time.
func (c *clients) sendMalformed(count int, span time.Duration) {
	deadline := time.Now().Add(span)
	for k := range count {
		c.rig.background(func() {
			for n := k; time.Now().Before(deadline) && c.rig.ctx.Err() == nil; n += count {
				c.sendOneMalformed(c.rig.routers[n%len(c.rig.routers)].listen, n, deadline)
				time.Sleep(malformedPause)
			}
		})
	}
}

func (c *clients) sendOneMalformed(address string, n int, deadline time.Time) {
	raw, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer raw.Close()
	text := malformedMessages[n%len(malformedMessages)]
	if strings.Contains(text, "%d") {
		text = fmt.Sprintf(text, n)
	}
	raw.SetDeadline(time.Now().Add(min(time.Until(deadline), 3*time.Second)))
	io.WriteString(raw, text)
	io.Copy(io.Discard, raw)
}
