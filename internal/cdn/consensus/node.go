// Package consensus implements the Raft consensus algorithm for the core machines: one elected leader orders all changes in a
// replicated log. It has pre-votes, joint membership changes, read barriers, and snapshots that are transferred in pieces. It
// does no I/O and has no clock or goroutine of its own: the host passes messages and the time in, saves the state in each
// Ready, and then sends the messages in it.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is the current role of a node.
type Role uint8

// The roles. A learner, a node that is not in the membership it knows of, is a follower.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing holds the intervals and timeouts of a node, on the monotonic clock. Safety does not depend on them: a node that is
// suspended for longer than any of them, between any two steps, neither confirms nor serves stale data.
type Timing struct {
	Heartbeat time.Duration // interval between heartbeat rounds

	// Election is the minimum election timeout; the maximum is twice that. A voter that is silent for that long is replaced by
	// a machine that has joined.
	Election time.Duration

	Silent time.Duration // a voter silent for longer is removed if fewer than Config.Tolerate others could be lost
	Remove time.Duration // a voter silent for longer is removed in any case, down to the minimum number of voters
}

// DefaultTiming is the timing used in production: a sync takes 2 ms, a round trip 3 ms, and a quarter of a core may not be scheduled
// for 100 ms.
var DefaultTiming = Timing{
	Heartbeat: 120 * time.Millisecond,
	Election:  450 * time.Millisecond,
	Silent:    1500 * time.Millisecond,
	Remove:    time.Minute,
}

// DisabledSafeguards disables safety checks, one per field. Tests use it to show that a check is needed and that the simulation detects
// when it is missing. Production code sets none of them, which a test verifies.
type DisabledSafeguards struct {
	ReplaceBySmallerSet bool // a replaced member is removed before its successor is added
	CountJoiningEarly   bool // a joining machine counts as holding everything that was sent to it
	ReadWithoutRound    bool // a read barrier completes without a heartbeat round
	FoundWithoutAsking  bool // an empty disk takes its place among the founders at once, whatever the others hold
}

// Limits bounds the log kept in memory and the size of messages.
type Limits struct {
	TailEntries int // entries covered by the snapshot that are kept for followers only a little behind
	TailBytes   int // maximum total size of these entries
	PieceBytes  int // maximum snapshot data in one message
}

// DefaultLimits are the limits used in production.
var DefaultLimits = Limits{TailEntries: 2048, TailBytes: 2 << 20, PieceBytes: 128 << 10}

// Ready holds the work of the host, in this order: save Hard, Snapshot and Entries with one sync (an entry replaces all saved
// entries from its index on), then send Messages, then apply Committed and answer Reads.
type Ready struct {
	Hard      *HardState
	Snapshot  *Snapshot // received from the leader: replaces the saved snapshot and all saved entries
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.Hard == nil && r.Snapshot == nil && len(r.Entries)+len(r.Messages)+len(r.Committed)+len(r.Reads) == 0
}

// MustSave reports whether there is anything to save.
func (r Ready) MustSave() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Config holds the settings of a node and its state loaded from disk.
type Config struct {
	Self     Member
	Timing   Timing
	Tolerate int // number of machines that may be lost at once
	Seed     uint64
	Contacts []string // addresses of other machines, which may know the leader
	Founders []Member // of the core, as far as this machine's settings tell; used only if it holds no log
	Weak     DisabledSafeguards
	Limits   Limits // the zero value means the default limits

	Hard     HardState // loaded from disk, as are the two fields below
	Snapshot Snapshot
	Entries  []Entry // the entries after the snapshot
}

// Node is the Raft state machine of one machine. It is not safe for concurrent use.
type Node struct {
	self      Member
	timing    Timing
	tolerate  int
	faults    DisabledSafeguards
	limits    Limits
	rng       *rand.Rand
	processID uint64    // identifies this process in the node's own timestamps
	startedAt time.Time // time zero of the node's own timestamps
	now       time.Time

	hard             HardState
	hardUnsaved      bool // hard has changed since the last Ready
	log                   // the snapshot and the entries in memory
	membership       Membership
	membershipIndex  uint64 // index of the entry that set membership
	savedIndex       uint64 // last entry on this node's disk
	firstUnsaved     uint64 // first entry that no Ready has contained yet; 0: none
	receivedSnapshot *Snapshot
	incomingSnapshot *incomingSnapshot
	commitIndex      uint64
	deliveredIndex   uint64 // last committed entry that a Ready has contained

	role             Role
	leader           string
	leaderAddr       string
	leaderHeardAt    time.Time
	currentAsOf      time.Time      // everything acknowledged before this time is committed here
	pendingFreshness freshnessPoint // its time replaces currentAsOf once its index is committed here
	deadline         time.Time      // when the next election starts; at the leader, the next heartbeat round
	votes            map[string]bool
	voteTimestamps   map[string]Stamp // timestamps received with the votes
	contacts         []string         // addresses that are sent a Join while there is no leader
	nextJoinAt       time.Time
	leaving          bool
	leaveDone        bool
	nextLeaveAt      time.Time // when the next Leave is sent
	founders         []Member
	foundingReports  map[string]foundingReport // of the other founders, by address
	coreExists       bool                      // another process has shown that there is a core that holds entries

	peers               map[string]*progress
	retiredIDs          map[string]bool // member IDs that were replaced in this term by a new ID of the same machine
	currentRound        uint64
	pendingRounds       []heartbeatRound
	previousRoundCommit uint64    // commit index when the last heartbeat round but one began
	currentRoundCommit  uint64    // commit index when the last heartbeat round began
	majorityRoundAt     time.Time // start of the last heartbeat round that a majority has answered
	barriers            []barrier
	messages            []Message
	reads               []ReadResult

	Attended func(seen []string) // called at the leader with the nodes that have polled its followers; may be nil
	SeenHere func() []string     // returns the nodes that have recently polled this process; may be nil
}

// progress is the leader's record of a peer.
type progress struct {
	Member
	voter              bool
	match, next        uint64          // last entry known to be on the peer's disk, and the next one to send
	inFlight           []inFlightBatch // batches not acknowledged yet
	heardAt            time.Time
	answeredRound      uint64    // last heartbeat round that the peer answered
	latestTimestamp    Stamp     // timestamp of the peer's last answer
	pendingTimestamp   Stamp     // timestamp of an answer that is not confirmed yet
	pendingRound       uint64    // the first round that began after that answer, which confirms it; 0: no answer is waiting
	confirmedTimestamp Stamp     // newest timestamp that a later round has confirmed
	confirmedCommit    uint64    // commit index when that round was confirmed
	leaveAskedAt       time.Time // when the peer last asked to leave
	outgoingSnapshot   *outgoingSnapshot
}

// New returns a node that starts from the state on its disk.
func New(c Config, now time.Time) *Node {
	n := &Node{self: c.Self, timing: c.Timing, tolerate: c.Tolerate, faults: c.Weak, limits: c.Limits,
		rng: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)), startedAt: now, now: now,
		hard: c.Hard, log: newLog(c.Snapshot, c.Entries), commitIndex: c.Snapshot.Index, deliveredIndex: c.Snapshot.Index,
		contacts: c.Contacts, founders: c.Founders, foundingReports: map[string]foundingReport{}}
	if n.limits == (Limits{}) {
		n.limits = DefaultLimits
	}
	n.processID = n.rng.Uint64() | 1
	n.savedIndex = n.lastIndex()
	n.refreshMembership()
	n.becomeFollower("", "")
	// After a start there may be no leader, for example after a power failure of all machines. Starting the first pre-vote
	// early does not depose a leader that exists.
	n.deadline = now.Add(n.timing.Election/4 + time.Duration(n.rng.Int64N(int64(n.timing.Election/2))))
	return n
}

// SetContacts replaces the addresses of other machines, which may know the leader.
func (n *Node) SetContacts(addrs []string) { n.contacts = addrs }

// Role returns the node's current role.
func (n *Node) Role() Role { return n.role }

// Term returns the node's current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// CommitIndex returns the commit index.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last entry of the log, committed or not.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// Leader returns the ID and address of the leader, or empty strings if none is known.
func (n *Node) Leader() (id, addr string) { return n.leader, n.leaderAddr }

// Self returns the ID and address of this node.
func (n *Node) Self() Member { return n.self }

// Membership returns the latest membership in this node's log, committed or not.
func (n *Node) Membership() Membership { return n.membership }

// LiveMembers returns the members that the leader has heard from within the given duration, and the leader itself. It is meaningful
// only at the leader.
func (n *Node) LiveMembers(within time.Duration) (live []Member) {
	for _, m := range n.membership.All() {
		if p := n.peers[m.ID]; m.ID == n.self.ID || p != nil && n.now.Sub(p.heardAt) < within {
			live = append(live, m)
		}
	}
	return live
}

// become changes the role. No other function does.
func (n *Node) become(role Role, leader, addr string) {
	if n.role == Leader && role != Leader {
		for _, b := range n.barriers {
			n.reads = append(n.reads, ReadResult{Token: b.token})
		}
		n.barriers, n.peers, n.pendingRounds, n.retiredIDs = nil, nil, nil, nil
	}
	n.role, n.leader, n.leaderAddr = role, leader, addr
	n.votes = nil
	switch role {
	case PreCandidate, Candidate:
		n.votes, n.voteTimestamps = map[string]bool{n.self.ID: true}, map[string]Stamp{}
	case Leader:
		n.peers, n.retiredIDs, n.majorityRoundAt = map[string]*progress{}, map[string]bool{}, n.now
		n.updatePeers()
		for id, timestamp := range n.voteTimestamps {
			if p := n.peers[id]; p != nil {
				p.pendingTimestamp, p.pendingRound = timestamp, n.currentRound+1
			}
		}
	}
}

// becomeFollower makes the node a follower of the given leader, or of none, and restarts its election timeout.
func (n *Node) becomeFollower(leader, addr string) {
	n.become(Follower, leader, addr)
	n.deadline = n.now.Add(n.electionTimeout())
}

// adoptTerm moves to a higher term, without a vote in it.
func (n *Node) adoptTerm(term uint64) {
	if term > n.hard.Term {
		n.hard, n.hardUnsaved = HardState{Term: term}, true
	}
}

// Tick advances the node's time and starts whatever is due.
func (n *Node) Tick(now time.Time) {
	n.now = now
	n.sendLeave()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.deadline) {
		n.campaign(false)
	}
	if (n.leader == "" || now.Sub(n.leaderHeardAt) > n.timing.Election) && !n.leaving && !now.Before(n.nextJoinAt) {
		n.nextJoinAt = now.Add(n.timing.Election / 2)
		n.sendJoinRequests()
	}
}

// tickLeader first checks whether this node may still lead, so that a node that was suspended does not take the time of its own
// suspension for the silence of its peers.
func (n *Node) tickLeader() {
	if n.now.Sub(n.majorityRoundAt) > 2*n.timing.Election {
		n.becomeFollower("", "") // partitioned or suspended: another leader may have been elected
		return
	}
	if !n.now.Before(n.deadline) {
		n.beginRound()
	}
	n.maintainMembership()
}

// sendJoinRequests looks for the leader by sending a Join to every known address.
func (n *Node) sendJoinRequests() {
	asked := map[string]bool{n.self.Addr: true}
	sendJoin := func(addr string) {
		if addr != "" && !asked[addr] {
			asked[addr] = true
			n.send(Member{Addr: addr}, Message{Join: &Join{LastIndex: n.lastIndex(), Founders: n.foundersForJoin(), Founded: n.isFounded()}})
		}
	}
	for _, contact := range n.contacts {
		sendJoin(contact)
	}
	for _, m := range n.membership.All() {
		sendJoin(m.Addr)
	}
	if !n.isFounded() {
		for _, m := range n.founders {
			sendJoin(m.Addr)
		}
	}
}

// send queues a message to another machine, under the current term unless m.Term is set.
func (n *Node) send(to Member, m Message) {
	m.From, m.To, m.Addr, m.ToAddr = n.self.ID, to.ID, n.self.Addr, to.Addr
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// Step processes a received message at the given time.
func (n *Node) Step(now time.Time, m Message) {
	n.now = now
	n.observeCore(m)
	if m.To != "" && m.To != n.self.ID { // addressed to a previous member at this address
		return
	}
	switch {
	case m.Join != nil:
		n.onJoin(m)
		return
	case m.Term > n.hard.Term && !n.onHigherTerm(m):
		return
	case m.Term < n.hard.Term:
		n.rejectOldTerm(m)
		return
	}
	n.dispatch(m)
}

// onHigherTerm adopts the higher term of a message. It returns false if the message must be ignored. Pre-vote messages do not
// change the term, since they carry one that nobody has entered.
func (n *Node) onHigherTerm(m Message) bool {
	if m.PreVote != nil || m.PreVoteReply != nil && m.PreVoteReply.Granted {
		return true
	}
	if m.Vote != nil && !m.Vote.Transfer && n.hasLiveLeader() && n.role != Leader {
		return false // the candidate did not ask in a pre-vote first
	}
	n.adoptTerm(m.Term)
	n.becomeFollower("", "")
	return true
}

// rejectOldTerm answers a message of an older term, so that its sender adopts the current one.
func (n *Node) rejectOldTerm(m Message) {
	to := Member{m.From, m.Addr}
	switch {
	case m.Append != nil, m.Piece != nil:
		n.send(to, Message{Appended: &Appended{Rejected: true, Match: n.commitIndex}})
	case m.PreVote != nil:
		n.send(to, Message{PreVoteReply: &VoteReply{}})
	case m.Vote != nil:
		n.send(to, Message{VoteReply: &VoteReply{}})
	}
}

// dispatch passes a message of the current term, or a pre-vote message, to its handler.
func (n *Node) dispatch(m Message) {
	switch {
	case m.PreVote != nil:
		n.onPreVote(m)
	case m.Vote != nil:
		n.onVote(m)
	case m.PreVoteReply != nil:
		n.onVoteReply(m, PreCandidate, m.PreVoteReply.Granted && m.Term == n.hard.Term+1)
	case m.VoteReply != nil:
		n.onVoteReply(m, Candidate, m.VoteReply.Granted)
	case m.Append != nil:
		n.onAppend(m)
	case m.Appended != nil:
		n.onAppendReply(m)
	case m.Piece != nil:
		n.onSnapshotPiece(m)
	case m.PieceTaken != nil:
		n.onSnapshotPieceReply(m)
	case m.TakeOver != nil:
		if n.leader == m.From {
			n.campaign(true)
		}
	case m.Leave != nil:
		n.onLeave(m)
	case m.LeaveReply != nil:
		n.onLeaveReply(m)
	}
}

// PersistentState returns the complete state that must be on disk, from which the host writes a new journal.
func (n *Node) PersistentState() (HardState, Snapshot, []Entry) {
	return n.hard, n.snap, n.afterSnapshot()
}

// TakeReady returns the pending work and removes it from the node: the host must carry it out.
func (n *Node) TakeReady() Ready {
	var r Ready
	if n.hardUnsaved {
		h := n.hard
		r.Hard, n.hardUnsaved = &h, false
	}
	r.Snapshot, n.receivedSnapshot = n.receivedSnapshot, nil
	if n.firstUnsaved > 0 {
		r.Entries = slices.Clone(n.between(max(n.firstUnsaved, n.snap.Index+1), n.lastIndex()))
		n.firstUnsaved = 0
	}
	r.Messages, n.messages = n.messages, nil
	r.Reads, n.reads = n.reads, nil
	if n.commitIndex > n.deliveredIndex {
		r.Committed = slices.Clone(n.between(n.deliveredIndex+1, n.commitIndex))
		n.deliveredIndex = n.commitIndex
	}
	return r
}
