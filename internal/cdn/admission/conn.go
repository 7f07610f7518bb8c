package admission

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	freeHeadBytes     = 8 << 10 // of a request's head are part of what its connection is charged
	bytesPerHeadLine  = 128     // that a field of a head costs beside its own bytes
	headReadOperation = "read"  // http.Server answers nothing on a connection whose error is a net.OpError of this operation
)

// Conn is a connection that was admitted. For an HTTP server it charges the heads of requests; see Guard.
type Conn struct {
	net.Conn
	listener  *Listener
	idleEntry *list.Element // in the listener's idle list; nil: not in it. Guarded by the listener's mu, as the next two
	idleSince time.Time
	forgotten bool

	mu          sync.Mutex
	reservation *Reservation // of the connection
	head        *Reservation // of the head of the request in progress; nil: nothing is charged
	headBudget  *Budget      // nil: heads are not charged
	headCost    int64        // of the head that is being read
	readingHead bool         // between requests, or while a head is read
	active      bool         // a request is being read or answered
	closed      bool         // no bytes are passed on any more

	hasWriteDeadline bool
}

// Read reads. It charges the bytes of a head before it passes them on.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	refused, passOn := c.received(b[:n])
	if refused != nil {
		writeRefusal(c.Conn, c.listener.limits.Refusal)
	}
	if !passOn {
		return 0, &net.OpError{Op: headReadOperation, Net: "tcp", Err: errors.Join(refused, net.ErrClosed)}
	}
	return n, err
}

// received records that bytes have arrived. passOn is false if they must not be read; refused is the reason, unless the connection was
// closed meanwhile.
func (c *Conn) received(data []byte) (refused error, passOn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	if c.headBudget == nil { // between processes the time since the last message decides
		c.listener.setIdle(c, true)
		return nil, true
	}
	c.setActive()
	if !c.readingHead {
		return nil, true
	}
	if err := c.chargeHead(data); err != nil {
		c.closed = true
		return err, false
	}
	return nil, true
}

// setActive records that a request is in progress: the connection makes room for no other. The caller holds the lock.
func (c *Conn) setActive() {
	if !c.active {
		c.active = true
		c.listener.setIdle(c, false)
	}
}

// chargeHead charges bytes of a head. The caller holds the lock.
func (c *Conn) chargeHead(data []byte) error {
	before := max(c.headCost, freeHeadBytes)
	c.headCost += int64(len(data) + bytesPerHeadLine*bytes.Count(data, []byte{'\n'}))
	if c.headCost <= before {
		return nil
	}
	if c.head == nil {
		c.head = c.headBudget.Reserve()
	}
	return c.head.Grow(c.headCost - before)
}

// headRead records that a request's head has been read. What it is charged is held until the request ends.
func (c *Conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHead = false
	c.setActive() // the head may have been read together with the request before it
}

// requestEnded records that a request has been answered.
func (c *Conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHead, c.headCost, c.active = true, 0, false
	c.head.Release()
	c.head = nil
	if c.hasWriteDeadline {
		c.hasWriteDeadline = false
		c.Conn.SetWriteDeadline(time.Time{})
	}
	c.listener.setIdle(c, true)
}

// SetWriteDeadline implements net.Conn. The deadline ends with the request.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.hasWriteDeadline = !t.IsZero()
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// evict closes the connection, to make room for another one, unless a request has begun on it meanwhile. What arrives from now on is not
// read.
func (c *Conn) evict() {
	c.mu.Lock()
	c.closed = c.closed || !c.active
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.Close()
	}
}

// Close closes the connection and returns what it was charged.
func (c *Conn) Close() error {
	c.listener.forget(c)
	c.mu.Lock()
	c.head.Release()
	c.head = nil
	c.reservation.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
