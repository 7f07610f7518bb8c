package configstore

import (
	"context"
	"math"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
)

// View is what the rest of a core machine's process may read of the Machine, under a lock of its own, and who was heard.
type View struct {
	mu       sync.Mutex
	history  *clusterstate.History
	changed  chan struct{} // closed and made anew with every change
	position position
	followed time.Time // since when the leader has been the same; zero without one
	applied  uint64    // the last entry of the log that the state has
	syncs    uint64
	presence presence
}

// position is where a machine stands in the agreement.
type position struct {
	leader    string // address
	leads     bool
	since     time.Time // when it began to lead
	currentAt time.Time // as of when what is applied is surely current; zero: not known
	core      []string
	status    Status
}

// fresh tells whether a machine that stands there may call itself current.
func (p position) fresh(now time.Time) bool {
	return !p.currentAt.IsZero() && now.Before(p.currentAt.Add(freshFor))
}

// Status is what a config store tells of itself.
type Status struct {
	ID, Role, Leader    string
	Term, Commit, Index uint64
	Members             []string
	Journal             int64 // bytes
	Version             string
	Servers, Routers    int
	Duty                clusterstate.Duty // its epoch is the fence of calls to the platform
	UsageFixed          int64             // the newest report window whose counts are fixed
	UsageBacklog        int               // windows that are fixed and not known to be taken by the platform
	Fresh, DiskFails    bool
	Syncs               uint64
}

func newView(history *clusterstate.History, applied uint64) *View {
	return &View{history: history, applied: applied, changed: make(chan struct{}), presence: newPresence()}
}

// wake lets those look again who wait. The caller holds the lock.
func (v *View) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// wait waits until the view passes the test, or the context ends.
func (v *View) wait(ctx context.Context, test func() bool) bool {
	for {
		v.mu.Lock()
		ok, changed := test(), v.changed
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

// apply takes committed entries on; all of them, or none after the first that can't be read.
func (v *View) apply(entries []consensus.Entry, ignoreEpoch bool) (outcomes []clusterstate.Outcome, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		if ignoreEpoch {
			e.Data = withoutEpoch(e.Data)
		}
		out, err := applyEntry(v.history, e)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, out)
	}
	v.applied = max(v.applied, entries[len(entries)-1].Index)
	v.wake()
	return outcomes, nil
}

// withoutEpoch makes a command hold under every epoch. It is a weakness, for tests alone.
func withoutEpoch(data []byte) []byte {
	c, err := clusterstate.Decode(data)
	if err != nil || c.Epoch == 0 {
		return data
	}
	c.Epoch = math.MaxUint64
	return c.Encode()
}

// replace puts a received state in the place of the one that is held.
func (v *View) replace(s *clusterstate.State, index uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history, v.applied = clusterstate.NewHistory(s), index
	v.wake()
}

// snapshot is the state as it is written down, and the entry up to which it goes.
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

func (v *View) publish(now time.Time, p position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.position
	switch {
	case p.leader == "" && !p.leads:
		v.followed = time.Time{}
	case p.leader != was.leader || p.leads != was.leads || v.followed.IsZero():
		v.followed = now
	}
	moved := p.leader != was.leader || p.leads != was.leads || p.fresh(now) != was.fresh(now)
	v.position = p
	if moved {
		v.wake()
	}
}

func (v *View) countSync() {
	v.mu.Lock()
	v.syncs++
	v.mu.Unlock()
}

// settled tells whether the same leader has been known for so long.
func (v *View) settled(now time.Time, span time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.followed.IsZero() && now.Sub(v.followed) >= span
}

// Applied is the last entry that the state has.
func (v *View) Applied() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied
}

// Duty is who holds the duty by this machine's state.
func (v *View) Duty() clusterstate.Duty {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.State.Duty
}

// Read shows the state under its lock.
func (v *View) Read(look func(*clusterstate.State)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	look(v.history.State)
}

// Leader tells whether this machine leads, or at which address the leader is; empty if none is known.
func (v *View) Leader() (here bool, at string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position.leads, v.position.leader
}

// current tells whether this machine follows a leader with a majority. The caller holds the lock.
func (v *View) current(now time.Time) bool {
	return v.position.fresh(now)
}

// Since answers one who holds a version of the state and whose question came at that time, and states as of when this machine was surely
// current.
func (v *View) Since(have uint64, came, now time.Time) clusterstate.News {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := v.history.Since(have)
	n.Core, n.Fresh = v.position.core, v.current(now)
	if at := v.position.currentAt; !at.IsZero() {
		n.Prove(at, came)
	}
	return n
}

// Status tells where this machine stands.
func (v *View) Status(now time.Time) Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, state := v.position.status, v.history.State
	s.Leader, s.Fresh, s.Members, s.Index, s.Syncs = v.position.leader, v.current(now), v.position.core, state.Index, v.syncs
	s.Version, s.Servers, s.Routers, s.Duty = state.Version.String(), len(state.Servers), len(state.Routers), state.Duty
	s.UsageFixed, s.UsageBacklog = state.Usage.Fixed, len(state.Usage.Pending)
	return s
}
