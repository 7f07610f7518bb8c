package configstore

import "time"

// LeaderRequest is the state of one request that a config store passes to the leader: it decides the next step and when the request
// ends. It has no clock and does no I/O; the process and the simulation both drive it.
type LeaderRequest struct {
	forwarded bool      // by another config store: not to be forwarded again
	deadline  time.Time // the caller waits until then
	sent      bool      // it was passed to a leader, so its command may be in the log
}

// NewLeaderRequest returns the state of a request whose caller waits until the deadline.
func NewLeaderRequest(forwarded bool, deadline time.Time) *LeaderRequest {
	return &LeaderRequest{forwarded: forwarded, deadline: deadline}
}

// StepKind is a kind of Step.
type StepKind int

// The kinds of steps. The last three end the request.
const (
	WaitForLeader   StepKind = iota // no leader is known on this machine
	HandleLocally                   // this machine leads: handle the request
	ForwardToLeader                 // send the request to the leader
	RetryLater                      // wait, then look for the leader again
	EndAnswered                     // the outcome is known
	EndUnknown                      // the request was sent, its outcome is unknown
	EndNotSent                      // the request was never sent
)

// Step is the next step of a request.
type Step struct {
	Kind  StepKind
	To    string        // the leader's address, for ForwardToLeader
	After time.Duration // the delay before the next attempt, for RetryLater
}

// IsFinal reports whether the request has ended.
func (s Step) IsFinal() bool { return s.Kind >= EndAnswered }

const leaderRetryInterval = 25 * time.Millisecond

// OnLeader returns the next step, given the leader as known on this machine: this machine itself, the one at the address, or none if
// the address is empty.
func (r *LeaderRequest) OnLeader(now time.Time, isLeader bool, address string) Step {
	switch {
	case !now.Before(r.deadline):
		return r.Abandon()
	case isLeader:
		r.sent = true
		return Step{Kind: HandleLocally}
	case address == "":
		return Step{Kind: WaitForLeader}
	case r.forwarded: // the sender tries the next leader itself
		return r.Abandon()
	}
	r.sent = true
	return Step{Kind: ForwardToLeader, To: address}
}

// OnReply returns the next step after an attempt; known says whether it had a known outcome. If not, it is retried
// until the deadline, which is safe because commands are idempotent.
func (r *LeaderRequest) OnReply(now time.Time, known bool) Step {
	switch {
	case known:
		return Step{Kind: EndAnswered}
	case r.forwarded, !now.Before(r.deadline):
		return r.Abandon()
	}
	return Step{Kind: RetryLater, After: leaderRetryInterval}
}

// Abandon returns the final step of a request for which nobody waits any longer.
func (r *LeaderRequest) Abandon() Step {
	if r.sent {
		return Step{Kind: EndUnknown}
	}
	return Step{Kind: EndNotSent}
}
