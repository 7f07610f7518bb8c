package consensus

import (
	"maps"
	"slices"
)

const (
	batchEntries = 256       // of one message at most
	batchBytes   = 128 << 10 // as well
	windowBytes  = 1 << 20   // that may be under way to one peer
	ahead        = 4096      // entries that may be proposed and not committed
)

// sent is a batch on its way: the last entry of it, and its size.
type sent struct {
	last  uint64
	bytes int
}

func (p *progress) underWay() (bytes int) {
	for _, s := range p.window {
		bytes += s.bytes
	}
	return bytes
}

// restart goes on from what a peer says that it holds.
func (p *progress) restart(held uint64) {
	p.next, p.window = held+1, nil
	p.match = min(p.match, held) // if it has lost what it had, it says so itself
}

// answered notes what a peer holds on disk.
func (p *progress) answered(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.window = slices.DeleteFunc(p.window, func(s sent) bool { return s.last <= p.match })
}

// append adds an entry to the leader's log.
func (n *Node) append(e Entry) uint64 {
	e.Index, e.Term = n.last()+1, n.hard.Term
	n.entries = append(n.entries, e)
	n.markUnsaved(e.Index)
	if e.Membership != nil {
		n.refresh()
		n.trackMembers()
	}
	return e.Index
}

// markUnsaved notes that entries from an index on are to be saved.
func (n *Node) markUnsaved(index uint64) {
	if n.unsaved == 0 || index < n.unsaved {
		n.unsaved = index
	}
	n.saved = min(n.saved, index-1)
}

// Propose adds a change. Its fate is known when the entry of this index is committed: with this term it is this one.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.last()-n.commit > ahead {
		return 0, 0, false
	}
	return n.append(Entry{Data: data}), n.hard.Term, true
}

// Flush lets the leader tell its followers of what was proposed, after a batch, and begins the round of barriers asked for.
func (n *Node) Flush() {
	if k := len(n.barriers); k > 0 && n.barriers[k-1].round > n.round {
		n.beginRound()
	} else if n.role == Leader {
		n.eachPeer(func(p *progress) { n.replicate(p, false) })
	}
}

// replicate sends what a follower lacks; always: a heartbeat if it lacks nothing.
func (n *Node) replicate(p *progress, always bool) {
	if p.next <= n.offset || p.transfer != nil {
		n.sendPiece(p, always)
		return
	}
	a := &Append{Contact: n.contact(p), PrevIndex: p.next - 1, Commit: n.commit}
	a.PrevTerm, _ = n.term(a.PrevIndex)
	if p.next <= n.last() && p.underWay() < windowBytes {
		entries, bytes := n.batch(p.next, batchBytes)
		a.Entries = slices.Clone(entries)
		p.next += uint64(len(entries))
		p.window = append(p.window, sent{p.next - 1, bytes})
	} else if !always {
		return
	}
	n.send(p.Member, Message{Append: a})
}

// Saved tells that all that Ready named is on disk.
func (n *Node) Saved() {
	if n.unsaved == 0 {
		n.saved = n.last()
	} else {
		n.saved = max(n.saved, n.unsaved-1)
	}
	if n.role == Leader {
		n.advance()
	}
}

// advance commits what a majority has on disk, of each set that votes. An entry of an older term is committed with one of this term alone.
func (n *Node) advance() {
	most := n.quorumReached(n.saved, func(p *progress) uint64 { return p.match })
	if t, ok := n.term(most); !ok || most <= n.commit || t != n.hard.Term {
		return
	}
	n.commit = most
	n.eachPeer(func(p *progress) { n.replicate(p, true) }) // they hand it on to those who wait for news
	if n.membershipAt <= n.commit && !n.membership.Contains(n.self.ID) {
		n.follow("", "") // it led a change to a membership that it is not in
	}
}

// quorumReached is the highest value that a majority of each set has reached.
func (n *Node) quorumReached(own uint64, of func(*progress) uint64) uint64 {
	value := func(id string) uint64 {
		if id == n.self.ID {
			return own
		}
		if p := n.peers[id]; p != nil {
			return of(p)
		}
		return 0
	}
	reached := majorityValue(n.membership.Voters, value)
	if n.membership.Joint() {
		reached = min(reached, majorityValue(n.membership.Outgoing, value))
	}
	return reached
}

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

// leads tells whether the leader has committed something of its own term: before that its commit may be old.
func (n *Node) leads() bool { t, _ := n.term(n.commit); return t == n.hard.Term }

// eachPeer goes through the peers in one order, so that a simulation comes out the same each time.
func (n *Node) eachPeer(do func(*progress)) {
	for _, id := range sortedIDs(n.peers) {
		do(n.peers[id])
	}
}

func sortedIDs(peers map[string]*progress) []string { return slices.Sorted(maps.Keys(peers)) }

// hearLeader notes that a leader of the present term was heard; false if it is to be passed over.
func (n *Node) hearLeader(m Message, c Contact) bool {
	if n.role == Leader {
		return false // two leaders of one term: it can't be, and nothing of it is taken
	}
	if n.role != Follower || n.leader != m.From {
		n.follow(m.From, m.Addr)
	}
	n.heard, n.deadline = n.now, n.now.Add(n.electionTime())
	n.confirm(c)
	return true
}

// onAppend follows a leader of the present term.
func (n *Node) onAppend(m Message) {
	a := m.Append
	if !n.hearLeader(m, a.Contact) {
		return
	}
	leader := Member{m.From, m.Addr}
	if t, ok := n.term(a.PrevIndex); (!ok || t != a.PrevTerm) && a.PrevIndex > n.snap.Index {
		n.send(leader, Message{Appended: &Appended{Answer: n.answer(a.Contact), Rejected: true, Match: n.lastAlike(a)}})
		return
	}
	for _, e := range a.Entries {
		n.takeEntry(e)
	}
	lastNew := a.PrevIndex + uint64(len(a.Entries))
	n.commit = max(n.commit, min(a.Commit, lastNew))
	n.meetPromise()
	n.send(leader, Message{Appended: &Appended{Answer: n.answer(a.Contact), Match: max(lastNew, n.snap.Index)}})
}

// lastAlike is the last entry that may be held alike, where the one before an Append's entries is not: a term at a time.
func (n *Node) lastAlike(a *Append) uint64 {
	index := min(n.last(), a.PrevIndex-1)
	for index > n.commit {
		if t, _ := n.term(index); t <= a.PrevTerm {
			break
		}
		index--
	}
	return index
}

// takeEntry puts a leader's entry in its place. One that is held stays; one that differs goes, with all behind it, but never one that is committed.
func (n *Node) takeEntry(e Entry) {
	if e.Index <= n.snap.Index || e.Index <= n.commit {
		return
	}
	if t, ok := n.term(e.Index); ok && t == e.Term {
		return
	} else if ok {
		n.cut(e.Index)
		n.refresh()
	}
	n.entries = append(n.entries, e)
	n.markUnsaved(e.Index)
	if e.Membership != nil {
		n.refresh()
	}
}

func (n *Node) onAppended(m Message) {
	p := n.heardPeer(m, m.Appended.Answer)
	if p == nil {
		return
	}
	if m.Appended.Rejected {
		p.restart(min(m.Appended.Match, max(p.next, 2)-2))
		n.replicate(p, false)
	} else {
		p.answered(m.Appended.Match)
		if p.transfer != nil && p.match >= p.transfer.snap.Index {
			p.transfer = nil
		}
		if p.next <= n.last() {
			n.replicate(p, false)
		}
		n.advance()
	}
	n.settleRounds()
}

// heardPeer notes what goes with every answer; nil if it is none of this leader's followers.
func (n *Node) heardPeer(m Message, a Answer) *progress {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return nil
	}
	p.heard, p.Addr = n.now, m.Addr
	p.round = max(p.round, a.Round)
	if p.latest = a.Sent; p.stampRound == 0 { // one at a time, or it would be replaced before a round confirms it
		p.stamp, p.stampRound = a.Sent, n.round+1
	}
	if n.Attended != nil && len(a.Seen) > 0 {
		n.Attended(a.Seen)
	}
	return p
}
