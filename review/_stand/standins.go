package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// objects are the versions of a service's objects, common to all of its servers. They change at once.
type objects struct {
	mu       sync.Mutex
	version  int
	replaced time.Time // when the version before the present one was replaced
}

func (o *objects) current() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

func (o *objects) change() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version, o.replaced = o.version+1, time.Now()
	return o.replaced
}

// server is a stand-in server: it reads an object (or takes a request) when its work begins, works for a time and answers.
type server struct {
	d                    *deployment
	id, service, address string
	zone                 string
	berths               int
	objects              *objects
	work                 atomic.Int64 // nanoseconds
	runs                 atomic.Int64
	listener             net.Listener
	beats                uint64
	ended                chan struct{}
	once                 sync.Once
	running              chan struct{}
}

// serve starts a server and its beats.
func (d *deployment) serve(id, service string, host, berths int, work time.Duration, o *objects) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.prefix, host))
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, service: service, address: l.Addr().String(), zone: "xela-sala", berths: berths, objects: o, listener: l,
		ended: make(chan struct{}), running: make(chan struct{}, berths)}
	s.work.Store(int64(work))
	d.servers = append(d.servers, s)
	go s.accept()
	go s.beat()
	return s, nil
}

func (s *server) stop() { s.once.Do(func() { close(s.ended); s.listener.Close() }) }

func (s *server) beat() {
	for {
		s.beats++
		body, _ := json.Marshal(map[string]any{"carrier": s.service, "address": s.address, "zone": s.zone, "edition": "v1",
			"berths": s.berths, "state": "open", "warmup": "0ms", "postmark": s.beats})
		s.d.control(http.MethodPut, "/servers/"+s.id, body, heartbeat)
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.converse(c)
	}
}

// converse answers the requests of one connection, one at a time.
func (s *server) converse(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if _, err := c.Write(s.answer(req, body)); err != nil {
			return
		}
	}
}

func raw(status int, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// answer runs a request and returns the answer's bytes.
func (s *server) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get("Try-Id")
	echo := ""
	if id != "" {
		echo = "Try-Id: " + id + "\r\n"
	}
	if r.URL.Path == "/health" {
		return raw(200, "Server-Id: "+s.id+"\r\n", "")
	}
	if want := r.Header.Get("Addressee"); want != "" && want != s.id {
		return raw(421, echo+"Not-Delivered: 1\r\n", "")
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	default:
		return raw(503, echo+"Not-Delivered: 1\r\n", "")
	}
	n := s.runs.Add(1)
	version := s.objects.current()
	s.d.record.note("server %s runs %s %s, id %s, version %d", s.id, r.Method, r.URL.RequestURI(), id, version)
	time.Sleep(time.Duration(s.work.Load()))
	load := fmt.Sprintf("Load: %d,0,%d\r\n", len(s.running), s.berths)
	stamp := fmt.Sprintf("Postmark: %s.%d.%s\r\n", s.id, n, id)
	if r.Method != http.MethodGet {
		return raw(200, echo+load+stamp, "taken "+id+"\n")
	}
	etag := fmt.Sprintf(`"v%d"`, version)
	header := echo + load + stamp + "Etag: " + etag + "\r\nLabels: t03a9f1\r\n"
	if r.Header.Get("If-None-Match") == etag {
		return fmt.Appendf(nil, "HTTP/1.1 304 Not Modified\r\n%s\r\n", header)
	}
	return raw(200, header, fmt.Sprintf("version %d of %s\n", version, r.URL.Path))
}

// answer is what a client got.
type answer struct {
	status   int
	postmark string
	body     string
	err      error
	sent     time.Time
}

var lastID atomic.Int64

// request sends one try of a client to an edge and waits for its answer for as long as Time-Left says.
func (d *deployment) request(m *machine, method, path, body string, timeLeft time.Duration) answer {
	id := fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1)))
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, clientPort, path), bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Try-Id", id)
	req.Header.Set("Time-Left", fmt.Sprint(timeLeft.Milliseconds()))
	a := answer{sent: time.Now()}
	d.record.note("client sends %s %s to %s, id %s", method, path, m.name, id)
	client := http.Client{Timeout: timeLeft, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		d.record.note("client %s has no answer: %v", id, err)
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.postmark, a.body, a.err = resp.StatusCode, resp.Header.Get("Postmark"), string(text), err
	d.record.note("client %s gets %d, Postmark %q, body %q, err %v", id, a.status, a.postmark, a.body, err)
	return a
}

// upload sends one once_only request with a long body, at some 15 MB/s, in chunks or with a length, and waits for its answer.
func (d *deployment) upload(m *machine, path string, megabytes int, chunked bool, timeLeft time.Duration) {
	id := fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1)))
	d.record.note("client sends POST %s to %s with %d MB, in chunks %v, id %s", path, m.name, megabytes, chunked, id)
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, clientPort), time.Second)
	if err != nil {
		d.record.note("client %s has no connection: %v", id, err)
		return
	}
	defer c.Close()
	const block = 1 << 20
	c.SetDeadline(time.Now().Add(timeLeft + time.Second))
	framing := fmt.Sprintf("Content-Length: %d", megabytes*block)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\nTime-Left: %d\r\n%s\r\n\r\n", path, host, id, timeLeft.Milliseconds(), framing)
	part := bytes.Repeat([]byte("x"), block)
	for range megabytes {
		if chunked {
			fmt.Fprintf(c, "%x\r\n", block)
		}
		if _, err = c.Write(part); err != nil {
			break
		}
		if chunked {
			fmt.Fprint(c, "\r\n")
		}
		time.Sleep(66 * time.Millisecond)
	}
	if chunked && err == nil {
		fmt.Fprint(c, "0\r\n\r\n")
	}
	line, readErr := bufio.NewReader(c).ReadString('\n')
	d.record.note("client %s gets %q, write err %v, read err %v", id, strings.TrimSpace(line), err, readErr)
}
