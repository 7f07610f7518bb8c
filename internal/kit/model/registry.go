package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/kit/scenario"
)

// Entry is what discovery says of a node.
type Entry struct {
	Node   *Node
	Status string // SERVING, DRAINING or, among changes, DELETED
	Since  Time   // of its start; under 0: long ago
}

// agent is discovery on a router's own machine: what it has been sent, by version.
type agent struct {
	world   *World
	router  int
	rng     *rand.Rand
	index   int64
	entries map[*Node]Entry
	changes []change
	said    map[*Node]int // by node: the number of the newest word that has come
	stale   int           // troubles that hold news back
	held    []func()
}

type change struct {
	index int64
	Entry
}

const mostChanges = 1000 // that an agent remembers; who asks from before gets the whole list

func newAgent(w *World, r int) *agent {
	a := &agent{world: w, router: r, rng: Stream(w.seed, "agent "+w.set.RouterNames()[r]), index: 1, entries: map[*Node]Entry{}, said: map[*Node]int{}}
	for _, n := range w.Nodes {
		if n.up {
			a.entries[n] = Entry{n, "SERVING", n.started}
		}
	}
	return a
}

// tell sends a node's state to all agents, each after a time of its own. A later word is not undone by an earlier one.
func (w *World) tell(n *Node, status string, lag [2]scenario.Duration) {
	w.words++
	word, since := w.words, n.started
	for _, a := range w.agents {
		after := lag[0].D() + time.Duration(a.rng.Float64()*float64(lag[1]-lag[0]))
		w.After(after, func() { a.take(n, status, since, word) })
	}
}

func (a *agent) take(n *Node, status string, since Time, word int) {
	if a.stale > 0 {
		a.held = append(a.held, func() { a.take(n, status, since, word) })
		return
	}
	if word < a.said[n] {
		return
	}
	a.said[n] = word
	e := Entry{n, status, since}
	if old, ok := a.entries[n]; ok && old == e || !ok && status == "DELETED" {
		return
	}
	a.index++
	if a.entries[n] = e; status == "DELETED" {
		delete(a.entries, n)
	}
	a.changes = append(a.changes, change{a.index, e})
	if len(a.changes) > mostChanges {
		a.changes = slices.Clone(a.changes[len(a.changes)-mostChanges:])
	}
	a.world.host.News(a.router)
}

// List is what a router's agent answers: the changes since a version, or the whole list if it was not given one or the
// changes are not remembered so far back.
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

// Told books that an answer of a router's agent has been written to it.
func (w *World) Told(router int, whole bool, entries []Entry) {
	listed := map[*Node]bool{}
	for _, e := range entries {
		listed[e.Node] = true
		w.led.Told(router, e.Node.Name, e.Status == "SERVING", w.Now())
	}
	for _, n := range w.Nodes {
		if whole && !listed[n] {
			w.led.Told(router, n.Name, false, w.Now())
		}
	}
}

// holdNews keeps all agents from hearing anything new for a while.
func (w *World) holdNews(span time.Duration) {
	for _, a := range w.agents {
		a.stale++
		w.After(span, func() {
			if a.stale--; a.stale > 0 {
				return
			}
			held := a.held
			a.held = nil
			for _, f := range held {
				f()
			}
		})
	}
}

// Beginning is the list of the day's beginning, as a router finds it in a configuration that nobody has renewed.
func (w *World) Beginning() []Entry { return w.beginning }
