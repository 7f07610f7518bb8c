package configstore

import "time"

// Question is the state of one request that a config store passes to the leader: it decides the next step and when the request
// ends. It has no clock and does no I/O; the process and the simulation both drive it.
type Question struct {
	forwarded bool      // by another config store: not to be forwarded again
	deadline  time.Time // the caller waits until then
	sent      bool      // it was passed to a leader, so its command may be in the log
}

// NewQuestion returns the state of a request whose caller waits until the deadline.
func NewQuestion(forwarded bool, deadline time.Time) *Question {
	return &Question{forwarded: forwarded, deadline: deadline}
}

// MoveKind is a kind of Move.
type MoveKind int

// The kinds of moves. The last three end the request.
const (
	WaitForLeader MoveKind = iota // no leader is known on this machine
	AskHere                       // this machine leads: handle the request
	AskThere                      // send the request to the leader
	AskAgain                      // wait, then look for the leader again
	EndAnswered                   // the outcome is known
	EndUnclear                    // the request was sent, its outcome is unknown
	EndNotBegun                   // the request was never sent
)

// Move is the next step of a request.
type Move struct {
	Kind  MoveKind
	To    string        // the leader's address, for AskThere
	After time.Duration // the delay before the next attempt, for AskAgain
}

// Ends reports whether the request has ended.
func (m Move) Ends() bool { return m.Kind >= EndAnswered }

const leaderRetryInterval = 25 * time.Millisecond

// Led returns the next step, given the leader as known on this machine: this machine itself, the one at the address, or none if
// the address is empty.
func (q *Question) Led(now time.Time, isLeader bool, address string) Move {
	switch {
	case !now.Before(q.deadline):
		return q.End()
	case isLeader:
		q.sent = true
		return Move{Kind: AskHere}
	case address == "":
		return Move{Kind: WaitForLeader}
	case q.forwarded: // the sender tries the next leader itself
		return q.End()
	}
	q.sent = true
	return Move{Kind: AskThere, To: address}
}

// Answered returns the next step after an attempt; known says whether it had a known outcome. If not, it is retried
// until the deadline, which is safe because commands are idempotent.
func (q *Question) Answered(now time.Time, known bool) Move {
	switch {
	case known:
		return Move{Kind: EndAnswered}
	case q.forwarded, !now.Before(q.deadline):
		return q.End()
	}
	return Move{Kind: AskAgain, After: leaderRetryInterval}
}

// End returns the final step of a request for which nobody waits any longer.
func (q *Question) End() Move {
	if q.sent {
		return Move{Kind: EndUnclear}
	}
	return Move{Kind: EndNotBegun}
}
