package wire

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/standin"
)

func startWatch(t *testing.T, address string, index int64) (lists chan exchange.ServerList, first chan struct{}) {
	t.Helper()
	lists, first = make(chan exchange.ServerList, 1000), make(chan struct{})
	d := NewDiscovery(address)
	d.Index, d.Clock, d.Counters, d.Log = index, exchange.NewClock(), &exchange.Counters{}, slog.New(slog.DiscardHandler)
	d.OnList = func(l exchange.ServerList) { lists <- l }
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	d.OnDelivered = sync.OnceFunc(func() { close(first) })
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-done:
		case <-time.After(3 * time.Second):
			t.Error("Run does not return")
		}
	})
	return lists, first
}

func nextList(t *testing.T, lists chan exchange.ServerList) exchange.ServerList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(5 * time.Second):
		t.Fatal("no list was delivered")
		return exchange.ServerList{}
	}
}

var serverA = standin.Endpoint{Name: "a", Address: "127.0.0.1:9", Zone: "z", Type: "box", Group: 3, Status: "SERVING",
	Weight: 2, SinceMS: 5000}

func TestWholeListThenChanges(t *testing.T) {
	d := standin.NewDiscovery(t, 41, serverA)
	lists, first := startWatch(t, d.Address, UnknownIndex)
	l := nextList(t, lists)
	want := balance.Entry{Server: "a", Kind: "box", Zone: "z", Cell: 3, Weight: 2, Started: balance.Time(5 * time.Second)}
	if l.Kind != balance.Complete || l.Version != 41 || len(l.Entries) != 1 || l.Entries[0] != want || l.Addresses["a"] != "127.0.0.1:9" {
		t.Errorf("got %+v", l)
	}
	<-first
	drained := serverA
	drained.Status = "DRAINING"
	d.Update(drained)
	if l = nextList(t, lists); l.Kind != balance.Partial || len(l.Entries) != 1 || l.Entries[0].State != balance.Draining {
		t.Errorf("got %+v", l)
	}
}

// A list with index 0 is a version like any other: changes since it are watched, without fetching the full list and without
// a busy loop.
func TestIndexZeroIsWatched(t *testing.T) {
	d := standin.NewDiscovery(t, 0, serverA)
	lists, first := startWatch(t, d.Address, 0)
	<-first
	time.Sleep(150 * time.Millisecond)
	for _, target := range d.Targets() {
		if !strings.Contains(target, "index=0&wait=") {
			t.Errorf("asked %s", target)
		}
	}
	last := d.Targets()[len(d.Targets())-1]
	if wait, err := strconv.Atoi(last[strings.LastIndexByte(last, '=')+1:]); err != nil || wait < 1000 || wait > 60_000 {
		t.Errorf("the watch asks %s", last)
	}
	if n := len(d.Targets()); n > 2 {
		t.Errorf("%d calls in 0.2 s without news", n)
	}
	if l := nextList(t, lists); l.Kind != balance.Partial || len(l.Entries) != 0 {
		t.Errorf("got %+v", l)
	}
}

// While discovery fails, each failure is reported to OnList and calls back off; afterwards the watch continues from its version.
func TestBrokenDiscovery(t *testing.T) {
	d := standin.NewDiscovery(t, 7, serverA)
	lists, first := startWatch(t, d.Address, 7)
	<-first
	nextList(t, lists)
	d.CloseConns()
	if l := nextList(t, lists); l.Kind != balance.Failed {
		t.Errorf("got %+v", l)
	}
	drained := serverA
	drained.Status = "DRAINING"
	d.Update(drained)
	if l := nextList(t, lists); l.Kind != balance.Partial || len(l.Entries) != 1 {
		t.Errorf("got %+v", l)
	}
	d.SetStatus(500)
	if l := nextList(t, lists); l.Kind != balance.Failed {
		t.Errorf("got %+v", l)
	}
	time.Sleep(300 * time.Millisecond)
	if n := len(lists); n > 6 {
		t.Errorf("%d failures in 0.3 s: no backoff", n)
	}
	d.SetStatus(0)
	for l := nextList(t, lists); l.Kind != balance.Complete; l = nextList(t, lists) { // a full list after the version was refused
		if l.Kind != balance.Failed {
			t.Fatalf("got %+v", l)
		}
	}
}

func TestMalformedLists(t *testing.T) {
	for name, body := range map[string]string{"no JSON": "{", "unknown status": `{"endpoints":[{"name":"a","status":"ODD"}]}`,
		"no name": `{"endpoints":[{"status":"SERVING"}]}`, "no address": `{"endpoints":[{"name":"a","status":"SERVING"}]}`} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, body) })
			lists, _ := startWatch(t, s.Address, UnknownIndex)
			if l := nextList(t, lists); l.Kind != balance.Failed {
				t.Errorf("got %+v", l)
			}
		})
	}
}

// The calls of a watch follow one another without delay, on the same connection.
func TestWatchReusesConnection(t *testing.T) {
	d := standin.NewDiscovery(t, 1, serverA)
	lists, first := startWatch(t, d.Address, 1)
	<-first
	for range 5 {
		d.Update(serverA)
		nextList(t, lists)
	}
	if n := d.Accepted(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A watch whose connection gets no more answers is restarted on another one within seconds, and then receives the changes
// made meanwhile. With long-poll waits of a minute a router would keep sending to servers that are gone.
func TestSilentWatchReconnects(t *testing.T) {
	var first atomic.Bool
	first.Store(true)
	discovery := standin.NewServer(t, func(r *standin.Request) bool {
		if first.CompareAndSwap(true, false) {
			return r.Answer(200, `{"index":1,"snapshot":false,"endpoints":[]}`)
		}
		if r.Ordinal > 1 { // no more answers on the connection of the first call
			io.Copy(io.Discard, r.Conn)
			return false
		}
		return r.Answer(200, `{"index":2,"snapshot":false,"endpoints":[{"name":"a","address":"127.0.0.1:9","status":"DRAINING"}]}`)
	})
	lists, told := startWatch(t, discovery.Address, 1)
	<-told
	started := time.Now()
	for {
		if l := nextList(t, lists); len(l.Entries) == 1 && l.Entries[0].State == balance.Draining {
			break
		}
	}
	if took := time.Since(started); took > 4*time.Second {
		t.Errorf("the change was received after %v", took)
	}
}

func TestShutdownDuringSilentDiscovery(t *testing.T) {
	s := standin.NewServer(t, func(r *standin.Request) bool { io.Copy(io.Discard, r.Conn); return false })
	startWatch(t, s.Address, 1)
	standin.Eventually(t, "a call", func() bool { return s.Requests() == 1 })
}

func TestPeersSendAndReceive(t *testing.T) {
	freeAddress := func() string {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	addresses := []string{freeAddress(), freeAddress()}
	heard := make(chan string, 10)
	var all []*Peers
	for i, address := range addresses {
		p, err := ListenPeers(address, addresses)
		if err != nil {
			t.Fatal(err)
		}
		p.Counters, p.OnMessage = &exchange.Counters{}, func(int, []byte) {}
		if i == 1 {
			p.OnMessage = func(_ int, text []byte) { heard <- string(text) }
		}
		done := make(chan struct{})
		go func() { p.Run(); close(done) }()
		t.Cleanup(func() { p.Close(); <-done })
		all = append(all, p)
	}
	all[0].SendMessage(1, []byte("hello"))
	all[0].SendMessage(1, make([]byte, maxDatagram+1)) // too long: dropped, since it would invalidate more than it reports
	all[0].SendMessage(9, []byte("nobody"))
	select {
	case text := <-heard:
		if text != "hello" {
			t.Errorf("heard %q", text)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("no message was received")
	}
	if n := all[0].Counters.PeerMessagesDropped.Load(); n != 2 {
		t.Errorf("%d dropped", n)
	}
	stranger, err := net.Dial("udp", addresses[1])
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("who?"))
	standin.Eventually(t, "the datagram from an unknown address is dropped",
		func() bool { return all[1].Counters.PeerMessagesDropped.Load() == 1 })
	if len(heard) != 0 {
		t.Error("a message from an unknown address was received")
	}
	if _, err := ListenPeers("127.0.0.1:0", []string{"nonsense"}); err == nil || !strings.Contains(err.Error(), "peers[0]") {
		t.Errorf("a bad peer: %v", err)
	}
}
