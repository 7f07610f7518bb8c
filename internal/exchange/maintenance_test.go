package exchange

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cedarmast/balance"
)

// listRecorder is a Balancer that records the server entries that it receives.
type listRecorder struct {
	list map[balance.ServerID]balance.Entry
}

func (h *listRecorder) Handle(_ balance.Time, events []balance.Event) []balance.Action {
	for _, e := range events {
		if l, ok := e.(balance.List); ok {
			if l.Kind != balance.Partial {
				clear(h.list)
			}
			for _, entry := range l.Entries {
				h.list[entry.Server] = entry
			}
		}
	}
	return nil
}
func (h *listRecorder) View(balance.Time) []balance.View { return nil }

// newManualLoop returns a loop whose batches the test runs itself, with a listRecorder as its balancer.
func newManualLoop() (*Loop, *listRecorder) {
	l := NewLoop()
	l.Clock, l.Counters, l.Log, l.Settings = NewClock(), &Counters{}, slog.New(slog.DiscardHandler), testSettings
	l.Pool, l.PeerSender = NewPool(10, time.Second, l.Counters), &recordingPeerSender{}
	h := &listRecorder{map[balance.ServerID]balance.Entry{}}
	l.balancer = h
	return l, h
}

// applyList runs a batch with a server list.
func applyList(l *Loop, kind balance.ListKind, entries ...balance.Entry) {
	list := ServerList{balance.List{Kind: kind, Entries: entries}, map[balance.ServerID]string{}}
	for _, e := range entries {
		list.Addresses[e.Server] = "address of " + string(e.Server)
	}
	l.processBatch(serverListReceived{list})
}

// runMaintenance runs a batch with a maintenance command and returns its result.
func runMaintenance(l *Loop, server balance.ServerID, out, fromPeerProcess bool) error {
	done := make(chan error, 1)
	l.processBatch(maintenanceCommand{server: server, out: out, fromPeerProcess: fromPeerProcess, done: done})
	return <-done
}

// A server that is taken out counts as draining whatever discovery lists, even after a restart, until a single command puts it back,
// however many commands took it out. From then on its cache counts as cold.
func TestMaintenanceOverridesList(t *testing.T) {
	l, h := newManualLoop()
	applyList(l, balance.Complete, balance.Entry{Server: "a", Weight: 1}, balance.Entry{Server: "b", Weight: 1})
	if err := runMaintenance(l, "nobody", true, false); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("unknown server: %v", err)
	}
	for range 2 {
		if err := runMaintenance(l, "a", true, false); err != nil || h.list["a"].State != balance.Draining || h.list["b"].State != balance.Up {
			t.Fatalf("out: %v, %+v", err, h.list)
		}
	}
	restarted := l.Clock.Now()
	applyList(l, balance.Partial, balance.Entry{Server: "a", Weight: 1, Started: restarted})
	applyList(l, balance.Partial, balance.Entry{Server: "a", State: balance.Gone})
	if h.list["a"].State != balance.Gone {
		t.Errorf("gone: %+v", h.list["a"])
	}
	applyList(l, balance.Complete, balance.Entry{Server: "a", Weight: 1, Started: restarted}, balance.Entry{Server: "b", Weight: 1})
	if h.list["a"].State != balance.Draining {
		t.Errorf("listed again while it is out: %+v", h.list["a"])
	}
	time.Sleep(2 * time.Millisecond)
	called := l.Clock.Now()
	if err := runMaintenance(l, "a", false, false); err != nil || h.list["a"].State != balance.Up || h.list["a"].Started < called {
		t.Errorf("put back: %v, %+v, not before %v", err, h.list["a"], called)
	}
	applyList(l, balance.Partial, balance.Entry{Server: "a", Weight: 1, Started: restarted}) // an outdated list from discovery
	if h.list["a"].Started < called {
		t.Errorf("an outdated list undid the command that put the server back: %+v", h.list["a"])
	}
	applyList(l, balance.Partial, balance.Entry{Server: "a", Weight: 1, Started: l.Clock.Now()})
	if len(l.Maintenance.Back) != 0 {
		t.Error("the state of a server is kept after its restart")
	}
	if err := runMaintenance(l, "b", false, false); err != nil || h.list["b"].Started != 0 {
		t.Errorf("putting back a server that was never out: %v, %+v", err, h.list["b"])
	}
}

// Maintenance state of servers that are gone is removed, the number of servers that are out is limited, and a new balancer after a panic
// gets the maintenance state.
func TestMaintenanceIsBoundedAndSurvivesPanic(t *testing.T) {
	l, _ := newManualLoop()
	applyList(l, balance.Complete, balance.Entry{Server: "a", Weight: 1}, balance.Entry{Server: "b", Weight: 1})
	runMaintenance(l, "a", true, false)
	runMaintenance(l, "a", false, false)
	runMaintenance(l, "b", true, false)
	var h *listRecorder
	l.NewBalancer = func(balance.Settings, uint64) Balancer {
		h = &listRecorder{map[balance.ServerID]balance.Entry{}}
		return h
	}
	l.restartBalancer()
	if h.list["b"].State != balance.Draining || h.list["a"].Started == 0 {
		t.Errorf("the new balancer received %+v", h.list)
	}
	applyList(l, balance.Complete, balance.Entry{Server: "b", Weight: 1})
	if len(l.Maintenance.Back) != 0 {
		t.Error("the time of putting back a server that is gone is still kept")
	}
	for i := range maxOut + 5 { // b is out already
		err := runMaintenance(l, balance.ServerID(fmt.Sprint("s", i)), true, true)
		if full := i >= maxOut-1; errors.Is(err, ErrTooManyOut) != full {
			t.Fatalf("command %d: %v", i, err)
		}
	}
	if len(l.Maintenance.Out) != maxOut {
		t.Errorf("%d servers are out, want maxOut", len(l.Maintenance.Out))
	}
}

// Maintenance commands are handled before all queued events: operators must get a result within a second, whatever the load.
func TestMaintenanceCommandsGoFirst(t *testing.T) {
	l, h := newManualLoop()
	applyList(l, balance.Complete, balance.Entry{Server: "a", Weight: 1})
	for range eventQueueLength {
		l.events <- peerMessageReceived{}
	}
	done := make(chan error, 1)
	go l.postUrgent(maintenanceCommand{server: "a", out: true, done: done})
	time.Sleep(20 * time.Millisecond)
	l.processBatch(nil)
	select {
	case err := <-done:
		if err != nil || h.list["a"].State != balance.Draining {
			t.Errorf("%v, %+v", err, h.list["a"])
		}
	default:
		t.Errorf("the command waits behind %d events", len(l.events))
	}
}

// Merging two stored maintenance states: each may lack a command that could not be stored because the disk was full. A server that is
// out in either is out, and neither input is modified.
func TestMergeMaintenance(t *testing.T) {
	a, b := NewMaintenance(), NewMaintenance()
	a.Out["x"], b.Out["y"], a.Back["z"], b.Back["z"] = true, true, 5, 7
	if c := a.Merge(b); !c.Out["x"] || !c.Out["y"] || c.Back["z"] != 7 || len(a.Out) != 1 || len(b.Out) != 1 {
		t.Errorf("merged %v from %v and %v", c, a, b)
	}
}
