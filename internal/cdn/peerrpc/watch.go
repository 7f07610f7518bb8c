package peerrpc

import (
	"errors"
	"time"
)

// This file distinguishes a peer that works on a call for long from one that is gone. A machine without power or behind
// a network partition sends nothing at all, and a call that may take seconds would wait until its deadline. While a
// watched call is in flight and its connection brings nothing, the peer is probed. If it does not respond, it is
// considered gone, and all calls in flight to it fail at once.

const (
	probeAfter = 300 * time.Millisecond // without a byte received, until a probe is sent
	// probeTimeout is the time without a byte received after the probe, until the peer is considered gone. A process that has a fifth of a
	// core may be off the CPU for a tenth of a second.
	probeTimeout    = 400 * time.Millisecond
	watchInterval   = 100 * time.Millisecond // between checks of a connection
	minTimedOutDial = 150 * time.Millisecond // a dial that fails after at least this time got no answer
	dialPause       = 250 * time.Millisecond // no watched call dials for this time after such a failure
)

// ErrPeerGone is the cause of a call whose peer stopped responding while it was in flight. The peer may have carried it
// out.
var ErrPeerGone = errors.New("the peer stopped responding")

// liveness is the state of a connection's watch. Only check changes it.
type liveness struct {
	probeSent time.Time // when the probe was sent; zero: none is outstanding
}

// check takes the time at which the connection last brought a byte. It returns whether to probe the peer now, and
// whether the peer is gone.
func (l *liveness) check(now, lastRead time.Time) (probe, gone bool) {
	switch {
	case !l.probeSent.IsZero() && lastRead.After(l.probeSent), now.Sub(lastRead) < probeAfter:
		l.probeSent = time.Time{}
	case l.probeSent.IsZero():
		l.probeSent = now
		return true, false
	case now.Sub(l.probeSent) >= probeTimeout:
		return false, true
	}
	return false, false
}

// baseTime is the reference for the times at which connections bring bytes, by the monotonic clock.
var baseTime = time.Now()

// sinceBase returns the nanoseconds since baseTime.
func sinceBase() int64 { return int64(time.Since(baseTime)) }

// watch checks a connection while watched calls are in flight on it.
func (p *Peer) watch(conn *peerConn) {
	var state liveness
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	started := time.Now()
	for now := range ticker.C {
		p.mu.Lock()
		if conn.watchedCalls == 0 {
			conn.watching = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		lastRead := baseTime.Add(time.Duration(conn.conn.lastRead.Load()))
		if lastRead.Before(started) {
			lastRead = started
		}
		switch probe, gone := state.check(now, lastRead); {
		case probe:
			conn.client.Go(pingMethod, new(bool), new(bool), nil)
		case gone:
			conn.gone.Store(true)
			p.drop(conn)
		}
	}
}
