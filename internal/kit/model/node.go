package model

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cedarmast/internal/kit/scenario"
)

// Status is the HTTP status of an answer.
type Status int

// The statuses that nodes answer with.
const (
	StatusOK            Status = 200
	StatusBadRequest    Status = 400
	StatusInternalError Status = 500
	StatusUnavailable   Status = 503 // marked as not run
)

// Reply is a node's answer to one request.
type Reply struct {
	Status  Status
	Corrupt bool   // the host writes it so that it can't be parsed
	Body    string // unique to this request
	Lookup  string // cache lookup result: hit, miss or pending; empty for writes
	Delay   time.Duration
}

// Job is a request at a node. Reply is called once, unless the node dies or is silent.
type Job struct {
	ID            string
	Router        int
	NewConnection bool         // first request on its connection, which adds the cost of the connection's setup
	Reply         func(*Reply) // called by the model; the host writes the reply out after its delay

	node        *Node
	incarnation int // the node's incarnation when the request arrived
	try         *Try
	work        time.Duration
	lookup      string
	started     bool
	arrivedAt   Time
}

// Node is a cache node.
type Node struct {
	Name  string
	Index int
	Site  int
	Model *scenario.Model
	world *World
	rng   *rand.Rand

	up          bool
	incarnation int  // number of process starts and stops so far
	started     Time // 0 or less: before the run
	silent      map[int]bool
	silentToAll bool // sends nothing to any router
	frozen      bool
	draining    bool
	notAddedYet bool // added later by a grow trouble
	collapsed   bool // overloaded while cold: stays down for the rest of the run
	errorRate   float64
	rejectRate  float64
	corruptRate float64
	slowdown    float64

	busy            int
	runningWork     time.Duration // work of the running jobs
	queuedWork      time.Duration // work of the waiting jobs
	waiting         []*Job
	heldCompletions []func() // completions that came due while the node was frozen
	cache           *simplelru.LRU[uint64, struct{}]
	pendingReads    map[uint64][]*Job // reads that wait for a database fetch, by key
	seen            map[string]Time   // idempotency keys that have run, by time
	overload        overloadDetector

	loadSamples  []float64
	stateSamples []byte
}

func (w *World) newNode(n int, name string, site int, kind *scenario.Model) *Node {
	node := &Node{Name: name, Index: n, Site: site, Model: kind, world: w, silent: map[int]bool{}, slowdown: 1, started: longAgo,
		rng: Stream(w.seed, "node "+name)}
	node.reset()
	node.up = true
	return node
}

// longAgo is the start time of the nodes that run when the simulation begins.
const longAgo = -24 * time.Hour

// reset drops all state that a process loses when it restarts.
func (n *Node) reset() {
	n.cache, _ = simplelru.NewLRU[uint64, struct{}](n.Model.Cache, nil) // fails only for a size under 1
	n.runningWork, n.queuedWork = 0, 0
	n.busy, n.waiting, n.heldCompletions, n.pendingReads, n.seen = 0, nil, nil, map[uint64][]*Job{}, map[string]Time{}
	n.overload = overloadDetector{}
}

// Up reports whether the node's process runs.
func (n *Node) Up() bool { return n.up }

// Silent reports whether the node sends nothing to a router.
func (n *Node) Silent(router int) bool { return n.silentToAll || n.silent[router] }

// Warmth returns the fraction of its full speed that a node has: it rises linearly from ColdFrom to 1 over ColdFor.
func (n *Node) Warmth() float64 {
	progress := float64(n.world.Now()-n.started) / float64(max(n.Model.ColdFor.D(), 1))
	return min(n.Model.ColdFrom+(1-n.Model.ColdFrom)*max(progress, 0), 1)
}

// speed returns the current speed of one of the node's cores.
func (n *Node) speed() float64 { return n.Model.Speed * n.Warmth() / max(n.slowdown, 0.01) }

// Arrive handles a request whose last byte has been received. It may be called for a node that has died in the meantime;
// the request is then dropped.
func (n *Node) Arrive(j *Job) {
	w := n.world
	j.node, j.incarnation, j.try, j.arrivedAt = n, n.incarnation, w.tries[j.ID], w.Now()
	if j.try == nil {
		w.ledger.UnknownSend(j.ID, n.Name)
		n.answer(j, &Reply{Status: StatusBadRequest})
		return
	}
	if !n.up || n.collapsed {
		return
	}
	c := &w.scenario.Classes[j.try.Class]
	silent := n.Silent(j.Router)
	rejectedByFault := !silent && n.draw() < n.rejectRate // rejected before it adds load
	rejected := rejectedByFault || !silent && len(n.waiting) >= n.Model.Queue && n.busy >= n.Model.Cores
	w.ledger.NodeReceived(j.ID, j.Router, n.Name, w.Now(), !rejected)
	if w.routerSiteIndex(j.Router) != n.Site {
		w.ledger.Crossed()
	}
	if n.Warmth() < 1 {
		w.ledger.ColdSent(w.Now())
	}
	j.work = j.try.Work
	if j.NewConnection {
		j.work += n.Model.ConnWork.D()
	}
	if !rejectedByFault && n.Warmth() < 1 &&
		n.overload.add(w.Now(), j.work.Seconds(), float64(n.Model.Cores)*n.speed(), w.scenario.Rules.Fall, w.scenario.Rules.FallFor.D()) {
		n.collapse()
		return
	}
	switch {
	case silent:
		return
	case rejected:
		n.answer(j, &Reply{Status: StatusUnavailable})
		return
	case n.draw() < n.errorRate:
		n.answer(j, &Reply{Status: StatusInternalError})
		return
	}
	if c.Write {
		n.schedule(j)
		return
	}
	if _, ok := n.cache.Get(j.try.Key); ok {
		j.lookup = "hit"
		n.schedule(j)
		return
	}
	key := j.try.Key
	waiting, fetching := n.pendingReads[key]
	if n.pendingReads[key] = append(waiting, j); fetching {
		j.lookup = "pending"
		return
	}
	j.lookup = "miss"
	incarnation := n.incarnation
	w.db.do(func(ok bool) {
		if n.incarnation != incarnation || !n.up {
			return
		}
		all := n.pendingReads[key]
		delete(n.pendingReads, key)
		if ok {
			n.cache.Add(key, struct{}{})
		}
		for _, j := range all {
			if ok {
				n.schedule(j)
			} else {
				n.answer(j, &Reply{Status: StatusInternalError})
			}
		}
	})
}

func (n *Node) draw() float64 { return n.rng.Float64() }

// schedule runs a job on a free core, or queues it.
func (n *Node) schedule(j *Job) {
	if n.busy < n.Model.Cores {
		n.run(j)
	} else {
		n.waiting = append(n.waiting, j)
		n.queuedWork += j.work
	}
}

// run occupies a core with a job. A job runs to its end even if its client or router has given up on it.
func (n *Node) run(j *Job) {
	w := n.world
	n.busy++
	n.runningWork += j.work
	j.started = true
	duration := time.Duration(float64(j.work) / n.speed())
	w.ledger.Worked(j.ID, duration)
	incarnation := n.incarnation
	w.After(duration, func() {
		end := func() {
			if n.incarnation == incarnation && n.up {
				n.finish(j)
			}
		}
		if n.incarnation == incarnation && n.frozen {
			n.heldCompletions = append(n.heldCompletions, end)
			return
		}
		end()
	})
}

// finish ends a job: it frees the core for the next one, and answers the job or first writes to the database.
func (n *Node) finish(j *Job) {
	w := n.world
	n.busy--
	n.runningWork -= j.work
	if len(n.waiting) > 0 {
		next := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.queuedWork -= next.work
		n.run(next)
	}
	c := &w.scenario.Classes[j.try.Class]
	if !c.Write {
		n.serve(j)
		return
	}
	if at, ok := w.effects[j.try.IdempotencyKey]; c.Effect == "keyed" && ok && j.arrivedAt-at < c.Memory.D() {
		n.serve(j) // a repeat within the deduplication window: no second effect, answered like the first
		return
	}
	w.effects[j.try.IdempotencyKey] = w.Now()
	incarnation := n.incarnation
	w.db.do(func(ok bool) {
		if ok {
			w.ledger.Effect(j.try.Request.Index, c.Name, c.Effect)
			for _, o := range w.Nodes {
				o.cache.Remove(j.try.Key)
			}
		} else if c.Effect == "keyed" {
			delete(w.effects, j.try.IdempotencyKey)
		}
		if n.incarnation != incarnation || !n.up {
			return
		}
		if ok {
			n.serve(j)
		} else {
			n.answer(j, &Reply{Status: StatusInternalError})
		}
	})
}

// serve answers a job successfully, with a corrupt body at the node's corrupt rate.
func (n *Node) serve(j *Job) {
	w := n.world
	w.answersMade++
	reply := &Reply{Status: StatusOK, Body: answerBody(j.ID, n.Name, w.answersMade), Lookup: j.lookup, Corrupt: n.draw() < n.corruptRate}
	w.ledger.BodyMade(j.ID, reply.Body, !reply.Corrupt)
	n.answer(j, reply)
}

// answer passes a reply to the host, unless the node has become silent to the router or has restarted since the job arrived.
func (n *Node) answer(j *Job, reply *Reply) {
	w := n.world
	if n.Silent(j.Router) || n.incarnation != j.incarnation {
		return
	}
	reply.Delay = 2 * w.oneWay(w.routerSiteIndex(j.Router), n.Site)
	w.ledger.SendAnswered(j.ID, w.Now()+reply.Delay, reply.Status == StatusOK && !reply.Corrupt)
	j.Reply(reply)
}

// collapse takes an overloaded cold node down for the rest of the run.
func (n *Node) collapse() {
	n.collapsed = true
	n.world.ledger.ColdFall(n.Name, n.world.Now())
	n.world.stopNode(n, false)
}

// overloadDetector tells whether offered work has exceeded a multiple of the capacity for a whole span. It requires the excess
// in each quarter of the span, so that a single request never triggers it.
type overloadDetector struct {
	slice      int64
	offered    [4]float64
	capacity   [4]float64
	slicesSeen int // the current one included
}

// add records offered work and the current capacity for work per second. It reports whether the work exceeded the multiple of the
// capacity in each quarter of the span.
func (g *overloadDetector) add(now Time, work, capacity, multiple float64, span time.Duration) bool {
	width := span / 4
	at := int64(now / width)
	if g.slicesSeen == 0 {
		g.slice, g.slicesSeen = at, 1
		g.offered, g.capacity = [4]float64{}, [4]float64{}
	}
	for ; g.slice < at; g.slice++ {
		if at-g.slice > 4 {
			g.slice, g.slicesSeen, g.offered = at-1, 0, [4]float64{}
		}
		copy(g.offered[1:], g.offered[:3])
		copy(g.capacity[1:], g.capacity[:3])
		g.offered[0] = 0
		g.slicesSeen++
	}
	g.offered[0] += work
	g.capacity[0] = capacity * width.Seconds()
	if g.slicesSeen < 4 {
		return false
	}
	for i := range g.offered {
		if g.offered[i] <= multiple*g.capacity[i] {
			return false
		}
	}
	return true
}
