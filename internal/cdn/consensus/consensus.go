// Package consensus is the agreement of the core machines: one elected leader orders all changes in a log. It follows Raft, with
// pre-votes, changes of membership one at a time, read barriers and snapshots. It does no I/O and has no clock or
// goroutine of its own: the host brings messages and the time, saves what Ready names, then sends what Ready names.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Member is one voter. A machine that has lost its disk comes back under another ID.
type Member struct{ ID, Addr string }

// Entry is one change in the log. Conf, where it is set, is the membership from that entry on.
type Entry struct {
	Index, Term uint64
	Conf        []Member
	Data        []byte
}

// Hard is what must be on disk before a message that hangs on it leaves.
type Hard struct {
	Term uint64
	Vote string
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index, Term uint64
	Conf        []Member
	Data        []byte
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	PreVote Kind = iota
	PreVoted
	Vote
	Voted
	Append
	Appended
	Install  // a snapshot; answered by Appended
	Join     // from one that hears no leader: it asks to be told, and to become a voter if it is none
	TakeOver // the leader goes: the receiver is to stand at once
)

// Message is what one machine tells another. Unused fields are zero.
type Message struct {
	Kind           Kind
	From, To       string // IDs; Join may lack To
	Addr           string // of the sender
	Term           uint64
	Index, LogTerm uint64 // Append: of the entry before Entries; Vote: of the last entry; Appended: the last that is held alike
	Commit         uint64
	Entries        []Entry
	Snapshot       *Snapshot
	Reject         bool          // no; of a Vote: a leader asked for it; of a Join: it has been handed on
	Seq            uint64        // of the leader's rounds, for read barriers and leases
	Age            time.Duration // Append: since the leader last knew that a majority follows it
	Seen           []string      // Appended: who has asked the sender for news lately
	ToAddr         string        // where the host is to send it; not read here
}

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

// Timing are the spans of the steady clock that decide.
type Timing struct {
	Heartbeat time.Duration
	Election  time.Duration // the least silence of a leader that is taken for its end; the most is twice that
	Lost      time.Duration // a voter silent for so long is taken out, while more than three are left
}

// Usual is the timing in service: a sync takes 2 ms, a round trip 3 ms, a quarter of a core may be away for 100 ms.
var Usual = Timing{Heartbeat: 120 * time.Millisecond, Election: 450 * time.Millisecond, Lost: 6 * time.Second}

const (
	batchEntries = 256  // of one message at most
	ahead        = 4096 // entries that may be under way to one peer
	fewVoters    = 3    // membership does not shrink below
)

// Ready is what the host is to do, in this order: save Hard, Snapshot and Entries (an entry replaces what is held from its
// index on) in one sync, then send Messages, then take Committed and Reads.
type Ready struct {
	Hard      *Hard
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

// Read is the end of a read barrier: what is applied up to Index answers the read with Token; not OK: this node can't tell.
type Read struct {
	Token, Index uint64
	OK           bool
}

type progress struct {
	Member
	voter       bool
	match, next uint64
	heard       time.Time
	seq         uint64 // the last round that it answered
	installAt   time.Time
}

type barrier struct {
	token, index, seq uint64
}

// Node is one machine's part in the agreement. It belongs to one goroutine.
type Node struct {
	self   Member
	timing Timing
	rng    *rand.Rand
	now    time.Time

	hard      Hard
	dirty     bool
	snap      Snapshot // what the log begins behind
	entries   []Entry
	members   []Member // in force
	membersAt uint64   // since this entry
	saved     uint64   // the last entry that is on disk here
	unsaved   uint64   // the first entry that Ready has not named; 0: none
	received  *Snapshot
	commit    uint64
	taken     uint64 // the last committed entry that Ready has named

	role     Role
	leader   string
	leaderAt string // its address
	heard    time.Time
	fresh    time.Time // until when the leader is known to have had a majority, without the round trip
	deadline time.Time // of the election, or of the leader's next round
	votes    map[string]bool
	known    map[string]string // addresses by ID, of those heard
	contacts []string          // addresses to ask while there is no leader
	joinAt   time.Time

	peers    map[string]*progress
	seq      uint64
	rounds   []round
	majority time.Time // begin of the last round that a majority has answered
	barriers []barrier
	messages []Message
	reads    []Read
	seen     map[string]time.Time
	Attended func(seen []string) // hears, at the leader, who has asked its followers for news; may be nil
	SeenHere func() []string     // who has asked here lately; may be nil
}

type round struct {
	seq uint64
	at  time.Time
}

// New returns a node from what is on its disk. Contacts are addresses of others that may know a leader.
func New(self Member, hard Hard, snap Snapshot, entries []Entry, contacts []string, timing Timing, seed uint64, now time.Time) *Node {
	n := &Node{self: self, timing: timing, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, hard: hard, snap: snap,
		entries: entries, commit: snap.Index, taken: snap.Index, contacts: contacts, known: map[string]string{}}
	n.saved = n.last()
	n.refresh()
	n.follow("", "")
	// After a start nobody may lead, as when all were without power: asking early unseats no leader that is there.
	n.deadline = now.Add(timing.Election/4 + time.Duration(n.rng.Int64N(int64(timing.Election/2))))
	return n
}

// SetContacts names others that may know a leader, in the place of those named before.
func (n *Node) SetContacts(addrs []string) { n.contacts = addrs }

// What others may ask of a node.

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

// Members is the membership in force, by the log as held.
func (n *Node) Members() []Member { return n.members }

// refresh finds the membership in force, after the log has changed otherwise than at its end.
func (n *Node) refresh() {
	n.members, n.membersAt = n.snap.Conf, n.snap.Index
	for i := len(n.entries) - 1; i >= 0; i-- {
		if n.entries[i].Conf != nil {
			n.members, n.membersAt = n.entries[i].Conf, n.entries[i].Index
			return
		}
	}
}

// Fresh tells whether the node followed, within the span, a leader that had a majority.
func (n *Node) Fresh(within time.Duration) bool {
	if n.role == Leader {
		return n.now.Sub(n.majority) < within && n.leads()
	}
	return n.leader != "" && n.now.Sub(n.fresh) < within
}

// Live tells, at the leader, which members have been heard within the span.
func (n *Node) Live(within time.Duration) (live []Member) {
	for _, m := range n.Members() {
		if p := n.peers[m.ID]; m.ID == n.self.ID || p != nil && n.now.Sub(p.heard) < within {
			live = append(live, m)
		}
	}
	return live
}

// LogSize is the number of entries since the last snapshot.
func (n *Node) LogSize() int { return len(n.entries) }

func (n *Node) last() uint64 { return n.snap.Index + uint64(len(n.entries)) }

func (n *Node) term(index uint64) (uint64, bool) {
	switch {
	case index == n.snap.Index:
		return n.snap.Term, true
	case index < n.snap.Index || index > n.last():
		return 0, false
	}
	return n.entries[index-n.snap.Index-1].Term, true
}

func (n *Node) lastTerm() uint64 { t, _ := n.term(n.last()); return t }

func (n *Node) isVoter(id string) bool {
	return slices.ContainsFunc(n.Members(), func(m Member) bool { return m.ID == id })
}

// committedConf tells whether the newest membership is committed.
func (n *Node) committedConf() bool { return n.membersAt <= n.commit }

func (n *Node) electionTime() time.Duration {
	return n.timing.Election + time.Duration(n.rng.Int64N(int64(n.timing.Election)))
}

// askAgain is after how long a vote is asked about that came to nothing; whoever has just promised one to another waits as long as well.
func (n *Node) askAgain() time.Duration {
	return n.timing.Election/4 + time.Duration(n.rng.Int64N(int64(n.timing.Election/4)))
}

// become is the one place where the role changes.
func (n *Node) become(role Role, leader, addr string) {
	if n.role == Leader && role != Leader {
		for _, b := range n.barriers {
			n.reads = append(n.reads, Read{Token: b.token})
		}
		n.barriers, n.peers, n.rounds = nil, nil, nil
	}
	n.role, n.leader, n.leaderAt = role, leader, addr
	n.votes = nil
	switch role {
	case PreCandidate, Candidate:
		n.votes = map[string]bool{n.self.ID: true}
	case Leader:
		n.peers, n.majority = map[string]*progress{}, n.now
		n.sync()
	}
}

func (n *Node) follow(leader, addr string) {
	n.become(Follower, leader, addr)
	n.deadline = n.now.Add(n.electionTime())
}

// enter takes a higher term on.
func (n *Node) enter(term uint64) {
	if term > n.hard.Term {
		n.hard, n.dirty = Hard{Term: term}, true
	}
}

// sync makes the leader's books follow the membership.
func (n *Node) sync() {
	members := n.Members()
	for _, m := range members {
		if m.ID == n.self.ID {
			continue
		}
		p := n.peers[m.ID]
		if p == nil {
			p = &progress{next: n.last() + 1, heard: n.now}
			n.peers[m.ID] = p
		}
		p.Member, p.voter = m, true
	}
	for id, p := range n.peers {
		if p.voter && !slices.ContainsFunc(members, func(m Member) bool { return m.ID == id }) {
			delete(n.peers, id)
		}
	}
}

// Tick brings the time.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		if !now.Before(n.deadline) {
			n.round()
		}
		if now.Sub(n.majority) > 2*n.timing.Election {
			n.follow("", "") // cut off: others may have a leader
			return
		}
		n.tend()
		return
	}
	if !now.Before(n.deadline) {
		n.stand(false)
	}
	if (n.leader == "" || now.Sub(n.heard) > n.timing.Election) && !now.Before(n.joinAt) {
		n.joinAt = now.Add(n.timing.Election / 2)
		n.ask()
	}
}

// ask looks for a leader among all addresses that are known.
func (n *Node) ask() {
	asked := map[string]bool{n.self.Addr: true}
	tell := func(addr string) {
		if addr != "" && !asked[addr] {
			asked[addr] = true
			n.messages = append(n.messages, Message{Kind: Join, From: n.self.ID, Addr: n.self.Addr, Term: n.hard.Term,
				Index: n.last(), ToAddr: addr})
		}
	}
	for _, a := range n.contacts {
		tell(a)
	}
	for _, m := range n.Members() {
		tell(m.Addr)
	}
}

// stand begins an election, with a round before it that changes nothing: one that was cut off does not unseat a leader.
func (n *Node) stand(at_once bool) {
	n.deadline = n.now.Add(n.electionTime())
	if !n.isVoter(n.self.ID) {
		if n.leader != "" && n.now.Sub(n.heard) > n.timing.Election {
			n.follow("", "")
		}
		return
	}
	kind, term := PreVote, n.hard.Term+1
	if at_once || n.role == PreCandidate && n.won() {
		n.enter(term)
		n.hard.Vote, n.dirty = n.self.ID, true
		kind = Vote
		n.become(Candidate, "", "")
	} else {
		n.become(PreCandidate, "", "")
		n.deadline = n.now.Add(n.askAgain()) // nothing rises by asking: others may be up in a moment
	}
	for _, m := range n.Members() {
		if m.ID != n.self.ID {
			n.send(m, Message{Kind: kind, Term: term, Index: n.last(), LogTerm: n.lastTerm(), Reject: at_once})
		}
	}
	n.tally()
}

func (n *Node) won() bool {
	yes := 0
	members := n.Members()
	for _, m := range members {
		if n.votes[m.ID] {
			yes++
		}
	}
	return yes > len(members)/2
}

func (n *Node) tally() {
	if !n.won() {
		return
	}
	if n.role == PreCandidate {
		n.stand(false)
	} else if n.role == Candidate {
		n.become(Leader, n.self.ID, n.self.Addr)
		n.append(Entry{}) // of its own term: what came before is committed with it
		n.round()
	}
}

func (n *Node) send(to Member, m Message) {
	m.From, m.To, m.Addr, m.ToAddr = n.self.ID, to.ID, n.self.Addr, to.Addr
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// append adds an entry to the leader's log.
func (n *Node) append(e Entry) uint64 {
	e.Index, e.Term = n.last()+1, n.hard.Term
	n.entries = append(n.entries, e)
	n.mark(e.Index)
	if e.Conf != nil {
		n.refresh()
		n.sync()
	}
	return e.Index
}

// mark notes that entries from an index on are to be saved.
func (n *Node) mark(index uint64) {
	if n.unsaved == 0 || index < n.unsaved {
		n.unsaved = index
	}
	n.saved = min(n.saved, index-1)
}

// Propose adds a change. Its fate is known when the entry of this index is committed: with this term it is this one.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.last()-n.commit > ahead {
		return 0, 0, false
	}
	return n.append(Entry{Data: data}), n.hard.Term, true
}

// Flush lets the leader tell its followers of what was proposed, after a batch, and begins the round of barriers asked for.
func (n *Node) Flush() {
	if k := len(n.barriers); k > 0 && n.barriers[k-1].seq > n.seq {
		n.round()
	} else if n.role == Leader {
		for _, p := range n.peers {
			n.replicate(p, false)
		}
	}
}

// Barrier asks for a read barrier; its end comes with Ready.
func (n *Node) Barrier(token uint64) {
	if t, _ := n.term(n.commit); n.role != Leader || t != n.hard.Term {
		n.reads = append(n.reads, Read{Token: token})
		return
	}
	n.barriers = append(n.barriers, barrier{token, n.commit, n.seq + 1}) // of the next round, which Flush begins
}

// round asks every follower for a word.
func (n *Node) round() {
	n.seq++
	n.rounds = append(n.rounds, round{n.seq, n.now})
	if len(n.rounds) > 64 {
		n.rounds = n.rounds[1:]
	}
	n.deadline = n.now.Add(n.timing.Heartbeat)
	for _, p := range n.peers {
		n.replicate(p, true)
	}
	n.settle()
}

// replicate sends what a follower lacks.
func (n *Node) replicate(p *progress, always bool) {
	if p.next <= n.snap.Index {
		if n.now.Sub(p.installAt) > n.timing.Election {
			p.installAt = n.now
			snap := n.snap
			n.send(p.Member, Message{Kind: Install, Snapshot: &snap, Commit: n.commit, Seq: n.seq, Age: n.now.Sub(n.majority)})
		}
		return
	}
	from := p.next
	to := min(n.last(), from+batchEntries-1)
	if to < from && !always || from > p.match+ahead {
		return
	}
	m := Message{Kind: Append, Index: from - 1, Commit: n.commit, Seq: n.seq, Age: n.now.Sub(n.majority)}
	m.LogTerm, _ = n.term(from - 1)
	if to >= from {
		m.Entries = slices.Clone(n.entries[from-n.snap.Index-1 : to-n.snap.Index])
		p.next = to + 1
	}
	n.send(p.Member, m)
}

// Saved tells that all that Ready named is on disk.
func (n *Node) Saved() {
	if n.unsaved == 0 {
		n.saved = n.last()
	} else {
		n.saved = max(n.saved, n.unsaved-1)
	}
	if n.role == Leader {
		n.advance()
	}
}

// advance commits what a majority has on disk.
func (n *Node) advance() {
	members := n.Members()
	matches := make([]uint64, 0, len(members))
	for _, m := range members {
		if m.ID == n.self.ID {
			matches = append(matches, n.saved)
		} else if p := n.peers[m.ID]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	most := matches[(len(matches)-1)/2]
	if t, ok := n.term(most); !ok || most <= n.commit || t != n.hard.Term {
		return
	}
	n.commit = most
	for _, p := range n.peers { // they hand it on to those who wait for news
		n.replicate(p, true)
	}
	if !n.isVoter(n.self.ID) && n.committedConf() {
		n.follow("", "")
	}
}

// settle ends the barriers whose round a majority has answered.
func (n *Node) settle() {
	members := n.Members()
	seqs := make([]uint64, 0, len(members))
	for _, m := range members {
		if m.ID == n.self.ID {
			seqs = append(seqs, n.seq)
		} else if p := n.peers[m.ID]; p != nil {
			seqs = append(seqs, p.seq)
		}
	}
	if len(seqs) == 0 {
		return
	}
	slices.Sort(seqs)
	most := seqs[(len(seqs)-1)/2]
	for len(n.rounds) > 0 && n.rounds[0].seq <= most {
		n.majority = n.rounds[0].at
		n.rounds = n.rounds[1:]
	}
	for len(n.barriers) > 0 && n.barriers[0].seq <= most {
		n.reads = append(n.reads, Read{n.barriers[0].token, n.barriers[0].index, true})
		n.barriers = n.barriers[1:]
	}
}

// leads tells whether the leader has committed something of its own term: before that its commit may be old.
func (n *Node) leads() bool { t, _ := n.term(n.commit); return t == n.hard.Term }

// tend changes the membership, one step at a time: in comes who has caught up, out goes who is long silent.
func (n *Node) tend() {
	if !n.committedConf() || !n.leads() {
		return
	}
	members := n.Members()
	without := func(id string) []Member {
		return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
	}
	for _, id := range sorted(n.peers) {
		p := n.peers[id]
		switch silent := n.now.Sub(p.heard); {
		case !p.voter && silent > n.timing.Lost:
			delete(n.peers, id)
		case !p.voter && silent < n.timing.Election && p.match >= n.commit:
			for _, m := range members { // the same machine before it lost its disk
				if m.Addr == p.Addr && m.ID != n.self.ID {
					n.append(Entry{Conf: without(m.ID)})
					n.Flush()
					return
				}
			}
			n.append(Entry{Conf: append(slices.Clone(members), p.Member)})
			n.Flush()
			return
		case p.voter && silent > n.timing.Lost && len(members) > fewVoters:
			n.append(Entry{Conf: without(id)})
			n.Flush()
			return
		}
	}
}

func sorted(peers map[string]*progress) []string {
	ids := make([]string, 0, len(peers))
	for id := range peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// HandOver lets the follower that holds the most stand at once; the leader is about to go.
func (n *Node) HandOver() {
	var best *progress
	for _, id := range sorted(n.peers) {
		if p := n.peers[id]; p.voter && n.now.Sub(p.heard) < n.timing.Election && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil && best.match >= n.commit {
		n.send(best.Member, Message{Kind: TakeOver})
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

// Step brings a message.
func (n *Node) Step(now time.Time, m Message) {
	n.now = now
	if m.To != "" && m.To != n.self.ID { // meant for who had this address before
		return
	}
	if m.Kind == Join {
		n.onJoin(m)
		return
	}
	if m.Term > n.hard.Term && m.Kind != PreVote && (m.Kind != PreVoted || m.Reject) {
		if m.Kind == Vote && !m.Reject && n.leader != "" && n.now.Sub(n.heard) < n.timing.Election && n.role != Leader {
			return // a leader is heard: whoever stands has not asked before
		}
		n.enter(m.Term)
		n.follow("", "")
	}
	if m.Term < n.hard.Term {
		switch m.Kind {
		case Append, Install:
			n.send(Member{m.From, m.Addr}, Message{Kind: Appended, Reject: true, Index: n.commit})
		case PreVote, Vote:
			n.send(Member{m.From, m.Addr}, Message{Kind: m.Kind + 1, Reject: true})
		}
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.onVote(m)
	case PreVoted, Voted:
		if want := map[Role]Kind{PreCandidate: PreVoted, Candidate: Voted}[n.role]; m.Kind == want && n.votes != nil &&
			(m.Kind == Voted || m.Term == n.hard.Term+1) && !m.Reject {
			n.votes[m.From] = true
			n.tally()
		}
	case Append, Install:
		n.onAppend(m)
	case Appended:
		n.onAppended(m)
	case TakeOver:
		if n.leader == m.From {
			n.stand(true)
		}
	}
}

// onVote grants a vote to whoever holds all that may be committed, once a term; before the vote proper, only if no
// leader is heard.
func (n *Node) onVote(m Message) {
	current := m.LogTerm > n.lastTerm() || m.LogTerm == n.lastTerm() && m.Index >= n.last()
	if m.Kind == PreVote {
		heard := n.role == Leader || n.leader != "" && n.now.Sub(n.heard) < n.timing.Election
		if !current || heard || m.Term <= n.hard.Term {
			n.send(Member{m.From, m.Addr}, Message{Kind: PreVoted, Reject: true}) // under the own term: nothing rises by asking
			return
		}
		n.send(Member{m.From, m.Addr}, Message{Kind: PreVoted, Term: m.Term})
		if next := n.now.Add(n.askAgain()); n.role != Leader && next.After(n.deadline) { // so that not two stand at once
			n.deadline = next
		}
		return
	}
	grant := current && (n.role == Follower || n.role == PreCandidate) && (n.hard.Vote == "" || n.hard.Vote == m.From)
	if grant {
		if n.role == PreCandidate {
			n.follow("", "")
		}
		n.hard.Vote, n.dirty = m.From, true
		n.deadline = n.now.Add(n.electionTime())
	}
	n.send(Member{m.From, m.Addr}, Message{Kind: Voted, Reject: !grant})
}

// onAppend follows a leader of the present term.
func (n *Node) onAppend(m Message) {
	if n.role == Leader {
		return // two leaders of one term: it can't be, and nothing of it is taken
	}
	if n.role != Follower || n.leader != m.From {
		n.follow(m.From, m.Addr)
	}
	n.heard, n.deadline = n.now, n.now.Add(n.electionTime())
	if at := n.now.Add(-m.Age); at.After(n.fresh) {
		n.fresh = at
	}
	answer := Message{Kind: Appended, Seq: m.Seq}
	if n.SeenHere != nil {
		answer.Seen = n.SeenHere()
	}
	if m.Kind == Install {
		s := m.Snapshot
		if t, ok := n.term(s.Index); ok && t == s.Term { // held already, and what follows it may have been promised
			n.commit = max(n.commit, s.Index)
		} else if s.Index > n.commit {
			n.snap, n.entries, n.commit, n.taken, n.saved, n.unsaved = *s, nil, s.Index, s.Index, s.Index, 0
			n.received = s
			n.refresh()
		}
		answer.Index = n.commit
		n.send(Member{m.From, m.Addr}, answer)
		return
	}
	if t, ok := n.term(m.Index); (!ok || t != m.LogTerm) && m.Index >= n.snap.Index {
		answer.Reject, answer.Index = true, min(n.last(), m.Index-1)
		for answer.Index > n.commit { // past what may differ: a term at a time
			if t, _ := n.term(answer.Index); t <= m.LogTerm {
				break
			}
			answer.Index--
		}
		n.send(Member{m.From, m.Addr}, answer)
		return
	}
	lastNew := m.Index
	for _, e := range m.Entries {
		lastNew = e.Index
		if e.Index <= n.snap.Index {
			continue
		}
		if t, ok := n.term(e.Index); ok && t == e.Term {
			continue
		} else if ok {
			n.entries = slices.Clip(n.entries[:e.Index-n.snap.Index-1])
			n.refresh()
		}
		n.entries = append(n.entries, e)
		if n.mark(e.Index); e.Conf != nil {
			n.refresh()
		}
	}
	n.commit = max(n.commit, min(m.Commit, lastNew))
	answer.Index = max(lastNew, n.snap.Index)
	n.send(Member{m.From, m.Addr}, answer)
}

func (n *Node) onAppended(m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.heard, p.Addr = n.now, m.Addr
	p.seq = max(p.seq, m.Seq)
	if n.Attended != nil && len(m.Seen) > 0 {
		n.Attended(m.Seen)
	}
	if m.Reject {
		p.next = max(min(p.next-1, m.Index+1), 1)
		if p.next <= p.match { // it has lost what it had; it says so itself
			p.match = p.next - 1
		}
		n.replicate(p, false)
	} else {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		if p.next <= n.last() {
			n.replicate(p, false)
		}
		n.advance()
	}
	n.settle()
}

// onJoin hears one that looks for a leader. A leader takes it on; others hand the question on once, for the asker may know
// the seeds alone, and the leader be none of them.
func (n *Node) onJoin(m Message) {
	if n.role != Leader && !m.Reject && n.leaderAt != "" && n.leader != m.From {
		m.Reject, m.ToAddr = true, n.leaderAt
		n.messages = append(n.messages, m)
	}
	if n.role != Leader || m.From == n.self.ID {
		return
	}
	p := n.peers[m.From]
	if p == nil {
		p = &progress{Member: Member{m.From, m.Addr}, heard: n.now}
		n.peers[m.From] = p
		p.next = n.last() + 1
	}
	if m.Term > n.hard.Term { // it stood while it was cut off: its term is passed, or it would refuse this leader
		n.enter(m.Term)
		n.follow("", "")
		return
	}
	p.next = min(p.next, n.last()+1)
	n.replicate(p, true)
}

// Compact stands a snapshot for all entries up to its index, which must be taken already.
func (n *Node) Compact(index uint64, data []byte) bool {
	if index <= n.snap.Index || index > n.taken {
		return false
	}
	t, _ := n.term(index)
	conf := n.snap.Conf
	for _, e := range n.entries[:index-n.snap.Index] {
		if e.Conf != nil {
			conf = e.Conf
		}
	}
	n.entries = slices.Clone(n.entries[index-n.snap.Index:])
	n.snap = Snapshot{Index: index, Term: t, Conf: conf, Data: data}
	return true
}

// Held is all that a disk needs to hold: for a new generation of it.
func (n *Node) Held() (Hard, Snapshot, []Entry) { return n.hard, n.snap, n.entries }

// Take returns what is to be done, and counts it as done.
func (n *Node) Take() Ready {
	var r Ready
	if n.dirty {
		h := n.hard
		r.Hard, n.dirty = &h, false
	}
	r.Snapshot, n.received = n.received, nil
	if n.unsaved > 0 {
		r.Entries = slices.Clone(n.entries[max(n.unsaved, n.snap.Index+1)-n.snap.Index-1:])
		n.unsaved = 0
	}
	r.Messages, n.messages = n.messages, nil
	r.Reads, n.reads = n.reads, nil
	if top := n.commit; top > n.taken {
		r.Committed = slices.Clone(n.entries[n.taken-n.snap.Index : top-n.snap.Index])
		n.taken = top
	}
	return r
}
