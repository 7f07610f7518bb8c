package configstore

import (
	"time"

	"cedarmast/internal/cdn/consensus"
)

// Writing to disk: saving what the node has ready, handling failing and slow disks, and compacting the journal.

// save writes the unsaved data and returns whether it is on disk. While the disk is failing the machine does nothing: it
// transfers leadership once, and nothing that depends on the write is sent or applied. After a failed write the complete state
// is written to a new journal generation, because it is not known how the old one ends on disk.
func (m *Machine) save(now time.Time) bool {
	if !m.unsaved.MustSave() {
		return true
	}
	if m.diskFailing {
		return m.retrySave(now)
	}
	m.journal.Note(m.View.AppliedIndex())
	started := m.Clock()
	if err := m.journal.Save(m.unsaved.Hard, m.unsaved.Snapshot, m.unsaved.Entries); err != nil {
		m.handleWriteFailure(now, err)
		return false
	}
	if took := m.Clock().Sub(started); m.writeLatency.observe(took) && m.IsLeader() {
		m.Log.Warn("disk writes are slow, stepping down as leader", "last", took.Round(time.Millisecond))
		m.node.StepDown()
	}
	m.View.countSync()
	return true
}

// retrySave retries writing to a failing disk, at most every diskRetryInterval, and returns whether it succeeded.
func (m *Machine) retrySave(now time.Time) bool {
	if now.Before(m.diskRetryAt) {
		return false
	}
	m.diskRetryAt = now.Add(diskRetryInterval)
	if err := m.journal.Renew(m.node.PersistentState()); err != nil {
		m.Log.Debug("disk still rejects writes", "err", err)
		return false
	}
	m.Log.Info("disk accepts writes again")
	m.diskFailing = false
	return true
}

// handleWriteFailure handles a failed write: the machine steps down, and all waiting barriers and proposals get a reply that
// promises nothing, for the commands may or may not be in the log.
func (m *Machine) handleWriteFailure(now time.Time, err error) {
	m.Log.Error("disk rejects writes, retrying until it accepts them", "err", err)
	m.diskFailing, m.diskRetryAt = true, now.Add(diskRetryInterval)
	m.node.StepDown()
	ready := m.node.TakeReady() // only what does not depend on the disk is used
	for _, message := range ready.Messages {
		if message.TakeOver != nil {
			m.Send(message)
		}
	}
	m.answerBarriers(ready.Reads)
	m.answerBarriers(failedReads(m.unsaved.Reads))
	m.unsaved.Reads = nil
	m.answerProposals(Reply{})
}

// failedReads returns the reads as failed ones: a reply that waited for the disk would come too late.
func failedReads(reads []consensus.ReadResult) (results []consensus.ReadResult) {
	for _, r := range reads {
		results = append(results, consensus.ReadResult{Token: r.Token})
	}
	return results
}

// sendBeforeSave sends messages one call of Advance before the state that they promise is saved. It implements the disabled safeguard
// SendBeforeSave, for tests only.
func (m *Machine) sendBeforeSave() bool {
	if len(m.unsaved.Messages) == 0 || !m.unsaved.MustSave() {
		return false
	}
	for _, message := range m.unsaved.Messages {
		m.Send(message)
	}
	m.unsaved.Messages = nil
	return true
}

// renewJournal compacts the log into a snapshot and begins a new journal generation when the present one has grown too long.
func (m *Machine) renewJournal(now time.Time) {
	if m.diskFailing || m.unsaved != nil || now.Before(m.renewRetryAt) ||
		!m.journal.Grown(maxJournalBytes) && m.node.LogSize() < m.RenewEntries {
		return
	}
	index, data := m.View.snapshot(m.Weak.ForgetTaken)
	if !m.node.Compact(index, data) {
		return
	}
	m.journal.Note(m.View.AppliedIndex())
	if err := m.journal.Renew(m.node.PersistentState()); err != nil {
		m.renewRetryAt = now.Add(renewRetryInterval)
		m.Log.Error("cannot write a new journal generation", "err", err)
	}
}

// latencyTracker detects a slow disk from the duration of its writes. A leader steps down if its writes succeed but take so long
// that all commands wait for them. The mean is that of the last few writes, so that a single slow one does not count.
type latencyTracker struct {
	mean    time.Duration
	samples int // writes measured
}

const (
	slowWriteMean   = 90 * time.Millisecond // mean duration from which a disk is slow: some forty times that of a usual sync
	minWriteSamples = 4                     // minimum number of writes in the mean
)

// observe records the duration of a write and returns whether the disk is slow. After it has returned true it starts over.
func (t *latencyTracker) observe(took time.Duration) bool {
	t.samples++
	t.mean += (took - t.mean) / time.Duration(min(t.samples, 2*minWriteSamples))
	if t.samples < minWriteSamples || t.mean < slowWriteMean {
		return false
	}
	*t = latencyTracker{}
	return true
}
