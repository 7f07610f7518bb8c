package configstore

import (
	"time"

	"cedarmast/internal/cdn/consensus"
)

// This file is how a machine meets its disk: one that refuses, one that is slow, and the renewal of the journal.

// save writes what is unsaved. While the disk takes nothing this machine does nothing either: it hands over once, and
// whatever hangs on the write is neither said nor done. After a refusal the whole of what is held goes into a new generation
// of the journal, for what the old one's end looks like on the disk is not known.
func (m *Machine) save(now time.Time) bool {
	if !m.unsaved.MustSave() {
		return true
	}
	if m.failing {
		return m.saveAgain(now)
	}
	m.journal.Note(m.View.Applied())
	begun := m.Clock()
	if err := m.journal.Save(m.unsaved.Hard, m.unsaved.Snapshot, m.unsaved.Entries); err != nil {
		m.refuse(now, err)
		return false
	}
	if took := m.Clock().Sub(begun); m.slow.turn(took) && m.Leads() {
		m.Log.Warn("disk is slow; gives way", "last", took.Round(time.Millisecond))
		m.node.GiveWay()
	}
	m.View.countSync()
	return true
}

func (m *Machine) saveAgain(now time.Time) bool {
	if now.Before(m.retryAt) {
		return false
	}
	m.retryAt = now.Add(retryDisk)
	if err := m.journal.Renew(m.node.Held()); err != nil {
		m.Log.Debug("disk still takes nothing", "err", err)
		return false
	}
	m.Log.Info("disk takes writes again")
	m.failing = false
	return true
}

// refuse begins the time in which the disk takes nothing. Of what may be in the log nothing is promised.
func (m *Machine) refuse(now time.Time, err error) {
	m.Log.Error("disk takes nothing; waiting for it", "err", err)
	m.failing, m.retryAt = true, now.Add(retryDisk)
	m.node.GiveWay()
	late := m.node.Take() // nothing of it needs the disk
	for _, message := range late.Messages {
		if message.TakeOver != nil {
			m.Send(message)
		}
	}
	m.answerBarriers(late.Reads)
	m.answerBarriers(failed(m.unsaved.Reads))
	m.unsaved.Reads = nil
	m.answerWaiting(Reply{})
}

// failed turns the ends of barriers into such as can't tell: an answer that waits for a disk would wait for too long.
func failed(reads []consensus.Read) (all []consensus.Read) {
	for _, r := range reads {
		all = append(all, consensus.Read{Token: r.Token})
	}
	return all
}

// sendEarly lets messages leave a turn before what they promise is saved. It is a weakness, for tests alone.
func (m *Machine) sendEarly() bool {
	if len(m.unsaved.Messages) == 0 || !m.unsaved.MustSave() {
		return false
	}
	for _, message := range m.unsaved.Messages {
		m.Send(message)
	}
	m.unsaved.Messages = nil
	return true
}

// renew begins a new journal with a snapshot when the present one has grown long.
func (m *Machine) renew(now time.Time) {
	if m.failing || m.unsaved != nil || now.Before(m.renewAt) || !m.journal.Grown(renewBytes) && m.node.LogSize() < m.RenewEntries {
		return
	}
	index, data := m.View.snapshot(m.Weak.ForgetTaken)
	if !m.node.Compact(index, data) {
		return
	}
	m.journal.Note(m.View.Applied())
	if err := m.journal.Renew(m.node.Held()); err != nil {
		m.renewAt = now.Add(renewAgain)
		m.Log.Error("no room for a new journal", "err", err)
	}
}

// slowness measures a disk by what it was asked for: a leader gives way whose writes take so long that all orders wait for
// them, though each one succeeds. One slow write is none; the measure is of the last few.
type slowness struct {
	mean time.Duration
	n    int
}

const (
	slowWrite  = 90 * time.Millisecond // some forty times what a sync usually takes
	slowWrites = 4                     // in the mean at least
)

// turn takes a write's time and tells whether the disk is slow; then it begins anew.
func (s *slowness) turn(took time.Duration) bool {
	s.n++
	s.mean += (took - s.mean) / time.Duration(min(s.n, 2*slowWrites))
	if s.n < slowWrites || s.mean < slowWrite {
		return false
	}
	*s = slowness{}
	return true
}
