// Package spread measures in virtual time how fast routers converge on the same facts. It simulates fleets that consist of
// internal/facts alone, with datagrams lost, duplicated and blocked between them.
package spread

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cedarmast/internal/facts"
)

// Options are the parameters of a measurement.
type Options struct {
	Routers int
	Facts   int     // known to all routers at the beginning
	Loss    float64 // share of the datagrams that is lost
	Repeats float64 // share of the datagrams that is duplicated
	Seed    uint64
}

// Result is the result of a measurement. A duration of Timeout means that the condition was not reached.
type Result struct {
	Order   time.Duration // until one router's order has reached all routers
	Heal    time.Duration // until convergence after a partition into halves that were given conflicting orders for forty servers
	Wrong   int           // values of those servers that violate the conflict rule after convergence, over all routers
	CatchUp time.Duration // until a router that lost its memory has all facts, while three in ten of the others exchange nothing with it
	Knows   time.Duration // until that router knows that it has all facts
	Quiet   int           // bytes per second that a router sends while nothing changes
}

// Timeout is the timeout for each condition.
const Timeout = 30 * time.Second

const (
	conflictingServers = 40 // servers for which the halves are given conflicting orders
	partitionTime      = 5 * time.Second
	muteGroupSize      = 10 // three of each ten routers are mute
)

// ErrOptions reports options outside their range.
var ErrOptions = errors.New("options out of range: need at least three routers, 0 to 10000 facts, loss and repeats from 0 to under 1")

// Measure simulates a fleet and returns its convergence times.
func Measure(o Options) (r Result, err error) {
	if o.Routers < 3 || o.Facts < 0 || o.Facts > 10_000 || !(o.Loss >= 0 && o.Loss < 1) || !(o.Repeats >= 0 && o.Repeats < 1) {
		return r, ErrOptions
	}
	f := newFleet(o)
	for i := range o.Facts {
		n := facts.Name{Kind: facts.StartTime, Subject: fmt.Sprint("server-", i)}
		f.gossipers[0].Write(f.now, n, int64(i))
		fact, _ := f.gossipers[0].Get(n)
		for _, s := range f.gossipers[1:] {
			s.Apply(n, fact)
		}
	}
	f.run(time.Second, nil)
	clear(f.bytesSent)
	f.run(5*time.Second, nil)
	r.Quiet = f.bytesSent[0] / 5

	f.gossipers[0].Set(f.now, orderName(0), facts.Drained)
	r.Order = f.run(Timeout, f.converged)

	half, last := o.Routers/2, o.Routers-1
	f.blocked = func(from, to int) bool { return (from < half) != (to < half) }
	for i := range conflictingServers {
		f.gossipers[0].Set(f.now, orderName(i), int64(i%2))
		f.gossipers[last].Set(f.now, orderName(i), int64(i/2%2))
	}
	f.run(partitionTime, nil)
	f.blocked = nil
	r.Heal = f.run(Timeout, f.converged)
	for i := range conflictingServers {
		for _, s := range f.gossipers {
			fact, _ := s.Get(orderName(i))
			if v, ok := fact.Value(); !ok || v != max(int64(i%2), int64(i/2%2)) {
				r.Wrong++
			}
		}
	}

	f.gossipers[last] = f.newRouter(last)
	f.blocked = func(from, to int) bool {
		return (from == last && to%muteGroupSize < 3) || (to == last && from%muteGroupSize < 3)
	}
	if o.Routers < muteGroupSize {
		f.blocked = nil
	}
	r.CatchUp = f.run(Timeout, f.converged)
	r.Knows = r.CatchUp + f.run(Timeout, f.gossipers[last].Synced)
	return r, nil
}

func orderName(i int) facts.Name {
	return facts.Name{Kind: facts.AdminState, Subject: fmt.Sprint("c", i)}
}

// fleet is a set of routers and the datagrams in transit between them.
type fleet struct {
	Options
	now       time.Duration
	gossipers []*facts.Gossiper
	blocked   func(from, to int) bool // nil: no link is blocked
	rng       *rand.Rand
	inTransit map[time.Duration][]datagram // by arrival time
	bytesSent []int                        // by router
	lastLife  facts.Incarnation
}

// datagram is a message in transit between two routers.
type datagram struct {
	from, to int
	text     []byte
}

func newFleet(o Options) *fleet {
	f := &fleet{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), bytesSent: make([]int, o.Routers), inTransit: map[time.Duration][]datagram{}}
	for k := range o.Routers {
		f.gossipers = append(f.gossipers, f.newRouter(k))
		f.gossipers[k].MarkSynced() // it counts as synced, like a router that has been up for long
	}
	return f
}

// newRouter returns a router without facts, in an incarnation of its own.
func (f *fleet) newRouter(k int) *facts.Gossiper {
	f.lastLife++
	return facts.NewGossiper(facts.NewStore(f.lastLife, 2*(f.Facts+conflictingServers)), f.Routers, k, f.Seed+uint64(f.lastLife))
}

// send puts messages in transit, of which some are lost or duplicated.
func (f *fleet) send(from int, all []facts.Message) {
	for _, m := range all {
		f.bytesSent[from] += len(m.Text)
		if f.blocked != nil && f.blocked(from, m.To) || f.rng.Float64() < f.Loss {
			continue
		}
		for repeat := true; repeat; repeat = f.rng.Float64() < f.Repeats {
			at := f.now + time.Duration(1+f.rng.IntN(20))*time.Millisecond
			f.inTransit[at] = append(f.inTransit[at], datagram{from, m.To, m.Text})
		}
	}
}

// run simulates a span; the routers' ticks are staggered over the period. It ends early when the condition holds, which it
// checks each tenth of a second, and returns the time that has passed.
func (f *fleet) run(span time.Duration, condition func() bool) time.Duration {
	start := f.now
	for ; f.now < start+span; f.now += time.Millisecond {
		for _, l := range f.inTransit[f.now] {
			f.send(l.to, f.gossipers[l.to].Handle(f.now, l.from, l.text))
		}
		delete(f.inTransit, f.now)
		for k, s := range f.gossipers {
			if int(f.now/time.Millisecond)%int(s.NextTick()/time.Millisecond) == k%int(s.NextTick()/time.Millisecond) {
				f.send(k, s.Tick(f.now))
			}
		}
		if condition != nil && f.now%(100*time.Millisecond) == 0 && condition() {
			break
		}
	}
	return f.now - start
}

// converged reports whether all routers hold the same facts.
func (f *fleet) converged() bool {
	for _, s := range f.gossipers[1:] {
		if s.Len() != f.gossipers[0].Len() || s.Digest() != f.gossipers[0].Digest() {
			return false
		}
	}
	return true
}
