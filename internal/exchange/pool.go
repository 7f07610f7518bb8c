package exchange

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cedarmast/balance"
)

// Conn is a connection to a server as the pool sees it.
type Conn interface {
	// Acquire makes an idle connection busy; false if it has closed meanwhile.
	Acquire() bool
	Close() error
}

// heardFor is how long it is remembered that a server has answered: longer than any attempt takes.
const heardFor = time.Minute

// ErrNoRoom says that all connections to servers that the limits allow are busy.
var ErrNoRoom = errors.New("no room for another connection")

// Pool keeps the idle connections to servers, the newest first, and counts the open ones against the limit.
type Pool struct {
	Most    int           // connections open at once, idle ones included
	IdleFor time.Duration // after this an idle connection is not used again
	Counts  *Counters

	mu    sync.Mutex
	idle  map[balance.ServerID][]idleConn // oldest first
	heard map[balance.ServerID]time.Time  // the last answer's time
	open  int
	done  bool

	trust trust

	waiting []chan struct{} // for room, the first to come first
}

type idleConn struct {
	Conn
	address string
	since   time.Time
}

// NewPool returns an empty pool.
func NewPool(most int, idleFor time.Duration, counts *Counters) *Pool {
	return &Pool{Most: most, IdleFor: idleFor, Counts: counts,
		idle: map[balance.ServerID][]idleConn{}, heard: map[balance.ServerID]time.Time{}}
}

// SetMost changes the limit. What is open over a lower one goes as it comes back.
func (p *Pool) SetMost(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Most = most
	p.wake()
}

// SetIdleFor changes the time after which an idle connection is not used again.
func (p *Pool) SetIdleFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.IdleFor = d
}

// Take returns the server's newest idle connection, busy now, or nil. What must not run twice, if careful, passes over
// one that has been idle for longer than is sure, and leaves it to the others.
func (p *Pool) Take(server balance.ServerID, address string, careful bool, now time.Time) Conn {
	p.mu.Lock()
	most := p.IdleFor
	p.mu.Unlock()
	most = p.trust.limit(false, most, now)
	least := now.Add(-most)
	if careful {
		least = now.Add(-p.trust.limit(true, most, now))
	}
	for {
		c := p.newest(server, careful, least)
		if c == nil {
			return nil
		}
		if c.address == address && now.Sub(c.since) < most && c.Acquire() {
			return c.Conn
		}
		c.Close()
	}
}

// Used notes how the first word on a connection came out after it had been idle so long; a new one has not been.
func (p *Pool) Used(idle time.Duration, good bool) { p.trust.note(idle, good, time.Now()) }

func (p *Pool) newest(server balance.ServerID, careful bool, least time.Time) *idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[server]
	if len(all) == 0 || careful && all[len(all)-1].since.Before(least) {
		return nil
	}
	c := all[len(all)-1]
	all[len(all)-1] = idleConn{}
	p.idle[server] = all[:len(all)-1]
	p.Counts.IdleConnections.Add(-1)
	return &c
}

// Put takes back a connection that has brought a whole answer, and notes that the server is heard.
func (p *Pool) Put(server balance.ServerID, address string, c Conn, now time.Time) {
	p.mu.Lock()
	over := p.done || p.open > p.Most
	if !over {
		p.idle[server] = append(p.idle[server], idleConn{c, address, now})
		p.Counts.IdleConnections.Add(1)
		p.wake()
	}
	p.mu.Unlock()
	if over {
		c.Close() // it calls Release, which takes the lock
	}
}

// Remove drops a connection that has closed while it was idle.
func (p *Pool) Remove(server balance.ServerID, c Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[server]
	for i := range all {
		if all[i].Conn == c {
			p.idle[server] = append(all[:i], all[i+1:]...)
			p.Counts.IdleConnections.Add(-1)
			return
		}
	}
}

// Heard notes that a server has answered something.
func (p *Pool) Heard(server balance.ServerID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[server] = now
}

// Silent closes a server's idle connections if it has answered nothing since the given time: it may have vanished,
// which a connection that stands open would hide and a new one shows.
func (p *Pool) Silent(server balance.ServerID, since time.Time) bool {
	p.mu.Lock()
	silent := p.heard[server].Before(since)
	p.mu.Unlock()
	if silent {
		p.Leave(server)
	}
	return silent
}

// Leave closes a server's idle connections.
func (p *Pool) Leave(server balance.ServerID) {
	p.mu.Lock()
	all := p.idle[server]
	delete(p.idle, server)
	p.Counts.IdleConnections.Add(-int64(len(all)))
	p.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []idleConn
	p.mu.Lock()
	for server, all := range p.idle {
		n := 0
		for n < len(all) && now.Sub(all[n].since) >= p.IdleFor {
			n++
		}
		old = append(old, all[:n]...)
		if p.idle[server] = append(all[:0:0], all[n:]...); len(p.idle[server]) == 0 {
			delete(p.idle, server)
		}
	}
	p.Counts.IdleConnections.Add(-int64(len(old)))
	for server, at := range p.heard { // of servers long gone: there are ever new ones
		if now.Sub(at) > heardFor {
			delete(p.heard, server)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Get returns the server's newest idle connection, busy now, or nil and room for a new one, giving up the connection
// that has been idle for longest if need be. While all are busy it waits for one, as long as the patience and the
// context last.
func (p *Pool) Get(ctx context.Context, server balance.ServerID, address string, careful bool,
	patience time.Duration) (Conn, error) {
	get := func() (c Conn, ok bool) {
		if c = p.Take(server, address, careful, time.Now()); c != nil {
			return c, true
		}
		return nil, p.reserve()
	}
	if c, ok := get(); ok {
		return c, nil
	}
	late := time.NewTimer(patience)
	defer late.Stop()
	room := make(chan struct{}, 1)
	defer p.stopWaiting(room)
	for {
		p.mu.Lock()
		if !slices.Contains(p.waiting, room) {
			p.waiting = append(p.waiting, room)
		}
		p.mu.Unlock()
		if c, ok := get(); ok { // it may have come in between
			return c, nil
		}
		select {
		case <-room:
		case <-late.C:
			return nil, ErrNoRoom
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// reserve takes room if there is any, or can be.
func (p *Pool) reserve() bool {
	for {
		p.mu.Lock()
		if p.open < p.Most {
			p.open++
			p.Counts.ServerConnections.Store(int64(p.open))
			p.mu.Unlock()
			return true
		}
		c := p.oldest()
		p.mu.Unlock()
		if c == nil {
			return false
		}
		c.Close() // it calls Release
	}
}

// oldest takes out the connection that has been idle for longest. The caller holds the lock.
func (p *Pool) oldest() Conn {
	victim, at := balance.ServerID(""), time.Time{}
	for server, all := range p.idle {
		if len(all) > 0 && (at.IsZero() || all[0].since.Before(at)) {
			victim, at = server, all[0].since
		}
	}
	if at.IsZero() {
		return nil
	}
	c := p.idle[victim][0]
	p.idle[victim] = p.idle[victim][1:]
	p.Counts.IdleConnections.Add(-1)
	return c.Conn
}

// wake lets the one that has waited longest for room try again. The caller holds the lock.
func (p *Pool) wake() {
	if len(p.waiting) > 0 {
		p.waiting[0] <- struct{}{} // holds one, and stands here once
		p.waiting = p.waiting[1:]
	}
}

// stopWaiting takes a waiting one out; a wake that it has not used goes to the next one.
func (p *Pool) stopWaiting(room chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, room); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	select {
	case <-room:
		p.wake()
	default:
	}
}

// Release gives back the room that Get found, once the connection is closed.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.Counts.ServerConnections.Store(int64(p.open))
	p.wake()
}

// Close closes the idle connections, and from now on those that come back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.done = true
	all := p.idle
	p.idle = map[balance.ServerID][]idleConn{}
	p.mu.Unlock()
	for _, conns := range all {
		p.Counts.IdleConnections.Add(-int64(len(conns)))
		for _, c := range conns {
			c.Close()
		}
	}
}
