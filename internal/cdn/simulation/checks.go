package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/consensus"

	"github.com/anishathalye/porcupine"
)

// checks holds what the invariants are checked against.
type checks struct {
	committed           map[uint64]string // content by index
	lastCommitted       uint64
	leaders             map[uint64]string // ID of the leader by term
	model               serverModel
	closingAcknowledged map[string]bool // servers whose closing was acknowledged to them
	leaveAcknowledged   map[string]bool // servers whose leave was acknowledged to them
	commitTimes         []commitTime    // in the order of the log
}

// commitTime is the time at which some machine first took an entry as committed.
type commitTime struct {
	index uint64
	at    time.Time
	empty bool // the entry changes no state
}

// serverModel derives the servers from the log independently of the code under test.
type serverModel struct {
	servers map[string]bool
	closing map[string]bool
	removed map[string]bool
	epoch   uint64
}

func newChecks() checks {
	return checks{committed: map[uint64]string{}, leaders: map[uint64]string{}, closingAcknowledged: map[string]bool{}, leaveAcknowledged: map[string]bool{},
		model: serverModel{servers: map[string]bool{}, closing: map[string]bool{}, removed: map[string]bool{}}}
}

// checkCommitted checks that a machine commits the same entries as all others under the same indexes.
func (w *world) checkCommitted(h *host, entries []consensus.Entry) {
	for _, e := range entries {
		content := fmt.Sprintf("%d %v %s", e.Term, e.Membership, e.Data)
		known, seen := w.checks.committed[e.Index]
		switch {
		case !seen:
			w.checks.committed[e.Index] = content
			if e.Index == w.checks.lastCommitted+1 {
				w.checks.lastCommitted = e.Index
				if w.checks.model.apply(e) {
					w.recordAppointment(e.Index)
				}
				if w.clients.onFirstCommit != nil && (bytes.HasPrefix(e.Data, []byte(`{"put"`)) || bytes.HasPrefix(e.Data, []byte(`{"change"`))) {
					w.clients.onFirstCommit(h)
				}
				w.checks.commitTimes = append(w.checks.commitTimes, commitTime{e.Index, w.now, len(e.Data) == 0})
			} else {
				w.fail("entry %d was committed by host %d before the one after %d", e.Index, h.index, w.checks.lastCommitted)
			}
		case known != content:
			w.fail("entry %d was committed as %.200s and as %.200s by host %d", e.Index, known, content, h.index)
		}
	}
	if entries[len(entries)-1].Index == w.checks.lastCommitted {
		readState(h.machine, func(s *clusterstate.State) { w.checkServers(fmt.Sprint("host ", h.index), s) })
	}
}

// apply applies an entry to the servers as specified in docs/design. It reports whether the entry appoints a duty holder.
func (m *serverModel) apply(e consensus.Entry) (appointsHolder bool) {
	c, err := clusterstate.Decode(e.Data)
	switch {
	case err != nil || len(e.Data) == 0:
	case c.Appoint != "":
		m.epoch = e.Index
	case c.Server != nil && !m.removed[c.Server.ID]:
		m.servers[c.Server.ID] = true
		m.closing[c.Server.ID] = m.closing[c.Server.ID] || c.Server.State == clusterstate.ServerClosing
	case c.Leave != "":
		delete(m.servers, c.Leave)
		m.removed[c.Leave] = true
	case c.Lost != "" && c.Epoch >= m.epoch:
		delete(m.servers, c.Lost)
		m.removed[c.Lost] = m.removed[c.Lost] || m.closing[c.Lost]
	}
	return err == nil && c.Appoint != ""
}

// checkAfterStep checks after every step of a leader that its term has one leader and no fewer than 3 voters decide.
func (w *world) checkAfterStep(h *host) {
	m := h.machine
	if !m.IsLeader() {
		return
	}
	if known, seen := w.checks.leaders[m.Term()]; seen && known != m.Self().ID {
		w.fail("two leaders in term %d: %s and %s", m.Term(), known, m.Self().ID)
	}
	w.checks.leaders[m.Term()] = m.Self().ID
	set := m.Membership()
	for _, voters := range [][]consensus.Member{set.Voters, set.Outgoing} {
		if len(voters) > 0 && len(voters) < 3 {
			w.fail("only %d voters decide: %v", len(voters), voters)
		}
	}
}

// checkFreshness checks that a machine that reports fresh changes lacks no entry that others committed more than maxStaleness ago.
func (w *world) checkFreshness(h *host, news clusterstate.News) {
	if !news.Fresh {
		return
	}
	applied := h.machine.View.AppliedIndex()
	for i := len(w.checks.commitTimes) - 1; i >= 0; i-- {
		v := w.checks.commitTimes[i]
		if v.index <= applied {
			return
		}
		if age := w.now.Sub(v.at); age > maxStaleness {
			w.fail("host %d reports fresh changes without entry %d, which was committed %v ago", h.index, v.index, age)
			return
		}
	}
}

// maxStaleness is the maximum age of an entry that a machine which reports fresh changes may lack: the freshness bound and the time
// that the entry takes to reach the machine.
const maxStaleness = 1250 * time.Millisecond

// diskExists reports whether the disk with a member's identity still exists.
func (w *world) diskExists(m consensus.Member) bool {
	h := w.hostAt(m.Addr)
	return h != nil && !h.removed && (h.machine == nil || h.machine.Self().ID == m.ID)
}

// checkRecovered checks before another disk is lost that the machines lost before have recovered: if their time to do so is over, a
// majority must remain whichever machine is lost next.
func (w *world) checkRecovered() {
	leader := w.leader()
	if leader == nil || w.now.Sub(w.quietSince) < catchUpTimeout {
		return
	}
	w.checkVoters(leader.machine)
}

// checkVoters checks that every running machine is a voter and that the voters keep a quorum after the failures to be tolerated.
func (w *world) checkVoters(leader *configstore.Machine) {
	set := leader.Membership()
	alive, up := 0, 0
	for _, m := range set.Voters {
		if w.diskExists(m) {
			alive++
		}
	}
	for _, h := range w.hosts {
		if h.machine != nil && !h.leaving {
			up++
			if !set.Contains(h.machine.Self().ID) {
				w.fail("host %d is not a voter %v after the last fault: %v", h.index, w.now.Sub(w.quietSince), set)
			}
		}
	}
	if quorum := len(set.Voters)/2 + 1; up >= 2*w.maxFailures+1 && alive-w.maxFailures < quorum {
		w.fail("%d of %d voters exist, but %d may fail: %v", alive, len(set.Voters), w.maxFailures, set)
	}
}

// checkCaughtUp checks that there is a leader and that all machines run, vote and have caught up with it.
func (w *world) checkCaughtUp() {
	leader := w.leader()
	if leader == nil {
		w.fail("no leader %v after the last fault", w.now.Sub(w.quietSince))
		return
	}
	w.checkVoters(leader.machine)
	maxApplied := leader.machine.View.AppliedIndex()
	for _, h := range w.hosts {
		if h.machine == nil {
			if !h.removed {
				w.fail("host %d is not running", h.index)
			}
			continue
		}
		if behind := int64(maxApplied) - int64(h.machine.View.AppliedIndex()); behind > 40 {
			w.fail("host %d is %d entries behind %v after the last fault", h.index, behind, w.now.Sub(w.quietSince))
		}
	}
}

// maxUpdateDelay is the time within which a configuration must reach the replicas of edges while there are no faults.
const maxUpdateDelay = 1500 * time.Millisecond

// checkEnd checks at the end of a run that all replicas hold what was acknowledged, and that no request is left pending.
func (w *world) checkEnd() {
	for _, h := range w.hosts {
		if h.machine == nil {
			continue
		}
		if n := h.machine.PendingCount(); n > 0 {
			w.fail("host %d still has %d pending requests", h.index, n)
		}
		readState(h.machine, func(s *clusterstate.State) { w.checkState(fmt.Sprint("host ", h.index), s) })
	}
	for _, c := range w.copies {
		c.replica.View(func(s *clusterstate.State) { w.checkState(c.address, s) })
	}
	for _, e := range w.edges.all {
		e.replica.View(func(s *clusterstate.State) { w.checkState(e.address, s) })
		if e.replica.ProofIsOld(w.now) {
			w.fail("%s: freshness proof is %v old after the quiet period", e.address, w.now.Sub(e.replica.Proof()))
		}
	}
}

// checkState checks a replica's state against the acknowledged calls and the log. who names the replica in failures.
func (w *world) checkState(who string, s *clusterstate.State) {
	for id, server := range s.Servers {
		if w.checks.leaveAcknowledged[id] {
			w.fail("%s has server %s, whose leave was acknowledged", who, id)
		}
		if w.checks.closingAcknowledged[id] && server.State == clusterstate.ServerOpen {
			w.fail("%s has server %s as open, whose closing was acknowledged", who, id)
		}
	}
	w.checkServers(who, s)
	if known := w.knownBefore(w.now.Add(-maxUpdateDelay)); s.Version < known {
		w.fail("%s has configuration %s, but %s was acknowledged or read %v ago", who, s.Version, known, maxUpdateDelay)
	}
}

// checkServers checks that a state holds exactly the servers of the model.
func (w *world) checkServers(who string, s *clusterstate.State) {
	for id := range s.Servers {
		if !w.checks.model.servers[id] {
			w.fail("%s has server %s, which the log has removed", who, id)
		}
	}
	for id := range w.checks.model.servers {
		if _, there := s.Servers[id]; !there {
			w.fail("%s lacks server %s, which the log has added", who, id)
		}
	}
}

// historyCheckTimeout is the real time that the linearizability check may take.
const historyCheckTimeout = 20 * time.Second

// checkHistory checks that the operators' calls are linearizable: that there is one order of them in which each takes effect between
// its start and its end.
func (w *world) checkHistory() {
	var all []porcupine.Operation
	for _, c := range w.clients.history {
		all = append(all, porcupine.Operation{ClientId: c.client, Input: c, Call: c.started.UnixNano(), Output: c, Return: c.ended.UnixNano()})
	}
	if result := porcupine.CheckOperationsTimeout(historyModel, all, historyCheckTimeout); result != porcupine.Ok {
		w.fail("the operators' history is not linearizable: %s, %d calls", result, len(all))
	}
}

// configHistory is the sequence of accepted configurations, encoded as a string so that equal sequences compare equal.
type configHistory string

// contains reports whether an update was accepted.
func (c configHistory) contains(update configUpdate) bool {
	return strings.Contains(string(c), encodeUpdate(update))
}

// encodeUpdate returns an update as an element of a configHistory.
func encodeUpdate(update configUpdate) string {
	return fmt.Sprintf(";%d:%s;", update.version, update.tag)
}

// current returns the version and the tag of the last configuration; 0 if there is none.
func (c configHistory) current() (version clusterstate.Version, tag string) {
	if c == "" {
		return 0, ""
	}
	last := string(c[strings.LastIndexByte(string(c[:len(c)-1]), ';')+1 : len(c)-1])
	number, tag, _ := strings.Cut(last, ":")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		panic(err) // impossible: encodeUpdate wrote it
	}
	return clusterstate.Version(n), tag
}

// historyModel specifies the configuration as a register: an update takes effect once, and only if its base is the current version.
// An update that was accepted before is acknowledged again without effect; any other on a base that is not current is refused.
var historyModel = porcupine.Model{
	Init: func() any { return configHistory("") },
	Step: func(before, input, _ any) (bool, any) {
		at, c := before.(configHistory), input.(call)
		version, tag := at.current()
		if !c.isUpdate {
			return version == c.update.version && tag == c.update.tag, at
		}
		known := at.contains(c.update)
		fits := !known && c.update.base == version && c.update.version > version
		after := at
		if fits {
			after += configHistory(encodeUpdate(c.update))
		}
		switch c.status {
		case clusterstate.StatusOK:
			return known || fits, after
		case 0:
			return true, after
		}
		return !known && !fits, at
	},
	Equal: func(a, b any) bool { return a.(configHistory) == b.(configHistory) },
}
