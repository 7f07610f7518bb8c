package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/exchange"
)

// Taker takes requests; exchange.Loop is one.
type Taker interface {
	Submit(x *exchange.Exchange)
	Depart(x *exchange.Exchange)
}

// Clients serves client connections.
type Clients struct {
	Taker  Taker
	Counts *exchange.Counters
	Log    *slog.Logger
	Most   int // connections open at once; past that idle ones are given up, then new ones turned away
	Ready  atomic.Bool

	mu       sync.Mutex
	open     map[*clientConn]struct{}
	closing  atomic.Bool
	wg       sync.WaitGroup
	shutting chan struct{} // closed with the idle connections
}

const (
	readPatience  = 5 * time.Second  // for the rest of a message whose first byte has come
	writePatience = 5 * time.Second  // for a client to take an answer
	idlePatience  = 90 * time.Second // for a client's next request
	freshFor      = time.Second      // in which a new connection's first request is awaited
	graceForFirst = 200 * time.Millisecond
	overdueSlack  = 30 * time.Millisecond
	slowFor       = 250 * time.Millisecond // in which a request's rest is awaited while descriptors are short
	lastPatience  = 500 * time.Millisecond // for the rest of a message once the router stops
	lingerFor     = 200 * time.Millisecond
	badLogged     = 100 // of so many bad requests one is logged
	lingerMost    = 1 << 20
	turnAwayPart  = 8 // connections over Most, as a part of it, that are kept open to be turned away
)

// NewClients returns a client side that is not ready yet.
func NewClients(taker Taker, counts *exchange.Counters, log *slog.Logger, most int) *Clients {
	return &Clients{Taker: taker, Counts: counts, Log: log, Most: most, open: map[*clientConn]struct{}{},
		shutting: make(chan struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Clients) Serve(l net.Listener) {
	wait := time.Millisecond
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.Log.Warn("accepting failed", "err", err, "open", s.Counts.ClientsOpen.Load())
			s.giveUpIdle() // it may be for want of descriptors
			time.Sleep(wait)
			wait = min(2*wait, 50*time.Millisecond)
			continue
		}
		wait = time.Millisecond
		s.Counts.ClientsAccepted.Add(1)
		s.admit(c)
	}
}

// admit starts a connection. Over the limit the one that has been idle for longest goes; if none is, this one is
// turned away as soon as its request has come, for the machine has accepted it already.
func (s *Clients) admit(c net.Conn) {
	conn := &clientConn{Conn: c, side: s, r: bufio.NewReaderSize(c, maxHead), arrived: make(chan arrival),
		resume: make(chan struct{}), gone: make(chan struct{}), since: time.Now()}
	s.mu.Lock()
	s.open[conn] = struct{}{}
	open := len(s.open)
	s.mu.Unlock()
	s.Counts.ClientsOpen.Store(int64(open))
	if open > s.Most && !s.giveUpIdle() {
		conn.turnAway = true
		s.Counts.ClientsTurnedAway.Add(1)
	}
	s.wg.Add(1)
	go conn.serve()
	for s.Counts.ClientsOpen.Load() > int64(s.Most+max(s.Most/turnAwayPart, 2)) { // those turned away go quickly
		s.giveUpIdle()
		time.Sleep(time.Millisecond)
	}
}

func (s *Clients) drop(c *clientConn) {
	s.mu.Lock()
	delete(s.open, c)
	s.Counts.ClientsOpen.Store(int64(len(s.open)))
	s.mu.Unlock()
	s.wg.Done()
}

// giveUpIdle closes the connection that has been without a whole request for longest, be it idle or slow to say
// one; false if there is none.
func (s *Clients) giveUpIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *clientConn
	for c := range s.open {
		if c.mayGo() && (victim == nil || c.since.Before(victim.since)) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.phase = givenUp
	victim.Close()
	return true
}

// Finish makes every answer from now on the last of its connection.
func (s *Clients) Finish() { s.closing.Store(true) }

// CloseIdle closes the connections that have no request in hand; the others follow with their answers.
func (s *Clients) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.phase == reading {
			c.SetReadDeadline(time.Now().Add(lastPatience))
		}
	}
	select {
	case <-s.shutting:
	default:
		close(s.shutting)
	}
}

// Wait waits until all connections are done with.
func (s *Clients) Wait() { s.wg.Wait() }

// arrival says that the next request's first byte has come, or why none will.
type arrival struct {
	at  time.Time
	err error
}

// clientConn is one client's connection. Two goroutines serve it: one has the word, the other watches for the next
// byte or the client's close whenever the first does not read.
type clientConn struct {
	net.Conn
	side    *Clients
	r       *bufio.Reader
	arrived chan arrival
	resume  chan struct{} // the watcher may read again
	gone    chan struct{} // closed when serve returns

	watching bool     // serve's: the watcher has been let go on
	ahead    *arrival // serve's: a byte of the next request that came before the answer to the last
	writing  bool     // serve's: an answer has been begun
	answered bool     // serve's: a request has been
	turnAway bool
	// Under side.mu:
	phase phase
	since time.Time // of the phase
}

// phase is what a connection is about.
type phase int

const (
	fresh   phase = iota // no byte has come yet
	reading              // a request has begun to come
	inHand               // it has come whole and is not answered
	idle                 // all that came is answered
	givenUp              // closed for want of descriptors
)

// mayGo tells whether the connection may be given up for another one. The caller holds side.mu.
func (c *clientConn) mayGo() bool {
	age := time.Since(c.since)
	return !c.turnAway && (c.phase == idle || c.phase == fresh && age > freshFor || c.phase == reading && age > slowFor)
}

// enter begins a phase; false if the connection has been given up meanwhile.
func (c *clientConn) enter(p phase) bool {
	c.side.mu.Lock()
	defer c.side.mu.Unlock()
	if c.phase == givenUp {
		return false
	}
	c.phase, c.since = p, time.Now()
	return true
}

// serve answers one request after the other. A panic ends this connection alone.
func (c *clientConn) serve() {
	defer c.side.drop(c)
	defer c.Close()
	defer close(c.gone)
	defer func() {
		if p := recover(); p != nil {
			c.side.Counts.Panics.Add(1)
			c.side.Log.Error("connection panicked", "panic", fmt.Sprint(p))
			if !c.writing { // the request still gets its answer
				c.write(http.StatusBadGateway, nil, nil, true)
			}
		}
	}()
	c.watching = true
	go c.watch()
	for {
		a, ok := c.next()
		if !ok {
			return
		}
		if !c.enter(reading) || !c.one(a) || !c.enter(idle) {
			return
		}
		c.answered = true
	}
}

// watch waits for bytes on behalf of serve.
func (c *clientConn) watch() {
	for {
		_, err := c.r.Peek(1)
		select {
		case c.arrived <- arrival{time.Now(), err}:
		case <-c.gone:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-c.resume:
		case <-c.gone:
			return
		}
	}
}

// next waits for the next request's first byte; none comes to a connection that is closed while idle.
func (c *clientConn) next() (arrival, bool) {
	if c.ahead != nil {
		a := *c.ahead
		c.ahead = nil
		return a, true
	}
	if c.turnAway {
		c.SetReadDeadline(time.Now().Add(freshFor))
	} else {
		c.SetReadDeadline(time.Now().Add(idlePatience))
	}
	c.goOn()
	var a arrival
	select {
	case a = <-c.arrived:
	case <-c.side.shutting:
		select { // a byte that came at the same moment counts, and a new connection's first request still does
		case a = <-c.arrived:
		case <-time.After(c.grace()):
			return a, false
		}
	}
	c.watching = false
	return a, a.err == nil
}

// grace is how long a connection stays open for a request that may be on its way when the router stops.
func (c *clientConn) grace() time.Duration {
	if c.answered {
		return time.Millisecond
	}
	return graceForFirst
}

// goOn lets the watcher read, if it does not.
func (c *clientConn) goOn() {
	if !c.watching {
		c.watching = true
		c.resume <- struct{}{}
	}
}

// one reads a request and sees to its answer; false ends the connection.
func (c *clientConn) one(a arrival) bool {
	patience := readPatience
	if c.side.closing.Load() {
		patience = lastPatience
	}
	c.SetReadDeadline(time.Now().Add(patience))
	req, body, err := c.read()
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return false
		}
		return c.bad(err)
	}
	c.SetReadDeadline(time.Time{})
	if !c.enter(inHand) {
		return false
	}
	last := req.Close
	if strings.HasPrefix(req.URL.Path, "/health/") || req.URL.Path == "/stats" {
		return c.own(req, last)
	}
	if req.Method != http.MethodGet && req.Method != http.MethodPut {
		return c.write(http.StatusMethodNotAllowed, http.Header{"Allow": {"GET, PUT"}}, nil, last)
	}
	request, err := parseRequest(req, body, a.at)
	if err != nil {
		return c.bad(err)
	}
	c.side.Counts.Requests.Add(1)
	if c.turnAway {
		c.side.Counts.Refused.Add(1)
		return c.write(http.StatusServiceUnavailable, retryAfter(100*time.Millisecond), nil, true)
	}
	return c.exchange(exchange.New(request), last)
}

// exchange waits for the answer and for the client's close, whichever comes first.
func (c *clientConn) exchange(x *exchange.Exchange, last bool) bool {
	submitted := false
	defer func() {
		if p := recover(); p != nil {
			if submitted {
				c.side.Taker.Depart(x)
			}
			panic(p)
		}
	}()
	c.side.Taker.Submit(x)
	submitted = true
	overdue := time.NewTimer(time.Until(x.Due) + overdueSlack)
	defer overdue.Stop()
	c.goOn()
	arrived := c.arrived
	for {
		select {
		case answer := <-x.Answer():
			return c.answer(answer, last)
		case a := <-arrived:
			if a.err != nil {
				c.side.Taker.Depart(x)
				return false
			}
			c.ahead, c.watching, arrived = &a, false, nil
		case <-overdue.C: // the loop hangs
			c.side.Counts.Overdue.Add(1)
			c.side.Taker.Depart(x)
			c.write(http.StatusGatewayTimeout, nil, nil, true)
			return false
		}
	}
}

// read reads one request whole.
func (c *clientConn) read() (*http.Request, []byte, error) {
	if err := awaitHead(c.r); err != nil {
		return nil, nil, err
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, nil, fmt.Errorf("malformed request: %w", err)
	}
	if req.Host == "" {
		return nil, nil, errors.New("malformed request: no Host")
	}
	if req.Header.Get("Expect") == "100-continue" && req.ContentLength != 0 {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	body, err := readBody(req.Body, req.ContentLength)
	return req, body, err
}

// parseRequest reads what the decisions need from a request.
func parseRequest(req *http.Request, body []byte, at time.Time) (exchange.Request, error) {
	r := exchange.Request{Class: req.Header.Get(headerClass), Tenant: req.Header.Get(headerTenant), Arrived: at,
		Method: req.Method, Target: req.RequestURI, Body: body, Write: req.Method == http.MethodPut}
	if req.Header.Get(headerID) == "" {
		return r, fmt.Errorf("no %s", headerID)
	}
	if text := req.Header.Get(headerTimeLeft); text != "" {
		left, err := parseTimeLeft(text)
		if err != nil {
			return r, err
		}
		r.TimeLeft = left
	}
	class, key := splitPath(req.URL.EscapedPath())
	if r.Class == "" {
		r.Class = class
	}
	if key != "" {
		r.Key, r.HasKey = hashKey(key), true
	}
	r.Header = endToEnd(req.Header)
	r.Header.Del(headerTimeLeft)
	r.Header["Host"] = []string{req.Host}
	return r, nil
}

// splitPath returns a path's first part, and its last if there are two or more.
func splitPath(path string) (first, last string) {
	path = strings.TrimPrefix(path, "/")
	first, rest, more := strings.Cut(path, "/")
	if !more {
		return first, ""
	}
	return first, rest[strings.LastIndexByte(rest, '/')+1:]
}

// hashKey maps a key's name to a number, by FNV-1a: the same at every router.
func hashKey(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// answer writes a final answer.
func (c *clientConn) answer(a exchange.Answer, last bool) bool {
	switch {
	case a.Kind == exchange.Served:
		return c.write(http.StatusOK, a.Header, a.Body, last)
	case a.Kind == exchange.Refused:
		return c.write(http.StatusServiceUnavailable, retryAfter(a.RetryAfter), nil, last)
	case a.TimedOut:
		return c.write(http.StatusGatewayTimeout, nil, nil, last)
	}
	return c.write(http.StatusBadGateway, nil, nil, last)
}

func retryAfter(d time.Duration) http.Header {
	if d <= 0 {
		return nil
	}
	return http.Header{"Retry-After": {strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}}
}

// bad answers a message that breaks the protocol and closes.
func (c *clientConn) bad(err error) bool {
	if n := c.side.Counts.BadRequests.Add(1); n%badLogged == 1 { // a flood of them is not to fill the log
		c.side.Log.Warn("bad request", "err", err, "client", c.RemoteAddr(), "so_far", n)
	}
	c.write(http.StatusBadRequest, http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		[]byte(err.Error()+"\n"), true)
	c.linger()
	return false
}

// linger reads on for a moment before a close, for a close over unread bytes would take the answer back.
func (c *clientConn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerFor))
		io.Copy(io.Discard, io.LimitReader(c.Conn, lingerMost))
	}
}

// own answers what is asked of the router itself.
func (c *clientConn) own(req *http.Request, last bool) bool {
	plain := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	switch {
	case req.Method != http.MethodGet:
		return c.write(http.StatusMethodNotAllowed, http.Header{"Allow": {"GET"}}, nil, last)
	case req.URL.Path == "/health/live":
		return c.write(http.StatusOK, plain, []byte("live\n"), last)
	case req.URL.Path == "/health/ready" && c.side.Ready.Load() && !c.side.closing.Load():
		return c.write(http.StatusOK, plain, []byte("ready\n"), last)
	case req.URL.Path == "/health/ready":
		return c.write(http.StatusServiceUnavailable, plain, []byte("not ready\n"), last)
	case req.URL.Path == "/stats":
		return c.write(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, c.side.Counts.JSON(), last)
	}
	return c.write(http.StatusNotFound, plain, []byte("not found\n"), last)
}

// write writes an answer; false ends the connection.
func (c *clientConn) write(status int, header http.Header, body []byte, last bool) bool {
	last = last || c.turnAway || c.side.closing.Load()
	head := make([]byte, 0, 256)
	head = fmt.Appendf(head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	head = appendHeader(head, header)
	head = fmt.Appendf(head, "Content-Length: %d\r\n", len(body))
	if last {
		head = appendLine(head, "Connection", "close")
	}
	head = append(head, "\r\n"...)
	c.writing = true
	c.SetWriteDeadline(time.Now().Add(writePatience))
	if _, err := writeMessage(c.Conn, head, body); err != nil {
		c.side.Log.Debug("answer not taken", "err", err, "client", c.RemoteAddr())
		return false
	}
	c.writing = false
	return !last
}
