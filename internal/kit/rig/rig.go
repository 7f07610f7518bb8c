// Package rig is the model's host on sockets: it starts real router processes and stands in for nodes, discovery, clients
// and the way between routers, on loopback, in real time. One goroutine owns the model; everything else posts to it.
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

// Options are what a run is told beside its scenario.
type Options struct {
	Seed   uint64
	Router []string // the router's command line
	Logs   string   // the folder for routers' logs; empty: none are kept
	Env    []string // further variables for routers
	Direct bool     // no routers at all: clients ask nodes, to see what the rig itself carries
	Notes  func(at time.Duration, what string)
	Drive  func(c *Control) // does what no scenario says; called on a goroutine of its own as the day begins
}

// ErrLate says that the machine was too slow for the figures to count.
var ErrLate = errors.New("the machine ran too late for the figures to count")

const (
	readyWithin = 30 * time.Second      // all routers are to be ready
	mostLate    = 15 * time.Millisecond // at the 99th percentile of what the rig does itself
	endsWithin  = 4200 * time.Millisecond
	tailFor     = 500 * time.Millisecond // after the day, for answers that come too late
)

// Rig is one day on sockets.
type Rig struct {
	set      *scenario.Scenario
	opt      Options
	world    *model.World
	dir      string
	operator string // the operators' file; empty: none
	host     string // loopback address of this run's own

	// routersHost is another one, at which routers alone bind: a port that one gives back when it dies is free when it
	// starts again, whatever the rig has opened meanwhile.
	routersHost string

	start   time.Time // of the day
	running atomic.Bool
	inbox   chan posted
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	nodes   [][]*port // by node, by router
	agents  []*agent
	routers []*router
	clients *clients
	between *between
	late    *hdrhistogram.Histogram // microseconds
	rng     *rand.Rand
	marksMu sync.Mutex
	marks   []ledger.Mark
	beliefs map[string]map[string][]byte
}

type posted struct {
	f  func()
	at time.Time
}

// Run plays a day and returns its report. It leaves no process, no socket and no file but the logs asked for.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (report *ledger.Report, err error) {
	if err := fits(s); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if opt.Logs != "" {
		if err := os.MkdirAll(opt.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	host, routersHost, giveBack, err := claimHosts()
	if err != nil {
		return nil, err
	}
	defer giveBack()
	r := &Rig{set: s, opt: opt, dir: dir, host: host, routersHost: routersHost,
		inbox: make(chan posted, 4096), late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		rng: model.Stream(opt.Seed, "host"), beliefs: map[string]map[string][]byte{}}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.world = model.New(s, opt.Seed, r)
	defer r.end()
	if r.operator, err = r.operatorFile(); err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	before := cpuTime()
	if err := r.ready(); err != nil {
		return nil, err
	}
	if err := r.play(); err != nil {
		return nil, err
	}
	r.stopAll()
	l := r.world.Ledger()
	report = l.Report()
	report.Seed, report.DatabasePeak, report.Fetches = opt.Seed, r.world.DatabasePeak(), r.world.DatabaseRequests()
	report.HostLateMS = float64(r.late.ValueAtQuantile(99)) / 1000
	report.HostCPU = (cpuTime() - before).Seconds()
	report.HostMemoryMB = residentMB(os.Getpid())
	for _, router := range r.routers {
		report.MemoryMB = max(report.MemoryMB, router.memory())
		report.CPU += router.cpu().Seconds()
		report.Crashes += router.crashed()
	}
	report.Marks, report.Nodes, report.Beliefs = r.marks, r.world.Samples(), r.believedAll()
	report.CheckExpectations(l)
	if report.HostLateMS > float64(mostLate/time.Millisecond) {
		return report, ErrLate
	}
	return report, nil
}

// claimHosts finds two loopback addresses for one run alone, of this process or any other: whoever listens at the claim port of the
// first has both.
func claimHosts() (host, routersHost string, giveBack func(), err error) {
	for i := range claimTries {
		id := (os.Getpid() + i*4099) & (1<<21 - 1)
		at := func(from int) string { return fmt.Sprintf("127.%d.%d.%d", from+id>>16, id>>8&255, id&255) }
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", at(80), claimPort)); err == nil {
			return at(80), at(112), func() { l.Close() }, nil
		}
	}
	return "", "", nil, fmt.Errorf("no loopback address is free for this run: %w", err)
}

const (
	claimPort  = 65000 // none that the system draws
	claimTries = 1000
)

// fits tells whether the machine can carry the scenario, by its descriptors and cores.
func fits(s *scenario.Scenario) error {
	nodes, routers := len(s.NodeNames()), len(s.RouterNames())
	most := uint64(0)
	var have syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &have) == nil {
		have.Cur = have.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &have)
		most = have.Cur
	}
	needs := uint64(nodes*routers*(1+s.Clients.Connections/2) + routers*(routers+s.Clients.Connections+8))
	switch {
	case most > 0 && needs > most:
		return &scenario.Error{File: s.Name, Key: "site", What: fmt.Sprintf("%d nodes and %d routers may need %d descriptors; this machine gives %d", nodes, routers, needs, most)}
	case routers > 8*runtime.NumCPU():
		return &scenario.Error{File: s.Name, Key: "site", What: fmt.Sprintf("%d routers are too many processes for %d cores", routers, runtime.NumCPU())}
	}
	return nil
}

// open brings up all stand-ins and starts the routers.
func (r *Rig) open() error {
	names := r.set.RouterNames()
	r.clients = newClients(r)
	var err error
	if r.between, err = newBetween(r, len(names)); err != nil {
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
		var at [2]string // for clients and for operators
		for i := range at {
			l, err := r.listen(r.routersHost + ":0")
			if err != nil {
				return err
			}
			defer l.Close() // the router binds it, once all are drawn
			at[i] = l.Addr().String()
		}
		r.routers = append(r.routers, newRouter(r, k, name, at[0], at[1]))
	}
	return nil
}

// ready starts all routers and waits until they are ready. Discovery answers meanwhile; the day has not begun.
func (r *Rig) ready() error {
	r.start = time.Now().Add(readyWithin) // the model's clock stands at nought
	ready := make(chan error, len(r.routers))
	for k := range r.routers {
		r.launch(k, func(err error) { ready <- err })
	}
	limit := time.NewTimer(readyWithin)
	defer limit.Stop()
	for left := len(r.routers); left > 0; {
		select {
		case p := <-r.inbox:
			p.f()
		case err := <-ready:
			if err != nil {
				return err
			}
			left--
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

// play runs the queue in real time until the day is over.
func (r *Rig) play() error {
	r.start = time.Now().Add(r.set.WarmUp.D())
	r.running.Store(true)
	for _, t := range r.routers {
		t.copyState(r.stateDir("state"), r.stateDir("beginning"))
	}
	r.world.Start()
	r.background(r.askBeliefs)
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
			r.note(time.Since(p.at))
			r.step()
			p.f()
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
	return r.drainInbox(tailFor)
}

// drainInbox goes on for a while after the day.
func (r *Rig) drainInbox(span time.Duration) error {
	end := time.After(span)
	for {
		select {
		case p := <-r.inbox:
			r.step()
			p.f()
		case <-end:
			return nil
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
}

// step lets the model catch up with the clock.
func (r *Rig) step() {
	if late := r.world.Run(time.Since(r.start)); late > 0 {
		r.note(late)
	}
}

func (r *Rig) note(late time.Duration) {
	r.late.RecordValue(min(max(int64(late/time.Microsecond), 1), r.late.HighestTrackableValue()))
}

// post has the model's goroutine do something.
func (r *Rig) post(f func()) {
	select {
	case r.inbox <- posted{f, time.Now()}:
	case <-r.ctx.Done():
	}
}

// ask has it answer something.
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

// now is the time of the day.
func (r *Rig) now() time.Duration { return time.Since(r.start) }

// background runs f until the end.
func (r *Rig) background(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// stopAll ends the routers in order. The model still answers what they ask.
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
			p.f()
		case <-done:
			return
		}
	}
}

// end lets go of everything, whatever has happened.
func (r *Rig) end() {
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
	if r.between != nil {
		r.between.close()
	}
	r.wg.Wait()
}

// listen opens a listener at this run's own loopback address, at a port of the system's choice unless given.
func (r *Rig) listen(address string) (net.Listener, error) {
	if address == "" {
		address = r.host + ":0"
	}
	return net.Listen("tcp", address)
}

func (r *Rig) logFile(name string) (io.WriteCloser, error) {
	if r.opt.Logs == "" {
		return nopCloser{io.Discard}, nil
	}
	return os.OpenFile(filepath.Join(r.opt.Logs, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
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

// The model asks for these.

func (r *Rig) Send(t *model.Try)                    { r.clients.send(t) }
func (r *Rig) CloseClient(t *model.Try) (sent bool) { return r.clients.leave(t) }

func (r *Rig) NodeDown(n *model.Node) {
	for _, p := range r.nodes[n.Index] {
		p.down()
	}
}

func (r *Rig) NodeUp(n *model.Node) {
	for _, p := range r.nodes[n.Index] {
		p.up()
	}
}

func (r *Rig) SetNodeSilence(n *model.Node, router int, on bool) {
	r.nodes[n.Index][router].silence(on)
}

func (r *Rig) DiscoveryUpdated(router int) { r.agents[router].news() }

func (r *Rig) SetDiscoverySilence(on bool) {
	for _, a := range r.agents {
		a.silence(on)
	}
}

func (r *Rig) StartRouter(k int, f model.StoredState) {
	r.routers[k].finds(f)
	r.launch(k, func(err error) {
		if err == nil {
			r.post(func() { r.world.RouterReady(k) })
		}
	})
}

func (r *Rig) KillRouter(k int) {
	r.world.RouterEnded(k, true) // first: its clients see their connections end before its process is gone
	r.routers[k].kill()
}

func (r *Rig) StopRouter(k int) {
	r.world.RouterStopping(k)
	r.background(r.routers[k].terminate)
}

func (r *Rig) SetRouterStalled(k int, on bool) { r.routers[k].stall(on) }

func (r *Rig) SetDiskFull(k int, full bool) { r.routers[k].fillDisk(full) }

func (r *Rig) ReloadRouter(k int) { r.routers[k].reload() }

func (r *Rig) BadClients(count int, span time.Duration) { r.clients.bad(count, span) }

func (r *Rig) RecordEvent(at time.Duration, what string) {
	r.marksMu.Lock()
	r.marks = append(r.marks, ledger.Mark{AtS: at.Seconds(), What: what})
	r.marksMu.Unlock()
	if r.opt.Notes != nil {
		r.opt.Notes(at, what)
	}
}
