package exchange

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"cedarmast/balance"
)

// testConn is a Conn that counts calls of Close; a broken one can't be acquired.
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

// openConn reserves a connection in the pool and returns it, in use.
func openConn(t *testing.T, p *Pool) *testConn {
	t.Helper()
	if _, err := p.Get(t.Context(), "new", "x", false, time.Second); err != nil {
		t.Fatal(err)
	}
	return &testConn{pool: p}
}

var t0 = time.Unix(1000, 0)

func TestPoolReusesNewestFirst(t *testing.T) {
	p := NewPool(10, time.Second, &Counters{})
	a, b := openConn(t, p), openConn(t, p)
	p.Put("s", "x", a, t0)
	p.Put("s", "x", b, t0.Add(time.Millisecond))
	if got := p.TakeIdle("s", "x", false, t0.Add(2*time.Millisecond)); got != b {
		t.Error("did not return the most recently used connection")
	}
	if got := p.TakeIdle("other", "x", false, t0); got != nil {
		t.Error("returned another server's connection")
	}
}

func TestPoolClosesStaleConnections(t *testing.T) {
	p := NewPool(10, time.Second, &Counters{})
	old, moved, broken := openConn(t, p), openConn(t, p), openConn(t, p)
	broken.broken = true
	p.Put("s", "x", old, t0)
	p.Put("s", "elsewhere", moved, t0.Add(time.Second))
	p.Put("s", "x", broken, t0.Add(time.Second))
	if got := p.TakeIdle("s", "x", false, t0.Add(time.Second)); got != nil {
		t.Errorf("got %v", got)
	}
	if old.closed != 1 || moved.closed != 1 || broken.closed != 1 || p.open != 0 {
		t.Error("a stale connection was not closed")
	}
}

func TestPoolLimit(t *testing.T) {
	counts := &Counters{}
	p := NewPool(2, time.Second, counts)
	a, b := openConn(t, p), openConn(t, p)
	if _, err := p.Get(t.Context(), "new", "x", false, time.Millisecond); !errors.Is(err, ErrPoolExhausted) {
		t.Fatalf("third connection with a limit of 2: %v", err)
	}
	p.Put("s", "x", a, t0)
	p.Put("r", "x", b, t0.Add(time.Millisecond))
	openConn(t, p)
	if a.closed != 1 || b.closed != 0 {
		t.Error("did not close the connection that was idle for the longest time")
	}
	if counts.ServerConnections.Load() != 2 || counts.IdleConnections.Load() != 1 {
		t.Errorf("counted %d open and %d idle connections, want 2 and 1", counts.ServerConnections.Load(), counts.IdleConnections.Load())
	}
}

// While all connections are in use, callers of Get wait in order of arrival, for a limited time.
func TestPoolGetWaits(t *testing.T) {
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
			waiting = len(p.waiters)
			p.mu.Unlock()
		}
	}
	if _, err := p.Get(t.Context(), "new", "x", false, time.Millisecond); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("with a maximum wait of 1 ms: %v", err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(ErrAttemptCancelled)
	if _, err := p.Get(ctx, "new", "x", false, time.Second); !errors.Is(err, ErrAttemptCancelled) {
		t.Errorf("cancelled: %v", err)
	}
	busy.Close()
	if i := <-got; i != 0 {
		t.Error("the second waiter was served before the first")
	}
	p.Put("s", "x", &testConn{pool: p}, t0) // the first caller's connection, now idle, is closed to make room for the second
	<-got
	if p.open != 1 || len(p.waiters) != 0 {
		t.Errorf("%d connections open and %d waiting, want 1 and 0", p.open, len(p.waiters))
	}
}

// A waiting caller gets a connection to its own server that is put back, and no connection is closed for it.
func TestPoolGivesReturnedConnectionToWaiter(t *testing.T) {
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
		waiting = len(p.waiters)
		p.mu.Unlock()
	}
	p.Put("s", "x", c, time.Now())
	if back := <-got; back != c || c.closed != 0 {
		t.Errorf("got %v, closed %d times", back, c.closed)
	}
}

func TestPoolCloseExpiredIdleAndAll(t *testing.T) {
	counts := &Counters{}
	p := NewPool(10, time.Second, counts)
	a, b, c := openConn(t, p), openConn(t, p), openConn(t, p)
	p.Put("s", "x", a, t0)
	p.Put("s", "x", b, t0.Add(time.Second))
	p.CloseExpired(t0.Add(time.Second))
	if a.closed != 1 || b.closed != 0 {
		t.Error("did not close exactly the expired connection")
	}
	p.CloseIdle("s")
	if b.closed != 1 {
		t.Error("an idle connection of the server is still open")
	}
	p.Close()
	p.Put("s", "x", c, t0)
	for until := time.Now().Add(time.Second); counts.ServerConnections.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a connection that was put back after Close is still open")
		}
	}
	if counts.IdleConnections.Load() != 0 {
		t.Errorf("%d connections are counted as idle, want 0", counts.IdleConnections.Load())
	}
}

// Usable implements CheckedConn.
func (c *testConn) Usable() bool { return !c.broken }

// Idle connections that the server has closed, or over which it goes on sending, are closed before they are wanted again. Others, and those
// in use, are left alone.
func TestPoolClosesUnusableConnections(t *testing.T) {
	counts := &Counters{}
	p := NewPool(10, time.Second, counts)
	sound, broken, inUse := openConn(t, p), openConn(t, p), openConn(t, p)
	p.Put("s", "x", sound, t0)
	p.Put("s", "x", broken, t0)
	p.Put("s", "x", inUse, t0)
	if got := p.TakeIdle("s", "x", false, t0); got != inUse {
		t.Fatalf("got %v", got)
	}
	broken.broken, inUse.broken = true, true
	p.CloseUnusable()
	p.CloseUnusable()
	if sound.closed != 0 || broken.closed != 1 || inUse.closed != 0 {
		t.Errorf("closed: sound %d, broken %d, in use %d", sound.closed, broken.closed, inUse.closed)
	}
	if idle, open := counts.IdleConnections.Load(), counts.ServerConnections.Load(); idle != 1 || open != 2 {
		t.Errorf("%d connections are counted as idle, %d as open", idle, open)
	}
}

// A server that has sent no response since an attempt was sent may have vanished, and its idle connections would stay open without ever
// answering. A server that has responded since is only slow.
func TestPoolClosesIdleConnectionsOfSilentServer(t *testing.T) {
	p := NewPool(10, time.Minute, &Counters{})
	a := openConn(t, p)
	p.Put("s", "x", a, t0)
	p.RecordResponse("s", t0.Add(time.Second))
	if p.CloseIfSilent("s", t0) || a.closed != 0 {
		t.Error("closed the connection although the server has responded")
	}
	if !p.CloseIfSilent("s", t0.Add(2*time.Second)) || a.closed != 1 {
		t.Error("kept the connection although the server is silent")
	}
}

func TestAddressesFollowList(t *testing.T) {
	a := addresses{}
	a.update(testList(balance.Complete, 1, "a", "b", "c"))
	change := testList(balance.Partial, 2, "a", "b")
	change.Entries[0].State = balance.Draining
	change.Addresses["b"] = "127.0.0.1:2"
	if leave := a.update(change); !reflect.DeepEqual(leave, []balance.ServerID{"a", "b"}) {
		t.Errorf("closed %v, want a and b", leave)
	}
	if a["a"].address == "" || a["b"].address != "127.0.0.1:2" {
		t.Errorf("addresses %v", a)
	}
	if leave := a.update(testList(balance.Complete, 3, "b")); len(leave) != 3 || len(a) != 1 {
		t.Errorf("closed %v, addresses %v", leave, a)
	}
}
