package exchange

import (
	"testing"
	"time"
)

// Connections are not reused beyond the idle time from which requests on them are reset at once. Resets that affect all idle times alike
// do not limit the reuse, and what was learned decays.
func TestReuseOfIdleConnections(t *testing.T) {
	const most = 4 * time.Second
	now := time.Now()
	x := &reuseTracker{}
	if got := x.maxIdle(true, most, now); got != most {
		t.Errorf("without data: %v", got)
	}
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		bad := i%8 == 0
		x.record(time.Millisecond, !bad, now)
		x.record(300*time.Millisecond, !bad, now)
		x.record(2*time.Second, !bad, now)
	}
	if got := x.maxIdle(false, most, now); got != most {
		t.Errorf("resets at all idle times: %v", got)
	}
	x = &reuseTracker{}
	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		x.record(time.Millisecond, true, now)
		x.record(150*time.Millisecond, i%12 != 0, now)
		x.record(300*time.Millisecond, i%3 != 0, now)
	}
	if got := x.maxIdle(false, most, now); got != 200*time.Millisecond {
		t.Errorf("resets beyond 0.2 s: %v", got)
	}
	if got := x.maxIdle(true, most, now); got != 100*time.Millisecond {
		t.Errorf("resets beyond 0.2 s, non-idempotent request: %v", got)
	}
	if got := x.maxIdle(true, most, now.Add(2*time.Minute)); got != most {
		t.Errorf("after the counts have decayed: %v", got)
	}
}

// A non-idempotent request does not take a connection that has been idle for too long, which stays available to other requests.
func TestNonIdempotentRequestSkipsOldConnections(t *testing.T) {
	p := NewPool(10, 4*time.Second, &Counters{})
	now := time.Now()
	c := openConn(t, p)
	p.Put("a", "x", c, now.Add(-150*time.Millisecond))
	for i := range 40 {
		p.RecordReuse(time.Millisecond, true)
		p.RecordReuse(150*time.Millisecond, i%12 != 0)
	}
	if got := p.TakeIdle("a", "x", true, now); got != nil || c.closed != 0 {
		t.Error("a non-idempotent request took a connection that may be reset")
	}
	if got := p.TakeIdle("a", "x", false, now); got != Conn(c) {
		t.Errorf("an idempotent request got %v", got)
	}
}
