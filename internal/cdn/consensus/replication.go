package consensus

import (
	"maps"
	"slices"
)

const (
	maxBatchEntries  = 256       // entries in one message
	maxBatchBytes    = 128 << 10 // entry data in one message
	maxInFlightBytes = 1 << 20   // entry data sent to one peer and not acknowledged; a further batch waits once it is reached
	maxUncommitted   = 4096      // entries proposed and not committed; further proposals are refused
	// maxUncommittedBytes bounds the data of those entries likewise.
	maxUncommittedBytes = 16 << 20
)

// inFlightBatch is a batch of entries sent to a peer and not acknowledged yet.
type inFlightBatch struct {
	last  uint64 // index of its last entry
	bytes int    // size of its entry data
}

// inFlightBytes returns the size of the entry data that the peer has not acknowledged yet.
func (p *progress) inFlightBytes() (bytes int) {
	for _, batch := range p.inFlight {
		bytes += batch.bytes
	}
	return bytes
}

// resetTo restarts replication after the last entry that the peer may hold.
func (p *progress) resetTo(held uint64) {
	p.next, p.inFlight = held+1, nil
	p.match = min(p.match, held) // lower than before only if the peer itself reports that it has lost entries
}

// acknowledge records that the peer holds all entries up to match on disk.
func (p *progress) acknowledge(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(batch inFlightBatch) bool { return batch.last <= p.match })
}

// appendEntry adds an entry to the leader's log and returns its index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index, e.Term = n.lastIndex()+1, n.hard.Term
	n.entries = append(n.entries, e)
	n.markUnsaved(e.Index)
	if e.Membership != nil {
		n.refreshMembership()
		n.updatePeers()
	}
	return e.Index
}

// markUnsaved records that the entries from an index on have to be saved.
func (n *Node) markUnsaved(index uint64) {
	if n.firstUnsaved == 0 || index < n.firstUnsaved {
		n.firstUnsaved = index
	}
	n.savedIndex = min(n.savedIndex, index-1)
}

// uncommittedBytes returns the size of the data of entries that are not committed.
func (n *Node) uncommittedBytes() (bytes int) {
	for _, e := range n.between(max(n.commitIndex, n.offset)+1, n.lastIndex()) {
		bytes += len(e.Data)
	}
	return bytes
}

// Propose appends data to the log as a new entry. The proposal has succeeded once an entry with the returned index and term is
// committed, and has failed if the entry committed at that index has another term. It returns false if the node is not the
// leader or too many entries are uncommitted.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.lastIndex()-n.commitIndex > maxUncommitted || n.uncommittedBytes() > maxUncommittedBytes {
		return 0, 0, false
	}
	return n.appendEntry(Entry{Data: data}), n.hard.Term, true
}

// Flush sends the entries proposed since the last call to the followers, so that proposals are batched. If read barriers wait
// for a new heartbeat round it begins that round instead, which sends the entries as well.
func (n *Node) Flush() {
	if k := len(n.barriers); k > 0 && n.barriers[k-1].round > n.currentRound {
		n.beginRound()
	} else if n.role == Leader {
		n.forEachPeer(func(p *progress) { n.replicate(p, false) })
	}
}

// replicate sends a peer the entries or the piece of a snapshot that it lacks. If there is nothing to send, or too much is in
// flight, it sends a heartbeat if asked to, and otherwise nothing.
func (n *Node) replicate(p *progress, heartbeat bool) {
	if p.next <= n.offset || p.outgoingSnapshot != nil {
		n.sendSnapshotPiece(p, heartbeat)
		return
	}
	a := &Append{Contact: n.newContact(p), PrevIndex: p.next - 1, Commit: n.commitIndex}
	a.PrevTerm, _ = n.term(a.PrevIndex)
	if p.next <= n.lastIndex() && p.inFlightBytes() < maxInFlightBytes {
		entries, bytes := n.batch(p.next, maxBatchBytes)
		a.Entries = slices.Clone(entries)
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, inFlightBatch{p.next - 1, bytes})
	} else if !heartbeat {
		return
	}
	n.send(p.Member, Message{Append: a})
}

// MarkSaved tells the node that everything in the Readys that TakeReady has returned so far is on disk.
func (n *Node) MarkSaved() {
	if n.firstUnsaved == 0 {
		n.savedIndex = n.lastIndex()
	} else {
		n.savedIndex = max(n.savedIndex, n.firstUnsaved-1)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// advanceCommit moves the commit index to the last entry that a majority of each voter set has on disk. An entry of an older
// term is committed only together with one of the current term.
func (n *Node) advanceCommit() {
	quorumIndex := n.quorumValue(n.savedIndex, func(p *progress) uint64 { return p.match })
	if t, ok := n.term(quorumIndex); !ok || quorumIndex <= n.commitIndex || t != n.hard.Term {
		return
	}
	n.commitIndex = quorumIndex
	n.forEachPeer(func(p *progress) { n.replicate(p, true) }) // at once: followers pass commits on to waiting clients
	if n.membershipIndex <= n.commitIndex && !n.membership.Contains(n.self.ID) {
		n.becomeFollower("", "") // this node has led the change that removed it
	}
}

// quorumValue returns the highest value that a majority of each voter set has reached. The value of this node is ownValue,
// that of a peer is returned by peerValue, and that of any other member is 0.
func (n *Node) quorumValue(ownValue uint64, peerValue func(*progress) uint64) uint64 {
	value := func(id string) uint64 {
		if id == n.self.ID {
			return ownValue
		}
		if p := n.peers[id]; p != nil {
			return peerValue(p)
		}
		return 0
	}
	reached := majorityValue(n.membership.Voters, value)
	if n.membership.Joint() {
		reached = min(reached, majorityValue(n.membership.Outgoing, value))
	}
	return reached
}

// majorityValue returns the highest value that a majority of the members has reached.
func majorityValue(members []Member, value func(id string) uint64) uint64 {
	if len(members) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(members))
	for _, m := range members {
		values = append(values, value(m.ID))
	}
	slices.Sort(values)
	return values[len(values)-majority(len(values))]
}

// committedInTerm reports whether an entry of the current term is committed. Until then a new leader's commit index may be
// behind entries that its predecessor has committed.
func (n *Node) committedInTerm() bool { t, _ := n.term(n.commitIndex); return t == n.hard.Term }

// forEachPeer calls do for every peer in a fixed order, so that simulations are reproducible.
func (n *Node) forEachPeer(do func(*progress)) {
	for _, id := range sortedIDs(n.peers) {
		do(n.peers[id])
	}
}

func sortedIDs(peers map[string]*progress) []string { return slices.Sorted(maps.Keys(peers)) }

// observeLeader records a message from the leader of the current term. It returns false if the message must be ignored.
func (n *Node) observeLeader(m Message, c Contact) bool {
	if n.role == Leader {
		return false // two leaders in one term can't occur; ignore the other one
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.From, m.Addr)
	}
	n.leaderHeardAt, n.deadline = n.now, n.now.Add(n.electionTimeout())
	n.confirmFreshness(c)
	return true
}

// onAppend handles entries and heartbeats from the leader of the current term.
func (n *Node) onAppend(m Message) {
	a := m.Append
	if !n.observeLeader(m, a.Contact) {
		return
	}
	leader := Member{m.From, m.Addr}
	if t, ok := n.term(a.PrevIndex); (!ok || t != a.PrevTerm) && a.PrevIndex > n.snap.Index {
		n.send(leader, Message{Appended: &Appended{Answer: n.newAnswer(a.Contact), Rejected: true, Match: n.lastPossibleMatch(a)}})
		return
	}
	for _, e := range a.Entries {
		n.storeEntry(e)
	}
	lastNew := a.PrevIndex + uint64(len(a.Entries))
	n.commitIndex = max(n.commitIndex, min(a.Commit, lastNew))
	n.updateFreshness()
	n.send(leader, Message{Appended: &Appended{Answer: n.newAnswer(a.Contact), Match: max(lastNew, n.snap.Index)}})
}

// lastPossibleMatch returns the index of the last entry that may match the leader's log, given that the entry before an Append's
// entries does not. It skips all entries of newer terms at once.
func (n *Node) lastPossibleMatch(a *Append) uint64 {
	index := min(n.lastIndex(), a.PrevIndex-1)
	for index > n.commitIndex {
		if t, _ := n.term(index); t <= a.PrevTerm {
			break
		}
		index--
	}
	return index
}

// storeEntry adds an entry from the leader. If another term's entry is held at its index, that entry and all after it are
// dropped, but never a committed one.
func (n *Node) storeEntry(e Entry) {
	if e.Index <= n.snap.Index || e.Index <= n.commitIndex {
		return
	}
	if t, ok := n.term(e.Index); ok && t == e.Term {
		return
	} else if ok {
		n.truncateFrom(e.Index)
		n.refreshMembership()
	}
	n.entries = append(n.entries, e)
	n.markUnsaved(e.Index)
	if e.Membership != nil {
		n.refreshMembership()
	}
}

// onAppendReply handles a follower's reply to an Append.
func (n *Node) onAppendReply(m Message) {
	p := n.recordAnswer(m, m.Appended.Answer)
	if p == nil {
		return
	}
	if m.Appended.Rejected {
		p.resetTo(min(m.Appended.Match, max(p.next, 2)-2))
		n.replicate(p, false)
	} else {
		p.acknowledge(m.Appended.Match)
		if p.outgoingSnapshot != nil && p.match >= p.outgoingSnapshot.snap.Index {
			p.outgoingSnapshot = nil
		}
		if p.next <= n.lastIndex() {
			n.replicate(p, false)
		}
		n.advanceCommit()
	}
	n.completeRounds()
}

// recordAnswer updates a peer's progress with what every reply contains. It returns nil if this node is not the leader or does
// not know the sender.
func (n *Node) recordAnswer(m Message, a Answer) *progress {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return nil
	}
	p.heardAt, p.Addr = n.now, m.Addr
	p.answeredRound = max(p.answeredRound, a.Round)
	if p.latestTimestamp = a.Sent; p.pendingRound == 0 { // one timestamp at a time: a newer one would replace it before a round confirms it
		p.pendingTimestamp, p.pendingRound = a.Sent, n.currentRound+1
	}
	if n.Attended != nil && len(a.Seen) > 0 {
		n.Attended(a.Seen)
	}
	return p
}
