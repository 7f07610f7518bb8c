package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// server is a stand-in for a server of a service. It follows PROTOCOL.md: it announces itself, answers 421 to a request that is meant for
// another server, and works on one request at a time on each connection.
type server struct {
	id, service, zone, address string
	network                    *network
	work                       func(s *server, x *exchange) // reads what it wants of the body, runs the request and answers it

	mu     sync.Mutex
	runs   map[string]int // by Try-Id
	silent bool           // it sends no more heartbeats by itself
}

// stopBeats ends the server's own heartbeats.
func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// exchange is a request on a connection.
type exchange struct {
	*http.Request
	conn net.Conn
	id   string
}

// startServer starts a server with a host number in the network's addresses. It announces itself until the network stops.
func (n *network) startServer(id, service, zone string, host, receiveBuffer int, work func(*server, *exchange)) (*server, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) })
	}}
	l, err := config.Listen(n.beating, "tcp", fmt.Sprintf("%s.%d:0", n.subnet, host))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), network: n, work: work, runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go s.announce()
	return s, nil
}

// announce sends the server's heartbeats.
func (s *server) announce() {
	for beat := 1; s.network.beating.Err() == nil; beat++ {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		body, _ := json.Marshal(map[string]any{"id": s.id, "carrier": s.service, "address": s.address, "zone": s.zone, "edition": "v1",
			"berths": 32, "state": "open", "warmup": "0ms", "postmark": beat})
		status, _, err := s.network.control(http.MethodPut, "/servers/"+s.id, body, heartbeat)
		if beat == 1 || err != nil {
			s.network.record.add(s.id, "announces itself: %d", status)
		}
		time.Sleep(heartbeat)
	}
}

// serve answers the requests on a connection.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x := &exchange{Request: req, conn: c, id: req.Header.Get("Try-Id")}
		switch meant := req.Header.Get("Addressee"); {
		case meant != "" && meant != s.id:
			io.Copy(io.Discard, req.Body)
			x.answer(http.StatusMisdirectedRequest, nil, "")
		case req.URL.Path == "/health":
			x.answer(http.StatusOK, map[string]string{"Server-Id": s.id}, "")
		default:
			s.work(s, x)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// run records that the server begins to work on a request.
func (s *server) run(x *exchange) {
	s.mu.Lock()
	s.runs[x.id]++
	s.mu.Unlock()
	s.network.record.add(s.id, "runs %s (%s %s)", x.id, x.Method, x.URL.Path)
}

// postmark returns the stamp of an answer to a request.
func (s *server) postmark(x *exchange) string { return s.id + "." + x.id }

// answer writes an answer.
func (x *exchange) answer(status int, header map[string]string, body string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %s\r\n", status, http.StatusText(status), strconv.Itoa(len(body)))
	if x.id != "" {
		text += "Try-Id: " + x.id + "\r\n"
	}
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	_, err := io.WriteString(x.conn, text+"\r\n"+body)
	return err
}
