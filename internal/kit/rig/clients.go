package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/socket"
)

// clients are those who ask. They are open: each try has a goroutine of its own, and none waits for another.
type clients struct {
	rig *Rig

	mu   sync.Mutex
	idle map[string][]*conn // by address, the newest last
	out  map[*model.Try]*progress
	done bool
}

// conn is a client's connection to a router.
type conn struct {
	net.Conn
	r    *bufio.Reader
	used bool   // has brought an answer
	last string // the id of the one before
}

// progress is how far a try has come at its client.
type progress struct {
	conn *conn // nil: it has none
	sent bool  // a byte of it may have left
	left bool  // its client's time is over
}

const (
	dialWithin = time.Second
	// dialAgain is the time after which a connection's first packet is sent again, because nobody took it. A connection that came up sooner and
	// yet after its client's time was late by the rig's own lack of a processor.
	dialAgain = time.Second
)

func newClients(r *Rig) *clients {
	return &clients{rig: r, idle: map[string][]*conn{}, out: map[*model.Try]*progress{}}
}

// take returns the newest idle connection that stands, or nil.
func (c *clients) take(address string) *conn {
	for {
		c.mu.Lock()
		all := c.idle[address]
		if len(all) == 0 {
			c.mu.Unlock()
			return nil
		}
		one := all[len(all)-1]
		c.idle[address] = all[:len(all)-1]
		c.mu.Unlock()
		switch socket.Peek(one.Conn) {
		case socket.Idle:
			return one
		case socket.Unread: // nobody has asked for anything: it answers what it has answered before
			last := one.last
			c.rig.post(func() { c.rig.world.Ledger().ExtraAnswer(last, c.rig.world.Now()) })
		}
		one.Close()
	}
}

func (c *clients) put(address string, one *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done || len(c.idle[address]) >= c.rig.set.Clients.Connections {
		one.Close()
		return
	}
	c.idle[address] = append(c.idle[address], one)
}

// send is called on the model's goroutine.
func (c *clients) send(t *model.Try) {
	address := c.rig.routers[t.Router].listen
	if c.rig.opt.Direct {
		address = c.rig.direct(t)
	}
	c.mu.Lock()
	c.out[t] = &progress{}
	c.mu.Unlock()
	c.rig.background(func() { c.run(t, address) })
}

// direct is where a try goes when there are no routers: to a node of its key that is up.
func (r *Rig) direct(t *model.Try) string {
	for k := range uint64(len(r.world.Nodes)) {
		if n := r.world.Nodes[(t.Key+k)%uint64(len(r.world.Nodes))]; n.Up() {
			return r.nodes[n.Index][t.Router].address
		}
	}
	return r.nodes[0][t.Router].address
}

// leave closes the connection under a try. If nothing of it was sent yet, run tells how it ends.
func (c *clients) leave(t *model.Try) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.out[t]
	if p == nil {
		return true
	}
	p.left = true
	if p.conn != nil {
		p.conn.Close()
	}
	return p.sent
}

func (c *clients) run(t *model.Try, address string) {
	a := c.try(t, address)
	at := c.rig.now()
	c.mu.Lock()
	delete(c.out, t)
	c.mu.Unlock()
	c.rig.post(func() { c.rig.world.Answered(t, a, at) })
}

// try sends a request and waits for its answer. If a connection that has been used closes before a byte of the answer,
// the request is sent once more on a new one: the router may have closed it before it came. Where no new one comes up the first
// may have been read all the same, by a router that has died since: then it is broken, and not unheard.
func (c *clients) try(t *model.Try, address string) model.Answer {
	for fresh := false; ; fresh = true {
		var one *conn
		if !fresh {
			one = c.take(address)
		}
		begun := time.Now()
		if one == nil {
			raw, err := net.DialTimeout("tcp", address, dialWithin)
			switch {
			case err != nil && fresh:
				return model.Answer{Outcome: ledger.Truncated}
			case err != nil && c.isOver(t) && time.Since(begun) >= dialAgain:
				return model.Answer{Outcome: ledger.NoAnswer} // nobody took the connection while its client waited
			case err != nil:
				return model.Answer{Outcome: ledger.NotConnected}
			}
			one = &conn{Conn: raw, r: bufio.NewReader(raw)}
		}
		if !c.begin(t, one) {
			one.Close()
			return c.notSent(t, time.Since(begun))
		}
		a, silent := c.ask(t, one, address)
		if silent && one.used && !fresh {
			continue
		}
		return a
	}
}

// isOver tells whether a try's client has left.
func (c *clients) isOver(t *model.Try) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out[t].left
}

// begin gives a try its connection; false if its client's time is over.
func (c *clients) begin(t *model.Try, one *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.out[t]
	if p.left {
		return false
	}
	p.conn, p.sent = one, true
	return true
}

// notSent is the end of a try whose client's time was over as it had its connection. It is unheard, unless it was sent before, on a connection
// that closed, or the connection came up as late as where nobody takes any.
func (c *clients) notSent(t *model.Try, took time.Duration) model.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out[t].sent || took >= dialAgain {
		return model.Answer{Outcome: ledger.NoAnswer}
	}
	return model.Answer{Outcome: ledger.NotConnected}
}

// ask sends one request on a connection; silent tells that the connection ended without a byte.
func (c *clients) ask(t *model.Try, one *conn, address string) (a model.Answer, silent bool) {
	keep := false
	defer func() {
		c.mu.Lock()
		c.out[t].conn = nil
		c.mu.Unlock()
		if keep {
			c.put(address, one)
		} else {
			one.Close()
		}
	}()
	a.Outcome = ledger.Truncated
	one.SetDeadline(time.Now().Add(t.Timeout + time.Second)) // the model ends it before
	if _, err := io.WriteString(one, c.request(t, c.rig.now())); err != nil {
		return a, true
	}
	if _, err := one.r.Peek(1); err != nil {
		return a, true
	}
	resp, err := http.ReadResponse(one.r, nil)
	if err != nil {
		return a, false
	}
	body, err := io.ReadAll(resp.Body)
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
	if one.r.Buffered() > 0 {
		c.rig.post(func() { c.rig.world.Ledger().ExtraAnswer(t.CorrelationID, c.rig.world.Now()) })
		return a, false
	}
	one.SetDeadline(time.Time{})
	one.used, one.last = true, t.CorrelationID
	keep = !resp.Close
	return a, false
}

// leastLeft is the time left that a client tells which is sent when its time is as good as over.
const leastLeft = time.Millisecond

// request writes a try out at a moment of the day. It tells the time that is left then: the client's time runs from the moment at which the try
// was due, and on a busy machine its goroutine and its connection come later.
func (c *clients) request(t *model.Try, at time.Duration) string {
	left := max(t.StartedAt+t.Timeout-at, leastLeft)
	class := &c.rig.set.Classes[t.Class]
	var b strings.Builder
	method, body := "GET", ""
	if class.Write {
		method, body = "PUT", fmt.Sprintf("value of %s", t.IdempotencyKey)
	}
	fmt.Fprintf(&b, "%s /%s/%016x HTTP/1.1\r\nHost: rehearsal.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Time-Left: %dm\r\n",
		method, class.Name, t.Key, t.CorrelationID, class.Name, c.rig.set.Tenants[t.Tenant].Name, left.Milliseconds())
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
	c.done = true
	for _, all := range c.idle {
		for _, one := range all {
			one.Close()
		}
	}
	for _, p := range c.out {
		if p.conn != nil {
			p.conn.Close()
		}
	}
}

// badMessages are what clients send that no router can use.
var badMessages = []string{
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 not what you think\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nX-Service-Class: nothing\r\nX-Time-Left: 500m\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nX-Service-Class: list\r\nX-Time-Left: soon\r\n\r\n",
	"PUT /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nContent-Length: -5\r\n\r\nhello",
	"PUT /list/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b%d\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("y", 40000) + "\r\n\r\n",
	"GET /list/1 HTTP/1.1\r\nHost: x\r\nX-Corr",
	"",
}

const badPause = 20 * time.Millisecond

// bad runs clients that send what can't be read, or say nothing, for a while.
func (c *clients) bad(count int, span time.Duration) {
	until := time.Now().Add(span)
	for k := range count {
		c.rig.background(func() {
			for n := k; time.Now().Before(until) && c.rig.ctx.Err() == nil; n += count {
				c.badOne(c.rig.routers[n%len(c.rig.routers)].listen, n, until)
				time.Sleep(badPause)
			}
		})
	}
}

func (c *clients) badOne(address string, n int, until time.Time) {
	raw, err := net.DialTimeout("tcp", address, dialWithin)
	if err != nil {
		return
	}
	defer raw.Close()
	text := badMessages[n%len(badMessages)]
	if strings.Contains(text, "%d") {
		text = fmt.Sprintf(text, n)
	}
	raw.SetDeadline(time.Now().Add(min(time.Until(until), 3*time.Second)))
	io.WriteString(raw, text)
	io.Copy(io.Discard, raw)
}
