package statesync

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// core is a stand-in for a core machine, or for a neighbour.
type core struct {
	mu      sync.Mutex
	history *clusterstate.History
	fresh   bool
	down    bool
	asked   int
	barred  int
}

func (c *core) News(a *clusterstate.Ask, n *clusterstate.News) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if a.Barrier {
		c.barred++
	}
	if c.down {
		return errors.New("down")
	}
	*n = c.history.Since(a.Have)
	if n.Fresh = c.fresh; c.fresh {
		n.Prove(time.Now(), time.Now())
	}
	return nil
}

func (c *core) set(f func()) { c.mu.Lock(); defer c.mu.Unlock(); f() }

func (c *core) purges(from, to uint64) {
	c.set(func() {
		for i := from; i <= to; i++ {
			c.history.Apply(i, clusterstate.Command{Purge: &clusterstate.Purge{Tag: "t"}}.Encode())
		}
	})
}

func serve(t *testing.T, address, name string, c *core) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go peerrpc.Serve(l, name, peerrpc.Shared(c))
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	late, look := time.After(8*time.Second), time.NewTicker(2*time.Millisecond)
	defer look.Stop()
	for !ok() {
		select {
		case <-late:
			t.Fatal("never: " + what)
		case <-look.C:
		}
	}
}

// One day of a copy: it begins with a barrier, follows changes in order, leaves a core machine that can't tell whether it is current,
// does not go back when it meets one that is behind, and takes what neighbours have when no core machine answers.
func TestADayOfACopy(t *testing.T) {
	a, b, near := &core{history: clusterstate.NewHistory(clusterstate.New())}, &core{history: clusterstate.NewHistory(clusterstate.New())}, &core{history: clusterstate.NewHistory(clusterstate.New())}
	serve(t, "127.0.73.1:7660", "ConfigStore", a)
	serve(t, "127.0.73.2:7660", "ConfigStore", b)
	serve(t, "127.0.73.3:7661", "Edge", near)
	a.fresh = true
	a.purges(1, 3)

	s := New()
	s.Set = bootconfig.Settings{IP: "127.0.0.1", SparePort: 7660, Seeds: []string{"127.0.73.1:1", "127.0.73.2:1"}, Bounds: bootconfig.Bounds{Contact: 600 * time.Millisecond}}
	s.Peers, s.Log = peerrpc.NewPeers(), hclog.NewNullLogger()
	s.Neighbours = func() []string { return []string{"127.0.73.3:7661"} }
	var seen []uint64
	last := uint64(0)
	s.Took = func(state *clusterstate.State, _ clusterstate.Command, index uint64, whole bool) {
		if state.Index < last || index != state.Index {
			t.Errorf("went from %d to %d (%d)", last, state.Index, index)
		}
		last = state.Index
		seen = append(seen, index)
	}
	phase, _ := s.Phase()
	assert.Equal(t, phase, Empty)
	go s.Run(t.Context())
	until(t, "the first news", func() bool { p, _ := s.Phase(); return p == InTouch && s.Index() == 3 })
	a.set(func() { assert.Check(t, a.barred > 0) })
	near.set(func() { assert.Equal(t, near.asked, 0, "a neighbour was asked for nothing") })

	a.purges(4, 9)
	until(t, "changes", func() bool { return s.Index() == 9 })

	b.purges(1, 12)
	a.set(func() { a.fresh = false }) // it follows no leader any more
	b.set(func() { b.fresh = true })
	until(t, "the other machine", func() bool { return s.Index() == 12 })
	b.set(func() { b.down = true })
	a.set(func() { a.fresh = true; a.asked = 0 }) // an older history that claims to be current
	until(t, "questions to the older one", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.asked > 3 })
	assert.Equal(t, s.Index(), uint64(12), "it never goes back")

	a.set(func() { a.down = true })
	until(t, "out of touch", func() bool { p, _ := s.Phase(); return p == OutOfTouch })
	near.purges(1, 20)
	until(t, "what a neighbour has", func() bool { return s.Index() == 20 })
	phase, _ = s.Phase()
	assert.Equal(t, phase, OutOfTouch, "a neighbour's word is no proof")

	ctx, done := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer done()
	assert.Assert(t, !s.Await(ctx, 21) && s.Await(ctx, 20))
	b.purges(13, 30)
	b.set(func() { b.down = false })
	until(t, "in touch again", func() bool { p, _ := s.Phase(); return p == InTouch && s.Index() == 30 })
}

// A copy whose core was exchanged whole while it was cut off knows nobody who is left; the settings file names others, and it asks them.
func TestOtherSeeds(t *testing.T) {
	c := &core{history: clusterstate.NewHistory(clusterstate.New()), fresh: true}
	serve(t, "127.0.73.5:7660", "ConfigStore", c)
	c.purges(1, 3)
	s := New()
	s.Set = bootconfig.Settings{IP: "127.0.0.1", SparePort: 7660, Seeds: []string{"127.0.73.4:1"}, Named: new(bootconfig.Seeds), Bounds: bootconfig.Bounds{Contact: time.Second}}
	s.Peers, s.Log = peerrpc.NewPeers(), hclog.NewNullLogger()
	s.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	assert.DeepEqual(t, s.Core(), []string{"127.0.73.4:7660"})
	go s.Run(t.Context())
	s.Set.Named.Set([]string{"127.0.73.5:1"})
	until(t, "news from the new seed", func() bool { p, _ := s.Phase(); return p == InTouch && s.Index() == 3 })
}

// alone is a copy whose news are handed to it.
func alone() *Replica {
	s := New()
	s.Set.Bounds.Contact, s.Log = time.Hour, hclog.NewNullLogger()
	s.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	return s
}

// A copy is as current as the one who answered only once it holds all that that one does: an answer has room for a part, and a change may
// not be readable.
func TestAnAnswerThatDoesNotBringAll(t *testing.T) {
	c := &core{history: clusterstate.NewHistory(clusterstate.New()), fresh: true}
	c.purges(1, 600)
	s := alone()
	first := clusterstate.Change{Index: 1, Data: clusterstate.Command{Purge: &clusterstate.Purge{Tag: "t"}}.Encode()}
	s.Take(clusterstate.News{Changes: []clusterstate.Change{first}, Index: 1}, time.Now())
	take := func() Phase {
		var n clusterstate.News
		assert.NilError(t, c.News(&clusterstate.Ask{Have: s.Index()}, &n))
		s.Take(n, time.Now())
		p, _ := s.Phase()
		return p
	}
	if p := take(); p == InTouch || !s.Proof().IsZero() {
		t.Errorf("%v with %d of 600 entries, proof %v", p, s.Index(), s.Proof())
	}
	assert.Equal(t, take(), InTouch)
	assert.Equal(t, s.Index(), uint64(600))

	s = alone()
	s.Take(clusterstate.News{Fresh: true, Proven: true, Index: 2, Changes: []clusterstate.Change{first, {Index: 2, Data: []byte("{")}}}, time.Now())
	if p, _ := s.Phase(); p == InTouch || !s.Proof().IsZero() {
		t.Errorf("%v behind a change that can't be read, proof %v", p, s.Proof())
	}
}

// A proof is counted from the question's begin, less the age that the answer states; it never goes back, and what has no age proves nothing.
func TestProof(t *testing.T) {
	s, start := alone(), time.Now()
	for _, c := range []struct {
		what         string
		news         clusterstate.News
		begun, proof time.Duration // since the start
	}{
		{"the first", clusterstate.News{Proven: true, AgeMS: 300}, time.Second, 700 * time.Millisecond},
		{"an older one", clusterstate.News{Proven: true, AgeMS: 400}, time.Second, 700 * time.Millisecond},
		{"current, without an age", clusterstate.News{Fresh: true}, 2 * time.Second, 700 * time.Millisecond},
		{"of a question that was held", clusterstate.News{Proven: true, AgeMS: -400}, 2 * time.Second, 2400 * time.Millisecond},
		{"by one who holds more", clusterstate.News{Proven: true, Index: 1}, 3 * time.Second, 2400 * time.Millisecond},
		{"a question from before a long stop", clusterstate.News{Proven: true}, 0, 2400 * time.Millisecond},
	} {
		s.Take(c.news, start.Add(c.begun))
		assert.Equal(t, s.Proof().Sub(start), c.proof, c.what)
	}
}

// neighbour is another process's copy as it may be called.
type neighbour struct{ of *Replica }

func (n neighbour) News(a *clusterstate.Ask, got *clusterstate.News) error {
	*got = n.of.News(*a, time.Now())
	return nil
}

// Copies that are cut off from all core machines, whose questions to these hang, prove what neighbours prove, over several of them, and are
// not in touch by that. Once the core is gone nobody proves anything more.
func TestProofsAreHandedOn(t *testing.T) {
	c := &core{history: clusterstate.NewHistory(clusterstate.New()), fresh: true}
	c.purges(1, 3)
	serve(t, "127.0.73.6:7660", "ConfigStore", c)
	hangs, err := net.Listen("tcp", "127.0.73.7:7660")
	assert.NilError(t, err)
	t.Cleanup(func() { hangs.Close() })
	begun := time.Now()
	var all []*Replica
	for i, seed := range []string{"127.0.73.6:1", "127.0.73.7:1", "127.0.73.7:1"} {
		s := alone()
		s.Set = bootconfig.Settings{IP: "127.0.0.1", SparePort: 7660, Seeds: []string{seed}, Bounds: bootconfig.Bounds{Contact: time.Hour}}
		s.Peers = peerrpc.NewPeers()
		if i > 0 {
			s.Neighbours = func() []string { return []string{fmt.Sprintf("127.0.73.%d:7661", 10+i-1)} }
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.73.%d:7661", 10+i))
		assert.NilError(t, err)
		t.Cleanup(func() { l.Close() })
		go peerrpc.Serve(l, "Edge", peerrpc.Shared(neighbour{s}))
		go s.Run(t.Context())
		all = append(all, s)
	}
	last := all[2]
	until(t, "a proof over two neighbours", func() bool { return last.Index() == 3 && last.Proof().After(begun) })
	assert.Assert(t, time.Since(begun) < 3*time.Second, "it waited for core machines that hang")
	phase, _ := last.Phase()
	assert.Equal(t, phase, Empty)
	c.purges(4, 5)
	mark := time.Now()
	until(t, "a later proof", func() bool { return last.Proof().After(mark) })
	assert.Equal(t, last.Index(), uint64(5))
	for _, s := range all[1:] {
		proof := s.Proof()
		assert.Assert(t, !proof.After(all[0].Proof()))
	}
	c.set(func() { c.down = true })
	mark = time.Now()
	until(t, "old proofs", func() bool { now := time.Now(); return all[0].ProofIsOld(now) && last.ProofIsOld(now) })
	for _, s := range all {
		assert.Assert(t, !s.Proof().After(mark))
	}
}
