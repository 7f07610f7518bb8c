package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/explore"

	"gotest.tools/v3/assert"
)

// machine is one core machine of the model: a node, and the disk that outlives it.
type machine struct {
	node    *Node
	hard    HardState
	snap    Snapshot
	entries []Entry
	life    int // of its disk
}

// world is a few machines and what is on its way between them. Messages are lost by not being delivered, and arrive in any order.
type world struct {
	machines  []*machine
	mail      []Message
	committed map[uint64]string // by index: term and content, as some machine has taken it
	leaders   map[uint64]string // by term
	broken    string
	// What may still happen.
	timeouts, proposals, crashes, wipes, doubles, beats, snapshots int
	sameID                                                         bool // the seeded fault: a lost disk comes back under the old name, and votes
	weak                                                           Weaknesses
}

var epoch = time.Unix(1_000_000, 0)

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func newWorld(voters, others int) *world {
	w := &world{committed: map[uint64]string{}, leaders: map[uint64]string{}}
	var conf []Member
	for i := range voters {
		conf = append(conf, Member{fmt.Sprint(i), address(i)})
	}
	for i := range voters + others {
		m := &machine{}
		if i < voters {
			m.snap.Membership.Voters = conf
		}
		w.machines = append(w.machines, m)
		w.start(i)
	}
	return w
}

func (w *world) name(i int) string {
	if m := w.machines[i]; m.life > 0 && !w.sameID {
		return fmt.Sprintf("%d~%d", i, m.life)
	}
	return fmt.Sprint(i)
}

// start starts a machine's process from its disk.
func (w *world) start(i int) {
	m := w.machines[i]
	m.node = New(Config{Self: Member{w.name(i), address(i)}, Hard: m.hard, Snapshot: m.snap, Entries: slices.Clone(m.entries),
		Contacts: []string{address(0), address(1), address(2)}, Timing: Usual, Tolerate: 1, Seed: uint64(i), Weak: w.weak}, epoch)
}

func cloneNode(n *Node) *Node {
	c := *n
	// The lots it draws are for deadlines alone, which the model does not read: it may share them.
	c.entries, c.messages, c.reads = slices.Clone(n.entries), slices.Clone(n.messages), slices.Clone(n.reads)
	c.votes, c.stamps, c.retired = maps.Clone(n.votes), maps.Clone(n.stamps), maps.Clone(n.retired)
	c.rounds, c.barriers = slices.Clone(n.rounds), slices.Clone(n.barriers)
	if n.incoming != nil {
		in := *n.incoming
		in.data = slices.Clone(in.data)
		c.incoming = &in
	}
	if n.peers != nil {
		c.peers = map[string]*progress{}
		for id, p := range n.peers {
			q := *p
			q.window = slices.Clone(p.window)
			if p.transfer != nil {
				t := *p.transfer
				q.transfer = &t
			}
			c.peers[id] = &q
		}
	}
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.machines = nil
	for _, m := range w.machines {
		d := *m
		d.node, d.entries = cloneNode(m.node), slices.Clone(m.entries)
		c.machines = append(c.machines, &d)
	}
	c.mail, c.committed, c.leaders = slices.Clone(w.mail), maps.Clone(w.committed), maps.Clone(w.leaders)
	return &c
}

// settle carries out what a machine's node has ready, as the host does, and checks the invariants.
func (w *world) settle(i int) {
	m := w.machines[i]
	m.node.Flush()
	for {
		r := m.node.Take()
		if r.Empty() {
			break
		}
		if r.Hard != nil {
			m.hard = *r.Hard
		}
		if r.Snapshot != nil {
			m.snap, m.entries = *r.Snapshot, nil
		}
		for _, e := range r.Entries {
			m.entries = append(m.entries[:e.Index-m.snap.Index-1:e.Index-m.snap.Index-1], e)
		}
		m.node.Saved()
		w.mail = append(w.mail, r.Messages...)
		for _, e := range r.Committed {
			is := fmt.Sprint(e.Term, e.Membership, string(e.Data))
			if was, ok := w.committed[e.Index]; ok && was != is {
				w.broken = fmt.Sprintf("entry %d was %s and is %s at %d", e.Index, was, is, i)
			}
			w.committed[e.Index] = is
		}
	}
	if m.node.role == Leader {
		if was, ok := w.leaders[m.node.Term()]; ok && was != w.name(i) {
			w.broken = fmt.Sprintf("two leaders in term %d: %s and %s", m.node.Term(), was, w.name(i))
		}
		w.leaders[m.node.Term()] = w.name(i)
	}
}

func (w *world) at(addr string) int {
	for i := range w.machines {
		if address(i) == addr {
			return i
		}
	}
	return -1
}

func (w *world) deliver(k int, keep bool) {
	m := w.mail[k]
	if !keep {
		w.mail = slices.Delete(w.mail, k, k+1)
	}
	if i := w.at(m.ToAddr); i >= 0 {
		n := w.machines[i].node
		n.Step(n.now, m)
		w.settle(i)
	}
}

func (w *world) timeout(i int) {
	n := w.machines[i].node
	n.Tick(n.now.Add(3 * Usual.Election))
	w.settle(i)
}

func (w *world) beat(i int) {
	n := w.machines[i].node
	n.Tick(n.now.Add(Usual.Heartbeat))
	w.settle(i)
}

// compact stands a snapshot for all that a machine has taken, in memory and on its disk, and keeps no tail.
func (w *world) compact(i int) {
	m := w.machines[i]
	if !m.node.Compact(m.node.taken, []byte("state")) {
		return
	}
	m.node.log = newLog(m.node.snap, slices.Clone(m.node.behindSnapshot()))
	m.snap, m.entries = m.node.snap, slices.Clone(m.node.behindSnapshot())
}

func (w *world) propose(i int, text string) bool {
	_, _, ok := w.machines[i].node.Propose([]byte(text))
	w.settle(i)
	return ok
}

func (w *world) crash(i int) { w.start(i) }

func (w *world) wipe(i int) {
	m := w.machines[i]
	life := m.life + 1
	conf := Snapshot{}
	if w.sameID {
		conf.Membership = w.machines[i].snap.Membership
	}
	*m = machine{life: life, snap: conf}
	w.start(i)
}

// run delivers everything, in order, and lets time pass in between, as on a quiet day.
func (w *world) run(rounds int) {
	for range rounds {
		for i, m := range w.machines {
			m.node.Tick(m.node.now.Add(Usual.Heartbeat))
			w.settle(i)
		}
		for n := 0; len(w.mail) > 0 && n < 1000; n++ {
			w.deliver(0, false)
		}
	}
}

func (w *world) leader() int {
	best := -1
	for i, m := range w.machines {
		if m.node.role == Leader && (best < 0 || m.node.Term() > w.machines[best].node.Term()) {
			best = i
		}
	}
	return best
}

// id writes out what tells states apart, by hand: a walk calls it for each one.
func (w *world) id() string {
	b := make([]byte, 0, 512)
	num := func(all ...uint64) {
		for _, n := range all {
			b = append(strconv.AppendUint(b, n, 36), ' ')
		}
	}
	text := func(s string) { b = append(append(b, s...), ' ') }
	flag := func(f bool) {
		if f {
			b = append(b, '!')
		}
	}
	for _, m := range w.machines {
		n := m.node
		text(n.self.ID)
		num(uint64(n.role), n.hard.Term, n.commit, n.snap.Index, n.membershipAt, n.saved, uint64(len(n.membership.Voters)), uint64(len(n.membership.Outgoing)))
		text(n.hard.Vote)
		text(n.leader)
		flag(n.now.Sub(n.heard) < Usual.Election)
		for _, e := range n.entries {
			num(e.Term)
			flag(e.Membership != nil)
			b = append(b, e.Data...)
		}
		for _, id := range slices.Sorted(maps.Keys(n.votes)) {
			text(id)
			flag(n.votes[id])
		}
		for _, id := range sortedIDs(n.peers) {
			text(id)
			num(n.peers[id].match, n.peers[id].next)
			flag(n.peers[id].transfer != nil)
		}
		b = append(b, '\n')
	}
	mail := make([]string, 0, len(w.mail))
	state := b
	for _, m := range w.mail {
		b = nil
		text(m.From)
		text(m.ToAddr)
		text(m.To)
		num(m.Term)
		b = appendPayload(b, m)
		mail = append(mail, string(b))
	}
	sort.Strings(mail)
	b = state
	for _, m := range mail {
		text(m)
	}
	num(uint64(w.timeouts), uint64(w.proposals), uint64(w.crashes), uint64(w.wipes), uint64(w.doubles), uint64(w.beats), uint64(w.snapshots))
	return string(b)
}

func (w *world) next() (all []explore.Step[*world]) {
	add := func(name string, do func(*world)) {
		c := w.clone()
		do(c)
		all = append(all, explore.Step[*world]{Name: name, Then: c})
	}
	for k, m := range w.mail {
		if m.Join == nil {
			add(fmt.Sprintf("deliver %s %s>%s", appendPayload(nil, m), m.From, m.ToAddr), func(c *world) { c.deliver(k, false) })
		}
		if w.doubles > 0 && m.Join == nil {
			add("double", func(c *world) { c.doubles--; c.deliver(k, true) })
		}
	}
	for i := range w.machines {
		if w.timeouts > 0 {
			add(fmt.Sprint("timeout ", i), func(c *world) { c.timeouts--; c.timeout(i) })
		}
		if w.proposals > 0 && w.machines[i].node.role == Leader {
			add(fmt.Sprint("propose ", i), func(c *world) { c.proposals--; c.propose(i, "x") })
		}
		if w.crashes > 0 {
			add(fmt.Sprint("crash ", i), func(c *world) { c.crashes--; c.crash(i) })
		}
		if w.beats > 0 && w.machines[i].node.role == Leader {
			add(fmt.Sprint("beat ", i), func(c *world) { c.beats--; c.beat(i) })
		}
		if n := w.machines[i].node; w.snapshots > 0 && n.taken > n.snap.Index {
			add(fmt.Sprint("snapshot ", i), func(c *world) { c.snapshots--; c.compact(i) })
		}
		if w.wipes > 0 {
			add(fmt.Sprint("wipe ", i), func(c *world) { c.wipes--; c.wipe(i) })
		}
	}
	return all
}

// elected is a world in which machine 0 leads and its entry is committed by 0 and 1 alone: 2 has heard nothing of it.
func elected(t *testing.T) *world {
	t.Helper()
	w := newWorld(3, 0)
	w.timeout(0)
	for len(w.mail) > 0 {
		if w.mail[0].ToAddr == address(2) {
			w.mail = w.mail[1:]
			continue
		}
		w.deliver(0, false)
	}
	assert.Equal(t, w.leader(), 0)
	assert.Assert(t, w.propose(0, "kept"))
	for len(w.mail) > 0 {
		if w.mail[0].ToAddr == address(2) {
			w.mail = w.mail[1:]
			continue
		}
		w.deliver(0, false)
	}
	assert.Assert(t, strings.Contains(w.committed[2], "kept"), "%v", w.committed)
	return w
}

func walk(start *world, most int) (fault string, way []string, states int) {
	return explore.Model[*world]{Start: start, Next: (*world).next, Fault: func(w *world) string { return w.broken }, ID: (*world).id, Most: most}.Walk()
}

// Whatever order messages, timeouts, crashes, a lost disk and doubled messages come in, one leader a term and nothing that was
// taken is taken back.
func TestAllOrders(t *testing.T) {
	cases := []struct {
		name                                         string
		timeouts, proposals, crashes, wipes, doubles int
	}{
		{"elections", 3, 1, 0, 0, 0},
		{"a lost disk", 3, 0, 0, 1, 0},
		{"a crash", 2, 1, 1, 0, 0},
		{"a doubled message", 2, 1, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := elected(t)
			w.timeouts, w.proposals, w.crashes, w.wipes, w.doubles = c.timeouts, c.proposals, c.crashes, c.wipes, c.doubles
			fault, way, states := walk(w, 12_000)
			assert.Equal(t, fault, "", "after %v", way)
			t.Log(states, "states")
		})
	}
}

// appendPayload writes out what a message says, and none of its times.
func appendPayload(b []byte, m Message) []byte {
	vote := func(name string, v *VoteRequest) { b = fmt.Append(b, name, v.LastIndex, " ", v.LastTerm, v.Transfer) }
	switch {
	case m.PreVote != nil:
		vote("prevote", m.PreVote)
	case m.Vote != nil:
		vote("vote", m.Vote)
	case m.PreVoteReply != nil:
		b = fmt.Append(b, "prevoted", m.PreVoteReply.Granted)
	case m.VoteReply != nil:
		b = fmt.Append(b, "voted", m.VoteReply.Granted)
	case m.Append != nil:
		b = fmt.Append(b, "append", m.Append.PrevIndex, " ", m.Append.PrevTerm, " ", m.Append.Commit)
		for _, e := range m.Append.Entries {
			b = fmt.Append(b, " ", e.Term)
		}
	case m.Appended != nil:
		b = fmt.Append(b, "appended", m.Appended.Match, m.Appended.Rejected)
	case m.Piece != nil:
		b = fmt.Append(b, "piece", m.Piece.Index, " ", m.Piece.Offset, " ", len(m.Piece.Data))
	case m.PieceTaken != nil:
		b = fmt.Append(b, "taken", m.PieceTaken.Index, " ", m.PieceTaken.Offset)
	case m.TakeOver != nil:
		b = fmt.Append(b, "takeover")
	case m.Leave != nil:
		b = fmt.Append(b, "leave")
	case m.LeaveReply != nil:
		b = fmt.Append(b, "left", m.LeaveReply.Done)
	}
	return b
}

// joining is a world of three voters, one of whose disks was lost: its machine has come back under another identity and has
// caught up, so that the leader's next beat begins to put it in the place of the old one.
func joining(t *testing.T) *world {
	t.Helper()
	w := newWorld(3, 0)
	w.run(12)
	l := w.leader()
	lost := (l + 1) % 3
	w.wipe(lost)
	for range 40 {
		w.run(1)
		if p := w.machines[w.leader()].node.peers[w.name(lost)]; p != nil && !p.voter && p.match > 0 {
			break
		}
	}
	n := w.machines[w.leader()].node
	assert.Assert(t, n.peers[w.name(lost)] != nil && !n.membership.Joint(), "%v", n.membership)
	w.mail = nil
	return w
}

// The same while a lost member is replaced, with a snapshot in between: whatever order it comes in, no entry that was taken
// is taken back, and no set that can decide alone meets another one.
func TestAllOrdersOfAReplacement(t *testing.T) {
	cases := []struct {
		name                                                  string
		beats, timeouts, proposals, crashes, snapshots, wipes int
	}{
		{"a replacement and elections", 2, 2, 0, 0, 0, 0},
		{"a replacement and a snapshot", 2, 1, 0, 0, 1, 0},
		{"a replacement and a crash", 2, 1, 0, 1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := joining(t)
			w.beats, w.timeouts, w.proposals, w.crashes, w.snapshots = c.beats, c.timeouts, c.proposals, c.crashes, c.snapshots
			fault, way, states := walk(w, 12_000)
			assert.Equal(t, fault, "", "after %v", way)
			t.Log(states, "states")
		})
	}
}

// The walk finds the fault that is seeded: a machine that lost its disk and votes under its old name lets an entry be voted away.
func TestAllOrdersFindAVoteWithAnEmptyDisk(t *testing.T) {
	w := elected(t)
	w.sameID, w.timeouts, w.wipes = true, 2, 1
	fault, way, _ := walk(w, 60_000)
	assert.Assert(t, fault != "", "not found")
	t.Log(fault, way)
}

// Long random days with five machines, two of which join, under loss, doubling, reordering, crashes and lost disks, one at a time.
func TestLongDays(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(3, 2)
		w.run(12)
		acked := 0
		for step := range 500 {
			i := rng.IntN(len(w.machines))
			switch x := rng.IntN(100); {
			case x < 55 && len(w.mail) > 0:
				w.deliver(rng.IntN(len(w.mail)), rng.IntN(12) == 0)
			case x < 65 && len(w.mail) > 0:
				w.mail = slices.Delete(w.mail, 0, 1)
			case x < 80:
				w.machines[i].node.Tick(w.machines[i].node.now.Add(Usual.Heartbeat))
				w.settle(i)
			case x < 84:
				w.timeout(i)
			case x < 88:
				w.crash(i)
			case x < 97:
				if l := w.leader(); l >= 0 {
					w.propose(l, fmt.Sprint(step))
				}
			case step%100 == 99 && len(w.committed) > acked: // the others have come back since the last one
				w.run(120)
				acked = len(w.committed)
				w.wipe(i)
				w.run(120)
			}
			if len(w.mail) > 200 {
				w.mail = w.mail[100:]
			}
			assert.Equal(t, w.broken, "", "seed %d step %d", seed, step)
		}
		w.run(150)
		assert.Equal(t, w.broken, "", "seed %d", seed)
		l := w.leader()
		assert.Assert(t, l >= 0, "seed %d: nobody leads when all is calm", seed)
		assert.Equal(t, len(w.machines[l].node.Membership().Voters), 5, "seed %d: %v", seed, w.machines[l].node.Membership())
		for i, m := range w.machines {
			assert.Equal(t, m.node.commit, w.machines[l].node.commit, "seed %d machine %d", seed, i)
		}
	}
}
