package statesync

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// fakeCore is a fake core machine or neighbour.
type fakeCore struct {
	mu       sync.Mutex
	history  *clusterstate.History
	fresh    bool
	down     bool
	requests int
	barriers int
}

func (c *fakeCore) News(request *clusterstate.Ask, reply *clusterstate.News) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if request.Barrier {
		c.barriers++
	}
	if c.down {
		return errors.New("down")
	}
	*reply = c.history.Since(request.Have)
	if reply.Fresh = c.fresh; c.fresh {
		reply.SetProof(time.Now(), time.Now())
	}
	return nil
}

// set calls a function while the fake is locked.
func (c *fakeCore) set(f func()) { c.mu.Lock(); defer c.mu.Unlock(); f() }

// addPurges adds one purge to the history for each index of a range.
func (c *fakeCore) addPurges(from, to uint64) {
	c.set(func() {
		for i := from; i <= to; i++ {
			c.history.Apply(i, clusterstate.Command{Purge: &clusterstate.Purge{Tag: "t"}}.Encode())
		}
	})
}

// serve answers calls to the service name at an address until the test ends.
func serve(t *testing.T, address, name string, c *fakeCore) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go peerrpc.Serve(l, name, peerrpc.Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares)}, peerrpc.SharedService(c))
}

// waitFor waits for a condition, and fails the test if it does not hold within 8 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline, ticker := time.After(8*time.Second), time.NewTicker(2*time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatal("never: " + what)
		case <-ticker.C:
		}
	}
}

// The life of a replica: it begins with a barrier, applies changes in order, leaves a core machine that does not know whether it is
// current, does not go back when a machine is behind, and takes changes from neighbours when no core machine answers.
func TestReplicaLifecycle(t *testing.T) {
	a, b, neighbour := &fakeCore{history: clusterstate.NewHistory(clusterstate.New())}, &fakeCore{history: clusterstate.NewHistory(clusterstate.New())}, &fakeCore{history: clusterstate.NewHistory(clusterstate.New())}
	serve(t, "127.0.73.1:7660", "ConfigStore", a)
	serve(t, "127.0.73.2:7660", "ConfigStore", b)
	serve(t, "127.0.73.3:7661", "Edge", neighbour)
	a.fresh = true
	a.addPurges(1, 3)

	s := New()
	s.Set = bootconfig.Settings{IP: "127.0.0.1", FirstSparePort: 7660, Seeds: []string{"127.0.73.1:1", "127.0.73.2:1"},
		Limits: bootconfig.Limits{Contact: 600 * time.Millisecond}}
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
	assert.Equal(t, phase, PhaseEmpty)
	go s.Run(t.Context())
	waitFor(t, "the first news", func() bool { p, _ := s.Phase(); return p == Connected && s.Index() == 3 })
	a.set(func() { assert.Check(t, a.barriers > 0) })
	neighbour.set(func() { assert.Equal(t, neighbour.requests, 0, "a neighbour was asked without need") })

	a.addPurges(4, 9)
	waitFor(t, "changes", func() bool { return s.Index() == 9 })

	b.addPurges(1, 12)
	a.set(func() { a.fresh = false }) // it no longer follows a leader
	b.set(func() { b.fresh = true })
	waitFor(t, "the other machine", func() bool { return s.Index() == 12 })
	b.set(func() { b.down = true })
	a.set(func() { a.fresh = true; a.requests = 0 }) // an older history that claims to be current
	waitFor(t, "questions to the older one", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.requests > 3 })
	assert.Equal(t, s.Index(), uint64(12), "it never goes back")

	a.set(func() { a.down = true })
	waitFor(t, "out of touch", func() bool { p, _ := s.Phase(); return p == Disconnected })
	neighbour.addPurges(1, 20)
	waitFor(t, "what a neighbour has", func() bool { return s.Index() == 20 })
	phase, _ = s.Phase()
	assert.Equal(t, phase, Disconnected, "a neighbour's reply must not change the phase")

	ctx, done := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer done()
	assert.Assert(t, !s.Await(ctx, 21) && s.Await(ctx, 20))
	b.addPurges(13, 30)
	b.set(func() { b.down = false })
	waitFor(t, "in touch again", func() bool { p, _ := s.Phase(); return p == Connected && s.Index() == 30 })
}

// While a replica was cut off, all core machines it knows were replaced. It asks the new ones once the settings file names them.
func TestNewSeedsAreAsked(t *testing.T) {
	c := &fakeCore{history: clusterstate.NewHistory(clusterstate.New()), fresh: true}
	serve(t, "127.0.73.5:7660", "ConfigStore", c)
	c.addPurges(1, 3)
	s := New()
	s.Set = bootconfig.Settings{IP: "127.0.0.1", FirstSparePort: 7660, Seeds: []string{"127.0.73.4:1"}, CurrentSeeds: new(bootconfig.Seeds),
		Limits: bootconfig.Limits{Contact: time.Second}}
	s.Peers, s.Log = peerrpc.NewPeers(), hclog.NewNullLogger()
	s.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	assert.DeepEqual(t, s.CoreAddresses(), []string{"127.0.73.4:7660"})
	go s.Run(t.Context())
	s.Set.CurrentSeeds.Set([]string{"127.0.73.5:1"})
	waitFor(t, "news from the new seed", func() bool { p, _ := s.Phase(); return p == Connected && s.Index() == 3 })
}

// newTestReplica returns a replica that polls nobody; the test passes replies to it.
func newTestReplica() *Replica {
	s := New()
	s.Set.Limits.Contact, s.Log = time.Hour, hclog.NewNullLogger()
	s.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	return s
}

// A replica is connected, and its proof advances, only once it holds all that the sender does: a reply may contain only a part of the
// changes, and a change may not be decodable.
func TestIncompleteReplyProvesNothing(t *testing.T) {
	c := &fakeCore{history: clusterstate.NewHistory(clusterstate.New()), fresh: true}
	c.addPurges(1, 600)
	s := newTestReplica()
	first := clusterstate.Change{Index: 1, Data: clusterstate.Command{Purge: &clusterstate.Purge{Tag: "t"}}.Encode()}
	s.Apply(clusterstate.News{Changes: []clusterstate.Change{first}, Index: 1}, time.Now())
	take := func() Phase {
		var n clusterstate.News
		assert.NilError(t, c.News(&clusterstate.Ask{Have: s.Index()}, &n))
		s.Apply(n, time.Now())
		p, _ := s.Phase()
		return p
	}
	if p := take(); p == Connected || !s.Proof().IsZero() {
		t.Errorf("%v with %d of 600 entries, proof %v", p, s.Index(), s.Proof())
	}
	assert.Equal(t, take(), Connected)
	assert.Equal(t, s.Index(), uint64(600))

	s = newTestReplica()
	s.Apply(clusterstate.News{Fresh: true, Proven: true, Index: 2, Changes: []clusterstate.Change{first, {Index: 2, Data: []byte("{")}}},
		time.Now())
	if p, _ := s.Phase(); p == Connected || !s.Proof().IsZero() {
		t.Errorf("%v after a change that can't be decoded, proof %v", p, s.Proof())
	}
}

// A proof is the start of the request less the age that the reply states. It never goes back, and a reply without an age proves nothing.
func TestProof(t *testing.T) {
	s, start := newTestReplica(), time.Now()
	for _, c := range []struct {
		what           string
		news           clusterstate.News
		started, proof time.Duration // since the start
	}{
		{"the first", clusterstate.News{Proven: true, AgeMS: 300}, time.Second, 700 * time.Millisecond},
		{"an older one", clusterstate.News{Proven: true, AgeMS: 400}, time.Second, 700 * time.Millisecond},
		{"current, without an age", clusterstate.News{Fresh: true}, 2 * time.Second, 700 * time.Millisecond},
		{"of a request that was held", clusterstate.News{Proven: true, AgeMS: -400}, 2 * time.Second, 2400 * time.Millisecond},
		{"from a sender that holds more", clusterstate.News{Proven: true, Index: 1}, 3 * time.Second, 2400 * time.Millisecond},
		{"of a request from before a long pause", clusterstate.News{Proven: true}, 0, 2400 * time.Millisecond},
	} {
		s.Apply(c.news, start.Add(c.started))
		assert.Equal(t, s.Proof().Sub(start), c.proof, c.what)
	}
}

// neighbour serves a replica to other processes over RPC.
type neighbour struct{ of *Replica }

func (n neighbour) News(a *clusterstate.Ask, got *clusterstate.News) error {
	*got = n.of.News(*a, time.Now())
	return nil
}

// Replicas that are cut off from all core machines, to which their requests hang, adopt the proofs of neighbours, also over several hops,
// without being connected. Once the core machines are gone, no proof advances.
func TestProofsPassBetweenNeighbours(t *testing.T) {
	c := &fakeCore{history: clusterstate.NewHistory(clusterstate.New()), fresh: true}
	c.addPurges(1, 3)
	serve(t, "127.0.73.6:7660", "ConfigStore", c)
	hangs, err := net.Listen("tcp", "127.0.73.7:7660")
	assert.NilError(t, err)
	t.Cleanup(func() { hangs.Close() })
	started := time.Now()
	var all []*Replica
	for i, seed := range []string{"127.0.73.6:1", "127.0.73.7:1", "127.0.73.7:1"} {
		s := newTestReplica()
		s.Set = bootconfig.Settings{IP: "127.0.0.1", FirstSparePort: 7660, Seeds: []string{seed}, Limits: bootconfig.Limits{Contact: time.Hour}}
		s.Peers = peerrpc.NewPeers()
		if i > 0 {
			s.Neighbours = func() []string { return []string{fmt.Sprintf("127.0.73.%d:7661", 10+i-1)} }
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.73.%d:7661", 10+i))
		assert.NilError(t, err)
		t.Cleanup(func() { l.Close() })
		go peerrpc.Serve(l, "Edge", peerrpc.Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares)}, peerrpc.SharedService(neighbour{s}))
		go s.Run(t.Context())
		all = append(all, s)
	}
	last := all[2]
	waitFor(t, "a proof over two hops", func() bool { return last.Index() == 3 && last.Proof().After(started) })
	assert.Assert(t, time.Since(started) < 3*time.Second, "waited for core machines that hang")
	phase, _ := last.Phase()
	assert.Equal(t, phase, PhaseEmpty)
	c.addPurges(4, 5)
	since := time.Now()
	waitFor(t, "a later proof", func() bool { return last.Proof().After(since) })
	assert.Equal(t, last.Index(), uint64(5))
	for _, s := range all[1:] {
		proof := s.Proof()
		assert.Assert(t, !proof.After(all[0].Proof()))
	}
	c.set(func() { c.down = true })
	since = time.Now()
	waitFor(t, "old proofs", func() bool { now := time.Now(); return all[0].ProofIsOld(now) && last.ProofIsOld(now) })
	for _, s := range all {
		assert.Assert(t, !s.Proof().After(since))
	}
}
