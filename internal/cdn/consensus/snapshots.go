package consensus

import "time"

// This file sends a snapshot to a follower that needs entries which the log no longer holds. It is sent piece by piece, one in
// flight at a time, and resumes where it was interrupted. A transfer keeps its snapshot even if the log is compacted meanwhile,
// so that a slow follower catches up while changes continue.

// maxSnapshotBytes is the size above which a node refuses to receive a snapshot.
const maxSnapshotBytes = 256 << 20

// outgoingSnapshot is a snapshot that is being sent to a peer.
type outgoingSnapshot struct {
	snap   Snapshot
	offset int       // number of bytes that the receiver holds
	sentAt time.Time // when the piece at offset was last sent; zero: not yet
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	from        string
	index, term uint64
	size        int
	data        []byte
}

// sendSnapshotPiece sends the piece at the receiver's offset if it has not been sent for an election timeout. Otherwise it
// sends a heartbeat if asked to.
func (n *Node) sendSnapshotPiece(p *progress, heartbeat bool) {
	t := p.outgoingSnapshot
	if t == nil {
		t = &outgoingSnapshot{snap: n.snap}
		p.outgoingSnapshot, p.inFlight = t, nil
	}
	piece := &SnapshotPiece{Contact: n.newContact(p), Index: t.snap.Index, LastTerm: t.snap.Term, Membership: t.snap.Membership,
		Size: len(t.snap.Data), Offset: t.offset}
	if n.now.Sub(t.sentAt) > n.timing.Election {
		t.sentAt = n.now
		piece.Data = t.snap.Data[t.offset:min(t.offset+n.limits.PieceBytes, len(t.snap.Data))]
	} else if !heartbeat {
		return
	}
	n.send(p.Member, Message{Piece: piece})
}

// onSnapshotPiece adds a piece that continues the part of the snapshot received so far. The reply to any other piece tells the
// leader where to resume.
func (n *Node) onSnapshotPiece(m Message) {
	s := m.Piece
	if !n.observeLeader(m, s.Contact) {
		return
	}
	leader := Member{m.From, m.Addr}
	if t, ok := n.term(s.Index); s.Index <= n.commitIndex || ok && t == s.LastTerm { // held already, with entries that may be acknowledged
		n.commitIndex = max(n.commitIndex, min(s.Index, n.lastIndex()))
		n.incomingSnapshot = nil
		n.send(leader, Message{Appended: &Appended{Answer: n.newAnswer(s.Contact), Match: n.commitIndex}})
		return
	}
	if in := n.incomingSnapshot; in == nil || in.from != m.From || in.index != s.Index || in.term != s.LastTerm || in.size != s.Size {
		n.incomingSnapshot = &incomingSnapshot{from: m.From, index: s.Index, term: s.LastTerm, size: s.Size}
	}
	in := n.incomingSnapshot
	if s.Offset == len(in.data) && s.Size <= maxSnapshotBytes {
		in.data = append(in.data, s.Data...)
	}
	if len(in.data) == in.size {
		n.installSnapshot(Snapshot{Index: s.Index, Term: s.LastTerm, Membership: s.Membership, Data: in.data})
		n.send(leader, Message{Appended: &Appended{Answer: n.newAnswer(s.Contact), Match: s.Index}})
		return
	}
	n.send(leader, Message{PieceTaken: &PieceTaken{Answer: n.newAnswer(s.Contact), Index: s.Index, Offset: len(in.data)}})
}

// installSnapshot replaces the whole log by a received snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	n.log = newLog(s, nil)
	n.commitIndex, n.deliveredIndex, n.savedIndex, n.firstUnsaved = s.Index, s.Index, s.Index, 0
	n.receivedSnapshot, n.incomingSnapshot = &s, nil
	n.updateFreshness()
	n.refreshMembership()
}

// onSnapshotPieceReply continues a transfer where the receiver's data ends.
func (n *Node) onSnapshotPieceReply(m Message) {
	p := n.recordAnswer(m, m.PieceTaken.Answer)
	if p == nil {
		return
	}
	if t := p.outgoingSnapshot; t != nil && t.snap.Index == m.PieceTaken.Index && m.PieceTaken.Offset <= len(t.snap.Data) &&
		(m.PieceTaken.Offset != t.offset || t.sentAt.IsZero()) {
		t.offset, t.sentAt = m.PieceTaken.Offset, time.Time{}
		n.sendSnapshotPiece(p, false)
	}
	n.completeRounds()
}
