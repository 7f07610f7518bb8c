// Package edge is the proxy process (router). It accepts client requests, finds their route in the replicated configuration and forwards
// them to servers; requests for cacheable objects go through the cache router that the balancer's interval table names. Package
// balance chooses servers and cache routers; package exchange runs it, as in the existing router.
package edge

import (
	"context"
	"log/slog"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/metrics"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/peersampling"
	"cedarmast/internal/cdn/startup"
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
	maxPeerBodyBytes     = 64 << 20 // upper bound of a body's bytes from another cache router
	cacheMemoryDivisor   = 4        // the cache may use the memory divided by this
	sharedMemoryDivisor  = 12       // beyond the memory divided by this, what callers make the router hold is taken from the cache
	reservedFDs          = 400      // file handles that are not for server connections
	maxViewPeers         = 10       // neighbours in the partial view
	peerSamplingInterval = 3 * time.Second
	mbpsPerCore          = 800 // estimate of what a core can carry, small bodies included; used only for weights
)

// Edge is the proxy process. Run starts it.
type Edge struct {
	config      bootconfig.Settings
	log         hclog.Logger
	balanceLog  *slog.Logger // for the load balancer loops
	peers       *peerrpc.Peers
	replica     *statesync.Replica
	peerView    *peersampling.View
	cache       *objectcache.Cache
	memory      *admission.Memory // bounds what clients and other routers make this router hold
	clock       exchange.Clock
	counters    exchange.Counters
	serverLists atomic.Int64          // number of server lists that were sent to load balancers
	callers     *cancellation.Tracker // clients and peers that wait for a response, and cancelled ones whose attempts have not ended
	outbound    *link                 // bandwidth to clients and other routers
	inbound     *link                 // bandwidth from other routers
	sender      *upstream.Sender
	zoneCaches  *cacheTier // to a key's cache router, own zone first
	shields     *cacheTier // to a key's shield
	zoneShields *cacheTier // to a key's shield, own zone first

	plan         atomic.Pointer[plan] // the configuration in force; nil until it is known
	changes      chan func()          // deferred work of state changes, run in order by runChanges
	ready        atomic.Bool
	shuttingDown atomic.Bool
	closeConns   atomic.Bool // every response closes its connection

	// Guarded by the replica's lock:
	services        map[string]*service
	warmupStarts    map[string]balance.Time // by server: start of its warm-up
	changedServices map[string]bool         // services whose server list is out of date at the load balancers

	listDelay time.Duration // listDebounce; 0: each change is sent at once

	meter     *usage.Meter    // counts the tenants' requests; nil if usage is not reported
	wallClock *truetime.Clock // wall clock time for report windows

	fetches      fetches
	inboundCalls callCounter // calls from other routers in flight
	uploads      callCounter // request bodies that are still being sent to servers that have responded already
	lifetime     context.Context
	tasks        sync.WaitGroup
}

// CheckSettings returns an error if the settings lack what a proxy needs.
func CheckSettings(config bootconfig.Settings) error {
	switch {
	case servesClients(config) && config.ClientAddress == "":
		return Error.New("network.listen_on.counter: missing")
	case servesClients(config) && config.ReadinessAddress == "":
		return Error.New("network.listen_on.readiness: missing")
	}
	return nil
}

// servesClients reports whether a machine accepts clients' requests.
func servesClients(config bootconfig.Settings) bool {
	return slices.Contains(config.Serves, "counter") || config.ClientAddress != ""
}

// Run serves until the context ends, then shuts down gracefully within the grace period.
func Run(ctx context.Context, config bootconfig.Settings, log hclog.Logger) error {
	if err := CheckSettings(config); err != nil {
		return err
	}
	clients := servesClients(config)
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &Edge{config: config, log: log, peers: peerrpc.NewPeers(), replica: statesync.New(),
		cache: objectcache.New(int64(config.MemoryMB<<20) / cacheMemoryDivisor), clock: exchange.NewClock(), changes: make(chan func(), 4096),
		lifetime: lifetime, listDelay: listDebounce}
	e.init()
	e.peers.Replies = e.memory.Received
	ownAddress := config.InternalAddress(config.IP, bootconfig.EdgePort)
	e.peerView = peersampling.New(ownAddress, maxViewPeers, mrand.Uint64())
	e.replica.Set, e.replica.Peers, e.replica.Log = config, e.peers, log.Named("statesync")
	e.replica.Router = clusterstate.Router{Node: config.Node, Zone: config.Zone, Address: ownAddress,
		Weight: machineWeight(config), Inner: !clients}
	e.replica.Took, e.replica.Neighbours = e.applyChange, e.peerView.Addresses
	if e.wallClock != nil {
		e.replica.Heard = func(_ string, wall, _, answered time.Time) { e.wallClock.SetReading(coreClockSource, wall, answered) }
	}

	peerListener, err := startup.Listen(ctx, ownAddress, log)
	if err != nil {
		return err
	}
	var front *clientFrontend
	if clients {
		if front, err = e.openFrontend(ctx); err != nil {
			return err
		}
	}
	e.tasks.Go(func() { e.zoneCaches.loop.Run(lifetime) })
	e.tasks.Go(func() { e.shields.loop.Run(lifetime) })
	e.tasks.Go(func() { e.zoneShields.loop.Run(lifetime) })
	e.tasks.Go(func() { e.runChanges(lifetime) })
	e.tasks.Go(func() { e.runMaintenance(lifetime) })
	e.tasks.Go(func() { e.runPeerSampling(lifetime) })
	e.tasks.Go(func() { e.reportDemand(lifetime) })
	if e.meter != nil {
		e.tasks.Go(func() { e.reportUsage(lifetime) })
	}
	e.tasks.Go(func() { e.logStateOnSignal(lifetime) })
	go e.replica.Run(lifetime)
	go func() {
		err := peerrpc.Serve(e.memory.GuardMessages(peerListener, maxPeerConnections(config.FileHandles)), "Edge", peerrpc.Options{Memory: e.memory},
			func(s *peerrpc.Session) any { return &peerHandler{e, s} })
		if err != nil {
			log.Error("other routers are no longer answered", "err", err)
		}
	}()
	metrics.Serve(lifetime, config, log, e.collectors()...)
	if front != nil {
		front.serve()
	}
	log.Info("started", "address", config.ClientAddress, "zone", config.Zone, "weight", e.replica.Router.Weight)

	<-ctx.Done()
	e.shuttingDown.Store(true)
	started := time.Now()
	if front != nil {
		front.shutdown(started)
		e.reportFinalUsage()
		e.uploads.waitIdle(shutdownDeadline(started, config.Limits.Grace))
	} else {
		e.inboundCalls.waitIdle(shutdownDeadline(started, config.Limits.Grace))
	}
	log.Info("shut down cleanly", "after", time.Since(started).Round(time.Millisecond))
	return nil
}

// machineWeight returns a machine's capacity in Mbit/s, for comparison with other machines: the lower of its link and its share of a core.
func machineWeight(config bootconfig.Settings) float64 {
	return max(min(config.LinkMbps, config.Cores*mbpsPerCore), 1)
}

// runChanges runs the deferred work of state changes, in order, until the context ends.
func (e *Edge) runChanges(ctx context.Context) {
	for {
		select {
		case do := <-e.changes:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// runMaintenance refreshes cache entries and, less often, reweighs servers and closes connections that are idle or unusable, until the context ends.
func (e *Edge) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case now := <-ticker.C:
			e.cache.SetMaxBytes(e.cacheBytes())
			e.refreshDue(now)
			if tick%2 == 0 {
				e.sender.Pool.CloseUnusable()
			}
			if tick%10 == 0 {
				e.reweighServers()
			}
			if tick%20 == 0 {
				e.sender.Pool.CloseExpired(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// cacheBytes returns how many bytes the cache may use now: entries make room for what clients and other routers make this router hold.
func (e *Edge) cacheBytes() int64 {
	memory := int64(e.config.MemoryMB << 20)
	return memory/cacheMemoryDivisor - min(max(e.memory.Used()-memory/sharedMemoryDivisor, 0), memory/cacheMemoryDivisor)
}

// init creates what depends only on the settings.
func (e *Edge) init() {
	e.outbound, e.inbound = newLink(e.config.LinkMbps), newLink(e.config.LinkMbps)
	e.callers = cancellation.NewTracker()
	e.callers.LogViolations(e.log)
	if e.log == nil {
		e.log = hclog.NewNullLogger()
	}
	e.balanceLog = slog.New(balanceLogHandler{log: e.log.Named("decisions")})
	e.services, e.warmupStarts, e.changedServices = map[string]*service{}, map[string]balance.Time{}, map[string]bool{}
	e.memory = admission.NewMemory(e.config.MemoryMB, admission.ProxyShares)
	e.fetches.inFlight = map[fetchKey]*fetch{}
	if e.config.Platform.ReportsUsage() {
		e.meter, e.wallClock = usage.NewMeter(e.config.Node, newProcessID(), e.config.Platform.ReportWindow), truetime.New(time.Now(), false)
	}
	e.sender = upstream.NewSender(max(e.config.FileHandles/2-reservedFDs, 64), &e.counters, e.memory.Answers)
	e.zoneShields = newCacheTier(e, true, true)
	e.zoneCaches, e.shields = newCacheTier(e, false, true), newCacheTier(e, true, false)
}

// runPeerSampling maintains this router's partial view of the other routers, by periodically exchanging part of it with one of them. The
// roster is used only to bootstrap the view, or when too few of its routers answer.
func (e *Edge) runPeerSampling(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerSamplingInterval/2 + mrand.N(peerSamplingInterval)):
		}
		if len(e.peerView.Addresses()) < maxViewPeers/2 {
			e.replica.View(func(s *clusterstate.State) {
				for _, r := range s.Routers { // in random order, until the view is full
					if r.Node != e.config.Node {
						e.peerView.AddAddresses(r.Address)
					}
				}
			})
		}
		peer, offer := e.peerView.StartExchange(e.replica.Index())
		if peer == "" {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		answer, err := peerrpc.Call[[]peersampling.Neighbour, []peersampling.Neighbour](callCtx, e.peers.At(peer), "Edge.Mingle", &offer)
		if cancel(); err != nil {
			e.log.Debug("neighbour does not answer", "err", err)
			continue
		}
		e.peerView.FinishExchange(answer, offer)
	}
}

// newLoop returns a load balancer loop with this process's clock and counters.
func (e *Edge) newLoop(settings balance.Settings, sender exchange.Sender, pool *exchange.Pool) *exchange.Loop {
	l := exchange.NewLoop()
	l.Clock, l.Counters, l.Log, l.Pool, l.Sender, l.PeerSender = e.clock, &e.counters, e.balanceLog, pool, sender, noPeerSender{}
	l.Settings, l.Seed = settings, mrand.Uint64()
	return l
}

// noPeerSender is an exchange.PeerSender that drops the balancer's messages to peers: routers learn of one another from the replicated
// state.
type noPeerSender struct{}

// SendMessage drops the message.
func (noPeerSender) SendMessage(int, []byte) {}
