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

// AttemptSender sends attempts to cache servers, each in its own goroutine. It never retries by itself.
type AttemptSender struct {
	Pool           *exchange.Pool
	Counters       *exchange.Counters
	ConnectTimeout time.Duration
	NonIdempotent  func(class string) bool // reports whether a class's requests must not run twice; nil: none

	// Dial opens a connection to a server; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	connectTimeoutOverride atomic.Int64 // set by SetConnectTimeout, in nanoseconds; 0: use ConnectTimeout
}

// SetConnectTimeout changes the timeout for opening a connection. It may be called while attempts run.
func (s *AttemptSender) SetConnectTimeout(d time.Duration) { s.connectTimeoutOverride.Store(int64(d)) }

// connectTimeout returns the current timeout for opening a connection.
func (s *AttemptSender) connectTimeout() time.Duration {
	return cmp.Or(time.Duration(s.connectTimeoutOverride.Load()), s.ConnectTimeout)
}

// Send starts an attempt in a new goroutine.
func (s *AttemptSender) Send(a *exchange.Attempt) { go s.runAttempt(a) }

// runAttempt carries out an attempt and reports its result. A panic ends this attempt only, with a result that does not
// exclude that the server processed it.
func (s *AttemptSender) runAttempt(a *exchange.Attempt) {
	defer func() {
		if p := recover(); p != nil {
			a.Finish(exchange.AttemptResult{Result: balance.Unknown, Err: fmt.Errorf("panic: %v", p)})
		}
	}()
	resp, err := s.attempt(a)
	if err != nil {
		failure := &Failure{Stage: Reading, Cause: err}
		errors.As(err, &failure)
		result := failure.Result()
		if result == balance.TimedOut || result == balance.Cancelled {
			s.Pool.CloseIfSilent(a.Server, a.SentAt())
		}
		a.Finish(exchange.AttemptResult{Result: result, Err: err})
		return
	}
	a.Finish(attemptResultFor(resp))
}

// attemptResultFor returns the attempt result for a server's response. Only a response with status 200 is forwarded.
func attemptResultFor(resp response) exchange.AttemptResult {
	switch {
	case resp.status == http.StatusOK:
		result := exchange.AttemptResult{Result: balance.OK, Header: resp.header, Body: resp.body,
			FetchPending: resp.header.Get(headerLookup) == "pending"}
		if resp.pipe != nil {
			result.Rest, result.Length = resp.pipe, resp.length
		}
		return result
	}
	resp.release()
	switch {
	case resp.header.Get(headerUnprocessed) == "1" &&
		(resp.status == http.StatusServiceUnavailable || resp.status == http.StatusGatewayTimeout):
		return exchange.AttemptResult{Result: balance.Rejected, Err: fmt.Errorf("rejected unprocessed with status %d", resp.status)}
	}
	return exchange.AttemptResult{Result: balance.Errored, Err: fmt.Errorf("status %d", resp.status)}
}

// attempt writes the request and waits for the response. Its error is a *Failure.
func (s *AttemptSender) attempt(a *exchange.Attempt) (response, error) {
	conn, err := s.connect(a)
	if err != nil {
		return response{}, &Failure{Dialling, err}
	}
	defer func() {
		if p := recover(); p != nil {
			conn.Close()
			panic(p)
		}
	}()
	stopClose := context.AfterFunc(a.Context, func() { conn.Close() }) // ends the attempt at any stage
	started := time.Now()
	idleTime := conn.idleTime(started)
	head := requestHead(a.Exchange, started)
	if err := s.write(a, conn, head); err != nil {
		// A response may have arrived before the request was complete, as from a server that rejects it unread. A 200
		// can't belong to an incomplete request, so it is dropped.
		stopClose()
		defer conn.abandon()
		select {
		case resp := <-conn.responses:
			if resp.err == nil && resp.status != http.StatusOK && a.Context.Err() == nil {
				s.Pool.RecordResponse(a.Server, time.Now())
				return resp, nil
			}
			resp.release()
		default:
		}
		if a.Context.Err() == nil {
			s.Pool.RecordReuse(idleTime, false)
		}
		return response{}, &Failure{Writing, s.failureCause(a, err)}
	}
	var resp response
	select {
	case resp = <-conn.responses:
	case <-a.Context.Done():
		conn.Close()
		select {
		case resp = <-conn.responses: // the response arrived at the same moment
			if resp.err != nil {
				resp = response{err: context.Cause(a.Context)}
			}
		default:
			resp.err = context.Cause(a.Context)
			conn.abandon()
		}
	}
	notCancelled := stopClose() && resp.err == nil
	if resp.err != nil {
		conn.Close()
		stage := Written
		if conn.responseStarted.Load() {
			stage = Reading
		}
		if stage == Written && a.Context.Err() == nil && time.Since(started) < s.connectTimeout()/4 {
			s.Pool.RecordReuse(idleTime, false) // reset at once: the idle connection had probably been closed by the server
		}
		return response{}, &Failure{stage, s.failureCause(a, resp.err)}
	}
	s.Pool.RecordResponse(a.Server, time.Now())
	s.Pool.RecordReuse(idleTime, true)
	if resp.pipe != nil {
		if !notCancelled { // the attempt was cancelled as streaming started
			conn.Close()
			resp.release()
			return response{}, &Failure{Reading, s.failureCause(a, context.DeadlineExceeded)}
		}
		resp.pipe.handOver()
		return resp, nil
	}
	if notCancelled && resp.keep && conn.usable() {
		s.Pool.Put(a.Server, a.Address, conn, time.Now())
		if !conn.usable() { // it was closed before the pool had it
			s.Pool.Remove(a.Server, conn)
		}
	} else {
		conn.Close()
	}
	return resp, nil
}

// lastByteDelay is how long the last byte is withheld of a request that must not run twice.
const lastByteDelay = 2 * time.Millisecond

// errEndedEarly is the cause if a response, or the end of the connection, arrived before the request was complete.
var errEndedEarly = errors.New("connection ended before the request was complete")

// mustNotRepeat reports whether the attempt's request must not run twice.
func (s *AttemptSender) mustNotRepeat(a *exchange.Attempt) bool {
	return s.NonIdempotent != nil && s.NonIdempotent(a.Class)
}

// write writes the request; an error means that its last byte was certainly not written. A server starts processing with
// the last byte. For a request that must not run twice, that byte is sent lastByteDelay later, so that a connection that
// the server had closed, or that is reset at once, is noticed while the attempt has certainly not run.
func (s *AttemptSender) write(a *exchange.Attempt, c *serverConn, head []byte) error {
	body := a.Body
	if !s.mustNotRepeat(a) {
		return writeAll(c.Conn, head, body)
	}
	lastByte := head[len(head)-1:]
	if len(body) > 0 {
		lastByte, body = body[len(body)-1:], body[:len(body)-1]
	} else {
		head = head[:len(head)-1]
	}
	if err := writeAll(c.Conn, head, body); err != nil {
		return err
	}
	wait := time.NewTimer(lastByteDelay)
	defer wait.Stop()
	select {
	case resp := <-c.responses:
		c.deliver(resp) // put it back for the caller
		return cmp.Or(resp.err, errEndedEarly)
	case <-a.Context.Done():
		return context.Cause(a.Context)
	case <-wait.C:
	}
	if state := socket.Peek(c.Conn); state == socket.Closed || state == socket.Unread { // the read loop may not have run yet
		return errEndedEarly
	}
	return writeAll(c.Conn, lastByte, nil)
}

// writeAll writes head and body. It returns an error unless all bytes were written.
func writeAll(c net.Conn, head, body []byte) error {
	if n, err := writeMessage(c, head, body); n < int64(len(head)+len(body)) {
		return cmp.Or(err, io.ErrShortWrite)
	}
	return nil
}

// failureCause returns why an attempt failed: the cause of its context if that has ended, since that closes the connection
// and makes other operations fail; otherwise err.
func (s *AttemptSender) failureCause(a *exchange.Attempt, err error) error {
	if a.Context.Err() != nil {
		return context.Cause(a.Context)
	}
	return err
}

// connect returns an idle connection from the pool, or opens a new one.
func (s *AttemptSender) connect(a *exchange.Attempt) (*serverConn, error) {
	for {
		pooled, err := s.Pool.Get(a.Context, a.Server, a.Address, s.mustNotRepeat(a), s.connectTimeout())
		if err != nil {
			if a.Context.Err() != nil {
				return nil, s.cancelCause(a)
			}
			return nil, err
		}
		idle, _ := pooled.(*serverConn)
		if idle == nil {
			break
		}
		if idle.usable() && !idle.stale() {
			return idle, nil
		}
		idle.Close() // nothing has been written yet: try another one
	}
	s.Counters.Dials.Add(1)
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
	started := time.Now()
	c, err := dial(a.Context, a.Address)
	a.ConnectTime = time.Since(started)
	if err != nil {
		c = nil
		if a.Context.Err() != nil {
			return nil, s.cancelCause(a)
		}
		return nil, err
	}
	return newServerConn(c, a.Server, a.Address, s.Pool), nil
}

// cancelCause returns the cause if an attempt's context ended before there was a connection, which is not the server's
// fault.
func (s *AttemptSender) cancelCause(a *exchange.Attempt) error {
	if cause := context.Cause(a.Context); errors.Is(cause, exchange.ErrAttemptCancelled) {
		return cause
	}
	return errDeadlinePassed
}

// dialTCP opens a TCP connection without keep-alive probes.
func (s *AttemptSender) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: s.connectTimeout(), KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// requestHead formats the request's head. The request line and the end-to-end headers are unchanged; X-Time-Left is the
// time that the router will still wait.
func requestHead(x *exchange.Exchange, now time.Time) []byte {
	head := make([]byte, 0, 512)
	head = append(append(append(append(head, x.Method...), ' '), x.Target...), " HTTP/1.1\r\n"...)
	head = appendHeader(head, x.Header)
	head = appendLine(head, headerTimeLeft, formatTimeLeft(x.Deadline.Sub(now)))
	if len(x.Body) > 0 || x.Method != http.MethodGet {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(x.Body))
	}
	return append(head, "\r\n"...)
}
