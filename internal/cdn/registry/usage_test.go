package registry

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"
	"cedarmast/internal/cdn/usage"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// logStore is a stand-in for all config stores: one log, whose state it hands to those who follow it.
type logStore struct {
	mu       sync.Mutex
	history  *clusterstate.History
	follower *statesync.Replica
	sums     []usage.Sum
}

// Propose has net/rpc's form.
func (s *logStore) Propose(p *configstore.Proposal, r *configstore.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, out, err := s.history.Apply(s.history.State.Index+1, p.Data)
	*r = configstore.Reply{Outcome: clusterstate.Outcome{Status: out.Status, Text: out.Text}, Known: true}
	s.tell()
	return err
}

// UsageSums has net/rpc's form.
func (s *logStore) UsageSums(_ *bool, sums *[]usage.Sum) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*sums = s.sums
	return nil
}

// tell brings the follower up to date. The caller holds the lock.
func (s *logStore) tell() {
	s.follower.Take(s.history.Since(s.follower.Index()), time.Now())
}

// follow hands the state to this copy from now on, and to no other one.
func (s *logStore) follow(r *statesync.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower = r
	s.tell()
}

func (s *logStore) order(c clusterstate.Command) {
	s.Propose(&configstore.Proposal{Data: c.Encode()}, new(configstore.Reply))
}

func (s *logStore) usage() (l clusterstate.UsageLedger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.State.Usage
}

// dutyOf is a registry's part in the duty, on a machine whose copy is always proven.
func dutyOf(node, ip, store, platform string) *usageDuty {
	w := &Registry{log: hclog.NewNullLogger(), peers: peerrpc.NewPeers(), beats: NewBeats(), replica: statesync.New(), callers: departure.NewLedger()}
	w.set = bootconfig.Settings{Node: node, IP: ip, Platform: bootconfig.Platform{Address: platform, Duties: []string{bootconfig.UsageDuty},
		DutyPerS: 1000, ReportWindow: 100 * time.Millisecond, UsageDelay: 200 * time.Millisecond, Lease: 300 * time.Millisecond}}
	w.replica.Log, w.replica.Set.Bounds.Contact = w.log, time.Hour
	w.replica.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	w.store = w.peers.At(store)
	d := newUsageDuty(w)
	d.proof = time.Now
	return d
}

// turns takes turns until something is so.
func (d *usageDuty) turns(t *testing.T, what string, ok func() bool) {
	t.Helper()
	late := time.Now().Add(10 * time.Second)
	for !ok() {
		assert.Assert(t, time.Now().Before(late), what)
		<-time.After(min(d.turn(t.Context()), 20*time.Millisecond))
	}
}

// A holder dies after its call was taken and before it was answered. The next one has heard other counts, and repeats those that were fixed. The
// first one comes back with its old copy: its look forbids the call, and a call that leaves all the same is refused, once.
func TestANextHolderRepeatsWhatWasFixed(t *testing.T) {
	platform := localnet.NewPlatform(300 * time.Millisecond)
	at, err := platform.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer platform.Stop()
	store := &logStore{history: clusterstate.NewHistory(clusterstate.New())}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go peerrpc.Serve(l, "ConfigStore", peerrpc.Shared(store))
	first := dutyOf("core-1", "10.0.0.1", l.Addr().String(), at)
	next := dutyOf("core-2", "10.0.0.2", l.Addr().String(), at)

	store.follow(first.registry.replica)
	round := usage.RoundOf(time.Now(), 100*time.Millisecond) - 10
	store.sums = []usage.Sum{{Round: round, Counts: usage.Counts{"a": 4}, Complete: true}}
	store.order(clusterstate.Command{Appoint: "10.0.0.1"})
	first.turn(t.Context())
	assert.Equal(t, store.usage().Fixed, int64(0), "by its own clock alone a machine does not know which windows have ended")
	first.hear("core-1", time.Now(), time.Now(), time.Now())
	next.hear("core-1", time.Now(), time.Now(), time.Now())
	platform.Behave(localnet.Resetting, 0)
	first.turns(t, "the platform has taken it", func() bool { return len(platform.Windows()) > 0 })
	assert.Equal(t, store.usage().Pending[0].Round, round)

	store.follow(next.registry.replica) // the first one's copy stays as it is
	store.mu.Lock()
	store.sums = []usage.Sum{{Round: round, Counts: usage.Counts{"a": 9}, Complete: true}}
	store.mu.Unlock()
	store.order(clusterstate.Command{Appoint: "10.0.0.2"})
	platform.Behave(localnet.Answering, 0)
	next.turns(t, "it is known to be taken", func() bool {
		ledger := store.usage()
		return ledger.Fixed > 0 && (len(ledger.Pending) == 0 || ledger.Pending[0].Round > round)
	})
	assert.DeepEqual(t, platform.Windows()[round], map[string]int64{"a": 4})
	assert.Equal(t, platform.Answered(http.StatusConflict), 0)

	proven := time.Now().Add(-time.Second)
	first.proof = func() time.Time { return proven }
	for range 5 {
		first.turn(t.Context())
	}
	assert.Equal(t, platform.Answered(http.StatusConflict), 0, "its proof is too old")
	first.proof = time.Now // as if it did not look
	first.turns(t, "refused", func() bool { return first.reporter.State() == usage.Fenced })
	for range 5 {
		first.turn(t.Context())
	}
	assert.Equal(t, platform.Answered(http.StatusConflict), 1)
	assert.Equal(t, len(platform.Breaches()), 0, "%v", platform.Breaches())
}
