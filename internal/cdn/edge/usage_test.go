package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cedarmast/internal/cdn/truetime"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/cdn/usage"

	"gotest.tools/v3/assert"
)

// Requests are counted for tenants by attempts that may have run, and on cacheable routes only by successful responses (2xx), for any
// method.
func TestUsageCounts(t *testing.T) {
	for _, c := range []struct {
		method, target, key string
		notRun              int
		head                []string
		want                int64
	}{
		{"GET", "/r/1", "k-1", 0, nil, 1},
		{"POST", "/o/1", "k-1", 0, nil, 1},
		{"GET", "/r/1", "k-1", 1, nil, 0},
		{"GET", "/r/1", "k-4", 0, nil, 0},
		{"GET", "/u/1", "k-1", 0, nil, 0},
		{"GET", "/s/1", "k-1", 0, nil, 1},
		{"GET", "/s/1", "k-1", 0, []string{"Range", "bytes=0-1"}, 1},
		{"GET", "/s/1", "k-1", 0, []string{"Range", "bytes=9999-"}, 0},
		{"GET", "/s/1", "k-1", 9, nil, 0},
		{"POST", "/s/1", "k-1", 0, nil, 1},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			o := newOrigin(t)
			e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
			e.meter, e.wallClock = usage.NewMeter("me", "1", time.Hour), truetime.New(time.Now(), false)
			o.set(func() { o.notRun = c.notRun })
			e.serve(httptest.NewRecorder(), newRequest(c.method, c.target, append([]string{"Key", c.key}, c.head...)...))
			sum := int64(0)
			for _, counts := range e.meter.Report(time.Now()).Windows {
				for _, n := range counts {
					sum += n
				}
			}
			assert.Equal(t, sum, c.want)
		})
	}
}

// A 304 response to a client that has the object is not counted: it is not a success (2xx).
func TestNotModifiedIsNotCounted(t *testing.T) {
	o := newOrigin(t)
	e, _ := newTestEdge(t, o, keyedRoutesJSON+twoTenantsJSON)
	first, again := httptest.NewRecorder(), httptest.NewRecorder()
	e.serve(first, newRequest("GET", "/s/1", "Key", "k-1"))
	tag := first.Header().Get("Etag")
	assert.Assert(t, tag != "")
	e.meter, e.wallClock = usage.NewMeter("me", "1", time.Hour), truetime.New(time.Now(), false)
	e.serve(again, newRequest("GET", "/s/1", "Key", "k-1", "If-None-Match", tag))
	assert.Equal(t, again.Code, 304)
	assert.Equal(t, len(e.meter.Report(time.Now()).Windows), 0)
}

// newRequest returns a client request for the handler, which returns once the request has been counted.
func newRequest(method, target string, head ...string) *http.Request {
	r := httptest.NewRequest(method, "http://a.example"+target, nil)
	r.RequestURI = target
	r.Header.Set(upstream.HeaderRequestID, "try")
	for i := 0; i+1 < len(head); i += 2 {
		r.Header.Set(head[i], head[i+1])
	}
	return r
}
