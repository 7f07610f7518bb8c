package admission

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// Limits bound the connections of one listener.
type Limits struct {
	Connections     int           // open at once
	ConnectionBytes int64         // that a connection is charged
	Budget          *Budget       // that they are charged to
	MinIdle         time.Duration // a connection that has been idle for longer makes room for a new one
	Refusal         []byte        // is written to a connection that is refused; empty: nothing
}

const (
	refusalTimeout    = 250 * time.Millisecond // for a refused caller to read why
	maxRefusedAtOnce  = 64                     // callers that are told why they are refused; others' connections are closed at once
	refusedReadBuffer = 1 << 10
)

// Listener accepts connections within its limits. If there is no room for a new one, the one that has been idle for longest makes room; if
// none has been idle for long enough, the new one is refused.
type Listener struct {
	net.Listener
	limits Limits

	mu       sync.Mutex
	idle     *list.List // of *Conn: those that may be closed, the one idle for longest first
	open     int
	refusing int // callers that are being told why they are refused
}

// NewListener wraps a listener.
func NewListener(l net.Listener, limits Limits) *Listener {
	return &Listener{Listener: l, limits: limits, idle: list.New()}
}

// Accept returns the next connection that has room. Its type is *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted, listener: l, reservation: l.limits.Budget.Reserve(), readingHead: true}
		if l.admit(conn) {
			return conn, nil
		}
		l.refuse(accepted)
	}
}

// admit reports whether there is room for a connection, and charges it.
func (l *Listener) admit(c *Conn) bool {
	for !l.charge(c) {
		longestIdle := l.longestIdle()
		if longestIdle == nil {
			return false
		}
		longestIdle.evict()
	}
	return true
}

// charge charges a connection, and reports whether it fits.
func (l *Listener) charge(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limits.Connections || c.reservation.Grow(l.limits.ConnectionBytes) != nil {
		return false
	}
	l.open++
	c.idleSince, c.idleEntry = time.Now(), l.idle.PushBack(c)
	return true
}

// longestIdle removes from the idle list the connection that may be closed to make room, and returns it; nil if there is none.
func (l *Listener) longestIdle() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*Conn)
	if time.Since(c.idleSince) < l.limits.MinIdle {
		return nil
	}
	l.idle.Remove(front)
	c.idleEntry = nil
	return c
}

// setIdle records whether a connection may be closed to make room.
func (l *Listener) setIdle(c *Conn, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !idle && c.idleEntry != nil:
		l.idle.Remove(c.idleEntry)
		c.idleEntry = nil
	case idle && c.idleEntry == nil && !c.forgotten:
		c.idleSince, c.idleEntry = time.Now(), l.idle.PushBack(c)
	case idle && c.idleEntry != nil:
		c.idleSince = time.Now()
		l.idle.MoveToBack(c.idleEntry)
	}
}

// forget returns what a closed connection was charged.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.forgotten {
		return
	}
	c.forgotten = true
	l.open--
	if c.idleEntry != nil {
		l.idle.Remove(c.idleEntry)
		c.idleEntry = nil
	}
}

// refuse tells the caller why its connection is closed. It waits a moment before that, in the background: the kernel would drop the
// refusal together with what the caller has sent.
func (l *Listener) refuse(conn net.Conn) {
	l.mu.Lock()
	tell := len(l.limits.Refusal) > 0 && l.refusing < maxRefusedAtOnce
	if tell {
		l.refusing++
	}
	l.mu.Unlock()
	if !tell {
		conn.Close()
		return
	}
	go func() {
		writeRefusal(conn, l.limits.Refusal)
		conn.Close()
		l.mu.Lock()
		l.refusing--
		l.mu.Unlock()
	}()
}

// writeRefusal writes a refusal and reads, for a moment, what the caller still sends.
func writeRefusal(conn net.Conn, refusal []byte) {
	conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := conn.Write(refusal); err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	for buffer := make([]byte, refusedReadBuffer); ; {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
