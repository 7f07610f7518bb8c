package configstore

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/raftlog"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// startStores runs n config stores in this process until the test ends, each with its own address and directory.
func startStores(t *testing.T, n int) (peers []*peerrpc.Peer) {
	t.Helper()
	return startStoresWithDisks(t, n, func(int) func(Journal) Journal { return nil })
}

// startStoresWithDisks is startStores with a wrapper for the journal of each config store. No other process of this machine uses their
// addresses: two runs of one test did at the same time, and config stores ended since their addresses were taken.
func startStoresWithDisks(t *testing.T, n int, disk func(i int) func(Journal) Journal) (peers []*peerrpc.Peer) {
	t.Helper()
	at, claim, err := localnet.ClaimSubnet(0)
	assert.NilError(t, err)
	t.Cleanup(func() { claim.Close() }) // after the config stores have ended
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.%d:8146", at, i+1))
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error, n)
	for i := range n {
		set := bootconfig.Settings{Node: fmt.Sprint("core-", i), MemoryMB: 256, FileHandles: 1024, IP: fmt.Sprintf("127.0.%d.%d", at, i+1), DataDir: t.TempDir(),
			FirstStart: true, Seeds: seeds, FirstSparePort: 7660, HeartbeatInterval: time.Second}
		go func() { done <- run(ctx, set, hclog.NewNullLogger(), disk(i)) }()
		peers = append(peers, peerrpc.NewPeer(set.InternalAddress(set.IP, bootconfig.ConfigStorePort)))
	}
	t.Cleanup(func() {
		end()
		for range n {
			assert.Check(t, <-done)
		}
	})
	return peers
}

// call calls a method of a config store with a timeout of 3 s.
func call[A, R any](t *testing.T, p *peerrpc.Peer, method string, args A) (R, error) {
	ctx, done := context.WithTimeout(t.Context(), 3*time.Second)
	defer done()
	return peerrpc.Call[A, R](ctx, p, method, &args)
}

// waitFor waits for a condition and fails the test if it does not hold within 15 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	timeout, ticker := time.After(15*time.Second), time.NewTicker(10*time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-timeout:
			t.Fatal("timed out waiting for " + what)
		case <-ticker.C:
		}
	}
}

const maxFileBytes = 64 << 10 // maximum size of a file in bytes while the disks are full

// purgeProposal returns a proposal to purge the cached responses with a tag.
func purgeProposal(tag string) Proposal {
	return Proposal{Data: clusterstate.Command{Purge: &clusterstate.Purge{Tag: tag}}.Encode(), WaitMS: 700}
}

// All disks are full at the same time, simulated by a limit on the file size. Commands must not be acknowledged then, machines
// must report failing disks and must not count as current. Once there is room again they must recover by themselves, without
// having lost an acknowledged command.
func TestFullDisks(t *testing.T) {
	peers := startStores(t, 3)
	taken := func(p *peerrpc.Peer, tag string) bool {
		r, err := call[Proposal, Reply](t, p, "ConfigStore.Propose", purgeProposal(tag))
		return err == nil && r.Known && r.Status == clusterstate.StatusOK
	}
	purges := func(p *peerrpc.Peer) uint64 {
		n, err := call[clusterstate.Ask, clusterstate.News](t, p, "ConfigStore.News", clusterstate.Ask{HoldMS: 1})
		if err != nil || n.State == nil {
			return 0
		}
		return n.State.Purges
	}
	// The journal grows beyond the later limit; other files of the process stay below it.
	waitFor(t, "a leader", func() bool { return taken(peers[0], strings.Repeat("b", 4*maxFileBytes)) })
	waitFor(t, "the command on all machines", func() bool { return purges(peers[1]) > 0 && purges(peers[2]) > 0 })

	signal.Ignore(syscall.SIGXFSZ)
	var original syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &original))
	limited := original
	limited.Cur = maxFileBytes
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limited))
	defer syscall.Setrlimit(syscall.RLIMIT_FSIZE, &original)
	for i, p := range peers {
		assert.Assert(t, !taken(p, fmt.Sprint("full", i)), "acknowledged while the disks were full")
	}
	failing := 0
	for _, p := range peers {
		s, err := call[bool, Status](t, p, "ConfigStore.Status", false)
		assert.NilError(t, err)
		if s.DiskFails {
			failing++
			assert.Assert(t, !s.Fresh)
		}
	}
	assert.Assert(t, failing > 0)
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &original))

	waitFor(t, "a command to be acknowledged again", func() bool { return taken(peers[0], "after") })
	least := uint64(2)
	for _, p := range peers {
		waitFor(t, "the acknowledged commands", func() bool { return purges(p) >= least })
	}
}

// hangingJournal is a journal whose writes block while the test holds the mutex.
type hangingJournal struct {
	Journal
	mu      sync.Mutex
	waiting atomic.Bool // a write has begun
}

func (h *hangingJournal) Save(hard *consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) error {
	h.waiting.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Journal.Save(hard, snap, entries)
}

// A write of the leader hangs. The leader must acknowledge nothing and must not count as current; the others must elect a
// new leader and acknowledge commands. Once the write completes, the old leader must follow, with all commands acknowledged
// in the meantime.
func TestLeaderDiskHangs(t *testing.T) {
	disks := make([]*hangingJournal, 3)
	for i := range disks {
		disks[i] = new(hangingJournal)
	}
	peers := startStoresWithDisks(t, 3, func(i int) func(Journal) Journal {
		return func(j Journal) Journal { disks[i].Journal = j; return disks[i] }
	})
	taken := func(p *peerrpc.Peer, tag string) bool {
		r, err := call[Proposal, Reply](t, p, "ConfigStore.Propose", purgeProposal(tag))
		return err == nil && r.Known && r.Status == clusterstate.StatusOK
	}
	status := func(i int) Status {
		s, _ := call[bool, Status](t, peers[i], "ConfigStore.Status", false) // zero while it starts
		return s
	}
	leader := -1
	waitFor(t, "a leader", func() bool {
		for i := range peers {
			if status(i).Role == consensus.Leader.String() {
				leader = i
			}
		}
		return leader >= 0 && taken(peers[leader], "before")
	})
	other := (leader + 1) % 3
	disks[leader].mu.Lock()
	waitFor(t, "a command to be acknowledged by the others", func() bool { return taken(peers[other], "meanwhile") })
	assert.Assert(t, !taken(peers[leader], "on the hanging machine"))
	waitFor(t, "the hanging machine to stop reporting itself current", func() bool { return !status(leader).Fresh })
	least := status(other).Index
	disks[leader].mu.Unlock()
	waitFor(t, "the acknowledged commands on the old leader", func() bool { s := status(leader); return s.Fresh && s.Index >= least })
	waitFor(t, "a command to be acknowledged by the old leader", func() bool { return taken(peers[leader], "after") })
}

// A disk counts as slow by the mean duration of its writes. A single hanging write must not make it slow, and the measurement
// must start over after a disk was reported as slow.
func TestSlowDiskDetection(t *testing.T) {
	ms := func(all ...int) (d []time.Duration) {
		for _, x := range all {
			d = append(d, time.Duration(x)*time.Millisecond)
		}
		return d
	}
	cases := []struct {
		name   string
		writes []time.Duration
		slow   int // how often the disk is reported as slow
	}{
		{"normal", ms(2, 2, 3, 2, 2, 4, 2, 2, 2, 2, 2, 2), 0},
		{"one hanging write", ms(2, 2, 2, 2, 2, 2, 2, 2, 600, 2, 2, 2, 2), 0},
		{"slow from the start", ms(120, 120, 120, 120), 1},
		{"becomes slow", ms(2, 2, 2, 2, 2, 2, 2, 2, 200, 200, 200, 200, 200, 200), 1},
		{"slow for long: reported repeatedly", ms(120, 120, 120, 120, 120, 120, 120, 120), 2},
		{"too few writes", ms(300, 300, 300), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s latencyTracker
			reports := 0
			for _, w := range c.writes {
				if s.observe(w) {
					reports++
				}
			}
			assert.Equal(t, reports, c.slow)
		})
	}
}

// A router that asks while no leader is known is queued for the roster once there is one, in the course of the same request.
func TestRouterAsksBeforeThereIsALeader(t *testing.T) {
	v, r := newView(clusterstate.NewHistory(clusterstate.New()), 0), clusterstate.Router{Node: "edge-1", Zone: "z"}
	assert.Assert(t, !v.noteRouter(r))
	assert.Assert(t, !v.noteRouterAgain(r))
	v.publish(time.Now(), position{leader: "127.0.0.1:1"})
	assert.Assert(t, v.noteRouterAgain(r))
	assert.Assert(t, !v.noteRouterAgain(r), "queued already")
	assert.DeepEqual(t, v.takeNewRouters(), []clusterstate.Router{r})
	assert.Assert(t, !v.noteRouterAgain(clusterstate.Router{}), "not a router")
}

// A request for news must wait until there are changes. With a barrier, the reply must contain everything acknowledged before
// the request. A cache router that sends a request must be added to the roster.
func TestNews(t *testing.T) {
	peers := startStores(t, 3)
	waitFor(t, "a leader", func() bool {
		r, err := call[Proposal, Reply](t, peers[0], "ConfigStore.Propose", purgeProposal("one"))
		return err == nil && r.Known
	})
	for i, p := range peers {
		n, err := call[clusterstate.Ask, clusterstate.News](t, p, "ConfigStore.News", clusterstate.Ask{Barrier: true, HoldMS: 2000,
			Router: clusterstate.Router{Node: fmt.Sprint("edge-", i), Zone: "z"}})
		assert.NilError(t, err)
		assert.Assert(t, n.Fresh && n.State != nil && n.State.Purges >= 1)
		assert.Assert(t, n.Proven && n.AgeMS <= 0, "the reply does not prove all that was acknowledged before the request: age %d ms", n.AgeMS)
	}
	waitFor(t, "three routers in the roster", func() bool {
		n, err := call[clusterstate.Ask, clusterstate.News](t, peers[2], "ConfigStore.News", clusterstate.Ask{HoldMS: 1})
		return err == nil && n.State != nil && len(n.State.Routers) == 3
	})
	n, err := call[clusterstate.Ask, clusterstate.News](t, peers[1], "ConfigStore.News", clusterstate.Ask{HoldMS: 1})
	assert.NilError(t, err)
	got := make(chan clusterstate.News, 1)
	go func() {
		news, _ := call[clusterstate.Ask, clusterstate.News](t, peers[1], "ConfigStore.News", clusterstate.Ask{Have: n.State.Index, HoldMS: 2500})
		got <- news
	}()
	_, err = call[Proposal, Reply](t, peers[2], "ConfigStore.Propose", purgeProposal("two"))
	assert.NilError(t, err)
	news := <-got
	assert.Assert(t, news.State == nil && len(news.Changes) >= 1, "%+v", news)
}

// After a loss of power a machine must apply exactly the entries that its disk records as committed: later ones may still be
// replaced by a new leader.
func TestReplayAppliesCommittedEntries(t *testing.T) {
	var held raftlog.DiskState
	for i := range uint64(5) {
		held.Entries = append(held.Entries, consensus.Entry{Index: i + 1, Term: 1, Data: purgeProposal(fmt.Sprint(i)).Data})
	}
	for committed := range uint64(7) {
		held.Committed = committed
		history, err := replay(held)
		assert.NilError(t, err)
		assert.Equal(t, history.State.Purges, min(committed, 5))
		for _, e := range held.Entries { // the node delivers all of them again later
			_, _, err := history.Apply(e.Index, e.Data)
			assert.NilError(t, err)
		}
		assert.Equal(t, history.State.Purges, uint64(5))
	}
}

// A leader refuses a configuration that parsers read differently, whoever proposes it, and takes the same one in good form.
func TestAmbiguousProposal(t *testing.T) {
	peers := startStores(t, 3)
	good := `{"edition":"r1","based_on":0,"parcels":[{"parcel_kind":"carriers","label":{"name":"shop"},"manifest":{"line_cap":130}}]}`
	for _, c := range []struct {
		text   string
		status int
	}{{strings.Replace(good, "130", "13\n0", 1), clusterstate.StatusInvalid}, {good, clusterstate.StatusOK}} {
		for _, p := range peers {
			proposal := Proposal{Data: clusterstate.Command{Put: []byte(c.text)}.Encode(), WaitMS: 700}
			waitFor(t, "a known outcome", func() bool {
				r, err := call[Proposal, Reply](t, p, "ConfigStore.Propose", proposal)
				assert.Assert(t, err != nil || !r.Known || r.Status == c.status, "%q: %+v", c.text, r)
				return err == nil && r.Known
			})
		}
	}
}

// Each start of a server has its own ID, so a list of servers that were heard from grows forever unless it is pruned; once it is
// full, live servers would seem silent. A leader did not prune its list before.
func TestSeenHereIsPruned(t *testing.T) {
	now := time.Now()
	v := newView(clusterstate.NewHistory(clusterstate.New()), 0)
	p := &v.presence
	p.seenHere = map[string]time.Time{"old": now.Add(-3 * absentTimeout), "new": now}
	p.proposedAt = map[string]time.Time{"old": now, "new": now}
	v.pruneSeenHere(now)
	assert.Equal(t, len(p.seenHere)+len(p.proposedAt), 2)
	p.seenHere["later"] = now.Add(-3 * absentTimeout)
	v.pruneSeenHere(now.Add(absentTimeout / 2)) // not pruned on every turn of the loop
	assert.Equal(t, len(p.seenHere), 2)
	v.pruneSeenHere(now.Add(absentTimeout))
	assert.Equal(t, len(p.seenHere), 1)
}

// The demand of a router must expire and be deleted after a while, so that the rate of a router that is gone is divided among the
// others.
func TestDemandExpires(t *testing.T) {
	s := &service{Store: &Store{view: newView(clusterstate.NewHistory(clusterstate.New()), 0)}}
	p := &s.view.presence
	var ok bool
	assert.NilError(t, s.Need(&clusterstate.Needs{Node: "a", Per: map[string]float64{"shop": 10}}, &ok))
	assert.NilError(t, s.Need(&clusterstate.Needs{Node: "b", Per: map[string]float64{"shop": 5, "desk": 1}}, &ok))
	assert.Assert(t, ok)
	needs := func() (all map[string]map[string]float64) {
		assert.NilError(t, s.Needs(new(bool), &all))
		return all
	}
	assert.DeepEqual(t, needs(), map[string]map[string]float64{"shop": {"a": 10, "b": 5}, "desk": {"b": 1}})
	p.demand["b"] = routerDemand{p.demand["b"].perService, time.Now().Add(-2 * demandTTL)}
	assert.DeepEqual(t, needs(), map[string]map[string]float64{"shop": {"a": 10}})
	s.view.pruneSeenHere(time.Now())
	assert.Equal(t, len(p.demand), 1)
}

// Freshness must expire without an update, because a loop that hangs in a write publishes nothing. With a mere flag, the machine
// would count as current for as long as the write hangs; in some seeds of the simulation the state was up to 4.6 s behind.
func TestFreshnessExpiresWhileLoopHangs(t *testing.T) {
	view, now := newView(clusterstate.NewHistory(clusterstate.New()), 0), time.Now()
	view.publish(now, position{leader: "a", currentAsOf: now})
	assert.Assert(t, view.ChangesSince(0, now, now.Add(freshnessWindow-time.Millisecond)).Fresh)
	assert.Assert(t, !view.ChangesSince(0, now, now.Add(freshnessWindow+time.Millisecond)).Fresh, "current without an update by the loop")
	assert.Assert(t, !view.Status(now.Add(freshnessWindow+time.Millisecond)).Fresh)
}

// The age in a news reply is the time from when this machine is known to have been current to the request, rounded up to
// milliseconds; it is negative if that was after the request, as it can be for a held one.
func TestNewsAge(t *testing.T) {
	view, now := newView(clusterstate.NewHistory(clusterstate.New()), 0), time.Now()
	assert.Assert(t, !view.ChangesSince(0, now, now).Proven, "proven without any contact to a leader")
	for _, c := range []struct {
		current, came time.Duration
		ms            int64
	}{{0, 200 * time.Millisecond, 200}, {0, 200*time.Millisecond + 1, 201}, {0, 10 * time.Second, 10000},
		{300 * time.Millisecond, 100 * time.Millisecond, -200}, {300*time.Millisecond + 1, 100 * time.Millisecond, -200}} {
		view.publish(now, position{leader: "a", currentAsOf: now.Add(c.current)})
		n := view.ChangesSince(0, now.Add(c.came), now.Add(time.Minute))
		assert.Assert(t, n.Proven && n.AgeMS == c.ms, "%d ms, not %d", n.AgeMS, c.ms)
		proof := n.ProvenAt(now.Add(c.came))
		assert.Assert(t, !proof.After(now.Add(c.current)) && proof.After(now.Add(c.current-time.Millisecond)))
	}
}

// Acknowledgements must be counted by kind, outcome and whether the leader had been the same for the contact time.
func TestAcknowledgementMetrics(t *testing.T) {
	view, now := newView(clusterstate.NewHistory(clusterstate.New()), 0), time.Now()
	view.publish(now, position{leader: "a"})
	assert.Assert(t, !view.leaderStableFor(now.Add(time.Second), 3*time.Second))
	view.publish(now.Add(2*time.Second), position{leader: "a"})
	assert.Assert(t, view.leaderStableFor(now.Add(3*time.Second), 3*time.Second), "the leader has been the same for the contact time")
	view.publish(now.Add(4*time.Second), position{leader: "b"})
	assert.Assert(t, !view.leaderStableFor(now.Add(5*time.Second), 3*time.Second), "the leader has changed")
	view.publish(now.Add(6*time.Second), position{})
	assert.Assert(t, !view.leaderStableFor(now.Add(time.Hour), 3*time.Second), "there is no leader")

	a := newAcknowledgements(hclog.NewNullLogger())
	a.observe("purge", Reply{Known: true, Outcome: clusterstate.Outcome{Status: clusterstate.StatusOK}}, true, time.Millisecond)
	a.observe("purge", Reply{Known: true, Outcome: clusterstate.Outcome{Status: clusterstate.StatusStale}}, true, time.Millisecond)
	a.observe("purge", Reply{}, false, 2*time.Second)
	assert.Equal(t, testutil.CollectAndCount(a.seconds), 3)
	for _, labels := range [][]string{{"purge", outcomeDone, "yes"}, {"purge", outcomeRefused, "yes"}, {"purge", outcomeUnclear, "no"}} {
		assert.Assert(t, a.seconds.DeleteLabelValues(labels...), "%v", labels)
	}
}
