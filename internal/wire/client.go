package wire

import (
	"bufio"
	"cmp"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// RequestHandler handles requests; exchange.Loop implements it.
type RequestHandler interface {
	// Submit starts an exchange and sets its deadline.
	Submit(x *exchange.Exchange)
	// ClientDisconnected reports that the client of an exchange no longer waits for the answer.
	ClientDisconnected(x *exchange.Exchange)
}

// Frontend accepts and serves client connections. Use NewFrontend to create one.
type Frontend struct {
	Handler    RequestHandler
	Counters   *exchange.Counters
	Log        *slog.Logger
	MaxConns   int                     // open connections; over it, idle ones are closed, then the requests of new ones refused
	KnownClass func(class string) bool // reports whether a service class is configured; nil: any class is accepted
	BodyBudget *exchange.Budget        // memory for request bodies over maxBody, in bytes; nil: these are refused
	Ready      atomic.Bool             // what /health/ready reports

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	inFlightIDs map[string]bool // ids of the requests in flight
	drainSlots  chan struct{}   // semaphore of the connections that discard the rest of a refused body
	closing     atomic.Bool
	wg          sync.WaitGroup
	shutdown    chan struct{} // closed by CloseIdle
}

const (
	headTimeout             = 2500 * time.Millisecond // for the rest of a request head after its first byte
	bodyTimeout             = 2 * time.Second         // for a request body, plus its length / minBodyRate
	minBodyRate             = 32 << 10                // bytes per second; half the rate of the slowest clients
	writeTimeout            = 5 * time.Second         // for a client to accept a complete answer
	streamWriteTimeout      = 10 * time.Second        // for a client to accept one part of a streamed answer
	idleTimeout             = 20 * time.Second        // for the next request on a kept-alive connection
	softMinIdle             = 2 * time.Second         // idle connections are kept this long while others can be closed
	hardMinIdle             = 50 * time.Millisecond   // idle connections are kept this long even if a request is refused for it
	firstByteTimeout        = 2 * time.Second         // for the first byte on a new connection
	atLimitFirstByteTimeout = 100 * time.Millisecond  // the same at the limit: clients connect to send a request
	rejectTimeout           = time.Second             // for the request on a connection over the limit, which is then refused
	firstRequestGrace       = 200 * time.Millisecond  // at shutdown, for the first request on a new connection
	overdueSlack            = 30 * time.Millisecond   // past an exchange's deadline, after which the loop counts as hung
	atLimitReadTimeout      = 250 * time.Millisecond  // for the rest of a request at the connection limit
	shutdownHeadTimeout     = 1500 * time.Millisecond // for the rest of a request head during shutdown
	badRequestLogInterval   = 100                     // one of this many bad requests is logged
	maxPeeks                = 16                      // connections examined to find one to close
	lingerTimeout           = 200 * time.Millisecond  // for unread input before a close
	maxLingerBytes          = 1 << 20                 // bytes
	drainTimeout            = 2 * time.Second         // for the rest of a body that was refused because of its length
	maxDrainBytes           = 64 << 20                // bytes
	maxDrains               = 4                       // at a time; other connections linger for lingerTimeout
	rejectRetryAfter        = 100 * time.Millisecond  // Retry-After at the connection limit or with the body budget exhausted
	idleDivisor             = 3                       // idle connections may be this fraction of MaxConns
	rejectDivisor           = 8                       // connections over MaxConns kept open to refuse their requests: this fraction of it
)

// NewFrontend returns a Frontend that allows maxConns open connections. It does not report ready yet.
func NewFrontend(handler RequestHandler, counts *exchange.Counters, log *slog.Logger, maxConns int) *Frontend {
	return &Frontend{Handler: handler, Counters: counts, Log: log, MaxConns: maxConns, conns: map[*clientConn]struct{}{},
		inFlightIDs: map[string]bool{}, drainSlots: make(chan struct{}, maxDrains), shutdown: make(chan struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Frontend) Serve(l net.Listener) {
	backoff := time.Millisecond
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.Log.Warn("accepting failed", "err", err, "open", s.Counters.ClientsOpen.Load())
			s.evictIdle() // accept may have failed for lack of file descriptors
			time.Sleep(backoff)
			backoff = min(2*backoff, 50*time.Millisecond)
			continue
		}
		backoff = time.Millisecond
		s.Counters.ClientsAccepted.Add(1)
		s.admit(c)
	}
}

// admit starts serving a connection. Over the limit the connection that has been idle longest is closed; if none is idle,
// the request of the new one is refused as soon as it has arrived, since the kernel has accepted the connection already.
func (s *Frontend) admit(c net.Conn) {
	input := &timedReader{Conn: c}
	conn := &clientConn{Conn: c, frontend: s, input: input, reader: bufio.NewReaderSize(input, maxHead),
		firstBytes: make(chan firstByte), resume: make(chan struct{}), done: make(chan struct{}),
		stateSince: time.Now(), acceptedAt: time.Now()}
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	open, maxConns := len(s.conns), s.MaxConns
	s.mu.Unlock()
	s.Counters.ClientsOpen.Store(int64(open))
	if open > maxConns && !s.evictIdle() {
		conn.reject = true
		s.Counters.ClientsRejected.Add(1)
	}
	s.wg.Add(1)
	go conn.serve()
	// Wait while too many are over the limit; connections whose request is refused close quickly.
	for s.Counters.ClientsOpen.Load() > int64(maxConns+max(maxConns/rejectDivisor, 2)) {
		s.evictIdle()
		time.Sleep(time.Millisecond)
	}
}

// removeConn unregisters a connection whose serve method returns.
func (s *Frontend) removeConn(c *clientConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.Counters.ClientsOpen.Store(int64(len(s.conns)))
	s.mu.Unlock()
	s.wg.Done()
}

// closeExcessIdle closes idle connections over a fraction of the limit. A client may hold only a limited number of
// connections itself; clients that send one request and stay connected would keep others from getting a connection.
func (s *Frontend) closeExcessIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idleConns []*clientConn
	for c := range s.conns {
		if c.state == stateIdle {
			idleConns = append(idleConns, c)
		}
	}
	excess := len(idleConns) - max(s.MaxConns/idleDivisor, 1)
	if excess <= 0 {
		return
	}
	slices.SortFunc(idleConns, compareEvictionOrder)
	for _, c := range idleConns {
		if excess > 0 && c.evictable() && socket.Peek(c.Conn) != socket.Unread {
			c.evict()
			excess--
		}
	}
}

// compareEvictionOrder sorts connections by eviction rank, the longest in their state first.
func compareEvictionOrder(a, b *clientConn) int {
	return cmp.Or(cmp.Compare(a.evictionRank(), b.evictionRank()), a.stateSince.Compare(b.stateSince))
}

// reserveID registers the id of a request in flight. It returns false if another request in flight has the same id.
func (s *Frontend) reserveID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlightIDs[id] {
		return false
	}
	s.inFlightIDs[id] = true
	return true
}

// releaseID unregisters the id of a request that is no longer in flight.
func (s *Frontend) releaseID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlightIDs, id)
}

// evictIdle closes one connection without a complete request; false if there is none. Rejected connections are closed
// first, then those that have sent nothing, then those that are slow to send a request, then idle ones, and last those
// that have been idle for a short time, the longest in their state first. A connection with unread input is kept: it is
// the router that is slow then.
func (s *Frontend) evictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*clientConn
	for c := range s.conns {
		if c.evictable() {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, compareEvictionOrder)
	for _, c := range candidates[:min(len(candidates), maxPeeks)] {
		if c.state == stateRejected || socket.Peek(c.Conn) != socket.Unread {
			c.evict()
			return true
		}
	}
	return false
}

// SetMaxConns changes the connection limit. Connections over a lower limit are closed when they are idle and new ones arrive.
func (s *Frontend) SetMaxConns(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConns = maxConns
}

// IsServing reports whether the router is ready for clients and not shutting down.
func (s *Frontend) IsServing() bool { return s.Ready.Load() && !s.closing.Load() }

// StopKeepAlive makes every further answer close its connection.
func (s *Frontend) StopKeepAlive() { s.closing.Store(true) }

// CloseIdle closes the connections without a request in flight; the others are closed after their answers.
func (s *Frontend) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == stateReading {
			c.SetReadDeadline(time.Now().Add(shutdownHeadTimeout))
		}
	}
	select {
	case <-s.shutdown:
	default:
		close(s.shutdown)
	}
}

// Wait waits until all connections are closed.
func (s *Frontend) Wait() { s.wg.Wait() }
