package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/standin"
)

// testRouter is an exchange loop whose attempts are sent to servers over TCP.
type testRouter struct {
	*exchange.Loop
	servers *AttemptSender
}

var testSettings = balance.Settings{
	Classes: []balance.Class{
		{Name: "read", Target: 400 * time.Millisecond, Deadline: time.Second, Priority: 1, Effect: balance.Safe},
		{Name: "once", Target: 400 * time.Millisecond, Deadline: time.Second, Priority: 1},
	},
	Routers: 1, MaxAttempts: 4, MayCancel: true, MaxRetryAfter: time.Second, OverloadFor: time.Second,
}

func newTestRouter(t *testing.T, addresses ...string) *testRouter {
	t.Helper()
	l := exchange.NewLoop()
	l.Clock, l.Counters, l.Log, l.Settings = exchange.NewClock(), &exchange.Counters{}, slog.New(slog.DiscardHandler), testSettings
	l.Pool = exchange.NewPool(10, time.Second, l.Counters)
	s := &AttemptSender{Pool: l.Pool, Counters: l.Counters, ConnectTimeout: 100 * time.Millisecond}
	l.Sender = s
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done; l.Pool.Close() })
	list := exchange.ServerList{List: balance.List{Kind: balance.Complete}, Addresses: map[balance.ServerID]string{}}
	for i, address := range addresses {
		id := balance.ServerID(fmt.Sprint("s", i))
		list.Entries = append(list.Entries, balance.Entry{Server: id, Weight: 1})
		list.Addresses[id] = address
	}
	l.UpdateServers(list)
	return &testRouter{l, s}
}

func putRequest(body string) exchange.Request {
	return exchange.Request{Class: "once", Write: true, Key: 7, HasKey: true, Arrived: time.Now(),
		Timeout: 300 * time.Millisecond, Method: "PUT", Target: "/once/k?a=%20b",
		Header: http.Header{"X-Correlation-Id": {"id1"}, "Idempotency-Key": {"key1"}, "Host": {"backend.local"}},
		Body:   []byte(body)}
}

// roundTrip submits a request and returns its answer.
func (r *testRouter) roundTrip(t *testing.T, request exchange.Request) exchange.Answer {
	t.Helper()
	x := exchange.New(request)
	r.Submit(x)
	select {
	case a := <-x.Answer():
		return a
	case <-time.After(3 * time.Second):
		t.Fatal("no answer")
		return exchange.Answer{}
	}
}

func (r *testRouter) resultCount(result balance.Result) int64 {
	return r.Counters.Results[result].Load()
}

func TestRequestForwardedUnchanged(t *testing.T) {
	got := make(chan *standin.Request, 1)
	s := standin.NewServer(t, func(r *standin.Request) bool { got <- r; return r.Answer(200, "stored", "X-Note: n") })
	r := newTestRouter(t, s.Address)
	a := r.roundTrip(t, putRequest("value"))
	if a.Kind != exchange.Served || string(a.Body) != "stored" || a.Header.Get("X-Note") != "n" {
		t.Errorf("answer %+v", a)
	}
	received := <-got
	if received.Method != "PUT" || received.RequestURI != "/once/k?a=%20b" || string(received.BodyBytes) != "value" ||
		received.Header.Get(headerID) != "id1" || received.Header.Get("Idempotency-Key") != "key1" || received.Host != "backend.local" {
		t.Errorf("got %+v %q", received.Request, received.BodyBytes)
	}
	left, err := parseTimeLeft(received.Header.Get(headerTimeLeft))
	if err != nil || left <= 200*time.Millisecond || left > 300*time.Millisecond {
		t.Errorf("time left %v, %v", left, err)
	}
}

// Each kind of server response gives the right attempt result, and only a 200 is forwarded.
func TestResponseResults(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(r *standin.Request) bool
		result balance.Result
	}{
		{"served", func(r *standin.Request) bool { return r.Answer(200, "v") }, balance.OK},
		{"chunked", func(r *standin.Request) bool {
			io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n")
			return true
		}, balance.OK},
		{"after an interim answer", func(r *standin.Request) bool {
			io.WriteString(r.Conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return r.Answer(200, "v")
		}, balance.OK},
		{"error", func(r *standin.Request) bool { return r.Answer(500, "") }, balance.Errored},
		{"turned away", func(r *standin.Request) bool { return r.Answer(503, "", "X-Unprocessed: 1") }, balance.Rejected},
		{"turned away late", func(r *standin.Request) bool { return r.Answer(504, "", "X-Unprocessed: 1") }, balance.Rejected},
		{"503 that may have run", func(r *standin.Request) bool { return r.Answer(503, "") }, balance.Errored},
		{"429 that may have run", func(r *standin.Request) bool { return r.Answer(429, "") }, balance.Errored},
		{"unprocessed 500 proves nothing", func(r *standin.Request) bool {
			return r.Answer(500, "", "X-Unprocessed: 1")
		}, balance.Errored},
		{"no HTTP", func(r *standin.Request) bool { io.WriteString(r.Conn, "what?\r\n\r\n"); return false }, balance.Malformed},
		{"endless head", func(r *standin.Request) bool {
			io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 2*maxHead))
			return false
		}, balance.Malformed},
		{"body over the bound", func(r *standin.Request) bool {
			fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxStreamedBody+1)
			return true
		}, balance.Malformed},
		{"closed without an answer", func(*standin.Request) bool { return false }, balance.Reset},
		{"closed inside the head", func(r *standin.Request) bool {
			io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, balance.Reset},
		{"closed inside the body", func(r *standin.Request) bool {
			io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nv")
			return false
		}, balance.Reset},
		{"reset", func(r *standin.Request) bool {
			r.Conn.(*net.TCPConn).SetLinger(0)
			return false
		}, balance.Reset},
		{"silent", func(*standin.Request) bool { time.Sleep(400 * time.Millisecond); return false }, balance.TimedOut},
		{"silent inside the body", func(r *standin.Request) bool {
			io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nv")
			time.Sleep(400 * time.Millisecond)
			return false
		}, balance.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := standin.NewServer(t, c.answer)
			r := newTestRouter(t, s.Address)
			started := time.Now()
			a := r.roundTrip(t, putRequest("value"))
			switch {
			case c.result == balance.OK && (a.Kind != exchange.Served || string(a.Body) != "v"):
				t.Errorf("answer %+v", a)
			case c.result == balance.Rejected && a.Kind != exchange.Refused:
				t.Errorf("never ran, yet %+v", a)
			case c.result != balance.OK && c.result != balance.Rejected && a.Kind != exchange.Failed:
				t.Errorf("may have run, yet %+v", a)
			}
			if r.resultCount(c.result) != 1 || r.Counters.Attempts.Load() != 1 || s.Requests() != 1 {
				t.Errorf("%d such results of %d attempts, %d requests", r.resultCount(c.result), r.Counters.Attempts.Load(), s.Requests())
			}
			if took := time.Since(started); took > 350*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
		})
	}
}

// A malformed response is a failed attempt that may have run: nothing of it reaches the client, and its connection is
// closed. A request that must not run twice is not retried; others are served by another server, even if the first one
// stalls with its connection open. Valid responses followed by extra bytes are served.
func TestMalformedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		answer string
		good   bool
	}{
		"noise":                  {"\xdf\xc4\x01 noise\r\n\r\n", false},
		"noise without end":      {"\xdf\xc4\x01 noise", false},
		"no version":             {"ICY 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
		"no status":              {"HTTP/1.1 OK\r\nContent-Length: 1\r\n\r\nx", false},
		"odd status":             {"HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx", false},
		"no colon":               {ok + "no colon here\r\nContent-Length: 1\r\n\r\nx", false},
		"bare line ends":         {"HTTP/1.1 200 OK\nContent-Length: 1\n\nx", false},
		"head over the bound":    {ok + "X: " + strings.Repeat("x", 2*maxHead), false},
		"two lengths":            {ok + "Content-Length: 1\r\nContent-Length: 4\r\n\r\nxxxx", false},
		"equal lengths":          {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", false},
		"negative length":        {ok + "Content-Length: -1\r\n\r\nx", false},
		"length and chunks":      {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false},
		"no length":              {ok + "\r\nx", false},
		"length over the body":   {ok + "Content-Length: 100\r\n\r\nx", false},
		"3 GB":                   {ok + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 4*maxBody), false},
		"malformed chunks":       {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nx", false},
		"a chunk that stops":     {ok + "Transfer-Encoding: chunked\r\n\r\nff\r\n", false},
		"interim without end":    {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50), false},
		"switching protocols":    {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		"interim ones first":     {strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n", 3) + ok + "Content-Length: 1\r\n\r\nv", true},
		"load report unreadable": {ok + "X-Backend-Load: \x01\x02=\xff\r\nContent-Length: 1\r\n\r\nv", true},
		"a copy behind":          {ok + "Content-Length: 1\r\n\r\nv" + ok + "Content-Length: 1\r\n\r\nv", true},
		"noise behind":           {ok + "Content-Length: 1\r\n\r\nv\x01noise", true},
	} {
		t.Run(name, func(t *testing.T) {
			malformed := standin.NewServer(t, func(r *standin.Request) bool {
				io.WriteString(r.Conn, c.answer)
				return true // keep the connection open
			})
			r := newTestRouter(t, malformed.Address)
			a := r.roundTrip(t, putRequest("value"))
			if c.good && (a.Kind != exchange.Served || string(a.Body) != "v") || !c.good && a.Kind != exchange.Failed {
				t.Errorf("answer %+v", a)
			}
			if n := r.resultCount(balance.Malformed); c.good != (n == 0) || r.Counters.Attempts.Load() != 1 {
				t.Errorf("%d malformed of %d attempts", n, r.Counters.Attempts.Load())
			}
			if !c.good || strings.Contains(name, "behind") {
				standin.Eventually(t, "the connection is closed", func() bool { return r.Counters.ServerConnections.Load() == 0 })
			}
			if c.good {
				return
			}
			good := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") })
			r = newTestRouter(t, malformed.Address, good.Address)
			for key := range uint64(4) { // so that each of the two servers is tried first
				q := putRequest("")
				q.Class, q.Write, q.Method, q.Target, q.Key = "read", false, "GET", "/read/k", key
				q.Timeout = 900 * time.Millisecond
				if a := r.roundTrip(t, q); a.Kind != exchange.Served || string(a.Body) != "v" {
					t.Errorf("a read: %+v", a)
				}
			}
		})
	}
}

// An attempt that fails before the last byte of its request is written has certainly not run; after that it may have.
func TestFailuresBeforeLastByte(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	pipe := func(serve func(net.Conn)) func(context.Context, string) (net.Conn, error) {
		return func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go serve(far)
			return near, nil
		}
	}
	for _, c := range []struct {
		name   string
		dial   func(context.Context, string) (net.Conn, error)
		result balance.Result
		kind   exchange.Kind
	}{
		{"refused", nil, balance.NoConnect, exchange.Refused},
		{"never comes up", func(ctx context.Context, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
		}, balance.NoConnect, exchange.Refused},
		{"due while dialling", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, balance.NeverSent, exchange.Refused},
		{"closed unread", pipe(func(c net.Conn) { c.Close() }), balance.NoConnect, exchange.Refused},
		{"closed inside the head", pipe(func(c net.Conn) { c.Read(make([]byte, 10)); c.Close() }), balance.NoConnect,
			exchange.Refused},
		{"closed before the last byte", pipe(func(c net.Conn) {
			req, _ := http.ReadRequest(bufio.NewReader(iotest.OneByteReader(c)))
			io.ReadFull(req.Body, make([]byte, len("valu")))
			c.Close()
		}), balance.NoConnect, exchange.Refused},
		{"silent inside the head", pipe(func(c net.Conn) {
			c.Read(make([]byte, 10))
			time.Sleep(400 * time.Millisecond)
			c.Close()
		}), balance.NoConnect, exchange.Refused},
		{"closed after the last byte", pipe(func(c net.Conn) {
			req, _ := http.ReadRequest(bufio.NewReader(c))
			io.ReadAll(req.Body)
			c.Close()
		}), balance.Reset, exchange.Failed},
		{"turned away before the last byte", pipe(func(c net.Conn) {
			c.Read(make([]byte, 10))
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(10 * time.Millisecond)
			c.Close()
		}), balance.Rejected, exchange.Refused},
		{"panic", func(context.Context, string) (net.Conn, error) { panic("boom") }, balance.Unknown, exchange.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRouter(t, refused.Addr().String())
			r.servers.Dial = c.dial
			if a := r.roundTrip(t, putRequest("value")); a.Kind != c.kind {
				t.Errorf("answer %+v", a)
			}
			if r.resultCount(c.result) != 1 {
				t.Errorf("not one %v: %s", c.result, r.Counters.JSON())
			}
			standin.Eventually(t, "the connection is closed", func() bool { return r.Counters.ServerConnections.Load() == 0 })
		})
	}
}

// A listener with a full accept queue completes no handshake, like a machine that is down. Dialling must time out.
func TestDialTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockaddr, _ := syscall.Getsockname(fd)
	address := fmt.Sprintf("127.0.0.1:%d", sockaddr.(*syscall.SockaddrInet4).Port)
	for range 3 { // the queue is full once a dial times out
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	r := newTestRouter(t, address)
	started := time.Now()
	if a := r.roundTrip(t, putRequest("value")); a.Kind != exchange.Refused {
		t.Errorf("answer %+v", a)
	}
	if took := time.Since(started); took < 90*time.Millisecond || took > 250*time.Millisecond || r.resultCount(balance.NoConnect) != 1 {
		t.Errorf("after %v: %s", took, r.Counters.JSON())
	}
}

func TestConnectionsReused(t *testing.T) {
	s := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") })
	r := newTestRouter(t, s.Address)
	for range 5 {
		r.roundTrip(t, putRequest("value"))
	}
	if s.Accepted() != 1 {
		t.Errorf("%d connections for five requests in a row", s.Accepted())
	}
}

// If a server closes an idle connection, the close is noticed and the next request uses a new connection without a failure.
func TestStaleIdleConnection(t *testing.T) {
	s := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") })
	r := newTestRouter(t, s.Address)
	for range 20 {
		if a := r.roundTrip(t, putRequest("value")); a.Kind != exchange.Served {
			t.Fatalf("answer %+v", a)
		}
		s.CloseConns()
		standin.Eventually(t, "the server has closed its connections", func() bool { return s.OpenConns() == 0 })
	}
	if r.resultCount(balance.Reset) != 0 {
		t.Error("a closed connection was written to")
	}
}

// stale detects a close through the kernel if the read loop has not run yet.
func TestStaleDetectsUnseenClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &serverConn{Conn: near} // without a read loop
	if c.stale() {
		t.Error("an open connection counts as stale")
	}
	far.Close()
	standin.Eventually(t, "the close is noticed", c.stale)
}

// Bytes beyond a response, with it or after it, close the connection: they would be taken for the response to the next
// request.
func TestUnsolicitedResponse(t *testing.T) {
	const unasked = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nunasked"
	for name, answer := range map[string]func(r *standin.Request){
		"with the answer": func(r *standin.Request) {
			io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"+unasked)
		},
		"after the answer": func(r *standin.Request) {
			r.Answer(200, "v")
			time.Sleep(2 * time.Millisecond)
			io.WriteString(r.Conn, unasked)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewServer(t, func(r *standin.Request) bool { answer(r); return true })
			r := newTestRouter(t, s.Address)
			for range 100 {
				if a := r.roundTrip(t, putRequest("value")); a.Kind == exchange.Served && string(a.Body) != "v" {
					t.Fatalf("got %q", a.Body)
				}
				standin.Eventually(t, "the connection is closed", func() bool { return r.Counters.IdleConnections.Load() == 0 })
			}
		})
	}
}

// A response with bytes behind it is not reusable when it is delivered, before the read loop reads those bytes.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	pool := exchange.NewPool(1, time.Second, &exchange.Counters{})
	if _, err := pool.Get(t.Context(), "s", "x", false, time.Second); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	defer far.Close()
	c := newServerConn(near, "s", "", pool)
	go io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nvHTTP/1.1 200 OK\r\n")
	if a := <-c.responses; a.err != nil || a.keep || string(a.body) != "v" {
		t.Errorf("got %+v", a)
	}
}

// stale detects unexpected bytes through the kernel if the read loop has not read them yet.
func TestStaleDetectsUnseenBytes(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	if (&serverConn{Conn: near}).stale() { // a pipe has no socket to check
		t.Error("a pipe counts as stale")
	}
	s := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") })
	c, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	conn := &serverConn{Conn: c}
	if conn.stale() {
		t.Error("an open connection counts as stale")
	}
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: b\r\n\r\n")
	standin.Eventually(t, "the bytes are noticed", conn.stale)
}

// The last byte of a request that must not run twice is sent shortly after the rest. If the server has closed the
// connection, or resets it while the request arrives, this is noticed first, and the attempt has certainly not run.
func TestLastByteWithheld(t *testing.T) {
	var requests atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if n == 0 { // reset on the first byte
					c.Read(make([]byte, 1))
					c.(*net.TCPConn).SetLinger(0)
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					requests.Add(1)
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
				}
			}()
		}
	}()
	r := newTestRouter(t, l.Addr().String())
	r.servers.NonIdempotent = func(class string) bool { return class == "once" }
	q := putRequest("")
	if a := r.roundTrip(t, q); a.Kind != exchange.Refused {
		t.Errorf("it never ran, yet the answer is %+v", a)
	}
	if r.resultCount(balance.NoConnect) != 1 || requests.Load() != 0 {
		t.Errorf("%d never ran, %d requests", r.resultCount(balance.NoConnect), requests.Load())
	}
	if a := r.roundTrip(t, putRequest("")); a.Kind != exchange.Served || string(a.Body) != "v" || requests.Load() != 1 {
		t.Errorf("the next one: %+v, %d requests", a, requests.Load())
	}
}

// longBody is far over the size that is buffered.
var longBody = strings.Repeat("0123456789abcdef", 256<<10>>4)

// writeResponse writes a response with the given body framing, the body in pieces with pauses between them. It reports
// whether the connection stays open.
func writeResponse(c net.Conn, form, body string, piece int, pause time.Duration) bool {
	head, ends := "HTTP/1.1 200 OK\r\nX-Note: n\r\n", false
	switch form {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case "chunks":
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case "close":
		head += "Connection: close\r\n\r\n"
		ends = true
	case "old":
		head, ends = "HTTP/1.0 200 OK\r\n\r\n", true
	}
	io.WriteString(c, head)
	for len(body) > 0 {
		part := body[:min(piece, len(body))]
		body = body[len(part):]
		if form == "chunks" {
			part = fmt.Sprintf("%x;note=1\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return false
		}
		if len(body) > 0 {
			time.Sleep(pause)
		}
	}
	if form == "chunks" {
		io.WriteString(c, "0\r\nX-Trailer: t\r\n\r\n")
	}
	return !ends
}

// Responses with every body framing and length arrive complete, long ones also after the request's deadline, and
// connections are reused where the framing allows it.
func TestBodyFramings(t *testing.T) {
	for _, form := range []string{"length", "chunks", "close", "old"} {
		for name, c := range map[string]struct {
			body  string
			piece int
			pause time.Duration
		}{
			"short":            {"value", 2, time.Millisecond},
			"short and slow":   {"value", 1, 40 * time.Millisecond},
			"long":             {longBody, 20_000, 0},
			"long, past due":   {longBody, len(longBody) / 4, 400 * time.Millisecond},
			"a byte over":      {longBody[:maxBody+1], 30_000, 0},
			"just short":       {longBody[:maxBody], 30_000, 0},
			"paused for long":  {longBody, len(longBody) / 2, 700 * time.Millisecond},
			"in odd pieces":    {longBody[:100_001], 777, 0},
			"nothing whatever": {"", 1, 0},
		} {
			t.Run(form+" "+name, func(t *testing.T) {
				t.Parallel()
				s := standin.NewServer(t, func(r *standin.Request) bool { return writeResponse(r.Conn, form, c.body, c.piece, c.pause) })
				r := newTestRouter(t, s.Address)
				conn := newTestFrontend(t, 10, r).dial(t)
				for range 2 {
					conn.send(t, newGetRequest())
					if resp, body := conn.receive(t); resp.StatusCode != 200 || body != c.body || resp.Header.Get("X-Trailer") != "" {
						t.Fatalf("status %d, %d bytes of %d", resp.StatusCode, len(body), len(c.body))
					}
				}
				if again := s.Accepted() == 1; again != (form == "length" || form == "chunks") {
					t.Errorf("%d connections for two requests", s.Accepted())
				}
			})
		}
	}
}

// If a streamed answer breaks off or stalls, the client's connection ends before the announced end, with every framing, so that the
// client does not take the answer for complete.
func TestStreamedAnswerAborted(t *testing.T) {
	for _, form := range []string{"length", "chunks", "close"} {
		t.Run(form, func(t *testing.T) {
			reset := standin.NewServer(t, func(r *standin.Request) bool {
				if form == "close" {
					writeResponse(r.Conn, form, longBody, 50_000, 0)
				} else {
					fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", map[string]string{"length": "Content-Length: 300000",
						"chunks": "Transfer-Encoding: chunked"}[form])
					io.WriteString(r.Conn, strings.Repeat("ffff\r\n"+strings.Repeat("x", 0xffff)+"\r\n", 3))
				}
				r.Conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			r := newTestRouter(t, reset.Address)
			conn := newTestFrontend(t, 10, r).dial(t)
			conn.send(t, newGetRequest())
			resp, err := http.ReadResponse(conn.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("%d bytes were accepted as a complete answer", n)
			}
			standin.Eventually(t, "the connection is closed", func() bool { return r.Counters.ServerConnections.Load() == 0 })
		})
	}
}

// A client that reads slowly slows down its server and does not fill the router's memory. If it disconnects, the server's
// connection is closed.
func TestSlowReaderBackpressure(t *testing.T) {
	var written atomic.Int64
	s := standin.NewServer(t, func(r *standin.Request) bool {
		fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 32<<20)
		for range 32 << 20 / len(longBody) {
			if _, err := io.WriteString(r.Conn, longBody); err != nil {
				return false
			}
			written.Add(int64(len(longBody)))
		}
		return true
	})
	r := newTestRouter(t, s.Address)
	conn := newTestFrontend(t, 10, r).dial(t)
	conn.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	conn.send(t, newGetRequest())
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if n := written.Load(); n > 24<<20 { // the socket buffers on both sides hold less than this
		t.Errorf("%d bytes were read from the server while the client did not read", n)
	}
	if n, err := io.CopyN(io.Discard, resp.Body, 8<<20); err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	conn.Close()
	standin.Eventually(t, "the connection to the server is closed", func() bool { return r.Counters.ServerConnections.Load() == 0 })
}

// A long response stalls before the first byte of its body: nothing has been forwarded yet, and another server is tried.
func TestLongAnswerStalledBeforeFirstByte(t *testing.T) {
	stalled := standin.NewServer(t, func(r *standin.Request) bool {
		fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(longBody))
		time.Sleep(2 * time.Second)
		return false
	})
	good := standin.NewServer(t, func(r *standin.Request) bool { return writeResponse(r.Conn, "chunks", longBody, 10_000, 0) })
	r := newTestRouter(t, stalled.Address, good.Address)
	frontend := newTestFrontend(t, 10, r)
	for range 4 {
		conn := frontend.dial(t)
		conn.send(t, newGetRequest())
		if resp, body := conn.receive(t); resp.StatusCode != 200 || body != longBody {
			t.Errorf("status %d, %d bytes", resp.StatusCode, len(body))
		}
	}
}

// An HTTP/1.0 client does not support chunked encoding: an answer of unknown length ends with an orderly close of the
// connection, and one that breaks off must not.
func TestStreamedAnswerToHTTP10Client(t *testing.T) {
	s := standin.NewServer(t, func(r *standin.Request) bool { return writeResponse(r.Conn, "chunks", longBody, 10_000, 0) })
	conn := newTestFrontend(t, 10, newTestRouter(t, s.Address)).dial(t)
	conn.send(t, strings.Replace(newGetRequest(), "HTTP/1.1", "HTTP/1.0", 1))
	resp, body := conn.receive(t)
	if resp.StatusCode != 200 || body != longBody || len(resp.TransferEncoding) > 0 || !resp.Close {
		t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(body), resp.TransferEncoding)
	}
}

// A 200 that arrives before the last byte of the request was written is dropped: it can't be the response to this request,
// and may be a late copy of an earlier one.
func TestResponseBeforeLastByteDropped(t *testing.T) {
	pool := exchange.NewPool(1, time.Second, &exchange.Counters{})
	s := &AttemptSender{Pool: pool, Counters: pool.Counters, ConnectTimeout: time.Second,
		NonIdempotent: func(string) bool { return true },
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				far.Read(make([]byte, 1))
				go io.Copy(io.Discard, far)
				io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
			}()
			return near, nil
		}}
	r := newTestRouter(t)
	r.Loop.Sender = s
	r.UpdateServers(exchange.ServerList{List: balance.List{Kind: balance.Complete, Entries: []balance.Entry{{Server: "s0", Weight: 1}}},
		Addresses: map[balance.ServerID]string{"s0": "x"}})
	if a := r.roundTrip(t, putRequest("value")); a.Kind != exchange.Refused {
		t.Errorf("answer %+v", a)
	}
}

// A cancelled attempt closes its connection, so that no response is awaited on it.
func TestCancellationClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := standin.NewServer(t, func(r *standin.Request) bool {
		io.Copy(io.Discard, r.Conn)
		close(closed)
		return false
	})
	r := newTestRouter(t, s.Address)
	q := putRequest("value")
	q.Timeout = 5 * time.Second
	x := exchange.New(q)
	r.Submit(x)
	standin.Eventually(t, "the request is there", func() bool { return s.Requests() == 1 })
	r.ClientDisconnected(x)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("still open")
	}
	standin.Eventually(t, "its result is counted", func() bool { return r.resultCount(balance.Cancelled) == 1 })
}

// After a timeout at a server that has sent nothing, its idle connections are closed, so that the next attempt dials and
// fails if the machine is down.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	var silent atomic.Bool
	arrived := make(chan struct{}, 2)
	s := standin.NewServer(t, func(r *standin.Request) bool {
		if silent.Load() {
			time.Sleep(400 * time.Millisecond)
			return false
		}
		arrived <- struct{}{}
		for len(arrived) < 2 { // holds the first two requests until both have arrived, on two connections
			time.Sleep(time.Millisecond)
		}
		return r.Answer(200, "v")
	})
	r := newTestRouter(t, s.Address)
	done := make(chan exchange.Answer, 2)
	for range 2 {
		x := exchange.New(putRequest("value"))
		r.Submit(x)
		go func() { done <- <-x.Answer() }()
	}
	<-done
	<-done
	standin.Eventually(t, "two are idle", func() bool { return r.Counters.IdleConnections.Load() == 2 })
	silent.Store(true)
	r.roundTrip(t, putRequest("value"))
	if n := r.Counters.IdleConnections.Load(); n != 0 {
		t.Errorf("%d idle connections are kept", n)
	}
}
