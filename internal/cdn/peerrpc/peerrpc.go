// Package peerrpc implements the RPCs between the system's own processes: gob over TCP, with many concurrent calls on
// one connection, each with its own deadline. If a call times out and the peer has not replied to any call meanwhile,
// the connection is closed, and the next call dials a new one.
package peerrpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cedarmast/internal/cdn/admission"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors. They name the method and the peer's address.
var Error = errs.Class("peerrpc")

// ErrNotConnected is the cause of a call that certainly did not reach the peer, because no connection was established.
var ErrNotConnected = errors.New("no connection")

const (
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeoutMS is how long sent data may stay unacknowledged before the kernel closes the connection, in
	// milliseconds.
	tcpUserTimeoutMS  = 1500
	optTCPUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, which package syscall does not define
)

// Peer is another process, identified by its address. It is safe for concurrent use.
type Peer struct {
	Address     string
	dialTimeout time.Duration     // of one dial
	replies     *admission.Budget // bounds the replies that are being read

	bytesIn, bytesOut atomic.Int64 // bytes received and sent

	mu             sync.Mutex
	conn           *peerConn
	lastReply      time.Time               // when the last reply arrived
	dialTimedOutAt time.Time               // when a dial last timed out; zero after a successful one
	dialing        chan struct{}           // semaphore: holds an element while a dial is in progress
	restartDial    context.CancelCauseFunc // restarts that dial; nil if there is none
}

// peerConn is one connection to a peer, with the calls in flight on it.
type peerConn struct {
	client       *rpc.Client
	conn         *countingConn
	gone         atomic.Bool // the peer stopped responding
	watchedCalls int         // watched calls in flight; guarded by the peer's mu
	watching     bool        // the watch goroutine is running; guarded by the peer's mu
}

// NewPeer returns a peer. It is dialed at the first call.
func NewPeer(address string) *Peer {
	return &Peer{Address: address, dialTimeout: dialTimeout, replies: admission.NewBudget(defaultReplyBytes, nil), dialing: make(chan struct{}, 1)}
}

// countingConn counts a connection's bytes for its peer.
type countingConn struct {
	net.Conn
	peer     *Peer
	lastRead atomic.Int64 // when bytes last arrived, in nanoseconds since baseTime
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(sinceBase())
	}
	c.peer.bytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.peer.bytesOut.Add(int64(n))
	return n, err
}

// Call makes one call and waits for its reply or the end of ctx.
func Call[A, R any](ctx context.Context, p *Peer, method string, args *A) (R, error) {
	return call[A, R](ctx, p, method, args, callOptions{})
}

// call makes one call with the given options.
func call[A, R any](ctx context.Context, p *Peer, method string, args *A, options callOptions) (R, error) {
	var zero R
	conn, err := p.connect(ctx, options.watched)
	if err != nil {
		return zero, Error.New("%s at %s: %w: %w", method, p.Address, ErrNotConnected, err)
	}
	if options.watched {
		p.addWatched(conn, 1)
		defer p.addWatched(conn, -1)
	}
	started, reply := time.Now(), new(R)
	pending := &pendingReply{value: reply}
	call := conn.client.Go(method, args, pending, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			p.mu.Lock()
			p.lastReply = time.Now()
			p.mu.Unlock()
			if pending.refused != nil {
				return zero, Error.New("%s at %s: reply: %w", method, p.Address, pending.refused)
			}
			return *reply, nil
		}
		var serverErr rpc.ServerError
		if !errors.As(call.Error, &serverErr) {
			p.drop(conn)
		}
		if conn.gone.Load() {
			return zero, Error.New("%s at %s: %w", method, p.Address, ErrPeerGone)
		}
		return zero, Error.New("%s at %s: %w", method, p.Address, call.Error)
	case <-ctx.Done():
		p.mu.Lock()
		silent := p.lastReply.Before(started)
		p.mu.Unlock()
		if options.id != 0 {
			go conn.cancelCall(options.id) // in a goroutine: a connection whose writes block must not hold up the caller
		}
		if silent && ctx.Err() == context.DeadlineExceeded { // the path may be cut: the next call dials a new connection
			p.drop(conn)
		}
		return zero, Error.New("%s at %s: %w", method, p.Address, ctx.Err())
	}
}

// dial dials the peer. If the peer is heard from meanwhile, it dials once more without delay: the first attempt may
// have started before the peer was up, and the kernel would retransmit its SYN only after a second.
func (p *Peer) dial(ctx context.Context, dialer *net.Dialer) (net.Conn, error) {
	for {
		dialCtx, cancel := context.WithCancelCause(ctx)
		p.mu.Lock()
		p.restartDial = cancel
		p.mu.Unlock()
		conn, err := dialer.DialContext(dialCtx, "tcp", p.Address)
		p.mu.Lock()
		p.restartDial = nil
		p.mu.Unlock()
		restart := err != nil && errors.Is(context.Cause(dialCtx), errPeerHeard)
		cancel(nil)
		if !restart {
			return conn, err
		}
	}
}

// errPeerHeard is the cancellation cause of a dial that is restarted.
var errPeerHeard = errors.New("peer heard from during the dial")

// RestartDial reports that the peer was heard from: a dial in progress is restarted.
func (p *Peer) RestartDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restartDial != nil {
		p.restartDial(errPeerHeard)
		p.restartDial = nil // once per dial: one that hangs for another reason must not restart at every message
	}
}

// addWatched adds delta to the number of watched calls in flight on a connection, and starts its watch if needed.
func (p *Peer) addWatched(conn *peerConn, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.watchedCalls += delta; conn.watchedCalls > 0 && !conn.watching {
		conn.watching = true
		go p.watch(conn)
	}
}

// errDialBackoff is the error of watched calls for dialPause after a dial that timed out.
var errDialBackoff = errors.New("a dial to the peer has just timed out")

// currentConn returns the current connection, or nil if there is none. A watched call gets an error while dials are
// paused. Other calls have their own ways of waiting: after a power loss, each node votes as soon as the next machine
// is up.
func (p *Peer) currentConn(watched bool) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil && watched && !p.dialTimedOutAt.IsZero() && time.Since(p.dialTimedOutAt) < dialPause {
		return nil, errDialBackoff
	}
	return p.conn, nil
}

// connect returns the current connection or dials a new one. Only one dial is in progress at a time.
func (p *Peer) connect(ctx context.Context, watched bool) (*peerConn, error) {
	if current, err := p.currentConn(watched); current != nil || err != nil {
		return current, err
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if current, err := p.currentConn(watched); current != nil || err != nil { // another call has dialed: do not dial in turn
		return current, err
	}
	dialer := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { // best effort: without the option, the call's own deadline detects a cut
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, tcpUserTimeoutMS)
		})
	}}
	started := time.Now()
	c, err := p.dial(ctx, &dialer)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if time.Since(started) >= minTimedOutDial { // no answer at all; a peer that refused the connection may be listening in a moment
			p.dialTimedOutAt = time.Now()
		}
		return nil, err
	}
	p.dialTimedOutAt = time.Time{}
	conn := &countingConn{Conn: c, peer: p}
	p.conn = &peerConn{client: newClient(conn, p.replies), conn: conn}
	return p.conn, nil
}

// drop closes a connection, so that the next call dials a new one. Calls in flight on it fail.
func (p *Peer) drop(conn *peerConn) {
	p.mu.Lock()
	if p.conn == conn {
		p.conn = nil
	}
	p.mu.Unlock()
	conn.client.Close()
}

// Bytes returns the number of bytes received from and sent to all peers.
func (s *Peers) Bytes() (in, out int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, peer := range s.all {
		in, out = in+peer.bytesIn.Load(), out+peer.bytesOut.Load()
	}
	return in, out
}

// Close closes the connection; calls in flight fail.
func (p *Peer) Close() {
	p.mu.Lock()
	conn := p.conn
	p.conn = nil
	p.mu.Unlock()
	if conn != nil {
		conn.client.Close()
	}
}

// Peers holds one Peer per address. Peers that have not been requested for a while are removed when the limit is
// reached.
type Peers struct {
	DialPatience time.Duration     // timeout of a dial; set before use, 0 for the default
	Replies      *admission.Budget // bounds the replies of all peers while they are read; set before use

	mu  sync.Mutex
	all map[string]*peerEntry
}

// peerEntry is a Peer in the set, with the time of the last request for it.
type peerEntry struct {
	*Peer
	lastUsed time.Time
}

const (
	maxPeers        = 1024 // number at which idle peers are removed
	peerIdleTimeout = time.Minute
)

// NewPeers returns an empty set.
func NewPeers() *Peers {
	return &Peers{Replies: admission.NewBudget(defaultReplyBytes, nil), all: map[string]*peerEntry{}}
}

// At returns the peer at an address.
func (s *Peers) At(address string) *Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	entry := s.all[address]
	if entry == nil {
		if len(s.all) >= maxPeers {
			for a, old := range s.all {
				if now.Sub(old.lastUsed) > peerIdleTimeout {
					old.Close()
					delete(s.all, a)
				}
			}
		}
		entry = &peerEntry{Peer: NewPeer(address)}
		entry.replies = s.Replies
		if s.DialPatience > 0 {
			entry.dialTimeout = s.DialPatience
		}
		s.all[address] = entry
	}
	entry.lastUsed = now
	return entry.Peer
}
