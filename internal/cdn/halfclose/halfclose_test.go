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

// hand is a handler that tells of each request, and answers when told to or when its client has left.
type hand struct {
	begun  chan string
	answer chan struct{}
	left   chan string
}

func (h *hand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	left := make(chan struct{}, 1)
	r.Context().Value(key{}).(*Conn).OnLeave(func() { left <- struct{}{} })
	io.Copy(io.Discard, r.Body)
	h.begun <- r.URL.Path
	select {
	case <-h.answer:
		fmt.Fprint(w, "answer to ", r.URL.Path)
	case <-r.Context().Done():
		h.left <- r.URL.Path
	case <-left:
		h.left <- r.URL.Path
	}
}

type key struct{}

// Every way in which a client may stop sending, and whether it has left: the handler's context ends for those who have, and only for them. It
// also convicts a change of net/http: it must read one byte while a request is in hand.
func TestWhoHasLeftAndWhoStillWaits(t *testing.T) {
	get := func(path, proto string) string { return "GET " + path + " " + proto + "\r\nHost: a\r\n\r\n" }
	const post = "POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	closes := func(c *net.TCPConn) { c.Close() }
	half := func(c *net.TCPConn) { c.CloseWrite() }
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	stays := func(*net.TCPConn) {}
	cases := []struct {
		name, sends, early string // early: sent once the request is in hand
		then               func(*net.TCPConn)
		left               bool
	}{
		{"stays", get("/1", "HTTP/1.1"), "", stays, false},
		{"closes", get("/1", "HTTP/1.1"), "", closes, true},
		{"resets", get("/1", "HTTP/1.1"), "", reset, true},
		{"ends its sending side", get("/1", "HTTP/1.1"), "", half, false},
		{"closes, with a body", post + "ab", "", closes, true},
		{"ends its sending side, with a body", post + "ab", "", half, false},
		{"sends the next request early", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), stays, false},
		{"sends early and closes", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), closes, true},
		{"sends early and resets", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), reset, true},
		{"sends early and ends its sending side", get("/1", "HTTP/1.1"), get("/2", "HTTP/1.1"), half, false},
		{"sends two at once and closes", get("/1", "HTTP/1.1") + get("/2", "HTTP/1.1"), "", closes, true},
		{"ends its sending side, HTTP/1.0", get("/1", "HTTP/1.0"), "", half, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			h := &hand{make(chan string, 4), make(chan struct{}), make(chan string, 4)}
			server := &http.Server{Handler: h, ConnContext: withConn}
			go server.Serve(Listen(l))
			defer server.Close()
			dialled, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			conn := dialled.(*net.TCPConn)
			defer conn.Close()
			io.WriteString(conn, c.sends)
			assert.Equal(t, <-h.begun, "/1")
			io.WriteString(conn, c.early)
			c.then(conn)
			if c.left {
				select {
				case <-h.left:
				case <-time.After(400 * time.Millisecond):
					t.Fatal("its leave was not seen")
				}
				return
			}
			select {
			case <-h.left:
				t.Fatal("it is waiting, and was taken for one that has left")
			case <-time.After(400 * time.Millisecond): // past the last probe
			}
			close(h.answer)
			r := bufio.NewReader(conn)
			for n := 1; n <= 2 && (n == 1 || c.early != ""); n++ {
				resp := final(t, r)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), fmt.Sprint("answer to /", n))
			}
		})
	}
}

// final reads the next answer that is no interim one.
func final(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		if resp.StatusCode >= 200 {
			assert.Assert(t, n <= 5, "%d interim answers", n)
			return resp
		}
	}
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// A client that is far away has left as well, though the reset that its probe meets comes long after the last probe.
func TestALeaveOverASlowWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &hand{make(chan string, 4), make(chan struct{}), make(chan string, 4)}
	server := &http.Server{Handler: h, ConnContext: withConn}
	go server.Serve(Listen(l))
	defer server.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	conn := dialled.(*net.TCPConn)
	io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-h.begun
	conn.CloseWrite() // the way brings the end of the bytes, and its answer to the probes only later
	select {
	case <-h.left:
		t.Fatal("nobody can know yet")
	case <-time.After(400 * time.Millisecond):
	}
	conn.SetLinger(0)
	conn.Close()
	select {
	case <-h.left:
	case <-time.After(200 * time.Millisecond):
		t.Fatal("its leave was not seen")
	}
}
