package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"

	"gotest.tools/v3/assert"
)

// leftWithin is how long after a leave nothing may be under way any more: the rule's half second, with a margin.
const leftWithin = 400 * time.Millisecond

// slowOrigin is a stand-in server whose requests last until they are told to end or their connection closes.
type slowOrigin struct {
	address string
	begun   chan string   // the target of each request that has reached it
	broken  chan string   // and of each whose connection closed before its end
	status  chan int      // ends the oldest request with this status
	closed  chan struct{} // when the test is over
}

func newSlowOrigin(t *testing.T) *slowOrigin {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	o := &slowOrigin{address: l.Addr().String(), begun: make(chan string, 64), broken: make(chan string, 64), status: make(chan int), closed: make(chan struct{})}
	server := &http.Server{Handler: o}
	go server.Serve(l)
	t.Cleanup(func() { close(o.closed); server.Close() })
	return o
}

func (o *slowOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.begun <- r.URL.Path
	select {
	case status := <-o.status:
		w.Header().Set("Try-Id", r.Header.Get("Try-Id"))
		w.Header().Set("Postmark", "stamp")
		w.WriteHeader(status)
		fmt.Fprint(w, "late")
	case <-r.Context().Done():
		o.broken <- r.URL.Path
	case <-o.closed:
	}
}

// edgeBefore is an edge before two servers at the origin's address.
func edgeBefore(t *testing.T, o *slowOrigin) (f *Edge, address string, give func(clusterstate.Command)) {
	t.Helper()
	f, give = lone(t, &origin{address: o.address}, threeRoutes)
	give(clusterstate.Command{Server: &clusterstate.Server{ID: "i-2", Service: "shop", Address: o.address, Zone: "a", Slots: 8, State: clusterstate.Open, Beat: 1}})
	done := make(chan struct{})
	f.later(func() { close(done) })
	<-done
	return f, strings.TrimPrefix(listen(t, f), "http://"), give
}

// send opens a client's connection and sends a request over it.
func send(t *testing.T, address, method, target string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nTry-Id: %s\r\nTime-Left: 2000\r\nContent-Length: 0\r\n\r\n", method, target, strings.ReplaceAll(target, "/", "-"))
	assert.NilError(t, err)
	return c
}

// gets waits for a word of a channel.
func gets[T any](t *testing.T, from <-chan T, within time.Duration, what string) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(within):
		t.Fatalf("%s: not within %s", what, within)
		panic("unreachable")
	}
}

// eventually looks often until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	late, look := time.After(2*time.Second), time.NewTicker(time.Millisecond)
	defer look.Stop()
	for !holds() {
		select {
		case <-late:
			t.Fatalf("%s: not within two seconds", what)
		case <-look.C:
		}
	}
}

// The work for a client that has left ends, where it may be repeated: its server sees the connection close, and no further server is
// asked. It is the incident GONE: the proxy told its decisions nothing of a leave, and its sender looked at its context only while it dialled.
func TestWorkEndsWhenItsClientLeaves(t *testing.T) {
	o := newSlowOrigin(t)
	_, address, _ := edgeBefore(t, o)
	c := send(t, address, "GET", "/r/1")
	gets(t, o.begun, time.Second, "the request at a server")
	c.Close()
	gets(t, o.broken, leftWithin, "the end of the work for a client that has left")
}

// No further server is asked for a client that has left, when the first one fails afterwards.
func TestNoFurtherTryForAClientThatLeft(t *testing.T) {
	o := newSlowOrigin(t)
	f, address, _ := edgeBefore(t, o)
	c := send(t, address, "GET", "/r/2")
	gets(t, o.begun, time.Second, "the request at a server")
	c.Close()
	eventually(t, "the leave is seen", func() bool { return f.callers.Left() > 0 })
	select {
	case o.status <- http.StatusInternalServerError:
	case <-o.broken: // the attempt was broken off already
	}
	c = send(t, address, "GET", "/r/3") // whatever the edge would send for the first has been decided on before this one
	for {
		target := gets(t, o.begun, time.Second, "the next client's request")
		assert.Assert(t, target != "/r/2", "sent once more for a client that has left")
		if target == "/r/3" {
			break
		}
	}
	o.status <- http.StatusOK
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
