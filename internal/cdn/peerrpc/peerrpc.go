// Package peerrpc is how the system's own processes call one another: gob over TCP, many calls on one connection, each
// with its own deadline. A connection that brings nothing within a call's time is given up and dialled anew.
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

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors; they name the call and the peer.
var Error = errs.Class("peerrpc")

// ErrNotBegun is the cause where a call was surely not begun: no connection came up.
var ErrNotBegun = errors.New("no connection")

const (
	dialPatience = 400 * time.Millisecond
	// unacknowledged is how long sent bytes may stay without the peer's word, in milliseconds.
	unacknowledged = 1500
	tcpUserTimeout = 18
)

// Peer is another process, by its address. It is safe for use by many goroutines.
type Peer struct {
	Address  string
	patience time.Duration // of a dial

	in, out atomic.Int64 // bytes

	mu     sync.Mutex
	link   *link
	heard  time.Time
	failed time.Time               // when a dial last came to nothing
	dials  chan struct{}           // holds one while a dial is under way
	awake  context.CancelCauseFunc // of that dial
}

// link is one connection to a peer and the calls on it.
type link struct {
	client   *rpc.Client
	conn     *counted
	gone     atomic.Bool
	watched  int // calls that are watched; under the peer's lock
	watching bool
}

// NewPeer returns a peer that has not been called yet.
func NewPeer(address string) *Peer {
	return &Peer{Address: address, patience: dialPatience, dials: make(chan struct{}, 1)}
}

// counted counts a connection's bytes.
type counted struct {
	net.Conn
	peer  *Peer
	heard atomic.Int64 // when it last brought a byte, in nanoseconds since start
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(sinceStart())
	}
	c.peer.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.peer.out.Add(int64(n))
	return n, err
}

// Call makes one call and waits for its answer or the context's end.
func Call[A, R any](ctx context.Context, p *Peer, method string, args *A) (R, error) {
	return call[A, R](ctx, p, method, args, terms{})
}

func call[A, R any](ctx context.Context, p *Peer, method string, args *A, how terms) (R, error) {
	var none R
	k, err := p.connect(ctx, how.watched)
	if err != nil {
		return none, Error.New("%s at %s: %w: %w", method, p.Address, ErrNotBegun, err)
	}
	if how.watched {
		p.hold(k, 1)
		defer p.hold(k, -1)
	}
	begun, reply := time.Now(), new(R)
	call := k.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			p.mu.Lock()
			p.heard = time.Now()
			p.mu.Unlock()
			return *reply, nil
		}
		var said rpc.ServerError
		if !errors.As(call.Error, &said) {
			p.drop(k)
		}
		if k.gone.Load() {
			return none, Error.New("%s at %s: %w", method, p.Address, ErrGone)
		}
		return none, Error.New("%s at %s: %w", method, p.Address, call.Error)
	case <-ctx.Done():
		p.mu.Lock()
		silent := p.heard.Before(begun)
		p.mu.Unlock()
		if how.ticket != 0 {
			go k.giveUp(how.ticket) // not from here: a connection that takes nothing would hold the caller up
		}
		if silent && ctx.Err() == context.DeadlineExceeded { // it may be cut: a new connection shows
			p.drop(k)
		}
		return none, Error.New("%s at %s: %w", method, p.Address, ctx.Err())
	}
}

// dial dials, and once more at once if the peer was heard meanwhile: the first was begun before it was there, and its opening would be sent
// again only after a second.
func (p *Peer) dial(ctx context.Context, d *net.Dialer) (net.Conn, error) {
	for {
		try, stop := context.WithCancelCause(ctx)
		p.mu.Lock()
		p.awake = stop
		p.mu.Unlock()
		c, err := d.DialContext(try, "tcp", p.Address)
		p.mu.Lock()
		p.awake = nil
		p.mu.Unlock()
		again := err != nil && errors.Is(context.Cause(try), errAwake)
		stop(nil)
		if !again {
			return c, err
		}
	}
}

var errAwake = errors.New("the peer was heard")

// Awake says that the peer was heard from: a dial of it that is under way begins anew.
func (p *Peer) Awake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awake != nil {
		p.awake(errAwake)
		p.awake = nil // once a dial: one that hangs for another reason is not begun anew with every word
	}
}

// hold counts the watched calls that are out on a link.
func (p *Peer) hold(k *link, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.watched += n; k.watched > 0 && !k.watching {
		k.watching = true
		go p.watch(k)
	}
}

var errJustFailed = errors.New("a dial has just failed")

// held returns the link, if there is one; for a watched call an error while nobody is to dial. Others have their own ways of waiting: after a
// loss of power each votes as soon as the next machine is up.
func (p *Peer) held(watched bool) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil && watched && !p.failed.IsZero() && time.Since(p.failed) < dialPause {
		return nil, errJustFailed
	}
	return p.link, nil
}

func (p *Peer) connect(ctx context.Context, watched bool) (*link, error) {
	if k, err := p.held(watched); k != nil || err != nil {
		return k, err
	}
	select {
	case p.dials <- struct{}{}:
		defer func() { <-p.dials }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if k, err := p.held(watched); k != nil || err != nil { // another call's dial brought it, or failed: not each waits out a dial of its own
		return k, err
	}
	dialer := net.Dialer{Timeout: p.patience, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { // best effort: without it a call's own deadline shows a cut
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledged)
		})
	}}
	begun := time.Now()
	c, err := p.dial(ctx, &dialer)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if time.Since(begun) >= slowDial { // no word at all; one that is refused may be listening in a moment
			p.failed = time.Now()
		}
		return nil, err
	}
	p.failed = time.Time{}
	conn := &counted{Conn: c, peer: p}
	p.link = &link{client: rpc.NewClient(conn), conn: conn}
	return p.link, nil
}

func (p *Peer) drop(k *link) {
	p.mu.Lock()
	if p.link == k {
		p.link = nil
	}
	p.mu.Unlock()
	k.client.Close()
}

// Bytes is what all peers have brought and been sent.
func (s *Peers) Bytes() (in, out int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.all {
		in, out = in+k.in.Load(), out+k.out.Load()
	}
	return in, out
}

// Close ends the connection; calls under way fail.
func (p *Peer) Close() {
	p.mu.Lock()
	k := p.link
	p.link = nil
	p.mu.Unlock()
	if k != nil {
		k.client.Close()
	}
}

// Peers keeps one Peer for each address. What has not been asked for in a while is let go.
type Peers struct {
	DialPatience time.Duration // set before use; 0: the usual one

	mu  sync.Mutex
	all map[string]*kept
}

type kept struct {
	*Peer
	used time.Time
}

const (
	mostPeers = 1024
	unusedFor = time.Minute
)

// NewPeers returns an empty set.
func NewPeers() *Peers { return &Peers{all: map[string]*kept{}} }

// At returns the peer at an address.
func (s *Peers) At(address string) *Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	k := s.all[address]
	if k == nil {
		if len(s.all) >= mostPeers {
			for a, old := range s.all {
				if now.Sub(old.used) > unusedFor {
					old.Close()
					delete(s.all, a)
				}
			}
		}
		k = &kept{Peer: NewPeer(address)}
		if s.DialPatience > 0 {
			k.patience = s.DialPatience
		}
		s.all[address] = k
	}
	k.used = now
	return k.Peer
}

// Serve answers calls of the named service until the listener is closed. Each connection has a session, and a service made for it.
func Serve(l net.Listener, name string, service func(*Session) any) error {
	if _, err := newServer(name, service, newSession(context.Background())); err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // for want of descriptors; connections come back
			continue
		}
		go serveConn(c, name, service)
	}
}

func newServer(name string, service func(*Session) any, session *Session) (*rpc.Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service(session)); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := server.RegisterName("Peer", common{session}); err != nil {
		return nil, Error.Wrap(err)
	}
	return server, nil
}

// serveConn answers one connection's calls. With it they end: whoever called can't have an answer any more.
func serveConn(c net.Conn, name string, service func(*Session) any) {
	ctx, end := context.WithCancelCause(context.Background())
	defer end(ErrGivenUp)
	server, err := newServer(name, service, newSession(ctx))
	if err != nil { // Serve has made such a one already
		c.Close()
		return
	}
	server.ServeConn(&endTelling{c, func() { end(ErrGivenUp) }})
}

// endTelling tells when its connection can't be read from any more. net/rpc waits for all calls under way before it returns.
type endTelling struct {
	net.Conn
	ended func()
}

func (c *endTelling) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.ended()
	}
	return n, err
}
