package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

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

// response is a server's whole answer.
type response struct {
	status int
	header http.Header
	body   []byte
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

// write writes the request, in the name of a sender if there is one. Its order is asked before the last byte may leave. Of what may run once that byte follows a moment later, so that
// a connection that the server has dropped shows while the request surely has not run. Of what is finished though its caller leaves, the watch
// for that ends with the last byte.
func (c *conn) write(a *exchange.Attempt, o *Order, sender string, watch func() bool) (sending, error) {
	head := make([]byte, 0, 512)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\n", a.Method, a.Target)
	for name, values := range a.Header {
		if sender != "" && (name == HeaderKey || name == HeaderSender) { // the client's own
			continue
		}
		for _, v := range values {
			head = append(append(append(append(head, name...), ": "...), v...), "\r\n"...)
		}
	}
	if sender != "" {
		head = fmt.Appendf(head, "%s: %s\r\n", HeaderSender, sender)
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
	if err := o.confirm(sender); err != nil {
		return notBegun, fmt.Errorf("%w: %w", errStopped, err)
	}
	if o.policy() == departure.Finish && !watch() || !o.begin(sender, a.Due) {
		return notBegun, errStopped
	}
	_, err := c.Conn.Write(all)
	switch {
	case err == nil:
		return written, nil
	case o.OnceOnly && errors.Is(err, syscall.EPIPE): // the one byte was not taken
		o.neverBegun()
		return untaken, err
	}
	return begun, err
}

// readBody reads a body. Nothing but the attempt's own end bounds its time: a server's silence is no reason to end an answer sooner. Of what may
// be repeated the decisions send a second copy meanwhile, where the budget allows one.
func readBody(resp *http.Response, method string) ([]byte, error) {
	if resp.ContentLength > 0 && method != http.MethodHead {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = fmt.Errorf("a body of more than %d bytes", maxBody)
	}
	return body, err
}

// read reads the answer that carries the id, passing over answers to earlier requests. Keep tells whether the connection may
// be used again. An answer without a length ends with its connection and is whole then, unless the connection was reset.
func (c *conn) read(a *exchange.Attempt, id string) (got response, keep bool, err error) {
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
		body, err := readBody(resp, a.Method)
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
		keep = keep && !resp.Close && c.r.Buffered() == 0
		return response{resp.StatusCode, EndToEnd(resp.Header), body}, keep, nil
	}
	return got, false, errors.New("only answers to other requests")
}
