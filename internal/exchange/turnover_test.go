package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"cedarmast/balance"
)

// instantSender is a Sender whose servers answer immediately and keep their connections open.
type instantSender struct{ pool *Pool }

func (s instantSender) Send(a *Attempt) {
	go func() {
		c, err := s.pool.Get(context.Background(), a.Server, a.Address, false, time.Second)
		if err != nil {
			a.Finish(AttemptResult{Result: balance.NoConnect, Err: err})
			return
		}
		if c == nil {
			c = &testConn{pool: s.pool}
		}
		s.pool.RecordResponse(a.Server, time.Now())
		s.pool.Put(a.Server, a.Address, c, time.Now())
		a.Finish(AttemptResult{Result: balance.OK})
	}()
}

// Guards against memory leaks by server turnover: over a day servers are replaced by new ones with new IDs, often at the addresses of
// the old ones. State per server or exchange must not grow with the total number of servers seen.
func TestServerTurnover(t *testing.T) {
	l := NewLoop()
	l.Clock, l.Counters, l.Log, l.Settings = NewClock(), &Counters{}, slog.New(slog.DiscardHandler), testSettings
	l.Pool = NewPool(50, time.Minute, l.Counters)
	l.Sender, l.PeerSender = instantSender{l.Pool}, &recordingPeerSender{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	const fleet, generations = 5, 400
	for g := range generations {
		id := balance.ServerID(fmt.Sprint("s", g))
		list := ServerList{List: balance.List{Kind: balance.Partial, Version: int64(g)}, Addresses: map[balance.ServerID]string{
			id: fmt.Sprint("127.0.0.1:", 9000+g%fleet)}}
		list.Entries = append(list.Entries, balance.Entry{Server: id, Weight: 1, Started: balance.Time(g + 1)})
		if g >= fleet && g%2 == 0 { // otherwise the list shows only the successor, not that the old server is gone
			list.Entries = append(list.Entries, balance.Entry{Server: balance.ServerID(fmt.Sprint("s", g-fleet)), State: balance.Gone})
		}
		l.UpdateServers(list)
		x := New(Request{Class: "read", Key: uint64(g), HasKey: true, Arrived: time.Now(), Timeout: 300 * time.Millisecond})
		l.Submit(x)
		if a := answerOf(t, x); a.Kind != Served {
			t.Fatalf("generation %d: %+v", g, a)
		}
	}
	until := time.Now().Add(2 * time.Second)
	for l.Counters.IdleConnections.Load() > 2*fleet && time.Now().Before(until) {
		time.Sleep(time.Millisecond)
	}
	l.Pool.CloseExpired(time.Now().Add(responseRetention / 2))
	time.Sleep(400 * time.Millisecond) // wait until the timers of the requests have expired
	l.UpdateServers(ServerList{List: balance.List{Kind: balance.Partial}})
	time.Sleep(20 * time.Millisecond)
	stop()
	<-done
	for name, n := range map[string]int{"exchanges": len(l.exchanges), "addresses": len(l.addresses), "entries": len(l.entries),
		"servers with idle connections": len(l.Pool.idle)} {
		if n > 2*fleet {
			t.Errorf("%d %s after %d generations of %d servers", n, name, generations, fleet)
		}
	}
	if l.Pool.CloseExpired(time.Now().Add(2 * responseRetention)); len(l.Pool.lastResponse) != 0 {
		t.Errorf("%d response times are kept after their retention", len(l.Pool.lastResponse))
	}
	if n := len(l.timers.entries); n > 20 {
		t.Errorf("%d timers are pending, want at most 20", n)
	}
}

// A new server at the address of an old one replaces it, even if the list has not shown the old one as gone. A restarted server's idle
// connections are closed. A late list entry of the old server does not restore it.
func TestNewServerAtOldAddress(t *testing.T) {
	a := addresses{}
	at := func(kind balance.ListKind, state balance.State, names map[string]balance.Time) ServerList {
		l := ServerList{List: balance.List{Kind: kind}, Addresses: map[balance.ServerID]string{}}
		for _, name := range []string{"old", "new", "other"} {
			if started, ok := names[name]; ok {
				id := balance.ServerID(name)
				l.Entries = append(l.Entries, balance.Entry{Server: id, Weight: 1, Started: started, State: state})
				l.Addresses[id] = map[string]string{"old": "x", "new": "x", "other": "y"}[name]
			}
		}
		return l
	}
	take := func(l ServerList) (gone []balance.ServerID, leave []balance.ServerID) {
		l = a.markReplaced(l)
		for _, e := range l.Entries {
			if e.State == balance.Gone {
				gone = append(gone, e.Server)
			}
		}
		return gone, a.update(l)
	}
	take(at(balance.Complete, balance.Up, map[string]balance.Time{"old": 1, "other": 1}))
	gone, leave := take(at(balance.Partial, balance.Up, map[string]balance.Time{"new": 5}))
	if want := []balance.ServerID{"old"}; !reflect.DeepEqual(gone, want) || !reflect.DeepEqual(leave, want) {
		t.Errorf("gone %v, connections closed %v", gone, leave)
	}
	if gone, _ := take(at(balance.Partial, balance.Up, map[string]balance.Time{"old": 1})); len(gone) != 1 || len(a) != 2 {
		t.Errorf("late entry of the old server: gone %v, listed %v", gone, a)
	}
	if _, leave := take(at(balance.Partial, balance.Up, map[string]balance.Time{"other": 7})); len(leave) != 1 {
		t.Errorf("after a restart: connections closed %v", leave)
	}
	both := at(balance.Complete, balance.Up, map[string]balance.Time{"old": 1, "new": 5, "other": 7})
	if gone, _ := take(both); len(gone) != 1 || gone[0] != "old" {
		t.Errorf("both in a complete list: gone %v", gone)
	}
}
