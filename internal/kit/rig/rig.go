// Package rig runs a scenario's model in real time on loopback sockets: it starts real router processes and simulates nodes,
// discovery, clients and the network between routers. One goroutine owns the model; everything else posts tasks to it.
package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
)

// Options configures a run beyond its scenario.
type Options struct {
	Seed    uint64
	Router  []string // the router's command line
	LogDir  string   // folder for routers' logs; empty: no logs are kept
	Env     []string // additional environment variables for routers
	Direct  bool     // no routers: clients send to nodes, to measure the rig's own capacity
	OnEvent func(at time.Duration, what string)
	Drive   func(c *Control) // injects what the scenario does not describe; called on its own goroutine at the start
}

// ErrHostTooSlow means that the machine was too slow for the run's figures to be valid.
var ErrHostTooSlow = errors.New("the machine ran too late for the figures to count")

const (
	readyTimeout    = 30 * time.Second      // for all routers to be ready
	maxLateness     = 15 * time.Millisecond // at the 99th percentile of the rig's own tasks
	shutdownTimeout = 4200 * time.Millisecond
	drainDuration   = 500 * time.Millisecond // after the run, for late answers
)

// Rig is one run of a scenario on sockets.
type Rig struct {
	scenario     *scenario.Scenario
	opt          Options
	world        *model.World
	tempDir      string
	operatorPath string // path of the operators' file; empty: none
	host         string // loopback address reserved for this run

	// routersHost is a second reserved address at which only routers bind, so that a router's port is still free when it restarts,
	// whatever the rig has opened meanwhile.
	routersHost string

	start   time.Time // when the run's time is 0
	running atomic.Bool
	inbox   chan task
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	nodes    [][]*port // by node, by router
	agents   []*agent
	routers  []*router
	clients  *clients
	relay    *datagramRelay
	lateness *hdrhistogram.Histogram // microseconds
	rng      *rand.Rand
	marksMu  sync.Mutex
	marks    []ledger.Mark
	views    map[string]map[string][]byte
}

// task is a function to run on the model's goroutine.
type task struct {
	run      func()
	postedAt time.Time
}

// Run plays the scenario and returns its report. It leaves behind no process, no socket and no file but the logs of opt.Logs.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (report *ledger.Report, err error) {
	if err := checkCapacity(s); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if opt.LogDir != "" {
		if err := os.MkdirAll(opt.LogDir, 0o755); err != nil {
			return nil, err
		}
	}
	host, routersHost, release, err := claimHosts()
	if err != nil {
		return nil, err
	}
	defer release()
	r := &Rig{scenario: s, opt: opt, tempDir: dir, host: host, routersHost: routersHost,
		inbox: make(chan task, 4096), lateness: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		rng: model.Stream(opt.Seed, "host"), views: map[string]map[string][]byte{}}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.world = model.New(s, opt.Seed, r)
	defer r.shutdown()
	if r.operatorPath, err = r.operatorFile(); err != nil {
		return nil, err
	}
	if err := r.openStandIns(); err != nil {
		return nil, err
	}
	before := cpuTime()
	if err := r.startRouters(); err != nil {
		return nil, err
	}
	if err := r.play(); err != nil {
		return nil, err
	}
	r.stopAll()
	l := r.world.Ledger()
	report = l.Report()
	report.Seed, report.DatabasePeak, report.Fetches = opt.Seed, r.world.DatabasePeak(), r.world.DatabaseRequests()
	report.HostLateMS = float64(r.lateness.ValueAtQuantile(99)) / 1000
	report.HostCPU = (cpuTime() - before).Seconds()
	report.HostMemoryMB = residentMB(os.Getpid())
	for _, router := range r.routers {
		report.MemoryMB = max(report.MemoryMB, router.peakMemoryMB())
		report.CPU += router.cpuTime().Seconds()
		report.Crashes += router.crashCount()
	}
	report.Marks, report.Nodes, report.Beliefs = r.marks, r.world.Samples(), r.viewRows()
	report.CheckExpectations(l)
	if report.HostLateMS > float64(maxLateness/time.Millisecond) {
		return report, ErrHostTooSlow
	}
	return report, nil
}

// claimHosts reserves two loopback addresses for one run among all processes: the run that listens on claimPort of the first one
// owns both.
func claimHosts() (host, routersHost string, release func(), err error) {
	for i := range maxClaimAttempts {
		id := (os.Getpid() + i*4099) & (1<<21 - 1)
		hostAt := func(octet int) string { return fmt.Sprintf("127.%d.%d.%d", octet+id>>16, id>>8&255, id&255) }
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", hostAt(80), claimPort)); err == nil {
			return hostAt(80), hostAt(112), func() { l.Close() }, nil
		}
	}
	return "", "", nil, fmt.Errorf("no loopback address is free for this run: %w", err)
}

const (
	claimPort        = 65000 // outside the ephemeral port range
	maxClaimAttempts = 1000
)

// checkCapacity returns an error if the scenario needs more descriptors or cores than the machine has.
func checkCapacity(s *scenario.Scenario) error {
	nodes, routers := len(s.NodeNames()), len(s.RouterNames())
	available := uint64(0)
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		limit.Cur = limit.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
		available = limit.Cur
	}
	needed := uint64(nodes*routers*(1+s.Clients.Connections/2) + routers*(routers+s.Clients.Connections+8))
	switch {
	case available > 0 && needed > available:
		return &scenario.Error{File: s.Name, Key: "site", Message: fmt.Sprintf("%d nodes and %d routers may need %d descriptors; this machine gives %d", nodes, routers, needed, available)}
	case routers > 8*runtime.NumCPU():
		return &scenario.Error{File: s.Name, Key: "site", Message: fmt.Sprintf("%d routers are too many processes for %d cores", routers, runtime.NumCPU())}
	}
	return nil
}

// openStandIns starts the simulated clients, links, nodes and discovery agents, and draws the routers' addresses.
func (r *Rig) openStandIns() error {
	names := r.scenario.RouterNames()
	r.clients = newClients(r)
	var err error
	if r.relay, err = newDatagramRelay(r, len(names)); err != nil {
		return err
	}
	for _, n := range r.world.Nodes {
		var ports []*port
		for k := range names {
			p, err := newPort(r, n, k)
			if err != nil {
				return err
			}
			ports = append(ports, p)
		}
		r.nodes = append(r.nodes, ports)
	}
	for k := range names {
		a, err := newAgent(r, k)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	for k, name := range names {
		var addrs [2]string // for clients and for operators
		for i := range addrs {
			l, err := r.listen(r.routersHost + ":0")
			if err != nil {
				return err
			}
			defer l.Close() // the router binds the port later; open until all are drawn
			addrs[i] = l.Addr().String()
		}
		r.routers = append(r.routers, newRouter(r, k, name, addrs[0], addrs[1]))
	}
	return nil
}

// startRouters starts all routers and waits until they are ready. Discovery answers meanwhile, but the run's clock has not started.
func (r *Rig) startRouters() error {
	r.start = time.Now().Add(readyTimeout) // keeps the model's clock before 0
	ready := make(chan error, len(r.routers))
	for k := range r.routers {
		r.launch(k, func(err error) { ready <- err })
	}
	limit := time.NewTimer(readyTimeout)
	defer limit.Stop()
	for pending := len(r.routers); pending > 0; {
		select {
		case p := <-r.inbox:
			p.run()
		case err := <-ready:
			if err != nil {
				return err
			}
			pending--
		case <-limit.C:
			return errors.New("not all routers were ready in time")
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
	for k := range r.routers {
		r.world.RouterReady(k)
	}
	return nil
}

// play runs the model's event queue in real time until the run is over.
func (r *Rig) play() error {
	r.start = time.Now().Add(r.scenario.WarmUp.D())
	r.running.Store(true)
	for _, t := range r.routers {
		t.copyState(r.stateDir("state"), r.stateDir("beginning"))
	}
	r.world.Start()
	r.background(r.requestViews)
	if r.opt.Drive != nil {
		r.background(func() { r.opt.Drive(&Control{r}) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !r.world.Done() {
		wait := time.Hour
		if at, ok := r.world.Next(); ok {
			wait = max(at-time.Since(r.start), 0)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
			r.step()
		case p := <-r.inbox:
			r.recordLateness(time.Since(p.postedAt))
			r.step()
			p.run()
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
	return r.drainInbox(drainDuration)
}

// drainInbox goes on running tasks for the given time after the run.
func (r *Rig) drainInbox(span time.Duration) error {
	end := time.After(span)
	for {
		select {
		case p := <-r.inbox:
			r.step()
			p.run()
		case <-end:
			return nil
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
}

// step runs the model's events that are due.
func (r *Rig) step() {
	if late := r.world.Run(time.Since(r.start)); late > 0 {
		r.recordLateness(late)
	}
}

// recordLateness records how late an event or task ran.
func (r *Rig) recordLateness(late time.Duration) {
	r.lateness.RecordValue(min(max(int64(late/time.Microsecond), 1), r.lateness.HighestTrackableValue()))
}

// post queues f for the model's goroutine.
func (r *Rig) post(f func()) {
	select {
	case r.inbox <- task{f, time.Now()}:
	case <-r.ctx.Done():
	}
}

// ask runs f on the model's goroutine and returns its result; ok is false if the run ends first.
func ask[T any](r *Rig, f func() T) (answer T, ok bool) {
	c := make(chan T, 1)
	r.post(func() { c <- f() })
	select {
	case answer = <-c:
		return answer, true
	case <-r.ctx.Done():
		return answer, false
	}
}

// now returns the time since the start of the run; negative before it.
func (r *Rig) now() time.Duration { return time.Since(r.start) }

// background runs f on a goroutine that shutdown waits for.
func (r *Rig) background(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// stopAll shuts all routers down gracefully. The model still answers their requests meanwhile.
func (r *Rig) stopAll() {
	var wg sync.WaitGroup
	for _, router := range r.routers {
		wg.Go(func() { router.terminate() })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for {
		select {
		case p := <-r.inbox:
			r.step()
			p.run()
		case <-done:
			return
		}
	}
}

// shutdown stops all processes and goroutines and closes all sockets, at whatever stage the run is.
func (r *Rig) shutdown() {
	r.cancel()
	for _, router := range r.routers {
		router.kill()
	}
	for _, ports := range r.nodes {
		for _, p := range ports {
			p.close()
		}
	}
	for _, a := range r.agents {
		a.close()
	}
	if r.clients != nil {
		r.clients.close()
	}
	if r.relay != nil {
		r.relay.close()
	}
	r.wg.Wait()
}

// listen opens a listener at the given address; if empty, at a free port of the run's loopback address.
func (r *Rig) listen(address string) (net.Listener, error) {
	if address == "" {
		address = r.host + ":0"
	}
	return net.Listen("tcp", address)
}

// logFile opens a router's log for appending, or returns a writer that discards if logs are not kept.
func (r *Rig) logFile(name string) (io.WriteCloser, error) {
	if r.opt.LogDir == "" {
		return nopCloser{io.Discard}, nil
	}
	return os.OpenFile(filepath.Join(r.opt.LogDir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// The methods below implement model.Host.

func (r *Rig) Send(t *model.Try)                    { r.clients.send(t) }
func (r *Rig) CloseClient(t *model.Try) (sent bool) { return r.clients.cancel(t) }

func (r *Rig) NodeDown(n *model.Node) {
	for _, p := range r.nodes[n.Index] {
		p.goDown()
	}
}

func (r *Rig) NodeUp(n *model.Node) {
	for _, p := range r.nodes[n.Index] {
		p.goUp()
	}
}

func (r *Rig) SetNodeSilence(n *model.Node, router int, on bool) {
	r.nodes[n.Index][router].setSilent(on)
}

func (r *Rig) DiscoveryUpdated(router int) { r.agents[router].notifyChanged() }

func (r *Rig) SetDiscoverySilence(on bool) {
	for _, a := range r.agents {
		a.setSilent(on)
	}
}

func (r *Rig) StartRouter(k int, f model.StoredState) {
	r.routers[k].prepareState(f)
	r.launch(k, func(err error) {
		if err == nil {
			r.post(func() { r.world.RouterReady(k) })
		}
	})
}

func (r *Rig) KillRouter(k int) {
	r.world.RouterEnded(k, true) // before the kill: clients may see their connections end before the process has exited
	r.routers[k].kill()
}

func (r *Rig) StopRouter(k int) {
	r.world.RouterStopping(k)
	r.background(r.routers[k].terminate)
}

func (r *Rig) SetRouterStalled(k int, on bool) { r.routers[k].stall(on) }

func (r *Rig) SetDiskFull(k int, full bool) { r.routers[k].fillDisk(full) }

func (r *Rig) ReloadRouter(k int) { r.routers[k].reload() }

func (r *Rig) BadClients(count int, span time.Duration) { r.clients.sendMalformed(count, span) }

func (r *Rig) RecordEvent(at time.Duration, what string) {
	r.marksMu.Lock()
	r.marks = append(r.marks, ledger.Mark{AtS: at.Seconds(), What: what})
	r.marksMu.Unlock()
	if r.opt.OnEvent != nil {
		r.opt.OnEvent(at, what)
	}
}
