package consensus

import (
	"encoding/json"
	"fmt"
	"time"
)

// Member identifies a machine that replicates the log. A machine that has lost its disk rejoins under a new ID.
type Member struct{ ID, Addr string }

// Entry is one entry of the replicated log. A Membership, if set, takes effect as soon as the entry is in the log, committed
// or not.
type Entry struct {
	Index, Term uint64
	Membership  *Membership
	Data        []byte
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Membership  Membership
	Data        []byte
}

// Message is the envelope that nodes exchange; exactly one of the payloads is set.
type Message struct {
	From, To string // member IDs; To is empty in a Join, whose sender may know only the address
	Addr     string // address of the sender
	ToAddr   string // address that the host sends the message to
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

// DataBytes returns the bytes of the entries and snapshots that messages carry.
func DataBytes(messages []Message) (bytes int64) {
	for _, m := range messages {
		if m.Append != nil {
			for _, e := range m.Append.Entries {
				bytes += int64(len(e.Data))
			}
		}
		if m.Piece != nil {
			bytes += int64(len(m.Piece.Data))
		}
	}
	return bytes
}

// VoteRequest asks for a vote, or in a pre-vote whether the vote would be granted.
type VoteRequest struct {
	LastIndex, LastTerm uint64 // of the candidate's last entry
	Transfer            bool   // the election was started by a leadership transfer
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted bool
	Sent    Stamp // the voter's clock at sending; confirmed through Contact.Confirmed if the candidate wins
}

// Contact is part of every message from a leader to a follower.
type Contact struct {
	Round uint64 // number of the leader's heartbeat round; the follower's answer repeats it
	// Confirmed is the newest of the follower's own timestamps after which the leader is known to have led a majority.
	// A node that has committed all entries up to ConfirmedIndex holds everything acknowledged before that time.
	Confirmed      Stamp
	ConfirmedIndex uint64
}

// Stamp is a time on a follower's own monotonic clock. It is opaque to other nodes, and to the follower after a restart.
type Stamp struct {
	Process uint64        // random ID of the follower's process, never 0
	At      time.Duration // since that process started
}

// Append replicates entries to a follower. Without entries it is a heartbeat.
type Append struct {
	Contact
	PrevIndex, PrevTerm uint64 // of the entry before Entries
	Entries             []Entry
	Commit              uint64
}

// Answer is part of every reply from a follower to a leader.
type Answer struct {
	Round uint64   // copied from the Contact that is answered
	Sent  Stamp    // the follower's clock at sending, for Contact.Confirmed
	Seen  []string // nodes that have recently polled the follower's process for changes
}

// Appended is the reply to an Append, and to a snapshot that the follower already holds or has completed.
type Appended struct {
	Answer
	Rejected bool
	Match    uint64 // last entry known to match the leader's log, on disk; if Rejected, the last one that may match
}

// SnapshotPiece carries a part of a snapshot. Without data it is a heartbeat, and asks how much the receiver holds.
type SnapshotPiece struct {
	Contact
	Index, LastTerm uint64 // of the last entry that the snapshot covers
	Membership      Membership
	Size, Offset    int
	Data            []byte
}

// PieceTaken is the reply to a SnapshotPiece: the receiver holds the first Offset bytes of the snapshot.
type PieceTaken struct {
	Answer
	Index  uint64
	Offset int
}

// Join is sent by a node that hears from no leader. It asks the leader to make contact, and to add the sender as a voter if it
// is not one yet.
type Join struct {
	LastIndex uint64
	Relayed   bool // forwarded by a node that is not the leader
	// Founders is set by a node that has never held an entry and knows of no core: the members of its membership, if Founded, or those that
	// its settings name.
	Founders []Member
	Founded  bool // the sender has a membership
}

// TakeOver is sent by a leader that steps down: the receiver starts an election at once.
type TakeOver struct{}

// Leave is sent by a member that is about to shut down: it asks to be removed, and whether it may stop.
type Leave struct{}

// LeaveReply is the reply to a Leave. Done means that the member has been removed, or that a majority without it holds
// everything committed.
type LeaveReply struct{ Done bool }

// Membership is the set of voters. While Outgoing is set it is a joint membership, in which elections and commits need a
// majority of both sets.
type Membership struct {
	Voters   []Member
	Outgoing []Member `json:",omitempty"`
}

// Joint reports whether a membership change is in progress.
func (m Membership) Joint() bool { return len(m.Outgoing) > 0 }

// All returns the members of both sets without duplicates.
func (m Membership) All() []Member {
	all := append([]Member(nil), m.Voters...)
	for _, o := range m.Outgoing {
		if !contains(m.Voters, o.ID) {
			all = append(all, o)
		}
	}
	return all
}

// Contains reports whether a member ID is in either set.
func (m Membership) Contains(id string) bool {
	return contains(m.Voters, id) || contains(m.Outgoing, id)
}

// HasQuorum reports whether the members for which has returns true are a majority of each set. An empty membership has no quorum.
func (m Membership) HasQuorum(has func(id string) bool) bool {
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
