// Package consensus is the agreement of the core machines: one elected leader orders all changes in a replicated log. It
// follows Raft, with pre-votes, joint changes of membership, read barriers and snapshots in pieces. It does no I/O and has
// no clock or goroutine of its own: the host brings messages and the time, saves what Ready names, then sends what Ready
// names.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is what a node is at the moment.
type Role uint8

// The roles. A learner is a follower that is in no membership it knows.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing are the spans of the steady clock that decide. None of them carries safety: a node that is stopped for longer than
// any of them, between any two steps, confirms and serves nothing that it should not.
type Timing struct {
	Heartbeat time.Duration
	Election  time.Duration // the least silence of a leader that is taken for its end; the most is twice that. A voter that is silent for so long gives its place to a machine that has come
	Silent    time.Duration // a voter silent for so long is taken out where less than must be could be lost beside it
	Remove    time.Duration // and for so long is taken out in any case, while more are left than must be
}

// Usual is the timing in service: a sync takes 2 ms, a round trip 3 ms, a quarter of a core may be away for 100 ms.
var Usual = Timing{Heartbeat: 120 * time.Millisecond, Election: 450 * time.Millisecond, Silent: 1500 * time.Millisecond, Remove: time.Minute}

// Weaknesses take guards out, one each. They are for tests that show that a guard is needed and that the simulation finds
// its absence; nothing else sets one, which a test sees to.
type Weaknesses struct {
	ReplaceBySmallerSet bool // a replaced member goes out before its successor comes in
	CountJoiningEarly   bool // a machine that joins counts as holding all that it was sent
	ReadWithoutRound    bool // a read barrier asks nobody
}

// Limits bound what is kept and sent at once.
type Limits struct {
	TailEntries int // kept behind a snapshot, for those who are not far behind
	TailBytes   int // of them at most
	PieceBytes  int // of a snapshot in one message
}

// UsualLimits are the limits in service.
var UsualLimits = Limits{TailEntries: 2048, TailBytes: 2 << 20, PieceBytes: 128 << 10}

// Ready is what the host is to do, in this order: save Hard, Snapshot and Entries (an entry replaces what is held from its
// index on) in one sync, then send Messages, then take Committed and Reads.
type Ready struct {
	Hard      *HardState
	Snapshot  *Snapshot // received: it replaces all that is held
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty tells whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.Hard == nil && r.Snapshot == nil && len(r.Entries)+len(r.Messages)+len(r.Committed)+len(r.Reads) == 0
}

// MustSave tells whether something is to be saved.
func (r Ready) MustSave() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Config is what a node is made from.
type Config struct {
	Self     Member
	Timing   Timing
	Tolerate int // machines that may be lost at once
	Seed     uint64
	Contacts []string // addresses of others that may know a leader
	Weak     Weaknesses
	Limits   Limits // zero: the usual ones

	Hard     HardState // as they are on the disk
	Snapshot Snapshot
	Entries  []Entry // behind the snapshot
}

// Node is one machine's part in the agreement. It belongs to one goroutine.
type Node struct {
	self     Member
	timing   Timing
	tolerate int
	weak     Weaknesses
	limits   Limits
	rng      *rand.Rand
	process  uint64    // this process, in the node's own time stamps
	start    time.Time // what they count from
	now      time.Time

	hard         HardState
	dirty        bool // hard is not saved
	log               // entries, and the snapshot that stands for those before them
	membership   Membership
	membershipAt uint64 // the entry that it is in force from
	saved        uint64 // the last entry that is on disk here
	unsaved      uint64 // the first entry that Ready has not named; 0: none
	received     *Snapshot
	incoming     *incoming
	commit       uint64
	taken        uint64 // the last committed entry that Ready has named

	role      Role
	leader    string
	leaderAt  string // its address
	heard     time.Time
	confirmed time.Time // all that was acknowledged before it is held here
	promised  promise   // the same, once more is held
	deadline  time.Time // of the election, or of the leader's next round
	votes     map[string]bool
	stamps    map[string]Stamp // that came with the votes
	contacts  []string         // addresses to ask while there is no leader
	joinAt    time.Time
	leaving   bool
	left      bool
	askAt     time.Time // when to ask to leave again

	peers       map[string]*progress
	retired     map[string]bool // identities whose machine came back under another one in this term
	round       uint64
	rounds      []round
	roundCommit uint64    // what was committed when the last round but one began
	lastCommit  uint64    // and when the last one did
	majorityAt  time.Time // when the last round began that a majority has answered
	barriers    []barrier
	messages    []Message
	reads       []Read

	Attended func(seen []string) // hears, at the leader, who has asked its followers for news; may be nil
	SeenHere func() []string     // who has asked here lately; may be nil
}

// progress is what a leader knows of another machine.
type progress struct {
	Member
	voter       bool
	match, next uint64
	window      []sent // batches that are not answered yet
	heard       time.Time
	round       uint64 // the last one that it answered
	latest      Stamp  // its own time stamp of its last answer
	stamp       Stamp  // of an answer that waits to be confirmed
	stampRound  uint64 // by this round, the first that began after that answer; 0: none waits
	confirmed   Stamp  // the newest one that a later round has confirmed
	confirmedAt uint64 // and what was committed then
	leaving     time.Time
	transfer    *transfer
}

// New returns a node from what is on its disk.
func New(c Config, now time.Time) *Node {
	n := &Node{self: c.Self, timing: c.Timing, tolerate: c.Tolerate, weak: c.Weak, limits: c.Limits, rng: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		start: now, now: now, hard: c.Hard, log: newLog(c.Snapshot, c.Entries), commit: c.Snapshot.Index, taken: c.Snapshot.Index,
		contacts: c.Contacts}
	if n.limits == (Limits{}) {
		n.limits = UsualLimits
	}
	n.process = n.rng.Uint64() | 1
	n.saved = n.last()
	n.refresh()
	n.follow("", "")
	// After a start nobody may lead, as when all were without power: asking early unseats no leader that is there.
	n.deadline = now.Add(n.timing.Election/4 + time.Duration(n.rng.Int64N(int64(n.timing.Election/2))))
	return n
}

// SetContacts names others that may know a leader, in the place of those named before.
func (n *Node) SetContacts(addrs []string) { n.contacts = addrs }

// Role is the node's role.
func (n *Node) Role() Role { return n.role }

// Term is the node's term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Commit is the last entry that is surely kept.
func (n *Node) Commit() uint64 { return n.commit }

// Leader returns the leader's ID and address; empty if none is known.
func (n *Node) Leader() (id, addr string) { return n.leader, n.leaderAt }

// Self is the node as a member.
func (n *Node) Self() Member { return n.self }

// Membership is the membership in force, by the log as held.
func (n *Node) Membership() Membership { return n.membership }

// Live tells, at the leader, which members have been heard within the span.
func (n *Node) Live(within time.Duration) (live []Member) {
	for _, m := range n.membership.All() {
		if p := n.peers[m.ID]; m.ID == n.self.ID || p != nil && n.now.Sub(p.heard) < within {
			live = append(live, m)
		}
	}
	return live
}

// become is the one place where the role changes.
func (n *Node) become(role Role, leader, addr string) {
	if n.role == Leader && role != Leader {
		for _, b := range n.barriers {
			n.reads = append(n.reads, Read{Token: b.token})
		}
		n.barriers, n.peers, n.rounds, n.retired = nil, nil, nil, nil
	}
	n.role, n.leader, n.leaderAt = role, leader, addr
	n.votes = nil
	switch role {
	case PreCandidate, Candidate:
		n.votes, n.stamps = map[string]bool{n.self.ID: true}, map[string]Stamp{}
	case Leader:
		n.peers, n.retired, n.majorityAt = map[string]*progress{}, map[string]bool{}, n.now
		n.trackMembers()
		for id, stamp := range n.stamps {
			if p := n.peers[id]; p != nil {
				p.stamp, p.stampRound = stamp, n.round+1
			}
		}
	}
}

func (n *Node) follow(leader, addr string) {
	n.become(Follower, leader, addr)
	n.deadline = n.now.Add(n.electionTime())
}

// enter takes a higher term on.
func (n *Node) enter(term uint64) {
	if term > n.hard.Term {
		n.hard, n.dirty = HardState{Term: term}, true
	}
}

// Tick brings the time.
func (n *Node) Tick(now time.Time) {
	n.now = now
	n.askToLeave()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.deadline) {
		n.stand(false)
	}
	if (n.leader == "" || now.Sub(n.heard) > n.timing.Election) && !n.leaving && !now.Before(n.joinAt) {
		n.joinAt = now.Add(n.timing.Election / 2)
		n.askForLeader()
	}
}

// tickLeader looks first whether this node may still lead: one that was stopped judges nobody by the time that it slept.
func (n *Node) tickLeader() {
	if n.now.Sub(n.majorityAt) > 2*n.timing.Election {
		n.follow("", "") // cut off, or stopped: others may have a leader
		return
	}
	if !n.now.Before(n.deadline) {
		n.beginRound()
	}
	n.maintainMembership()
}

// askForLeader looks for a leader among all addresses that are known.
func (n *Node) askForLeader() {
	asked := map[string]bool{n.self.Addr: true}
	tell := func(addr string) {
		if addr != "" && !asked[addr] {
			asked[addr] = true
			n.send(Member{Addr: addr}, Message{Join: &Join{LastIndex: n.last()}})
		}
	}
	for _, a := range n.contacts {
		tell(a)
	}
	for _, m := range n.membership.All() {
		tell(m.Addr)
	}
}

func (n *Node) send(to Member, m Message) {
	m.From, m.To, m.Addr, m.ToAddr = n.self.ID, to.ID, n.self.Addr, to.Addr
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// Step brings a message.
func (n *Node) Step(now time.Time, m Message) {
	n.now = now
	if m.To != "" && m.To != n.self.ID { // meant for who had this address before
		return
	}
	switch {
	case m.Join != nil:
		n.onJoin(m)
		return
	case m.Term > n.hard.Term && !n.onHigherTerm(m):
		return
	case m.Term < n.hard.Term:
		n.refuse(m)
		return
	}
	n.dispatch(m)
}

// onHigherTerm takes the term of a message on; false if the message is to be passed over. What belongs to a pre-vote is of a
// term that nobody has entered.
func (n *Node) onHigherTerm(m Message) bool {
	if m.PreVote != nil || m.PreVoteReply != nil && m.PreVoteReply.Granted {
		return true
	}
	if m.Vote != nil && !m.Vote.Transfer && n.hearsLeader() && n.role != Leader {
		return false // whoever stands has not asked before
	}
	n.enter(m.Term)
	n.follow("", "")
	return true
}

// refuse answers what comes under an older term, so that its sender takes the present one on.
func (n *Node) refuse(m Message) {
	to := Member{m.From, m.Addr}
	switch {
	case m.Append != nil, m.Piece != nil:
		n.send(to, Message{Appended: &Appended{Rejected: true, Match: n.commit}})
	case m.PreVote != nil:
		n.send(to, Message{PreVoteReply: &VoteReply{}})
	case m.Vote != nil:
		n.send(to, Message{VoteReply: &VoteReply{}})
	}
}

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
		n.onAppended(m)
	case m.Piece != nil:
		n.onPiece(m)
	case m.PieceTaken != nil:
		n.onPieceTaken(m)
	case m.TakeOver != nil:
		if n.leader == m.From {
			n.stand(true)
		}
	case m.Leave != nil:
		n.onLeave(m)
	case m.LeaveReply != nil:
		n.onLeaveReply(m)
	}
}

// Held is all that a disk needs to hold: for a new generation of it.
func (n *Node) Held() (HardState, Snapshot, []Entry) { return n.hard, n.snap, n.behindSnapshot() }

// Take returns what is to be done, and counts it as done.
func (n *Node) Take() Ready {
	var r Ready
	if n.dirty {
		h := n.hard
		r.Hard, n.dirty = &h, false
	}
	r.Snapshot, n.received = n.received, nil
	if n.unsaved > 0 {
		r.Entries = slices.Clone(n.between(max(n.unsaved, n.snap.Index+1), n.last()))
		n.unsaved = 0
	}
	r.Messages, n.messages = n.messages, nil
	r.Reads, n.reads = n.reads, nil
	if n.commit > n.taken {
		r.Committed = slices.Clone(n.between(n.taken+1, n.commit))
		n.taken = n.commit
	}
	return r
}
