package exchange

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cedarmast/balance"
)

// heardLists is decisions that keep what they are told of servers.
type heardLists struct {
	now map[balance.ServerID]balance.Entry
}

func (h *heardLists) Handle(_ balance.Time, events []balance.Event) []balance.Action {
	for _, e := range events {
		if l, ok := e.(balance.List); ok {
			if l.Kind != balance.Partial {
				clear(h.now)
			}
			for _, entry := range l.Entries {
				h.now[entry.Server] = entry
			}
		}
	}
	return nil
}
func (h *heardLists) View(balance.Time) []balance.View { return nil }

// maintained is a loop whose turns the test makes itself.
func maintained() (*Loop, *heardLists) {
	l := NewLoop()
	l.Clock, l.Counts, l.Log, l.Settings = NewClock(), &Counters{}, slog.New(slog.DiscardHandler), testSettings
	l.Pool, l.Teller = NewPool(10, time.Second, l.Counts), &told{}
	h := &heardLists{map[balance.ServerID]balance.Entry{}}
	l.balancer = h
	return l, h
}

func listedTo(l *Loop, kind balance.ListKind, entries ...balance.Entry) {
	list := List{balance.List{Kind: kind, Entries: entries}, map[balance.ServerID]string{}}
	for _, e := range entries {
		list.Addresses[e.Server] = "address of " + string(e.Server)
	}
	l.turn(listed{list})
}

func ordered(l *Loop, server balance.ServerID, out, alike bool) error {
	done := make(chan error, 1)
	l.turn(order{server: server, out: out, alike: alike, done: done})
	return <-done
}

// A server that is out counts as draining whatever discovery lists, also as new, until one call back, however many were
// made out; then it is cold from that call on.
func TestMaintenanceHoldsOverTheList(t *testing.T) {
	l, h := maintained()
	listedTo(l, balance.Complete, balance.Entry{Server: "a", Weight: 1}, balance.Entry{Server: "b", Weight: 1})
	if err := ordered(l, "nobody", true, false); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("a server that nobody has: %v", err)
	}
	for range 2 {
		if err := ordered(l, "a", true, false); err != nil || h.now["a"].State != balance.Draining || h.now["b"].State != balance.Up {
			t.Fatalf("out: %v, %+v", err, h.now)
		}
	}
	restarted := l.Clock.Now()
	listedTo(l, balance.Partial, balance.Entry{Server: "a", Weight: 1, Started: restarted})
	listedTo(l, balance.Partial, balance.Entry{Server: "a", State: balance.Gone})
	if h.now["a"].State != balance.Gone {
		t.Errorf("gone: %+v", h.now["a"])
	}
	listedTo(l, balance.Complete, balance.Entry{Server: "a", Weight: 1, Started: restarted}, balance.Entry{Server: "b", Weight: 1})
	if h.now["a"].State != balance.Draining {
		t.Errorf("listed anew while it is out: %+v", h.now["a"])
	}
	time.Sleep(2 * time.Millisecond)
	called := l.Clock.Now()
	if err := ordered(l, "a", false, false); err != nil || h.now["a"].State != balance.Up || h.now["a"].Started < called {
		t.Errorf("back: %v, %+v, called at %v", err, h.now["a"], called)
	}
	listedTo(l, balance.Partial, balance.Entry{Server: "a", Weight: 1, Started: restarted}) // discovery is late
	if h.now["a"].Started < called {
		t.Errorf("a late listing undid the call back: %+v", h.now["a"])
	}
	listedTo(l, balance.Partial, balance.Entry{Server: "a", Weight: 1, Started: l.Clock.Now()})
	if len(l.Maintenance.Back) != 0 {
		t.Error("what was held of a server is not let go when it has started anew")
	}
	if err := ordered(l, "b", false, false); err != nil || h.now["b"].Started != 0 {
		t.Errorf("ready for one that was never out: %v, %+v", err, h.now["b"])
	}
}

// Servers that go for good leave nothing behind, and fresh decisions after a panic hold to the operators' word.
func TestMaintenanceIsBoundedAndSurvivesPanics(t *testing.T) {
	l, _ := maintained()
	listedTo(l, balance.Complete, balance.Entry{Server: "a", Weight: 1}, balance.Entry{Server: "b", Weight: 1})
	ordered(l, "a", true, false)
	ordered(l, "a", false, false)
	ordered(l, "b", true, false)
	var h *heardLists
	l.Decide = func(balance.Settings, uint64) Decider {
		h = &heardLists{map[balance.ServerID]balance.Entry{}}
		return h
	}
	l.startAnew()
	if h.now["b"].State != balance.Draining || h.now["a"].Started == 0 {
		t.Errorf("fresh decisions were told %+v", h.now)
	}
	listedTo(l, balance.Complete, balance.Entry{Server: "b", Weight: 1})
	if len(l.Maintenance.Back) != 0 {
		t.Error("a server that has gone is still held as called back")
	}
	for i := range maxOut + 5 { // b is out already
		err := ordered(l, balance.ServerID(fmt.Sprint("s", i)), true, true)
		if full := i >= maxOut-1; errors.Is(err, ErrTooManyOut) != full {
			t.Fatalf("order %d: %v", i, err)
		}
	}
	if len(l.Maintenance.Out) != maxOut {
		t.Errorf("%d are out", len(l.Maintenance.Out))
	}
}

// An order goes before all that waits for the loop: operators have a second, whatever the load.
func TestOrdersGoFirst(t *testing.T) {
	l, h := maintained()
	listedTo(l, balance.Complete, balance.Entry{Server: "a", Weight: 1})
	for range queueLength {
		l.events <- heard{}
	}
	done := make(chan error, 1)
	go l.postUrgent(order{server: "a", out: true, done: done})
	time.Sleep(20 * time.Millisecond)
	l.turn(nil)
	select {
	case err := <-done:
		if err != nil || h.now["a"].State != balance.Draining {
			t.Errorf("%v, %+v", err, h.now["a"])
		}
	default:
		t.Errorf("the order waits behind %d events", len(l.events))
	}
}

// Two copies of the operators' word may each lack an order that found its disk full: a server that is out in one is out, and neither copy is
// written over.
func TestWordsTakenTogether(t *testing.T) {
	a, b := NewMaintenance(), NewMaintenance()
	a.Out["x"], b.Out["y"], a.Back["z"], b.Back["z"] = true, true, 5, 7
	if c := a.With(b); !c.Out["x"] || !c.Out["y"] || c.Back["z"] != 7 || len(a.Out) != 1 || len(b.Out) != 1 {
		t.Errorf("%v of %v and %v", c, a, b)
	}
}
