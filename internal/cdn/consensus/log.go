package consensus

import "slices"

// tailGrowthFactor is the factor by which the tail may exceed its limits while an older snapshot is being sent to a peer.
const tailGrowthFactor = 4

// log holds a node's snapshot and entries in memory: all entries after the snapshot, and a tail of those it covers.
type log struct {
	snap       Snapshot
	offset     uint64 // index of the entry before the first one held
	offsetTerm uint64 // term of that entry
	entries    []Entry
}

// newLog returns a log of a snapshot and the entries after it, without a tail.
func newLog(snap Snapshot, entries []Entry) log {
	return log{snap: snap, offset: snap.Index, offsetTerm: snap.Term, entries: entries}
}

// lastIndex returns the index of the last entry.
func (l *log) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at an index, and whether it is known.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index == l.snap.Index:
		return l.snap.Term, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// lastTerm returns the term of the last entry.
func (l *log) lastTerm() uint64 { t, _ := l.term(l.lastIndex()); return t }

// between returns the entries with indices first to last, both included.
func (l *log) between(first, last uint64) []Entry { return l.entries[first-l.offset-1 : last-l.offset] }

// afterSnapshot returns the entries that the snapshot does not cover.
func (l *log) afterSnapshot() []Entry { return l.entries[l.snap.Index-l.offset:] }

// truncateFrom drops the entries from an index on.
func (l *log) truncateFrom(from uint64) { l.entries = slices.Clip(l.entries[:from-l.offset-1]) }

// batch returns entries from an index on and their size. They have at most maxBytes of data and number at most
// maxBatchEntries, but there is at least one.
func (l *log) batch(from uint64, maxBytes int) (entries []Entry, bytes int) {
	for _, e := range l.entries[from-l.offset-1:] {
		bytes += len(e.Data)
		if len(entries) > 0 && (bytes > maxBytes || len(entries) >= maxBatchEntries) {
			return entries, bytes - len(e.Data)
		}
		entries = append(entries, e)
	}
	return entries, bytes
}

// LogSize returns the number of entries after the snapshot.
func (n *Node) LogSize() int { return len(n.afterSnapshot()) }

// Compact replaces all entries up to an index, which the host must have applied, by a snapshot with the given data. A tail of
// them stays in memory. It returns false if the index is not newer than the last snapshot or has not been delivered yet.
func (n *Node) Compact(index uint64, data []byte) bool {
	if index <= n.snap.Index || index > n.deliveredIndex {
		return false
	}
	t, _ := n.term(index)
	membership := n.snap.Membership
	for _, e := range n.between(n.snap.Index+1, index) {
		if e.Membership != nil {
			membership = *e.Membership
		}
	}
	n.snap = Snapshot{Index: index, Term: t, Membership: membership, Data: data}
	n.trimTail()
	return true
}

// trimTail drops the oldest entries covered by the snapshot, beyond the limits of the tail. Followers that are only a little
// behind are sent the tail instead of a snapshot.
func (n *Node) trimTail() {
	maxEntries, maxBytes := n.limits.TailEntries, n.limits.TailBytes
	neededFrom := n.snap.Index
	for _, p := range n.peers {
		if p.outgoingSnapshot != nil {
			neededFrom = min(neededFrom, p.outgoingSnapshot.snap.Index)
		}
	}
	newOffset := n.snap.Index // index of the entry before the first one kept
	for size := 0; newOffset > n.offset; newOffset-- {
		if newOffset <= neededFrom && (n.snap.Index-newOffset >= uint64(maxEntries) || size >= maxBytes) ||
			n.snap.Index-newOffset >= uint64(tailGrowthFactor*maxEntries) || size >= tailGrowthFactor*maxBytes {
			break
		}
		size += len(n.entries[newOffset-n.offset-1].Data)
	}
	if newOffset > n.offset {
		t, _ := n.term(newOffset)
		n.entries = slices.Clone(n.entries[newOffset-n.offset:])
		n.offset, n.offsetTerm = newOffset, t
	}
}
