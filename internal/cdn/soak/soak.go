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
	"time"

	"cedarmast/internal/cdn/localnet"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

const (
	service     = "desk"
	readyWithin = 20 * time.Second
	restTime    = 5 * time.Second // after the day, for all that was under way
)

// How many clients and servers a day has: as many as a small network needs, more on a large one.
const (
	leastServers  = 6
	edgesAServer  = 8
	leastClients  = 40
	clientsAnEdge = 4 // that open a connection for each request
	leastKept     = 12
	keptAnEdge    = 2 // that keep theirs
	usualRevoke   = 2 * time.Second
	usualContact  = 2 * time.Second
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
	Kept                 int // of the requests: over connections that their clients keep
	Keyless              int // of the others: with no key, or one that may be refused at once
	Refused              int // of the rest: refused before their clients meant to leave, so that no work began that they could leave
	Troubles             int
	Breaches             []string
	Acknowledgements     acknowledgements
}

func (r Report) String() string {
	return fmt.Sprintf("%d requests, %d of them over kept connections, %d of their clients left, %d runs at servers, %d troubles, %d breaches told", r.Requests, r.Kept, r.Left, r.Runs, r.Troubles, len(r.Breaches))
}

// day is one day as it is played.
type day struct {
	Plan
	net       *localnet.Network
	book      *book
	servers   []*server
	start     time.Time
	calm      atomic.Bool // servers work as they should
	acks      acknowledgements
	operators *operators
	told      sync.Mutex // of Out
}

// Play plays a day and ends by itself. An error says that it could not be played.
func Play(ctx context.Context, p Plan) (Report, error) {
	p.Shape.Metrics = true
	if p.Shape.Revoke == 0 {
		p.Shape.Revoke, p.Shape.Contact = usualRevoke, usualContact
	}
	d := &day{Plan: p, book: newBook(), acks: newAcknowledgements()}
	d.operators = newOperators(d)
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
	for n := range max(leastClients, clientsAnEdge*p.Shape.Edges) {
		all.Go(func() { d.client(ends, n) })
	}
	for n := range max(leastKept, keptAnEdge*p.Shape.Edges) {
		all.Go(func() { d.keep(ends, n) })
	}
	for _, t := range troubles {
		all.Go(func() { d.strike(ends, t) })
	}
	all.Go(func() { d.operators.configure(ends) })
	all.Go(func() { d.operators.ask(ends) })
	all.Go(func() { d.silence(ends) })
	all.Wait()
	d.calm.Store(true)
	return d.judge(ctx, len(troubles))
}

// prepare starts the servers, gives the first configuration and waits until all proxies are ready.
func (d *day) prepare(ctx context.Context) error {
	for i := range max(leastServers, d.Shape.Edges/edgesAServer) {
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
	if err := d.operators.first(call); err != nil {
		return err
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
