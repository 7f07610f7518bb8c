// Package standin provides fakes of the services that a router talks to, for tests: a cache server whose responses the test writes, and
// service discovery. They implement only the part of the protocol that the tests need.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Request is a request that a server received, with its whole body.
type Request struct {
	*http.Request
	BodyBytes []byte // the request body
	Conn      net.Conn
	Ordinal   int // ordinal of the request on its connection, from 1
}

// Answer writes a response with a body and optional extra header lines, each without its line end. It reports whether the write succeeded.
func (r *Request) Answer(status int, body string, lines ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, line := range lines {
		head += line + "\r\n"
	}
	_, err := io.WriteString(r.Conn, head+"\r\n"+body)
	return err == nil
}

// Server is an HTTP server on the loopback interface that passes each request to the test.
type Server struct {
	Address string

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int
	requests int
}

// NewServer starts a server that is closed at the end of the test. serve handles a request and returns false to close the connection.
func NewServer(t testing.TB, serve func(r *Request) bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	t.Cleanup(s.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.accepted++
			s.mu.Unlock()
			go s.serve(c, serve)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, serve func(r *Request) bool) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if !serve(&Request{req, text, c, n}) {
			return
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.CloseConns()
}

// CloseConns closes all connections and keeps listening.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Requests returns the number of requests received so far.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Endpoint is an entry of the discovery list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Discovery is a fake service discovery: it serves a list of endpoints and long-polling watches of its changes.
type Discovery struct {
	*Server

	mu        sync.Mutex
	index     int64
	endpoints map[string]Endpoint
	changes   []change
	changed   chan struct{} // closed and replaced at each change
	silent    bool          // no response is sent
	status    int           // if not 0, the status of all responses, sent instead of the list
	targets   []string
}

// change is a change of an endpoint with the list version that it produced.
type change struct {
	index int64
	Endpoint
}

// NewDiscovery starts discovery with a list of the given version (index).
func NewDiscovery(t testing.TB, index int64, all ...Endpoint) *Discovery {
	t.Helper()
	d := &Discovery{index: index, endpoints: map[string]Endpoint{}, changed: make(chan struct{})}
	for _, e := range all {
		d.endpoints[e.Name] = e
	}
	d.Server = NewServer(t, d.answer)
	return d
}

// Update adds or replaces an endpoint, or removes it if its status is DELETED, and notifies watchers.
func (d *Discovery) Update(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.changes = append(d.changes, change{d.index, e})
	if d.endpoints[e.Name] = e; e.Status == "DELETED" {
		delete(d.endpoints, e.Name)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetStatus makes discovery respond with the given HTTP status from now on, or not respond at all if it is -1; 0 restores normal responses.
func (d *Discovery) SetStatus(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent, d.status = status < 0, max(status, 0)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Targets returns the request targets of all requests so far.
func (d *Discovery) Targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.targets...)
}

// answer responds with the full list, or with the changes after the requested index, for which it waits up to the requested time.
func (d *Discovery) answer(r *Request) bool {
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	full := err != nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	d.mu.Lock()
	d.targets = append(d.targets, r.RequestURI)
	d.mu.Unlock()
	for {
		d.mu.Lock()
		changed, silent, status := d.changed, d.silent, d.status
		list := map[string]any{"index": d.index, "snapshot": full}
		entries := []Endpoint{}
		if full {
			for _, e := range d.endpoints {
				entries = append(entries, e)
			}
		} else {
			for _, c := range d.changes {
				if c.index > index {
					entries = append(entries, c.Endpoint)
				}
			}
		}
		d.mu.Unlock()
		list["endpoints"] = entries
		switch {
		case status != 0:
			return r.Answer(status, "broken\n")
		case !silent && (full || len(entries) > 0 || !time.Now().Before(deadline)):
			body, _ := json.Marshal(list)
			return r.Answer(http.StatusOK, string(body))
		case silent:
			<-changed
		default:
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
			}
		}
	}
}

// Eventually waits until the condition holds, and fails the test if that takes more than 5 s.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
