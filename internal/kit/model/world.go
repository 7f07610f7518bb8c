package model

import (
	"fmt"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/scenario"
)

// Host carries out what the model requests, over sockets or in virtual time. It calls back on the goroutine that runs the queue.
type Host interface {
	Send(t *Try)                                 // sends a client's try to its router; World.Answered follows exactly once
	CloseClient(t *Try) (sent bool)              // closes the client's connection; if the client has sent nothing yet, World.Answered follows
	NodeDown(n *Node)                            // the node's process has died: open connections are reset and new ones refused
	NodeUp(n *Node)                              // the node's process runs again
	SetNodeSilence(n *Node, router int, on bool) // starts or ends the node's silence towards one router
	DiscoveryUpdated(router int)                 // a router's discovery agent has an update
	SetDiscoverySilence(on bool)                 // silences all discovery agents, or ends their silence
	StartRouter(r int, f StoredState)            // World.RouterReady follows
	KillRouter(r int)                            // kills the process without a shutdown
	StopRouter(r int)                            // shuts the process down gracefully; World.RouterEnded follows
	SetRouterStalled(r int, on bool)             // suspends the router's process, or resumes it
	SetDiskFull(r int, full bool)                // makes the router's writes to disk fail, or succeed again
	ReloadRouter(r int)                          // reloads the configuration, with discovery at a new address
	BadClients(count int, span time.Duration)    // runs misbehaving clients for the span
	RecordEvent(at Time, what string)            // records an event for the report
}

// StoredState is the stored state that a restarting router finds.
type StoredState struct {
	InitialList bool   // the configuration holds the node list of the beginning of the run
	State       string // condition of the stored state, as scenario.Trouble.State
}

// World is the simulated environment of one run of a scenario.
type World struct {
	Queue
	Nodes []*Node

	scenario *scenario.Scenario
	seed     uint64
	host     Host
	ledger   *ledger.Ledger
	db       *database
	agents   []*agent

	requests         []*Request
	tries            map[string]*Try
	openRequests     int             // requests that may still get an answer or another try
	effects          map[string]Time // by idempotency key: when the write took effect
	answersMade      int
	lastAnnouncement int // sequence number of the latest discovery announcement
	routerSites      []int
	inRotation       []bool // by router: whether clients are directed to it
	routerRunning    []bool
	linkFaults       []*linkFault // the ones active now
	stallCounts      map[int]int  // by router: number of troubles that stall it now
	initialEntries   []Entry      // the node list of the beginning of the run
}

// New sets up a run of a scenario under a seed. Nothing happens before Start.
func New(s *scenario.Scenario, seed uint64, host Host) *World {
	w := &World{scenario: s, seed: seed, host: host, tries: map[string]*Try{}, effects: map[string]Time{}, stallCounts: map[int]int{}}
	w.now = -s.WarmUp.D()
	w.db = &database{config: &s.Database, world: w}
	w.requests = drawRequests(s, seed)
	w.openRequests = len(w.requests)
	var records []ledger.Request
	for _, a := range w.requests {
		records = append(records, ledger.Request{At: a.At, Class: a.Class, Tenant: a.Tenant, Worth: a.Worth, WithinShare: a.WithinShare})
	}
	w.ledger = ledger.New(s, records)
	kinds := w.assignModels(len(s.NodeNames()))
	names := s.NodeNames()
	for site, at := range s.Sites {
		for range at.Nodes {
			n := len(w.Nodes)
			w.Nodes = append(w.Nodes, w.newNode(n, names[n], site, kinds[n]))
		}
		for range at.Routers {
			w.routerSites = append(w.routerSites, site)
		}
	}
	for i, t := range s.Troubles {
		if t.Kind == "grow" {
			for _, n := range w.affectedNodes(i, t) {
				n.up, n.notAddedYet = false, true
			}
		}
	}
	w.inRotation, w.routerRunning = make([]bool, len(w.routerSites)), make([]bool, len(w.routerSites))
	for r := range w.routerSites {
		w.agents = append(w.agents, newAgent(w, r))
	}
	_, _, w.initialEntries = w.List(0, 0, false)
	return w
}

// assignModels assigns hardware models to count nodes in proportion to their shares, evenly interleaved.
func (w *World) assignModels(count int) []*scenario.Model {
	sum := 0.0
	for _, m := range w.scenario.Models {
		sum += m.Share
	}
	credit, kinds := make([]float64, len(w.scenario.Models)), make([]*scenario.Model, count)
	for i := range kinds {
		best := 0
		for m := range credit {
			credit[m] += w.scenario.Models[m].Share / sum
			if credit[m] > credit[best] {
				best = m
			}
		}
		credit[best]--
		kinds[i] = &w.scenario.Models[best]
	}
	return kinds
}

// Ledger returns the ledger of the run.
func (w *World) Ledger() *ledger.Ledger { return w.ledger }

// Routers returns the number of routers.
func (w *World) Routers() int { return len(w.routerSites) }

// RouterSite returns the name of a router's site.
func (w *World) RouterSite(r int) string { return w.scenario.Sites[w.routerSites[r]].Name }

// SiteName returns the name of a node's site.
func (w *World) SiteName(n *Node) string { return w.scenario.Sites[n.Site].Name }

func (w *World) routerSiteIndex(r int) int { return w.routerSites[r] }

// oneWay returns the network delay between two sites.
func (w *World) oneWay(a, b int) time.Duration {
	if a == b {
		return w.scenario.Network.Same.D()
	}
	return w.scenario.Network.Cross.D()
}

// RoundTrip returns the network round-trip time between a router and a node.
func (w *World) RoundTrip(router int, n *Node) time.Duration {
	return 2 * w.oneWay(w.routerSiteIndex(router), n.Site)
}

// DatabasePeak returns the highest number of database requests in one second, as a multiple of the database's capacity.
func (w *World) DatabasePeak() float64 { return w.db.Peak }

// DatabaseRequests returns the total number of database requests.
func (w *World) DatabaseRequests() int { return w.db.Fetches }

// Start schedules all requests, samples and troubles of the run. All routers must be running and ready.
func (w *World) Start() {
	for _, a := range w.requests {
		w.At(a.At, func() { w.sendTry(a) })
	}
	for at := time.Duration(0); at < w.scenario.Length.D(); at += time.Second {
		w.At(at+time.Second/2, w.sample)
	}
	for i, t := range w.scenario.Troubles {
		w.At(t.At.D(), func() { w.startTrouble(i, t) })
	}
}

// sample records each node's load and state. It runs in the middle of each second.
func (w *World) sample() {
	for _, n := range w.Nodes {
		n.loadSamples = append(n.loadSamples, float64(n.busy)/float64(n.Model.Cores))
		state := byte(ledger.StateUp)
		switch {
		case !n.up:
			state = ledger.StateDown
		case n.silentToAll:
			state = ledger.StateSilent
		case n.draining:
			state = ledger.StateDraining
		case n.Warmth() < 1:
			state = ledger.StateCold
		}
		n.stateSamples = append(n.stateSamples, state)
	}
}

// Samples returns each node's load and state, by second.
func (w *World) Samples() (all []ledger.NodeReport) {
	for _, n := range w.Nodes {
		all = append(all, ledger.NodeReport{Name: n.Name, Load: n.loadSamples, State: string(n.stateSamples)})
	}
	return all
}

// Done reports whether the run has ended and no request is open.
func (w *World) Done() bool { return w.openRequests == 0 && w.Now() >= w.scenario.Length.D() }

// sendTry sends a request's next try and schedules the client's timeout.
func (w *World) sendTry(a *Request) {
	t := a.newTry(w.scenario, w.Now())
	t.Router = w.chooseRouter(t)
	w.tries[t.CorrelationID] = t
	w.ledger.TrySent(a.Index, t.CorrelationID, t.Router, w.Now(), t.Timeout)
	w.After(t.Timeout+answerSlack, func() {
		if !t.over {
			t.ClientGone = true
			if w.host.CloseClient(t) {
				w.tryEnded(t, ledger.NoAnswer, 0, "", w.Now())
			}
		}
	})
	w.host.Send(t)
}

// answerSlack is how long beyond its timeout a client on a socket waits for an answer that is in transit.
const answerSlack = 50 * time.Millisecond

// chooseRouter draws a router for a try: one in rotation at the client's site, else one in rotation at any site, else any router.
func (w *World) chooseRouter(t *Try) int {
	var home, away, all []int
	for r, site := range w.routerSites {
		switch {
		case w.inRotation[r] && site == t.Site:
			home = append(home, r)
		case w.inRotation[r]:
			away = append(away, r)
		}
		all = append(all, r)
	}
	for _, candidates := range [][]int{home, away, all} {
		if len(candidates) > 0 {
			return candidates[int(t.draw(1)*float64(len(candidates)))]
		}
	}
	return 0
}

// Answer is what a client received for a try.
type Answer struct {
	Outcome    ledger.Outcome
	Body       string
	RetryAfter time.Duration
}

// Answered records the result of a try as its client saw it; at is the time of the last byte.
func (w *World) Answered(t *Try, a Answer, at Time) {
	if t.over {
		if a.Outcome == ledger.Served || a.Outcome == ledger.Refused || a.Outcome == ledger.Failed {
			w.ledger.ExtraAnswer(t.CorrelationID, at) // a second answer, or an answer after the try had ended
		}
		return
	}
	w.tryEnded(t, a.Outcome, a.RetryAfter, a.Body, at)
}

// tryEnded records the outcome of a try and schedules the next one if the client retries.
func (w *World) tryEnded(t *Try, outcome ledger.Outcome, retryAfter time.Duration, body string, at Time) {
	t.over = true
	a := t.Request
	if w.ledger.TryEnded(t.CorrelationID, outcome, body, at) {
		a.served = true
	}
	if a.done {
		return
	}
	c := &w.scenario.Classes[a.Class]
	wait := time.Duration(float64(w.scenario.Clients.Backoff) * float64(int(1)<<min(t.Number, 10)) * (0.5 + t.draw(2)))
	if a.honoursRetryAfter {
		wait = max(wait, retryAfter)
	}
	harmless := c.Effect != "unsafe" || outcome == ledger.Refused || outcome == ledger.NotConnected
	if a.served || t.Number >= w.scenario.Clients.Retries || !harmless || w.Now()+wait >= a.At+c.Deadline.D() {
		a.done = true
		w.openRequests--
		return
	}
	w.After(wait, func() { w.sendTry(a) })
}

// RouterReady reports that a router accepts requests; clients are directed to it from now on.
func (w *World) RouterReady(r int) {
	w.inRotation[r], w.routerRunning[r] = true, true
}

// RouterStopping reports that a router has been told to shut down gracefully. New clients are directed to it for leavingDelay more.
func (w *World) RouterStopping(r int) {
	w.After(leavingDelay, func() { w.inRotation[r] = false })
}

// leavingDelay is how long new clients are still directed to a router that shuts down.
const leavingDelay = 300 * time.Millisecond

// RouterEnded reports that a router's process has ended. Clients are directed away from it after the scenario's notice time.
func (w *World) RouterEnded(r int, killed bool) {
	w.ledger.RouterEnded(r, killed)
	w.routerRunning[r] = false
	w.After(w.scenario.Clients.Notice.D(), func() {
		if !w.routerRunning[r] {
			w.inRotation[r] = false
		}
	})
}

// Node returns the node of that name, or nil if there is none.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// stopNode ends a node's process. Unless discovery has been told already, it announces the node as deleted.
func (w *World) stopNode(n *Node, told bool) {
	if !n.up {
		return
	}
	n.up, n.draining = false, false
	n.incarnation++
	n.reset()
	w.host.NodeDown(n)
	w.host.RecordEvent(w.Now(), n.Name+" down")
	if !told {
		w.announce(n, "DELETED", w.scenario.Discovery.Lag)
	}
}

// startNode starts a node's process with a cold cache and announces it to discovery. A collapsed node stays down.
func (w *World) startNode(n *Node) {
	if n.up || n.collapsed {
		return
	}
	n.up, n.notAddedYet, n.silentToAll, n.frozen, n.draining = true, false, false, false, false
	n.incarnation++
	n.started = w.Now()
	n.reset()
	w.host.NodeUp(n)
	w.host.RecordEvent(w.Now(), n.Name+" up, cold")
	w.announce(n, "SERVING", w.scenario.Discovery.Lag)
}

// answerBody returns a body that is unique to the answer.
func answerBody(id, node string, n int) string {
	return fmt.Sprintf("%s from %s, answer %d\n", id, node, n)
}
