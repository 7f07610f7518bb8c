package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

type order struct {
	server string
	out    bool
}

// newServer starts a server that passes orders to maintain.
func newServer(t *testing.T, healthy *atomic.Bool, maintain func(string, bool) error) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Healthy: healthy.Load, Maintain: maintain, Log: slog.New(slog.DiscardHandler)}
	done := make(chan struct{})
	go func() { s.Serve(l); close(done) }()
	t.Cleanup(func() { l.Close(); s.Close(); <-done })
	return l.Addr().String()
}

// call sends the given text and returns the status of the response; 0 if there was none.
func call(t *testing.T, address, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func ask(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\n\r\n", method, path)
}

func TestCalls(t *testing.T) {
	var healthy atomic.Bool
	healthy.Store(true)
	var last order
	address := newServer(t, &healthy, func(server string, out bool) error {
		switch last = (order{server, out}); server {
		case "nobody":
			return ErrUnknownServer
		case "stuck":
			return errors.New("stuck")
		}
		return nil
	})
	for _, c := range []struct {
		text   string
		status int
		word   order
	}{
		{ask("GET", "/healthcheck"), 200, order{}},
		{ask("PUT", "/healthcheck"), 405, order{}},
		{ask("PUT", "/cache-servers/s-1/maint"), 200, order{"s-1", true}},
		{ask("PUT", "/cache-servers/s-1/ready"), 200, order{"s-1", false}},
		{ask("PUT", "/cache-servers/a%2Fb%20c/maint"), 200, order{"a/b c", true}},
		{"PUT /cache-servers/s-2/maint HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\nok", 200, order{"s-2", true}},
		{"PUT /cache-servers/s-3/maint HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, order{"s-3", true}},
		{ask("PUT", "/cache-servers/nobody/maint"), 404, order{"nobody", true}},
		{ask("PUT", "/cache-servers/stuck/ready"), 503, order{"stuck", false}},
		{ask("GET", "/cache-servers/s-1/maint"), 405, order{}},
		{ask("PUT", "/cache-servers/s-1/burn"), 404, order{}},
		{ask("PUT", "/cache-servers/s-1"), 404, order{}},
		{ask("PUT", "/cache-servers//maint"), 404, order{}},
		{ask("PUT", "/cache-servers/s-1/maint/x"), 404, order{}},
		{ask("GET", "/else"), 404, order{}},
		{"nonsense\r\n\r\n", 400, order{}},
		{"PUT /cache-servers/s-1/maint HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", 400, order{}},
	} {
		last = order{}
		if status := call(t, address, c.text); status != c.status || last != c.word {
			t.Errorf("%.60q: %d with %+v, want %d with %+v", c.text, status, last, c.status, c.word)
		}
	}
	healthy.Store(false)
	if status := call(t, address, ask("GET", "/healthcheck")); status != 503 {
		t.Errorf("not serving: %d", status)
	}
}

// A call with a truncated body is not carried out.
func TestTruncatedCallIsNotCarriedOut(t *testing.T) {
	var healthy atomic.Bool
	var orders atomic.Int64
	address := newServer(t, &healthy, func(string, bool) error { orders.Add(1); return nil })
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "PUT /cache-servers/s-1/maint HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\nok")
	c.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, c)
	c.Close()
	if orders.Load() != 0 {
		t.Error("a truncated call was carried out")
	}
}

// Many more idle or incomplete connections than MaxConns don't keep other callers from a response.
func TestSilentCallersAreEvicted(t *testing.T) {
	var healthy atomic.Bool
	healthy.Store(true)
	address := newServer(t, &healthy, func(string, bool) error { return nil })
	for i := range 4 * MaxConns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /healthcheck HTTP/1.1\r\nHo")
		}
	}
	started := time.Now()
	for range 5 {
		if status := call(t, address, ask("GET", "/healthcheck")); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("five calls took %v", took)
	}
}
