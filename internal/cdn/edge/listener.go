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
	limitInterval    = time.Second      // interval at which connections are checked against the configuration's limits
	maxIdleTimeout   = 10 * time.Minute // http.Server's own timeouts, whatever the configuration says
	maxHeaderTimeout = time.Minute
)

// clientListener tracks the client connections, so that a shutdown closes exactly those without a request in progress. http.Server.Shutdown
// relies on a state that is set only after a request has been read: a request that arrived in between was forwarded to a server and its
// response was lost.
type clientListener struct {
	net.Listener
	mu              sync.Mutex
	conns           map[*clientConn]struct{}
	acceptEnded     chan struct{} // closed once no further connection can be accepted
	acceptEndedOnce sync.Once

	checkedAt time.Time // when the connections were last checked against the limits
}

// clientConn is a client connection.
type clientConn struct {
	*halfclose.Conn
	listener   *clientListener
	mu         sync.Mutex
	busy       bool      // a byte of a request has been read, and its response is not yet written
	headerRead bool      // with busy: the request's header has been read
	since      time.Time // when it was accepted, the last response was written, or the first byte of a request was read
	closing    bool
}

// newClientListener wraps a listener.
func newClientListener(l net.Listener) *clientListener {
	return &clientListener{Listener: l, conns: map[*clientConn]struct{}{}, acceptEnded: make(chan struct{})}
}

// Accept returns the next connection.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			l.acceptEndedOnce.Do(func() { close(l.acceptEnded) })
		}
		return nil, err
	}
	conn := &clientConn{Conn: halfclose.NewConn(c), listener: l, since: time.Now()}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// Read reads; the first byte of a request marks the connection busy. Data that arrives on a connection that is being closed is dropped.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.busy {
		c.busy, c.since = true, time.Now()
	}
	return n, err
}

// Close closes the connection and removes it from the listener.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection adds the connection to a context, as http.Server's ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// onDisconnect sets the function that is called when the request's client disconnects after it has sent more data on its connection.
func onDisconnect(r *http.Request, f func()) {
	if c, ok := r.Context().Value(connectionKey{}).(*clientConn); ok {
		c.OnDisconnect(f)
	}
}

// state is http.Server's ConnState hook: active means that a request's header has been read, idle that its response is written.
func (l *clientListener) state(c net.Conn, s http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	switch s {
	case http.StateActive:
		conn.busy, conn.headerRead = true, true
	case http.StateIdle:
		conn.busy, conn.headerRead, conn.since = false, false, time.Now()
	}
}

// enforceLimits closes connections that are idle for longer than the configuration in force allows, or whose request header takes longer,
// until the context ends. http.Server has such timeouts as well, but can't change them while it runs.
func (l *clientListener) enforceLimits(ctx context.Context, limits func() clusterstate.Limits) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.checkLimits(time.Now(), limits())
		case <-ctx.Done():
			return
		}
	}
}

// checkLimits checks the connections against the limits. It skips the first check after the process was stalled: data that clients sent
// meanwhile has not been read yet.
func (l *clientListener) checkLimits(now time.Time, limits clusterstate.Limits) {
	stalled := !l.checkedAt.IsZero() && now.Sub(l.checkedAt) > 2*limitInterval
	l.checkedAt = now
	if !stalled {
		l.closeExpired(now, limits)
	}
}

// closeExpired closes the connections that exceed the limits.
func (l *clientListener) closeExpired(now time.Time, limits clusterstate.Limits) {
	for _, c := range l.connections() {
		c.mu.Lock()
		elapsed := now.Sub(c.since)
		expired := !c.busy && elapsed > limits.Idle || c.busy && !c.headerRead && elapsed > limits.Header
		c.closing = c.closing || expired
		c.mu.Unlock()
		if expired {
			c.Close()
		}
	}
}

// connections returns the open connections.
func (l *clientListener) connections() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// closeIdle closes the connections without a request in progress and returns how many are left.
func (l *clientListener) closeIdle() int {
	left := 0
	for _, c := range l.connections() {
		c.mu.Lock()
		idle := !c.busy
		c.closing = c.closing || idle
		c.mu.Unlock()
		if idle {
			c.Close()
		} else {
			left++
		}
	}
	return left
}

// drain accepts no more connections, closes each connection when it becomes idle, and returns how many still have a request in progress at
// the deadline. A connection that was accepted just as the listener closed may not be in the set yet, so zero is final only once Accept has
// failed.
func (l *clientListener) drain(deadline time.Time) (left int) {
	l.Listener.Close()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-l.acceptEnded:
	case <-timer.C:
	}
	for {
		if left = l.closeIdle(); left == 0 || !time.Now().Before(deadline) {
			return left
		}
		time.Sleep(20 * time.Millisecond)
	}
}
