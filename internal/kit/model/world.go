package model

import (
	"fmt"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/scenario"
)

// Host does what the model asks for, on sockets or in virtual time. It calls back on the goroutine that runs the queue.
type Host interface {
	Send(t *Try)                              // a client sends a try to its router; World.Answered follows, once
	Leave(t *Try) (sent bool)                 // its client closes the connection; if it has sent nothing yet, World.Answered follows
	Down(n *Node)                             // a node's process has died: connections are reset, new ones refused
	Up(n *Node)                               // it runs again
	Silence(n *Node, router int, on bool)     // towards one router
	News(router int)                          // a router's agent has something new to tell
	SilenceDiscovery(on bool)                 // all agents
	StartRouter(r int, f Finds)               // World.RouterReady follows
	KillRouter(r int)                         // outright
	StopRouter(r int)                         // in order; World.RouterEnded follows
	StallRouter(r int, on bool)               // its process stands still, or goes on
	FillDisk(r int, full bool)                // what it stores is not written, or is again
	ReloadRouter(r int)                       // with discovery at a new address
	BadClients(count int, span time.Duration) // for so long
	Note(at Time, what string)                // something has happened that a report marks
}

// Finds is what a router finds that starts again.
type Finds struct {
	OldList bool   // in its configuration: the list of the day's beginning
	State   string // of what it had stored: as scenario.Trouble.State
}

// World is one day.
type World struct {
	Queue
	Nodes []*Node

	set    *scenario.Scenario
	seed   uint64
	host   Host
	led    *ledger.Ledger
	db     *database
	agents []*agent

	asks        []*Ask
	tries       map[string]*Try
	open        int // asks that are not done with
	effects     map[string]Time
	made        int
	words       int // of discovery, so far
	routerSites []int
	dealt       []bool // whether clients are led to a router
	alive       []bool
	links       []*link     // that are struck now
	stalls      map[int]int // by router: troubles that have it stand still
	beginning   []Entry     // the list of the day's beginning
}

// New lays out a day. Nothing happens before Begin.
func New(s *scenario.Scenario, seed uint64, host Host) *World {
	w := &World{set: s, seed: seed, host: host, tries: map[string]*Try{}, effects: map[string]Time{}, stalls: map[int]int{}}
	w.now = -s.WarmUp.D()
	w.db = &database{set: &s.Database, world: w}
	w.asks = asks(s, seed)
	w.open = len(w.asks)
	var books []ledger.Ask
	for _, a := range w.asks {
		books = append(books, ledger.Ask{At: a.At, Class: a.Class, Tenant: a.Tenant, Worth: a.Worth, Within: a.Within})
	}
	w.led = ledger.New(s, books)
	kinds := w.kindsOf(len(s.NodeNames()))
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
			for _, n := range w.struck(i, t) {
				n.up, n.absent = false, true
			}
		}
	}
	w.dealt, w.alive = make([]bool, len(w.routerSites)), make([]bool, len(w.routerSites))
	for r := range w.routerSites {
		w.agents = append(w.agents, newAgent(w, r))
	}
	_, _, w.beginning = w.List(0, 0, false)
	return w
}

// kindsOf deals models out by their shares, spread evenly over the nodes.
func (w *World) kindsOf(n int) []*scenario.Model {
	sum := 0.0
	for _, m := range w.set.Models {
		sum += m.Share
	}
	given, kinds := make([]float64, len(w.set.Models)), make([]*scenario.Model, n)
	for i := range kinds {
		best := 0
		for m := range given {
			given[m] += w.set.Models[m].Share / sum
			if given[m] > given[best] {
				best = m
			}
		}
		given[best]--
		kinds[i] = &w.set.Models[best]
	}
	return kinds
}

// Ledger is the day's books.
func (w *World) Ledger() *ledger.Ledger { return w.led }

// Routers is how many routers there are.
func (w *World) Routers() int { return len(w.routerSites) }

// RouterSite is the site at which a router stands.
func (w *World) RouterSite(r int) string { return w.set.Sites[w.routerSites[r]].Name }

// SiteName is the name of a node's site.
func (w *World) SiteName(n *Node) string { return w.set.Sites[n.Site].Name }

func (w *World) routerSite(r int) int { return w.routerSites[r] }

func (w *World) oneWay(a, b int) time.Duration {
	if a == b {
		return w.set.Network.Same.D()
	}
	return w.set.Network.Cross.D()
}

// Trip is the network's time both ways between a router and a node.
func (w *World) Trip(router int, n *Node) time.Duration {
	return 2 * w.oneWay(w.routerSite(router), n.Site)
}

// DatabasePeak is the most that the database was asked for in a second, as a multiple of what it can do, and DatabaseAsks
// all that it was asked.
func (w *World) DatabasePeak() float64 { return w.db.Peak }

// DatabaseAsks is how often the database was asked.
func (w *World) DatabaseAsks() int { return w.db.Fetches }

// Begin puts the day into the queue: routers run and are ready.
func (w *World) Begin() {
	for _, a := range w.asks {
		w.At(a.At, func() { w.ask(a) })
	}
	for at := time.Duration(0); at < w.set.Length.D(); at += time.Second {
		w.At(at+time.Second/2, w.sample)
	}
	for i, t := range w.set.Troubles {
		w.At(t.At.D(), func() { w.trouble(i, t) })
	}
}

// sample notes each node's load and state; it is called in the middle of each second.
func (w *World) sample() {
	for _, n := range w.Nodes {
		n.load = append(n.load, float64(n.busy)/float64(n.Kind.Cores))
		state := byte(ledger.StateUp)
		switch {
		case !n.up:
			state = ledger.StateDown
		case n.mute:
			state = ledger.StateSilent
		case n.draining:
			state = ledger.StateDraining
		case n.Warmth() < 1:
			state = ledger.StateCold
		}
		n.states = append(n.states, state)
	}
}

// Samples are the nodes' days, by second.
func (w *World) Samples() (all []ledger.NodeReport) {
	for _, n := range w.Nodes {
		all = append(all, ledger.NodeReport{Name: n.Name, Load: n.load, State: string(n.states)})
	}
	return all
}

// Over tells whether the day has ended and nothing is owed any more.
func (w *World) Over() bool { return w.open == 0 && w.Now() >= w.set.Length.D() }

// ask sends an ask's next try.
func (w *World) ask(a *Ask) {
	t := a.try(w.set, w.Now())
	t.Router = w.deal(t)
	w.tries[t.ID] = t
	w.led.Tried(a.N, t.ID, t.Router, w.Now(), t.Patience)
	w.After(t.Patience+answerSlack, func() {
		if !t.over {
			t.Left = true
			if w.host.Leave(t) {
				w.ended(t, ledger.Nothing, 0, "", w.Now())
			}
		}
	})
	w.host.Send(t)
}

// answerSlack is how long past its patience a client on a socket waits for an answer that is under way.
const answerSlack = 50 * time.Millisecond

// deal chooses a try's router: one of its site's that clients are led to, else one of any site's, else any.
func (w *World) deal(t *Try) int {
	var home, away, all []int
	for r, site := range w.routerSites {
		switch {
		case w.dealt[r] && site == t.Site:
			home = append(home, r)
		case w.dealt[r]:
			away = append(away, r)
		}
		all = append(all, r)
	}
	for _, of := range [][]int{home, away, all} {
		if len(of) > 0 {
			return of[int(t.draw(1)*float64(len(of)))]
		}
	}
	return 0
}

// Answer is what came back for a try.
type Answer struct {
	Outcome    ledger.Outcome
	Body       string
	RetryAfter time.Duration
}

// Answered brings a try's end, as its client saw it, with the moment of the last byte.
func (w *World) Answered(t *Try, a Answer, at Time) {
	if t.over {
		if a.Outcome == ledger.Served || a.Outcome == ledger.Refused || a.Outcome == ledger.Failed {
			w.led.Extra(t.ID, at) // a second answer, or one behind its time
		}
		return
	}
	w.ended(t, a.Outcome, a.RetryAfter, a.Body, at)
}

func (w *World) ended(t *Try, o ledger.Outcome, retryAfter time.Duration, body string, at Time) {
	t.over = true
	a := t.Ask
	if w.led.Answered(t.ID, o, body, at) {
		a.served = true
	}
	if a.done {
		return
	}
	c := &w.set.Classes[a.Class]
	wait := time.Duration(float64(w.set.Clients.Backoff) * float64(int(1)<<min(t.Number, 10)) * (0.5 + t.draw(2)))
	if a.heeds {
		wait = max(wait, retryAfter)
	}
	harmless := c.Effect != "unsafe" || o == ledger.Refused || o == ledger.Unheard
	if a.served || t.Number >= w.set.Clients.Retries || !harmless || w.Now()+wait >= a.At+c.Deadline.D() {
		a.done = true
		w.open--
		return
	}
	w.After(wait, func() { w.ask(a) })
}

// RouterReady says that a router answers; clients are led to it.
func (w *World) RouterReady(r int) {
	w.dealt[r], w.alive[r] = true, true
}

// RouterLeaving says that a router has been told to end in order: new clients are led to it for a moment yet.
func (w *World) RouterLeaving(r int) {
	w.After(leavingFor, func() { w.dealt[r] = false })
}

const leavingFor = 300 * time.Millisecond

// RouterEnded says that a router's process has ended. Clients are led away after a while.
func (w *World) RouterEnded(r int, killed bool) {
	w.led.RouterEnded(r, killed)
	w.alive[r] = false
	w.After(w.set.Clients.Notice.D(), func() {
		if !w.alive[r] {
			w.dealt[r] = false
		}
	})
}

// Node finds a node by name; nil if there is none.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// down ends a node's process.
func (w *World) down(n *Node, told bool) {
	if !n.up {
		return
	}
	n.up, n.draining = false, false
	n.life++
	n.empty()
	w.host.Down(n)
	w.host.Note(w.Now(), n.Name+" down")
	if !told {
		w.tell(n, "DELETED", w.set.Discovery.Lag)
	}
}

// start starts a node's process: cold, and listed a little later.
func (w *World) start(n *Node) {
	if n.up || n.fallen {
		return
	}
	n.up, n.absent, n.mute, n.frozen, n.draining = true, false, false, false, false
	n.life++
	n.started = w.Now()
	n.empty()
	w.host.Up(n)
	w.host.Note(w.Now(), n.Name+" up, cold")
	w.tell(n, "SERVING", w.set.Discovery.Lag)
}

func bodyOf(id, node string, n int) string {
	return fmt.Sprintf("%s from %s, answer %d\n", id, node, n)
}
