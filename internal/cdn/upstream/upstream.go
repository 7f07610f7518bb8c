// Package upstream sends request attempts to origin servers over HTTP/1.1. It writes a request once, names the server that it is
// meant for, and validates the response by its stamp, length and request id. A server may run a request and respond to it before it has read
// all of it: the response is read while the request is written, and the rest of the body follows. It never retries by itself.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/exchange"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors. Each message names the step that failed and the server.
var Error = errs.Class("upstream")

const (
	connectTimeout    = 350 * time.Millisecond
	headEndDelay      = 1500 * time.Microsecond // how long the last byte of a once-only request's head is held back
	maxStaleResponses = 4                       // responses to earlier requests that are skipped on one connection
	maxStaleBytes     = 4 << 20                 // of the body of each of them
	tcpUserTimeout    = 18                      // TCP_USER_TIMEOUT of Linux
)

// responseLimits bound each response. Its body must also fit into the memory for bodies.
var responseLimits = boundedhttp.Limits{HeadBytes: 32 << 10, HeadLines: 256, InterimResponses: 8, BodyBytes: 64 << 20}

// IdleTimeout is how long an idle connection is kept, unless connections to the server are scarce. Servers close idle connections
// after 10 s.
const IdleTimeout = 8 * time.Second

// Sender sends attempts to servers. It implements exchange.Sender.
type Sender struct {
	Pool     *exchange.Pool
	Counters *exchange.Counters
	Answers  *admission.Partition // bounds the responses to requests in progress, by service and server
	Refused  refusedResponses
	// EarlyResponses counts the responses that came while the request was still being sent.
	EarlyResponses atomic.Int64

	mu       sync.Mutex
	requests map[*exchange.Exchange]*OriginRequest
}

// NewSender returns a sender with its own pool of at most so many connections. What is kept of responses is charged to a budget, of which
// each service and each server may hold a share.
func NewSender(maxConns int, counters *exchange.Counters, answers *admission.Budget) *Sender {
	return &Sender{Pool: exchange.NewPool(maxConns, IdleTimeout, counters), Counters: counters, Answers: admission.NewPartition(answers),
		requests: map[*exchange.Exchange]*OriginRequest{}}
}

// Register registers what the attempts of an exchange share, for Send. It must be called before the exchange is submitted.
func (s *Sender) Register(x *exchange.Exchange, o *OriginRequest) {
	s.mu.Lock()
	s.requests[x] = o
	s.mu.Unlock()
}

// Unregister removes a registered exchange.
func (s *Sender) Unregister(x *exchange.Exchange) {
	s.mu.Lock()
	o := s.requests[x]
	delete(s.requests, x)
	s.mu.Unlock()
	if o != nil {
		o.release()
	}
}

// Send starts an attempt in its own goroutine, which reports the result to the attempt.
func (s *Sender) Send(a *exchange.Attempt) {
	s.mu.Lock()
	o := s.requests[a.Exchange]
	s.mu.Unlock()
	go s.runAttempt(a, o)
}

// runAttempt carries out an attempt and reports its result, also after a panic.
func (s *Sender) runAttempt(a *exchange.Attempt, o *OriginRequest) {
	defer func() {
		if p := recover(); p != nil { // the request may have run
			a.Finish(exchange.AttemptResult{Result: balance.Unknown, Err: Error.New("panic: %v", p)})
		}
	}()
	if o == nil { // the exchange was answered and removed in the meantime
		a.Finish(exchange.AttemptResult{Result: balance.NeverSent})
		return
	}
	r := s.attempt(a, o)
	a.Finish(r)
}

// connect takes an idle connection to the attempt's server from the pool, or dials one. For a once-only request, connections
// that have been idle for too long to be reliable are passed over. A dedicated connection is never shared with other requests.
func (s *Sender) connect(ctx context.Context, a *exchange.Attempt, onceOnly, dedicated bool) (*conn, error) {
	poolKey := a.Server
	if dedicated { // no idle connections exist under this key: dedicated ones are never put back
		poolKey += "#alone"
	}
	pooled, err := s.Pool.Get(ctx, poolKey, a.Address, onceOnly, connectTimeout)
	if err != nil {
		return nil, err
	}
	if c, ok := pooled.(*conn); ok && c != nil {
		return c, nil
	}
	s.Counters.Dials.Add(1)
	started := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// In milliseconds, so that a network partition is detected by the request's deadline at the latest.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, 3000)
		})
	}}
	netConn, err := dialer.DialContext(ctx, "tcp", a.Address)
	a.ConnectTime = time.Since(started)
	if err != nil {
		s.Pool.Release()
		return nil, err
	}
	return &conn{Conn: netConn, reader: boundedhttp.NewReader(netConn, responseLimits), pool: s.Pool}, nil
}

// attempt sends the request, reads the response and classifies it. A result that says that the request never ran is returned only
// if that is certain.
func (s *Sender) attempt(a *exchange.Attempt, o *OriginRequest) exchange.AttemptResult {
	ctx, release := AttemptContext(a.Context, o.Caller)
	defer release()
	if o.Caller.Cancelled() {
		return notSentReply(a, cancellation.ErrCallerCancelled)
	}
	tenant, err := o.checkPermit()
	if err != nil {
		return notSentReply(a, err)
	}
	c, err := s.connect(ctx, a, o.OnceOnly, o.ID == "")
	if err != nil {
		if cause := CancelCause(ctx); cause != nil { // not the server's fault
			return notSentReply(a, cause)
		}
		return exchange.AttemptResult{Result: balance.NoConnect, Err: Error.New("connecting to %s: %w", a.Server, err)}
	}
	start := time.Now()
	if !a.Deadline.After(start) {
		s.Pool.Put(a.Server, a.Address, c, start)
		return notSentReply(a, errDeadlinePassed)
	}
	idleTime := time.Duration(0)
	if !c.idleSince.IsZero() {
		idleTime = start.Sub(c.idleSince)
	}
	c.SetDeadline(a.Deadline)
	stopWatch := context.AfterFunc(ctx, func() { c.Close() })
	progress, rest, err := c.write(a, o, tenant, stopWatch)
	if progress != notSent {
		defer o.Caller.EndAttempt(o.policy())
	}
	var resp response
	reusable := false
	if err == nil {
		reservation := s.Answers.Reserve(o.Service, string(a.Server))
		resp, reusable, err = c.readResponse(a, o.ID, rest, reservation)
		o.hold(reservation)
	}
	stillOpen := stopWatch() || o.policy() == cancellation.Finish // the connection was not closed by a cancellation
	if err != nil {
		c.Close()
		s.Refused.count(err)
		return s.failureReply(ctx, a, progress, start, idleTime, withUploadError(err, rest))
	}
	s.Pool.RecordResponse(a.Server, time.Now())
	s.Pool.RecordReuse(idleTime, true)
	o.mu.Lock()
	o.server, o.latency = a.Server, time.Since(start)
	o.mu.Unlock()
	s.release(a, o, c, rest, reusable && stillOpen)
	return s.classifyResponse(a, o, resp)
}

// release returns a connection whose response has been read to the pool, or closes it if it can't be reused. While the request is still
// being uploaded it does so in the background: the server gets the rest of the body, until the attempt's deadline, and nothing in its place.
func (s *Sender) release(a *exchange.Attempt, o *OriginRequest, c *conn, rest *upload, reusable bool) {
	finish := func() {
		if rest.wait() != nil || !reusable {
			c.Close()
			return
		}
		c.SetDeadline(time.Time{})
		c.idleSince = time.Now()
		s.Pool.Put(a.Server, a.Address, c, c.idleSince)
	}
	if rest.ended() {
		finish()
		return
	}
	s.EarlyResponses.Add(1)
	releaseBody := o.holdBody()
	go func() {
		defer releaseBody()
		finish()
	}()
}

// withUploadError adds to the error of reading a response why the request could not be written, if the connection ended. The connection
// is closed.
func withUploadError(err error, rest *upload) error {
	writeErr := rest.wait()
	var lost *permitLostError
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if writeErr == nil || !ended && !errors.As(writeErr, &lost) {
		return err
	}
	return fmt.Errorf("%w; writing: %w", err, writeErr)
}

// AttemptContext returns a context that ends at the attempt's deadline, or when the attempt or its caller is cancelled, and carries the
// cause. The returned function releases it.
func AttemptContext(attempt context.Context, caller *cancellation.Caller) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(attempt)
	callerCtx := caller.Context()
	stop := context.AfterFunc(callerCtx, func() { cancel(context.Cause(callerCtx)) })
	return ctx, func() { stop(); cancel(nil) }
}

// CancelCause returns the cause if the attempt was cancelled before its deadline, nil otherwise.
func CancelCause(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return context.Cause(ctx)
	}
	return nil
}

var errDeadlinePassed = errors.New("deadline exceeded before sending")

// notSentReply is the reply of an attempt that was certainly not sent, for a reason that is not the server's fault.
func notSentReply(a *exchange.Attempt, cause error) exchange.AttemptResult {
	return exchange.AttemptResult{Result: balance.NeverSent, Err: Error.New("sending to %s: %w", a.Server, cause)}
}

// failureReply classifies an attempt that got no response and whose connection is closed. A cancellation by the caller says nothing
// about the server, nor about how long connections may be idle, so neither is recorded as failed then.
func (s *Sender) failureReply(ctx context.Context, a *exchange.Attempt, progress sendProgress, start time.Time,
	idleTime time.Duration, err error) exchange.AttemptResult {
	cause := CancelCause(ctx)
	switch {
	case errors.Is(err, errNotSent), cause != nil && progress < maybeSent:
		return notSentReply(a, cmp.Or(cause, err))
	case cause != nil:
		return exchange.AttemptResult{Result: balance.Cancelled, Err: Error.New("at %s: %w", a.Server, cause)}
	case progress < maybeSent:
		s.Pool.RecordReuse(idleTime, false)
		return exchange.AttemptResult{Result: balance.NoConnect, Err: Error.New("writing to %s: %w", a.Server, err)}
	}
	var timeout net.Error
	var lost *permitLostError
	result := balance.Malformed
	switch {
	case errors.Is(err, admission.ErrNoRoom), errors.As(err, &lost): // not the server's fault
		result = balance.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout(), ctx.Err() != nil:
		result = balance.TimedOut
		s.Pool.CloseIfSilent(a.Server, start)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF):
		result = balance.Reset
		if time.Since(start) < connectTimeout/4 {
			s.Pool.RecordReuse(idleTime, false)
		}
	}
	return exchange.AttemptResult{Result: result, Err: Error.New("reading from %s: %w", a.Server, err)}
}

// classifyResponse decides what a response means. No other code does.
func (s *Sender) classifyResponse(a *exchange.Attempt, o *OriginRequest, resp response) exchange.AttemptResult {
	notRun := resp.header.Get(HeaderNotProcessed) != ""
	if notRun || resp.status == http.StatusMisdirectedRequest {
		o.recordNotRun()
	}
	reply := exchange.AttemptResult{Result: balance.OK, Header: resp.header, Body: resp.body}
	resp.header[StatusKey] = []string{strconv.Itoa(resp.status)}
	switch {
	case resp.status == http.StatusMisdirectedRequest:
		return exchange.AttemptResult{Result: balance.NoConnect, Err: Error.New("%s: its address now belongs to another server", a.Server)}
	case notRun:
		return exchange.AttemptResult{Result: balance.Rejected,
			Err: Error.New("%s rejected the request unprocessed with status %d", a.Server, resp.status)}
	case resp.status >= 200 && resp.status < 300 &&
		(resp.header.Get(HeaderStamp) == "" || resp.header.Get("Content-Encoding") != ""):
		return exchange.AttemptResult{Result: balance.Malformed, Err: Error.New("%s: success response without a valid stamp", a.Server)}
	case resp.status >= 500:
		o.mu.Lock()
		o.lastFailure = &exchange.AttemptResult{Header: reply.Header, Body: reply.Body}
		o.mu.Unlock()
		return exchange.AttemptResult{Result: balance.Errored, Err: Error.New("%s responded with status %d", a.Server, resp.status)}
	}
	return reply
}
