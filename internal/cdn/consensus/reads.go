package consensus

import "time"

// This file is what a node knows of its being current: rounds of heartbeats, the read barriers that wait for them, and a
// follower's knowledge that its leader led a majority.

// Read is the end of a read barrier: what is applied up to Index answers the read with Token; not OK: this node can't tell.
type Read struct {
	Token, Index uint64
	OK           bool
}

type barrier struct{ token, index, round uint64 }

// round is a question to all followers, and when it began.
type round struct {
	number uint64
	at     time.Time
}

const mostRounds = 64

// Barrier asks for a read barrier; its end comes with Ready. It ends well only after a majority has answered a round that
// began after the call.
func (n *Node) Barrier(token uint64) {
	if n.role != Leader || !n.leads() {
		n.reads = append(n.reads, Read{Token: token})
		return
	}
	if n.weak.ReadWithoutRound {
		n.reads = append(n.reads, Read{Token: token, Index: n.commit, OK: true})
		return
	}
	n.barriers = append(n.barriers, barrier{token, n.commit, n.round + 1}) // of the next round, which Flush begins
}

// beginRound asks every follower for a word.
func (n *Node) beginRound() {
	n.round++
	n.roundCommit, n.lastCommit = n.lastCommit, n.commit
	n.rounds = append(n.rounds, round{n.round, n.now})
	if len(n.rounds) > mostRounds {
		n.rounds = n.rounds[1:]
	}
	n.deadline = n.now.Add(n.timing.Heartbeat)
	n.eachPeer(func(p *progress) { n.replicate(p, true) })
	n.settleRounds()
}

// settleRounds ends the rounds that a majority has answered, and the barriers that wait for them.
func (n *Node) settleRounds() {
	answered := n.quorumReached(n.round, func(p *progress) uint64 { return p.round })
	for len(n.rounds) > 0 && n.rounds[0].number <= answered {
		n.majorityAt = n.rounds[0].at
		n.rounds = n.rounds[1:]
	}
	for _, p := range n.peers {
		if p.stampRound > 0 && p.stampRound <= answered && n.leads() {
			p.confirmed, p.confirmedAt = p.stamp, n.commit
			p.stamp, p.stampRound = p.latest, n.round+1
		}
	}
	for len(n.barriers) > 0 && n.barriers[0].round <= answered {
		n.reads = append(n.reads, Read{n.barriers[0].token, n.barriers[0].index, true})
		n.barriers = n.barriers[1:]
	}
}

// contact is what goes with a message to a follower.
func (n *Node) contact(p *progress) Contact {
	return Contact{Round: n.round, Confirmed: p.confirmed, ConfirmedIndex: p.confirmedAt}
}

// answer is what goes with an answer to the leader.
func (n *Node) answer(c Contact) Answer {
	a := Answer{Round: c.Round, Sent: n.stampNow()}
	if n.SeenHere != nil {
		a.Seen = n.SeenHere()
	}
	return a
}

func (n *Node) stampNow() Stamp { return Stamp{n.process, n.now.Sub(n.start)} }

// promise is a time by this node's clock, and an index: once all up to it is committed here, all that was acknowledged before
// that time is held.
type promise struct {
	at    time.Time
	index uint64
}

// confirm notes that the leader led a majority after this node's own time stamp. The stamp was set when an answer was sent:
// however long messages were on their way, or this node stopped, it never seems newer than it is. A promise that waits is
// kept until it is met: a newer one would always be ahead of a node that lags.
func (n *Node) confirm(c Contact) {
	if c.Confirmed.Process == n.process && n.promised.at.IsZero() { // else none yet, or of a process that this machine ran before
		n.promised = promise{n.start.Add(c.Confirmed.At), c.ConfirmedIndex}
	}
	n.meetPromise()
}

// meetPromise is called whenever more may be committed here.
func (n *Node) meetPromise() {
	if n.promised.at.IsZero() || n.commit < n.promised.index {
		return
	}
	if n.promised.at.After(n.confirmed) {
		n.confirmed = n.promised.at
	}
	n.promised = promise{}
}

// CurrentAt is the moment, by this node's own clock, as of which what it holds is surely current: a leader led a majority after
// it, and all that had been acknowledged by then is committed here. The zero time: no such moment is known.
func (n *Node) CurrentAt() time.Time {
	switch {
	case n.role == Leader && n.leads():
		return n.majorityAt
	case n.role == Leader || n.leader == "":
		return time.Time{}
	}
	return n.confirmed
}

// Fresh tells whether what this node holds is no older than the span.
func (n *Node) Fresh(span time.Duration) bool {
	at := n.CurrentAt()
	return !at.IsZero() && n.now.Before(at.Add(span))
}
