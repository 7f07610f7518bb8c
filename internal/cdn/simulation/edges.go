package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
)

const (
	edgeCount       = 4
	edgeNeighbours  = 2 // the next ones: others are some hops away
	neighboursEvery = 400 * time.Millisecond
	neighbourWithin = 700 * time.Millisecond
	mostInAnswer    = 3 // changes that an edge is answered with, so that answers are cut often
	requestEvery    = 100 * time.Millisecond
	revoke          = 5 * time.Second        // after a key's removal is acknowledged nothing runs with it
	revokeMargin    = 250 * time.Millisecond // by which an edge ends its trust in its copy earlier
)

// edge is a proxy: its copy of the state, which neighbours help while the core is silent, and keyed requests that come to it. It has a lot
// of its own and is answered beside the machines' loops, so that a run of the core is the same with and without edges.
type edge struct {
	w       *world
	index   int
	address string
	replica *statesync.Replica
	version clusterstate.Version // in force
	proof   time.Time            // as last checked
	frozen  bool
	waiting []func() // what came while it was frozen
}

// edges are all of them.
type edges struct {
	all     []*edge
	rng     *rand.Rand
	ran     int // keyed requests that an edge let run
	refused int // and that it refused, for it could not prove that it knew all removals
	asked   int // questions to neighbours
}

func (w *world) beginEdges() {
	w.edges.rng = rand.New(rand.NewPCG(w.options.Seed, 0xed6e))
	for i := range edgeCount {
		e := &edge{w: w, index: i, address: fmt.Sprint("proxy-", i), replica: statesync.New()}
		e.replica.Log, e.replica.Peers, e.replica.Weak = hclog.NewNullLogger(), peerrpc.NewPeers(), w.options.WeakCopies
		e.replica.Took = func(s *clusterstate.State, _ clusterstate.Command, _ uint64, _ bool) {
			if s.Version < e.version {
				w.fail("%s goes back from %s to %s", e.address, e.version, s.Version)
			}
			e.version = s.Version
		}
		w.edges.all = append(w.edges.all, e)
		e.after(time.Second, e.askCore)
		e.after(time.Second, e.followNeighbours)
		w.after(time.Second, e.sendKeyed)
	}
}

// aside does something in the process: at once, or when it is thawed.
func (e *edge) aside(do func()) {
	if e.frozen {
		e.waiting = append(e.waiting, do)
		return
	}
	do()
}

func (e *edge) after(d time.Duration, do func()) { e.w.after(d, func() { e.aside(do) }) }

func (e *edge) freeze(span time.Duration) {
	if !e.frozen {
		e.frozen = true
		e.w.after(span, e.thaw)
	}
}

func (e *edge) thaw() {
	if !e.frozen {
		return
	}
	e.frozen = false
	waiting := e.waiting
	e.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// aside does something beside a machine's loop: at once, or when its process is thawed; never, if it has ended by then.
func (h *host) aside(do func()) {
	switch {
	case h.machine == nil:
	case h.frozen:
		h.waiting = append(h.waiting, do)
	default:
		do()
	}
}

// anyHost draws the core machine that is asked next.
func (e *edge) anyHost() *host {
	for {
		if h := e.w.hosts[e.w.edges.rng.IntN(len(e.w.hosts))]; !h.gone {
			return h
		}
	}
}

func (e *edge) carry(from, to string, arrive func()) { e.w.carryBy(e.w.edges.rng, from, to, arrive) }

// askCore asks a core machine for news, then again.
func (e *edge) askCore() {
	h, have := e.anyHost(), e.replica.Index()
	answer := e.awaitAnswer(newsWithin, func(n clusterstate.News, begun time.Time) {
		pause := pauseOfCopy
		if took := e.replica.Take(n, begun); took == statesync.Part || took == statesync.All && n.Fresh {
			pause = 0
		}
		e.check()
		e.after(pause, e.askCore)
	}, func() { e.after(pauseOfCopy, e.askCore) })
	e.carry(e.address, h.address, func() {
		h.aside(func() {
			h.holdNews(have, func(n clusterstate.News) {
				if len(n.Changes) > mostInAnswer {
					n.Changes = n.Changes[:mostInAnswer]
				}
				e.carry(h.address, e.address, func() { answer(n) })
			})
		})
	})
}

// holdNews answers a question for news as a config store does: at once if there is any or if the machine can't tell, else after a while.
func (h *host) holdNews(have uint64, answer func(clusterstate.News)) {
	came, incarnation := h.w.now, h.incarnation
	now := func() {
		if h.incarnation == incarnation {
			news := h.machine.View.Since(have, came, h.w.now)
			h.w.checkFresh(h, news)
			answer(news)
		}
	}
	if news := h.machine.View.Since(have, came, h.w.now); news.Fresh && news.Index <= have {
		h.w.after(holdFor, func() { h.aside(now) })
		return
	}
	now()
}

// followNeighbours asks neighbours while the proof is old.
func (e *edge) followNeighbours() {
	if e.replica.ProofIsOld(e.w.now) {
		for i := range edgeNeighbours {
			e.askNeighbour(e.w.edges.all[(e.index+1+i)%edgeCount])
		}
	}
	e.after(neighboursEvery, e.followNeighbours)
}

func (e *edge) askNeighbour(other *edge) {
	e.w.edges.asked++
	have := e.replica.Index()
	answer := e.awaitAnswer(neighbourWithin, func(n clusterstate.News, begun time.Time) {
		e.replica.TakeFromNeighbour(n, begun)
		e.check()
	}, func() {})
	e.carry(e.address, other.address, func() {
		other.aside(func() {
			n := other.replica.News(clusterstate.Ask{Have: have}, e.w.now)
			e.carry(other.address, e.address, func() { answer(n) })
		})
	})
}

// awaitAnswer begins a question: the first answer to it is taken, with the time of its begin, or none if it does not come in time.
func (e *edge) awaitAnswer(within time.Duration, take func(n clusterstate.News, begun time.Time), none func()) (answer func(clusterstate.News)) {
	begun, done := e.w.now, false
	once := func(do func()) {
		if !done {
			done = true
			do()
		}
	}
	e.after(within, func() { once(none) })
	return func(n clusterstate.News) {
		e.aside(func() {
			once(func() {
				if e.w.options.CountFromAnswer {
					begun = e.w.now
				}
				take(n, begun)
			})
		})
	}
}

// check is what holds after every answer that an edge has taken: its proof does not go back, and is of what it says.
func (e *edge) check() {
	proof, index := e.replica.Proof(), e.replica.Index()
	if proof.Before(e.proof) {
		e.w.fail("the proof of %s goes back by %v", e.address, e.proof.Sub(proof))
	}
	e.proof = proof
	all := e.w.checks.versions
	for i := len(all) - 1; i >= 0 && all[i].index > index; i-- {
		if !all[i].empty && all[i].at.Before(proof) {
			e.w.fail("%s lacks entry %d, which was taken %v before its proof", e.address, all[i].index, proof.Sub(all[i].at))
			return
		}
	}
}

// sendKeyed sends a request with a key to the edge, which runs it, or refuses it if it can't prove that it knows all removals. Any version may
// have taken the key away.
func (e *edge) sendKeyed() {
	w, sent := e.w, e.w.now
	w.after(requestEvery, e.sendKeyed)
	e.aside(func() {
		if !w.options.RunUnproven && w.now.Sub(e.replica.Proof()) >= revoke-revokeMargin {
			w.edges.refused++
			return
		}
		w.edges.ran++
		if known := w.knownBefore(sent.Add(-revoke)); e.version < known {
			w.fail("%s runs a request by version %s, which was sent more than %v after %s was acknowledged or read", e.address, e.version, revoke, known)
		}
	})
}

// The kinds of trouble of edges.
const (
	EdgesCut       Kind = "edges-cut"         // some edges are cut off from all core machines
	EdgesCutOneWay Kind = "edges-cut-one-way" // they hear them but are not heard, or the other way
	EdgesApart     Kind = "edges-apart"       // an edge is cut off from all others
	EdgeFreeze     Kind = "edge-freeze"       // an edge's process is stopped for a while
)

var edgeKinds = []Kind{EdgesCut, EdgesCut, EdgesCutOneWay, EdgesApart, EdgeFreeze, EdgeFreeze}

const mostEdgeFaults = 5

func drawEdgeFaults(lots *rand.Rand) (all []Fault) {
	for range lots.IntN(mostEdgeFaults + 1) {
		f := Fault{Kind: edgeKinds[lots.IntN(len(edgeKinds))], At: faultsFrom + time.Duration(lots.Int64N(int64(faultsUntil-faultsFrom-time.Second))),
			For: time.Duration(lots.Int64N(int64(20 * time.Second))), Who: lots.IntN(edgeCount), X: lots.IntN(1000)}
		f.For = min(f.For, faultsUntil-f.At)
		all = append(all, f)
	}
	return all
}

// strikeEdges lets a fault of edges come about. It tells whether it is one.
func (w *world) strikeEdges(f Fault) bool {
	first := w.edges.all[max(f.Who, 0)%edgeCount]
	switch f.Kind {
	case EdgesCut, EdgesCutOneWay:
		var some, core []string
		for i := range 1 + f.X%edgeCount {
			some = append(some, w.edges.all[(first.index+i)%edgeCount].address)
		}
		for _, h := range w.hosts {
			core = append(core, h.address)
		}
		if f.Kind == EdgesCutOneWay && f.X%2 == 0 {
			some, core = core, some
		}
		w.after(f.For, w.network.cut(some, core, f.Kind == EdgesCut))
	case EdgesApart:
		var others []string
		for _, e := range w.edges.all {
			if e != first {
				others = append(others, e.address)
			}
		}
		w.after(f.For, w.network.cut([]string{first.address}, others, true))
	case EdgeFreeze:
		first.freeze(f.For)
	default:
		return false
	}
	w.trace("%v", f)
	return true
}
