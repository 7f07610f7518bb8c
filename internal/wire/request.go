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

// badRequest is the error of a request that violates the protocol, with the status code of its response.
type badRequest struct {
	status  int
	message string
}

// Error returns the message, which is also the response's body.
func (b badRequest) Error() string { return b.message }

// badRequestf returns a badRequest with a formatted message.
func badRequestf(status int, format string, args ...any) error {
	return badRequest{status, fmt.Sprintf(format, args...)}
}

// statusOf returns the status code of the response to a request that failed with err.
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

// maxIDLength is the size limit of a request id, in bytes.
const maxIDLength = 256

// singleRequestHeaders may occur once in a request: of two, some readers use the first and others the last.
var singleRequestHeaders = map[string]bool{"Host": true, headerID: true, headerClass: true, headerTenant: true,
	headerTimeLeft: true, headerIdempotencyKey: true}

// readRequest reads one complete request. The head is validated before the body is read, and the body's length first: of
// a body that is too long nothing is read.
func (c *clientConn) readRequest(arrived time.Time) (*http.Request, exchange.Request, error) {
	var request exchange.Request
	head, err := awaitHead(c.reader, maxEmptyLines)
	if err != nil {
		return nil, request, err
	}
	frame, err := checkHead(head, singleRequestHeaders)
	if err != nil {
		return nil, request, err
	}
	if frame.length > maxBody && frame.length > c.frontend.maxRequestBody() {
		c.refusedLength = frame.length
		return nil, request, ErrBodyTooLarge
	}
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, request, fmt.Errorf("malformed request: %w", err)
	}
	if isStatusRequest(req) {
		if frame.chunked || frame.length > 0 {
			return nil, request, badRequestf(http.StatusBadRequest, "a body can't stand here")
		}
		return req, request, nil
	}
	if request, err = parseRequest(req, arrived, c.frontend.KnownClass); err != nil {
		return nil, request, err
	}
	if req.Header.Get("Expect") == "100-continue" && (frame.chunked || frame.length > 0) {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, request, err
		}
	}
	if frame.chunked || frame.length > 0 {
		if request.Body, err = c.readBody(req.Body, req.ContentLength); err != nil {
			c.releaseBody()
			return nil, request, err
		}
	}
	if c.input.lastRead.After(request.Arrived) { // a request's timeout counts from its last byte
		request.Arrived = c.input.lastRead
	}
	if c.reader.Buffered() > 0 { // clients send one request at a time: the length is wrong, or the client pipelines
		c.releaseBody()
		return nil, request, errPipelined
	}
	return req, request, nil
}

// readBody reads a request body, with a timeout that grows with its length at minBodyRate. Memory for more than maxBody
// bytes is taken from the budget for long bodies.
func (c *clientConn) readBody(body io.Reader, length int64) ([]byte, error) {
	if length > 0 && length <= maxBody {
		c.SetReadDeadline(time.Now().Add(bodyTimeout + time.Duration(float64(length)/minBodyRate*float64(time.Second))))
		return readBody(body, length, maxBody)
	}
	started := time.Now()
	var content []byte
	for {
		if len(content) == cap(content) {
			newCap := max(2*cap(content), maxHead)
			if length > int64(len(content)) {
				newCap = int(min(int64(newCap), length+1)) // one more byte, to read the EOF
			}
			if len(content) >= maxBody {
				if int64(len(content)) >= c.frontend.maxRequestBody() {
					return nil, ErrBodyTooLarge
				}
				release, ok := c.frontend.BodyBudget.Acquire(int64(newCap - cap(content)))
				if !ok {
					return nil, errBudgetExhausted
				}
				c.bodyReleases = append(c.bodyReleases, release)
			}
			content = append(make([]byte, 0, newCap), content...)
		}
		c.SetReadDeadline(started.Add(bodyTimeout + time.Duration(float64(len(content))/minBodyRate*float64(time.Second))))
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// maxRequestBody returns the size limit of a request body in bytes: maxBufferedBody or the budget for long bodies if that is
// smaller, and at least maxBody.
func (s *Frontend) maxRequestBody() int64 {
	if s.BodyBudget == nil {
		return maxBody
	}
	return max(min(maxBufferedBody, s.BodyBudget.Size()), maxBody)
}

// releaseBody returns the memory of the current request body to the budget.
func (c *clientConn) releaseBody() {
	for _, release := range c.bodyReleases {
		release()
	}
	c.bodyReleases = nil
}

// errBudgetExhausted rejects a long request while others use up the budget for long bodies.
var errBudgetExhausted = badRequest{http.StatusServiceUnavailable, "too many long requests at once"}

// errPipelined rejects a client that sends more before its request is answered.
var errPipelined = badRequest{http.StatusBadRequest, "more than one request at a time"}

// isStatusRequest reports whether a request is for the router's own endpoints.
func isStatusRequest(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, "/health/") || req.URL.Path == "/stats"
}

// parseRequest validates a request's head and extracts what the exchange loop needs. If knownClass is nil, any service
// class is accepted.
func parseRequest(req *http.Request, arrived time.Time, knownClass func(class string) bool) (exchange.Request, error) {
	request := exchange.Request{Class: req.Header.Get(headerClass), Tenant: req.Header.Get(headerTenant), Arrived: arrived,
		ID: req.Header.Get(headerID), Method: req.Method, Target: req.RequestURI, Write: req.Method == http.MethodPut}
	class, key := splitPath(req.URL.EscapedPath())
	if request.Class == "" {
		request.Class = class
	}
	switch {
	case req.Method != http.MethodGet && req.Method != http.MethodPut:
		return request, badRequestf(http.StatusMethodNotAllowed, "method %.20q: GET and PUT are taken", req.Method)
	case req.ProtoMajor != 1:
		return request, badRequestf(http.StatusHTTPVersionNotSupported, "%.20q is not spoken", req.Proto)
	case req.Host == "":
		return request, badRequestf(http.StatusBadRequest, "no Host")
	case request.Target[0] != '/':
		return request, badRequestf(http.StatusBadRequest, "target %.40q is no path", request.Target)
	case request.ID == "" || len(request.ID) > maxIDLength:
		return request, badRequestf(http.StatusBadRequest, "%s: missing or over %d bytes", headerID, maxIDLength)
	case request.Class != class:
		return request, badRequestf(http.StatusBadRequest, "%s %.40q, but the path says %.40q", headerClass, request.Class, class)
	case knownClass != nil && !knownClass(request.Class):
		return request, badRequestf(http.StatusNotFound, "unknown class %.40q", request.Class)
	}
	timeLeft, err := parseTimeLeft(req.Header.Get(headerTimeLeft))
	if err != nil {
		return request, badRequest{http.StatusBadRequest, err.Error()}
	}
	request.Timeout = timeLeft
	if key != "" {
		request.Key, request.HasKey = hashKey(key), true
	}
	request.Header = endToEnd(req.Header)
	request.Header.Del(headerTimeLeft)
	request.Header["Host"] = []string{req.Host}
	return request, nil
}

// splitPath returns the first segment of a path, and the last one if there are two or more.
func splitPath(path string) (first, last string) {
	path = strings.TrimPrefix(path, "/")
	first, rest, more := strings.Cut(path, "/")
	if !more {
		return first, ""
	}
	return first, rest[strings.LastIndexByte(rest, '/')+1:]
}

// hashKey returns the FNV-1a hash of a key's name. It must be the same at every router.
func hashKey(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
