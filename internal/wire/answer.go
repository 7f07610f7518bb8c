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

// answer writes a final answer.
func (c *clientConn) answer(a exchange.Answer, last bool) bool {
	switch {
	case a.Kind == exchange.Served && a.Rest != nil:
		return c.passOn(a, last)
	case a.Kind == exchange.Served:
		return c.write(http.StatusOK, a.Header, a.Body, last)
	case a.Kind == exchange.Refused:
		return c.write(http.StatusServiceUnavailable, retryAfter(a.RetryAfter), nil, last)
	case a.TimedOut:
		return c.write(http.StatusGatewayTimeout, nil, nil, last)
	}
	return c.write(http.StatusBadGateway, nil, nil, last)
}

func retryAfter(d time.Duration) http.Header {
	if d <= 0 {
		return nil
	}
	return http.Header{"Retry-After": {strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}}
}

// bad answers a message that breaks the protocol and closes.
func (c *clientConn) bad(err error) bool {
	if n := c.side.Counts.BadRequests.Add(1); n%badLogged == 1 { // a flood of them is not to fill the log
		c.side.Log.Warn("bad request", "err", err, "client", c.RemoteAddr(), "so_far", n)
	}
	if !c.enter(leaving) {
		return false
	}
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	status := statusOf(err)
	if status == http.StatusMethodNotAllowed {
		header["Allow"] = []string{"GET, PUT"}
	}
	if status == http.StatusServiceUnavailable {
		header["Retry-After"] = retryAfter(comeAgainAfter)["Retry-After"]
	}
	c.write(status, header, []byte(err.Error()+"\n"), true)
	c.linger()
	return false
}

// linger ends the router's side and reads on for a moment before the close, for a close over unread bytes would take
// the answer back. A body that was refused by its length may be long in coming; so many of them are waited for.
func (c *clientConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	patience, most := lingerFor, int64(lingerMost)
	if c.coming > 0 {
		select {
		case c.side.draining <- struct{}{}:
			defer func() { <-c.side.draining }()
			patience, most = drainFor, min(c.coming, drainMost)
		default:
		}
	}
	c.SetReadDeadline(time.Now().Add(patience))
	io.Copy(io.Discard, io.LimitReader(c.Conn, most))
}

// own answers what is asked of the router itself.
func (c *clientConn) own(req *http.Request, last bool) bool {
	plain := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	switch {
	case req.Method != http.MethodGet:
		return c.write(http.StatusMethodNotAllowed, http.Header{"Allow": {"GET"}}, nil, last)
	case req.URL.Path == "/health/live":
		return c.write(http.StatusOK, plain, []byte("live\n"), last)
	case req.URL.Path == "/health/ready" && c.side.Ready.Load() && !c.side.closing.Load():
		return c.write(http.StatusOK, plain, []byte("ready\n"), last)
	case req.URL.Path == "/health/ready":
		return c.write(http.StatusServiceUnavailable, plain, []byte("not ready\n"), last)
	case req.URL.Path == "/stats":
		return c.write(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, c.side.Counts.JSON(), last)
	}
	return c.write(http.StatusNotFound, plain, []byte("not found\n"), last)
}

// passOn writes a long answer as it comes. Where it breaks the client's connection ends short of what was said, so that the
// client can tell.
func (c *clientConn) passOn(a exchange.Answer, last bool) bool {
	last = last || c.turnAway || c.side.closing.Load()
	chunked := a.Length < 0 && !c.old
	last = last || a.Length < 0 && c.old // it ends with its connection
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
	err := c.writeOn(head, a.Body, chunked)
	buf := make([]byte, restMost/2)
	for err == nil {
		n, ended := a.Rest.Read(buf)
		if n > 0 {
			err = c.writeOn(nil, buf[:n], chunked)
		}
		if err == nil && ended != nil {
			err = ended
		}
	}
	if err != io.EOF {
		c.side.Log.Debug("long answer cut short", "err", err, "client", c.RemoteAddr())
		if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
			tcp.SetLinger(0) // an orderly end could be taken for the answer's
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

// writeOn writes a part of a long answer. A client may be slow; it is given up when it takes nothing for a while.
func (c *clientConn) writeOn(head, part []byte, chunked bool) error {
	if chunked && len(part) > 0 {
		head = fmt.Appendf(head, "%x\r\n", len(part))
	}
	parts := net.Buffers{head, part}
	if chunked && len(part) > 0 {
		parts = append(parts, []byte("\r\n"))
	}
	c.SetWriteDeadline(time.Now().Add(partPatience))
	_, err := parts.WriteTo(c.Conn)
	return err
}

// write writes an answer; false ends the connection.
func (c *clientConn) write(status int, header http.Header, body []byte, last bool) bool {
	last = last || c.turnAway || c.side.closing.Load()
	head := make([]byte, 0, 256)
	head = fmt.Appendf(head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	head = appendHeader(head, header)
	head = fmt.Appendf(head, "Content-Length: %d\r\n", len(body))
	if last {
		head = appendLine(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	c.writing = true
	c.SetWriteDeadline(time.Now().Add(writePatience))
	if _, err := writeMessage(c.Conn, head, body); err != nil {
		c.side.Log.Debug("answer not taken", "err", err, "client", c.RemoteAddr())
		return false
	}
	c.writing = false
	return !last
}
