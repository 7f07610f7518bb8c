package halfclose

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingHandler reports each request, and returns when it is told to answer or its client has disconnected.
type blockingHandler struct {
	started      chan string
	answer       chan struct{}
	disconnected chan string
}

func (h *blockingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	disconnected := make(chan struct{}, 1)
	r.Context().Value(connKey{}).(*Conn).OnDisconnect(func() { disconnected <- struct{}{} })
	io.Copy(io.Discard, r.Body)
	h.started <- r.URL.Path
	select {
	case <-h.answer:
		fmt.Fprint(w, "answer to ", r.URL.Path)
	case <-r.Context().Done():
		h.disconnected <- r.URL.Path
	case <-disconnected:
		h.disconnected <- r.URL.Path
	}
}

type connKey struct{}

// Every way in which a client can stop sending. The handler must learn of a disconnect if, and only if, the client has disconnected. Also
// fails if net/http changes and no longer reads one byte while a request is being handled.
func TestDisconnectDetection(t *testing.T) {
	get := func(path, proto string) string { return "GET " + path + " " + proto + "\r\nHost: a\r\n\r\n" }
	const post = "POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	closes := func(c *net.TCPConn) { c.Close() }
	halfCloses := func(c *net.TCPConn) { c.CloseWrite() }
	resets := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	stays := func(*net.TCPConn) {}
	cases := []struct {
		name, sends, early string // early: sent while the request is being handled
		then               func(*net.TCPConn)
		disconnects        bool
	}{
		{"stays", get("/1", "HTTP/1.1"), "", stays, false},
		{"closes", get("/1", "HTTP/1.1"), "", closes, true},
		{"resets", get("/1", "HTTP/1.1"), "", resets, true},
		{"ends its sending side", get("/1", "HTTP/1.1"), "", halfCloses, false},
		{"closes, with a body", post + "ab", "", closes, true},
		{"ends its sending side, with a body", post + "ab", "", halfCloses, false},
		{"sends the next request early", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), stays, false},
		{"sends early and closes", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), closes, true},
		{"sends early and resets", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), resets, true},
		{"sends early and ends its sending side", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), halfCloses, false},
		{"sends two at once and closes", get("/1", "HTTP/1.1") + get("/2", "HTTP/1.1"), "", closes, true},
		{"ends its sending side, HTTP/1.0", get("/1", "HTTP/1.0"), "", halfCloses, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			h := &blockingHandler{make(chan string, 4), make(chan struct{}), make(chan string, 4)}
			server := &http.Server{Handler: h, ConnContext: withConn}
			go server.Serve(NewListener(l))
			defer server.Close()
			dialled, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			conn := dialled.(*net.TCPConn)
			defer conn.Close()
			io.WriteString(conn, c.sends)
			assert.Equal(t, <-h.started, "/1")
			io.WriteString(conn, c.early)
			c.then(conn)
			if c.disconnects {
				select {
				case <-h.disconnected:
				case <-time.After(400 * time.Millisecond):
					t.Fatal("the disconnect was not detected")
				}
				return
			}
			select {
			case <-h.disconnected:
				t.Fatal("a waiting client was taken for a disconnected one")
			case <-time.After(400 * time.Millisecond): // past the last probe
			}
			close(h.answer)
			r := bufio.NewReader(conn)
			for n := 1; n <= 2 && (n == 1 || c.early != ""); n++ {
				resp := finalResponse(t, r)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), fmt.Sprint("answer to /", n))
			}
		})
	}
}

// finalResponse reads the next response that is not an interim one.
func finalResponse(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		if resp.StatusCode >= 200 {
			assert.Assert(t, n <= 5, "%d interim responses", n)
			return resp
		}
	}
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// A disconnect is detected on a slow network too, where the reset in answer to a probe arrives long after the last probe.
func TestDisconnectOverSlowNetwork(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &blockingHandler{make(chan string, 4), make(chan struct{}), make(chan string, 4)}
	server := &http.Server{Handler: h, ConnContext: withConn}
	go server.Serve(NewListener(l))
	defer server.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	conn := dialled.(*net.TCPConn)
	io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.started
	conn.CloseWrite() // the network delivers the EOF now, and the reset in answer to the probes only later
	select {
	case <-h.disconnected:
		t.Fatal("reported before the disconnect was visible")
	case <-time.After(400 * time.Millisecond):
	}
	conn.SetLinger(0)
	conn.Close()
	select {
	case <-h.disconnected:
	case <-time.After(200 * time.Millisecond):
		t.Fatal("the disconnect was not detected")
	}
}
