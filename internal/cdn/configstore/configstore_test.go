package configstore

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/raftlog"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// start runs so many config stores in this process, each on its own address and folder, until the test ends.
func start(t *testing.T, n int, at int) (peers []*peerrpc.Peer) {
	t.Helper()
	return startOn(t, n, at, func(int) func(Journal) Journal { return nil })
}

// startOn does it with each one's way to its disk.
func startOn(t *testing.T, n int, at int, disk func(i int) func(Journal) Journal) (peers []*peerrpc.Peer) {
	t.Helper()
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.%d:8146", at, i+1))
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error, n)
	for i := range n {
		set := bootconfig.Settings{Node: fmt.Sprint("core-", i), IP: fmt.Sprintf("127.0.%d.%d", at, i+1), DataDir: t.TempDir(), FirstStart: true, Seeds: seeds, SparePort: 7660,
			Heartbeat: time.Second}
		go func() { done <- run(ctx, set, hclog.NewNullLogger(), disk(i)) }()
		peers = append(peers, peerrpc.NewPeer(set.Inner(set.IP, bootconfig.ConfigStorePort)))
	}
	t.Cleanup(func() {
		end()
		for range n {
			assert.Check(t, <-done == nil)
		}
	})
	return peers
}

func call[A, R any](t *testing.T, p *peerrpc.Peer, method string, args A) (R, error) {
	ctx, done := context.WithTimeout(t.Context(), 3*time.Second)
	defer done()
	return peerrpc.Call[A, R](ctx, p, method, &args)
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	late, look := time.After(15*time.Second), time.NewTicker(10*time.Millisecond)
	defer look.Stop()
	for !ok() {
		select {
		case <-late:
			t.Fatal("never: " + what)
		case <-look.C:
		}
	}
}

const room = 64 << 10 // bytes of a file, at the limit

func purge(tag string) Proposal {
	return Proposal{Data: clusterstate.Command{Purge: &clusterstate.Purge{Tag: tag}}.Encode(), WaitMS: 700}
}

// Every disk is full at once, by the limit on files: what is asked for then is not acknowledged, nothing that was is lost, the
// machines say that their disks fail and that they are not current; when there is room again they go on by themselves.
func TestFullDisks(t *testing.T) {
	peers := start(t, 3, 74)
	taken := func(p *peerrpc.Peer, tag string) bool {
		r, err := call[Proposal, Reply](t, p, "ConfigStore.Propose", purge(tag))
		return err == nil && r.Known && r.Status == clusterstate.Done
	}
	purges := func(p *peerrpc.Peer) uint64 {
		n, err := call[clusterstate.Ask, clusterstate.News](t, p, "ConfigStore.News", clusterstate.Ask{HoldMS: 1})
		if err != nil || n.State == nil {
			return 0
		}
		return n.State.Purges
	}
	until(t, "a leader", func() bool { return taken(peers[0], strings.Repeat("b", 4*room)) }) // past the limit to come, which spares other files
	until(t, "the same everywhere", func() bool { return purges(peers[1]) > 0 && purges(peers[2]) > 0 })

	signal.Ignore(syscall.SIGXFSZ)
	var usual syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &usual))
	full := usual
	full.Cur = room
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full))
	defer syscall.Setrlimit(syscall.RLIMIT_FSIZE, &usual)
	for i, p := range peers {
		assert.Assert(t, !taken(p, fmt.Sprint("full", i)), "acknowledged on full disks")
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
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &usual))

	until(t, "orders again", func() bool { return taken(peers[0], "after") })
	least := uint64(2)
	for _, p := range peers {
		until(t, "what was acknowledged", func() bool { return purges(p) >= least })
	}
}

// hanging is a disk whose writes hang while the test holds it.
type hanging struct {
	Journal
	mu sync.Mutex
}

func (h *hanging) Save(hard *consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Journal.Save(hard, snap, entries)
}

// The leader's disk hangs: it answers nothing and claims nothing, the others elect and acknowledge, and once its disk goes on it follows,
// with all that was acknowledged meanwhile.
func TestALeadersDiskHangs(t *testing.T) {
	disks := make([]*hanging, 3)
	for i := range disks {
		disks[i] = new(hanging)
	}
	peers := startOn(t, 3, 77, func(i int) func(Journal) Journal {
		return func(j Journal) Journal { disks[i].Journal = j; return disks[i] }
	})
	taken := func(p *peerrpc.Peer, tag string) bool {
		r, err := call[Proposal, Reply](t, p, "ConfigStore.Propose", purge(tag))
		return err == nil && r.Known && r.Status == clusterstate.Done
	}
	status := func(i int) Status {
		s, _ := call[bool, Status](t, peers[i], "ConfigStore.Status", false) // none while it starts
		return s
	}
	leader := -1
	until(t, "a leader", func() bool {
		for i := range peers {
			if status(i).Role == consensus.Leader.String() {
				leader = i
			}
		}
		return leader >= 0 && taken(peers[leader], "before")
	})
	other := (leader + 1) % 3
	disks[leader].mu.Lock()
	until(t, "an order by the others", func() bool { return taken(peers[other], "meanwhile") })
	assert.Assert(t, !taken(peers[leader], "at the one that hangs"))
	until(t, "it claims no more to be current", func() bool { return !status(leader).Fresh })
	least := status(other).Index
	disks[leader].mu.Unlock()
	until(t, "it has what was acknowledged", func() bool { s := status(leader); return s.Fresh && s.Index >= least })
	until(t, "orders at all", func() bool { return taken(peers[leader], "after") })
}

// When a disk counts as slow, by the times of its writes: a single one that hangs does not make it so, and after it was said it is
// measured anew.
func TestSlowDisks(t *testing.T) {
	ms := func(all ...int) (d []time.Duration) {
		for _, x := range all {
			d = append(d, time.Duration(x)*time.Millisecond)
		}
		return d
	}
	cases := []struct {
		name   string
		writes []time.Duration
		slow   int // times that it is said
	}{
		{"as usual", ms(2, 2, 3, 2, 2, 4, 2, 2, 2, 2, 2, 2), 0},
		{"one that hangs", ms(2, 2, 2, 2, 2, 2, 2, 2, 600, 2, 2, 2, 2), 0},
		{"slow from the start", ms(120, 120, 120, 120), 1},
		{"it turns slow", ms(2, 2, 2, 2, 2, 2, 2, 2, 200, 200, 200, 200, 200, 200), 1},
		{"for long: each time anew", ms(120, 120, 120, 120, 120, 120, 120, 120), 2},
		{"not yet known", ms(300, 300, 300), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s slowness
			said := 0
			for _, w := range c.writes {
				if s.turn(w) {
					said++
				}
			}
			assert.Equal(t, said, c.slow)
		})
	}
}

// A question for news waits until there is some, one that asks for a barrier is answered by a machine that holds what was
// acknowledged before, and who asks as a cache router is put into the roster.
func TestNews(t *testing.T) {
	peers := start(t, 3, 75)
	until(t, "a leader", func() bool {
		r, err := call[Proposal, Reply](t, peers[0], "ConfigStore.Propose", purge("one"))
		return err == nil && r.Known
	})
	for i, p := range peers {
		n, err := call[clusterstate.Ask, clusterstate.News](t, p, "ConfigStore.News", clusterstate.Ask{Barrier: true, HoldMS: 2000, Router: clusterstate.Router{Node: fmt.Sprint("edge-", i), Zone: "z"}})
		assert.NilError(t, err)
		assert.Assert(t, n.Fresh && n.State != nil && n.State.Purges >= 1)
		assert.Assert(t, n.Proven && n.AgeMS <= 0, "all that was acknowledged before the question came is held: %d ms", n.AgeMS)
	}
	until(t, "a roster of three", func() bool {
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
	_, err = call[Proposal, Reply](t, peers[2], "ConfigStore.Propose", purge("two"))
	assert.NilError(t, err)
	news := <-got
	assert.Assert(t, news.State == nil && len(news.Changes) >= 1, "%+v", news)
}

// After a loss of power a machine knows at once what its disk says is committed, and nothing beyond it: that may be voted away.
func TestAStartAppliesWhatIsSurelyKept(t *testing.T) {
	var held raftlog.Held
	for i := range uint64(5) {
		held.Entries = append(held.Entries, consensus.Entry{Index: i + 1, Term: 1, Data: purge(fmt.Sprint(i)).Data})
	}
	for committed := range uint64(7) {
		held.Committed = committed
		history, err := replay(held)
		assert.NilError(t, err)
		assert.Equal(t, history.State.Purges, min(committed, 5))
		for _, e := range held.Entries { // the node hands all of them over later
			_, _, err := history.Apply(e.Index, e.Data)
			assert.NilError(t, err)
		}
		assert.Equal(t, history.State.Purges, uint64(5))
	}
}

// Each life of a server has an id of its own, so that a list of who was heard that nobody looks through fills for good; at its
// bound, servers that live would pass for silent. A leader's was never looked through.
func TestWhoIsLongSilentIsForgotten(t *testing.T) {
	now := time.Now()
	v := newView(clusterstate.NewHistory(clusterstate.New()), 0)
	p := &v.presence
	p.attended = map[string]time.Time{"old": now.Add(-3 * absentFor), "new": now}
	p.enrolled = map[string]time.Time{"old": now, "new": now}
	v.letGo(now)
	assert.Equal(t, len(p.attended)+len(p.enrolled), 2)
	p.attended["later"] = now.Add(-3 * absentFor)
	v.letGo(now.Add(absentFor / 2)) // not at every turn of the loop
	assert.Equal(t, len(p.attended), 2)
	v.letGo(now.Add(absentFor))
	assert.Equal(t, len(p.attended), 1)
}

// What a router said that it needs counts for a while and is let go then: the rate of one that has gone is cut among the others.
func TestNeedsAreForgotten(t *testing.T) {
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
	p.needs["b"] = needed{p.needs["b"].per, time.Now().Add(-2 * needFor)}
	assert.DeepEqual(t, needs(), map[string]map[string]float64{"shop": {"a": 10}})
	s.view.letGo(time.Now())
	assert.Equal(t, len(p.needs), 1)
}

// What is told of a machine's freshness is until when it holds, not that it holds: a loop that hangs in a write publishes nothing, and the
// machine is no longer current all the same. (A flag held for as long as the write did; seeds of the simulation were up to 4.6 s behind.)
func TestFreshnessRunsOutWhileTheLoopHangs(t *testing.T) {
	view, now := newView(clusterstate.NewHistory(clusterstate.New()), 0), time.Now()
	view.publish(now, position{leader: "a", currentAt: now})
	assert.Assert(t, view.Since(0, now, now.Add(freshFor-time.Millisecond)).Fresh)
	assert.Assert(t, !view.Since(0, now, now.Add(freshFor+time.Millisecond)).Fresh, "the loop has said nothing since")
	assert.Assert(t, !view.Status(now.Add(freshFor+time.Millisecond)).Fresh)
}

// News state how long before their question this machine was surely current, rounded up, or after it if the question was held.
func TestTheAgeOfNews(t *testing.T) {
	view, now := newView(clusterstate.NewHistory(clusterstate.New()), 0), time.Now()
	assert.Assert(t, !view.Since(0, now, now).Proven, "nobody was ever heard")
	for _, c := range []struct {
		current, came time.Duration
		ms            int64
	}{{0, 200 * time.Millisecond, 200}, {0, 200*time.Millisecond + 1, 201}, {0, 10 * time.Second, 10000}, {300 * time.Millisecond, 100 * time.Millisecond, -200},
		{300*time.Millisecond + 1, 100 * time.Millisecond, -200}} {
		view.publish(now, position{leader: "a", currentAt: now.Add(c.current)})
		n := view.Since(0, now.Add(c.came), now.Add(time.Minute))
		assert.Assert(t, n.Proven && n.AgeMS == c.ms, "%d ms, not %d", n.AgeMS, c.ms)
		proof := n.ProofOf(now.Add(c.came))
		assert.Assert(t, !proof.After(now.Add(c.current)) && proof.After(now.Add(c.current-time.Millisecond)))
	}
}

// An order is measured where it was received, once, under what became of it and whether the leader had been the same for long.
func TestAcknowledgementsAreMeasured(t *testing.T) {
	view, now := newView(clusterstate.NewHistory(clusterstate.New()), 0), time.Now()
	view.publish(now, position{leader: "a"})
	assert.Assert(t, !view.settled(now.Add(time.Second), 3*time.Second))
	view.publish(now.Add(2*time.Second), position{leader: "a"})
	assert.Assert(t, view.settled(now.Add(3*time.Second), 3*time.Second), "the same leader for as long as contact")
	view.publish(now.Add(4*time.Second), position{leader: "b"})
	assert.Assert(t, !view.settled(now.Add(5*time.Second), 3*time.Second), "another leader")
	view.publish(now.Add(6*time.Second), position{})
	assert.Assert(t, !view.settled(now.Add(time.Hour), 3*time.Second), "none")

	a := newAcknowledgements(hclog.NewNullLogger())
	a.observe("purge", Reply{Known: true, Outcome: clusterstate.Outcome{Status: clusterstate.Done}}, true, time.Millisecond)
	a.observe("purge", Reply{Known: true, Outcome: clusterstate.Outcome{Status: clusterstate.Stale}}, true, time.Millisecond)
	a.observe("purge", Reply{}, false, 2*time.Second)
	assert.Equal(t, testutil.CollectAndCount(a.seconds), 3)
	for _, labels := range [][]string{{"purge", outcomeDone, "yes"}, {"purge", outcomeRefused, "yes"}, {"purge", outcomeUnclear, "no"}} {
		assert.Assert(t, a.seconds.DeleteLabelValues(labels...), "%v", labels)
	}
}
