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

// machine is a simulated machine: a node, and the contents of its disk, which survive a crash.
type machine struct {
	node       *Node
	hard       HardState
	snap       Snapshot
	entries    []Entry
	diskLosses int // number of times the disk was lost
}

// world is a set of machines and the messages in flight between them. Messages may arrive in any order, and are lost by never
// being delivered.
type world struct {
	machines  []*machine
	inFlight  []Message
	committed map[uint64]string // term and content of committed entries, by index
	leaders   map[uint64]string // member IDs, by term
	violation string            // the violated invariant; empty: none
	// The number of events of each kind that may still happen.
	timeouts, proposals, crashes, wipes, duplicates, heartbeats, snapshots int
	sameID                                                                 bool // injected fault: a machine keeps its ID without its disk
	faults                                                                 DisabledSafeguards
}

var startTime = time.Unix(1_000_000, 0)

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// newWorld returns a world of machines that are voters and of others that are not members yet.
func newWorld(voters, others int) *world {
	w := &world{committed: map[uint64]string{}, leaders: map[uint64]string{}}
	var members []Member
	for i := range voters {
		members = append(members, Member{fmt.Sprint(i), address(i)})
	}
	for i := range voters + others {
		m := &machine{}
		if i < voters {
			m.snap.Membership.Voters = members
		}
		w.machines = append(w.machines, m)
		w.start(i)
	}
	return w
}

// memberID returns a machine's member ID, which changes with each loss of its disk.
func (w *world) memberID(i int) string {
	if m := w.machines[i]; m.diskLosses > 0 && !w.sameID {
		return fmt.Sprintf("%d~%d", i, m.diskLosses)
	}
	return fmt.Sprint(i)
}

// start starts a machine's process from the contents of its disk.
func (w *world) start(i int) {
	m := w.machines[i]
	m.node = New(Config{Self: Member{w.memberID(i), address(i)}, Hard: m.hard, Snapshot: m.snap, Entries: slices.Clone(m.entries),
		Contacts: []string{address(0), address(1), address(2)}, Timing: DefaultTiming, Tolerate: 1, Seed: uint64(i), Weak: w.faults}, startTime)
}

// cloneNode returns a deep copy of a node.
func cloneNode(n *Node) *Node {
	c := *n
	// The random number generator is shared: it only affects deadlines, which the model does not use.
	c.entries, c.messages, c.reads = slices.Clone(n.entries), slices.Clone(n.messages), slices.Clone(n.reads)
	c.foundingReports = maps.Clone(n.foundingReports)
	c.votes, c.voteTimestamps, c.retiredIDs = maps.Clone(n.votes), maps.Clone(n.voteTimestamps), maps.Clone(n.retiredIDs)
	c.pendingRounds, c.barriers = slices.Clone(n.pendingRounds), slices.Clone(n.barriers)
	if n.incomingSnapshot != nil {
		in := *n.incomingSnapshot
		in.data = slices.Clone(in.data)
		c.incomingSnapshot = &in
	}
	if n.peers != nil {
		c.peers = map[string]*progress{}
		for id, p := range n.peers {
			q := *p
			q.inFlight = slices.Clone(p.inFlight)
			if p.outgoingSnapshot != nil {
				t := *p.outgoingSnapshot
				q.outgoingSnapshot = &t
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
	c.inFlight, c.committed, c.leaders = slices.Clone(w.inFlight), maps.Clone(w.committed), maps.Clone(w.leaders)
	return &c
}

// processReady carries out the pending work of a machine's node, as the host does, and checks the invariants.
func (w *world) processReady(i int) {
	m := w.machines[i]
	m.node.Flush()
	for {
		r := m.node.TakeReady()
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
		m.node.MarkSaved()
		w.inFlight = append(w.inFlight, r.Messages...)
		for _, e := range r.Committed {
			current := fmt.Sprint(e.Term, e.Membership, string(e.Data))
			if previous, ok := w.committed[e.Index]; ok && previous != current {
				w.violation = fmt.Sprintf("entry %d was %s and is %s at %d", e.Index, previous, current, i)
			}
			w.committed[e.Index] = current
		}
	}
	if m.node.role == Leader {
		if previous, ok := w.leaders[m.node.Term()]; ok && previous != w.memberID(i) {
			w.violation = fmt.Sprintf("two leaders in term %d: %s and %s", m.node.Term(), previous, w.memberID(i))
		}
		w.leaders[m.node.Term()] = w.memberID(i)
	}
}

// machineAt returns the index of the machine with an address, or -1.
func (w *world) machineAt(addr string) int {
	for i := range w.machines {
		if address(i) == addr {
			return i
		}
	}
	return -1
}

// deliver delivers an in-flight message. With keep it stays in flight and can be delivered again.
func (w *world) deliver(index int, keep bool) {
	m := w.inFlight[index]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	if i := w.machineAt(m.ToAddr); i >= 0 {
		n := w.machines[i].node
		n.Step(n.now, m)
		w.processReady(i)
	}
}

// timeout advances a machine's clock beyond any election timeout.
func (w *world) timeout(i int) {
	n := w.machines[i].node
	n.Tick(n.now.Add(3 * DefaultTiming.Election))
	w.processReady(i)
}

// heartbeat advances a machine's clock by one heartbeat interval.
func (w *world) heartbeat(i int) {
	n := w.machines[i].node
	n.Tick(n.now.Add(DefaultTiming.Heartbeat))
	w.processReady(i)
}

// compact replaces all delivered entries by a snapshot, in a machine's memory and on its disk, and keeps no tail.
func (w *world) compact(i int) {
	m := w.machines[i]
	if !m.node.Compact(m.node.deliveredIndex, []byte("state")) {
		return
	}
	m.node.log = newLog(m.node.snap, slices.Clone(m.node.afterSnapshot()))
	m.snap, m.entries = m.node.snap, slices.Clone(m.node.afterSnapshot())
}

func (w *world) propose(i int, text string) bool {
	_, _, ok := w.machines[i].node.Propose([]byte(text))
	w.processReady(i)
	return ok
}

// crash restarts a machine's process from its disk.
func (w *world) crash(i int) { w.start(i) }

// wipe restarts a machine with an empty disk.
func (w *world) wipe(i int) {
	m := w.machines[i]
	diskLosses := m.diskLosses + 1
	snapshot := Snapshot{}
	if w.sameID {
		snapshot.Membership = w.machines[i].snap.Membership
	}
	*m = machine{diskLosses: diskLosses, snap: snapshot}
	w.start(i)
}

// run runs the given number of heartbeat intervals without faults: all messages are delivered in order.
func (w *world) run(rounds int) {
	for range rounds {
		for i, m := range w.machines {
			m.node.Tick(m.node.now.Add(DefaultTiming.Heartbeat))
			w.processReady(i)
		}
		for n := 0; len(w.inFlight) > 0 && n < 1000; n++ {
			w.deliver(0, false)
		}
	}
}

// leader returns the index of the leader with the highest term, or -1.
func (w *world) leader() int {
	best := -1
	for i, m := range w.machines {
		if m.node.role == Leader && (best < 0 || m.node.Term() > w.machines[best].node.Term()) {
			best = i
		}
	}
	return best
}

// stateKey returns a string that is equal for states that need not be distinguished. It is encoded by hand, for speed, since it is
// computed for every state explored.
func (w *world) stateKey() string {
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
		num(uint64(n.role), n.hard.Term, n.commitIndex, n.snap.Index, n.membershipIndex, n.savedIndex,
			uint64(len(n.membership.Voters)), uint64(len(n.membership.Outgoing)))
		text(n.hard.Vote)
		text(n.leader)
		flag(n.now.Sub(n.leaderHeardAt) < DefaultTiming.Election)
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
			flag(n.peers[id].outgoingSnapshot != nil)
		}
		b = append(b, '\n')
	}
	inFlight := make([]string, 0, len(w.inFlight))
	state := b
	for _, m := range w.inFlight {
		b = nil
		text(m.From)
		text(m.ToAddr)
		text(m.To)
		num(m.Term)
		b = appendPayload(b, m)
		inFlight = append(inFlight, string(b))
	}
	sort.Strings(inFlight)
	b = state
	for _, m := range inFlight {
		text(m)
	}
	num(uint64(w.timeouts), uint64(w.proposals), uint64(w.crashes), uint64(w.wipes), uint64(w.duplicates),
		uint64(w.heartbeats), uint64(w.snapshots))
	return string(b)
}

// nextSteps returns every event that may happen next, with the state after it.
func (w *world) nextSteps() (all []explore.Step[*world]) {
	add := func(name string, do func(*world)) {
		c := w.clone()
		do(c)
		all = append(all, explore.Step[*world]{Name: name, State: c})
	}
	for k, m := range w.inFlight {
		if m.Join == nil {
			add(fmt.Sprintf("deliver %s %s>%s", appendPayload(nil, m), m.From, m.ToAddr), func(c *world) { c.deliver(k, false) })
		}
		if w.duplicates > 0 && m.Join == nil {
			add("double", func(c *world) { c.duplicates--; c.deliver(k, true) })
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
		if w.heartbeats > 0 && w.machines[i].node.role == Leader {
			add(fmt.Sprint("beat ", i), func(c *world) { c.heartbeats--; c.heartbeat(i) })
		}
		if n := w.machines[i].node; w.snapshots > 0 && n.deliveredIndex > n.snap.Index {
			add(fmt.Sprint("snapshot ", i), func(c *world) { c.snapshots--; c.compact(i) })
		}
		if w.wipes > 0 {
			add(fmt.Sprint("wipe ", i), func(c *world) { c.wipes--; c.wipe(i) })
		}
	}
	return all
}

// electedWorld returns a world in which machine 0 leads and its entry is committed on machines 0 and 1 only: machine 2 has received
// no message.
func electedWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(3, 0)
	w.timeout(0)
	for len(w.inFlight) > 0 {
		if w.inFlight[0].ToAddr == address(2) {
			w.inFlight = w.inFlight[1:]
			continue
		}
		w.deliver(0, false)
	}
	assert.Equal(t, w.leader(), 0)
	assert.Assert(t, w.propose(0, "kept"))
	for len(w.inFlight) > 0 {
		if w.inFlight[0].ToAddr == address(2) {
			w.inFlight = w.inFlight[1:]
			continue
		}
		w.deliver(0, false)
	}
	assert.Assert(t, strings.Contains(w.committed[2], "kept"), "%v", w.committed)
	return w
}

// walk explores the states reachable from start, at most maxStates of them. It returns the first violation of an invariant with
// the steps that lead to it, and the number of states explored.
func walk(start *world, maxStates int) (violation string, steps []string, states int) {
	return explore.Model[*world]{Start: start, Next: (*world).nextSteps, Fault: func(w *world) string { return w.violation },
		ID: (*world).stateKey, MaxStates: maxStates}.Walk()
}

// In every order of messages, timeouts, crashes, duplicated messages and the loss of a disk, there is at most one leader a term,
// and a committed entry never changes.
func TestAllOrders(t *testing.T) {
	cases := []struct {
		name                                            string
		timeouts, proposals, crashes, wipes, duplicates int
	}{
		{"elections", 3, 1, 0, 0, 0},
		{"a lost disk", 3, 0, 0, 1, 0},
		{"a crash", 2, 1, 1, 0, 0},
		{"a duplicated message", 2, 1, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := electedWorld(t)
			w.timeouts, w.proposals, w.crashes, w.wipes, w.duplicates = c.timeouts, c.proposals, c.crashes, c.wipes, c.duplicates
			violation, steps, states := walk(w, 12_000)
			assert.Equal(t, violation, "", "after %v", steps)
			t.Log(states, "states")
		})
	}
}

// appendPayload appends the contents of a message without its timestamps.
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

// joiningWorld returns a world of three voters, one of which has lost its disk. Its machine has rejoined under a new ID and caught
// up, so that the leader's next tick begins to replace the old ID.
func joiningWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(3, 0)
	w.run(12)
	l := w.leader()
	lost := (l + 1) % 3
	w.wipe(lost)
	for range 40 {
		w.run(1)
		if p := w.machines[w.leader()].node.peers[w.memberID(lost)]; p != nil && !p.voter && p.match > 0 {
			break
		}
	}
	n := w.machines[w.leader()].node
	assert.Assert(t, n.peers[w.memberID(lost)] != nil && !n.membership.Joint(), "%v", n.membership)
	w.inFlight = nil
	return w
}

// While a lost member is replaced, with a snapshot in between, in every order of events a committed entry never changes, and
// there are never two sets of voters in force that can decide independently.
func TestAllOrdersOfReplacement(t *testing.T) {
	cases := []struct {
		name                                                       string
		heartbeats, timeouts, proposals, crashes, snapshots, wipes int
	}{
		{"a replacement and elections", 2, 2, 0, 0, 0, 0},
		{"a replacement and a snapshot", 2, 1, 0, 0, 1, 0},
		{"a replacement and a crash", 2, 1, 0, 1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := joiningWorld(t)
			w.heartbeats, w.timeouts, w.proposals, w.crashes, w.snapshots = c.heartbeats, c.timeouts, c.proposals, c.crashes, c.snapshots
			violation, steps, states := walk(w, 12_000)
			assert.Equal(t, violation, "", "after %v", steps)
			t.Log(states, "states")
		})
	}
}

// The exploration detects the injected fault: if a machine that lost its disk votes under its old ID, a committed entry is lost.
func TestAllOrdersDetectVoteWithEmptyDisk(t *testing.T) {
	w := electedWorld(t)
	w.sameID, w.timeouts, w.wipes = true, 2, 1
	violation, steps, _ := walk(w, 60_000)
	assert.Assert(t, violation != "", "not found")
	t.Log(violation, steps)
}

// Long random runs of five machines, two of which join, with message loss, duplication and reordering, crashes, and the loss of
// disks, one at a time.
func TestRandomRuns(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(3, 2)
		w.run(12)
		acked := 0
		for step := range 500 {
			i := rng.IntN(len(w.machines))
			switch x := rng.IntN(100); {
			case x < 55 && len(w.inFlight) > 0:
				w.deliver(rng.IntN(len(w.inFlight)), rng.IntN(12) == 0)
			case x < 65 && len(w.inFlight) > 0:
				w.inFlight = slices.Delete(w.inFlight, 0, 1)
			case x < 80:
				w.machines[i].node.Tick(w.machines[i].node.now.Add(DefaultTiming.Heartbeat))
				w.processReady(i)
			case x < 84:
				w.timeout(i)
			case x < 88:
				w.crash(i)
			case x < 97:
				if l := w.leader(); l >= 0 {
					w.propose(l, fmt.Sprint(step))
				}
			case step%100 == 99 && len(w.committed) > acked: // the other machines have recovered since the last wipe
				w.run(120)
				acked = len(w.committed)
				w.wipe(i)
				w.run(120)
			}
			if len(w.inFlight) > 200 {
				w.inFlight = w.inFlight[100:]
			}
			assert.Equal(t, w.violation, "", "seed %d step %d", seed, step)
		}
		w.run(150)
		assert.Equal(t, w.violation, "", "seed %d", seed)
		l := w.leader()
		assert.Assert(t, l >= 0, "seed %d: no leader after a run without faults", seed)
		assert.Equal(t, len(w.machines[l].node.Membership().Voters), 5, "seed %d: %v", seed, w.machines[l].node.Membership())
		for i, m := range w.machines {
			assert.Equal(t, m.node.commitIndex, w.machines[l].node.commitIndex, "seed %d machine %d", seed, i)
		}
	}
}
