// Package simulation is a deterministic simulation of the control plane. It runs the deployed code (consensus, the Raft log, the
// cluster state and the core machines, configstore.Machine) together with the state replicas of registries and edges, operators and
// servers in one goroutine under virtual time. The network, the disks and the stops and restarts of processes are simulated. A run is
// determined by its seed: the same seed gives the same run. Invariants are checked after every step.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/statesync"
)

const (
	tickInterval   = 30 * time.Millisecond
	catchUpTimeout = 4 * time.Second // how long a machine still counts as lost after its restart
	faultsStart    = 3 * time.Second
	faultsEnd      = 26 * time.Second
	quietPeriod    = 8 * time.Second // fault-free time at the end of a run
	maxInboxLength = 4000            // messages queued for one host
)

// Options configures a run.
type Options struct {
	Seed              uint64
	Faults            []Fault // replace the faults drawn from the seed; nil draws them
	Weak              configstore.DisabledSafeguards
	SkipDirectorySync bool // disables a safeguard, for tests: syncing a directory does nothing
	// AcknowledgeWithoutLog disables a safeguard, for tests: registries acknowledge every heartbeat without a log entry.
	AcknowledgeWithoutLog bool
	// Reports also simulates the reporting of the tenants' usage by the duty holder.
	Reports    bool
	ReportWeak DisabledReportSafeguards
	// Disabled safeguards of edges, for tests. WeakCopies applies to their replicas, DateProofFromResponse dates a freshness proof from
	// the response instead of the request, RunWithoutProof runs keyed requests without a recent proof.
	WeakCopies            statesync.DisabledSafeguards
	DateProofFromResponse bool
	RunWithoutProof       bool
	Machines              int // number of core machines; 0 draws it from the seed
	Trace                 func(format string, args ...any)
}

// Result is the outcome of a run.
type Result struct {
	Seed                uint64
	Failure             string // the first violated invariant; empty if there was none
	At                  time.Duration
	Faults              []Fault
	UpdatesAcknowledged int           // acknowledged configuration updates
	ReadsAnswered       int           // answered reads of the configuration
	Elapsed             time.Duration // virtual time
	Messages            int
	DisksLost           int // includes the disks of machines removed for good

	UpdateLatencies []time.Duration // time from the first attempt at an update to its acknowledgement, in order of acknowledgement
	Syncs           uint64          // disk syncs by the processes that run at the end

	Ran, Refused   int // keyed requests that edges ran, and refused for lack of a recent proof
	NeighbourPolls int // polls of neighbours by edges
}

// event is an action scheduled for a point in time. Events with equal times run in the order in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// events is a priority queue by time, then by sequence number.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world holds the state of one run.
type world struct {
	options         Options
	rng             *rand.Rand
	start           time.Time
	now             time.Time
	queue           events
	seq             uint64
	maxFailures     int
	founders        []consensus.Member
	hosts           []*host
	network         network
	faults          []Fault
	checks          checks
	clients         clients
	copies          []*stateCopy
	reports         reports
	edges           edges
	messages        int
	disksLost       int
	quietSince      time.Time // end of the last fault that affects a host
	noDiskLossUntil time.Time // set when more hosts are lost than must be tolerated
	failure         string
}

// Run executes one run until its end or the first violated invariant.
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
	return Result{Seed: o.Seed, Failure: w.failure, At: w.since(), Faults: w.faults,
		UpdatesAcknowledged: w.clients.updatesAcknowledged, ReadsAnswered: w.clients.readsAnswered, Elapsed: w.since(),
		Messages: w.messages, DisksLost: w.disksLost, UpdateLatencies: w.clients.updateLatencies, Syncs: w.syncCount(),
		Ran: w.edges.ran, Refused: w.edges.refused, NeighbourPolls: w.edges.neighbourPolls}
}

// syncCount returns the number of disk syncs by the running processes.
func (w *world) syncCount() (sum uint64) {
	for _, h := range w.hosts {
		if h.machine != nil {
			sum += h.machine.View.Status(w.now).Syncs
		}
	}
	return sum
}

func newWorld(o Options) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x51a)), start: start, now: start, quietSince: start, checks: newChecks()}
	faultRNG := rand.New(rand.NewPCG(o.Seed, 0xfa17)) // separate, so that a run with fewer faults is otherwise the same
	size := o.Machines
	if size == 0 {
		size = 3 + faultRNG.IntN(3)
	}
	w.maxFailures = 1
	if size >= 5 && faultRNG.IntN(2) == 0 {
		w.maxFailures = 2
	}
	w.network = newNetwork()
	for i := range 3 {
		w.founders = append(w.founders, consensus.Member{ID: ipOf(i), Addr: addressOf(i)})
	}
	for i := range size {
		w.addHost(i, true)
	}
	w.trace("%d machines, %d may fail at once", size, w.maxFailures)
	w.faults = o.Faults
	if w.faults == nil {
		w.faults = slices.Concat(drawEarlyFaults(rand.New(rand.NewPCG(o.Seed, 0xea51)), size), drawFaults(faultRNG, size),
			drawEdgeFaults(rand.New(rand.NewPCG(o.Seed, 0xedfa))))
	}
	for i := range w.faults {
		fault := w.faults[i]
		w.at(w.start.Add(fault.At), func() { w.injectFault(fault) })
	}
	w.startClients()
	w.startCopies()
	w.startReports()
	w.startEdges()
	w.trackLost()
	w.after(faultsEnd, w.heal)
	return w
}

func ipOf(i int) string      { return fmt.Sprintf("10.0.0.%d", i+1) }
func addressOf(i int) string { return ipOf(i) + ":7660" }

// since returns the virtual time that has elapsed since the start of the run.
func (w *world) since() time.Duration { return w.now.Sub(w.start) }

// at schedules do for a point in virtual time.
func (w *world) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{t, w.seq, do})
}

// after schedules do for a delay from now.
func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// fail records the first violated invariant, which ends the run.
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

// randomDuration draws a duration between shortest and longest, inclusive.
func (w *world) randomDuration(shortest, longest time.Duration) time.Duration {
	return randomDuration(w.rng, shortest, longest)
}

func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1))
}

// heal ends all faults and starts the quiet period, in which all processes must recover and catch up.
func (w *world) heal() {
	w.trace("all faults end here")
	w.network.heal()
	w.clients.updateStorm = false
	for _, h := range w.hosts {
		h.disk.Full, h.disk.Slow, h.disk.FailSyncs, h.disk.PowerLossAfter = false, false, 0, 0
		h.thaw()
		if h.machine == nil && !h.removed && h.pendingStarts == 0 {
			h.startAfter(0)
		}
	}
	for _, e := range w.edges.all {
		e.thaw()
	}
	w.quietSince = w.now
	w.after(catchUpTimeout, w.checkCaughtUp)
	w.after(w.quietDuration(), w.finish)
}

// quietDuration returns the length of the fault-free time at the end of the run.
func (w *world) quietDuration() time.Duration {
	if w.options.Reports {
		return reportQuietPeriod
	}
	return quietPeriod
}

func (w *world) finish() {
	w.checkCaughtUp()
	w.checkEnd()
	w.checkReports()
	w.queue = nil
}

// readState calls read with a machine's cluster state.
func readState(m *configstore.Machine, read func(*clusterstate.State)) { m.View.Read(read) }
