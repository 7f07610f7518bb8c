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
	Most   int                     // connections open at once; past that idle ones are given up, then new ones turned away
	Knows  func(class string) bool // nil: every class is known
	Long   *exchange.Budget        // of requests over the usual bound; nil: none is taken
	Ready  atomic.Bool

	mu       sync.Mutex
	open     map[*clientConn]struct{}
	ids      map[string]bool // of the requests in hand
	draining chan struct{}   // holds as many as read on after a body that is too long
	closing  atomic.Bool
	wg       sync.WaitGroup
	shutting chan struct{} // closed with the idle connections
}

const (
	headPatience   = 2500 * time.Millisecond // for the rest of a head whose first byte has come
	bodyPatience   = 2 * time.Second         // for a body, and by its length on top
	bodyRate       = 32 << 10                // bytes a second that a body must keep up, half of what the slowest clients do
	writePatience  = 5 * time.Second         // for a client to take an answer
	partPatience   = 10 * time.Second        // to take a part of a long one
	idlePatience   = 20 * time.Second        // for a client's next request
	leastIdle      = 2 * time.Second         // a client may count on so much
	hardlyIdle     = 50 * time.Millisecond   // but for this little while a request would be turned away
	freshPatience  = 2 * time.Second         // for a new connection's first byte
	freshFor       = 100 * time.Millisecond  // the same while descriptors are short: who connects has a request to send
	turnAwayFor    = time.Second             // for the request of one that is turned away
	graceForFirst  = 200 * time.Millisecond
	overdueSlack   = 30 * time.Millisecond
	slowFor        = 250 * time.Millisecond  // in which a request's rest is awaited while descriptors are short
	lastPatience   = 1500 * time.Millisecond // for the rest of a head once the router stops
	badLogged      = 100                     // of so many bad requests one is logged
	maxPeeks       = 16                      // connections that are looked at to give one up
	lingerFor      = 200 * time.Millisecond
	lingerMost     = 1 << 20
	drainFor       = 2 * time.Second // for the rest of a body that was refused by its length
	drainMost      = 64 << 20
	maxDrains      = 4                      // at once; the others get the short way
	comeAgainAfter = 100 * time.Millisecond // what one that is turned away for want of room is told
	idlePart       = 3                      // of Most, that idle connections may be
	turnAwayPart   = 8                      // connections over Most, as a part of it, that are kept open to be turned away
)

// NewClients returns a client side that is not ready yet.
func NewClients(taker Taker, counts *exchange.Counters, log *slog.Logger, most int) *Clients {
	return &Clients{Taker: taker, Counts: counts, Log: log, Most: most, open: map[*clientConn]struct{}{},
		ids: map[string]bool{}, draining: make(chan struct{}, maxDrains), shutting: make(chan struct{})}
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
	in := &timedReader{Conn: c}
	conn := &clientConn{Conn: c, side: s, in: in, r: bufio.NewReaderSize(in, maxHead), arrived: make(chan arrival),
		resume: make(chan struct{}), gone: make(chan struct{}), since: time.Now(), accepted: time.Now()}
	s.mu.Lock()
	s.open[conn] = struct{}{}
	open, most := len(s.open), s.Most
	s.mu.Unlock()
	s.Counts.ClientsOpen.Store(int64(open))
	if open > most && !s.giveUpIdle() {
		conn.turnAway = true
		s.Counts.ClientsTurnedAway.Add(1)
	}
	s.wg.Add(1)
	go conn.serve()
	for s.Counts.ClientsOpen.Load() > int64(most+max(most/turnAwayPart, 2)) { // those turned away go quickly
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

// trimIdle closes idle connections over a part of the limit. Clients may hold only so many connections themselves; those
// that ask once and stay would keep the others from ever getting one.
func (s *Clients) trimIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*clientConn
	for c := range s.open {
		if c.phase == idle {
			all = append(all, c)
		}
	}
	over := len(all) - max(s.Most/idlePart, 1)
	if over <= 0 {
		return
	}
	slices.SortFunc(all, byOrder)
	for _, c := range all {
		if over > 0 && c.mayGo() && socket.Peek(c.Conn) != socket.Unread {
			c.giveUp()
			over--
		}
	}
}

// byOrder sorts connections by the order in which they are given up.
func byOrder(a, b *clientConn) int {
	return cmp.Or(cmp.Compare(a.order(), b.order()), a.since.Compare(b.since))
}

// claim books the id of a request in hand; false if another one has it.
func (s *Clients) claim(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id] {
		return false
	}
	s.ids[id] = true
	return true
}

func (s *Clients) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

// giveUpIdle closes one connection that has no whole request in hand; false if there is none. Those that were
// refused go first, then those that never said a request, then those that are slow to, then the idle, and those that
// have hardly been idle last, the oldest of each kind first. Where bytes have come that were not read yet it is the router that is slow.
func (s *Clients) giveUpIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var may []*clientConn
	for c := range s.open {
		if c.mayGo() {
			may = append(may, c)
		}
	}
	slices.SortFunc(may, byOrder)
	for _, c := range may[:min(len(may), maxPeeks)] {
		if c.phase == leaving || socket.Peek(c.Conn) != socket.Unread {
			c.giveUp()
			return true
		}
	}
	return false
}

// SetMost changes the limit. Connections over a lower one go as they fall idle and others come.
func (s *Clients) SetMost(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Most = most
}

// Serving tells whether clients may come.
func (s *Clients) Serving() bool { return s.Ready.Load() && !s.closing.Load() }

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
