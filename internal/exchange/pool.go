package exchange

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cedarmast/balance"
)

// Conn is a connection to a server, as far as the pool uses it.
type Conn interface {
	// Acquire marks an idle connection as in use; false if it has been closed in the meantime.
	Acquire() bool
	Close() error
}

// CheckedConn is a connection that knows, without being read, whether it may still be used.
type CheckedConn interface {
	Conn
	// Usable reports whether it is open and has brought nothing since its last response.
	Usable() bool
}

// responseRetention is how long the time of a server's last response is kept. It is longer than any attempt takes.
const responseRetention = time.Minute

// ErrPoolExhausted is returned when the maximum number of server connections is open and all of them stay in use.
var ErrPoolExhausted = errors.New("connection pool exhausted")

// Pool keeps idle connections to servers and limits the number of open ones. The connection that was used last is reused first.
type Pool struct {
	MaxOpen     int           // maximum number of open connections, including idle ones
	IdleTimeout time.Duration // idle timeout, after which a connection is not reused
	Counters    *Counters

	mu           sync.Mutex
	idle         map[balance.ServerID][]idleConn // oldest first
	lastResponse map[balance.ServerID]time.Time  // time of each server's last response
	open         int
	closed       bool

	reuse reuseTracker

	waiters []chan struct{} // callers of Get that wait for a connection, in order of arrival
}

// idleConn is an idle connection, the address it leads to and the time at which it became idle.
type idleConn struct {
	Conn
	address   string
	idleSince time.Time
}

// NewPool returns an empty pool with a maximum number of open connections and an idle timeout.
func NewPool(maxOpen int, idleTimeout time.Duration, counts *Counters) *Pool {
	return &Pool{MaxOpen: maxOpen, IdleTimeout: idleTimeout, Counters: counts,
		idle: map[balance.ServerID][]idleConn{}, lastResponse: map[balance.ServerID]time.Time{}}
}

// SetMaxOpen changes the maximum number of open connections. If it is lowered, excess connections are closed when they are put back.
func (p *Pool) SetMaxOpen(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxOpen = maxOpen
	p.wakeNext()
}

// SetIdleTimeout changes the idle timeout.
func (p *Pool) SetIdleTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.IdleTimeout = timeout
}

// TakeIdle returns the server's most recently used idle connection, marked as in use, or nil if there is none. A non-idempotent request is
// not given a connection that has been idle so long that it may be reset; that connection stays in the pool for other requests.
func (p *Pool) TakeIdle(server balance.ServerID, address string, nonIdempotent bool, now time.Time) Conn {
	p.mu.Lock()
	maxIdle := p.IdleTimeout
	p.mu.Unlock()
	maxIdle = p.reuse.maxIdle(false, maxIdle, now)
	minSince := now.Add(-maxIdle)
	if nonIdempotent {
		minSince = now.Add(-p.reuse.maxIdle(true, maxIdle, now))
	}
	for {
		c := p.takeNewest(server, nonIdempotent, minSince)
		if c == nil {
			return nil
		}
		if c.address == address && now.Sub(c.idleSince) < maxIdle && c.Acquire() {
			return c.Conn
		}
		c.Close()
	}
}

// RecordReuse records whether the first request on a connection succeeded after the given idle time, which is 0 for a new connection.
func (p *Pool) RecordReuse(idle time.Duration, ok bool) { p.reuse.record(idle, ok, time.Now()) }

// takeNewest removes the server's most recently used idle connection from the pool and returns it; nil if there is none, or for a
// non-idempotent request if it became idle before minSince.
func (p *Pool) takeNewest(server balance.ServerID, nonIdempotent bool, minSince time.Time) *idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	if len(conns) == 0 || nonIdempotent && conns[len(conns)-1].idleSince.Before(minSince) {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = idleConn{}
	p.idle[server] = conns[:len(conns)-1]
	p.Counters.IdleConnections.Add(-1)
	return &c
}

// Put returns a connection to the pool after a complete response. It is closed if the pool is closed or over its limit.
func (p *Pool) Put(server balance.ServerID, address string, c Conn, now time.Time) {
	p.mu.Lock()
	excess := p.closed || p.open > p.MaxOpen
	if !excess {
		p.idle[server] = append(p.idle[server], idleConn{c, address, now})
		p.Counters.IdleConnections.Add(1)
		p.wakeNext()
	}
	p.mu.Unlock()
	if excess {
		c.Close() // it calls Release, which takes the lock
	}
}

// Remove removes a connection that was closed while idle. It reports whether the connection was idle.
func (p *Pool) Remove(server balance.ServerID, c Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	for i := range conns {
		if conns[i].Conn == c {
			p.idle[server] = append(conns[:i], conns[i+1:]...)
			p.Counters.IdleConnections.Add(-1)
			return true
		}
	}
	return false
}

// CloseUnusable closes idle connections that the server has closed, or over which it has sent what belongs to no request. A server that
// goes on sending is told so before the connection is wanted again.
func (p *Pool) CloseUnusable() {
	for server, conns := range p.checkedConns() {
		for _, c := range conns {
			if !c.Usable() && p.Remove(server, c) {
				c.Close()
			}
		}
	}
}

// checkedConns returns the idle connections that can be checked.
func (p *Pool) checkedConns() map[balance.ServerID][]CheckedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[balance.ServerID][]CheckedConn{}
	for server, conns := range p.idle {
		for _, c := range conns {
			if checked, ok := c.Conn.(CheckedConn); ok {
				all[server] = append(all[server], checked)
			}
		}
	}
	return all
}

// RecordResponse records that a server has sent a response.
func (p *Pool) RecordResponse(server balance.ServerID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastResponse[server] = now
}

// CloseIfSilent closes a server's idle connections if it has sent no response since the given time, and reports whether that is so. The
// server may have vanished, which open connections would hide and a new connection attempt reveals.
func (p *Pool) CloseIfSilent(server balance.ServerID, since time.Time) bool {
	p.mu.Lock()
	silent := p.lastResponse[server].Before(since)
	p.mu.Unlock()
	if silent {
		p.CloseIdle(server)
	}
	return silent
}

// CloseIdle closes a server's idle connections.
func (p *Pool) CloseIdle(server balance.ServerID) {
	p.mu.Lock()
	conns := p.idle[server]
	delete(p.idle, server)
	p.Counters.IdleConnections.Add(-int64(len(conns)))
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// CloseExpired closes the connections that have exceeded the idle timeout, and removes outdated response times.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []idleConn
	p.mu.Lock()
	for server, conns := range p.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) >= p.IdleTimeout {
			n++
		}
		expired = append(expired, conns[:n]...)
		if p.idle[server] = append(conns[:0:0], conns[n:]...); len(p.idle[server]) == 0 {
			delete(p.idle, server)
		}
	}
	p.Counters.IdleConnections.Add(-int64(len(expired)))
	for server, at := range p.lastResponse { // entries of servers that are gone, or the map would grow forever
		if now.Sub(at) > responseRetention {
			delete(p.lastResponse, server)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Get returns the server's most recently used idle connection, marked as in use, or nil, which permits the caller to open a new one and
// counts it as open. If the limit is reached, it closes the connection of any server that has been idle for the longest time. While all
// connections are in use it waits for one, for at most maxWait and until the context ends.
func (p *Pool) Get(ctx context.Context, server balance.ServerID, address string, nonIdempotent bool,
	maxWait time.Duration) (Conn, error) {
	tryGet := func() (c Conn, ok bool) {
		if c = p.TakeIdle(server, address, nonIdempotent, time.Now()); c != nil {
			return c, true
		}
		return nil, p.reserve()
	}
	if c, ok := tryGet(); ok {
		return c, nil
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	ready := make(chan struct{}, 1)
	defer p.removeWaiter(ready)
	for {
		p.mu.Lock()
		if !slices.Contains(p.waiters, ready) {
			p.waiters = append(p.waiters, ready)
		}
		p.mu.Unlock()
		if c, ok := tryGet(); ok { // a connection may have become free before this caller was registered
			return c, nil
		}
		select {
		case <-ready:
		case <-timeout.C:
			return nil, ErrPoolExhausted
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// reserve counts one more connection as open, closing the longest-idle one if the limit is reached; false if all are in use.
func (p *Pool) reserve() bool {
	for {
		p.mu.Lock()
		if p.open < p.MaxOpen {
			p.open++
			p.Counters.ServerConnections.Store(int64(p.open))
			p.mu.Unlock()
			return true
		}
		c := p.removeOldest()
		p.mu.Unlock()
		if c == nil {
			return false
		}
		c.Close() // it calls Release
	}
}

// removeOldest removes the connection that has been idle for the longest time and returns it; nil if none is idle. The caller holds the
// lock.
func (p *Pool) removeOldest() Conn {
	longestIdle, since := balance.ServerID(""), time.Time{}
	for server, conns := range p.idle {
		if len(conns) > 0 && (since.IsZero() || conns[0].idleSince.Before(since)) {
			longestIdle, since = server, conns[0].idleSince
		}
	}
	if since.IsZero() {
		return nil
	}
	c := p.idle[longestIdle][0]
	p.idle[longestIdle] = p.idle[longestIdle][1:]
	p.Counters.IdleConnections.Add(-1)
	return c.Conn
}

// wakeNext wakes the longest-waiting caller of Get. The caller holds the lock.
func (p *Pool) wakeNext() {
	if len(p.waiters) > 0 {
		p.waiters[0] <- struct{}{} // never blocks: the channel has a capacity of 1 and is listed once
		p.waiters = p.waiters[1:]
	}
}

// removeWaiter removes a caller of Get from the waiters; a wake-up that it has not used is passed to the next one.
func (p *Pool) removeWaiter(ready chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, ready); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	select {
	case <-ready:
		p.wakeNext()
	default:
	}
}

// Release counts one connection less as open. It is called once for each nil that Get returned, when the connection is closed or could
// not be opened.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.Counters.ServerConnections.Store(int64(p.open))
	p.wakeNext()
}

// Close closes the idle connections, and those put back later.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[balance.ServerID][]idleConn{}
	p.mu.Unlock()
	for _, conns := range idle {
		p.Counters.IdleConnections.Add(-int64(len(conns)))
		for _, c := range conns {
			c.Close()
		}
	}
}
