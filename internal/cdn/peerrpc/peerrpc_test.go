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

// When a peer is asked for a word and when it is taken for gone, by what its connection brings.
func TestLiveness(t *testing.T) {
	type look struct {
		at, heard time.Duration // since the begin
		ask, gone bool
	}
	ms := time.Millisecond
	cases := []struct {
		name  string
		looks []look
	}{
		{"bytes all the time", []look{{100 * ms, 90 * ms, false, false}, {900 * ms, 800 * ms, false, false}}},
		{"silent for good", []look{{100 * ms, 0, false, false}, {300 * ms, 0, true, false}, {600 * ms, 0, false, false}, {700 * ms, 0, false, true}}},
		{"a word comes late", []look{{300 * ms, 0, true, false}, {600 * ms, 550 * ms, false, false}, {800 * ms, 550 * ms, false, false}, {900 * ms, 550 * ms, true, false}}},
		{"works for long and has a word each time", []look{{300 * ms, 0, true, false}, {400 * ms, 302 * ms, false, false}, {700 * ms, 302 * ms, true, false}, {800 * ms, 702 * ms, false, false}}},
		{"a watch that was held up", []look{{5000 * ms, 0, true, false}, {5100 * ms, 5001 * ms, false, false}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l liveness
			for _, x := range c.looks {
				ask, gone := l.turn(start.Add(x.at), start.Add(x.heard))
				assert.Equal(t, ask, x.ask, x.at.String())
				assert.Equal(t, gone, x.gone, x.at.String())
			}
		})
	}
}

type worker struct{ until chan struct{} }

func (w *worker) Work(_ *bool, ok *bool) error { <-w.until; *ok = true; return nil }

// All stores of a site lost power and each request that was on its way to one waited for its deadline, four seconds, 950 in two. A peer that
// works for long is waited for; one that says nothing any more ends all calls to it in 0.8 s, and who dials it then does not wait in a row.
func TestAPeerThatIsGoneEndsItsCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &worker{make(chan struct{})}
	go Serve(l, "Worker", Shared(w))
	defer l.Close()
	p := NewPeer(l.Addr().String())
	ctx, done := context.WithTimeout(t.Context(), 20*time.Second)
	defer done()
	slow := make(chan error, 1)
	go func() { _, err := CallWatched[bool, bool](ctx, p, "Worker.Work", new(bool), 0); slow <- err }()
	late := time.After(listenFor + 2*answerIn + 2*watchEvery)
	select {
	case err := <-slow:
		t.Fatal("given up though the peer is there: ", err)
	case <-late:
	}
	close(w.until)
	assert.NilError(t, <-slow)

	dead, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and has no word
	assert.NilError(t, err)
	defer dead.Close()
	gone := NewPeer(dead.Addr().String())
	begun, all := time.Now(), make(chan error, 8)
	for range cap(all) {
		go func() { _, err := CallWatched[bool, bool](ctx, gone, "Worker.Work", new(bool), 0); all <- err }()
	}
	for range cap(all) {
		assert.Assert(t, errors.Is(<-all, ErrGone))
	}
	assert.Assert(t, time.Since(begun) < 3*time.Second, time.Since(begun).String())

	gone.mu.Lock()
	gone.failed = time.Now()
	gone.mu.Unlock()
	_, err = CallWatched[bool, bool](ctx, gone, "Worker.Work", new(bool), 0)
	assert.Assert(t, errors.Is(err, ErrNotBegun), "%v", err)
}

// After a loss of power a dial that was begun before its peer was up would hang until its end; a word from the peer begins it anew, once.
func TestAPeerThatWasHeardIsDialledAnew(t *testing.T) {
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
		<-ctx.Done() // no word comes, as from a machine without power
		return ctx.Err()
	}}
	go func() { <-up; p.Awake(); p.Awake() }()
	c, err := p.dial(t.Context(), d)
	assert.NilError(t, err)
	c.Close()
	assert.Equal(t, dials, 2)
	p.Awake() // no dial is under way
}

// holding answers each call with its own number, once it is let go.
type holding struct {
	came chan int
	free map[int]chan struct{}
}

func (h *holding) Ask(n *int, answer *int) error {
	h.came <- *n
	<-h.free[*n]
	*answer = *n
	return nil
}

func serveHolding(t *testing.T, at string, calls int) (address string, h *holding, end func()) {
	t.Helper()
	l, err := net.Listen("tcp", at)
	assert.NilError(t, err)
	h = &holding{came: make(chan int, calls), free: map[int]chan struct{}{}}
	for n := range calls {
		h.free[n] = make(chan struct{})
	}
	go Serve(l, "Holding", Shared(h))
	return l.Addr().String(), h, func() { l.Close() }
}

// An answer reaches the call that it belongs to and no other: not a later one on the same connection after its own was given
// up, and not one to the process that has the address now.
func TestAnswersReachTheirOwnCall(t *testing.T) {
	const calls = 40
	address, h, end := serveHolding(t, "127.0.0.1:0", calls)
	p := NewPeer(address)
	defer p.Close()
	type result struct {
		n, answer int
		err       error
	}
	results := make(chan result, calls)
	for n := range calls {
		ctx, giveUp := context.WithCancel(t.Context())
		go func() {
			answer, err := Call[int, int](ctx, p, "Holding.Ask", &n)
			results <- result{n, answer, err}
		}()
		<-h.came
		if n%2 == 0 { // given up while it is carried out; its answer comes while others wait for theirs
			giveUp()
			r := <-results
			assert.Assert(t, r.err != nil)
		}
		defer giveUp()
	}
	for n := range calls {
		close(h.free[n])
	}
	for range calls / 2 {
		r := <-results
		assert.NilError(t, r.err)
		assert.Equal(t, r.answer, r.n)
	}

	end()
	p.Close()
	_, other, endOther := serveHolding(t, address, 1)
	defer endOther()
	close(other.free[0])
	n := 0
	answer, err := Call[int, int](t.Context(), p, "Holding.Ask", &n)
	assert.NilError(t, err)
	assert.Equal(t, answer, 0)
	assert.Equal(t, <-other.came, 0)
}
