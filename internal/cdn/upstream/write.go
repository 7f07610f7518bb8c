package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// firstWriteBytes is the length of a body, in bytes, up to which it is written together with its head. The rest of a longer one is written
// while the response is read. A connection takes that many bytes whether or not the server reads.
const firstWriteBytes = 16 << 10

// sendProgress is how far a request got on its way to a server.
type sendProgress int

const (
	notSent        sendProgress = iota // its head was certainly not sent whole: it has not run
	headEndRefused                     // it was counted as sent, but the connection did not accept the end of its head: it has not run
	maybeSent                          // its head may have been sent: it may have run, however much of its body was sent
)

var (
	errNotSent         = errors.New("request not sent")
	errConnClosedEarly = errors.New("connection closed before the request was sent")
)

// write writes the head of the request, with a header that names the tenant if there is one, and the beginning of its body. What is left of
// the body is written by the returned upload, so that a response that comes before the request is complete can be read. Once progress is
// maybeSent a failed write is reported by the upload, since the server may have responded all the same; nil stands for an upload that has
// sent everything.
//
// A server may run a request as soon as it has its head. The last byte of a once-only request's head is therefore held back for
// headEndDelay, so that a connection that the server has dropped is detected while the request certainly has not run. The permission is
// rechecked before that byte. If the attempt is to finish although its caller is cancelled, stopWatch is called before it, so that a
// cancellation no longer closes the connection.
func (c *conn) write(a *exchange.Attempt, o *OriginRequest, tenant string, stopWatch func() bool) (sendProgress, *upload, error) {
	head := requestHead(a, o, tenant)
	if o.OnceOnly {
		last := len(head) - 1
		if _, err := c.Conn.Write(head[:last]); err != nil {
			return notSent, nil, err
		}
		time.Sleep(headEndDelay)
		if state := socket.Peek(c.Conn); state == socket.Closed || state == socket.Unread { // no response can be to half a head
			return notSent, nil, errConnClosedEarly
		}
		head = head[last:]
	}
	if err := o.recheckPermit(tenant); err != nil {
		return notSent, nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if o.policy() == cancellation.Finish && !stopWatch() || !o.beginAttempt(tenant, a.Deadline) {
		return notSent, nil, errNotSent
	}
	first := min(len(a.Body), firstWriteBytes)
	written, err := c.Conn.Write(append(head, a.Body[:first]...))
	switch {
	case err == nil && first == len(a.Body):
		return maybeSent, nil, nil
	case err == nil:
		return maybeSent, startUpload(c, a.Body[first:], func() error { return o.recheckPermit(tenant) }), nil
	case o.OnceOnly && written == 0:
		o.uncountAttempt()
		return headEndRefused, nil, err
	}
	return maybeSent, failedUpload(err), nil
}

// requestHead returns the head of an attempt's request.
func requestHead(a *exchange.Attempt, o *OriginRequest, tenant string) []byte {
	head := make([]byte, 0, 512+min(len(a.Body), firstWriteBytes)) // with room for the beginning of the body
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
	return append(head, "\r\n"...)
}
