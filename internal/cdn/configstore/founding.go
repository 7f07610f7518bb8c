package configstore

import (
	"maps"
	"slices"
	"time"

	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/raftlog"
)

// foundRetryInterval is the wait after the disk has refused the state of a founder.
const foundRetryInterval = time.Second

// foundCore makes this machine one of the founders of the core if it holds no log and neither does any other founder: all of them were
// killed at the first start of the system before enough of them had written anything. See consensus.Node.MayFound.
func (m *Machine) foundCore(now time.Time) {
	if m.unsaved != nil || now.Before(m.foundRetryAt) {
		return
	}
	if m.View.knowsOfNewerState() {
		m.node.ObserveCore()
	}
	self, founders, term, ok := m.node.MayFound()
	if !ok {
		return
	}
	held := raftlog.DiskState{ID: self.ID, Hard: consensus.HardState{Term: term}}
	held.Snapshot.Membership.Voters = founders
	if err := m.journal.Begin(held); err != nil {
		m.foundRetryAt = now.Add(foundRetryInterval)
		m.Log.Error("cannot write the state of a founder", "err", err)
		return
	}
	m.Log.Warn("no founder of the core holds a log: the core is founded now", "id", self.ID, "was", m.node.Self().ID, "term", term)
	m.Seed++ // another process ID, for timestamps
	m.startNode(held, now)
	m.answerBarriers(m.abandonedReads())
}

// abandonedReads returns the results of all waiting barriers, as failed ones.
func (m *Machine) abandonedReads() (reads []consensus.ReadResult) {
	for _, token := range slices.Sorted(maps.Keys(m.barriers)) {
		reads = append(reads, consensus.ReadResult{Token: token})
	}
	return reads
}
