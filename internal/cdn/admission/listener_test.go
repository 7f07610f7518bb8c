package admission

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testServer serves HTTP within the given shares of 1 MB and returns its address and its budgets.
func testServer(t *testing.T, shares Shares, maxConnections int, handler http.HandlerFunc) (address string, memory *Memory) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	memory = NewMemory(1, shares)
	server := &http.Server{Handler: handler}
	go server.Serve(memory.Guard(server, l, maxConnections))
	t.Cleanup(func() { server.Close() })
	return l.Addr().String(), memory
}

// dial opens a connection that ends with the test.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// get sends a request and returns the status of its answer; 0 if the connection is closed without one.
func get(conn net.Conn, reader *bufio.Reader) int {
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// A connection that has no room beside busy ones is told so. Once a connection has been idle for a while it makes room.
func TestConnectionsBeyondLimit(t *testing.T) {
	release := make(chan struct{})
	address, memory := testServer(t, Shares{Requests: 1, Heads: 1, Connections: 1}, 2, func(http.ResponseWriter, *http.Request) { <-release })
	var busy []*bufio.Reader
	for range 2 {
		conn, reader := dial(t, address)
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		busy = append(busy, reader)
	}
	refused, reader := dial(t, address)
	assert.Equal(t, get(refused, reader), http.StatusServiceUnavailable)
	close(release)
	for _, reader := range busy {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		conn, reader := dial(t, address)
		if get(conn, reader) == http.StatusOK {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "no idle connection makes room")
	}
	assert.Equal(t, memory.Connections.Used(), int64(2*httpConnectionBytes))
}

// The heads of requests are charged while they are read and until they are answered, also when they consist of many short lines.
func TestHeadsShareBudget(t *testing.T) {
	address, memory := testServer(t, Shares{Requests: 1, Heads: 0.05, Connections: 1}, 10, func(http.ResponseWriter, *http.Request) {})
	for name, line := range map[string]string{"long lines": "X-A: " + strings.Repeat("x", 4000) + "\r\n", "short lines": "a:\r\n"} {
		awaitUnused(t, memory.Heads)
		conn, reader := dial(t, address)
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n")
		go func() {
			for sent := 0; sent < 200<<10; sent += len(line) {
				if _, err := io.WriteString(conn, line); err != nil {
					return
				}
			}
		}()
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, name)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, name)
	}
	awaitUnused(t, memory.Heads)
	conn, reader := dial(t, address)
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-A: %s\r\n\r\n", strings.Repeat("x", 20<<10))
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, get(conn, reader), http.StatusOK)
	conn.Close()
	awaitUnused(t, memory.Heads)
	awaitUnused(t, memory.Connections)
}

// awaitUnused waits until a budget has no bytes in use.
func awaitUnused(t *testing.T, budget *Budget) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); budget.Used() > 0; {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are still charged", budget.Used())
	}
}

// A budget is charged together with its parent, or not at all.
func TestBudgetWithParent(t *testing.T) {
	parent := NewBudget(10, nil)
	a, b := NewBudget(8, parent).Reserve(), NewBudget(8, parent).Reserve()
	assert.NilError(t, a.Grow(7))
	assert.ErrorIs(t, b.Grow(4), ErrNoRoom)
	assert.Equal(t, parent.Used(), int64(7))
	part := a.Split(5)
	a.Release()
	assert.NilError(t, b.Grow(4))
	part.Release()
	part.Release()
	b.Release()
	assert.Equal(t, parent.Used(), int64(0))
}

// A body that stops before its end is refused once its time is over, and its connection ends soon after that, although the server reads the
// rest of a body before it goes on.
func TestBodyThatStops(t *testing.T) {
	failed := make(chan error, 1)
	var memory *Memory
	address, memory := testServer(t, Shares{Requests: 1, Bodies: 1, Heads: 1, Connections: 1}, 10, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadRequestBody(w, r, 1<<20, time.Now().Add(50*time.Millisecond), memory.Bodies)
		body.Release()
		failed <- err
		w.WriteHeader(http.StatusRequestTimeout)
	})
	conn, reader := dial(t, address)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nnot all of it")
	assert.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	_, err = io.ReadAll(reader) // until the connection ends
	assert.NilError(t, err)
	awaitUnused(t, memory.Connections)
}

// fakeConn is a connection whose end is recorded.
type fakeConn struct {
	net.Conn
	ended bool
}

func (c *fakeConn) Close() error { c.ended = true; return nil }

// A connection makes room for another one only between two requests: neither while one is read or answered, nor when its head came together
// with the request before it, nor when its first bytes arrive at the very moment.
func TestEviction(t *testing.T) {
	request := []byte("GET / HTTP/1.1\r\n\r\n")
	cases := []struct {
		name    string
		steps   func(c *Conn)
		evicted bool
	}{
		{"new", func(*Conn) {}, true},
		{"head is read", func(c *Conn) { c.received(request) }, false},
		{"answering", func(c *Conn) { c.received(request); c.headRead() }, false},
		{"answered", func(c *Conn) { c.received(request); c.headRead(); c.requestEnded() }, true},
		{"next head is read", func(c *Conn) { c.received(request); c.headRead(); c.requestEnded(); c.received(request) }, false},
		{"both heads came at once", func(c *Conn) { c.received(request); c.headRead(); c.requestEnded(); c.headRead() }, false},
		{"bytes arrive while it is chosen", func(c *Conn) { c.listener.longestIdle(); c.received(request); c.evict() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget := NewBudget(1<<20, nil)
			l := NewListener(nil, Limits{Connections: 1, ConnectionBytes: 1, Budget: budget})
			first, second := &fakeConn{}, &fakeConn{}
			conn := &Conn{Conn: first, listener: l, reservation: budget.Reserve(), readingHead: true, headBudget: budget}
			assert.Assert(t, l.admit(conn))
			c.steps(conn)
			admitted := l.admit(&Conn{Conn: second, listener: l, reservation: budget.Reserve(), readingHead: true, headBudget: budget})
			assert.Equal(t, admitted, c.evicted)
			assert.Equal(t, first.ended, c.evicted)
			_, passOn := conn.received(request)
			assert.Equal(t, passOn, !c.evicted, "what arrives on an evicted connection is not read")
		})
	}
}
