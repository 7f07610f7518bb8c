// Package soak plays real processes of the delivery network on this machine's loopback net under troubles that overlap: clients of which most
// leave, servers that work for seconds or lose answers, processes that are killed, paused and restarted as planned, configurations that come
// meanwhile. A seed draws all of it, so that a failure is replayed by its number, as far as real time lets it. It checks from outside that the
// work for a client that has left ends, and from inside that no process has counted a breach of departure's invariant.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

const (
	service       = "desk"
	readyWithin   = 20 * time.Second
	restTime      = 5 * time.Second // after the day, for all that was under way
	serverCount   = 4
	clientCount   = 40
	configEvery   = 900 * time.Millisecond
	configPatient = 4 * time.Second
)

// Plan says what is played.
type Plan struct {
	Seed  uint64
	Day   time.Duration // how long clients come and troubles last
	Shape localnet.Shape
	Out   io.Writer // what happens; nil: nothing
	Keep  string    // for Sweep: the folder where days with a breach leave their logs; empty: nowhere
}

// Report is what a day came to.
type Report struct {
	Requests, Left, Runs int
	Troubles             int
	Breaches             []string
	Acknowledgements     acknowledgements
}

func (r Report) String() string {
	return fmt.Sprintf("%d requests, %d of their clients left, %d runs at servers, %d troubles, %d breaches", r.Requests, r.Left, r.Runs, r.Troubles, len(r.Breaches))
}

// day is one day as it is played.
type day struct {
	Plan
	net     *localnet.Network
	book    *book
	servers []*server
	start   time.Time
	calm    atomic.Bool // servers work as they should
	acks    acknowledgements
	told    sync.Mutex // of Out
}

// Play plays a day and ends by itself. An error says that it could not be played.
func Play(ctx context.Context, p Plan) (Report, error) {
	p.Shape.Metrics = true
	d := &day{Plan: p, book: newBook(), acks: newAcknowledgements()}
	var err error
	if d.net, err = localnet.Start(p.Shape); err != nil {
		return Report{}, err
	}
	defer d.net.Stop()
	if err := d.prepare(ctx); err != nil {
		return Report{}, err
	}
	d.start = time.Now()
	troubles := draw(rand.New(rand.NewPCG(p.Seed, 1)), p.Day, d.net)
	ends, stop := context.WithTimeout(ctx, p.Day)
	defer stop()
	var all sync.WaitGroup
	for n := range clientCount {
		all.Go(func() { d.client(ends, n) })
	}
	for _, t := range troubles {
		all.Go(func() { d.strike(ends, t) })
	}
	all.Go(func() { d.configure(ends) })
	all.Go(func() { d.silence(ends) })
	all.Wait()
	d.calm.Store(true)
	return d.judge(ctx, len(troubles))
}

// prepare starts the servers, gives the first configuration and waits until all proxies are ready.
func (d *day) prepare(ctx context.Context) error {
	for i := range serverCount {
		s := &server{id: fmt.Sprint("i-", i+1), day: d, rng: rand.New(rand.NewPCG(d.Seed, uint64(100+i)))}
		told, err := d.net.ServeWith(s.id, service, byte(200+i), s)
		if err != nil {
			return err
		}
		s.told = told
		d.servers = append(d.servers, s)
	}
	call, done := context.WithTimeout(ctx, readyWithin)
	defer done()
	if status, text, err := d.net.Control(call, "PUT", "/manifest", manifest(1, 0)); err != nil || status != 200 {
		return Error.New("configuration: %d %s %v", status, text, err)
	}
	for _, m := range d.net.EdgeMachines() {
		for !d.net.Ready(m) {
			if err := sleep(call, 20*time.Millisecond); err != nil {
				return Error.New("%s is not ready: %w", m.Name, err)
			}
		}
	}
	return sleep(call, time.Second) // until servers and cache routers are known everywhere
}

// configure changes the configuration again and again; every other one lacks a route that is asked for.
func (d *day) configure(ctx context.Context) {
	base := 1
	for edition := 2; sleep(ctx, configEvery) == nil; edition++ {
		call, done := context.WithTimeout(ctx, configPatient)
		status, _, err := d.net.Control(call, "PUT", "/manifest", manifest(edition, base))
		done()
		if err == nil && status == 200 {
			base = edition
		}
	}
}

// silence has one server fall silent for good, in the day's second quarter: it beats no more and answers nothing, and its connections stay open.
func (d *day) silence(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.Seed, 2))
	s := d.servers[rng.IntN(len(d.servers))]
	if sleep(ctx, d.Day/4+time.Duration(rng.Int64N(int64(d.Day/4)))) != nil {
		return
	}
	d.say("%s falls silent for good", s.id)
	s.silent.Store(true)
	s.told.Mute()
}

// manifest is a configuration of the routes that clients ask for; the odd editions have one more.
func manifest(edition, base int) []byte {
	based := `"0"`
	if base > 0 {
		based = fmt.Sprintf(`"r%d"`, base)
	}
	routes := ""
	for _, k := range kinds {
		if k.only && edition%2 == 0 {
			continue
		}
		routes += fmt.Sprintf(`{"parcel_kind":"routes","label":{"name":"r-%[1]s"},"manifest":{"domain":"shop.example","path_prefix":"/%[1]s/","mail_class":"%[2]s",`+
			`"timeout":"4000ms","target":"500ms","precedence":1,"carrier":"%[3]s","tries":3,"shelf":"%[4]s"}},`, k.name, k.class, service, k.shelf)
	}
	return fmt.Appendf(nil, `{"edition":"r%d","based_on":%s,"parcels":[%s{"parcel_kind":"carriers","label":{"name":"%s"},"manifest":{"health_path":"/health","line_cap":130,"rate_per_s":400}}]}`,
		edition, based, routes, service)
}

// sleep waits for a span or the context's end.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *day) say(format string, args ...any) {
	if d.Out == nil {
		return
	}
	d.told.Lock()
	defer d.told.Unlock()
	fmt.Fprintf(d.Out, "%7.3f  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// trouble is one thing that goes wrong with a machine.
type trouble struct {
	what      string
	machine   *localnet.Machine
	at, lasts time.Duration
}

// The troubles of processes. Those of servers are drawn by each request.
const (
	kill    = "kill"    // and start again after a while
	pause   = "pause"   // as a machine that is cut off: nothing is lost, and nothing is heard
	restart = "restart" // as planned
)

// draw draws troubles so that at most times two or three overlap, each on a machine of its own.
func draw(rng *rand.Rand, length time.Duration, n *localnet.Network) []trouble {
	var all []trouble
	for _, m := range n.Machines {
		for at := time.Duration(rng.Int64N(int64(length / 2))); at < length; {
			t := trouble{machine: m, at: at, lasts: 300*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))}
			t.what = []string{kill, pause, restart}[rng.IntN(3)]
			all = append(all, t)
			at += t.lasts + 2*time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
		}
	}
	return all
}

func (d *day) strike(ctx context.Context, t trouble) {
	if sleep(ctx, t.at) != nil {
		return
	}
	d.say("%s: %s for %s", t.machine.Name, t.what, t.lasts.Round(time.Millisecond))
	over := d.book.trouble(t.machine.Name, t.what)
	defer over()
	switch t.what {
	case kill:
		d.net.Signal(t.machine, syscall.SIGKILL)
		sleep(ctx, t.lasts)
	case restart:
		d.net.Signal(t.machine, syscall.SIGTERM)
	case pause:
		d.net.Signal(t.machine, syscall.SIGSTOP)
		sleep(ctx, t.lasts)
		d.net.Signal(t.machine, syscall.SIGCONT)
		return
	}
	if err := d.net.Up(t.machine); err != nil {
		d.book.breach("%s does not start: %v", t.machine.Name, err)
	}
}
