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
	body, err := admission.ReadRequestBody(q.w, q.Request, q.plan.Limits.BodyBytes, q.deadline(), e.memory.Bodies)
	defer body.Release()
	onDisconnect(q.Request, q.caller.Cancel) // reading the body has cleared it
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
		e.forward(q, body)
	}
}

// holdBody keeps a request's body while it is still being sent to a server that has responded already, and makes a shutdown wait for that.
func (e *Edge) holdBody(body *admission.Body) (release func()) {
	body.Hold()
	e.uploads.begin()
	return func() {
		body.Release()
		e.uploads.done()
	}
}

// dropBody reads the body of a request whose answer does not depend on it: an unread body would hide a disconnect.
func (q *request) dropBody() {
	if q.ContentLength == 0 {
		return
	}
	done := admission.BeginRead(q.w, q.deadline())
	_, err := io.Copy(io.Discard, http.MaxBytesReader(q.w, q.Body, maxIgnoredBody))
	done(err)
}

// deadline returns by when the request's client wants its answer.
func (q *request) deadline() time.Time { return q.arrived.Add(q.timeLeft) }
