package consensus

import (
	"encoding/json"
	"fmt"
	"time"
)

// Member is one machine's part in the log. A machine that has lost its disk comes back under another ID.
type Member struct{ ID, Addr string }

// Entry is one change in the log. Membership, where it is set, is in force from that entry on, committed or not.
type Entry struct {
	Index, Term uint64
	Membership  *Membership
	Data        []byte
}

// HardState is what must be on disk before a message that depends on it leaves.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index, Term uint64
	Membership  Membership
	Data        []byte
}

// Message is what one machine tells another: an envelope with exactly one of the payloads.
type Message struct {
	From, To string // IDs; a Join need not know whom it reaches
	Addr     string // of the sender
	ToAddr   string // where the host is to send it
	Term     uint64

	PreVote      *VoteRequest
	PreVoteReply *VoteReply
	Vote         *VoteRequest
	VoteReply    *VoteReply
	Append       *Append
	Appended     *Appended
	Piece        *SnapshotPiece
	PieceTaken   *PieceTaken
	Join         *Join
	TakeOver     *TakeOver
	Leave        *Leave
	LeaveReply   *LeaveReply
}

// VoteRequest asks for a vote, or in a PreVote whether there would be one.
type VoteRequest struct {
	LastIndex, LastTerm uint64 // of the candidate's last entry
	Transfer            bool   // a leader has asked the candidate to stand
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted bool
	Sent    Stamp // for Contact.Confirmed, if the candidate wins
}

// Contact goes with everything that a leader sends to a follower.
type Contact struct {
	Round uint64 // of the leader's rounds of heartbeats; the answer names it
	// Confirmed is the newest of the follower's own time stamps of which the leader knows that it led a majority afterwards.
	// Whoever holds all up to ConfirmedIndex holds all that was acknowledged before that time.
	Confirmed      Stamp
	ConfirmedIndex uint64
}

// Stamp is a time by a follower's own steady clock. Nobody else reads it, nor the follower after a restart.
type Stamp struct {
	Process uint64 // drawn at its start; never 0
	At      time.Duration
}

// Append brings entries, or as a heartbeat none.
type Append struct {
	Contact
	PrevIndex, PrevTerm uint64 // of the entry before Entries
	Entries             []Entry
	Commit              uint64
}

// Answer goes with everything that a follower answers to a leader.
type Answer struct {
	Round uint64   // as in the Contact that is answered
	Sent  Stamp    // for Contact.Confirmed
	Seen  []string // who has lately asked the follower's process for news
}

// Appended answers an Append.
type Appended struct {
	Answer
	Rejected bool
	Match    uint64 // the last entry that is held alike, on disk; if Rejected the last that may be
}

// SnapshotPiece is a part of a snapshot. One without data is a heartbeat, and asks how far the receiver has come.
type SnapshotPiece struct {
	Contact
	Index, LastTerm uint64 // of the last entry that the snapshot stands for
	Membership      Membership
	Size, Offset    int
	Data            []byte
}

// PieceTaken answers a SnapshotPiece: the receiver holds the snapshot up to Offset.
type PieceTaken struct {
	Answer
	Index  uint64
	Offset int
}

// Join is from one that hears no leader: it asks to be told of one, and to become a voter if it is none.
type Join struct {
	LastIndex uint64
	Relayed   bool // by one that is no leader
}

// TakeOver is from a leader that goes: the receiver is to stand at once.
type TakeOver struct{}

// Leave is from a member that is about to end: it asks to be taken out, and whether it may end.
type Leave struct{}

// LeaveReply answers a Leave. Done says that the member is out, or holds nothing that a majority without it lacks.
type LeaveReply struct{ Done bool }

// Membership is who votes. While Outgoing is set a change is under way, and all that is decided needs a majority of both sets.
type Membership struct {
	Voters   []Member
	Outgoing []Member `json:",omitempty"`
}

// Joint tells whether a change is under way.
func (m Membership) Joint() bool { return len(m.Outgoing) > 0 }

// All is every member of either set, once.
func (m Membership) All() []Member {
	all := append([]Member(nil), m.Voters...)
	for _, o := range m.Outgoing {
		if !contains(m.Voters, o.ID) {
			all = append(all, o)
		}
	}
	return all
}

// Contains tells whether an ID is in either set.
func (m Membership) Contains(id string) bool {
	return contains(m.Voters, id) || contains(m.Outgoing, id)
}

// Quorum tells whether those of whom has is true are a majority of each set. An empty set has none.
func (m Membership) Quorum(has func(id string) bool) bool {
	return len(m.Voters) > 0 && majorityOf(m.Voters, has) && (!m.Joint() || majorityOf(m.Outgoing, has))
}

func contains(members []Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}

func count(members []Member, has func(id string) bool) int {
	n := 0
	for _, m := range members {
		if has(m.ID) {
			n++
		}
	}
	return n
}

func majority(size int) int { return size/2 + 1 }

func majorityOf(members []Member, has func(id string) bool) bool {
	return count(members, has) >= majority(len(members))
}

func (m Membership) String() string {
	text, err := json.Marshal(m)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(text)
}
