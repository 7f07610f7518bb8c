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

// readResponse reads the response that carries the request id and skips responses to earlier requests. It may come while the request is
// being uploaded. Reusable tells whether the connection may carry another request. A response without a length ends with its connection,
// and is complete unless the connection was reset. Only the attempt's deadline bounds the time: a server that stalls does not end the
// response sooner; for a repeatable request the balancer sends a second attempt in the meantime, if the retry budget allows one.
func (c *conn) readResponse(a *exchange.Attempt, id string, u *upload, charge boundedhttp.Charge) (result response, reusable bool, err error) {
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
		if endsWithConnection(resp) && c.wasReset(u) {
			return result, false, fmt.Errorf("reading the body: %w", syscall.ECONNRESET)
		}
		reusable = reusable && !resp.Close && c.reader.Buffered() == 0
		return response{resp.StatusCode, EndToEnd(resp.Header), body}, reusable, nil
	}
	return result, false, errors.New("only responses to other requests")
}

// endsWithConnection reports whether the end of the connection is the end of the response's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
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
