package wire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cedarmast/internal/exchange"
)

// badRequest is the error of a message that breaks the protocol, with the status that it is answered.
type badRequest struct {
	status int
	says   string
}

func (b badRequest) Error() string { return b.says }

func badf(status int, format string, args ...any) error {
	return badRequest{status, fmt.Sprintf(format, args...)}
}

// statusOf is what a request's fault is answered with.
func statusOf(err error) int {
	var bad badRequest
	switch {
	case errors.As(err, &bad):
		return bad.status
	case errors.Is(err, ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// maxID is the longest id that a request may have.
const maxID = 256

// onceInRequest are the headers that a request may have once: of two, one reader takes the first, another the last.
var onceInRequest = map[string]bool{"Host": true, headerID: true, headerClass: true, headerTenant: true,
	headerTimeLeft: true, headerKeyed: true}

// read reads one request whole. All that its head tells is checked before anything of its body is waited for, and its
// length first: of a body that is too long nothing is read.
func (c *clientConn) read(at time.Time) (*http.Request, exchange.Request, error) {
	var q exchange.Request
	text, err := awaitHead(c.r, maxEmptyLines)
	if err != nil {
		return nil, q, err
	}
	frame, err := checkHead(text, onceInRequest)
	if err != nil {
		return nil, q, err
	}
	if frame.length > maxBody && frame.length > c.side.longest() {
		c.coming = frame.length
		return nil, q, ErrBodyTooLarge
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, q, fmt.Errorf("malformed request: %w", err)
	}
	if isOwn(req) {
		if frame.chunked || frame.length > 0 {
			return nil, q, badf(http.StatusBadRequest, "a body can't stand here")
		}
		return req, q, nil
	}
	if q, err = parseRequest(req, at, c.side.Knows); err != nil {
		return nil, q, err
	}
	if req.Header.Get("Expect") == "100-continue" && (frame.chunked || frame.length > 0) {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, q, err
		}
	}
	if frame.chunked || frame.length > 0 {
		if q.Body, err = c.readBody(req.Body, req.ContentLength); err != nil {
			c.letBody()
			return nil, q, err
		}
	}
	if c.in.last.After(q.Arrived) { // a request's time counts from its last byte
		q.Arrived = c.in.last
	}
	if c.r.Buffered() > 0 { // clients send one request at a time: this one's length is wrong, or it is no usual client
		c.letBody()
		return nil, q, errMore
	}
	return req, q, nil
}

// readBody reads a body at its client's pace, as long as that is no less than it must be. Past the usual bound its bytes
// are taken from the budget.
func (c *clientConn) readBody(body io.Reader, length int64) ([]byte, error) {
	if length > 0 && length <= maxBody {
		c.SetReadDeadline(time.Now().Add(bodyPatience + time.Duration(float64(length)/bodyRate*float64(time.Second))))
		return readBody(body, length, maxBody)
	}
	begun := time.Now()
	var text []byte
	for {
		if len(text) == cap(text) {
			grown := max(2*cap(text), maxHead)
			if length > int64(len(text)) {
				grown = int(min(int64(grown), length+1)) // one more, for its end to be read
			}
			if len(text) >= maxBody {
				if int64(len(text)) >= c.side.longest() {
					return nil, ErrBodyTooLarge
				}
				let, ok := c.side.Long.Take(int64(grown - cap(text)))
				if !ok {
					return nil, errNoRoom
				}
				c.held = append(c.held, let)
			}
			text = append(make([]byte, 0, grown), text...)
		}
		c.SetReadDeadline(begun.Add(bodyPatience + time.Duration(float64(len(text))/bodyRate*float64(time.Second))))
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// longest is the longest body that is taken, by the bound and by the memory for long ones.
func (s *Clients) longest() int64 {
	if s.Long == nil {
		return maxBody
	}
	return max(min(maxHeld, s.Long.Most()), maxBody)
}

// letBody gives back what the body in hand has of the budget.
func (c *clientConn) letBody() {
	for _, let := range c.held {
		let()
	}
	c.held = nil
}

// errNoRoom is the answer to a long request while others fill the memory that there is for them.
var errNoRoom = badRequest{http.StatusServiceUnavailable, "too many long requests at once"}

// errMore is the fault of a client that sends on before it is answered.
var errMore = badRequest{http.StatusBadRequest, "more than one request at a time"}

// isOwn tells whether the router itself is asked.
func isOwn(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, "/health/") || req.URL.Path == "/stats"
}

// parseRequest checks a request's head and reads from it what the decisions need. Where no classes are known, any is.
func parseRequest(req *http.Request, at time.Time, knows func(class string) bool) (exchange.Request, error) {
	r := exchange.Request{Class: req.Header.Get(headerClass), Tenant: req.Header.Get(headerTenant), Arrived: at,
		ID: req.Header.Get(headerID), Method: req.Method, Target: req.RequestURI, Write: req.Method == http.MethodPut}
	class, key := splitPath(req.URL.EscapedPath())
	if r.Class == "" {
		r.Class = class
	}
	switch {
	case req.Method != http.MethodGet && req.Method != http.MethodPut:
		return r, badf(http.StatusMethodNotAllowed, "method %.20q: GET and PUT are taken", req.Method)
	case req.ProtoMajor != 1:
		return r, badf(http.StatusHTTPVersionNotSupported, "%.20q is not spoken", req.Proto)
	case req.Host == "":
		return r, badf(http.StatusBadRequest, "no Host")
	case r.Target[0] != '/':
		return r, badf(http.StatusBadRequest, "target %.40q is no path", r.Target)
	case r.ID == "" || len(r.ID) > maxID:
		return r, badf(http.StatusBadRequest, "%s: missing or over %d bytes", headerID, maxID)
	case r.Class != class:
		return r, badf(http.StatusBadRequest, "%s %.40q, but the path says %.40q", headerClass, r.Class, class)
	case knows != nil && !knows(r.Class):
		return r, badf(http.StatusNotFound, "unknown class %.40q", r.Class)
	}
	left, err := parseTimeLeft(req.Header.Get(headerTimeLeft))
	if err != nil {
		return r, badRequest{http.StatusBadRequest, err.Error()}
	}
	r.TimeLeft = left
	if key != "" {
		r.Key, r.HasKey = hashKey(key), true
	}
	r.Header = endToEnd(req.Header)
	r.Header.Del(headerTimeLeft)
	r.Header["Host"] = []string{req.Host}
	return r, nil
}

// splitPath returns a path's first part, and its last if there are two or more.
func splitPath(path string) (first, last string) {
	path = strings.TrimPrefix(path, "/")
	first, rest, more := strings.Cut(path, "/")
	if !more {
		return first, ""
	}
	return first, rest[strings.LastIndexByte(rest, '/')+1:]
}

// hashKey maps a key's name to a number, by FNV-1a: the same at every router.
func hashKey(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
