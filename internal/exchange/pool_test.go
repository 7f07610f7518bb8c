package exchange

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"cedarmast/balance"
)

type testConn struct {
	pool   *Pool
	closed int
	broken bool
}

func (c *testConn) Acquire() bool { return !c.broken && c.closed == 0 }

func (c *testConn) Close() error {
	if c.closed++; c.closed == 1 {
		c.pool.Release()
	}
	return nil
}

func openConn(t *testing.T, p *Pool) *testConn {
	t.Helper()
	if _, err := p.Get(t.Context(), "new", "x", false, time.Second); err != nil {
		t.Fatal(err)
	}
	return &testConn{pool: p}
}

var t0 = time.Unix(1000, 0)

func TestPoolGivesTheNewestFirst(t *testing.T) {
	p := NewPool(10, time.Second, &Counters{})
	a, b := openConn(t, p), openConn(t, p)
	p.Put("s", "x", a, t0)
	p.Put("s", "x", b, t0.Add(time.Millisecond))
	if got := p.Take("s", "x", false, t0.Add(2*time.Millisecond)); got != b {
		t.Error("not the newest")
	}
	if got := p.Take("other", "x", false, t0); got != nil {
		t.Error("another server's connection")
	}
}

func TestPoolPassesOverWhatIsStale(t *testing.T) {
	p := NewPool(10, time.Second, &Counters{})
	old, moved, broken := openConn(t, p), openConn(t, p), openConn(t, p)
	broken.broken = true
	p.Put("s", "x", old, t0)
	p.Put("s", "elsewhere", moved, t0.Add(time.Second))
	p.Put("s", "x", broken, t0.Add(time.Second))
	if got := p.Take("s", "x", false, t0.Add(time.Second)); got != nil {
		t.Errorf("got %v", got)
	}
	if old.closed != 1 || moved.closed != 1 || broken.closed != 1 || p.open != 0 {
		t.Error("not let go")
	}
}

func TestPoolKeepsToItsLimit(t *testing.T) {
	counts := &Counters{}
	p := NewPool(2, time.Second, counts)
	a, b := openConn(t, p), openConn(t, p)
	if _, err := p.Get(t.Context(), "new", "x", false, time.Millisecond); !errors.Is(err, ErrNoRoom) {
		t.Fatalf("a third of two: %v", err)
	}
	p.Put("s", "x", a, t0)
	p.Put("r", "x", b, t0.Add(time.Millisecond))
	openConn(t, p)
	if a.closed != 1 || b.closed != 0 {
		t.Error("not the one that was idle for longest was given up")
	}
	if counts.ServerConnections.Load() != 2 || counts.IdleConnections.Load() != 1 {
		t.Errorf("counted %d open, %d idle", counts.ServerConnections.Load(), counts.IdleConnections.Load())
	}
}

// With all connections busy the next attempt waits for one to end, first come first served, and not for ever.
func TestPoolWaitsForRoom(t *testing.T) {
	p := NewPool(1, time.Minute, &Counters{})
	busy := openConn(t, p)
	got := make(chan int, 2)
	for i := range 2 {
		go func() {
			if _, err := p.Get(t.Context(), "new", "x", false, 5*time.Second); err != nil {
				t.Error(err)
			}
			got <- i
		}()
		for waiting := 0; waiting <= i; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			waiting = len(p.waiting)
			p.mu.Unlock()
		}
	}
	if _, err := p.Get(t.Context(), "new", "x", false, time.Millisecond); !errors.Is(err, ErrNoRoom) {
		t.Errorf("without patience: %v", err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(ErrWithdrawn)
	if _, err := p.Get(ctx, "new", "x", false, time.Second); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("withdrawn: %v", err)
	}
	busy.Close()
	if i := <-got; i != 0 {
		t.Error("the second was first")
	}
	p.Put("s", "x", &testConn{pool: p}, t0) // the first one's connection, idle now: it is given up for the second
	<-got
	if p.open != 1 || len(p.waiting) != 0 {
		t.Errorf("%d open, %d waiting", p.open, len(p.waiting))
	}
}

// One that waits gets the connection that comes back from its own server, and none is closed for it.
func TestPoolGivesAWaitingOneWhatComesBack(t *testing.T) {
	p := NewPool(1, time.Minute, &Counters{})
	c := openConn(t, p)
	got := make(chan Conn)
	go func() {
		c, err := p.Get(t.Context(), "s", "x", false, 5*time.Second)
		if err != nil {
			t.Error(err)
		}
		got <- c
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		waiting = len(p.waiting)
		p.mu.Unlock()
	}
	p.Put("s", "x", c, time.Now())
	if back := <-got; back != c || c.closed != 0 {
		t.Errorf("got %v, closed %d times", back, c.closed)
	}
}

func TestPoolSweepsAndLeaves(t *testing.T) {
	counts := &Counters{}
	p := NewPool(10, time.Second, counts)
	a, b, c := openConn(t, p), openConn(t, p), openConn(t, p)
	p.Put("s", "x", a, t0)
	p.Put("s", "x", b, t0.Add(time.Second))
	p.Sweep(t0.Add(time.Second))
	if a.closed != 1 || b.closed != 0 {
		t.Error("swept wrongly")
	}
	p.Leave("s")
	if b.closed != 1 {
		t.Error("left open")
	}
	p.Close()
	p.Put("s", "x", c, t0)
	for until := time.Now().Add(time.Second); counts.ServerConnections.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("what came back after the end stays open")
		}
	}
	if counts.IdleConnections.Load() != 0 {
		t.Errorf("%d idle", counts.IdleConnections.Load())
	}
}

// A server that has said nothing since an attempt was sent may have vanished: its idle connections would stand open
// and silent. One that has spoken since is only slow.
func TestPoolDropsTheIdleOfASilentServer(t *testing.T) {
	p := NewPool(10, time.Minute, &Counters{})
	a := openConn(t, p)
	p.Put("s", "x", a, t0)
	p.Heard("s", t0.Add(time.Second))
	if p.Silent("s", t0) || a.closed != 0 {
		t.Error("dropped though the server has spoken")
	}
	if !p.Silent("s", t0.Add(2*time.Second)) || a.closed != 1 {
		t.Error("kept though the server is silent")
	}
}

func TestAddressesFollowTheList(t *testing.T) {
	a := addresses{}
	a.follow(testList(balance.Complete, 1, "a", "b", "c"))
	change := testList(balance.Partial, 2, "a", "b")
	change.Entries[0].State = balance.Draining
	change.Addresses["b"] = "127.0.0.1:2"
	if leave := a.follow(change); !reflect.DeepEqual(leave, []balance.ServerID{"a", "b"}) {
		t.Errorf("left %v", leave)
	}
	if a["a"].address == "" || a["b"].address != "127.0.0.1:2" {
		t.Errorf("addresses %v", a)
	}
	if leave := a.follow(testList(balance.Complete, 3, "b")); len(leave) != 3 || len(a) != 1 {
		t.Errorf("left %v, addresses %v", leave, a)
	}
}
