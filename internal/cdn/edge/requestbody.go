package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cedarmast/internal/cdn/admission"
)

// maxIgnoredBody bounds the body of a request for an object, which is read and dropped.
const maxIgnoredBody = 256 << 10

// serveWithBody buffers the request body and forwards the request to a server.
func (e *Edge) serveWithBody(q *request) {
	maxBytes := q.plan.Limits.BodyBytes
	if q.ContentLength > maxBytes {
		q.respond(http.StatusRequestEntityTooLarge, nil, nil)
		return
	}
	endLimit := q.limitBodyTime()
	body, err := admission.ReadBody(http.MaxBytesReader(q.w, q.Body, maxBytes), q.ContentLength, e.memory.Bodies)
	defer body.Release()
	endLimit()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, admission.ErrNoRoom):
		q.refuse(defaultRetryAfter)
	case errors.As(err, &tooLarge):
		q.respond(http.StatusRequestEntityTooLarge, nil, nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.closeConn = true
		q.respond(http.StatusRequestTimeout, nil, nil)
	case err != nil:
		q.respond(http.StatusBadRequest, nil, nil)
	default:
		e.forward(q, body.Bytes)
	}
}

// dropBody reads the body of a request whose answer does not depend on it: an unread body would hide a disconnect.
func (q *request) dropBody() {
	defer q.limitBodyTime()()
	io.Copy(io.Discard, http.MaxBytesReader(q.w, q.Body, maxIgnoredBody))
}

// limitBodyTime bounds the time in which the request's body must arrive by the time in which its client wants an answer, until the returned
// function is called.
func (q *request) limitBodyTime() (done func()) {
	if q.ContentLength == 0 {
		return func() {}
	}
	controller := http.NewResponseController(q.w)
	controller.SetReadDeadline(q.arrived.Add(q.timeLeft))
	return func() { controller.SetReadDeadline(time.Time{}) }
}
