package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// conn is a connection to a server. One goroutine uses it at a time; between requests it is idle in the pool.
type conn struct {
	net.Conn
	reader    *boundedhttp.Reader
	pool      *exchange.Pool
	closeOnce sync.Once
	idleSince time.Time // when it became idle; zero for a new connection
}

// Acquire reports whether the idle connection may be reused. The pool calls it before reuse.
func (c *conn) Acquire() bool { return c.Usable() }

// Usable implements exchange.CheckedConn: the connection is still open and has no unread bytes.
func (c *conn) Usable() bool { return socket.Peek(c.Conn) == socket.Idle }

// Close closes the connection and releases its slot in the pool. Later calls do nothing.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.Conn.Close(); c.pool.Release() })
	return err
}

// response is a complete response of a server.
type response struct {
	status int
	header http.Header
	body   []byte
}

var errConnClosedEarly = errors.New("connection closed before the request was complete")

// sendProgress is how far a request got on its way to a server. From maybeSent on it may have run.
type sendProgress int

const (
	notSent         sendProgress = iota // its last byte was certainly not sent
	lastByteRefused                     // it was counted as sent, but the connection did not accept its last byte
	maybeSent                           // its last byte may have been sent
	fullySent                           // all of it was handed to the connection
)

var errNotSent = errors.New("request not sent")

// write writes the request, with a header that names the tenant if there is one, and rechecks the permission before the last byte. The
// last byte of a once-only request is held back for lastByteDelay, so that a connection that the server has dropped is detected while
// the request certainly has not run. If the attempt is to finish although its caller is cancelled, stopWatch is called before the last
// byte, so that a cancellation no longer closes the connection.
func (c *conn) write(a *exchange.Attempt, o *OriginRequest, tenant string, stopWatch func() bool) (sendProgress, error) {
	head := make([]byte, 0, 512)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\n", a.Method, a.Target)
	for name, values := range a.Header {
		if tenant != "" && (name == HeaderClientKey || name == HeaderTenant) { // sent by the client itself: not passed on
			continue
		}
		for _, v := range values {
			head = append(append(append(append(head, name...), ": "...), v...), "\r\n"...)
		}
	}
	if tenant != "" {
		head = fmt.Appendf(head, "%s: %s\r\n", HeaderTenant, tenant)
	}
	timeLeft := max(time.Until(a.Deadline).Milliseconds(), 1)
	if o.ID != "" {
		head = fmt.Appendf(head, "%s: %s\r\n", HeaderRequestID, o.ID)
	}
	head = fmt.Appendf(head, "%s: %d\r\n%s: %s\r\n", HeaderTimeLeft, timeLeft, HeaderTargetServer, a.Server)
	if len(a.Body) > 0 || a.Method != http.MethodGet && a.Method != http.MethodHead {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", len(a.Body))
	}
	head = append(head, "\r\n"...)
	first, rest := splitRequest(head, a.Body)
	pending := net.Buffers{first, rest}
	if o.OnceOnly {
		early, last := holdBackLastByte(first, rest)
		if _, err := early.WriteTo(c.Conn); err != nil {
			return notSent, err
		}
		time.Sleep(lastByteDelay)
		if state := socket.Peek(c.Conn); state == socket.Closed || state == socket.Unread {
			return notSent, errConnClosedEarly
		}
		pending = last
	}
	if err := o.recheckPermit(tenant); err != nil {
		return notSent, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if o.policy() == cancellation.Finish && !stopWatch() || !o.beginAttempt(tenant, a.Deadline) {
		return notSent, errNotSent
	}
	_, err := pending.WriteTo(c.Conn)
	switch {
	case err == nil:
		return fullySent, nil
	case o.OnceOnly && errors.Is(err, syscall.EPIPE): // the last byte was not accepted
		o.uncountAttempt()
		return lastByteRefused, err
	}
	return maybeSent, err
}

// maxJoinedBody is the length of a body, in bytes, up to which it is copied behind its head and written with it. A longer body is not copied.
const maxJoinedBody = 64 << 10

// splitRequest returns the bytes of a request in two parts, of which the second may be empty.
func splitRequest(head, body []byte) (first, rest []byte) {
	if len(body) <= maxJoinedBody {
		return append(head, body...), nil
	}
	return head, body
}

// holdBackLastByte returns the two parts of a request without its last byte, and that byte.
func holdBackLastByte(first, rest []byte) (early, last net.Buffers) {
	if len(rest) == 0 {
		end := len(first) - 1
		return net.Buffers{first[:end]}, net.Buffers{first[end:]}
	}
	end := len(rest) - 1
	return net.Buffers{first, rest[:end]}, net.Buffers{rest[end:]}
}

// readResponse reads the response that carries the request id and skips responses to earlier requests. Reusable tells whether the
// connection may carry another request. A response without a length ends with its connection, and is complete unless the connection
// was reset. Only the attempt's deadline bounds the time: a server that stalls does not end the response sooner; for a repeatable request
// the balancer sends a second attempt in the meantime, if the retry budget allows one.
func (c *conn) readResponse(a *exchange.Attempt, id string, charge boundedhttp.Charge) (result response, reusable bool, err error) {
	reusable = true
	for range maxStaleResponses {
		resp, err := c.reader.Response(a.Method, charge)
		if err != nil {
			return result, false, err
		}
		if id == "" { // without an id a surplus response could not be told from the next request's
			reusable = false
		} else if len(resp.Header[HeaderRequestID]) != 1 || resp.Header[HeaderRequestID][0] != id {
			reusable = false // a response to an earlier request came in its place
			if err := discardStale(resp); err != nil {
				return result, false, err
			}
			continue
		}
		body, err := c.reader.Body(resp, a.Method, charge)
		if err != nil {
			return result, false, fmt.Errorf("reading the body: %w", err)
		}
		reusable = reusable && !resp.Close && c.reader.Buffered() == 0
		return response{resp.StatusCode, EndToEnd(resp.Header), body}, reusable, nil
	}
	return result, false, errors.New("only responses to other requests")
}

// discardStale reads the body of a response to an earlier request, and keeps nothing of it. It fails if nothing can follow that response.
func discardStale(resp *http.Response) error {
	if resp.Close {
		return errors.New("connection closed after a response to another request")
	}
	discarded, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes+1))
	if err == nil && discarded > maxStaleBytes {
		err = boundedhttp.ErrBodyTooLong
	}
	return err
}
