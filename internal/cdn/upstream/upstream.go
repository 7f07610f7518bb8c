// Package upstream carries out attempts at servers in the form that they speak: it writes a request once, says for which server
// it is meant, and judges by stamp, length and id what comes back. It sends nothing a second time by itself.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/exchange"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors; they name the step and the server.
var Error = errs.Class("upstream")

const (
	connectWithin = 350 * time.Millisecond
	commitAfter   = 1500 * time.Microsecond // the last byte of what may run once is kept back so long
	maxHead       = 32 << 10
	maxBody       = 64 << 20
	maxSurplus    = 4 // answers to earlier requests that are passed over
	userTimeout   = 18
)

// IdleFor is how long an idle connection is kept where servers have enough of them; they close them after 10 s.
const IdleFor = 8 * time.Second

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
	sender, err := o.permit()
	if err != nil {
		return unsent(a, err)
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
	sent, err := c.write(a, o, sender, watch)
	if sent != notBegun {
		defer o.Caller.End(o.policy())
	}
	var got response
	keep := false
	if err == nil {
		got, keep, err = c.read(a, o.ID)
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

// judge is the one place where it is decided what an answer means.
func (s *Sender) judge(a *exchange.Attempt, o *Order, got response) exchange.Reply {
	notRun := got.header.Get(HeaderNotRun) != ""
	if notRun || got.status == http.StatusMisdirectedRequest {
		o.notRun()
	}
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
