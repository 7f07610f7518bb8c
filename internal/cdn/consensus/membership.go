package consensus

import (
	"slices"
	"time"
)

// This file changes the membership. Every change goes by way of a joint membership, in which all that is decided needs a
// majority of the voters before it and of those after it: a replaced member never leads through a smaller set, and no two
// sets that can decide alone are in force at once. The leader does it, one change at a time.

// fewestVoters is the size below which the membership is not shrunk, however little need be tolerated.
const fewestVoters = 3

// leaveFor is how long a member that asked to leave counts as leaving after it last asked.
const leaveFor = 2 * time.Second

// forgetAfter is how long a machine that is no voter may be silent before it is forgotten.
const forgetAfter = 6 * time.Second

// refresh finds the membership in force after the log has changed otherwise than at its end.
func (n *Node) refresh() {
	n.membership, n.membershipAt = n.snap.Membership, n.snap.Index
	for i := len(n.entries) - 1; i >= 0 && n.entries[i].Index > n.snap.Index; i-- {
		if n.entries[i].Membership != nil {
			n.membership, n.membershipAt = *n.entries[i].Membership, n.entries[i].Index
			return
		}
	}
}

// trackMembers makes the leader's books follow the membership.
func (n *Node) trackMembers() {
	members := n.membership.All()
	for _, m := range members {
		if m.ID == n.self.ID {
			continue
		}
		p := n.peers[m.ID]
		if p == nil {
			p = &progress{next: n.last() + 1, heard: n.now}
			n.peers[m.ID] = p
		}
		p.Member, p.voter = m, true
	}
	for id, p := range n.peers {
		if p.voter && !contains(members, id) {
			delete(n.peers, id)
			if slices.ContainsFunc(members, func(m Member) bool { return m.Addr == p.Addr }) {
				n.retired[id] = true
			}
		}
	}
}

// maintainMembership begins or ends a change of the membership, and forgets learners that are gone.
func (n *Node) maintainMembership() {
	for id, p := range n.peers {
		if !p.voter && n.now.Sub(p.heard) > forgetAfter {
			delete(n.peers, id)
		}
	}
	if n.membershipAt > n.commit || !n.leads() {
		return
	}
	if n.membership.Joint() {
		n.changeMembership(Membership{Voters: n.membership.Voters})
		return
	}
	if n.weak.ReplaceBySmallerSet {
		n.replaceBySmallerSet()
		return
	}
	next := n.plannedVoters()
	if !sameMembers(next, n.membership.Voters) && n.mayChangeTo(next) {
		n.changeMembership(Membership{Voters: next, Outgoing: n.membership.Voters})
	}
}

func (n *Node) changeMembership(m Membership) {
	n.append(Entry{Membership: &m})
	n.Flush()
}

// plannedVoters is the membership that the leader wants: who has caught up comes in, in the place of its own lost identity
// or of a voter that is silent; who asks to leave goes out; so does who is silent, where it leaves less to spare than must
// be tolerated, as a dead one whose successor has come, or for very long. But the set never goes below the floor.
func (n *Node) plannedVoters() []Member {
	voters := slices.Clone(n.membership.Voters)
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		if p.voter || !n.caughtUp(p) || n.isLeaving(p) {
			continue
		}
		switch i, sure := n.replacedBy(p, voters); {
		case i >= 0:
			voters[i] = p.Member
		case sure:
			voters = append(voters, p.Member)
		}
	}
	for _, m := range n.longestSilentFirst() {
		p := n.peers[m.ID]
		silent := n.now.Sub(p.heard)
		if len(voters) > n.floor() && (n.isLeaving(p) || silent > n.timing.Remove || silent > n.timing.Silent && n.spareVoters(voters) < n.tolerate) {
			voters = slices.DeleteFunc(voters, func(v Member) bool { return v.ID == m.ID })
		}
	}
	return voters
}

// longestSilentFirst is the voters but for this node.
func (n *Node) longestSilentFirst() (all []Member) {
	for _, m := range n.membership.Voters {
		if n.peers[m.ID] != nil {
			all = append(all, m)
		}
	}
	slices.SortStableFunc(all, func(a, b Member) int { return n.peers[a.ID].heard.Compare(n.peers[b.ID].heard) })
	return all
}

// replacedBy returns which of the voters a machine that has caught up takes the place of; -1 if it adds to them, which is
// sure only once no voter may be the one: a dead one beside its successor leaves less to spare than either without the other.
func (n *Node) replacedBy(p *progress, voters []Member) (at int, sure bool) {
	longest, at, sure := n.timing.Election, -1, true
	for i, v := range voters {
		old := n.peers[v.ID]
		if old == nil || !old.voter {
			continue // this node, or one that comes in with the same change
		}
		if v.Addr == p.Addr {
			return i, true // the same machine before it lost its disk: that identity never comes back
		}
		silent := n.now.Sub(old.heard)
		if silent > longest {
			longest, at = silent, i
		}
		sure = sure && old.round > 0 && silent < 2*n.timing.Heartbeat
	}
	return at, sure
}

// mayChangeTo tells whether a change may begin: after it, and so during it as well, at least as many voters as before may be
// lost without losing the majority, or as many as must be tolerated.
func (n *Node) mayChangeTo(voters []Member) bool {
	after := n.spareVoters(voters)
	return after >= 0 && (after >= n.tolerate || after >= n.spareVoters(n.membership.Voters))
}

// spareVoters is how many of the set may be lost now with a majority left that lives and has caught up.
func (n *Node) spareVoters(voters []Member) int {
	return count(voters, func(id string) bool {
		p := n.peers[id]
		return id == n.self.ID || p != nil && n.caughtUp(p) && !n.isLeaving(p)
	}) - majority(len(voters))
}

// caughtUp tells whether a machine answers and has on disk what was committed one round ago.
func (n *Node) caughtUp(p *progress) bool {
	if n.weak.CountJoiningEarly {
		p.match = max(p.match, n.last())
	}
	return n.now.Sub(p.heard) < n.timing.Election && p.match >= n.roundCommit && p.match > 0
}

func (n *Node) isLeaving(p *progress) bool {
	return !p.leaving.IsZero() && n.now.Sub(p.leaving) < leaveFor
}

// floor is the size below which the membership is not shrunk: as many as can lose all that must be tolerated.
func (n *Node) floor() int { return max(fewestVoters, 2*n.tolerate+1) }

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !slices.Contains(b, m) })
}

// onJoin hears one that looks for a leader. A leader takes it on; others hand the question on once, for the asker may know
// the seeds alone, and the leader be none of them.
func (n *Node) onJoin(m Message) {
	if n.role != Leader && !m.Join.Relayed && n.leaderAt != "" && n.leader != m.From {
		m.Join, m.ToAddr = &Join{LastIndex: m.Join.LastIndex, Relayed: true}, n.leaderAt
		n.messages = append(n.messages, m)
	}
	if n.role != Leader || m.From == n.self.ID || n.retired[m.From] {
		return
	}
	p := n.peers[m.From]
	if p == nil {
		p = &progress{Member: Member{m.From, m.Addr}, heard: n.now, next: n.last() + 1}
		n.peers[m.From] = p
	}
	if m.Term > n.hard.Term { // it stood while it was cut off: its term is passed, or it would refuse this leader
		n.enter(m.Term)
		n.follow("", "")
		return
	}
	p.next = min(p.next, n.last()+1)
	n.replicate(p, true)
}

// Leave begins this node's leaving: it hands leadership over and asks the leader to take it out, until Left.
func (n *Node) Leave() {
	n.leaving = true
}

// Left tells whether a leaving node may end: it is out of the membership, or nothing hangs on it alone.
func (n *Node) Left() bool { return n.left }

// askToLeave tells the leader again that this node leaves.
func (n *Node) askToLeave() {
	if !n.leaving || n.left || n.now.Before(n.askAt) {
		return
	}
	n.askAt = n.now.Add(n.timing.Heartbeat)
	switch {
	case n.role == Leader:
		n.HandOver()
	case n.leader != "":
		n.send(Member{n.leader, n.leaderAt}, Message{Leave: &Leave{}})
	}
}

func (n *Node) onLeave(m Message) {
	if n.role != Leader {
		return
	}
	if p := n.peers[m.From]; p != nil {
		p.leaving, p.heard = n.now, n.now
		n.maintainMembership()
	}
	n.send(Member{m.From, m.Addr}, Message{LeaveReply: &LeaveReply{Done: n.mayEnd(m.From)}})
}

// mayEnd tells whether a member's process may end: it is out of the membership by a committed entry, or enough of the other
// voters for a majority hold all that is committed, and the membership is not to be shrunk.
func (n *Node) mayEnd(id string) bool {
	if n.membershipAt > n.commit || n.membership.Joint() || !n.leads() {
		return false
	}
	if !n.membership.Contains(id) {
		return true
	}
	held := count(n.membership.Voters, func(v string) bool {
		p := n.peers[v]
		return v == n.self.ID && n.saved >= n.commit || v != id && p != nil && p.match >= n.commit
	})
	return len(n.membership.Voters) <= n.floor() && held >= majority(len(n.membership.Voters))
}

func (n *Node) onLeaveReply(m Message) {
	if n.leaving && m.LeaveReply.Done && n.leader == m.From {
		n.left = true
	}
}

// replaceBySmallerSet is the rule that joint memberships took the place of, for tests that show what it breaks: out goes the
// old identity, then in comes the new one, by way of a set of one less.
func (n *Node) replaceBySmallerSet() {
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		if p.voter || !n.caughtUp(p) {
			continue
		}
		voters := slices.Clone(n.membership.Voters)
		if i, _ := n.replacedBy(p, voters); i >= 0 {
			n.changeMembership(Membership{Voters: slices.Delete(voters, i, i+1)})
		} else {
			n.changeMembership(Membership{Voters: append(voters, p.Member)})
		}
		return
	}
}
