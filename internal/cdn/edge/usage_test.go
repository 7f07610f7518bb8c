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

// What a proxy counts for tenants: by begun runs, and on shelved routes by successes (2xx) alone, whatever the method.
func TestWhatAProxyCounts(t *testing.T) {
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
			f, _ := lone(t, o, keyedRoutes+twoTenants)
			f.meter, f.truth = usage.NewMeter("me", "1", time.Hour), truetime.New(time.Now(), false)
			o.set(func() { o.notRun = c.notRun })
			f.serve(httptest.NewRecorder(), asked(c.method, c.target, append([]string{"Key", c.key}, c.head...)...))
			sum := int64(0)
			for _, counts := range f.meter.Report(time.Now()).Windows {
				for _, n := range counts {
					sum += n
				}
			}
			assert.Equal(t, sum, c.want)
		})
	}
}

// A client that has the object is answered 304, which is no success (2xx).
func TestNotModifiedIsNoSuccess(t *testing.T) {
	o := newOrigin(t)
	f, _ := lone(t, o, keyedRoutes+twoTenants)
	first, again := httptest.NewRecorder(), httptest.NewRecorder()
	f.serve(first, asked("GET", "/s/1", "Key", "k-1"))
	tag := first.Header().Get("Etag")
	assert.Assert(t, tag != "")
	f.meter, f.truth = usage.NewMeter("me", "1", time.Hour), truetime.New(time.Now(), false)
	f.serve(again, asked("GET", "/s/1", "Key", "k-1", "If-None-Match", tag))
	assert.Equal(t, again.Code, 304)
	assert.Equal(t, len(f.meter.Report(time.Now()).Windows), 0)
}

// asked is a client's request as the handler gets it: it returns once the request has been counted.
func asked(method, target string, head ...string) *http.Request {
	r := httptest.NewRequest(method, "http://a.example"+target, nil)
	r.RequestURI = target
	r.Header.Set(upstream.HeaderID, "try")
	for i := 0; i+1 < len(head); i += 2 {
		r.Header.Set(head[i], head[i+1])
	}
	return r
}
