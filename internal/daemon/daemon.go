// Package daemon starts and stops a router: its configuration, its parts, readiness and the way it ends.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/wire"
)

const (
	acceptFor  = 450 * time.Millisecond  // after SIGTERM: connections still come for up to 0.4 s
	finishFor  = 3400 * time.Millisecond // after SIGTERM: SIGKILL comes no sooner than 0.3 s later
	bindFor    = 5 * time.Second         // for an earlier process to let go of the address
	listFor    = 500 * time.Millisecond  // at the start, for discovery's first word
	sweepEvery = 250 * time.Millisecond
	statsEvery = 10 * time.Second
)

// Main runs a router by the environment's word and returns the status to exit with: 2 for a faulty configuration, 1 for
// a router that could not start.
func Main(getenv func(string) string, stderr io.Writer) int {
	lines := newLogWriter(stderr)
	defer lines.Close()
	c, err := LoadConfig(getenv)
	if err != nil {
		slog.New(slog.NewTextHandler(lines, nil)).Error("not started", "err", err)
		return 2
	}
	log := c.Logger(lines)
	if err := Run(context.Background(), c, log); err != nil {
		log.Error("not started", "err", err)
		return 1
	}
	return 0
}

// Run runs a router until the context ends, or SIGTERM or SIGINT comes, and all that it has taken is answered.
func Run(ctx context.Context, c *Config, log *slog.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go away
	r, err := start(c, log)
	if err != nil {
		return err
	}
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				log.Info("counters", r.counts.LogAttrs()...)
				continue
			}
			log.Info("stopping", "signal", s.String())
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
	config   *Config
	log      *slog.Logger
	counts   *exchange.Counters
	pool     *exchange.Pool
	loop     *exchange.Loop
	clients  *wire.Clients
	peers    *wire.Peers // nil without messages
	listener net.Listener

	accepted chan struct{} // closed when no connection is accepted any more

	halt context.CancelFunc // of the goroutines below
	wg   sync.WaitGroup
}

// start brings all parts up, in the order in which they need one another. The router is ready a little later.
func start(c *Config, log *slog.Logger) (*router, error) {
	c.Limits.apply()
	parts := share(c.Limits.Sockets)
	clock := exchange.NewClock()
	r := &router{config: c, log: log, counts: &exchange.Counters{}, accepted: make(chan struct{})}
	r.pool = exchange.NewPool(parts.servers, reuseFor(time.Duration(c.Settings.Limits.ConnIdle)), r.counts)

	discovery := wire.NewDiscovery(c.Discovery)
	discovery.Index, discovery.Clock, discovery.Counts, discovery.Log = c.Known.Index, clock, r.counts, log

	loop := exchange.NewLoop()
	r.loop = loop
	loop.Clock, loop.Counts, loop.Log, loop.Pool = clock, r.counts, log, r.pool
	loop.Settings, loop.Seed, loop.Subscribe = c.Settings.Settings(), c.seed, discovery.Subscribe
	loop.Sender = &wire.Servers{Pool: r.pool, Counts: r.counts,
		ConnectTimeout: time.Duration(c.Settings.Limits.ConnectTimeout)}
	loop.Teller = silent{}
	discovery.Listed = loop.Listed

	var err error
	if c.PeerListen != "" && c.Settings.Limits.PeerMessages {
		if r.peers, err = wire.ListenPeers(c.PeerListen, c.Peers); err != nil {
			return nil, err
		}
		r.peers.Counts, r.peers.Heard = r.counts, loop.Heard
		loop.Teller = r.peers
	}
	if r.listener, err = listen(c.Listen); err != nil {
		if r.peers != nil {
			r.peers.Close()
		}
		return nil, fmt.Errorf("listen: %w", err)
	}
	r.clients = wire.NewClients(loop, r.counts, log, parts.clients)

	ctx, halt := context.WithCancel(context.Background())
	r.halt = halt
	r.background(func() { loop.Run(ctx) })
	loop.Listed(c.Known.List(balance.Persisted, clock))
	first := make(chan struct{})
	r.background(func() { discovery.Run(ctx, first) })
	if r.peers != nil {
		r.background(r.peers.Run)
	}
	r.background(func() { r.housekeep(ctx) })
	r.background(func() {
		defer close(r.accepted)
		r.clients.Serve(r.listener)
	})
	r.background(func() { r.beReady(ctx, first, parts) })
	return r, nil
}

// beReady says that clients may come: once there is a list that discovery has told of late, or, while it is silent, the
// one that was known. Without any list there is nothing to serve from.
func (r *router) beReady(ctx context.Context, first <-chan struct{}, parts shares) {
	var enough <-chan time.Time
	if r.config.Known.Index != wire.Unknown {
		enough = time.After(listFor)
	}
	select {
	case <-first:
	case <-enough:
	case <-ctx.Done():
		return
	}
	r.clients.Ready.Store(true)
	r.log.Info("ready", "name", r.config.Name, "listen", r.config.Listen, "known_index", r.config.Known.Index,
		"clients_most", parts.clients, "server_connections_most", parts.servers)
}

// listen binds the address, which an earlier process of the same name may hold for a moment yet.
func listen(address string) (net.Listener, error) {
	for until := time.Now().Add(bindFor); ; time.Sleep(20 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return l, err
		}
	}
}

// reuseFor is how long an idle connection is used again, some way under the servers' limit.
func reuseFor(limit time.Duration) time.Duration {
	return limit - max(limit/10, min(limit/2, 300*time.Millisecond))
}

// silent stands for the other routers where there are no messages.
type silent struct{}

func (silent) Tell(int, []byte) {}

func (r *router) background(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// housekeep closes idle connections in time and prints the counters now and then.
func (r *router) housekeep(ctx context.Context) {
	sweep, stats := time.NewTicker(sweepEvery), time.NewTicker(statsEvery)
	defer sweep.Stop()
	defer stats.Stop()
	for {
		select {
		case now := <-sweep.C:
			r.pool.Sweep(now)
		case <-stats.C:
			r.log.Info("counters", r.counts.LogAttrs()...)
		case <-ctx.Done():
			return
		}
	}
}

// stop takes what still comes for a moment, answers everything and lets go of all parts.
func (r *router) stop() {
	expire := time.AfterFunc(finishFor, r.loop.Expire)
	defer expire.Stop()
	r.clients.Finish()
	time.Sleep(acceptFor)
	r.listener.Close()
	<-r.accepted
	r.clients.CloseIdle()
	r.clients.Wait()
	r.halt()
	if r.peers != nil {
		r.peers.Close()
	}
	r.wg.Wait()
	r.pool.Close()
}
