package exchange

import (
	"testing"
	"time"
)

// Idle connections past the age at which requests on them are reset at once are not used; resets that strike all ages
// alike say nothing about idleness; and what was learned fades.
func TestTrustInIdleConnections(t *testing.T) {
	const most = 4 * time.Second
	now := time.Now()
	x := &trust{}
	if got := x.limit(true, most, now); got != most {
		t.Errorf("with nothing seen: %v", got)
	}
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		bad := i%8 == 0
		x.note(time.Millisecond, !bad, now)
		x.note(300*time.Millisecond, !bad, now)
		x.note(2*time.Second, !bad, now)
	}
	if got := x.limit(false, most, now); got != most {
		t.Errorf("resets of all ages: %v", got)
	}
	x = &trust{}
	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		x.note(time.Millisecond, true, now)
		x.note(150*time.Millisecond, i%12 != 0, now)
		x.note(300*time.Millisecond, i%3 != 0, now)
	}
	if got := x.limit(false, most, now); got != 200*time.Millisecond {
		t.Errorf("resets past 0.2 s: %v", got)
	}
	if got := x.limit(true, most, now); got != 100*time.Millisecond {
		t.Errorf("the same for what must not run twice: %v", got)
	}
	if got := x.limit(true, most, now.Add(2*time.Minute)); got != most {
		t.Errorf("much later: %v", got)
	}
}

// A careful request passes over a connection that is too old for it, and leaves it to the others.
func TestCarefulRequestLeavesOldConnections(t *testing.T) {
	p := NewPool(10, 4*time.Second, &Counters{})
	now := time.Now()
	c := openConn(t, p)
	p.Put("a", "x", c, now.Add(-150*time.Millisecond))
	for i := range 40 {
		p.Used(time.Millisecond, true)
		p.Used(150*time.Millisecond, i%12 != 0)
	}
	if got := p.Take("a", "x", true, now); got != nil || c.closed != 0 {
		t.Error("it took one that may be reset")
	}
	if got := p.Take("a", "x", false, now); got != Conn(c) {
		t.Errorf("a request that may be repeated got %v", got)
	}
}
