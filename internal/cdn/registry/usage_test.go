package registry

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"
	"cedarmast/internal/cdn/usage"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// fakeConfigStore stands in for all config stores: one log, whose state it passes to one replica.
type fakeConfigStore struct {
	mu       sync.Mutex
	history  *clusterstate.History
	follower *statesync.Replica
	sums     []usage.Sum
}

// Propose is an RPC method.
func (s *fakeConfigStore) Propose(p *configstore.Proposal, r *configstore.Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, out, err := s.history.Apply(s.history.State.Index+1, p.Data)
	*r = configstore.Reply{Outcome: clusterstate.Outcome{Status: out.Status, Text: out.Text}, Known: true}
	s.updateFollower()
	return err
}

// UsageSums is an RPC method.
func (s *fakeConfigStore) UsageSums(_ *bool, sums *[]usage.Sum) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	*sums = s.sums
	return nil
}

// updateFollower brings the follower up to date. The caller holds the lock.
func (s *fakeConfigStore) updateFollower() {
	s.follower.Apply(s.history.Since(s.follower.Index()), time.Now())
}

// follow passes the state to this replica from now on, and to no other.
func (s *fakeConfigStore) follow(r *statesync.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower = r
	s.updateFollower()
}

// apply appends a command to the log.
func (s *fakeConfigStore) apply(c clusterstate.Command) {
	s.Propose(&configstore.Proposal{Data: c.Encode()}, new(configstore.Reply))
}

// ledger returns the usage ledger of the log's state.
func (s *fakeConfigStore) ledger() (l clusterstate.UsageLedger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.State.Usage
}

// newTestDuty returns the usage duty of a registry whose replica always counts as up to date.
func newTestDuty(node, ip, store, platform string) *usageDuty {
	reg := &Registry{log: hclog.NewNullLogger(), memory: admission.NewMemory(256, admission.RegistryShares), peers: peerrpc.NewPeers(), heartbeats: NewHeartbeats(), replica: statesync.New(),
		callers: cancellation.NewTracker()}
	reg.settings = bootconfig.Settings{Node: node, IP: ip, Platform: bootconfig.Platform{Address: platform, Duties: []string{bootconfig.UsageDuty},
		DutyPerS: 1000, ReportWindow: 100 * time.Millisecond, UsageDelay: 200 * time.Millisecond, DutyLease: 300 * time.Millisecond}}
	reg.replica.Log, reg.replica.Set.Limits.Contact = reg.log, time.Hour
	reg.replica.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	reg.store = reg.peers.At(store)
	d := newUsageDuty(reg)
	d.provenAt = time.Now
	return d
}

// runUntil runs steps until the condition holds, for at most 10 s.
func (d *usageDuty) runUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		assert.Assert(t, time.Now().Before(deadline), what)
		<-time.After(min(d.runStep(t.Context()), 20*time.Millisecond))
	}
}

// A holder dies after the platform accepted its report and before the response arrived. The next holder has collected
// different counts and must resend the committed ones. When the first holder comes back with its outdated replica, its
// lease check must prevent the call; a call that is sent nevertheless is refused once by the fencing token.
func TestNextHolderResendsFixedCounts(t *testing.T) {
	platform := localnet.NewPlatform(300 * time.Millisecond)
	at, err := platform.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer platform.Stop()
	store := &fakeConfigStore{history: clusterstate.NewHistory(clusterstate.New())}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go peerrpc.Serve(l, "ConfigStore", peerrpc.Options{Memory: admission.NewMemory(256, admission.ConfigStoreShares)}, peerrpc.SharedService(store))
	first := newTestDuty("core-1", "10.0.0.1", l.Addr().String(), at)
	next := newTestDuty("core-2", "10.0.0.2", l.Addr().String(), at)

	store.follow(first.registry.replica)
	round := usage.RoundOf(time.Now(), 100*time.Millisecond) - 10
	store.sums = []usage.Sum{{Round: round, Counts: usage.Counts{"a": 4}, Complete: true}}
	store.apply(clusterstate.Command{Appoint: "10.0.0.1"})
	first.runStep(t.Context())
	assert.Equal(t, store.ledger().Fixed, int64(0), "a machine's own clock alone does not tell which windows have ended")
	first.onTimeOfDay("core-1", time.Now(), time.Now(), time.Now())
	next.onTimeOfDay("core-1", time.Now(), time.Now(), time.Now())
	platform.SetBehavior(localnet.Resetting, 0)
	first.runUntil(t, "the platform has accepted the report", func() bool { return len(platform.Windows()) > 0 })
	assert.Equal(t, store.ledger().Pending[0].Round, round)

	store.follow(next.registry.replica) // the first duty's replica stays as it is
	store.mu.Lock()
	store.sums = []usage.Sum{{Round: round, Counts: usage.Counts{"a": 9}, Complete: true}}
	store.mu.Unlock()
	store.apply(clusterstate.Command{Appoint: "10.0.0.2"})
	platform.SetBehavior(localnet.Answering, 0)
	next.runUntil(t, "the report is recorded as accepted", func() bool {
		ledger := store.ledger()
		return ledger.Fixed > 0 && (len(ledger.Pending) == 0 || ledger.Pending[0].Round > round)
	})
	assert.DeepEqual(t, platform.Windows()[round], map[string]int64{"a": 4})
	assert.Equal(t, platform.AnswerCount(http.StatusConflict), 0)

	proven := time.Now().Add(-time.Second)
	first.provenAt = func() time.Time { return proven }
	for range 5 {
		first.runStep(t.Context())
	}
	assert.Equal(t, platform.AnswerCount(http.StatusConflict), 0, "the proof is too old")
	first.provenAt = time.Now // disables the lease check
	first.runUntil(t, "refused", func() bool { return first.reporter.State() == usage.Fenced })
	for range 5 {
		first.runStep(t.Context())
	}
	assert.Equal(t, platform.AnswerCount(http.StatusConflict), 1)
	assert.Equal(t, len(platform.Violations()), 0, "%v", platform.Violations())
}
