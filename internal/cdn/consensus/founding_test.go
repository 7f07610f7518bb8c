package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testFounders = []Member{{"a", address(0)}, {"b", address(1)}, {"c", address(2)}}

// emptyNode returns a node with an empty disk that is not at its first start, at the address of the first founder.
func emptyNode() *Node {
	return New(Config{Self: Member{"a~1", address(0)}, Founders: testFounders, Timing: DefaultTiming, Tolerate: 1}, startTime)
}

// emptyJoin returns the Join of a founder without entries.
func emptyJoin(i int, term uint64, founded bool) Message {
	return Message{From: testFounders[i].ID + "~1", Addr: address(i), Term: term, Join: &Join{Founders: testFounders, Founded: founded}}
}

// mayFound reports whether a node may found the core at a time since its start, after the Joins have come in just before.
func mayFound(n *Node, after time.Duration, joins ...Message) (term uint64, ok bool) {
	now := startTime.Add(after)
	for _, m := range joins {
		n.Step(now, m)
	}
	n.Tick(now)
	_, _, term, ok = n.MayFound()
	return term, ok
}

// An empty disk founds the core only if every other founder has just told that it has no entries, and only after the time in which an
// existing core would be heard from. Its term is above those of the others.
func TestFoundingNeedsAllFounders(t *testing.T) {
	others := []Message{emptyJoin(1, 4, true), emptyJoin(2, 0, false)}
	term, ok := mayFound(emptyNode(), foundingDelay, others...)
	assert.Assert(t, ok)
	assert.Equal(t, term, uint64(5))

	_, ok = mayFound(emptyNode(), foundingDelay/2, others...)
	assert.Assert(t, !ok, "too early")
	_, ok = mayFound(emptyNode(), foundingDelay, others[0])
	assert.Assert(t, !ok, "one founder has told nothing")
	n := emptyNode()
	mayFound(n, foundingDelay/4, others[1])
	_, ok = mayFound(n, foundingDelay/4+2*foundingTimeout, others[0])
	assert.Assert(t, !ok, "one founder has told nothing lately")
	other := emptyJoin(2, 0, false)
	other.Join.Founders = []Member{testFounders[0], testFounders[2], {"d", address(3)}}
	_, ok = mayFound(emptyNode(), foundingDelay, others[0], other)
	assert.Assert(t, !ok, "the founders differ")
}

// A founder that has its membership on disk names the founders to a machine whose settings name others by now.
func TestFoundersAreNamedByFoundedNode(t *testing.T) {
	n := emptyNode()
	n.founders = []Member{{"d", address(3)}, {"e", address(4)}, {"f", address(5)}}
	_, ok := mayFound(n, foundingDelay, emptyJoin(1, 0, true), emptyJoin(2, 0, false))
	assert.Assert(t, ok)
}

// Whatever shows that a core exists forbids to found another one, for the life of the process: entries at any machine, a leader's message,
// also to the ID that this machine had before, or the state that a process holds.
func TestExistingCoreIsNotFoundedAnew(t *testing.T) {
	others := []Message{emptyJoin(1, 0, false), emptyJoin(2, 0, false)}
	evidence := map[string]func(*Node){
		"a machine joins with entries": func(n *Node) { n.Step(startTime, Message{From: "d", Addr: address(3), Join: &Join{LastIndex: 7}}) },
		"a leader sends to the earlier ID": func(n *Node) {
			n.Step(startTime, Message{From: "d", To: "a", Addr: address(3), Term: 1, Append: &Append{}})
		},
		"a snapshot is offered": func(n *Node) {
			n.Step(startTime, Message{From: "d", To: "a", Addr: address(3), Piece: &SnapshotPiece{}})
		},
		"a machine with entries campaigns": func(n *Node) {
			n.Step(startTime, Message{From: "d", To: "a", Addr: address(3), PreVote: &VoteRequest{LastIndex: 1}})
		},
		"a process holds a state":            func(n *Node) { n.ObserveCore() },
		"a founder without entries campaign": nil,
	}
	for name, show := range evidence {
		n := emptyNode()
		if show == nil {
			n.Step(startTime, Message{From: "b", To: "a", Addr: address(1), Term: 1, PreVote: &VoteRequest{}})
		} else {
			show(n)
		}
		_, ok := mayFound(n, foundingDelay, others...)
		assert.Equal(t, ok, show == nil, name)
		assert.Equal(t, len(n.foundersForJoin()) > 0, show == nil, "%s: what it tells the others", name)
	}
}

// foundIfAllowed replaces a machine's node by that of a founder if it may be one, as its host does.
func (w *world) foundIfAllowed(i int) {
	m := w.machines[i]
	if _, founders, term, ok := m.node.MayFound(); ok {
		m.hard, m.snap.Membership.Voters, m.diskLosses = HardState{Term: term}, founders, 0
		w.start(i)
	}
}

// A machine that has lost its disk, together with a founder that was never reached, is a majority of the founders without what the third
// one and the lost disk had committed. It must not take its former place: with the check disabled a committed entry is replaced.
func TestFoundingWithoutAskingLosesEntries(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		w := newWorldWith(DisabledSafeguards{FoundWithoutAsking: disabled})
		const unreached = 2
		w.runWithout(20, unreached)
		leader := w.leader()
		assert.Assert(t, leader >= 0)
		w.machines[leader].node.Propose([]byte("acknowledged"))
		w.runWithout(5, unreached)
		assert.Assert(t, len(w.committed) > 1)

		m := w.machines[leader]
		founders := m.node.Membership().Voters
		m.hard, m.snap, m.entries, m.diskLosses = HardState{}, Snapshot{}, nil, 1
		m.node = New(Config{Self: Member{w.memberID(leader), address(leader)}, Founders: founders, Timing: DefaultTiming, Tolerate: 1, Weak: w.faults}, startTime)
		for range 80 {
			w.runWithout(1, 1-leader)
			w.foundIfAllowed(leader)
		}
		if !disabled {
			assert.Assert(t, !m.node.isFounded(), "founded beside a core that has acknowledged something")
			continue
		}
		l := w.leader()
		assert.Assert(t, l >= 0, "no leader without the check")
		w.machines[l].node.Propose([]byte("another one"))
		w.runWithout(5, 1-leader)
		assert.Assert(t, w.violation != "", "the check is not needed")
	}
}
