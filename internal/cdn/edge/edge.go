// Package edge is the proxy's process: it takes clients' requests on a counter machine, finds their route in the common
// configuration, and sends them on, shelved ones by way of the cache router that the interval table names. All decisions
// about servers and cache routers are balance's, hosted by exchange as in the router in service.
package edge

import (
	"context"
	"log/slog"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/metrics"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/peersampling"
	"cedarmast/internal/cdn/statesync"
	"cedarmast/internal/cdn/truetime"
	"cedarmast/internal/cdn/upstream"
	"cedarmast/internal/cdn/usage"
	"cedarmast/internal/exchange"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("edge")

const (
	maxLent      = 64 << 20                // bytes of a body that is taken from another cache router
	cachePart    = 4                       // of the memory, for copies
	bodiesPart   = 5                       // and for requests over the usual length
	notReadyFor  = 2600 * time.Millisecond // after SIGTERM, until the platform has seen it twice
	endMargin    = 700 * time.Millisecond  // of grace, kept back at most
	endPart      = 8                       // and so much of it: what is in hand has longer than five sixths of grace
	fdsReserved  = 400
	viewMost     = 10
	mingleEvery  = 3 * time.Second
	mbpsPerCore  = 800 // that a core bears, with small bodies among them; an estimate, for weights alone
	memoryTarget = 0.8 // of the memory, past which garbage is collected at once
)

// Edge is the process. Run starts it.
type Edge struct {
	set         bootconfig.Settings
	log         hclog.Logger
	decisions   *slog.Logger // of the decisions' hosts
	peers       *peerrpc.Peers
	replica     *statesync.Replica
	view        *peersampling.View
	cache       *objectcache.Cache
	bodies      *exchange.Budget // of long requests
	clock       exchange.Clock
	counts      exchange.Counters
	lists       atomic.Int64      // of servers, that the decisions of services were told
	callers     *departure.Ledger // who waits for answers, and who has left
	link        *link             // the machine's, to clients and others
	from        *link             // and from others
	sender      *upstream.Sender
	zoneCaches  *cacheTier // to a key's cache router in the own zone
	shields     *cacheTier // to its shield
	zoneShields *cacheTier // to a shield in the own zone, if there is one

	plan     atomic.Pointer[plan] // what requests are served by
	changes  chan func()          // what follows from news and may wait, in order
	ready    atomic.Bool
	ending   atomic.Bool
	lastWord atomic.Bool // every answer is the last of its connection

	// Under the replica's lock:
	services map[string]*service
	started  map[string]balance.Time
	relisted map[string]bool // services whose decisions have not heard of the last changes of their servers

	listPause time.Duration // listTogether; 0: each change is told by itself

	meter *usage.Meter    // of the tenants' requests; nil where none are reported
	truth *truetime.Clock // the time of day, for report windows

	fetches fetches
	lent    calls // by others, in hand
	life    context.Context
	running sync.WaitGroup
}

// Run serves until the context ends, then ends in order.
func Run(ctx context.Context, set bootconfig.Settings, log hclog.Logger) error {
	clients := slices.Contains(set.Serves, "counter") || set.Counter != ""
	switch {
	case clients && set.Counter == "":
		return Error.New("network.listen_on.counter: missing")
	case clients && set.Readiness == "":
		return Error.New("network.listen_on.readiness: missing")
	}
	debug.SetMemoryLimit(int64(float64(set.MemoryMB<<20) * memoryTarget))
	life, end := context.WithCancel(context.Background())
	defer end()
	e := &Edge{set: set, log: log, peers: peerrpc.NewPeers(), replica: statesync.New(),
		cache: objectcache.New(int64(set.MemoryMB<<20) / cachePart), clock: exchange.NewClock(), changes: make(chan func(), 4096),
		life: life, listPause: listTogether}
	e.init()
	own := set.Inner(set.IP, bootconfig.EdgePort)
	e.view = peersampling.New(own, viewMost, mrand.Uint64())
	e.replica.Set, e.replica.Peers, e.replica.Log = set, e.peers, log.Named("statesync")
	e.replica.Router = clusterstate.Router{Node: set.Node, Zone: set.Zone, Address: own, Weight: weight(set), Inner: !clients}
	e.replica.Took, e.replica.Neighbours = e.took, e.view.Neighbours
	if e.truth != nil {
		e.replica.Heard = func(_ string, wall, _, answered time.Time) { e.truth.Hear(coreClock, wall, answered) }
	}

	inner, err := net.Listen("tcp", own)
	if err != nil {
		return Error.Wrap(err)
	}
	var front *front
	if clients {
		if front, err = e.open(); err != nil {
			return err
		}
	}
	e.running.Go(func() { e.zoneCaches.loop.Run(life) })
	e.running.Go(func() { e.shields.loop.Run(life) })
	e.running.Go(func() { e.zoneShields.loop.Run(life) })
	e.running.Go(func() { e.follow(life) })
	e.running.Go(func() { e.sweep(life) })
	e.running.Go(func() { e.mingle(life) })
	e.running.Go(func() { e.tell(life) })
	if e.meter != nil {
		e.running.Go(func() { e.reportUsage(life) })
	}
	e.running.Go(func() { e.showOnSignal(life) })
	go e.replica.Run(life)
	go peerrpc.Serve(inner, "Edge", func(s *peerrpc.Session) any { return &peerCalls{e, s} })
	metrics.Serve(life, set, log, e.figures()...)
	if front != nil {
		front.serve()
	}
	log.Info("started", "address", set.Counter, "zone", set.Zone, "weight", e.replica.Router.Weight)

	<-ctx.Done()
	e.ending.Store(true)
	begun := time.Now()
	if front != nil {
		front.end(begun)
		e.reportLast()
	} else {
		e.lent.end(lastMoment(begun, set.Bounds.Grace))
	}
	log.Info("ended in order", "after", time.Since(begun).Round(time.Millisecond))
	return nil
}

// weight is what a machine can carry beside others, in Mbit/s: its link, or what its part of a core bears.
func weight(set bootconfig.Settings) float64 { return max(min(set.LinkMbps, set.Cores*mbpsPerCore), 1) }

// front is where clients and the platform come in. A machine that serves no clients has none, and only lends copies.
type front struct {
	edge               *Edge
	readiness, counter net.Listener
	listener           *clientListener
	server             *http.Server
}

func (e *Edge) open() (*front, error) {
	readiness, err := net.Listen("tcp", e.set.Readiness)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	counter, err := net.Listen("tcp", e.set.Counter)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &front{edge: e, readiness: readiness, counter: counter}, nil
}

func (t *front) serve() {
	t.listener = newClientListener(t.counter)
	t.server = &http.Server{Handler: http.HandlerFunc(t.edge.serve), ConnState: t.listener.state, ConnContext: withConnection, ReadHeaderTimeout: longestHeader, IdleTimeout: longestIdle,
		MaxHeaderBytes: 64 << 10, ErrorLog: t.edge.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	go t.server.Serve(t.listener)
	t.edge.running.Go(func() { t.listener.limit(t.edge.life, t.edge.limits) })
	gate := &http.Server{Handler: http.HandlerFunc(t.edge.serveReady), ReadHeaderTimeout: 2 * time.Second}
	go gate.Serve(t.readiness)
}

// limits are what clients may do by the configuration in force.
func (e *Edge) limits() clusterstate.Limits {
	if p := e.plan.Load(); p != nil {
		return p.Limits
	}
	return clusterstate.UsualLimits
}

// end is the end in order: not ready, then no new connections, then what is in hand.
func (t *front) end(begun time.Time) {
	t.edge.log.Info("ending: takes what still comes until the platform sends no more")
	time.Sleep(min(notReadyFor, t.edge.set.Bounds.Grace/2))
	t.edge.lastWord.Store(true)
	if left := t.listener.drain(lastMoment(begun, t.edge.set.Bounds.Grace)); left > 0 {
		t.edge.log.Warn("ended with requests in hand", "connections", left)
	}
	t.server.Close()
}

// lastMoment is until when an end in order waits for what is in hand.
func lastMoment(begun time.Time, grace time.Duration) time.Time {
	return begun.Add(grace - min(endMargin, grace/endPart))
}

func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/ready" {
		http.NotFound(w, r)
		return
	}
	if !e.ready.Load() || e.ending.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// follow carries out, in order, what follows from news.
func (e *Edge) follow(ctx context.Context) {
	for {
		select {
		case do := <-e.changes:
			do()
		case <-ctx.Done():
			return
		}
	}
}

func (e *Edge) sweep(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for turn := 1; ; turn++ {
		select {
		case now := <-look.C:
			e.refreshDue(now)
			if turn%10 == 0 {
				e.weigh()
			}
			if turn%20 == 0 {
				e.sender.Pool.Sweep(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// init makes what hangs on the settings alone.
func (e *Edge) init() {
	e.link, e.from = newLink(e.set.LinkMbps), newLink(e.set.LinkMbps)
	e.callers = departure.NewLedger()
	e.callers.LogBreaches(e.log)
	if e.log == nil {
		e.log = hclog.NewNullLogger()
	}
	e.decisions = slog.New(decisionLog{log: e.log.Named("decisions")})
	e.services, e.started, e.relisted = map[string]*service{}, map[string]balance.Time{}, map[string]bool{}
	e.bodies = exchange.NewBudget(int64(e.set.MemoryMB<<20) / bodiesPart)
	e.fetches.all = map[level]*fetch{}
	if e.set.Platform.ReportsUsage() {
		e.meter, e.truth = usage.NewMeter(e.set.Node, newLife(), e.set.Platform.ReportWindow), truetime.New(time.Now(), false)
	}
	e.sender = upstream.NewSender(max(e.set.FileHandles/2-fdsReserved, 64), &e.counts)
	e.zoneShields = newCacheTier(e, true, true)
	e.zoneCaches, e.shields = newCacheTier(e, false, true), newCacheTier(e, true, false)
}

// mingle keeps this router's partial view of the others: now and then it is exchanged in part with one of them. The roster is
// only asked for somebody to begin with, or when nobody in the view answers any more.
func (e *Edge) mingle(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(mingleEvery/2 + mrand.N(mingleEvery)):
		}
		if len(e.view.Neighbours()) < viewMost/2 {
			e.replica.Read(func(s *clusterstate.State) {
				for _, r := range s.Routers { // in no order, and until the view is full
					if r.Node != e.set.Node {
						e.view.Meet(r.Address)
					}
				}
			})
		}
		ask, offer := e.view.Begin(e.replica.Index())
		if ask == "" {
			continue
		}
		call, done := context.WithTimeout(ctx, time.Second)
		answer, err := peerrpc.Call[[]peersampling.Neighbour, []peersampling.Neighbour](call, e.peers.At(ask), "Edge.Mingle", &offer)
		if done(); err != nil {
			e.log.Debug("a neighbour is gone", "err", err)
			continue
		}
		e.view.End(answer, offer)
	}
}

// newLoop returns a host for decisions, with this process's clock and counters.
func (e *Edge) newLoop(set balance.Settings, sender exchange.Sender, pool *exchange.Pool) *exchange.Loop {
	l := exchange.NewLoop()
	l.Clock, l.Counts, l.Log, l.Pool, l.Sender, l.Teller = e.clock, &e.counts, e.decisions, pool, sender, nobody{}
	l.Settings, l.Seed = set, mrand.Uint64()
	return l
}

// nobody is told nothing: the system's routers learn of one another by the common state.
type nobody struct{}

func (nobody) Tell(int, []byte) {}
