// Package simulation plays the control side of the network in one goroutine under virtual time and a seed: the agreement,
// the journal, the common state and the core machines as they are deployed (configstore.Machine), copies of the state as
// registries and edges hold them, operators and servers. What lies between is the simulation's: the network, the disks, the processes'
// ends and stops. A seed is a run; the same seed is the same run. Rules are checked after every step.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/statesync"
)

const (
	tickEvery    = 30 * time.Millisecond
	catchUp      = 4 * time.Second // how long a machine counts as lost after it is back
	faultsFrom   = 3 * time.Second
	faultsUntil  = 26 * time.Second
	calmAfter    = 8 * time.Second // at the end, in which nothing goes wrong any more
	mostInFlight = 4000            // messages to one host
)

// Options says what is played.
type Options struct {
	Seed   uint64
	Faults []Fault // in the place of those that the seed draws; nil: those
	Weak   configstore.Weaknesses
	NoSync bool // a weakness, for tests: a folder's sync does nothing
	// SettleAll is a weakness, for tests: registries acknowledge every call of a server without the log.
	SettleAll bool
	// Reports plays the duty to report the tenants' usage as well.
	Reports    bool
	ReportWeak ReportWeaknesses
	// Weaknesses of edges, for tests: of their copies; a proof is counted from the answer and not from the question; keyed requests run whatever
	// is proven.
	WeakCopies      statesync.Weaknesses
	CountFromAnswer bool
	RunUnproven     bool
	Machine         int // core machines; 0: as the seed draws
	Trace           func(format string, args ...any)
}

// Result is how a run ended.
type Result struct {
	Seed      uint64
	Failure   string // empty: all rules were kept
	At        time.Duration
	Faults    []Fault
	Orders    int           // of operators that were acknowledged
	Reads     int           // that were answered
	Elapsed   time.Duration // in virtual time
	Messages  int
	DisksLost int // and machines that were gone for good

	Acknowledged []time.Duration // from an operator's first sending of an order to its acknowledgement, in the order in which they came
	Syncs        uint64          // of all disks, by the processes that run at the end

	Ran, Refused int // keyed requests that edges let run, and that they refused as unproven
	Neighbours   int // questions of edges to neighbours
}

// event is something that happens at a time. Events of one time happen in the order in which they were made.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop is for container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run.
type world struct {
	options   Options
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	queue     events
	seq       uint64
	tolerate  int
	founders  []consensus.Member
	hosts     []*host
	network   network
	faults    []Fault
	checks    checks
	client    clients
	copies    []*stateCopy
	reports   reports
	edges     edges
	messages  int
	disksLost int
	calm      time.Time // since when nothing is wrong
	tooMany   time.Time // until when no disk may be lost, for more are lost than must be tolerated
	failure   string
}

// Run plays a seed.
func Run(o Options) Result {
	w := newWorld(o)
	for len(w.queue) > 0 && w.failure == "" {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.do()
	}
	if w.failure == "" {
		w.checkHistory()
	}
	return Result{Seed: o.Seed, Failure: w.failure, At: w.since(), Faults: w.faults, Orders: w.client.acknowledged, Reads: w.client.answered,
		Elapsed: w.since(), Messages: w.messages, DisksLost: w.disksLost, Acknowledged: w.client.took, Syncs: w.syncs(),
		Ran: w.edges.ran, Refused: w.edges.refused, Neighbours: w.edges.asked}
}

// syncs is how often the disks were synced by the processes that run.
func (w *world) syncs() (sum uint64) {
	for _, h := range w.hosts {
		if h.machine != nil {
			sum += h.machine.View.Status(w.now).Syncs
		}
	}
	return sum
}

func newWorld(o Options) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x51a)), start: start, now: start, calm: start, checks: newChecks()}
	lots := rand.New(rand.NewPCG(o.Seed, 0xfa17)) // apart, so that a run with fewer faults is otherwise the same
	size := o.Machine
	if size == 0 {
		size = 3 + lots.IntN(3)
	}
	w.tolerate = 1
	if size >= 5 && lots.IntN(2) == 0 {
		w.tolerate = 2
	}
	w.network = newNetwork()
	for i := range 3 {
		w.founders = append(w.founders, consensus.Member{ID: ipOf(i), Addr: addressOf(i)})
	}
	for i := range size {
		w.addHost(i, true)
	}
	w.trace("%d machines, %d may be lost at once", size, w.tolerate)
	w.faults = o.Faults
	if w.faults == nil {
		w.faults = append(drawFaults(lots, size), drawEdgeFaults(rand.New(rand.NewPCG(o.Seed, 0xedfa)))...)
	}
	for i := range w.faults {
		f := w.faults[i]
		w.at(w.start.Add(f.At), func() { w.strike(f) })
	}
	w.beginClients()
	w.beginCopies()
	w.beginReports()
	w.beginEdges()
	w.countLost()
	w.after(faultsUntil, w.heal)
	return w
}

func ipOf(i int) string      { return fmt.Sprintf("10.0.0.%d", i+1) }
func addressOf(i int) string { return ipOf(i) + ":7660" }

func (w *world) since() time.Duration { return w.now.Sub(w.start) }

func (w *world) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{t, w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
		w.trace("FAILS: %s", w.failure)
	}
}

func (w *world) trace(format string, args ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%8.3f "+format, append([]any{w.since().Seconds()}, args...)...)
	}
}

// between draws a span.
func (w *world) between(least, most time.Duration) time.Duration { return between(w.rng, least, most) }

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// heal ends all that is wrong. What follows is calm, and everything must come right in it.
func (w *world) heal() {
	w.trace("all is calm from here on")
	w.network.heal()
	w.client.storm = false
	for _, h := range w.hosts {
		h.disk.Full, h.disk.Slow, h.disk.FailSyncs, h.disk.DiesAfter = false, false, 0, 0
		h.thaw()
		if h.machine == nil && !h.gone && h.opening == 0 {
			h.startAfter(0)
		}
	}
	for _, e := range w.edges.all {
		e.thaw()
	}
	w.calm = w.now
	w.after(catchUp, w.checkCaughtUp)
	w.after(w.calmSpan(), w.end)
}

// calmSpan is how long it is calm at the end.
func (w *world) calmSpan() time.Duration {
	if w.options.Reports {
		return reportCalm
	}
	return calmAfter
}

func (w *world) end() {
	w.checkCaughtUp()
	w.checkEnd()
	w.checkReports()
	w.queue = nil
}

// state is a machine's state, read.
func state(m *configstore.Machine, look func(*clusterstate.State)) { m.View.Read(look) }
