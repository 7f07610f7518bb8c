package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Every other machine asks to join and becomes a voter by itself, and a voter that stays silent is taken out while more than
// three are left: else exchanged seeds would hold the majority up.
func TestMembershipGrowsAndShrinks(t *testing.T) {
	w := newWorld(3, 2)
	w.run(30)
	l := w.leader()
	assert.Assert(t, l >= 0)
	assert.Equal(t, len(w.machines[l].node.Members()), 5)
	for gone := 0; gone < 2; gone++ { // a machine that is not the leader falls silent
		i := (w.leader() + 1) % len(w.machines)
		dead := address(i)
		for range 80 {
			for j, m := range w.machines {
				if j != i {
					m.node.Tick(m.node.now.Add(Usual.Heartbeat))
					w.settle(j)
				}
			}
			for len(w.mail) > 0 {
				if w.mail[0].ToAddr == dead {
					w.mail = w.mail[1:]
					continue
				}
				w.deliver(0, false)
			}
		}
		w.machines = append(w.machines[:i:i], w.machines[i+1:]...)
		l = w.leader()
		assert.Assert(t, l >= 0)
		assert.Equal(t, len(w.machines[l].node.Members()), 4-gone)
		break // addresses of the model follow the order of machines: one is enough here
	}
}

// A machine that was cut off does not unseat the leader when it comes back: its pre-votes raise no term.
func TestACutOffMachineUnseatsNobody(t *testing.T) {
	w := newWorld(3, 0)
	w.run(12)
	l := w.leader()
	term := w.machines[l].node.Term()
	cut := (l + 1) % 3
	for range 20 {
		w.timeout(cut)
		w.mail = nil
	}
	w.run(10)
	assert.Equal(t, w.leader(), l)
	assert.Equal(t, w.machines[l].node.Term(), term)
}

// A read barrier ends only after a majority has answered a round that began after it was asked for.
func TestBarrier(t *testing.T) {
	w := newWorld(3, 0)
	w.run(12)
	l := w.leader()
	n := w.machines[l].node
	n.Barrier(7)
	n.Flush()
	r := n.Take()
	assert.Equal(t, len(r.Reads), 0)
	assert.Equal(t, len(r.Messages), 2)
	stale := Message{Kind: Appended, From: r.Messages[0].To, To: n.self.ID, Addr: r.Messages[0].ToAddr, Term: n.Term(), Index: n.commit, Seq: r.Messages[0].Seq - 1}
	n.Step(n.now, stale)
	assert.Equal(t, len(n.Take().Reads), 0, "an answer to an earlier round")
	stale.Seq++
	n.Step(n.now, stale)
	reads := n.Take().Reads
	assert.DeepEqual(t, reads, []Read{{Token: 7, Index: n.commit, OK: true}})
	follower := w.machines[(l+1)%3].node
	follower.Barrier(9)
	assert.DeepEqual(t, follower.Take().Reads, []Read{{Token: 9}})
}

// A leader that hears no majority stops leading within twice the election's time, and says meanwhile that it is not fresh.
func TestACutOffLeaderGivesWay(t *testing.T) {
	w := newWorld(3, 0)
	w.run(12)
	n := w.machines[w.leader()].node
	assert.Assert(t, n.Fresh(900*time.Millisecond))
	for range 9 {
		n.Tick(n.now.Add(Usual.Heartbeat))
		n.Take()
	}
	assert.Assert(t, !n.Fresh(900*time.Millisecond))
	for range 3 {
		n.Tick(n.now.Add(Usual.Heartbeat))
	}
	assert.Assert(t, n.Role() != Leader, fmt.Sprint(n.Role()))
}

// A follower too far behind gets a snapshot, and a late one does not take back what it has promised since.
func TestSnapshotsTakeNothingBack(t *testing.T) {
	w := newWorld(3, 0)
	w.run(12)
	l := w.leader()
	behind := (l + 1) % 3
	for k := range 5 {
		w.propose(l, fmt.Sprint(k))
		for len(w.mail) > 0 {
			if w.mail[0].ToAddr == address(behind) {
				w.mail = w.mail[1:]
				continue
			}
			w.deliver(0, false)
		}
	}
	n := w.machines[l].node
	assert.Assert(t, n.Compact(n.commit, []byte("state")))
	w.machines[l].snap, w.machines[l].entries = n.snap, nil
	late := n.snap
	w.run(20)
	f := w.machines[behind].node
	assert.Equal(t, f.commit, n.commit)
	assert.Equal(t, string(f.snap.Data), "state")
	w.propose(l, "after")
	w.run(2)
	before := f.last()
	late.Index--
	f.Step(f.now, Message{Kind: Install, From: n.self.ID, Addr: n.self.Addr, Term: n.Term(), Snapshot: &late})
	assert.Equal(t, f.last(), before)
}

// After a loss of power machines come up one after the other. One that asked for votes before a majority was up waited for a whole election
// time, half a second and more, with nobody leading; now it asks again soon, and raises no term by it. Whoever promises another one its vote
// waits as long, so that not two stand at once.
func TestVotesAreAskedAboutAgainSoon(t *testing.T) {
	members := []Member{{"a", "a"}, {"b", "b"}, {"c", "c"}}
	begin := time.Unix(0, 0)
	for seed := range uint64(20) {
		n := New(members[0], Hard{Term: 3}, Snapshot{Conf: members}, nil, nil, Usual, seed, begin)
		asked := map[time.Time]bool{}
		now := begin
		tick := func() (stood bool) {
			now = now.Add(5 * time.Millisecond)
			n.Tick(now)
			for _, m := range n.Take().Messages {
				stood = stood || m.Kind == PreVote
			}
			return stood
		}
		for now.Before(begin.Add(time.Second)) {
			if tick() {
				asked[now] = true
			}
		}
		assert.Assert(t, len(asked) >= 4, "asked %d times in a second", len(asked))
		assert.Equal(t, n.Term(), uint64(3))

		n.Step(now, Message{Kind: PreVote, From: "b", Addr: "b", To: "a", Term: 4, LogTerm: 0})
		until := now.Add(Usual.Election / 4)
		for now.Before(until.Add(-10 * time.Millisecond)) {
			assert.Assert(t, !tick(), "stands beside the one that it promised its vote")
		}
		for ok := false; !ok; ok = tick() {
			assert.Assert(t, now.Before(until.Add(Usual.Election)), "never stands again")
		}
	}
}
