package facts

import (
	"testing"
	"time"
)

// A flood of queries is answered with at most maxRepliesPerTick datagrams per tick.
func TestQueryFloodIsBounded(t *testing.T) {
	s := NewGossiper(NewStore(1, 500), 3, 0, 1)
	for i := range 500 {
		s.Write(0, Name{AdminState, string(rune('a'+i%26)) + string(rune('a'+i/26))}, Drained)
	}
	sent := 0
	question := NewGossiper(NewStore(2, 1), 3, 1, 1).digest(prefix{}).encodeDigest()
	for range 10_000 {
		for _, m := range s.Handle(0, 1, question) {
			sent += len(m.Text)
		}
	}
	if sent == 0 || sent > maxRepliesPerTick*MaxDatagramBytes {
		t.Errorf("a flood was answered with %d bytes", sent)
	}
}

// Any datagram is handled without a panic or the loss of an order, and each fact that was accepted can be sent again in one datagram.
func FuzzHandle(f *testing.F) {
	s := NewGossiper(NewStore(7, 100), 3, 0, 1)
	s.Set(0, testName, Drained)
	s.Set(0, Name{StartTime, "c2"}, 1_800_000_000_000)
	for _, m := range s.Tick(0) {
		f.Add(m.Text)
	}
	f.Add([]byte{magicByte, version, byte(typeFacts), 0, 0, 0, 0, 0, 1})
	f.Add([]byte{magicByte, 9})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		s := NewGossiper(NewStore(1, 100), 3, 0, 1)
		s.Set(0, testName, InService)
		for _, m := range s.Handle(time.Hour, 1, text) {
			if len(m.Text) > MaxDatagramBytes {
				t.Fatalf("%d bytes", len(m.Text))
			}
		}
		if got, _ := s.Get(testName); len(got.Copies) == 0 {
			t.Fatalf("an order was lost: %+v", got)
		}
		for _, n := range s.Names() {
			text, fits := s.encodeFacts(time.Hour, message{typ: typeFacts}, []Name{n})
			if fits != 1 {
				t.Fatalf("%v does not fit a datagram", n)
			}
			if _, err := decode(time.Hour, text); err != nil {
				t.Fatalf("%v can't be sent: %v", n, err)
			}
		}
	})
}

// A starting router is synced once a synced peer has confirmed equal facts, and not because of peers that have just started as
// well: after a restart of many routers, these would confirm to one another that there are no facts.
func TestSyncedOnlyByASyncedPeer(t *testing.T) {
	newRouters := func(held bool) (old, a, b *Gossiper) {
		old, a, b = NewGossiper(NewStore(1, 10), 3, 0, 1), NewGossiper(NewStore(2, 10), 3, 1, 1), NewGossiper(NewStore(3, 10), 3, 2, 1)
		if old.MarkSynced(); held {
			old.Write(0, testName, Drained)
		}
		return old, a, b
	}
	exchange := func(x, y *Gossiper, number, other int) {
		for range 20 {
			queue := append(x.Tick(0), y.Tick(0)...)
			for len(queue) > 0 {
				m := queue[0]
				if queue = queue[1:]; m.To == other {
					queue = append(queue, y.Handle(0, number, m.Text)...)
				} else if m.To == number {
					queue = append(queue, x.Handle(0, other, m.Text)...)
				}
			}
		}
	}
	for _, held := range []bool{false, true} {
		old, a, b := newRouters(held)
		exchange(a, b, 1, 2)
		if a.Synced() || b.Synced() {
			t.Error("two routers that have just started count as synced")
		}
		exchange(old, a, 0, 1)
		if _, has := a.Get(testName); !a.Synced() || has != held {
			t.Errorf("synced %v, the fact %v", a.Synced(), has)
		}
		exchange(a, b, 1, 2)
		if _, has := b.Get(testName); !b.Synced() || has != held {
			t.Errorf("by way of another: synced %v, the fact %v", b.Synced(), has)
		}
	}
}

// Burst sends an order to so many peers at once that none is lost when the router crashes right after it, for ten seeds with half of the
// datagrams lost. With one datagram to one peer, one order in three was lost on real processes.
func TestBurst(t *testing.T) {
	for seed := range uint64(10) {
		s := NewGossiper(NewStore(1, 10), 8, 0, seed)
		s.Set(0, testName, Drained)
		told := map[int]bool{}
		for i, m := range s.Announce(0, testName) {
			if i%2 == 0 { // the other datagrams are lost
				told[m.To] = true
			}
		}
		if len(told) < 3 || told[0] {
			t.Errorf("seed %d: told %v", seed, told)
		}
	}
	if out := NewGossiper(NewStore(1, 10), 8, 0, 1).Announce(0, testName); len(out) > 0 {
		t.Errorf("%d datagrams for a fact that does not exist", len(out))
	}
}
