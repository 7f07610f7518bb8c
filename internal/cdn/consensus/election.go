package consensus

import "time"

func (n *Node) electionTime() time.Duration {
	return n.timing.Election + time.Duration(n.rng.Int64N(int64(n.timing.Election)))
}

// askAgain is after how long a vote is asked about that came to nothing; whoever has just promised one to another waits as long as well.
func (n *Node) askAgain() time.Duration {
	return n.timing.Election/4 + time.Duration(n.rng.Int64N(int64(n.timing.Election/4)))
}

func (n *Node) hearsLeader() bool {
	return n.leader != "" && n.now.Sub(n.heard) < n.timing.Election
}

// stand begins an election, with a round before it that changes nothing: one that was cut off does not unseat a leader.
func (n *Node) stand(transfer bool) {
	n.deadline = n.now.Add(n.electionTime())
	if !n.membership.Contains(n.self.ID) {
		if n.leader != "" && !n.hearsLeader() {
			n.follow("", "")
		}
		return
	}
	if transfer || n.role == PreCandidate && n.hasWon() {
		n.enter(n.hard.Term + 1)
		n.hard.Vote, n.dirty = n.self.ID, true
		n.become(Candidate, "", "")
		n.askForVotes(Message{Term: n.hard.Term, Vote: n.voteRequest(transfer)})
	} else {
		n.become(PreCandidate, "", "")
		n.deadline = n.now.Add(n.askAgain()) // nothing rises by asking: others may be up in a moment
		n.askForVotes(Message{Term: n.hard.Term + 1, PreVote: n.voteRequest(false)})
	}
	n.tally()
}

func (n *Node) voteRequest(transfer bool) *VoteRequest {
	return &VoteRequest{LastIndex: n.last(), LastTerm: n.lastTerm(), Transfer: transfer}
}

func (n *Node) askForVotes(m Message) {
	for _, to := range n.membership.All() {
		if to.ID != n.self.ID {
			n.send(to, m)
		}
	}
}

func (n *Node) hasWon() bool {
	return n.membership.Quorum(func(id string) bool { return n.votes[id] })
}

func (n *Node) tally() {
	if !n.hasWon() {
		return
	}
	switch n.role {
	case PreCandidate:
		n.stand(false)
	case Candidate:
		n.become(Leader, n.self.ID, n.self.Addr)
		n.append(Entry{}) // of its own term: what came before is committed with it
		n.beginRound()
	}
}

// holdsAsMuch tells whether a candidate's log is at least as new as the own one.
func (n *Node) holdsAsMuch(v *VoteRequest) bool {
	return v.LastTerm > n.lastTerm() || v.LastTerm == n.lastTerm() && v.LastIndex >= n.last()
}

// onPreVote says whether a vote would be granted: only if no leader is heard.
func (n *Node) onPreVote(m Message) {
	to := Member{m.From, m.Addr}
	if n.role == Leader || n.hearsLeader() || !n.holdsAsMuch(m.PreVote) || m.Term <= n.hard.Term {
		n.send(to, Message{PreVoteReply: &VoteReply{}}) // under the own term: nothing rises by asking
		return
	}
	n.send(to, Message{Term: m.Term, PreVoteReply: &VoteReply{Granted: true}})
	if next := n.now.Add(n.askAgain()); next.After(n.deadline) { // so that not two stand at once
		n.deadline = next
	}
}

// onVote grants a vote to whoever holds all that may be committed, once a term.
func (n *Node) onVote(m Message) {
	grant := n.holdsAsMuch(m.Vote) && (n.role == Follower || n.role == PreCandidate) && (n.hard.Vote == "" || n.hard.Vote == m.From)
	if grant {
		if n.role == PreCandidate {
			n.follow("", "")
		}
		n.hard.Vote, n.dirty = m.From, true
		n.deadline = n.now.Add(n.electionTime())
	}
	n.send(Member{m.From, m.Addr}, Message{VoteReply: &VoteReply{Granted: grant, Sent: n.stampNow()}})
}

func (n *Node) onVoteReply(m Message, role Role, granted bool) {
	if n.role == role && granted {
		n.votes[m.From] = true
		if m.VoteReply != nil {
			n.stamps[m.From] = m.VoteReply.Sent
		}
		n.tally()
	}
}

// HandOver lets the follower that holds the most stand at once; the leader is about to go.
func (n *Node) HandOver() {
	var best *progress
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		if p.voter && !n.isLeaving(p) && n.now.Sub(p.heard) < n.timing.Election && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil && best.match >= n.commit {
		n.send(best.Member, Message{TakeOver: &TakeOver{}})
	}
}

// GiveWay ends a leader's time that can't do its work, as one whose disk takes nothing.
func (n *Node) GiveWay() {
	if n.role == Leader {
		n.HandOver()
		n.follow("", "")
		n.deadline = n.now.Add(4 * n.timing.Election)
	}
}
