package consensus

import "time"

// This file brings a snapshot to a follower that lacks entries which the log no longer holds: piece by piece, one under way
// at a time, from where it broke off. What is on its way stays the same though the log is compacted meanwhile, so that one
// that is slow catches up while changes go on.

const snapshotMost = 256 << 20 // bytes; a larger one is not taken

// transfer is a snapshot on its way to a peer.
type transfer struct {
	snap   Snapshot
	offset int       // held by the receiver
	sentAt time.Time // when the piece there was last sent; zero: it was not
}

// incoming is a snapshot on its way here.
type incoming struct {
	from        string
	index, term uint64
	size        int
	data        []byte
}

// sendPiece sends the next piece, or the last one again after a while, or as a heartbeat none.
func (n *Node) sendPiece(p *progress, always bool) {
	t := p.transfer
	if t == nil {
		t = &transfer{snap: n.snap}
		p.transfer, p.window = t, nil
	}
	piece := &SnapshotPiece{Contact: n.contact(p), Index: t.snap.Index, LastTerm: t.snap.Term, Membership: t.snap.Membership,
		Size: len(t.snap.Data), Offset: t.offset}
	if n.now.Sub(t.sentAt) > n.timing.Election {
		t.sentAt = n.now
		piece.Data = t.snap.Data[t.offset:min(t.offset+n.limits.PieceBytes, len(t.snap.Data))]
	} else if !always {
		return
	}
	n.send(p.Member, Message{Piece: piece})
}

// onPiece takes a piece that continues what is held of the snapshot; any other one only tells the leader where to go on.
func (n *Node) onPiece(m Message) {
	s := m.Piece
	if !n.hearLeader(m, s.Contact) {
		return
	}
	leader := Member{m.From, m.Addr}
	if t, ok := n.term(s.Index); s.Index <= n.commit || ok && t == s.LastTerm { // held already, and what follows it may have been promised
		n.commit = max(n.commit, min(s.Index, n.last()))
		n.incoming = nil
		n.send(leader, Message{Appended: &Appended{Answer: n.answer(s.Contact), Match: n.commit}})
		return
	}
	if in := n.incoming; in == nil || in.from != m.From || in.index != s.Index || in.term != s.LastTerm || in.size != s.Size {
		n.incoming = &incoming{from: m.From, index: s.Index, term: s.LastTerm, size: s.Size}
	}
	in := n.incoming
	if s.Offset == len(in.data) && s.Size <= snapshotMost {
		in.data = append(in.data, s.Data...)
	}
	if len(in.data) == in.size {
		n.install(Snapshot{Index: s.Index, Term: s.LastTerm, Membership: s.Membership, Data: in.data})
		n.send(leader, Message{Appended: &Appended{Answer: n.answer(s.Contact), Match: s.Index}})
		return
	}
	n.send(leader, Message{PieceTaken: &PieceTaken{Answer: n.answer(s.Contact), Index: s.Index, Offset: len(in.data)}})
}

// install puts a received snapshot in the place of all that is held.
func (n *Node) install(s Snapshot) {
	n.log = newLog(s, nil)
	n.commit, n.taken, n.saved, n.unsaved = s.Index, s.Index, s.Index, 0
	n.received, n.incoming = &s, nil
	n.meetPromise()
	n.refresh()
}

func (n *Node) onPieceTaken(m Message) {
	p := n.heardPeer(m, m.PieceTaken.Answer)
	if p == nil {
		return
	}
	if t := p.transfer; t != nil && t.snap.Index == m.PieceTaken.Index && m.PieceTaken.Offset <= len(t.snap.Data) &&
		(m.PieceTaken.Offset != t.offset || t.sentAt.IsZero()) {
		t.offset, t.sentAt = m.PieceTaken.Offset, time.Time{}
		n.sendPiece(p, false)
	}
	n.settleRounds()
}
