package consensus

import (
	"slices"
	"time"
)

// This file founds the membership of a core whose machines were killed at the first start of the whole system, before a majority of them
// had anything on disk. A machine with an empty disk can't tell whether it has lost its disk or never wrote to it, so it must not vote
// under the ID that the founders know; but if it is not alone, no majority is left.
//
// A node without a membership may take its place among the founders once all of them have told it that they hold no entry either. If an
// entry had ever been committed, a majority of the founders would hold it, or all of that majority would have lost their disks, which are
// more than may be lost (Config.Tolerate of the smallest core). As a further safeguard, a node that has heard of an existing core, from
// any machine, never does so. Its term begins above those that the others have entered: in them it may have voted before it lost its disk.

const (
	foundingDelay   = 2 * time.Second // from the start of a node, within which a core that exists is heard from
	foundingTimeout = time.Second     // how long a founder's report counts; they come every half Timing.Election
)

// foundingReport is what a founder has told in its last Join.
type foundingReport struct {
	founders []Member
	term     uint64
	at       time.Time
}

// hasNoEntries reports whether this node has never held an entry of the log.
func (n *Node) hasNoEntries() bool { return n.lastIndex() == 0 }

// isFounded reports whether this node knows of a membership.
func (n *Node) isFounded() bool { return len(n.membership.Voters) > 0 }

// foundersForJoin returns the founders that a Join names: those of the membership, or without one those of the configuration. A node that
// holds entries, or knows that a core exists, names none, so that no other node founds one with it.
func (n *Node) foundersForJoin() []Member {
	switch {
	case !n.hasNoEntries() || n.coreExists:
		return nil
	case n.isFounded():
		return n.membership.Voters
	}
	return n.founders
}

// observeFounding records what a Join tells about the founding of the core.
func (n *Node) observeFounding(m Message) {
	if n.isFounded() || !n.hasNoEntries() || m.From == n.self.ID {
		return
	}
	if m.Join.Founded && containsAddress(m.Join.Founders, n.self.Addr) { // the settings of this process may name other machines
		n.founders = m.Join.Founders
	}
	if containsAddress(n.founders, m.Addr) {
		n.foundingReports[m.Addr] = foundingReport{founders: m.Join.Founders, term: m.Term, at: n.now}
	}
}

// observeCore records that a core exists if a message shows that its sender holds entries. Messages to an earlier ID of this machine count
// as well.
func (n *Node) observeCore(m Message) {
	switch {
	case m.Join != nil && m.Join.LastIndex > 0,
		m.PreVote != nil && m.PreVote.LastIndex > 0,
		m.Vote != nil && m.Vote.LastIndex > 0,
		m.Append != nil, m.Piece != nil, m.TakeOver != nil:
		n.coreExists = true
	}
}

// ObserveCore records that a core exists, as a process has shown that holds a state of it.
func (n *Node) ObserveCore() { n.coreExists = true }

// MayFound reports whether this node may become one of the founders of a core that holds no entry. It returns the node's identity among
// them, all founders, and the term that the node has to begin with. The host then replaces the node by one with that state.
func (n *Node) MayFound() (self Member, founders []Member, term uint64, ok bool) {
	i := slices.IndexFunc(n.founders, func(f Member) bool { return f.Addr == n.self.Addr })
	if i < 0 || n.isFounded() || !n.hasNoEntries() || n.leaving || len(n.founders) < absoluteMinVoters {
		return Member{}, nil, 0, false
	}
	if n.faults.FoundWithoutAsking {
		return n.founders[i], n.founders, n.hard.Term + 1, true
	}
	if n.coreExists || n.now.Sub(n.startedAt) < foundingDelay {
		return Member{}, nil, 0, false
	}
	term = n.hard.Term
	for _, f := range n.founders {
		if f.Addr == n.self.Addr {
			continue
		}
		report, heard := n.foundingReports[f.Addr]
		if !heard || n.now.Sub(report.at) > foundingTimeout || !sameMembers(report.founders, n.founders) {
			return Member{}, nil, 0, false
		}
		term = max(term, report.term)
	}
	return n.founders[i], n.founders, term + 1, true
}

// containsAddress reports whether one of the members has an address.
func containsAddress(members []Member, addr string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Addr == addr })
}
