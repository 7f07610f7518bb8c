// Package soak runs real processes of the delivery network on this machine's loopback interface under overlapping faults: most
// clients abandon their requests, servers take seconds or drop responses, processes are killed, paused and restarted gracefully,
// and the configuration changes meanwhile. A seed determines all random choices, so that a failure can be replayed by its seed, as
// far as real time allows. The package checks from outside that work for a client that has left is cancelled, and by their metrics
// that no process counted a violation of the invariant of package cancellation.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/cdn/localnet"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

const (
	serviceName  = "desk"
	readyTimeout = 20 * time.Second
	settleTime   = 5 * time.Second // after the day, for work in flight to end
)

// The numbers of clients and servers: a minimum for a small network, and a number per edge for a large one.
const (
	minServers              = 6
	edgesPerServer          = 8
	minClients              = 40
	clientsPerEdge          = 4 // clients that open a connection for each request
	minKeepAliveClients     = 18
	keepAliveClientsPerEdge = 2 // clients that reuse one connection
	defaultRevoke           = 2 * time.Second
	defaultContact          = 2 * time.Second
)

// Plan configures a soak run.
type Plan struct {
	Seed     uint64
	Duration time.Duration // how long clients send requests and faults are injected
	Shape    localnet.Shape
	Out      io.Writer // receives the log of events; nil: none
	LogDir   string    // for RunSeeds: the directory that keeps the logs of runs with violations; empty: none are kept
	// LargeEvery is for RunSeeds: seeds that it divides run as many edges as the machine bears. 0: none do.
	LargeEvery uint64
}

// Report is the result of a soak run.
type Report struct {
	Requests, Abandoned, Runs int
	KeepAlive                 int // of the requests: over keep-alive connections
	Keyless                   int // of the others: without a key, or with one that may be refused at once
	Refused                   int // of the rest: refused before their clients meant to leave, so that no work started for them
	Faults                    int
	EndlessAnswers            int // that servers began
	EarlyAnswers              int // that servers began before they had read the request
	EndedEarly                int // processes that a signal ended before their program's first instruction, and that were started again
	Violations                []string
	Acknowledgements          acknowledgements
}

func (r Report) String() string {
	return fmt.Sprintf(
		"%d requests, %d of them over keep-alive connections, %d abandoned by their clients, %d runs at servers, %d answers without end, %d early answers, %d faults, %d ended by a signal before their first instruction, %d violations reported",
		r.Requests, r.KeepAlive, r.Abandoned, r.Runs, r.EndlessAnswers, r.EarlyAnswers, r.Faults, r.EndedEarly, len(r.Violations))
}

// soakRun is the state of one soak run.
type soakRun struct {
	Plan
	net            *localnet.Network
	recorder       *recorder
	servers        []*stubServer
	start          time.Time
	faultsOver     atomic.Bool  // servers neither delay, fail nor drop requests any more
	endlessAnswers atomic.Int64 // number of answers that servers began without an end
	earlyAnswers   atomic.Int64 // number of answers that servers began before they had read the request
	acks           acknowledgements
	operators      *operators
	objects        *objects
	outMu          sync.Mutex // guards Out
}

// Run executes one soak run of length p.Duration and its checks. An error means that it could not be executed; violations are in
// the report.
func Run(ctx context.Context, p Plan) (Report, error) {
	p.Shape.Metrics = true
	if p.Shape.Revoke == 0 {
		p.Shape.Revoke, p.Shape.Contact = defaultRevoke, defaultContact
	}
	s := &soakRun{Plan: p, recorder: newRecorder(), acks: newAcknowledgements(), objects: &objects{}}
	s.operators = newOperators(s)
	s.start = time.Now() // until the clients begin
	first, readers := newFirstStart(ctx, s), logReaders{rng: rand.New(rand.NewPCG(p.Seed, 10))}
	p.Shape.Started, p.Shape.DrawLogReader = first.disturb, readers.draw
	var err error
	s.net, err = localnet.Start(p.Shape)
	first.tasks.Wait()
	if err != nil {
		return Report{}, err
	}
	defer s.net.Stop()
	if err := s.setUp(ctx); err != nil {
		return Report{}, err
	}
	s.start = time.Now()
	faults := drawFaults(rand.New(rand.NewPCG(p.Seed, 1)), p.Duration, s.net)
	dayCtx, stop := context.WithTimeout(ctx, p.Duration)
	defer stop()
	var tasks sync.WaitGroup
	for n := range max(minClients, clientsPerEdge*p.Shape.Edges) {
		tasks.Go(func() { s.runClient(dayCtx, n) })
	}
	for n := range max(minKeepAliveClients, keepAliveClientsPerEdge*p.Shape.Edges) {
		tasks.Go(func() { s.runKeepAliveClient(dayCtx, n) })
	}
	for _, f := range faults {
		tasks.Go(func() { s.inject(dayCtx, f) })
	}
	tasks.Go(func() { s.logStalls(dayCtx) })
	tasks.Go(func() { s.operators.runConfigChanges(dayCtx) })
	tasks.Go(func() { s.operators.runReads(dayCtx) })
	tasks.Go(func() { s.runReplacements(dayCtx) })
	tasks.Go(func() { s.hangServer(dayCtx) })
	tasks.Go(func() { s.runAbuse(dayCtx) })
	for n := range max(len(s.servers)/serversPerEndless, 1) {
		tasks.Go(func() { s.runEndlessAnswers(dayCtx, n) })
	}
	for n := range max(len(s.servers)/serversPerEarly, 1) {
		tasks.Go(func() { s.runEarlyAnswers(dayCtx, n) })
	}
	tasks.Wait()
	s.faultsOver.Store(true)
	return s.evaluate(ctx, len(faults))
}

// setUp starts the servers, puts the first configuration and waits until all proxies are ready.
func (s *soakRun) setUp(ctx context.Context) error {
	for i := range max(minServers, s.Shape.Edges/edgesPerServer) {
		server := &stubServer{id: fmt.Sprint("i-", i+1), soakRun: s, rng: rand.New(rand.NewPCG(s.Seed, uint64(100+i))), earlyRNG: rand.New(rand.NewPCG(s.Seed, uint64(700+i)))}
		registered, err := s.net.ServeWith(server.id, serviceName, byte(200+i), server)
		if err != nil {
			return err
		}
		server.registered = registered
		s.servers = append(s.servers, server)
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.operators.putFirst(readyCtx); err != nil {
		return err
	}
	for _, m := range s.net.EdgeMachines() {
		for !s.net.Ready(m) {
			if err := sleep(readyCtx, 20*time.Millisecond); err != nil {
				return Error.New("%s is not ready: %w", m.Name, err)
			}
		}
	}
	return sleep(readyCtx, time.Second) // until every process knows the servers and cache routers
}

// hangServer makes one server hang for good, in the second quarter of the day: it sends no more heartbeats and no responses, and
// its connections stay open.
func (s *soakRun) hangServer(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	server := s.servers[rng.IntN(len(s.servers))]
	if sleep(ctx, s.Duration/4+time.Duration(rng.Int64N(int64(s.Duration/4)))) != nil {
		return
	}
	s.logf("%s hangs for good", server.id)
	server.hung.Store(true)
	server.registered.StopHeartbeats()
}

// sleep waits for a duration and returns nil, or the context's error if that ends first.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// logf writes one event to Out, with the seconds since the start of the day.
func (s *soakRun) logf(format string, args ...any) {
	if s.Out == nil {
		return
	}
	s.outMu.Lock()
	defer s.outMu.Unlock()
	fmt.Fprintf(s.Out, "%7.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}
