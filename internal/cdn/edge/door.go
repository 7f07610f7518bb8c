package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"cedarmast/internal/cdn/halfclose"
)

// door keeps the clients' connections, so that the end closes those that have no request in hand and no other. http.Server's
// own Shutdown goes by a state that it sets after a request has been read: one that came in that moment was passed on to a
// server and lost its answer.
type door struct {
	net.Listener
	mu    sync.Mutex
	all   map[*caller]struct{}
	over  chan struct{} // closed once no connection can come any more
	ended sync.Once
}

// caller is one client's connection.
type caller struct {
	*halfclose.Conn
	door *door
	mu   sync.Mutex
	busy bool // a byte of a request has been read, and its answer is not out
	shut bool
}

func newDoor(l net.Listener) *door {
	return &door{Listener: l, all: map[*caller]struct{}{}, over: make(chan struct{})}
}

// Accept takes the next connection.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			d.ended.Do(func() { close(d.over) })
		}
		return nil, err
	}
	k := &caller{Conn: halfclose.New(c), door: d}
	d.mu.Lock()
	d.all[k] = struct{}{}
	d.mu.Unlock()
	return k, nil
}

// Read reads, and begins a request with its first byte. What comes to a connection that is shut is read by nobody.
func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	c.busy = c.busy || n > 0
	return n, err
}

// Close closes it and lets it go.
func (c *caller) Close() error {
	c.door.mu.Lock()
	delete(c.door.all, c)
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// connectionKey is where a request's context has its connection.
type connectionKey struct{}

// withConnection is http.Server's ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// onLeave names what is called when the client of a request leaves after it has sent more on its connection.
func onLeave(r *http.Request, f func()) {
	if c, ok := r.Context().Value(connectionKey{}).(*caller); ok {
		c.OnLeave(f)
	}
}

// state is http.Server's word on a connection: idle means that an answer is out.
func (d *door) state(c net.Conn, s http.ConnState) {
	if k, ok := c.(*caller); ok && s == http.StateIdle {
		k.mu.Lock()
		k.busy = false
		k.mu.Unlock()
	}
}

// closeIdle closes the connections that have no request in hand and returns how many are left.
func (d *door) closeIdle() int {
	d.mu.Lock()
	all := make([]*caller, 0, len(d.all))
	for c := range d.all {
		all = append(all, c)
	}
	d.mu.Unlock()
	left := 0
	for _, c := range all {
		c.mu.Lock()
		idle := !c.busy
		c.shut = c.shut || idle
		c.mu.Unlock()
		if idle {
			c.Close()
		} else {
			left++
		}
	}
	return left
}

// drain takes no more connections, closes the idle ones as they fall idle, and returns how many have requests in hand at the end. One
// that was accepted as the listener closed may not be among all yet: none is the last word only once the accepting has ended.
func (d *door) drain(until time.Time) (left int) {
	d.Listener.Close()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case <-d.over:
	case <-late.C:
	}
	for {
		if left = d.closeIdle(); left == 0 || !time.Now().Before(until) {
			return left
		}
		time.Sleep(20 * time.Millisecond)
	}
}
