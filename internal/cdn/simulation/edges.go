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
	edgeCount             = 4
	neighboursPerEdge     = 2 // the edges with the next indexes: others are reached over several hops
	neighbourPollInterval = 400 * time.Millisecond
	neighbourPollTimeout  = 700 * time.Millisecond
	maxChangesPerAnswer   = 3 // low, so that answers are often incomplete
	requestInterval       = 100 * time.Millisecond
	revocationTimeout     = 5 * time.Second        // time after the acknowledged removal of a key within which edges stop accepting it
	revocationMargin      = 250 * time.Millisecond // time by which an edge stops trusting its replica before revocationTimeout
)

// edge is a proxy with a replica of the cluster state, which neighbours update while the core is unreachable, and with keyed requests
// that it runs or refuses. Edges have their own random source and are answered outside the machines' loops, so that the core's part of
// a run is the same with and without edges.
type edge struct {
	w         *world
	index     int
	address   string
	replica   *statesync.Replica
	version   clusterstate.Version // of the current configuration
	lastProof time.Time            // freshness proof at the last check
	frozen    bool
	deferred  []func() // actions that arrived while the process was frozen
}

// edges holds all edges and their counters.
type edges struct {
	all            []*edge
	rng            *rand.Rand
	ran            int // keyed requests that edges ran
	refused        int // keyed requests refused because the edge could not prove that it knew all removals
	neighbourPolls int // polls of neighbours
}

func (w *world) startEdges() {
	w.edges.rng = rand.New(rand.NewPCG(w.options.Seed, 0xed6e))
	for i := range edgeCount {
		e := &edge{w: w, index: i, address: fmt.Sprint("proxy-", i), replica: statesync.New()}
		e.replica.Log, e.replica.Peers, e.replica.Weak = hclog.NewNullLogger(), peerrpc.NewPeers(), w.options.WeakCopies
		e.replica.Took = func(s *clusterstate.State, _ clusterstate.Command, _ uint64, _ bool) {
			if s.Version < e.version {
				w.fail("%s: configuration went back from %s to %s", e.address, e.version, s.Version)
			}
			e.version = s.Version
		}
		w.edges.all = append(w.edges.all, e)
		e.after(time.Second, e.pollCore)
		e.after(time.Second, e.pollNeighbours)
		w.after(time.Second, e.sendKeyedRequest)
	}
}

// runWhenThawed runs do at once or, if the process is frozen, when it is thawed.
func (e *edge) runWhenThawed(do func()) {
	if e.frozen {
		e.deferred = append(e.deferred, do)
		return
	}
	do()
}

// after runs do after a delay or, if the process is frozen then, when it is thawed.
func (e *edge) after(d time.Duration, do func()) { e.w.after(d, func() { e.runWhenThawed(do) }) }

// freeze stops the process for a time.
func (e *edge) freeze(span time.Duration) {
	if !e.frozen {
		e.frozen = true
		e.w.after(span, e.thaw)
	}
}

// thaw resumes the process and runs the deferred actions.
func (e *edge) thaw() {
	if !e.frozen {
		return
	}
	e.frozen = false
	deferred := e.deferred
	e.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// runWhenThawed runs do outside the machine's loop, at once or, if the process is frozen, when it is thawed; never, if the process has
// ended by then.
func (h *host) runWhenThawed(do func()) {
	switch {
	case h.machine == nil:
	case h.frozen:
		h.deferred = append(h.deferred, do)
	default:
		do()
	}
}

// randomHost draws the core machine that is polled next.
func (e *edge) randomHost() *host {
	for {
		if h := e.w.hosts[e.w.edges.rng.IntN(len(e.w.hosts))]; !h.removed {
			return h
		}
	}
}

func (e *edge) deliver(from, to string, arrive func()) {
	e.w.deliverWith(e.w.edges.rng, from, to, arrive)
}

// pollCore asks a core machine for changes, applies them and repeats.
func (e *edge) pollCore() {
	h, index := e.randomHost(), e.replica.Index()
	answer := e.startPoll(pollTimeout, func(n clusterstate.News, started time.Time) {
		pause := pollPause
		if coverage := e.replica.Apply(n, started); coverage == statesync.CoveragePartial || coverage == statesync.CoverageComplete && n.Fresh {
			pause = 0
		}
		e.checkProof()
		e.after(pause, e.pollCore)
	}, func() { e.after(pollPause, e.pollCore) })
	e.deliver(e.address, h.address, func() {
		h.runWhenThawed(func() {
			h.longPoll(index, func(n clusterstate.News) {
				if len(n.Changes) > maxChangesPerAnswer {
					n.Changes = n.Changes[:maxChangesPerAnswer]
				}
				e.deliver(h.address, e.address, func() { answer(n) })
			})
		})
	})
}

// longPoll answers a poll as a config store does: at once if there are changes or if the machine is not fresh, else after
// longPollTimeout.
func (h *host) longPoll(index uint64, answer func(clusterstate.News)) {
	arrived, incarnation := h.w.now, h.incarnation
	respond := func() {
		if h.incarnation == incarnation {
			h.machine.View.NoteStateOf(index)
			news := h.machine.View.ChangesSince(index, arrived, h.w.now)
			h.w.checkFreshness(h, news)
			answer(news)
		}
	}
	h.machine.View.NoteStateOf(index)
	if news := h.machine.View.ChangesSince(index, arrived, h.w.now); news.Fresh && news.Index <= index {
		h.w.after(longPollTimeout, func() { h.runWhenThawed(respond) })
		return
	}
	respond()
}

// pollNeighbours polls the neighbours periodically while the freshness proof is old.
func (e *edge) pollNeighbours() {
	if e.replica.ProofIsOld(e.w.now) {
		for i := range neighboursPerEdge {
			e.pollNeighbour(e.w.edges.all[(e.index+1+i)%edgeCount])
		}
	}
	e.after(neighbourPollInterval, e.pollNeighbours)
}

// pollNeighbour asks another edge for changes and applies them.
func (e *edge) pollNeighbour(other *edge) {
	e.w.edges.neighbourPolls++
	index := e.replica.Index()
	answer := e.startPoll(neighbourPollTimeout, func(n clusterstate.News, started time.Time) {
		e.replica.ApplyFromNeighbour(n, started)
		e.checkProof()
	}, func() {})
	e.deliver(e.address, other.address, func() {
		other.runWhenThawed(func() {
			n := other.replica.News(clusterstate.Ask{Have: index}, e.w.now)
			e.deliver(other.address, e.address, func() { answer(n) })
		})
	})
}

// startPoll starts a poll and returns the callback for its answer. The first answer is passed to take with the start time of the poll;
// if none comes within timeout, onTimeout is called instead.
func (e *edge) startPoll(timeout time.Duration, take func(n clusterstate.News, started time.Time), onTimeout func()) (answer func(clusterstate.News)) {
	started, done := e.w.now, false
	once := func(do func()) {
		if !done {
			done = true
			do()
		}
	}
	e.after(timeout, func() { once(onTimeout) })
	return func(n clusterstate.News) {
		e.runWhenThawed(func() {
			once(func() {
				if e.w.options.DateProofFromResponse {
					started = e.w.now
				}
				take(n, started)
			})
		})
	}
}

// checkProof checks after every answer that the edge's freshness proof did not go back and that the replica has every entry committed
// before it.
func (e *edge) checkProof() {
	proof, index := e.replica.Proof(), e.replica.Index()
	if proof.Before(e.lastProof) {
		e.w.fail("%s: freshness proof went back by %v", e.address, e.lastProof.Sub(proof))
	}
	e.lastProof = proof
	commits := e.w.checks.commitTimes
	for i := len(commits) - 1; i >= 0 && commits[i].index > index; i-- {
		if !commits[i].empty && commits[i].at.Before(proof) {
			e.w.fail("%s lacks entry %d, which was committed %v before its freshness proof", e.address, commits[i].index, proof.Sub(commits[i].at))
			return
		}
	}
}

// sendKeyedRequest sends a request with a key to the edge, which refuses it if it can't prove that it knows all removals of keys.
// Any configuration may have removed the key.
func (e *edge) sendKeyedRequest() {
	w, sent := e.w, e.w.now
	w.after(requestInterval, e.sendKeyedRequest)
	e.runWhenThawed(func() {
		if !w.options.RunWithoutProof && w.now.Sub(e.replica.Proof()) >= revocationTimeout-revocationMargin {
			w.edges.refused++
			return
		}
		w.edges.ran++
		if known := w.knownBefore(sent.Add(-revocationTimeout)); e.version < known {
			w.fail("%s ran a request under version %s, though it was sent more than %v after %s was acknowledged or read", e.address, e.version, revocationTimeout, known)
		}
	})
}

// The kinds of faults of edges.
const (
	EdgesCut       FaultKind = "edges-cut"         // some edges and all core machines can't reach each other
	EdgesCutOneWay FaultKind = "edges-cut-one-way" // messages between some edges and all core machines are lost in one direction
	EdgeIsolated   FaultKind = "edges-apart"       // an edge and all other edges can't reach each other
	EdgeFreeze     FaultKind = "edge-freeze"       // an edge's process is stopped for a time
)

var edgeFaultKinds = []FaultKind{EdgesCut, EdgesCut, EdgesCutOneWay, EdgeIsolated, EdgeFreeze, EdgeFreeze}

const maxEdgeFaults = 5

// drawEdgeFaults draws the faults of edges for a run.
func drawEdgeFaults(rng *rand.Rand) (all []Fault) {
	for range rng.IntN(maxEdgeFaults + 1) {
		f := Fault{Kind: edgeFaultKinds[rng.IntN(len(edgeFaultKinds))], At: faultsStart + time.Duration(rng.Int64N(int64(faultsEnd-faultsStart-time.Second))),
			Duration: time.Duration(rng.Int64N(int64(20 * time.Second))), Target: rng.IntN(edgeCount), Param: rng.IntN(1000)}
		f.Duration = min(f.Duration, faultsEnd-f.At)
		all = append(all, f)
	}
	return all
}

// injectEdgeFault injects a fault of edges. It returns false for other kinds.
func (w *world) injectEdgeFault(f Fault) bool {
	first := w.edges.all[max(f.Target, 0)%edgeCount]
	switch f.Kind {
	case EdgesCut, EdgesCutOneWay:
		var edgeAddresses, coreAddresses []string
		for i := range 1 + f.Param%edgeCount {
			edgeAddresses = append(edgeAddresses, w.edges.all[(first.index+i)%edgeCount].address)
		}
		for _, h := range w.hosts {
			coreAddresses = append(coreAddresses, h.address)
		}
		if f.Kind == EdgesCutOneWay && f.Param%2 == 0 {
			edgeAddresses, coreAddresses = coreAddresses, edgeAddresses
		}
		w.after(f.Duration, w.network.cut(edgeAddresses, coreAddresses, f.Kind == EdgesCut))
	case EdgeIsolated:
		var others []string
		for _, e := range w.edges.all {
			if e != first {
				others = append(others, e.address)
			}
		}
		w.after(f.Duration, w.network.cut([]string{first.address}, others, true))
	case EdgeFreeze:
		first.freeze(f.Duration)
	default:
		return false
	}
	w.trace("%v", f)
	return true
}
