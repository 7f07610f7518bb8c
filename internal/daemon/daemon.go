// Package daemon starts, reconfigures, replaces and stops a router process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/admin"
	"cedarmast/internal/exchange"
	"cedarmast/internal/settings"
	"cedarmast/internal/socket"
	"cedarmast/internal/wire"
)

const (
	shutdownAcceptPeriod = 450 * time.Millisecond  // after SIGTERM: new connections may arrive for up to 0.4 s
	shutdownTimeout      = 3400 * time.Millisecond // after SIGTERM: SIGKILL follows no sooner than 0.3 s later
	idleClientGrace      = 1500 * time.Millisecond // after SIGTERM, for idle clients of a replaced process to send one more request
	bindTimeout          = 5 * time.Second         // for an earlier process to release the address
	sweepInterval        = 250 * time.Millisecond
	statsInterval        = 10 * time.Second
)

// run runs a router configured by the environment and returns the exit status: 2 for an invalid configuration, 1 if
// the router could not start.
func (p processEnv) run() int {
	logOutput := newLogWriter(p.stderr)
	defer logOutput.Close()
	sigs := catchSignals() // before anything else: an unhandled SIGHUP would end the process
	c, err := LoadConfig(p.getenv)
	if err != nil {
		slog.New(slog.NewTextHandler(logOutput, nil)).Error("not started", "err", err)
		return 2
	}
	level := &slog.LevelVar{}
	level.Set(c.logLevel)
	log := slog.New(slog.NewTextHandler(logOutput, &slog.HandlerOptions{Level: level}))
	load := func() (*Config, error) { return LoadConfig(p.getenv) }
	if err := Run(context.Background(), c, log, runOptions{sigs, load, level, p.newDecider, p.getenv("TMPDIR")}); err != nil {
		log.Error("not started", "err", err)
		return 1
	}
	return 0
}

// runOptions is what a router gets from its process. The zero value handles no signals.
type runOptions struct {
	signals
	loadConfig func() (*Config, error) // reads the configuration file again
	logLevel   *slog.LevelVar          // level of the logger, changed by a reload

	newDecider func(balance.Settings, uint64) exchange.Balancer // nil: the default balancer
	sharedDir  string                                           // directory shared by successive processes of one router; empty: none
}

// signals holds one channel for each kind of signal, so that signals of one kind can't displace another kind.
type signals struct{ terminate, reload, dumpCounters chan os.Signal }

// catchSignals installs the handlers. They stay installed for the life of the process, even after the router has
// stopped.
func catchSignals() signals {
	s := signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), dumpCounters: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP) // one pending signal is enough: the file is read when it is handled
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.dumpCounters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may close the pipe
	return s
}

// Run runs a router until the context is cancelled or SIGTERM or SIGINT arrives, and returns once all accepted
// requests are answered.
func Run(ctx context.Context, c *Config, log *slog.Logger, opts runOptions) error {
	r, err := start(c, log, opts.newDecider, opts.sharedDir)
	if err != nil {
		return err
	}
	for {
		select {
		case <-opts.dumpCounters:
			log.Info("counters", r.counts.LogAttrs()...)
			r.loop.LogView(slog.LevelInfo)
			continue
		case <-opts.reload:
			r.reload(opts)
			continue
		case sig := <-opts.terminate:
			log.Info("stopping", "signal", sig.String())
		case <-ctx.Done():
			log.Info("stopping")
		}
		r.stop()
		log.Info("stopped", r.counts.LogAttrs()...)
		return nil
	}
}

// router is a running router.
type router struct {
	config            *Config
	log               *slog.Logger
	counts            *exchange.Counters
	pool              *exchange.Pool
	loop              *exchange.Loop
	clients           *wire.Frontend
	peers             *wire.Peers // nil if messages between routers are off
	listener          net.Listener
	clock             exchange.Clock
	longRequestBudget *exchange.Budget
	discovery         atomic.Pointer[discoveryWatch]

	replacement
	persistence
	sharing
	admin            *admin.Server // nil without an operators' address
	adminListener    net.Listener
	ready            chan struct{} // closed when the router is ready for clients
	servers          *wire.AttemptSender
	profile          atomic.Pointer[settings.Profile] // current settings
	limitsMu         sync.Mutex
	limits           Limits // of the router; two processes share them during a replacement
	paired           bool
	longRequestLimit int64

	listedOnce    sync.Once
	listed        chan struct{} // closed when discovery has delivered a list
	acceptStopped chan struct{} // closed when the accept loop has ended

	cancel context.CancelFunc // stops the goroutines counted by wg
	wg     sync.WaitGroup
}

// start creates the components in the order of their dependencies and starts their goroutines. The router becomes
// ready later: see awaitReady.
func start(c *Config, log *slog.Logger, newDecider func(balance.Settings, uint64) exchange.Balancer, sharedDir string) (*router, error) {
	clock := exchange.NewClock()
	r := &router{config: c, log: log, counts: &exchange.Counters{}, acceptStopped: make(chan struct{}),
		listed: make(chan struct{}), ready: make(chan struct{}), clock: clock, replacement: replacement{sharedDir: sharedDir, listenAddress: c.Listen}}
	listener, inherited, err := r.takeOver()
	if err != nil {
		return nil, fmt.Errorf("taking over: %w", err)
	}
	predecessor := r.peer
	descriptors := splitDescriptors(c.Limits.perProcess(predecessor != nil).Sockets)
	r.pool = exchange.NewPool(descriptors.servers, maxReuseIdle(time.Duration(c.Settings.Limits.ConnIdle)), r.counts)

	loop := exchange.NewLoop()
	r.loop = loop
	loop.Clock, loop.Counters, loop.Log, loop.Pool = clock, r.counts, log, r.pool
	loop.Settings, loop.Seed, loop.NewBalancer = c.Settings.Settings(), c.seed, newDecider
	c.operatorFile.Apply(&loop.Settings)
	loop.Subscribe = func() {
		if w := r.discovery.Load(); w != nil {
			w.RetryNow()
		}
	}
	r.longRequestBudget = exchange.NewBudget(0)
	r.profile.Store(c.Settings)
	r.servers = &wire.AttemptSender{Pool: r.pool, Counters: r.counts,
		ConnectTimeout: time.Duration(c.Settings.Limits.ConnectTimeout),
		NonIdempotent:  func(class string) bool { return !r.profile.Load().IsSafe(class) }}
	loop.Sender = r.servers
	loop.PeerSender = noopTeller{}
	known, fromIndex := c.Known, c.Known.Index
	if restored := r.restore(c, loop); restored != c.Known && inherited == nil {
		known, fromIndex = restored, wire.UnknownIndex // its index may belong to another discovery service
	}
	if inherited != nil {
		r.addSnapshot(inherited.Facts, 0)
		loop.Maintenance, loop.Settings.PriorAnswerRate = inherited.Maintenance.Copy(), inherited.Answered
		// newer than the file; its index may belong to another discovery service
		if inherited.Known != nil && len(inherited.Known.Endpoints) > 0 {
			known, fromIndex = inherited.Known, wire.UnknownIndex
		}
	} else if saved, ok := r.loadMaintenance(); ok {
		// either copy may lack an order that was given while the disk was full: a server out in one is out
		loop.Maintenance = saved.Merge(loop.Maintenance)
	}
	defer func() {
		if err == nil {
			return
		}
		r.disconnectPeer()
		for _, l := range []net.Listener{listener, r.adminListener} {
			if l != nil {
				l.Close()
			}
		}
		if r.peers != nil {
			r.peers.Close()
		}
	}()

	if c.PeerListen != "" && c.Settings.Limits.PeerMessages {
		if r.peers, err = wire.ListenPeers(c.PeerListen, c.Peers); err != nil {
			return nil, err
		}
		r.peers.Counters, r.peers.OnMessage = r.counts, func(_ int, text []byte) { loop.ReceivePeerMessage(text) }
		loop.PeerSender = r.peers
	}
	r.startSharing(c, loop)
	if c.Operators != "" {
		if r.adminListener, err = listen(c.Operators, net.ListenConfig{}); err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
	}
	if listener == nil {
		if listener, err = listen(c.Listen, socket.ReusePort); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	r.listener = listener
	r.clients = wire.NewFrontend(loop, r.counts, log, descriptors.clients)
	r.clients.BodyBudget = r.longRequestBudget
	r.clients.KnownClass = func(class string) bool { return r.profile.Load().HasClass(class) }
	r.updateLimits(func() { r.limits, r.paired = c.Limits, predecessor != nil })

	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.background(func() { loop.Run(ctx) })
	loop.UpdateServers(known.ServerList(balance.Persisted, clock))
	r.startWatch(c.Discovery, fromIndex)
	if r.peers != nil {
		r.background(r.peers.Run)
	}
	if r.facts != nil {
		r.background(func() { r.facts.Run(ctx) })
		r.background(func() { r.followOrders(ctx) })
	}
	r.background(func() { r.housekeep(ctx) })
	if r.store != nil {
		r.background(func() { r.runSaves(ctx) })
	}
	r.background(func() {
		defer close(r.acceptStopped)
		if predecessor != nil { // the predecessor still serves: leave new connections to it until this process is ready
			select {
			case <-r.ready:
			case <-predecessor.Ended:
			case <-ctx.Done():
			}
		}
		r.clients.Serve(r.listener)
	})
	r.background(func() { r.awaitReady(ctx, c.Name, known.Index, descriptors) })
	if r.adminListener != nil {
		r.admin = &admin.Server{Healthy: r.clients.IsServing, Maintain: r.maintain, Log: log}
		if r.facts != nil {
			r.admin.Facts = func() ([]byte, error) { return r.factsReport(c.Name) }
		}
		r.background(func() { r.admin.Serve(r.adminListener) })
	}
	if predecessor != nil {
		log.Info("taken over from a running process", "servers", len(known.Endpoints), "servers_out", len(loop.Maintenance.Out))
		r.background(func() { r.followPeer(predecessor) })
	} else {
		r.awaitSuccessors()
	}
	return r, nil
}

// awaitReady marks the router ready once discovery has delivered a list or, while discovery does not answer, once it
// may serve from the list known before. Without any list the router stays not ready.
func (r *router) awaitReady(ctx context.Context, name string, knownIndex int64, descriptors descriptorShares) {
	r.trackRecovery(ctx, knownIndex != wire.UnknownIndex, func() {
		r.clients.Ready.Store(true)
		close(r.ready)
		r.log.Info("ready", "name", name, "listen", r.listenAddress, "known_index", knownIndex,
			"clients_most", descriptors.clients, "server_connections_most", descriptors.servers)
	})
}

// listen binds the address. It retries for bindTimeout while an earlier process still holds it.
func listen(address string, config net.ListenConfig) (net.Listener, error) {
	for deadline := time.Now().Add(bindTimeout); ; time.Sleep(20 * time.Millisecond) {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, err
		}
	}
}

// maxReuseIdle is how long an idle connection may be reused: below the server's idle timeout, so that the server does
// not close it under a request.
func maxReuseIdle(serverIdleTimeout time.Duration) time.Duration {
	return serverIdleTimeout - max(serverIdleTimeout/10, min(serverIdleTimeout/2, 300*time.Millisecond))
}

// noopTeller discards messages to other routers when they are off.
type noopTeller struct{}

func (noopTeller) SendMessage(int, []byte) {}

// background runs f in a goroutine that stop waits for.
func (r *router) background(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// housekeep closes expired idle connections and logs the counters periodically.
func (r *router) housekeep(ctx context.Context) {
	sweep, stats := time.NewTicker(sweepInterval), time.NewTicker(statsInterval)
	defer sweep.Stop()
	defer stats.Stop()
	for {
		select {
		case now := <-sweep.C:
			r.pool.CloseExpired(now)
		case <-stats.C:
			r.log.Info("counters", r.counts.LogAttrs()...)
			r.loop.LogView(slog.LevelDebug)
		case <-ctx.Done():
			return
		}
	}
}

// stop accepts connections for a short time more, answers all requests and releases all resources. If another process
// accepts from the same listener, this one stops accepting at once and keeps its idle connections open for longer:
// their clients move to the other process with the response to their next request, and none finds its connection
// closed while it sends one.
func (r *router) stop() {
	expire := time.AfterFunc(shutdownTimeout, r.loop.FailAll)
	defer expire.Stop()
	replaced := r.stopReplacing()
	r.clients.StopKeepAlive()
	if replaced {
		r.listener.Close()
		<-r.acceptStopped
		for deadline := time.Now().Add(idleClientGrace); time.Now().Before(deadline) && r.counts.ClientsOpen.Load() > 0; {
			time.Sleep(idleClientGrace / 50)
		}
	} else {
		time.Sleep(shutdownAcceptPeriod)
		r.listener.Close()
		<-r.acceptStopped
	}
	r.clients.CloseIdle()
	r.clients.Wait()
	r.saveNow()
	if r.admin != nil {
		r.adminListener.Close()
		r.admin.Close()
	}
	r.cancel()
	r.discovery.Load().stop()
	if r.peers != nil {
		r.peers.Close()
	}
	r.disconnectPeer()
	r.wg.Wait()
	r.pool.Close()
}
