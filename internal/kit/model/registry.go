package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/kit/scenario"
)

// Entry is the state of a node as discovery reports it.
type Entry struct {
	Node   *Node
	Status string // SERVING, DRAINING or, in changes only, DELETED
	Since  Time   // start time of the node; under 0: before the run
}

// agent is the discovery agent on a router's machine: the versioned node list and the changes it has received.
type agent struct {
	world       *World
	router      int
	rng         *rand.Rand
	index       int64
	entries     map[*Node]Entry
	changes     []change
	lastSeq     map[*Node]int // by node: sequence number of the newest announcement received
	holds       int           // number of troubles that hold updates back
	heldUpdates []func()
}

// change is an entry that changed and the version of the list with this change.
type change struct {
	index int64
	Entry
}

const maxChanges = 1000 // changes kept by an agent; a client with an older version gets the whole list

func newAgent(w *World, r int) *agent {
	a := &agent{world: w, router: r, rng: Stream(w.seed, "agent "+w.scenario.RouterNames()[r]), index: 1, entries: map[*Node]Entry{}, lastSeq: map[*Node]int{}}
	for _, n := range w.Nodes {
		if n.up {
			a.entries[n] = Entry{n, "SERVING", n.started}
		}
	}
	return a
}

// announce sends a node's state to all agents, each after a drawn delay. Announcements that arrive out of order are dropped.
func (w *World) announce(n *Node, status string, lag [2]scenario.Duration) {
	w.lastAnnouncement++
	seq, since := w.lastAnnouncement, n.started
	for _, a := range w.agents {
		after := lag[0].D() + time.Duration(a.rng.Float64()*float64(lag[1]-lag[0]))
		w.After(after, func() { a.apply(n, status, since, seq) })
	}
}

// apply records an announcement and notifies the router if it changes the list. While a trouble holds updates back, the
// announcement is kept for later.
func (a *agent) apply(n *Node, status string, since Time, seq int) {
	if a.holds > 0 {
		a.heldUpdates = append(a.heldUpdates, func() { a.apply(n, status, since, seq) })
		return
	}
	if seq < a.lastSeq[n] {
		return
	}
	a.lastSeq[n] = seq
	e := Entry{n, status, since}
	if old, ok := a.entries[n]; ok && old == e || !ok && status == "DELETED" {
		return
	}
	a.index++
	if a.entries[n] = e; status == "DELETED" {
		delete(a.entries, n)
	}
	a.changes = append(a.changes, change{a.index, e})
	if len(a.changes) > maxChanges {
		a.changes = slices.Clone(a.changes[len(a.changes)-maxChanges:])
	}
	a.world.host.DiscoveryUpdated(a.router)
}

// List returns what a router's agent answers: the changes since a version, or the whole list if no version is known or the
// agent no longer has the changes since it.
func (w *World) List(router int, since int64, known bool) (index int64, whole bool, entries []Entry) {
	a := w.agents[router]
	if !known || since > a.index || len(a.changes) > 0 && since < a.changes[0].index-1 {
		for _, n := range w.Nodes {
			if e, ok := a.entries[n]; ok {
				entries = append(entries, e)
			}
		}
		return a.index, true, entries
	}
	for _, c := range a.changes {
		if c.index > since {
			entries = append(entries, c.Entry)
		}
	}
	return a.index, false, entries
}

// ListSent records that an answer of a router's agent has been written to the router.
func (w *World) ListSent(router int, whole bool, entries []Entry) {
	listed := map[*Node]bool{}
	for _, e := range entries {
		listed[e.Node] = true
		w.ledger.NodeStateTold(router, e.Node.Name, e.Status == "SERVING", w.Now())
	}
	for _, n := range w.Nodes {
		if whole && !listed[n] {
			w.ledger.NodeStateTold(router, n.Name, false, w.Now())
		}
	}
}

// holdUpdates delays all updates to all agents until the end of a span.
func (w *World) holdUpdates(span time.Duration) {
	for _, a := range w.agents {
		a.holds++
		w.After(span, func() {
			if a.holds--; a.holds > 0 {
				return
			}
			held := a.heldUpdates
			a.heldUpdates = nil
			for _, apply := range held {
				apply()
			}
		})
	}
}

// InitialEntries returns the node list of the beginning of the run, as a router finds it in a configuration that was never updated.
func (w *World) InitialEntries() []Entry { return w.initialEntries }
