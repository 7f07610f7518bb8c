package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
	"cedarmast/internal/standin"
)

// discardConn discards everything that is written to it.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error)     { return len(p), nil }
func (discardConn) SetReadDeadline(time.Time) error { return nil }

// fakeLoop is a RequestHandler that passes submitted exchanges and disconnected clients to the test.
type fakeLoop struct {
	submitted, disconnected chan *exchange.Exchange
	timeout                 time.Duration
}

func (t *fakeLoop) Submit(x *exchange.Exchange) {
	x.Deadline = time.Now().Add(t.timeout)
	t.submitted <- x
}
func (t *fakeLoop) ClientDisconnected(x *exchange.Exchange) { t.disconnected <- x }

// testFrontend is a Frontend that serves a local listener, with a fakeLoop behind it unless the test has its own RequestHandler.
type testFrontend struct {
	*Frontend
	*fakeLoop
	address string
}

func newTestFrontend(t *testing.T, maxConns int, handler RequestHandler) *testFrontend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loop := &fakeLoop{submitted: make(chan *exchange.Exchange, 100), disconnected: make(chan *exchange.Exchange, 100), timeout: time.Second}
	if handler == nil {
		handler = loop
	}
	s := &testFrontend{NewFrontend(handler, &exchange.Counters{}, slog.New(slog.DiscardHandler), maxConns), loop, l.Addr().String()}
	s.Ready.Store(true)
	done := make(chan struct{})
	go func() { s.Serve(l); close(done) }()
	t.Cleanup(func() {
		l.Close()
		s.CloseIdle()
		s.Wait()
		<-done
	})
	return s
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	r *bufio.Reader
}

func (s *testFrontend) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

// newGetRequest returns a valid request with a new id.
func newGetRequest() string { return getRequestWithID(fmt.Sprint("id", nextID.Add(1))) }

var nextID atomic.Int64

func getRequestWithID(id string) string {
	return "GET /read/k HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: read\r\nX-Time-Left: 900m\r\n\r\n"
}

func (c *testClient) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func (c *testClient) receive(t *testing.T) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestStatusEndpoints(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	c := s.dial(t)
	s.Ready.Store(false)
	for _, q := range []struct {
		method, path string
		status       int
	}{{"GET", "/health/live", 200}, {"GET", "/health/ready", 503}, {"GET", "/health/else", 404}, {"GET", "/stats", 200},
		{"PUT", "/stats", 405}} {
		c.send(t, q.method+" "+q.path+" HTTP/1.1\r\nHost: b\r\n\r\n")
		if resp, body := c.receive(t); resp.StatusCode != q.status || q.path == "/stats" && q.status == 200 &&
			!strings.Contains(body, `"accepted": 1`) {
			t.Errorf("%s %s: %d %s", q.method, q.path, resp.StatusCode, body)
		}
	}
	s.Ready.Store(true)
	c.send(t, "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n")
	if resp, _ := c.receive(t); resp.StatusCode != 200 {
		t.Errorf("ready: %d", resp.StatusCode)
	}
}

func TestRequestReadInSmallPieces(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	c := s.dial(t)
	text := "PUT /tally-add/k%201?x=1 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Account: acme\r\nX-Time-Left: 250m\r\n" +
		"Idempotency-Key: 9\r\nContent-Length: 5\r\n\r\nvalue"
	for _, b := range []byte(text) { // one byte at a time
		c.send(t, string(b))
	}
	x := <-s.submitted
	if x.Class != "tally-add" || x.Tenant != "acme" || !x.Write || x.Key != hashKey("k%201") || !x.HasKey ||
		x.Timeout != 250*time.Millisecond || string(x.Body) != "value" || x.Target != "/tally-add/k%201?x=1" ||
		x.Header.Get("Idempotency-Key") != "9" || x.Header.Get(headerTimeLeft) != "" {
		t.Errorf("read as %+v", x.Request)
	}
}

// A request that violates the protocol is answered with one error status (4xx or 505), its connection is closed, and
// nothing of it is submitted. The valid request that most cases are derived from is accepted.
func TestBadMessages(t *testing.T) {
	head := "PUT /w/k HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Service-Class: w\r\nX-Time-Left: 900m\r\n"
	good := head + "Content-Length: 5\r\n\r\nvalue"
	with := func(old, new string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("no %q in it", old)
		}
		return strings.Replace(good, old, new, 1)
	}
	hidden := "GET /read/k HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 2\r\n\r\n"
	for name, bad := range map[string]struct {
		text   string
		status int
	}{
		"no HTTP":               {"what?\r\n\r\n", 400},
		"noise":                 {"\x00\xff\x01\r\n\r\n", 400},
		"empty lines":           {strings.Repeat("\r\n", 1000), 400},
		"bare line ends":        {strings.ReplaceAll(good, "\r\n", "\n"), 400},
		"no id":                 {with("X-Correlation-Id: 1\r\n", ""), 400},
		"two ids":               {with("X-Correlation-Id: 1\r\n", "X-Correlation-Id: 1\r\nx-correlation-id: 2\r\n"), 400},
		"no host":               {with("Host: b\r\n", ""), 400},
		"no time":               {with("X-Time-Left: 900m\r\n", ""), 400},
		"bad time":              {with("900m", "soon"), 400},
		"unknown class":         {with("w\r\n", "x\r\n"), 400}, // differs from the class in the path
		"unknown class in both": {strings.ReplaceAll(strings.Replace(good, "/w/", "/x/", 1), "Class: w", "Class: x"), 404},
		"unknown method":        {with("PUT", "DELETE"), 405},
		"target is no path":     {with("/w/k", "http://b/w/k"), 400},
		"unknown version":       {with("HTTP/1.1", "HTTP/2.0"), 505},
		"folded line":           {with("Host: b\r\n", "Host: b\r\n c\r\n"), 400},
		"space before colon":    {with("Content-Length:", "Content-Length :"), 400},
		"control byte":          {with("Host: b", "Host: b\x01"), 400},
		"head too large":        {with("Host: b", "Host: b\r\nX: "+strings.Repeat("x", maxHead)), 431},
		"body too large":        {with("5\r\n\r\nvalue", "65537\r\n\r\n"), 413},
		"huge length":           {with("5\r\n\r\nvalue", strings.Repeat("9", 30)+"\r\n\r\n"), 400},
		"negative length":       {with(": 5", ": -5"), 400},
		"signed length":         {with(": 5", ": +5"), 400},
		"two lengths":           {with("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 5"), 400},
		"length and chunks":     {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"chunks and length":     {head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, 400},
		"unknown coding":        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		"endless chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000), 413},
		"malformed chunks":      {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"length too small":      {with("5\r\n", "3\r\n"), 400},
		"many at once":          {strings.Repeat(good, 100), 400},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestFrontend(t, 10, nil)
			s.KnownClass = func(class string) bool { return class == "w" }
			c := s.dial(t)
			c.send(t, bad.text)
			if resp, _ := c.receive(t); resp.StatusCode != bad.status || !resp.Close {
				t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
			}
			if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("not closed: %v", err)
			}
			if len(s.submitted) != 0 || s.Counters.BadRequests.Load() != 1 {
				t.Error("it was submitted as a request")
			}
		})
	}
	s := newTestFrontend(t, 10, nil)
	s.dial(t).send(t, good)
	if x := <-s.submitted; string(x.Body) != "value" {
		t.Errorf("the valid request was read as %+v", x.Request)
	}
}

// A client that connects and sends nothing, or never completes its request, is disconnected after a timeout, with status
// 408 if it has sent anything. Without the timeout it would hold memory and a file descriptor for any length of time.
func TestSilentClientsTimeOut(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	started := time.Now()
	silent, half := s.dial(t), s.dial(t)
	half.send(t, "GET /read/k HTTP/1.1\r\nHo")
	if _, err := silent.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent one: %v", err)
	}
	if resp, _ := half.receive(t); resp.StatusCode != 408 {
		t.Errorf("half a request: %d", resp.StatusCode)
	}
	if took := time.Since(started); took > 2900*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// A body of many megabytes is refused because of its length. The client, which keeps sending at full speed, still gets the
// answer: closing the socket with unread input would reset the connection, and the answer would be lost.
func TestLongBodyIsRefusedOnItsHead(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	c := s.dial(t)
	const length = 8 << 20
	fmt.Fprintf(c, "PUT /w/k HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: 1\r\nX-Time-Left: 900m\r\nContent-Length: %d\r\n\r\n", length)
	piece := make([]byte, 64<<10)
	for sent := 0; sent < length; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	if resp, _ := c.receive(t); resp.StatusCode != 413 || !resp.Close {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// A second request with the id of a request in flight is rejected, and the first one is not affected. After the first
// answer the id can be used again.
func TestDuplicateIDInFlight(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	first, second := s.dial(t), s.dial(t)
	first.send(t, getRequestWithID("x"))
	inFlight := <-s.submitted
	second.send(t, getRequestWithID("x"))
	if resp, _ := second.receive(t); resp.StatusCode != 409 || !resp.Close {
		t.Errorf("the second: %d", resp.StatusCode)
	}
	inFlight.SetAnswer(exchange.Answer{Kind: exchange.Served, Body: []byte("v")})
	if resp, body := first.receive(t); resp.StatusCode != 200 || body != "v" {
		t.Errorf("the first: %d %q", resp.StatusCode, body)
	}
	standin.Eventually(t, "the id is free", func() bool { // released after the answer is written, so the client may see the answer first
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.inFlightIDs) == 0
	})
	third := s.dial(t)
	third.send(t, getRequestWithID("x"))
	(<-s.submitted).SetAnswer(exchange.Answer{Kind: exchange.Served})
	if resp, _ := third.receive(t); resp.StatusCode != 200 {
		t.Errorf("afterwards: %d", resp.StatusCode)
	}
}

func TestClientDisconnectsWhileWaiting(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	c := s.dial(t)
	c.send(t, newGetRequest())
	x := <-s.submitted
	c.Close()
	select {
	case gone := <-s.disconnected:
		if gone != x {
			t.Error("the disconnect of another client was reported")
		}
	case <-time.After(time.Second):
		t.Fatal("the disconnect was not noticed")
	}
	standin.Eventually(t, "the connection is closed", func() bool { return s.Counters.ClientsOpen.Load() == 0 })
}

// Input before the answer ends the exchange: the body length was wrong, or the client pipelines requests. The router does
// not guess which, and serves none of them.
func TestPipelinedRequestRejected(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	c := s.dial(t)
	c.send(t, newGetRequest())
	x := <-s.submitted
	c.send(t, newGetRequest())
	if resp, _ := c.receive(t); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("status %d", resp.StatusCode)
	}
	if gone := <-s.disconnected; gone != x {
		t.Error("the disconnect of another client was reported")
	}
}

// If the loop does not answer, the client still gets a response: 504, which does not say whether the request was processed.
func TestAnswerWhenLoopHangs(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	s.timeout = 20 * time.Millisecond
	c := s.dial(t)
	c.send(t, newGetRequest())
	if resp, _ := c.receive(t); resp.StatusCode != 504 {
		t.Errorf("status %d", resp.StatusCode)
	}
	<-s.disconnected
	if s.Counters.Overdue.Load() != 1 {
		t.Error("not counted")
	}
}

// A panic closes only the connection it occurred on, and its request is answered.
func TestPanicOnAConnection(t *testing.T) {
	s := newTestFrontend(t, 10, panickingHandler{})
	c := s.dial(t)
	c.send(t, newGetRequest())
	if resp, _ := c.receive(t); resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	c = s.dial(t)
	c.send(t, "GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n")
	if resp, _ := c.receive(t); resp.StatusCode != 200 || s.Counters.Panics.Load() != 1 {
		t.Errorf("then: status %d, %d panics", resp.StatusCode, s.Counters.Panics.Load())
	}
}

type panickingHandler struct{}

func (panickingHandler) Submit(*exchange.Exchange)             { panic("boom") }
func (panickingHandler) ClientDisconnected(*exchange.Exchange) {}

// Over the limit idle connections are closed, the oldest first. If a request would be refused otherwise, connections that
// have been idle for a short time are closed too, first those with one request so far. If all are busy, the request on the
// new connection is refused.
func TestClientLimit(t *testing.T) {
	s := newTestFrontend(t, 4, nil)
	var conns []*testClient
	for i := range 4 {
		c := s.dial(t)
		for range 1 + min(1, i%3) { // the first and the last send one request, the others two
			c.send(t, "GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n")
			c.receive(t)
		}
		conns = append(conns, c)
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(2 * hardMinIdle)
	isClosed := func(c *testClient, timeout time.Duration) bool {
		c.SetReadDeadline(time.Now().Add(timeout))
		_, err := c.r.ReadByte()
		c.SetReadDeadline(time.Time{})
		return errors.Is(err, io.EOF)
	}
	for _, evicted := range []int{0, 3} {
		c := s.dial(t)
		c.send(t, newGetRequest())
		<-s.submitted
		for i, old := range conns {
			want, timeout := i == evicted || i == 0, 50*time.Millisecond
			if want { // on a busy machine the close may take a while
				timeout = 5 * time.Second
			}
			if isClosed(old, timeout) != want {
				t.Errorf("connection %d closed: %v", i, !want)
			}
		}
	}
	for _, c := range conns[1:3] {
		c.send(t, newGetRequest())
		<-s.submitted
	}
	last := s.dial(t)
	last.send(t, newGetRequest())
	if resp, _ := last.receive(t); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("over the limit: %d %v", resp.StatusCode, resp.Header)
	}
	if s.Counters.ClientsRejected.Load() != 1 {
		t.Error("not counted")
	}
}

// Clients that send one request and keep the connection open may hold only a fraction of the connections: the oldest are
// closed, and one with regular requests is kept.
func TestIdleConnectionsLimited(t *testing.T) {
	s := newTestFrontend(t, 12, nil)
	sendRequest := func(c *testClient) {
		c.send(t, "GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n")
		c.receive(t)
	}
	active := s.dial(t)
	sendRequest(active)
	for range 9 {
		sendRequest(s.dial(t))
		time.Sleep(hardMinIdle + 10*time.Millisecond)
		sendRequest(active)
	}
	time.Sleep(hardMinIdle)
	sendRequest(active)
	standin.Eventually(t, "the excess idle connections are closed", func() bool { return s.Counters.ClientsOpen.Load() <= 12/idleDivisor+1 })
	sendRequest(active)
}

// Connections that send nothing are closed for a client that sends a request, also if its connection is the newest one over
// the limit.
func TestSilentConnectionsEvicted(t *testing.T) {
	s := newTestFrontend(t, 16, &cannedAnswers{answers: []exchange.Answer{{Kind: exchange.Served, Body: []byte("v")}}})
	for range 16 {
		s.dial(t)
	}
	c := s.dial(t)
	time.Sleep(atLimitFirstByteTimeout + 50*time.Millisecond)
	c.send(t, newGetRequest())
	if resp, body := c.receive(t); resp.StatusCode != 200 || body != "v" {
		t.Errorf("got %d %q", resp.StatusCode, body)
	}
}

// Clients that never complete their requests do not keep others from being served.
func TestSlowClientsEvicted(t *testing.T) {
	r := newTestRouter(t, standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") }).Address)
	s := newTestFrontend(t, 5, r)
	for range 5 {
		s.dial(t).send(t, "GET /read/k HTTP/1.1\r\nHo")
	}
	time.Sleep(atLimitReadTimeout + 50*time.Millisecond)
	for range 4 {
		c := s.dial(t)
		c.send(t, newGetRequest())
		if resp, body := c.receive(t); resp.StatusCode != 200 || body != "v" {
			t.Errorf("got %d %q", resp.StatusCode, body)
		}
	}
}

// A connection with unread input is not evicted, since it is the router that is slow.
func TestUnreadRequestNotEvicted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	s := NewFrontend(nil, &exchange.Counters{}, slog.New(slog.DiscardHandler), 1)
	// No goroutine reads from this connection.
	c := &clientConn{Conn: near, frontend: s, input: &timedReader{}, state: stateReading, stateSince: time.Now().Add(-time.Minute)}
	s.conns[c] = struct{}{}
	io.WriteString(far, newGetRequest())
	standin.Eventually(t, "the request is there", func() bool { return socket.Peek(near) == socket.Unread })
	if s.evictIdle() {
		t.Fatal("evicted although there is unread input")
	}
	if _, err := io.ReadFull(near, make([]byte, len(newGetRequest()))); err != nil {
		t.Fatal(err)
	}
	if !s.evictIdle() {
		t.Error("kept although the client has sent nothing more")
	}
}

// A request that has been read is answered even if its connection was evicted before serve could run: on a busy core watch
// may have read the bytes long before, and neither the kernel nor the connection's state shows them.
func TestReadRequestAnsweredAfterEviction(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := NewFrontend(&cannedAnswers{answers: []exchange.Answer{{Kind: exchange.Served, Body: []byte("v")}}}, &exchange.Counters{},
		slog.New(slog.DiscardHandler), 1)
	c := &clientConn{Conn: near, frontend: s, input: &timedReader{}, reader: bufio.NewReaderSize(near, maxHead),
		firstBytes: make(chan firstByte), resume: make(chan struct{}), done: make(chan struct{}), state: stateIdle, answered: true,
		stateSince: time.Now().Add(-time.Minute), acceptedAt: time.Now().Add(-time.Minute)}
	s.conns[c] = struct{}{}
	io.WriteString(far, newGetRequest())
	if _, err := c.reader.Peek(1); err != nil { // as watch does, and serve has not run yet
		t.Fatal(err)
	}
	if !s.evictIdle() {
		t.Fatal("no connection was evicted")
	}
	s.wg.Add(1)
	go c.serve()
	far.SetDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(far), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%v %v", resp, err)
	}
	far.Close()
	s.Wait()
}

// A request that is never completed does not delay a shutdown beyond the timeout.
func TestPartialRequestAtShutdown(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	s.dial(t).send(t, "GET /read/k HTTP/1.1\r\nHo")
	standin.Eventually(t, "it is being read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			return c.state == stateReading
		}
		return false
	})
	started := time.Now()
	s.CloseIdle()
	s.Wait()
	if took := time.Since(started); took > 2*shutdownHeadTimeout {
		t.Errorf("the shutdown took %v", took)
	}
}

// exhaustedListener fails its first calls of Accept with EMFILE: no file descriptors left.
type exhaustedListener struct {
	net.Listener
	times int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.times > 0 {
		l.times--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// If the process runs out of file descriptors, idle connections are closed and accepting continues.
func TestAcceptWithoutDescriptors(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	idle := s.dial(t)
	idle.send(t, "GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n")
	idle.receive(t)
	time.Sleep(2 * hardMinIdle)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { s.Serve(&exhaustedListener{l, 3}); close(done) }()
	defer func() { l.Close(); <-done }()
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	s.address = l.Addr().String()
	c := s.dial(t)
	c.send(t, "GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n")
	if resp, _ := c.receive(t); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Each kind of answer has its status code. Retry-After is in decimal seconds, and left out if the answer has none.
func TestFinalAnswers(t *testing.T) {
	s := newTestFrontend(t, 10, &cannedAnswers{answers: []exchange.Answer{
		{Kind: exchange.Refused, RetryAfter: 150 * time.Millisecond}, {Kind: exchange.Refused},
		{Kind: exchange.Failed}, {Kind: exchange.Failed, TimedOut: true}}})
	c := s.dial(t)
	for _, want := range []struct {
		status int
		advice string
	}{{503, "0.150"}, {503, ""}, {502, ""}, {504, ""}} {
		c.send(t, newGetRequest())
		if resp, body := c.receive(t); resp.StatusCode != want.status || resp.Header.Get("Retry-After") != want.advice || body != "" {
			t.Errorf("got %d %q, want %+v", resp.StatusCode, resp.Header.Get("Retry-After"), want)
		}
	}
}

// cannedAnswers is a RequestHandler that answers each request with the next of its answers.
type cannedAnswers struct{ answers []exchange.Answer }

func (f *cannedAnswers) Submit(x *exchange.Exchange) {
	x.Deadline = time.Now().Add(time.Second)
	x.SetAnswer(f.answers[0])
	f.answers = f.answers[1:]
}
func (*cannedAnswers) ClientDisconnected(*exchange.Exchange) {}

func TestShutdownClosesConnectionsAfterAnswers(t *testing.T) {
	r := newTestRouter(t, standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") }).Address)
	s := newTestFrontend(t, 10, r)
	idle, active := s.dial(t), s.dial(t)
	for _, c := range []*testClient{idle, active} {
		c.send(t, newGetRequest())
		c.receive(t)
	}
	s.StopKeepAlive()
	active.send(t, newGetRequest())
	if resp, body := active.receive(t); resp.StatusCode != 200 || body != "v" || !resp.Close {
		t.Errorf("after StopKeepAlive: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	s.CloseIdle()
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle one: %v", err)
	}
	s.Wait()
}

// After many clients have connected, sent requests and disconnected, no goroutine and no connection of theirs is left.
func TestNoConnectionOrGoroutineLeaks(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("work", func(t *testing.T) {
		backend := standin.NewServer(t, func(r *standin.Request) bool {
			switch r.Ordinal % 3 {
			case 0:
				return false
			case 1:
				time.Sleep(5 * time.Millisecond)
			}
			return r.Answer(200, "v")
		})
		r := newTestRouter(t, backend.Address)
		s := newTestFrontend(t, 100, r)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				br := bufio.NewReader(c)
				for range 5 {
					fmt.Fprint(c, newGetRequest())
					if i%4 == 0 {
						return // disconnects without waiting for the answer
					}
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						t.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
				}
			})
		}
		wg.Wait()
		standin.Eventually(t, "all client connections are closed", func() bool { return s.Counters.ClientsOpen.Load() == 0 })
	})
	standin.Eventually(t, "all goroutines have ended", func() bool { return runtime.NumGoroutine() <= before })
}

// Long bodies are buffered within the budget, with a length or in chunks, also from slow clients, and the request's timeout
// counts from the last byte. Bodies over the budget or the size limit are refused, and the budget is returned each time.
func TestLongRequests(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	s.BodyBudget = exchange.NewBudget(600 << 10)
	budgetFull := func() bool { return s.BodyBudget.Available() == 600<<10 }
	put := func(id, framing string) string {
		return "PUT /once/k HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left: 900m\r\n" + framing + "\r\n\r\n"
	}
	body := strings.Repeat("0123456789abcdef", 200<<10>>4)
	for i, framing := range []string{fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked"} {
		c := s.dial(t)
		c.send(t, put(fmt.Sprint("long", i), framing))
		started := time.Now()
		for offset := 0; offset < len(body); offset += 50 << 10 {
			time.Sleep(100 * time.Millisecond)
			if part := body[offset:min(offset+50<<10, len(body))]; i == 0 {
				c.send(t, part)
			} else {
				c.send(t, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
			}
		}
		if i == 1 {
			c.send(t, "0\r\n\r\n")
		}
		x := <-s.submitted
		if string(x.Body) != body || x.Arrived.Sub(started) < 350*time.Millisecond {
			t.Errorf("%s: %d bytes, counted from %v after the head", framing, len(x.Body), x.Arrived.Sub(started))
		}
		if budgetFull() {
			t.Error("the current body takes nothing of the budget")
		}
		x.SetAnswer(exchange.Answer{Kind: exchange.Served, Body: []byte("v")})
		if resp, _ := c.receive(t); resp.StatusCode != 200 {
			t.Errorf("%s: %d", framing, resp.StatusCode)
		}
		standin.Eventually(t, "the budget is returned", budgetFull)
	}
	other, _ := s.BodyBudget.Acquire(200 << 10) // part of the budget is in use
	defer other()
	for _, c := range []struct {
		length, status int
	}{{500 << 10, 503}, {601 << 10, 413}, {maxBufferedBody + 1, 413}} {
		conn := s.dial(t)
		conn.send(t, put(fmt.Sprint("over", c.length), fmt.Sprintf("Content-Length: %d", c.length)))
		go io.WriteString(conn, strings.Repeat("x", c.length))
		if resp, _ := conn.receive(t); resp.StatusCode != c.status || (resp.Header.Get("Retry-After") != "") != (c.status == 503) {
			t.Errorf("%d bytes: %d", c.length, resp.StatusCode)
		}
		standin.Eventually(t, "its part of the budget is returned", func() bool { return s.BodyBudget.Available() == 400<<10 })
	}
}

// A body that stalls is rejected after the timeout; one sent steadily above the minimum rate is not.
func TestSlowBodies(t *testing.T) {
	s := newTestFrontend(t, 10, nil)
	s.BodyBudget = exchange.NewBudget(1 << 20)
	head := "PUT /once/k HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %s\r\nX-Time-Left: 900m\r\nContent-Length: %d\r\n\r\n"
	slow, stalled := s.dial(t), s.dial(t)
	stalled.send(t, fmt.Sprintf(head, "still", 4000))
	slow.send(t, fmt.Sprintf(head, "slow", 64<<10*3))
	started := time.Now()
	fmt.Fprint(stalled, "x")
	go func() {
		for range 3 * 8 {
			io.WriteString(slow, strings.Repeat("x", 8<<10))
			time.Sleep(125 * time.Millisecond)
		}
	}()
	if resp, _ := stalled.receive(t); resp.StatusCode != 408 || time.Since(started) > 2900*time.Millisecond {
		t.Errorf("a stalled body: %d after %v", resp.StatusCode, time.Since(started))
	}
	if x := <-s.submitted; len(x.Body) != 64<<10*3 {
		t.Errorf("%d bytes", len(x.Body))
	}
}
