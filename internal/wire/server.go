package wire

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// Servers carries out attempts at cache servers, each in a goroutine of its own. Nothing is sent twice by itself.
type Servers struct {
	Pool           *exchange.Pool
	Counts         *exchange.Counters
	ConnectTimeout time.Duration
	Careful        func(class string) bool // of what may not run twice at will; nil: of nothing

	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	retuned atomic.Int64 // nanoseconds; 0: ConnectTimeout
}

// SetConnectTimeout changes the time for a connection to come up.
func (s *Servers) SetConnectTimeout(d time.Duration) { s.retuned.Store(int64(d)) }

func (s *Servers) connectTimeout() time.Duration {
	return cmp.Or(time.Duration(s.retuned.Load()), s.ConnectTimeout)
}

// Send begins an attempt.
func (s *Servers) Send(a *exchange.Attempt) { go s.run(a) }

// run sees an attempt to its end. A panic ends only this attempt, as one that may have run.
func (s *Servers) run(a *exchange.Attempt) {
	defer func() {
		if p := recover(); p != nil {
			a.End(exchange.Reply{Result: balance.Unknown, Err: fmt.Errorf("panic: %v", p)})
		}
	}()
	got, err := s.attempt(a)
	if err != nil {
		failure := &Failure{Stage: Reading, Cause: err}
		errors.As(err, &failure)
		result := failure.Result()
		if result == balance.TimedOut || result == balance.Cancelled {
			s.Pool.Silent(a.Server, a.Sent())
		}
		a.End(exchange.Reply{Result: result, Err: err})
		return
	}
	a.End(reply(got))
}

// reply reads an answer's meaning. Only a 200 is ever passed on.
func reply(got answer) exchange.Reply {
	switch {
	case got.status == http.StatusOK:
		r := exchange.Reply{Result: balance.OK, Header: got.header, Body: got.body,
			Fetching: got.header.Get(headerLookup) == "pending"}
		if got.rest != nil {
			r.Rest, r.Length = got.rest, got.length
		}
		return r
	}
	got.let()
	switch {
	case got.header.Get(headerUnprocessed) == "1" &&
		(got.status == http.StatusServiceUnavailable || got.status == http.StatusGatewayTimeout):
		return exchange.Reply{Result: balance.Full, Err: fmt.Errorf("turned away with status %d", got.status)}
	}
	return exchange.Reply{Result: balance.Errored, Err: fmt.Errorf("status %d", got.status)}
}

// attempt writes the request and waits for the answer. Its error is a Failure.
func (s *Servers) attempt(a *exchange.Attempt) (answer, error) {
	c, err := s.connect(a)
	if err != nil {
		return answer{}, &Failure{Dialling, err}
	}
	defer func() {
		if p := recover(); p != nil {
			c.Close()
			panic(p)
		}
	}()
	cut := context.AfterFunc(a.Context, func() { c.Close() }) // wherever it stands
	begun := time.Now()
	idle := c.idleFor(begun)
	head := requestHead(a.Exchange, begun)
	if err := s.write(a, c, head); err != nil {
		// An answer may have come before the request was whole, as from a server that turns it away unread. One that
		// serves it is not made for it.
		cut()
		defer c.leave()
		select {
		case got := <-c.answers:
			if got.err == nil && got.status != http.StatusOK && a.Context.Err() == nil {
				s.Pool.Heard(a.Server, time.Now())
				return got, nil
			}
			got.let()
		default:
		}
		if a.Context.Err() == nil {
			s.Pool.Used(idle, false)
		}
		return answer{}, &Failure{Writing, s.cause(a, err)}
	}
	var got answer
	select {
	case got = <-c.answers:
	case <-a.Context.Done():
		c.Close()
		select {
		case got = <-c.answers: // it came at the same moment
			if got.err != nil {
				got = answer{err: context.Cause(a.Context)}
			}
		default:
			got.err = context.Cause(a.Context)
			c.leave()
		}
	}
	whole := cut() && got.err == nil
	if got.err != nil {
		c.Close()
		stage := Written
		if c.reading.Load() {
			stage = Reading
		}
		if stage == Written && a.Context.Err() == nil && time.Since(begun) < s.connectTimeout()/4 {
			s.Pool.Used(idle, false) // reset at once, as is one that had been closed without a word
		}
		return answer{}, &Failure{stage, s.cause(a, got.err)}
	}
	s.Pool.Heard(a.Server, time.Now())
	s.Pool.Used(idle, true)
	if got.rest != nil {
		if !whole { // its time was up as it began
			c.Close()
			got.let()
			return answer{}, &Failure{Reading, s.cause(a, context.DeadlineExceeded)}
		}
		got.rest.own()
		return got, nil
	}
	if whole && got.keep && c.usable() {
		s.Pool.Put(a.Server, a.Address, c, time.Now())
		if !c.usable() { // it closed meanwhile, before the pool had it
			s.Pool.Remove(a.Server, c)
		}
	} else {
		c.Close()
	}
	return got, nil
}

// commitAfter is how long the last byte of a request is kept back that may not run twice at will.
const commitAfter = 2 * time.Millisecond

// errEarly is the cause where an answer or the connection's end came before the request was whole.
var errEarly = errors.New("ended before the request was whole")

func (s *Servers) careful(a *exchange.Attempt) bool { return s.Careful != nil && s.Careful(a.Class) }

// write writes the request; an error means that its last byte is surely unwritten. A server begins a request with its
// last byte: of one that may not run twice at will that byte follows a moment later, so that a connection that was
// closed without a word, or breaks at once, shows while the attempt surely never ran.
func (s *Servers) write(a *exchange.Attempt, c *serverConn, head []byte) error {
	body := a.Body
	if !s.careful(a) {
		return writeWhole(c.Conn, head, body)
	}
	last := head[len(head)-1:]
	if len(body) > 0 {
		last, body = body[len(body)-1:], body[:len(body)-1]
	} else {
		head = head[:len(head)-1]
	}
	if err := writeWhole(c.Conn, head, body); err != nil {
		return err
	}
	wait := time.NewTimer(commitAfter)
	defer wait.Stop()
	select {
	case got := <-c.answers:
		c.deliver(got) // the caller looks at it
		return cmp.Or(got.err, errEarly)
	case <-a.Context.Done():
		return context.Cause(a.Context)
	case <-wait.C:
	}
	if state := socket.Peek(c.Conn); state == socket.Closed || state == socket.Unread { // the reader may not have run
		return errEarly
	}
	return writeWhole(c.Conn, last, nil)
}

func writeWhole(c net.Conn, head, body []byte) error {
	if n, err := writeMessage(c, head, body); n < int64(len(head)+len(body)) {
		return cmp.Or(err, io.ErrShortWrite)
	}
	return nil
}

// cause is what ended an attempt: its context, if that has ended, for it closes the connection under the rest.
func (s *Servers) cause(a *exchange.Attempt, err error) error {
	if a.Context.Err() != nil {
		return context.Cause(a.Context)
	}
	return err
}

// connect returns an idle connection or dials.
func (s *Servers) connect(a *exchange.Attempt) (*serverConn, error) {
	for {
		got, err := s.Pool.Get(a.Context, a.Server, a.Address, s.careful(a), s.connectTimeout())
		if err != nil {
			if a.Context.Err() != nil {
				return nil, s.ended(a)
			}
			return nil, err
		}
		idle, _ := got.(*serverConn)
		if idle == nil {
			break
		}
		if idle.usable() && !idle.stale() {
			return idle, nil
		}
		idle.Close() // nothing is written yet: another one may be taken
	}
	s.Counts.Dials.Add(1)
	dial := s.Dial
	if dial == nil {
		dial = s.dialTCP
	}
	var c net.Conn
	defer func() {
		if c == nil {
			s.Pool.Release()
		}
	}()
	begun := time.Now()
	c, err := dial(a.Context, a.Address)
	a.Connect = time.Since(begun)
	if err != nil {
		c = nil
		if a.Context.Err() != nil {
			return nil, s.ended(a)
		}
		return nil, err
	}
	return newServerConn(c, a.Server, a.Address, s.Pool), nil
}

// ended is the cause where an attempt's own end came while there was no connection yet: the server has no part in it.
func (s *Servers) ended(a *exchange.Attempt) error {
	if cause := context.Cause(a.Context); errors.Is(cause, exchange.ErrWithdrawn) {
		return cause
	}
	return errDue
}

func (s *Servers) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: s.connectTimeout(), KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// requestHead writes out the request's head: request line and end-to-end headers unchanged, the time left as the
// router will wait.
func requestHead(x *exchange.Exchange, now time.Time) []byte {
	head := make([]byte, 0, 512)
	head = append(append(append(append(head, x.Method...), ' '), x.Target...), " HTTP/1.1\r\n"...)
	head = appendHeader(head, x.Header)
	head = appendLine(head, headerTimeLeft, formatTimeLeft(x.Due.Sub(now)))
	if len(x.Body) > 0 || x.Method != http.MethodGet {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(x.Body))
	}
	return append(head, "\r\n"...)
}
