package configstore

import (
	"context"
	"math"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
)

// View is the part of a Machine that other goroutines may read, guarded by its own mutex, and the record of cache routers and
// servers that were heard from.
type View struct {
	mu              sync.Mutex
	history         *clusterstate.History
	changed         chan struct{} // closed and replaced on every change
	position        position
	sameLeaderSince time.Time // when the present leader became known; zero if none is known
	applied         uint64    // index of the last log entry that the state contains
	syncs           uint64    // writes to disk so far
	presence        presence
	newerStateSeen  bool // another process holds a state that is newer than this one
}

// position is the role of a machine in consensus and what it knows of the others.
type position struct {
	leader        string // address; empty if none is known
	isLeader      bool
	leaderSince   time.Time // when it became leader
	currentAsOf   time.Time // time as of which the applied state is known to be current; zero if unknown
	coreAddresses []string  // addresses of all core machines
	status        Status
}

// fresh reports whether the state of a machine in this position counts as current at the time now.
func (p position) fresh(now time.Time) bool {
	return !p.currentAsOf.IsZero() && now.Before(p.currentAsOf.Add(freshnessWindow))
}

// Status is the self-reported status of a config store.
type Status struct {
	ID, Role, Leader    string
	Term, Commit, Index uint64
	Members             []string
	Journal             int64 // bytes
	Version             string
	Servers, Routers    int
	Duty                clusterstate.Duty // its epoch is the fencing token of calls to the platform
	UsageFixed          int64             // the latest report window whose counts are fixed
	UsageBacklog        int               // fixed report windows that the platform is not known to have accepted
	Fresh, DiskFails    bool
	Syncs               uint64
}

// newView returns the view of a state that contains the log up to the index applied.
func newView(history *clusterstate.History, applied uint64) *View {
	return &View{history: history, applied: applied, changed: make(chan struct{}), presence: newPresence()}
}

// wake makes all callers of waitUntil check their condition again. The caller must hold the mutex.
func (v *View) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// waitUntil blocks until condition, which is called with the mutex held, returns true or the context is done. It returns whether
// the condition holds.
func (v *View) waitUntil(ctx context.Context, condition func() bool) bool {
	for {
		v.mu.Lock()
		ok, changed := condition(), v.changed
		v.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// apply applies committed entries and returns their outcomes. It stops with an error at the first that cannot be decoded.
func (v *View) apply(entries []consensus.Entry, ignoreEpoch bool) (outcomes []clusterstate.Outcome, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		if ignoreEpoch {
			e.Data = withMaxEpoch(e.Data)
		}
		outcome, err := applyEntry(v.history, e)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, outcome)
	}
	v.applied = max(v.applied, entries[len(entries)-1].Index)
	v.wake()
	return outcomes, nil
}

// checkProposal returns an error if a command must not enter the log.
func (v *View) checkProposal(c clusterstate.Command, maxServers int) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.CheckProposal(c, maxServers)
}

// withMaxEpoch makes a command valid under every epoch. It implements the disabled safeguard IgnoreEpoch, for tests only.
func withMaxEpoch(data []byte) []byte {
	c, err := clusterstate.Decode(data)
	if err != nil || c.Epoch == 0 {
		return data
	}
	c.Epoch = math.MaxUint64
	return c.Encode()
}

// replaceState replaces the state by one received from the leader, which contains the log up to index.
func (v *View) replaceState(s *clusterstate.State, index uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history, v.applied = clusterstate.NewHistory(s), index
	v.wake()
}

// snapshot returns the encoded state and the index of the last log entry that it contains.
func (v *View) snapshot(forgetTaken bool) (index uint64, data []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.history.State
	if forgetTaken {
		state = state.Clone()
		state.Taken = nil
	}
	return v.applied, encodeState(state)
}

// publish stores the present position and wakes waiting callers if the leader or the freshness has changed.
func (v *View) publish(now time.Time, p position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous := v.position
	switch {
	case p.leader == "" && !p.isLeader:
		v.sameLeaderSince = time.Time{}
	case p.leader != previous.leader || p.isLeader != previous.isLeader || v.sameLeaderSince.IsZero():
		v.sameLeaderSince = now
	}
	notify := p.leader != previous.leader || p.isLeader != previous.isLeader || p.fresh(now) != previous.fresh(now)
	v.position = p
	if notify {
		v.wake()
	}
}

// countSync counts a write to disk.
func (v *View) countSync() {
	v.mu.Lock()
	v.syncs++
	v.mu.Unlock()
}

// leaderStableFor reports whether the leader has been the same for at least span.
func (v *View) leaderStableFor(now time.Time, span time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.sameLeaderSince.IsZero() && now.Sub(v.sameLeaderSince) >= span
}

// AppliedIndex returns the index of the last applied log entry.
func (v *View) AppliedIndex() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied
}

// Duty returns the duty holder and epoch according to the state of this machine.
func (v *View) Duty() clusterstate.Duty {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.State.Duty
}

// Read calls read with the cluster state while holding the mutex. read must not keep the state.
func (v *View) Read(read func(*clusterstate.State)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	read(v.history.State)
}

// Leader returns whether this machine is the leader, otherwise the leader's address, empty if none is known.
func (v *View) Leader() (isLeader bool, address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position.isLeader, v.position.leader
}

// isCurrent reports whether the state of this machine counts as current. The caller must hold the mutex.
func (v *View) isCurrent(now time.Time) bool {
	return v.position.fresh(now)
}

// ChangesSince returns the changes after the index have, for a request that arrived at the time received. The reply also states the time
// as of which this machine is known to have been current.
func (v *View) ChangesSince(have uint64, received, now time.Time) clusterstate.News {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := v.history.Since(have)
	n.Core, n.Fresh = v.position.coreAddresses, v.isCurrent(now)
	if at := v.position.currentAsOf; !at.IsZero() {
		n.SetProof(at, received)
	}
	return n
}

// transferBytes returns about how many bytes it takes to send the whole state, if ChangesSince would return that; otherwise 0.
func (v *View) transferBytes(have uint64) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.TransferBytes(have)
}

// NoteStateOf records that another process holds the state up to an index.
func (v *View) NoteStateOf(index uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newerStateSeen = v.newerStateSeen || index > v.history.State.Index
}

// knowsOfNewerState reports whether another process has shown that it holds a newer state.
func (v *View) knowsOfNewerState() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newerStateSeen
}

// Status returns the status of this machine.
func (v *View) Status(now time.Time) Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, state := v.position.status, v.history.State
	s.Leader, s.Fresh, s.Members, s.Index, s.Syncs = v.position.leader, v.isCurrent(now), v.position.coreAddresses, state.Index, v.syncs
	s.Version, s.Servers, s.Routers, s.Duty = state.Version.String(), len(state.Servers), len(state.Routers), state.Duty
	s.UsageFixed, s.UsageBacklog = state.Usage.Fixed, len(state.Usage.Pending)
	return s
}
