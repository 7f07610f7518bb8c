package peerrpc

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Checks when a peer is probed and when it is considered gone, by the bytes that its connection brings.
func TestLiveness(t *testing.T) {
	type look struct {
		at, heard time.Duration // since baseTime
		ask, gone bool
	}
	ms := time.Millisecond
	cases := []struct {
		name  string
		looks []look
	}{
		{"bytes all the time", []look{{100 * ms, 90 * ms, false, false}, {900 * ms, 800 * ms, false, false}}},
		{"silent forever", []look{{100 * ms, 0, false, false}, {300 * ms, 0, true, false}, {600 * ms, 0, false, false}, {700 * ms, 0, false, true}}},
		{"a late response to the probe", []look{{300 * ms, 0, true, false}, {600 * ms, 550 * ms, false, false}, {800 * ms, 550 * ms, false, false}, {900 * ms, 550 * ms, true, false}}},
		{"a long call, with a response to each probe", []look{{300 * ms, 0, true, false}, {400 * ms, 302 * ms, false, false}, {700 * ms, 302 * ms, true, false}, {800 * ms, 702 * ms, false, false}}},
		{"a delayed watch", []look{{5000 * ms, 0, true, false}, {5100 * ms, 5001 * ms, false, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l liveness
			for _, x := range c.looks {
				ask, gone := l.check(baseTime.Add(x.at), baseTime.Add(x.heard))
				assert.Equal(t, ask, x.ask, x.at.String())
				assert.Equal(t, gone, x.gone, x.at.String())
			}
		})
	}
}

// worker blocks in each call until its channel is closed.
type worker struct{ release chan struct{} }

func (w *worker) Work(_ *bool, ok *bool) error { <-w.release; *ok = true; return nil }

// When all stores of a site lost power, each request on its way to one waited for its deadline of four seconds, 950 of
// them in two seconds. The call to a slow peer must continue, all calls to a silent peer must fail in 0.8 s, and calls
// that dial it afterwards must not each wait for a dial in turn.
func TestCallsFailWhenPeerIsGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &worker{make(chan struct{})}
	go Serve(l, "Worker", testOptions(), SharedService(w))
	defer l.Close()
	p := NewPeer(l.Addr().String())
	ctx, done := context.WithTimeout(t.Context(), 20*time.Second)
	defer done()
	slow := make(chan error, 1)
	go func() { _, err := CallWatched[bool, bool](ctx, p, "Worker.Work", new(bool), 0); slow <- err }()
	longWait := time.After(probeAfter + 2*probeTimeout + 2*watchInterval)
	select {
	case err := <-slow:
		t.Fatal("the call ended although the peer is alive: ", err)
	case <-longWait:
	}
	close(w.release)
	assert.NilError(t, <-slow)

	dead, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections, but never responds
	assert.NilError(t, err)
	defer dead.Close()
	gone := NewPeer(dead.Addr().String())
	started, errs := time.Now(), make(chan error, 8)
	for range cap(errs) {
		go func() { _, err := CallWatched[bool, bool](ctx, gone, "Worker.Work", new(bool), 0); errs <- err }()
	}
	for range cap(errs) {
		assert.Assert(t, errors.Is(<-errs, ErrPeerGone))
	}
	assert.Assert(t, time.Since(started) < 3*time.Second, time.Since(started).String())

	gone.mu.Lock()
	gone.dialTimedOutAt = time.Now()
	gone.mu.Unlock()
	_, err = CallWatched[bool, bool](ctx, gone, "Worker.Work", new(bool), 0)
	assert.Assert(t, errors.Is(err, ErrNotConnected), "%v", err)
}

// After a power loss, a dial that started before its peer was up would hang until its timeout. A message from the peer
// must restart it, once per dial.
func TestDialRestartsWhenPeerIsHeard(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p := NewPeer(l.Addr().String())
	dials, up := 0, make(chan struct{})
	d := &net.Dialer{ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		if dials++; dials > 1 {
			return nil
		}
		close(up)
		<-ctx.Done() // no answer, as from a machine without power
		return ctx.Err()
	}}
	go func() { <-up; p.RestartDial(); p.RestartDial() }()
	c, err := p.dial(t.Context(), d)
	assert.NilError(t, err)
	c.Close()
	assert.Equal(t, dials, 2)
	p.RestartDial() // without effect: no dial is in progress
}

// blockingEcho replies to each call with its argument, once that call is released.
type blockingEcho struct {
	arrived chan int
	release map[int]chan struct{}
}

func (h *blockingEcho) Ask(n *int, answer *int) error {
	h.arrived <- *n
	<-h.release[*n]
	*answer = *n
	return nil
}

// serveBlockingEcho starts a blockingEcho for so many calls; end closes its listener.
func serveBlockingEcho(t *testing.T, at string, calls int) (address string, h *blockingEcho, end func()) {
	t.Helper()
	l, err := net.Listen("tcp", at)
	assert.NilError(t, err)
	h = &blockingEcho{arrived: make(chan int, calls), release: map[int]chan struct{}{}}
	for n := range calls {
		h.release[n] = make(chan struct{})
	}
	go Serve(l, "Holding", testOptions(), SharedService(h))
	return l.Addr().String(), h, func() { l.Close() }
}

// A reply must reach the call that it belongs to: not a later call on the same connection after its own was cancelled,
// and not a call to the process that has the address afterwards.
func TestRepliesReachTheirOwnCall(t *testing.T) {
	const calls = 40
	address, h, end := serveBlockingEcho(t, "127.0.0.1:0", calls)
	p := NewPeer(address)
	defer p.Close()
	type result struct {
		n, answer int
		err       error
	}
	results := make(chan result, calls)
	for n := range calls {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			answer, err := Call[int, int](ctx, p, "Holding.Ask", &n)
			results <- result{n, answer, err}
		}()
		<-h.arrived
		if n%2 == 0 { // cancelled while it runs; its reply arrives while other calls wait for theirs
			cancel()
			r := <-results
			assert.Assert(t, r.err != nil)
		}
		defer cancel()
	}
	for n := range calls {
		close(h.release[n])
	}
	for range calls / 2 {
		r := <-results
		assert.NilError(t, r.err)
		assert.Equal(t, r.answer, r.n)
	}

	end()
	p.Close()
	_, other, endOther := serveBlockingEcho(t, address, 1)
	defer endOther()
	close(other.release[0])
	n := 0
	answer, err := Call[int, int](t.Context(), p, "Holding.Ask", &n)
	assert.NilError(t, err)
	assert.Equal(t, answer, 0)
	assert.Equal(t, <-other.arrived, 0)
}
