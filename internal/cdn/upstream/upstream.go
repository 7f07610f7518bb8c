// Package upstream carries out attempts at servers in the form that they speak: it writes a request once, says for which server
// it is meant, and judges by stamp, length and id what comes back. It sends nothing a second time by itself.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors; they name the step and the server.
var Error = errs.Class("upstream")

// The headers that servers and clients speak, in canonical form.
const (
	HeaderID       = "Try-Id"
	HeaderLeft     = "Time-Left"
	HeaderStamp    = "Postmark"
	HeaderFor      = "Addressee"
	HeaderNotRun   = "Not-Delivered"
	HeaderLoad     = "Load"
	HeaderLabels   = "Labels"
	HeaderServerID = "Server-Id"
)

// StatusKey is where a reply's header holds the server's status: no header has such a name.
const StatusKey = ":status"

const (
	connectWithin = 350 * time.Millisecond
	commitAfter   = 1500 * time.Microsecond // the last byte of what may run once is kept back so long
	silentFor     = 1500 * time.Millisecond // within an answer, after which what may be repeated is asked of another server
	maxHead       = 32 << 10
	maxBody       = 64 << 20
	maxSurplus    = 4 // answers to earlier requests that are passed over
	userTimeout   = 18
)

// IdleFor is how long an idle connection is kept where servers have enough of them; they close them after 10 s.
const IdleFor = 8 * time.Second

// Order is what a request adds for its attempts, kept until its answer is out.
type Order struct {
	// ID is a client's Try-Id: an answer is told by it from one to another request that comes late. Servers tell no id that no
	// client has sent, so what is asked without one goes over a connection of its own.
	ID       string
	OnceOnly bool
	Stamped  bool              // a success without stamp is none
	Keep     bool              // its answer becomes a copy: what was sent is finished though its caller has left
	Caller   *departure.Caller // whom it is for

	mu   sync.Mutex
	last *exchange.Reply  // the last answer of a server that ran it and failed
	sent int              // times that it went to a server: it may have run there
	by   balance.ServerID // who answered
	took time.Duration    // from its sending to its answer, whole
}

// Server is who gave the answer that was taken, or the last one.
func (o *Order) Server() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.by)
}

// Took is how long that server took.
func (o *Order) Took() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.took
}

// Failure returns the last failure that a server itself answered; nil if there is none.
func (o *Order) Failure() *exchange.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// MayHaveRun tells whether a server may have begun the request.
func (o *Order) MayHaveRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent > 0
}

// Sent is how often it went to a server.
func (o *Order) Sent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// policy is what becomes of an attempt whose caller leaves: what may run once, and what becomes a copy, is finished.
func (o *Order) policy() departure.Policy {
	if o.OnceOnly || o.Keep {
		return departure.Finish
	}
	return departure.BreakOff
}

// begin is called before a request's last byte may leave. It is false if the caller has left: then that byte must not.
func (o *Order) begin(due time.Time) bool {
	if !o.Caller.Begin(o.policy(), due) {
		return false
	}
	o.mu.Lock()
	o.sent++
	o.mu.Unlock()
	return true
}

// Sender carries out attempts.
type Sender struct {
	Pool   *exchange.Pool
	Counts *exchange.Counters

	mu     sync.Mutex
	orders map[*exchange.Exchange]*Order
}

// NewSender returns a sender with its own pool of so many connections.
func NewSender(most int, counts *exchange.Counters) *Sender {
	return &Sender{Pool: exchange.NewPool(most, IdleFor, counts), Counts: counts,
		orders: map[*exchange.Exchange]*Order{}}
}

// Begin notes an exchange's order before it is submitted, End lets it go.
func (s *Sender) Begin(x *exchange.Exchange, o *Order) {
	s.mu.Lock()
	s.orders[x] = o
	s.mu.Unlock()
}

// End lets an exchange's order go.
func (s *Sender) End(x *exchange.Exchange) {
	s.mu.Lock()
	delete(s.orders, x)
	s.mu.Unlock()
}

// Send begins an attempt.
func (s *Sender) Send(a *exchange.Attempt) {
	s.mu.Lock()
	o := s.orders[a.Exchange]
	s.mu.Unlock()
	go s.run(a, o)
}

func (s *Sender) run(a *exchange.Attempt, o *Order) {
	defer func() {
		if p := recover(); p != nil { // one that may have run
			a.End(exchange.Reply{Result: balance.Unknown, Err: Error.New("panic: %v", p)})
		}
	}()
	if o == nil { // answered and let go meanwhile
		a.End(exchange.Reply{Result: balance.Moot})
		return
	}
	r := s.attempt(a, o)
	a.End(r)
}

// conn is one connection to a server. It is used by one goroutine at a time, and lies in the pool between.
type conn struct {
	net.Conn
	r    *bufio.Reader
	pool *exchange.Pool
	once sync.Once
	idle time.Time // since when; zero for a new one
}

// Acquire is the pool's question whether the connection is still good.
func (c *conn) Acquire() bool { return socket.Peek(c.Conn) == socket.Quiet }

// Close closes it and gives its room back, once.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() { err = c.Conn.Close(); c.pool.Release() })
	return err
}

func (s *Sender) connect(ctx context.Context, a *exchange.Attempt, careful, alone bool) (*conn, error) {
	place := a.Server
	if alone { // nothing lies there: none of these connections is kept
		place += "#alone"
	}
	got, err := s.Pool.Get(ctx, place, a.Address, careful, connectWithin)
	if err != nil {
		return nil, err
	}
	if c, ok := got.(*conn); ok && c != nil {
		return c, nil
	}
	s.Counts.Dials.Add(1)
	begun := time.Now()
	dialer := net.Dialer{Timeout: connectWithin, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, 3000) // a cut shows by the deadline at the latest
		})
	}}
	nc, err := dialer.DialContext(ctx, "tcp", a.Address)
	a.Connect = time.Since(begun)
	if err != nil {
		s.Pool.Release()
		return nil, err
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, 4<<10), pool: s.Pool}, nil
}

// attempt sends the request and judges what comes. Whatever is returned as never run has surely not run.
func (s *Sender) attempt(a *exchange.Attempt, o *Order) exchange.Reply {
	ctx, release := Bind(a.Context, o.Caller)
	defer release()
	if o.Caller.Left() {
		return unsent(a, departure.ErrLeft)
	}
	c, err := s.connect(ctx, a, o.OnceOnly, o.ID == "")
	if err != nil {
		if cause := Withdrawal(ctx); cause != nil { // no fault of the server's
			return unsent(a, cause)
		}
		return exchange.Reply{Result: balance.NoConnect, Err: Error.New("connecting to %s: %w", a.Server, err)}
	}
	start := time.Now()
	if !a.Due.After(start) {
		s.Pool.Put(a.Server, a.Address, c, start)
		return unsent(a, errNoTime)
	}
	idle := time.Duration(0)
	if !c.idle.IsZero() {
		idle = start.Sub(c.idle)
	}
	c.SetDeadline(a.Due)
	watch := context.AfterFunc(ctx, func() { c.Close() })
	sent, err := c.write(a, o, watch)
	if sent != notBegun {
		defer o.Caller.End(o.policy())
	}
	var got response
	keep := false
	if err == nil {
		got, keep, err = c.read(a, o.ID, o.OnceOnly)
	}
	untouched := watch() || o.policy() == departure.Finish // nobody has closed the connection meanwhile
	if err != nil {
		c.Close()
		return s.failed(ctx, a, sent, start, idle, err)
	}
	s.Pool.Heard(a.Server, time.Now())
	s.Pool.Used(idle, true)
	o.mu.Lock()
	o.by, o.took = a.Server, time.Since(start)
	o.mu.Unlock()
	if keep && untouched {
		c.SetDeadline(time.Time{})
		c.idle = time.Now()
		s.Pool.Put(a.Server, a.Address, c, c.idle)
	} else {
		c.Close()
	}
	return s.judge(a, o, got)
}

// Bind returns a context that ends with the attempt's time, its withdrawal or its caller's leave, with the cause.
func Bind(attempt context.Context, caller *departure.Caller) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(attempt)
	left := caller.Context()
	stop := context.AfterFunc(left, func() { cancel(context.Cause(left)) })
	return ctx, func() { stop(); cancel(nil) }
}

// Withdrawal returns why nobody waits for an attempt any more, though its time is not over; nil if somebody does.
func Withdrawal(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return context.Cause(ctx)
	}
	return nil
}

var errNoTime = errors.New("no time is left")

// unsent is the reply of an attempt that has surely not run, through no fault of its server.
func unsent(a *exchange.Attempt, cause error) exchange.Reply {
	return exchange.Reply{Result: balance.Moot, Err: Error.New("sending to %s: %w", a.Server, cause)}
}

// failed is what becomes of an attempt that brought no answer, whose connection is closed. That its caller has left tells nothing about the
// server, nor about how long connections may rest.
func (s *Sender) failed(ctx context.Context, a *exchange.Attempt, sent sending, start time.Time, idle time.Duration, err error) exchange.Reply {
	cause := Withdrawal(ctx)
	switch {
	case errors.Is(err, errStopped), cause != nil && sent < begun:
		return unsent(a, cmp.Or(cause, err))
	case cause != nil:
		return exchange.Reply{Result: balance.Cancelled, Err: Error.New("at %s: %w", a.Server, cause)}
	case sent < written:
		s.Pool.Used(idle, false)
		result := balance.Reset
		if sent < begun {
			result = balance.NoConnect
		}
		return exchange.Reply{Result: result, Err: Error.New("writing to %s: %w", a.Server, err)}
	}
	var timeout net.Error
	result := balance.Spoilt
	switch {
	case errors.As(err, &timeout) && timeout.Timeout(), ctx.Err() != nil:
		result = balance.TimedOut
		s.Pool.Silent(a.Server, start)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF):
		result = balance.Reset
		if time.Since(start) < connectWithin/4 {
			s.Pool.Used(idle, false)
		}
	}
	return exchange.Reply{Result: result, Err: Error.New("reading from %s: %w", a.Server, err)}
}

// response is a server's whole answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

// judge is the one place where it is decided what an answer means.
func (s *Sender) judge(a *exchange.Attempt, o *Order, got response) exchange.Reply {
	notRun := got.header.Get(HeaderNotRun) != ""
	r := exchange.Reply{Result: balance.OK, Header: got.header, Body: got.body}
	got.header[StatusKey] = []string{strconv.Itoa(got.status)}
	switch {
	case got.status == http.StatusMisdirectedRequest:
		return exchange.Reply{Result: balance.NoConnect, Err: Error.New("%s: another server has its address", a.Server)}
	case notRun:
		return exchange.Reply{Result: balance.Full, Err: Error.New("%s turned it away with %d", a.Server, got.status)}
	case got.status >= 200 && got.status < 300 && (o.Stamped && got.header.Get(HeaderStamp) == "" || got.header.Get("Content-Encoding") != ""):
		return exchange.Reply{Result: balance.Spoilt, Err: Error.New("%s: a success without its stamp", a.Server)}
	case got.status >= 500:
		o.mu.Lock()
		o.last = &exchange.Reply{Header: r.Header, Body: r.Body}
		o.mu.Unlock()
		return exchange.Reply{Result: balance.Errored, Err: Error.New("%s answered %d", a.Server, got.status)}
	}
	return r
}

var errEarly = errors.New("the connection ended before the request was whole")

// sending is how far a request has come on its way to a server. From begun on it may have run.
type sending int

const (
	notBegun sending = iota // its last byte has surely not left
	untaken                 // its order was told that it may leave, and it was not taken
	begun                   // it may have left
	written
)

var errStopped = errors.New("stopped before it was sent")

// write writes the request. Its order is asked before the last byte may leave. Of what may run once that byte follows a moment later, so that
// a connection that the server has dropped shows while the request surely has not run. Of what is finished though its caller leaves, the watch
// for that ends with the last byte.
func (c *conn) write(a *exchange.Attempt, o *Order, watch func() bool) (sending, error) {
	head := make([]byte, 0, 512)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\n", a.Method, a.Target)
	for name, values := range a.Header {
		for _, v := range values {
			head = append(append(append(append(head, name...), ": "...), v...), "\r\n"...)
		}
	}
	left := max(time.Until(a.Due).Milliseconds(), 1)
	if o.ID != "" {
		head = fmt.Appendf(head, "%s: %s\r\n", HeaderID, o.ID)
	}
	head = fmt.Appendf(head, "%s: %d\r\n%s: %s\r\n", HeaderLeft, left, HeaderFor, a.Server)
	if len(a.Body) > 0 || a.Method != http.MethodGet && a.Method != http.MethodHead {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(a.Body))
	}
	head = append(head, "\r\n"...)
	all := append(head, a.Body...)
	if o.OnceOnly {
		if _, err := c.Conn.Write(all[:len(all)-1]); err != nil {
			return notBegun, err
		}
		time.Sleep(commitAfter)
		if state := socket.Peek(c.Conn); state == socket.Closed || state == socket.Unread {
			return notBegun, errEarly
		}
		all = all[len(all)-1:]
	}
	if o.policy() == departure.Finish && !watch() || !o.begin(a.Due) {
		return notBegun, errStopped
	}
	_, err := c.Conn.Write(all)
	switch {
	case err == nil:
		return written, nil
	case o.OnceOnly && errors.Is(err, syscall.EPIPE): // the one byte was not taken
		return untaken, err
	}
	return begun, err
}

// readBody reads a body. Of what may run once nothing but the attempt's own end bounds its time: a server's silence is no
// reason to end an answer sooner. What may be repeated is given up after a silence, so that another server is asked.
func (c *conn) readBody(resp *http.Response, a *exchange.Attempt, onceOnly bool) ([]byte, error) {
	defer c.SetDeadline(a.Due)
	var from io.Reader = resp.Body
	if !onceOnly {
		from = &impatient{resp.Body, c, a.Due}
	}
	if resp.ContentLength > 0 && a.Method != http.MethodHead {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(from, maxBody))
}

// impatient reads a body whose bytes follow one another within a span.
type impatient struct {
	io.Reader
	conn net.Conn
	due  time.Time
}

func (r *impatient) Read(b []byte) (int, error) {
	until := time.Now().Add(silentFor)
	if r.due.Before(until) {
		until = r.due
	}
	r.conn.SetDeadline(until)
	return r.Reader.Read(b)
}

// read reads the answer that carries the id, passing over answers to earlier requests. Keep tells whether the connection may
// be used again.
func (c *conn) read(a *exchange.Attempt, id string, onceOnly bool) (got response, keep bool, err error) {
	keep = true
	for range maxSurplus {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: a.Method})
		if err != nil {
			return got, false, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if resp.ContentLength > maxBody {
			return got, false, fmt.Errorf("a body of %d bytes", resp.ContentLength)
		}
		if resp.ContentLength < 0 && !resp.Close && len(resp.TransferEncoding) == 0 {
			return got, false, errors.New("an answer without a length")
		}
		ends := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 // with its connection: it can't be told from one cut short
		body, err := c.readBody(resp, a, onceOnly)
		if err != nil {
			return got, false, fmt.Errorf("body: %w", err)
		}
		if id == "" { // servers tell no id then, and what may follow could be told from nothing
			keep = false
		} else if len(resp.Header[HeaderID]) != 1 || resp.Header[HeaderID][0] != id {
			keep = false // an answer to an earlier request stood in the place of this one's
			if resp.Close {
				return got, false, errors.New("an answer to another request, and no more")
			}
			continue
		}
		if ends && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
			return got, false, errors.New("an answer without a length")
		}
		keep = keep && !resp.Close && c.r.Buffered() == 0
		return response{resp.StatusCode, EndToEnd(resp.Header), body}, keep, nil
	}
	return got, false, errors.New("only answers to other requests")
}

// hopByHop are the headers that belong to one connection, or to one request alone.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Expect": true, HeaderID: true, HeaderLeft: true, HeaderFor: true}

// EndToEnd removes from a head what is not to be passed on.
func EndToEnd(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range h {
		if hopByHop[name] {
			delete(h, name)
		}
	}
	return h
}
