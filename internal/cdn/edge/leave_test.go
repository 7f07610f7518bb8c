package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"

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
	reset   chan struct{} // ends it with its connection
	closed  chan struct{} // when the test is over
}

func newSlowOrigin(t *testing.T) *slowOrigin {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	o := &slowOrigin{address: l.Addr().String(), begun: make(chan string, 64), broken: make(chan string, 64), status: make(chan int), reset: make(chan struct{}), closed: make(chan struct{})}
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
	case <-o.reset:
		panic(http.ErrAbortHandler)
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

// What may run once is finished once it was sent, though its client leaves, and goes to no second server: a break-off would undo nothing.
func TestWhatMayRunOnceIsFinished(t *testing.T) {
	o := newSlowOrigin(t)
	f, address, _ := edgeBefore(t, o)
	c := send(t, address, "POST", "/o/1")
	gets(t, o.begun, time.Second, "the request at a server")
	c.Close()
	eventually(t, "the leave is seen", func() bool { return f.callers.Left() > 0 })
	o.status <- http.StatusInternalServerError // nobody broke it off
	c = send(t, address, "POST", "/o/2")
	assert.Equal(t, gets(t, o.begun, time.Second, "the next request"), "/o/2")
	o.status <- http.StatusOK
	assert.Equal(t, status(t, c), http.StatusOK)
	assert.Equal(t, f.callers.Violations(), int64(0))
}

// A client that only ends its sending side still gets its answer.
func TestAHalfClosedClientGetsItsAnswer(t *testing.T) {
	o := newSlowOrigin(t)
	f, address, _ := edgeBefore(t, o)
	for _, target := range []string{"/r/1", "/o/1", "/s/1"} {
		c := send(t, address, "GET", target)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		gets(t, o.begun, time.Second, "the request at a server")
		o.status <- http.StatusOK
		assert.Equal(t, status(t, c), http.StatusOK, target)
	}
	assert.Equal(t, f.callers.Left(), int64(0))
}

// status reads the final answer on a connection.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		if resp.StatusCode >= 200 {
			return resp.StatusCode
		}
	}
}

// withoutCopies is a configuration whose routes let no copies be kept.
func withoutCopies() clusterstate.Command {
	routes := strings.ReplaceAll(threeRoutes, `"shelf":"20s"`, `"shelf":"0ms"`)
	return clusterstate.Command{Put: []byte(`{"edition":"r2","based_on":"r1","parcels":[` + routes + `{"parcel_kind":"carriers","label":{"name":"shop"},"manifest":{}}]}`)}
}

// A fetch that several wait for goes on while one of them waits, and for a route without copies it ends when the last has left. What becomes a
// copy is finished, and whoever asks meanwhile has it.
func TestAGatheredFetchEndsWithTheLastWhoWaits(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		t.Run(fmt.Sprint("copies ", keeps), func(t *testing.T) {
			o := newSlowOrigin(t)
			f, address, give := edgeBefore(t, o)
			if !keeps {
				give(withoutCopies())
			}
			waiting := func(n int) func() bool {
				return func() bool {
					f.fetches.mu.Lock()
					defer f.fetches.mu.Unlock()
					all := 0
					for _, w := range f.fetches.all {
						all += w.waiting
					}
					return all == n
				}
			}
			one := send(t, address, "GET", "/s/1")
			gets(t, o.begun, time.Second, "the fetch at a server")
			two := send(t, address, "GET", "/s/1")
			eventually(t, "both wait", waiting(2))
			one.Close()
			eventually(t, "one waits", waiting(1))
			o.status <- http.StatusOK
			assert.Equal(t, status(t, two), http.StatusOK)

			three := send(t, address, "GET", "/s/2")
			gets(t, o.begun, time.Second, "another fetch at a server")
			three.Close()
			if !keeps {
				assert.Equal(t, gets(t, o.broken, leftWithin, "the end of a fetch that nobody waits for"), "/s/2")
				eventually(t, "it is let go", func() bool { f.fetches.mu.Lock(); defer f.fetches.mu.Unlock(); return len(f.fetches.all) == 0 })
				assert.Equal(t, f.callers.Violations(), int64(0))
				return
			}
			eventually(t, "nobody waits", waiting(0))
			four := send(t, address, "GET", "/s/2")
			eventually(t, "one waits for what is finished", waiting(1))
			o.status <- http.StatusOK
			assert.Equal(t, status(t, four), http.StatusOK)
			assert.Equal(t, len(o.begun), 0, "one fetch for both")
			assert.Equal(t, f.callers.Violations(), int64(0))
		})
	}
}

// A fetch that was begun for one who has left, and fails, is begun anew for one who came meanwhile.
func TestWhoComesBehindOneThatLeftIsServed(t *testing.T) {
	o := newSlowOrigin(t)
	f, address, _ := edgeBefore(t, o)
	one := send(t, address, "GET", "/s/1")
	gets(t, o.begun, time.Second, "the fetch at a server")
	one.Close()
	eventually(t, "the leave has reached the fetch", func() bool { return f.callers.Left() > 1 })
	two := send(t, address, "GET", "/s/1")
	eventually(t, "it waits", func() bool {
		f.fetches.mu.Lock()
		defer f.fetches.mu.Unlock()
		for _, w := range f.fetches.all {
			return w.waiting == 1
		}
		return false
	})
	o.reset <- struct{}{}
	gets(t, o.begun, time.Second, "a fetch anew")
	o.status <- http.StatusOK
	assert.Equal(t, status(t, two), http.StatusOK)
}

// The cache router that was asked learns of a leave too, and its server as well; the one who asked does not blame it.
func TestANeighbourLearnsOfALeave(t *testing.T) {
	o := newSlowOrigin(t)
	lender, _, toLender := edgeBefore(t, o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go peerrpc.Serve(l, "Edge", func(s *peerrpc.Session) any { return &peerCalls{lender, s} })
	asker, address, give := edgeBefore(t, o)
	give(withoutCopies())
	toLender(withoutCopies())
	give(clusterstate.Command{Enrol: []clusterstate.Router{{Node: "lender", Zone: "a", Address: l.Addr().String()}}})
	give(clusterstate.Command{Absent: "me"})
	done := make(chan struct{})
	asker.later(func() { close(done) })
	<-done
	c := send(t, address, "GET", "/s/1")
	gets(t, o.begun, time.Second, "the fetch at a server, by way of the lender")
	assert.Assert(t, lender.callers.Left() == 0)
	c.Close()
	gets(t, o.broken, leftWithin, "the end of the work two processes on")
	eventually(t, "the lender has seen it", func() bool { return lender.callers.Left() > 0 })
	assert.Equal(t, asker.counts.Results[balance.Reset].Load()+asker.counts.Results[balance.NoConnect].Load(), int64(0), "the lender is not to blame")
	assert.Equal(t, asker.callers.Violations()+lender.callers.Violations(), int64(0))
}

// A client whose question joins a fetch that takes longer than it waits is answered in its own time.
func TestAGatheredFetchKeepsNobodyPastHisTime(t *testing.T) {
	o := newSlowOrigin(t)
	_, address, _ := edgeBefore(t, o)
	send(t, address, "GET", "/s/1")
	gets(t, o.begun, time.Second, "the fetch at a server")
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET /s/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: hasty\r\nTime-Left: 300\r\n\r\n")
	begun := time.Now()
	assert.Equal(t, status(t, c), http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begun) < 600*time.Millisecond)
}

// A copy that nobody wants any more is not asked about for ever: a router that is its own shield does not take its own question for a want.
func TestRefreshingEnds(t *testing.T) {
	o := newOrigin(t)
	f, give := lone(t, o, strings.ReplaceAll(threeRoutes, `"shelf":"20s"`, `"shelf":"40ms"`))
	give(clusterstate.Command{Absent: "me"})
	give(clusterstate.Command{Enrol: []clusterstate.Router{{Node: "me", Zone: "a", Address: "127.0.0.1:1"}}}) // one that can be asked
	url := listen(t, f)
	assert.Equal(t, f.get(t, http.DefaultClient, url, "GET", "/s/1", "").status, 200)
	turn, over := time.NewTicker(5*time.Millisecond), time.After(600*time.Millisecond) // fifteen times the copy's time
	defer turn.Stop()
	for {
		select {
		case now := <-turn.C:
			f.refreshDue(now)
			continue
		case <-over:
		}
		break
	}
	assert.Assert(t, len(o.seen()) <= 5, "asked again and again: %d times", len(o.seen()))
}

// An object's request may have a body, which says nothing; its client's leave is seen all the same.
func TestALeaveBehindAnObjectsBody(t *testing.T) {
	o := newSlowOrigin(t)
	_, address, give := edgeBefore(t, o)
	give(withoutCopies())
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	fmt.Fprint(c, "GET /s/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: bodily\r\nTime-Left: 2000\r\nContent-Length: 5\r\n\r\nhello")
	gets(t, o.begun, time.Second, "the fetch at a server")
	c.Close()
	gets(t, o.broken, leftWithin, "the end of the work for a client that has left")
}
