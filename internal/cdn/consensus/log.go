package consensus

import "slices"

// tailStretch is how many times as much of the tail is kept while a snapshot that is older is on its way to somebody.
const tailStretch = 4

// log is the entries that a node holds in memory: those behind its snapshot, and a tail of those before.
type log struct {
	snap       Snapshot
	offset     uint64 // the entry before the first one that is held
	offsetTerm uint64
	entries    []Entry
}

func newLog(snap Snapshot, behind []Entry) log {
	return log{snap: snap, offset: snap.Index, offsetTerm: snap.Term, entries: behind}
}

func (l *log) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns an entry's term, if it is known.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index == l.snap.Index:
		return l.snap.Term, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *log) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// between returns the entries from one index to another, both included.
func (l *log) between(from, to uint64) []Entry { return l.entries[from-l.offset-1 : to-l.offset] }

func (l *log) behindSnapshot() []Entry { return l.entries[l.snap.Index-l.offset:] }

// cut lets the entries from an index on go.
func (l *log) cut(from uint64) { l.entries = slices.Clip(l.entries[:from-l.offset-1]) }

// batch returns entries from an index on, up to so many bytes, but one at least.
func (l *log) batch(from uint64, most int) (entries []Entry, bytes int) {
	for _, e := range l.entries[from-l.offset-1:] {
		bytes += len(e.Data)
		if len(entries) > 0 && (bytes > most || len(entries) >= batchEntries) {
			return entries, bytes - len(e.Data)
		}
		entries = append(entries, e)
	}
	return entries, bytes
}

// LogSize is the number of entries since the last snapshot.
func (n *Node) LogSize() int { return len(n.behindSnapshot()) }

// Compact stands a snapshot for all entries up to its index, which must be taken already. A tail of them stays in memory.
func (n *Node) Compact(index uint64, data []byte) bool {
	if index <= n.snap.Index || index > n.taken {
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

// trimTail lets go what is held of the entries before the snapshot beyond what those may need who are not far behind.
func (n *Node) trimTail() {
	most, bytes := n.limits.TailEntries, n.limits.TailBytes
	wanted := n.snap.Index
	for _, p := range n.peers {
		if p.transfer != nil {
			wanted = min(wanted, p.transfer.snap.Index)
		}
	}
	first := n.snap.Index // the entry before the first that is kept
	for size := 0; first > n.offset; first-- {
		if first <= wanted && (n.snap.Index-first >= uint64(most) || size >= bytes) ||
			n.snap.Index-first >= uint64(tailStretch*most) || size >= tailStretch*bytes {
			break
		}
		size += len(n.entries[first-n.offset-1].Data)
	}
	if first > n.offset {
		t, _ := n.term(first)
		n.entries = slices.Clone(n.entries[first-n.offset:])
		n.offset, n.offsetTerm = first, t
	}
}
