package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cedarmast/internal/cdn/truetime"
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
			f.get(t, http.DefaultClient, listen(t, f), c.method, c.target, "", append([]string{"Key", c.key}, c.head...)...)
			time.Sleep(20 * time.Millisecond) // the count follows the answer
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
	url := listen(t, f)
	tag := f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-1").header.Get("Etag")
	assert.Assert(t, tag != "")
	f.meter, f.truth = usage.NewMeter("me", "1", time.Hour), truetime.New(time.Now(), false)
	assert.Equal(t, f.get(t, http.DefaultClient, url, "GET", "/s/1", "", "Key", "k-1", "If-None-Match", tag).status, 304)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(f.meter.Report(time.Now()).Windows), 0)
}

// What a server refuses by a reset, as one over its connections does, was not begun by it; how it is counted.
func TestATryThatFailsIsCountedAsBegun(t *testing.T) {
	o := newOrigin(t)
	f, _ := lone(t, o, keyedRoutes+twoTenants)
	f.meter, f.truth = usage.NewMeter("me", "1", time.Hour), truetime.New(time.Now(), false)
	url := listen(t, f)
	for range 3 {
		f.get(t, http.DefaultClient, url, "GET", "/r/1", "", "Key", "k-1")
	}
	time.Sleep(20 * time.Millisecond)
	for _, counts := range f.meter.Report(time.Now()).Windows {
		assert.DeepEqual(t, counts, usage.Counts{"wax": 3})
	}
}
