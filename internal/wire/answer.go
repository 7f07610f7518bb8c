package wire

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cedarmast/internal/exchange"
)

// writeAnswer writes the final answer of an exchange. It returns false if the connection must be closed.
func (c *clientConn) writeAnswer(a exchange.Answer, last bool) bool {
	switch {
	case a.Kind == exchange.Served && a.Rest != nil:
		return c.streamAnswer(a, last)
	case a.Kind == exchange.Served:
		return c.write(http.StatusOK, a.Header, a.Body, last)
	case a.Kind == exchange.Refused:
		return c.write(http.StatusServiceUnavailable, retryAfter(a.RetryAfter), nil, last)
	case a.TimedOut:
		return c.write(http.StatusGatewayTimeout, nil, nil, last)
	}
	return c.write(http.StatusBadGateway, nil, nil, last)
}

// retryAfter returns a Retry-After header in decimal seconds, or nil if d is not positive.
func retryAfter(d time.Duration) http.Header {
	if d <= 0 {
		return nil
	}
	return http.Header{"Retry-After": {strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}}
}

// rejectRequest answers a request that violates the protocol and closes the connection. It always returns false.
func (c *clientConn) rejectRequest(err error) bool {
	// The log is sampled: a flood of bad requests must not fill it.
	if n := c.frontend.Counters.BadRequests.Add(1); n%badRequestLogInterval == 1 {
		c.frontend.Log.Warn("bad request", "err", err, "client", c.RemoteAddr(), "so_far", n)
	}
	if !c.setState(stateRejected) {
		return false
	}
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	status := statusOf(err)
	if status == http.StatusMethodNotAllowed {
		header["Allow"] = []string{"GET, PUT"}
	}
	if status == http.StatusServiceUnavailable {
		header["Retry-After"] = retryAfter(rejectRetryAfter)["Retry-After"]
	}
	c.write(status, header, []byte(err.Error()+"\n"), true)
	c.linger()
	return false
}

// linger shuts down the write side and discards input for a short time before the close: closing a socket with unread
// bytes resets the connection, and the client could lose the answer. The rest of a body that was refused because of its
// length may take long to arrive; at most maxDrains connections wait for it at a time.
func (c *clientConn) linger() {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	timeout, limit := lingerTimeout, int64(maxLingerBytes)
	if c.refusedLength > 0 {
		select {
		case c.frontend.drainSlots <- struct{}{}:
			defer func() { <-c.frontend.drainSlots }()
			timeout, limit = drainTimeout, min(c.refusedLength, maxDrainBytes)
		default:
		}
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	io.Copy(io.Discard, io.LimitReader(c.Conn, limit))
}

// serveStatus answers requests to the router's own endpoints, /health/... and /stats.
func (c *clientConn) serveStatus(req *http.Request, last bool) bool {
	plain := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	switch {
	case req.Method != http.MethodGet:
		return c.write(http.StatusMethodNotAllowed, http.Header{"Allow": {"GET"}}, nil, last)
	case req.URL.Path == "/health/live":
		return c.write(http.StatusOK, plain, []byte("live\n"), last)
	case req.URL.Path == "/health/ready" && c.frontend.Ready.Load() && !c.frontend.closing.Load():
		return c.write(http.StatusOK, plain, []byte("ready\n"), last)
	case req.URL.Path == "/health/ready":
		return c.write(http.StatusServiceUnavailable, plain, []byte("not ready\n"), last)
	case req.URL.Path == "/stats":
		return c.write(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, c.frontend.Counters.JSON(), last)
	}
	return c.write(http.StatusNotFound, plain, []byte("not found\n"), last)
}

// streamAnswer writes a long answer as it arrives from the server. If the answer breaks off, the client's connection is
// closed before the announced length or the final chunk, so that the client can tell.
func (c *clientConn) streamAnswer(a exchange.Answer, last bool) bool {
	last = last || c.reject || c.frontend.closing.Load()
	chunked := a.Length < 0 && !c.http10
	last = last || a.Length < 0 && c.http10 // without a length or chunks the body ends with the connection
	head := fmt.Appendf(make([]byte, 0, 512), "HTTP/1.1 %d %s\r\n", http.StatusOK, http.StatusText(http.StatusOK))
	head = appendHeader(head, a.Header)
	if a.Length >= 0 {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", a.Length)
	} else if chunked {
		head = appendLine(head, "Transfer-Encoding", "chunked")
	}
	if last {
		head = appendLine(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	c.writing = true
	err := c.writeStreamPart(head, a.Body, chunked)
	buf := make([]byte, maxPipeBuffer/2)
	for err == nil {
		n, readErr := a.Rest.Read(buf)
		if n > 0 {
			err = c.writeStreamPart(nil, buf[:n], chunked)
		}
		if err == nil && readErr != nil {
			err = readErr
		}
	}
	if err != io.EOF {
		c.frontend.Log.Debug("streamed answer aborted", "err", err, "client", c.RemoteAddr())
		if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
			tcp.SetLinger(0) // send a reset: an orderly close could be taken for the end of the answer
		}
		return false
	}
	if chunked {
		if _, err := io.WriteString(c.Conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	c.writing = false
	return !last
}

// writeStreamPart writes one part of a streamed answer, as a chunk if chunked. It fails if a slow client does not accept
// the part within streamWriteTimeout.
func (c *clientConn) writeStreamPart(head, part []byte, chunked bool) error {
	if chunked && len(part) > 0 {
		head = fmt.Appendf(head, "%x\r\n", len(part))
	}
	parts := net.Buffers{head, part}
	if chunked && len(part) > 0 {
		parts = append(parts, []byte("\r\n"))
	}
	c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	_, err := parts.WriteTo(c.Conn)
	return err
}

// write writes a complete response. It returns false if the connection must be closed.
func (c *clientConn) write(status int, header http.Header, body []byte, last bool) bool {
	last = last || c.reject || c.frontend.closing.Load()
	head := make([]byte, 0, 256)
	head = fmt.Appendf(head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	head = appendHeader(head, header)
	head = fmt.Appendf(head, "Content-Length: %d\r\n", len(body))
	if last {
		head = appendLine(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	c.writing = true
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := writeMessage(c.Conn, head, body); err != nil {
		c.frontend.Log.Debug("writing the answer failed", "err", err, "client", c.RemoteAddr())
		return false
	}
	c.writing = false
	return !last
}
