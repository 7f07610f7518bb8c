package consensus

import "time"

// electionTimeout returns a random election timeout between Timing.Election and twice that.
func (n *Node) electionTimeout() time.Duration {
	return n.timing.Election + time.Duration(n.rng.Int64N(int64(n.timing.Election)))
}

// preVoteRetryDelay returns the random delay before a failed pre-vote is repeated. A node that has just granted a pre-vote to
// another waits as long before its own.
func (n *Node) preVoteRetryDelay() time.Duration {
	return n.timing.Election/4 + time.Duration(n.rng.Int64N(int64(n.timing.Election/4)))
}

// hasLiveLeader reports whether the leader has been heard from within the minimum election timeout.
func (n *Node) hasLiveLeader() bool {
	return n.leader != "" && n.now.Sub(n.leaderHeardAt) < n.timing.Election
}

// campaign starts a pre-vote, or the election itself if the pre-vote is won or the leader has asked for a transfer. A pre-vote
// changes no term, so a node that was partitioned does not depose the leader when it comes back.
func (n *Node) campaign(transfer bool) {
	n.deadline = n.now.Add(n.electionTimeout())
	if !n.membership.Contains(n.self.ID) {
		if n.leader != "" && !n.hasLiveLeader() {
			n.becomeFollower("", "")
		}
		return
	}
	if transfer || n.role == PreCandidate && n.hasWon() {
		n.adoptTerm(n.hard.Term + 1)
		n.hard.Vote, n.hardUnsaved = n.self.ID, true
		n.become(Candidate, "", "")
		n.requestVotes(Message{Term: n.hard.Term, Vote: n.voteRequest(transfer)})
	} else {
		n.become(PreCandidate, "", "")
		n.deadline = n.now.Add(n.preVoteRetryDelay()) // asking again soon raises no term, and other nodes may just be starting
		n.requestVotes(Message{Term: n.hard.Term + 1, PreVote: n.voteRequest(false)})
	}
	n.tallyVotes()
}

func (n *Node) voteRequest(transfer bool) *VoteRequest {
	return &VoteRequest{LastIndex: n.lastIndex(), LastTerm: n.lastTerm(), Transfer: transfer}
}

// requestVotes sends a vote or pre-vote request to all other members.
func (n *Node) requestVotes(m Message) {
	for _, to := range n.membership.All() {
		if to.ID != n.self.ID {
			n.send(to, m)
		}
	}
}

// hasWon reports whether a quorum has granted its votes.
func (n *Node) hasWon() bool {
	return n.membership.HasQuorum(func(id string) bool { return n.votes[id] })
}

// tallyVotes ends a pre-vote or an election that is won.
func (n *Node) tallyVotes() {
	if !n.hasWon() {
		return
	}
	switch n.role {
	case PreCandidate:
		n.campaign(false)
	case Candidate:
		n.become(Leader, n.self.ID, n.self.Addr)
		n.appendEntry(Entry{}) // an empty entry of the new term, with which all earlier entries are committed
		n.beginRound()
	}
}

// isUpToDate reports whether a candidate's log is at least as up to date as this node's.
func (n *Node) isUpToDate(request *VoteRequest) bool {
	return request.LastTerm > n.lastTerm() || request.LastTerm == n.lastTerm() && request.LastIndex >= n.lastIndex()
}

// onPreVote answers whether this node would grant a vote. It would not while it hears from a leader.
func (n *Node) onPreVote(m Message) {
	to := Member{m.From, m.Addr}
	if n.role == Leader || n.hasLiveLeader() || !n.isUpToDate(m.PreVote) || m.Term <= n.hard.Term {
		n.send(to, Message{PreVoteReply: &VoteReply{}}) // under this node's term: a pre-vote raises no term
		return
	}
	n.send(to, Message{Term: m.Term, PreVoteReply: &VoteReply{Granted: true}})
	if next := n.now.Add(n.preVoteRetryDelay()); next.After(n.deadline) { // avoids two candidates at once
		n.deadline = next
	}
}

// onVote grants its vote to at most one candidate a term, and only if the candidate's log is at least as up to date as this node's.
func (n *Node) onVote(m Message) {
	grant := n.isUpToDate(m.Vote) && (n.role == Follower || n.role == PreCandidate) && (n.hard.Vote == "" || n.hard.Vote == m.From)
	if grant {
		if n.role == PreCandidate {
			n.becomeFollower("", "")
		}
		n.hard.Vote, n.hardUnsaved = m.From, true
		n.deadline = n.now.Add(n.electionTimeout())
	}
	n.send(Member{m.From, m.Addr}, Message{VoteReply: &VoteReply{Granted: grant, Sent: n.timestampNow()}})
}

// onVoteReply counts a granted vote, or pre-vote, if the node still has the role in which it asked for it.
func (n *Node) onVoteReply(m Message, role Role, granted bool) {
	if n.role == role && granted {
		n.votes[m.From] = true
		if m.VoteReply != nil {
			n.voteTimestamps[m.From] = m.VoteReply.Sent
		}
		n.tallyVotes()
	}
}

// TransferLeadership asks the live voter with the longest log to start an election at once, since this leader is about to step down. It
// does nothing if there is no such voter or if that voter lacks committed entries.
func (n *Node) TransferLeadership() {
	var best *progress
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		if p.voter && !n.isLeaving(p) && n.now.Sub(p.heardAt) < n.timing.Election && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil && best.match >= n.commitIndex {
		n.send(best.Member, Message{TakeOver: &TakeOver{}})
	}
}

// StepDown makes a leader that can't work, for example because its disk fails, step down. It transfers leadership and starts no
// election of its own for four times the minimum election timeout.
func (n *Node) StepDown() {
	if n.role == Leader {
		n.TransferLeadership()
		n.becomeFollower("", "")
		n.deadline = n.now.Add(4 * n.timing.Election)
	}
}
