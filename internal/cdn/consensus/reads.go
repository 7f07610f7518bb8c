package consensus

import "time"

// This file tracks how current a node's state is: heartbeat rounds, the read barriers that wait for them, and a follower's
// knowledge of when its leader last led a majority.

// ReadResult is the result of a read barrier.
type ReadResult struct {
	Token, Index uint64 // the token passed to Barrier, and the index up to which the host must have applied entries before it reads
	OK           bool   // false: the barrier failed, since this node is not a leader that can confirm it
}

// barrier is a read barrier that waits for a majority to answer a heartbeat round.
type barrier struct{ token, index, round uint64 }

// heartbeatRound is a heartbeat to all followers that they have to answer.
type heartbeatRound struct {
	number    uint64
	startedAt time.Time
}

// maxPendingRounds is the number of unanswered heartbeat rounds that are remembered.
const maxPendingRounds = 64

// Barrier starts a read barrier; its result comes with a later Ready. It succeeds only after a majority has answered a
// heartbeat round that began after the call. The round begins with the next Flush.
func (n *Node) Barrier(token uint64) {
	if n.role != Leader || !n.committedInTerm() {
		n.reads = append(n.reads, ReadResult{Token: token})
		return
	}
	if n.faults.ReadWithoutRound {
		n.reads = append(n.reads, ReadResult{Token: token, Index: n.commitIndex, OK: true})
		return
	}
	n.barriers = append(n.barriers, barrier{token, n.commitIndex, n.currentRound + 1}) // waits for the next round, which Flush begins
}

// beginRound starts a heartbeat round.
func (n *Node) beginRound() {
	n.currentRound++
	n.previousRoundCommit, n.currentRoundCommit = n.currentRoundCommit, n.commitIndex
	n.pendingRounds = append(n.pendingRounds, heartbeatRound{n.currentRound, n.now})
	if len(n.pendingRounds) > maxPendingRounds {
		n.pendingRounds = n.pendingRounds[1:]
	}
	n.deadline = n.now.Add(n.timing.Heartbeat)
	n.forEachPeer(func(p *progress) { n.replicate(p, true) })
	n.completeRounds()
}

// completeRounds completes the heartbeat rounds that a majority has answered, the barriers that wait for them, and the
// timestamps that they confirm.
func (n *Node) completeRounds() {
	answered := n.quorumValue(n.currentRound, func(p *progress) uint64 { return p.answeredRound })
	for len(n.pendingRounds) > 0 && n.pendingRounds[0].number <= answered {
		n.majorityRoundAt = n.pendingRounds[0].startedAt
		n.pendingRounds = n.pendingRounds[1:]
	}
	for _, p := range n.peers {
		if p.pendingRound > 0 && p.pendingRound <= answered && n.committedInTerm() {
			p.confirmedTimestamp, p.confirmedCommit = p.pendingTimestamp, n.commitIndex
			p.pendingTimestamp, p.pendingRound = p.latestTimestamp, n.currentRound+1
		}
	}
	for len(n.barriers) > 0 && n.barriers[0].round <= answered {
		n.reads = append(n.reads, ReadResult{n.barriers[0].token, n.barriers[0].index, true})
		n.barriers = n.barriers[1:]
	}
}

// newContact returns the Contact of a message to a follower.
func (n *Node) newContact(p *progress) Contact {
	return Contact{Round: n.currentRound, Confirmed: p.confirmedTimestamp, ConfirmedIndex: p.confirmedCommit}
}

// newAnswer returns the Answer of a reply to the leader.
func (n *Node) newAnswer(c Contact) Answer {
	a := Answer{Round: c.Round, Sent: n.timestampNow()}
	if n.SeenHere != nil {
		a.Seen = n.SeenHere()
	}
	return a
}

// timestampNow returns the current time as this node's own timestamp.
func (n *Node) timestampNow() Stamp { return Stamp{n.processID, n.now.Sub(n.startedAt)} }

// freshnessPoint is a time on this node's clock and an index: once all entries up to index are committed here, this node holds
// everything that was acknowledged before that time.
type freshnessPoint struct {
	at    time.Time
	index uint64
}

// confirmFreshness records that the leader led a majority after one of this node's own timestamps. The timestamp was taken when
// an answer was sent, so the state never seems newer than it is, however long messages were delayed or this node was suspended.
// A pending freshness point is kept until it is reached: replacing it by newer ones would leave a lagging node behind forever.
func (n *Node) confirmFreshness(c Contact) {
	if c.Confirmed.Process == n.processID && n.pendingFreshness.at.IsZero() { // other timestamps are unset or from a previous process
		n.pendingFreshness = freshnessPoint{n.startedAt.Add(c.Confirmed.At), c.ConfirmedIndex}
	}
	n.updateFreshness()
}

// updateFreshness completes the pending freshness point once its index is committed here. It must be called whenever the commit
// index may have moved.
func (n *Node) updateFreshness() {
	if n.pendingFreshness.at.IsZero() || n.commitIndex < n.pendingFreshness.index {
		return
	}
	if n.pendingFreshness.at.After(n.currentAsOf) {
		n.currentAsOf = n.pendingFreshness.at
	}
	n.pendingFreshness = freshnessPoint{}
}

// CurrentAsOf returns the time, on this node's own clock, as of which its state is known to be current: a leader led a majority
// after it, and everything acknowledged by then is committed here. It returns the zero time if no such time is known.
func (n *Node) CurrentAsOf() time.Time {
	switch {
	case n.role == Leader && n.committedInTerm():
		return n.majorityRoundAt
	case n.role == Leader || n.leader == "":
		return time.Time{}
	}
	return n.currentAsOf
}

// Fresh reports whether this node's state was current less than maxAge ago.
func (n *Node) Fresh(maxAge time.Duration) bool {
	at := n.CurrentAsOf()
	return !at.IsZero() && n.now.Before(at.Add(maxAge))
}
