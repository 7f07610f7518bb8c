// Package standin has small stand-ins for the router's neighbours, for tests: a cache server whose every answer the
// test writes, and discovery. They speak just enough of the protocol and decide nothing.
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

// Request is a request as a server got it, whole.
type Request struct {
	*http.Request
	Text []byte // its body
	Conn net.Conn
	N    int // the how manieth on its connection, from 1
}

// Answer writes an answer with a body; extra header lines may follow, each without its line end.
func (r *Request) Answer(status int, body string, lines ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, line := range lines {
		head += line + "\r\n"
	}
	_, err := io.WriteString(r.Conn, head+"\r\n"+body)
	return err == nil
}

// Server is a listener on loopback that hands each request to the test.
type Server struct {
	Address string

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int
	requests int
}

// NewServer starts a server; serve returns false to close the connection. It ends with the test.
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

// CloseConns closes the connections and goes on listening.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Open is how many connections are open, Accepted how many have ever been, Requests how many requests have come.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Accepted is how many connections have been accepted so far.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Requests is how many requests have come so far.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Endpoint is one line of discovery's list.
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

// Discovery keeps a list and lets itself be watched.
type Discovery struct {
	*Server

	mu      sync.Mutex
	index   int64
	all     map[string]Endpoint
	changes []change
	news    chan struct{} // closed at a change
	silent  bool
	status  int // if not 0, answered instead of a list
	watches []string
}

type change struct {
	index int64
	Endpoint
}

// NewDiscovery starts discovery with a list of the given version.
func NewDiscovery(t testing.TB, index int64, all ...Endpoint) *Discovery {
	t.Helper()
	d := &Discovery{index: index, all: map[string]Endpoint{}, news: make(chan struct{})}
	for _, e := range all {
		d.all[e.Name] = e
	}
	d.Server = NewServer(t, d.answer)
	return d
}

// Change tells a change.
func (d *Discovery) Change(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.changes = append(d.changes, change{d.index, e})
	if d.all[e.Name] = e; e.Status == "DELETED" {
		delete(d.all, e.Name)
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Break makes discovery answer with a status from now on, or nothing at all with -1; 0 mends it.
func (d *Discovery) Break(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent, d.status = status < 0, max(status, 0)
	close(d.news)
	d.news = make(chan struct{})
}

// Targets returns the request targets of all calls so far.
func (d *Discovery) Targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.watches...)
}

func (d *Discovery) answer(r *Request) bool {
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	d.watches = append(d.watches, r.RequestURI)
	d.mu.Unlock()
	for {
		d.mu.Lock()
		news, silent, status := d.news, d.silent, d.status
		list := map[string]any{"index": d.index, "snapshot": whole}
		entries := []Endpoint{}
		if whole {
			for _, e := range d.all {
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
		case !silent && (whole || len(entries) > 0 || !time.Now().Before(until)):
			text, _ := json.Marshal(list)
			return r.Answer(http.StatusOK, string(text))
		case silent:
			<-news
		default:
			select {
			case <-news:
			case <-time.After(time.Until(until)):
			}
		}
	}
}

// Eventually fails the test unless the condition holds within some seconds.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
