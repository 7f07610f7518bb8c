package edge

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/halfclose"
)

const (
	limitEvery    = time.Second      // connections are held against the configuration's limits
	longestIdle   = 10 * time.Minute // http.Server's own bounds, whatever the configuration says
	longestHeader = time.Minute
)

// clientListener keeps the clients' connections, so that the end closes those that have no request in hand and no other. http.Server's
// own Shutdown goes by a state that it sets after a request has been read: one that came in that moment was passed on to a
// server and lost its answer.
type clientListener struct {
	net.Listener
	mu    sync.Mutex
	all   map[*clientConn]struct{}
	over  chan struct{} // closed once no connection can come any more
	ended sync.Once

	looked time.Time // when connections were last held against the limits
}

// clientConn is one client's connection.
type clientConn struct {
	*halfclose.Conn
	listener *clientListener
	mu       sync.Mutex
	busy     bool      // a byte of a request has been read, and its answer is not out
	whole    bool      // with busy: the request's head has been read
	since    time.Time // when it was accepted, its answer was out, or the first byte of a request was read
	shut     bool
}

func newClientListener(l net.Listener) *clientListener {
	return &clientListener{Listener: l, all: map[*clientConn]struct{}{}, over: make(chan struct{})}
}

// Accept takes the next connection.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			l.ended.Do(func() { close(l.over) })
		}
		return nil, err
	}
	k := &clientConn{Conn: halfclose.New(c), listener: l, since: time.Now()}
	l.mu.Lock()
	l.all[k] = struct{}{}
	l.mu.Unlock()
	return k, nil
}

// Read reads, and begins a request with its first byte. What comes to a connection that is shut is read by nobody.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.busy {
		c.busy, c.since = true, time.Now()
	}
	return n, err
}

// Close closes it and lets it go.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.all, c)
	c.listener.mu.Unlock()
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
	if c, ok := r.Context().Value(connectionKey{}).(*clientConn); ok {
		c.OnLeave(f)
	}
}

// state is http.Server's word on a connection: active means that a request's head has been read, idle that its answer is out.
func (l *clientListener) state(c net.Conn, s http.ConnState) {
	k, ok := c.(*clientConn)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch s {
	case http.StateActive:
		k.busy, k.whole = true, true
	case http.StateIdle:
		k.busy, k.whole, k.since = false, false, time.Now()
	}
}

// limit closes the connections that rest for longer than the configuration in force allows, or whose request's head takes longer, until the
// context ends. http.Server has such bounds as well, but can't change them while it runs.
func (l *clientListener) limit(ctx context.Context, limits func() clusterstate.Limits) {
	turn := time.NewTicker(limitEvery)
	defer turn.Stop()
	for {
		select {
		case <-turn.C:
			l.look(time.Now(), limits())
		case <-ctx.Done():
			return
		}
	}
}

// look holds the connections against the limits, but for the first time after the process stood still: what clients sent meanwhile has yet to be read.
func (l *clientListener) look(now time.Time, limits clusterstate.Limits) {
	stood := !l.looked.IsZero() && now.Sub(l.looked) > 2*limitEvery
	l.looked = now
	if !stood {
		l.closeLate(now, limits)
	}
}

func (l *clientListener) closeLate(now time.Time, limits clusterstate.Limits) {
	for _, c := range l.connections() {
		c.mu.Lock()
		rests := now.Sub(c.since)
		late := !c.busy && rests > limits.Idle || c.busy && !c.whole && rests > limits.Header
		c.shut = c.shut || late
		c.mu.Unlock()
		if late {
			c.Close()
		}
	}
}

func (l *clientListener) connections() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.all))
}

// closeIdle closes the connections that have no request in hand and returns how many are left.
func (l *clientListener) closeIdle() int {
	left := 0
	for _, c := range l.connections() {
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
func (l *clientListener) drain(until time.Time) (left int) {
	l.Listener.Close()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case <-l.over:
	case <-late.C:
	}
	for {
		if left = l.closeIdle(); left == 0 || !time.Now().Before(until) {
			return left
		}
		time.Sleep(20 * time.Millisecond)
	}
}
