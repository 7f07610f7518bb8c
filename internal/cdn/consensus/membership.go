package consensus

import (
	"slices"
	"time"
)

// This file changes the membership. Every change goes through a joint membership, in which elections and commits need a
// majority of the old and of the new voters. So replacing a member never passes through a smaller set, and there are never two
// sets in force that can decide independently. The leader makes the changes, one at a time.

// absoluteMinVoters is the number of voters below which the membership is not shrunk, even if Config.Tolerate is small.
const absoluteMinVoters = 3

// leaveTimeout is how long a member counts as leaving after its last Leave.
const leaveTimeout = 2 * time.Second

// learnerTimeout is how long a machine that is not a voter may be silent before the leader forgets it.
const learnerTimeout = 6 * time.Second

// refreshMembership sets the membership to the latest one in the log, or to that of the snapshot.
func (n *Node) refreshMembership() {
	n.membership, n.membershipIndex = n.snap.Membership, n.snap.Index
	for i := len(n.entries) - 1; i >= 0 && n.entries[i].Index > n.snap.Index; i-- {
		if n.entries[i].Membership != nil {
			n.membership, n.membershipIndex = *n.entries[i].Membership, n.entries[i].Index
			return
		}
	}
}

// updatePeers makes the leader's peers match the membership: it adds new members and drops those that are in neither set. The ID
// of a dropped member whose address is in use by another member is retired.
func (n *Node) updatePeers() {
	members := n.membership.All()
	for _, m := range members {
		if m.ID == n.self.ID {
			continue
		}
		p := n.peers[m.ID]
		if p == nil {
			p = &progress{next: n.lastIndex() + 1, heardAt: n.now}
			n.peers[m.ID] = p
		}
		p.Member, p.voter = m, true
	}
	for id, p := range n.peers {
		if p.voter && !contains(members, id) {
			delete(n.peers, id)
			if slices.ContainsFunc(members, func(m Member) bool { return m.Addr == p.Addr }) {
				n.retiredIDs[id] = true
			}
		}
	}
}

// maintainMembership begins or completes a membership change if one is due, and forgets learners that have gone silent.
func (n *Node) maintainMembership() {
	for id, p := range n.peers {
		if !p.voter && n.now.Sub(p.heardAt) > learnerTimeout {
			delete(n.peers, id)
		}
	}
	if n.membershipIndex > n.commitIndex || !n.committedInTerm() {
		return
	}
	if n.membership.Joint() {
		n.changeMembership(Membership{Voters: n.membership.Voters})
		return
	}
	if n.faults.ReplaceBySmallerSet {
		n.replaceBySmallerSet()
		return
	}
	next := n.targetVoters()
	if !sameMembers(next, n.membership.Voters) && n.mayChangeTo(next) {
		n.changeMembership(Membership{Voters: next, Outgoing: n.membership.Voters})
	}
}

// changeMembership appends a new membership to the log and replicates it.
func (n *Node) changeMembership(m Membership) {
	n.appendEntry(Entry{Membership: &m})
	n.Flush()
}

// targetVoters returns the set of voters that the leader wants:
//   - A machine that has caught up is added. It replaces its own previous ID, if its disk was lost, or a silent voter.
//   - A voter that has asked to leave is removed.
//   - A voter that has been silent for Timing.Silent is removed if fewer failures than must be tolerated could be survived now,
//     for example a dead voter whose successor has joined.
//   - A voter that has been silent for Timing.Remove is removed.
//
// The set never shrinks below minVoters.
func (n *Node) targetVoters() []Member {
	voters := slices.Clone(n.membership.Voters)
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		if p.voter || !n.caughtUp(p) || n.isLeaving(p) {
			continue
		}
		switch i, certain := n.findReplaced(p, voters); {
		case i >= 0:
			voters[i] = p.Member
		case certain:
			voters = append(voters, p.Member)
		}
	}
	for _, m := range n.votersBySilence() {
		p := n.peers[m.ID]
		silent := n.now.Sub(p.heardAt)
		if len(voters) > n.minVoters() && (n.isLeaving(p) || silent > n.timing.Remove ||
			silent > n.timing.Silent && n.spareVoters(voters) < n.tolerate) {
			voters = slices.DeleteFunc(voters, func(v Member) bool { return v.ID == m.ID })
		}
	}
	return voters
}

// votersBySilence returns all voters except this node, the longest silent first.
func (n *Node) votersBySilence() (all []Member) {
	for _, m := range n.membership.Voters {
		if n.peers[m.ID] != nil {
			all = append(all, m)
		}
	}
	slices.SortStableFunc(all, func(a, b Member) int { return n.peers[a.ID].heardAt.Compare(n.peers[b.ID].heardAt) })
	return all
}

// findReplaced returns the index of the voter that a machine that has caught up replaces, or -1 if there is none. Then certain
// tells whether the machine may be added as a further voter: only if every other voter has answered this leader and has been
// heard from recently, so that none of them seems dead. A dead voter together with its successor leaves a smaller margin for
// failures than either of them alone.
func (n *Node) findReplaced(p *progress, voters []Member) (index int, certain bool) {
	longest, index, certain := n.timing.Election, -1, true
	for i, v := range voters {
		old := n.peers[v.ID]
		if old == nil || !old.voter {
			continue // this node, or one that is added by the same change
		}
		if v.Addr == p.Addr {
			return i, true // the same machine before it lost its disk: that ID never comes back
		}
		silent := n.now.Sub(old.heardAt)
		if silent > longest {
			longest, index = silent, i
		}
		certain = certain && old.answeredRound > 0 && silent < 2*n.timing.Heartbeat
	}
	return index, certain
}

// mayChangeTo reports whether a change to the given voters may begin: after it, and therefore also during it, the majority must
// survive the loss of at least as many voters as before, or of as many as must be tolerated.
func (n *Node) mayChangeTo(voters []Member) bool {
	after := n.spareVoters(voters)
	return after >= 0 && (after >= n.tolerate || after >= n.spareVoters(n.membership.Voters))
}

// spareVoters returns how many of the voters may fail now with a majority left that is alive and has caught up. It is negative
// if there is no such majority.
func (n *Node) spareVoters(voters []Member) int {
	return count(voters, func(id string) bool {
		p := n.peers[id]
		return id == n.self.ID || p != nil && n.caughtUp(p) && !n.isLeaving(p)
	}) - majority(len(voters))
}

// caughtUp reports whether a peer is alive and has on disk what was committed when the last heartbeat round but one began.
func (n *Node) caughtUp(p *progress) bool {
	if n.faults.CountJoiningEarly {
		p.match = max(p.match, n.lastIndex())
	}
	return n.now.Sub(p.heardAt) < n.timing.Election && p.match >= n.previousRoundCommit && p.match > 0
}

// isLeaving reports whether a peer has recently asked to leave.
func (n *Node) isLeaving(p *progress) bool {
	return !p.leaveAskedAt.IsZero() && n.now.Sub(p.leaveAskedAt) < leaveTimeout
}

// minVoters returns the number of voters below which the membership is not shrunk: enough to keep a majority when as many
// machines as must be tolerated are lost.
func (n *Node) minVoters() int { return max(absoluteMinVoters, 2*n.tolerate+1) }

// sameMembers reports whether two lists hold the same members, in any order.
func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !slices.Contains(b, m) })
}

// onJoin handles a Join. The leader adds the sender to its peers and contacts it. Other nodes forward the message once, since
// the sender may know only the seed addresses, and the leader need not be one of them.
func (n *Node) onJoin(m Message) {
	n.observeFounding(m)
	if n.role != Leader && !m.Join.Relayed && n.leaderAddr != "" && n.leader != m.From {
		m.Join, m.ToAddr = &Join{LastIndex: m.Join.LastIndex, Relayed: true}, n.leaderAddr
		n.messages = append(n.messages, m)
	}
	if n.role != Leader || m.From == n.self.ID || n.retiredIDs[m.From] {
		return
	}
	p := n.peers[m.From]
	if p == nil {
		p = &progress{Member: Member{m.From, m.Addr}, heardAt: n.now, next: n.lastIndex() + 1}
		n.peers[m.From] = p
	}
	if m.Term > n.hard.Term { // it campaigned while partitioned, and would reject this leader as long as its term is the higher one
		n.adoptTerm(m.Term)
		n.becomeFollower("", "")
		return
	}
	p.next = min(p.next, n.lastIndex()+1)
	n.replicate(p, true)
}

// Leave makes this node leave the membership: until it may stop, it transfers leadership if it is the leader, and keeps asking
// the leader to remove it. LeaveDone reports the end.
func (n *Node) Leave() {
	n.leaving = true
}

// LeaveDone reports whether a leaving node may stop: it has been removed from the membership, or a majority without it holds
// everything committed.
func (n *Node) LeaveDone() bool { return n.leaveDone }

// sendLeave repeats the Leave to the leader when it is due. If this node leads, it transfers leadership instead.
func (n *Node) sendLeave() {
	if !n.leaving || n.leaveDone || n.now.Before(n.nextLeaveAt) {
		return
	}
	n.nextLeaveAt = n.now.Add(n.timing.Heartbeat)
	switch {
	case n.role == Leader:
		n.TransferLeadership()
	case n.leader != "":
		n.send(Member{n.leader, n.leaderAddr}, Message{Leave: &Leave{}})
	}
}

// onLeave handles a member's request to leave.
func (n *Node) onLeave(m Message) {
	if n.role != Leader {
		return
	}
	if p := n.peers[m.From]; p != nil {
		p.leaveAskedAt, p.heardAt = n.now, n.now
		n.maintainMembership()
	}
	n.send(Member{m.From, m.Addr}, Message{LeaveReply: &LeaveReply{Done: n.mayStop(m.From)}})
}

// mayStop reports whether a member may shut down: a committed entry has removed it from the membership, or the membership can't
// be shrunk and a majority, all of them other voters, holds everything committed on disk.
func (n *Node) mayStop(id string) bool {
	if n.membershipIndex > n.commitIndex || n.membership.Joint() || !n.committedInTerm() {
		return false
	}
	if !n.membership.Contains(id) {
		return true
	}
	holders := count(n.membership.Voters, func(v string) bool {
		p := n.peers[v]
		return v == n.self.ID && n.savedIndex >= n.commitIndex || v != id && p != nil && p.match >= n.commitIndex
	})
	return len(n.membership.Voters) <= n.minVoters() && holders >= majority(len(n.membership.Voters))
}

// onLeaveReply handles the leader's reply to a Leave.
func (n *Node) onLeaveReply(m Message) {
	if n.leaving && m.LeaveReply.Done && n.leader == m.From {
		n.leaveDone = true
	}
}

// replaceBySmallerSet implements the fault ReplaceBySmallerSet, for tests that show what joint memberships prevent: it removes
// the old ID first and adds the new one afterwards, so that the membership has one voter less in between.
func (n *Node) replaceBySmallerSet() {
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		if p.voter || !n.caughtUp(p) {
			continue
		}
		voters := slices.Clone(n.membership.Voters)
		if i, _ := n.findReplaced(p, voters); i >= 0 {
			n.changeMembership(Membership{Voters: slices.Delete(voters, i, i+1)})
		} else {
			n.changeMembership(Membership{Voters: append(voters, p.Member)})
		}
		return
	}
}
