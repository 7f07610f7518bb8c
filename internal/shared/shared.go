// Package shared runs a router's replica of the shared facts: it delivers datagrams of other routers, sends the replica's own, drives its
// timer and notifies of changes. The replication rules, such as what is sent and which copy wins, are in internal/facts.
package shared

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cedarmast/internal/exchange"
	"cedarmast/internal/facts"
)

// Replica is one router's replica of the shared facts, from New to the end of its process. Its methods are safe for concurrent use.
type Replica struct {
	sendDatagram func(to int, data []byte) // does not block
	counters     *exchange.Counters
	started      time.Time
	incarnation  facts.Incarnation
	inbox        chan datagram
	notify       chan struct{}

	mu     sync.Mutex
	gossip *facts.Gossiper
	expiry facts.Expirer
}

// datagram is a received datagram with the index of the sending router.
type datagram struct {
	from int
	data []byte
}

// Options configures a router's replica.
type Options struct {
	Routers, Number int                       // number of routers, and the index of this one, from 0
	Life            facts.Incarnation         // drawn at random for each process
	Forget          time.Duration             // how long a server must be off the list before its facts are removed
	Tell            func(to int, data []byte) // sends a datagram to the router with index to; must not block
	Counts          *exchange.Counters
}

const (
	maxFacts    = 16384       // facts: 8.5 MB at most with six incarnations each
	inboxSize   = 256         // datagrams; more are dropped, and gossip sends their facts again
	syncTimeout = time.Second // without a synced peer, after which this router counts as synced
)

// New returns the replica of a starting process. Call Run to start replication.
func New(o Options) *Replica {
	f := &Replica{sendDatagram: o.Tell, counters: o.Counts, started: time.Now(), incarnation: o.Life,
		inbox: make(chan datagram, inboxSize), notify: make(chan struct{}, 1),
		gossip: facts.NewGossiper(facts.NewStore(o.Life, maxFacts), o.Routers, o.Number, uint64(o.Life)),
		expiry: facts.Expirer{After: o.Forget}}
	if o.Routers < 2 {
		f.gossip.MarkSynced()
	}
	return f
}

func (f *Replica) now() time.Duration { return time.Since(f.started) }

// Load merges a snapshot that was taken age ago.
func (f *Replica) Load(data []byte, age time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gossip.Load(f.now()-max(age, 0), data)
}

// Snapshot encodes all facts for Load.
func (f *Replica) Snapshot() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gossip.Snapshot(f.now())
}

// Receive queues a datagram from another router. It never blocks: a datagram that finds the queue full is dropped.
func (f *Replica) Receive(from int, data []byte) {
	select {
	case f.inbox <- datagram{from, data}:
	default:
		f.counters.FactDatagramsDropped.Add(1)
	}
}

// Set writes a value that supersedes all copies known to this router, and sends it to several peers before it returns. It returns false if
// the store is full or does not accept the name.
func (f *Replica) Set(n facts.Name, value int64) bool {
	f.mu.Lock()
	ok := f.gossip.Set(f.now(), n, value)
	var out []facts.Message
	if ok {
		out = f.gossip.Announce(f.now(), n)
	}
	f.updateCounters()
	f.mu.Unlock()
	f.send(out)
	return ok
}

// Value returns the value that wins by the rule of the fact's kind and the age of the newest copy with that value. It returns false if the
// fact does not exist.
func (f *Replica) Value(n facts.Name) (value int64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fact, _ := f.gossip.Get(n)
	if value, ok = fact.Value(); !ok {
		return 0, 0, false
	}
	first := true
	for _, c := range fact.Copies {
		if a := max(f.now()-c.Since, 0); c.Value == value && (first || a < age) {
			age, first = a, false
		}
	}
	return value, age, true
}

// Names returns the names of all facts, sorted.
func (f *Replica) Names() []facts.Name {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gossip.Names()
}

// Notify returns a channel that receives a value when peers have changed facts or this router has become synced. TakeChanges returns
// the changes.
func (f *Replica) Notify() <-chan struct{} { return f.notify }

// TakeChanges returns the names of the facts that peers have changed since the last call, and whether this router is synced. If it is, this
// and earlier calls have returned every fact that it was missing.
func (f *Replica) TakeChanges() (names []facts.Name, synced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gossip.TakeChanges(), f.gossip.Synced()
}

// ApplyList applies the discovery list, a set of server names. It removes the facts about servers that have been off the list for
// Options.Forget, and returns their names.
func (f *Replica) ApplyList(names map[string]bool) (dropped []facts.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dropped = f.expiry.ApplyList(f.now(), f.gossip.Store, names)
	f.updateCounters()
	return dropped
}

// Run processes received datagrams and sends periodic ones until the context is done.
func (f *Replica) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	started := time.Now()
	for {
		var out []facts.Message
		var received *datagram
		select {
		case d := <-f.inbox:
			received = &d
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		wasSynced := f.gossip.Synced()
		if received != nil {
			f.counters.FactDatagramsReceived.Add(1)
			out = f.gossip.Handle(f.now(), received.from, received.data)
		} else {
			if time.Since(started) >= syncTimeout {
				f.gossip.MarkSynced()
			}
			out = f.gossip.Tick(f.now())
			timer.Reset(f.gossip.NextTick())
		}
		changed := f.gossip.Synced() != wasSynced || f.gossip.HasChanges()
		f.updateCounters()
		f.mu.Unlock()
		f.send(out)
		if changed {
			select {
			case f.notify <- struct{}{}:
			default: // a notification is already pending
			}
		}
	}
}

func (f *Replica) send(out []facts.Message) {
	for _, m := range out {
		f.sendDatagram(m.To, m.Text)
	}
	f.counters.FactDatagramsSent.Add(int64(len(out)))
}

func (f *Replica) updateCounters() {
	f.counters.FactsHeld.Store(int64(f.gossip.Len()))
	f.counters.FactsLearned.Store(f.gossip.LearnedTotal())
	if f.gossip.Synced() {
		f.counters.FactsInSync.Store(1)
	}
}

// Report describes the facts that one router holds, for operators.
type Report struct {
	Router string `json:"router"`
	Life   string `json:"life"`   // incarnation of its process
	Digest string `json:"digest"` // equal at routers with equal facts
	InStep bool   `json:"in_step"`
	Facts  []Fact `json:"facts"`
}

// Fact is one fact of a Report. Several copies are concurrent: the writer of each had not seen the others.
type Fact struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Says    string `json:"says"` // the value that wins by the rule of its kind
	Copies  []Copy `json:"copies"`
}

// Copy is one copy of a fact.
type Copy struct {
	Says  string `json:"says"`
	Life  string `json:"life"` // incarnation of the process that wrote it
	Count uint32 `json:"count"`
	AgeS  int64  `json:"age_s"`
}

// Report returns all copies of all facts.
func (f *Replica) Report(router string) Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Report{Router: router, Life: formatIncarnation(f.incarnation), Digest: fmt.Sprintf("%016x", f.gossip.Digest()),
		InStep: f.gossip.Synced(), Facts: []Fact{}}
	for _, n := range f.gossip.Names() {
		fact, _ := f.gossip.Get(n)
		value, _ := fact.Value()
		entry := Fact{Kind: n.Kind.String(), Subject: n.Subject, Says: n.Kind.FormatValue(value)}
		for _, c := range fact.Copies {
			entry.Copies = append(entry.Copies, Copy{n.Kind.FormatValue(c.Value), formatIncarnation(c.Dot.Life), c.Dot.Count,
				int64(max(f.now()-c.Since, 0) / time.Second)})
		}
		r.Facts = append(r.Facts, entry)
	}
	return r
}

func formatIncarnation(l facts.Incarnation) string { return fmt.Sprintf("%08x", uint32(l)) }
