// Package statesync keeps a process's copy of the replicated state up to date by long polling. It asks a core machine for the changes since
// the index that it holds, and goes on to the next machine if that one does not answer or does not know whether it is current. The replica
// never goes back. It keeps a proof of how current it is; while the proof is old, it also asks neighbours, which pass on their changes
// and their own proof.
package statesync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"

	"github.com/hashicorp/go-hclog"
)

const (
	holdTime = 500 * time.Millisecond // how long a machine may hold a request until there are changes
	// replyTimeout is how much longer the reply may take. It is doubled after each failure in a row, because this machine's own link may
	// be full, and then a new connection would wait as well.
	replyTimeout        = 350 * time.Millisecond
	maxTimeoutDoublings = 2
	retryBackoff        = 40 * time.Millisecond // times the number of failures in a row
	maxRetryBackoff     = 300 * time.Millisecond

	// maxProofAge is the age of the proof above which neighbours are asked. It is longer than the hold time, the age of a core
	// machine's own proof and the network delay together.
	maxProofAge        = 1500 * time.Millisecond
	neighbourInterval  = 400 * time.Millisecond
	neighboursPerRound = 2
	neighbourTimeout   = 700 * time.Millisecond
)

// Phase is the state of a replica's contact with the core machines.
type Phase int

// The phases. A replica starts in PhaseEmpty and then alternates between Connected and Disconnected.
const (
	PhaseEmpty   Phase = iota // no core machine has answered yet
	Connected                 // a core machine that follows a leader with a majority answered lately
	Disconnected              // none answered lately: the replica may be stale
)

// String returns the name of the phase, for logs.
func (p Phase) String() string { return [...]string{"empty", "connected", "disconnected"}[p] }

// Replica is a process's copy of the replicated state. Its exported fields are set before Run.
type Replica struct {
	Set    bootconfig.Settings
	Peers  *peerrpc.Peers
	Log    hclog.Logger
	Router clusterstate.Router // this process's own entry, if it is a cache router
	Prefer string              // address of the core machine that is asked first, if any
	// Took is called for each change in order, with the replica locked; whole means that the state was replaced. It must not block.
	Took func(s *clusterstate.State, c clusterstate.Command, index uint64, whole bool)
	// Heard is called with the time of day of a core machine that answered a request, and with when the request was started and answered;
	// it may be nil.
	Heard func(source string, wall, started, answered time.Time)
	// Neighbours returns the addresses of other processes to ask while the proof is old; it may be nil.
	Neighbours func() []string
	// Weak disables safeguards; for tests only.
	Weak DisabledSafeguards

	mu            sync.Mutex
	history       *clusterstate.History
	coreAddresses []string
	phase         Phase
	lastCurrent   time.Time                 // start of the last request whose reply was fresh and left nothing missing
	proof         atomic.Pointer[time.Time] // see Proof; written under the lock, after the changes that it covers are applied
	changed       chan struct{}             // closed and replaced when the index changes
	needWhole     bool                      // the next request is for the whole state
}

// DisabledSafeguards disables safeguards of a replica, one per field. Tests set them to show that the safeguard is needed; a test checks
// that nothing else does.
type DisabledSafeguards struct {
	DropAge         bool // the proof that is passed on to neighbours has age 0, whatever its real age
	ProveIncomplete bool // a reply advances the proof even if it does not contain all changes
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{history: clusterstate.NewHistory(clusterstate.New()), changed: make(chan struct{})}
}

// View calls a function with the replicated state while the replica is locked. The function must not keep the state.
func (r *Replica) View(read func(*clusterstate.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.history.State)
}

// ConfigCommand returns the command that puts a configuration on top of the one that this replica holds; see clusterstate.History.
func (r *Replica) ConfigCommand(body []byte) (clusterstate.Command, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.ConfigCommand(body)
}

// Phase returns the phase and when the replica was last known to be current. It also notices that the contact has timed out.
func (r *Replica) Phase() (Phase, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == Connected && time.Since(r.lastCurrent) > r.Set.Limits.Contact/2 {
		r.setPhase(Disconnected)
	}
	return r.phase, r.lastCurrent
}

// Proof returns the moment, on this process's monotonic clock, by which the replica is proven current: it contains all that had been
// acknowledged by then. The zero time means that nothing is proven. A read of the replica after Proof sees at least as much.
func (r *Replica) Proof() time.Time {
	if provenAt := r.proof.Load(); provenAt != nil {
		return *provenAt
	}
	return time.Time{}
}

// ProofIsOld reports whether neighbours are to be asked for a newer proof. It never is while core machines answer normally.
func (r *Replica) ProofIsOld(now time.Time) bool { return now.Sub(r.Proof()) > maxProofAge }

// advanceProof sets the proof unless the present one is newer. The caller holds the lock and has applied what the proof covers.
func (r *Replica) advanceProof(at time.Time) {
	if at.After(r.Proof()) {
		r.proof.Store(&at)
	}
}

// setPhase changes the phase and logs the change. The caller holds the lock. No other code changes the phase.
func (r *Replica) setPhase(next Phase) {
	if r.phase != next {
		r.Log.Info("phase", "from", r.phase.String(), "to", next.String(), "index", r.history.State.Index)
		r.phase = next
	}
}

// Index returns the index of the last command that the replica has applied.
func (r *Replica) Index() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.State.Index
}

// Await waits until the replica has applied the command at an index, and returns false if the context ends before.
func (r *Replica) Await(ctx context.Context, index uint64) bool {
	for {
		r.mu.Lock()
		ok, changed := r.history.State.Index >= index, r.changed
		r.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// News answers another process's request, which arrived at the given moment, as a core machine would. The reply is never marked as
// fresh, but states the age of this replica's proof.
func (r *Replica) News(request clusterstate.Ask, arrived time.Time) clusterstate.News {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.history.Since(request.Have)
	reply.Core = r.coreAddresses
	switch proof := r.Proof(); {
	case proof.IsZero():
	case r.Weak.DropAge:
		reply.SetProof(arrived, arrived)
	default:
		reply.SetProof(proof, arrived)
	}
	return reply
}

// TransferBytes returns about how many bytes it takes to send the whole state, if News would return that; otherwise 0.
func (r *Replica) TransferBytes(have uint64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.TransferBytes(have)
}

// CoreAddresses returns the addresses of the core machines in random order, the preferred one first.
func (r *Replica) CoreAddresses() []string {
	r.mu.Lock()
	addresses := slices.Clone(r.coreAddresses)
	r.mu.Unlock()
	for _, seed := range r.Set.LatestSeeds() {
		if address := r.Set.InternalAddress(bootconfig.Host(seed), bootconfig.ConfigStorePort); !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if r.Prefer != "" {
		addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == r.Prefer })
		addresses = append([]string{r.Prefer}, addresses...)
	}
	return addresses
}

// Run keeps the replica up to date until the context ends.
func (r *Replica) Run(ctx context.Context) {
	var neighbours sync.WaitGroup
	neighbours.Go(func() { r.pollNeighbours(ctx) })
	defer neighbours.Wait()
	r.pollCore(ctx)
}

// pollCore polls a core machine for changes, and moves on to the next one when a poll fails.
func (r *Replica) pollCore(ctx context.Context) {
	first, failures := true, 0
	candidates := r.CoreAddresses()
	for ctx.Err() == nil {
		if len(candidates) == 0 {
			candidates = r.CoreAddresses()
		}
		address := candidates[0]
		reply, started, err := r.requestNews(ctx, address, first, replyTimeout<<min(failures, maxTimeoutDoublings))
		got := CoverageNone
		if err == nil {
			r.reportTime(address, reply, started, time.Now())
			got = r.Apply(reply, started)
		}
		if got == CoveragePartial { // the same machine has more
			continue
		}
		if got == CoverageComplete && reply.Fresh {
			first, failures = false, 0
			if r.Prefer != "" && address != r.Prefer && rand.IntN(8) == 0 {
				candidates = r.CoreAddresses() // the preferred machine may be back
			}
			continue
		}
		if err != nil && ctx.Err() == nil {
			r.Log.Debug("poll of a core machine failed", "err", err)
		}
		candidates = candidates[1:]
		failures++
		wait := min(retryBackoff*time.Duration(failures), maxRetryBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait/2+1)):
		}
	}
}

// requestNews sends one request to a core machine and returns its reply and when the request was started.
func (r *Replica) requestNews(ctx context.Context, addr string, barrier bool, timeout time.Duration) (clusterstate.News, time.Time, error) {
	have := r.Index()
	if r.needsWholeState() {
		have = 0
	}
	request := clusterstate.Ask{Have: have, Barrier: barrier, Router: r.Router, HoldMS: holdTime.Milliseconds()}
	callCtx, cancel := context.WithTimeout(ctx, holdTime+timeout)
	defer cancel()
	started := time.Now()
	reply, err := peerrpc.Call[clusterstate.Ask, clusterstate.News](callCtx, r.Peers.At(addr), "ConfigStore.News", &request)
	return reply, started, err
}

// maxClockDelay is the longest time, beyond the hold time, after which a reply's time of day is still used.
const maxClockDelay = 100 * time.Millisecond

// reportTime passes a reply's time of day to Heard, unless the reply took too long for it to be useful.
func (r *Replica) reportTime(source string, reply clusterstate.News, started, answered time.Time) {
	if r.Heard != nil && reply.WallMS > 0 && answered.Sub(started) < holdTime+maxClockDelay {
		r.Heard(source, time.UnixMilli(reply.WallMS), started, answered)
	}
}

// needsWholeState reports whether the next request must be for the whole state.
func (r *Replica) needsWholeState() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.needWhole }

// pollNeighbours polls neighbours while the proof is old. It does not depend on the requests to core machines, which hang for long when
// this machine is cut off from them.
func (r *Replica) pollNeighbours(ctx context.Context) {
	ticker := time.NewTicker(neighbourInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.Phase() // logs a contact that has timed out
		if r.Neighbours != nil && r.ProofIsOld(time.Now()) {
			r.askNeighbours(ctx)
		}
	}
}

// askNeighbours asks some random neighbours concurrently, and waits for all of them.
func (r *Replica) askNeighbours(ctx context.Context) {
	addresses := r.Neighbours()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var requests sync.WaitGroup
	for _, address := range addresses[:min(len(addresses), neighboursPerRound)] {
		requests.Go(func() { r.askNeighbour(ctx, address) })
	}
	requests.Wait()
}

// askNeighbour asks one neighbour for changes and applies its reply.
func (r *Replica) askNeighbour(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, neighbourTimeout)
	defer cancel()
	request := clusterstate.Ask{Have: r.Index()}
	started := time.Now()
	reply, err := peerrpc.Call[clusterstate.Ask, clusterstate.News](callCtx, r.Peers.At(address), "Edge.News", &request)
	if err != nil {
		r.Log.Debug("poll of a neighbour failed", "err", err)
		return
	}
	r.ApplyFromNeighbour(reply, started)
}

// ApplyFromNeighbour applies a neighbour's reply. It may advance the proof, but never changes the phase to Connected. The addresses of the
// core machines are adopted only if the neighbour's proof is newer than the replica's.
func (r *Replica) ApplyFromNeighbour(reply clusterstate.News, started time.Time) Coverage {
	reply.Fresh = false
	if !reply.ProvenAt(started).After(r.Proof()) {
		reply.Core = nil
	}
	return r.Apply(reply, started)
}

// Coverage tells how much of the sender's state the replica holds after a reply was applied.
type Coverage int

// The values of Coverage.
const (
	CoverageNone     Coverage = iota // the sender holds more, and the reply brought no change that could be applied
	CoveragePartial                  // the sender holds more, but the reply brought some changes
	CoverageComplete                 // the replica holds at least all that the sender does
)

// Apply applies the reply to a request that was started at that time. A reply older than the replica changes nothing. Only if the replica
// then holds all that the sender does can the reply advance the proof or change the phase to Connected.
func (r *Replica) Apply(reply clusterstate.News, started time.Time) Coverage {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.history.State.Index
	if reply.State != nil && (reply.State.Index > before || r.needWhole && reply.State.Index == before) {
		r.needWhole = false
		state := reply.State
		if state.Servers == nil { // gob omits empty maps
			state.Servers = map[string]clusterstate.Server{}
		}
		if state.Routers == nil {
			state.Routers = map[string]clusterstate.Router{}
		}
		r.history = clusterstate.NewHistory(state)
		r.Took(state, clusterstate.Command{}, state.Index, true)
	}
	for _, c := range reply.Changes {
		if c.Index <= r.history.State.Index {
			continue
		}
		command, _, err := r.history.Apply(c.Index, c.Data)
		if err != nil {
			r.Log.Error("change could not be applied; requesting the whole state", "index", c.Index, "err", err)
			r.needWhole = true
			break
		}
		r.Took(r.history.State, command, c.Index, false)
	}
	if len(reply.Core) > 0 {
		r.coreAddresses = reply.Core
	}
	got := r.coverage(reply, before)
	if got == CoverageComplete && reply.Fresh {
		r.lastCurrent = started
		r.setPhase(Connected)
	}
	if got == CoverageComplete || r.Weak.ProveIncomplete {
		r.advanceProof(reply.ProvenAt(started))
	}
	if r.history.State.Index != before {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return got
}

// coverage returns how much of the sender's state the replica holds after a reply was applied; before is the index that the replica had
// before it. The caller holds the lock.
func (r *Replica) coverage(reply clusterstate.News, before uint64) Coverage {
	switch have := r.history.State.Index; {
	case have >= reply.Index:
		return CoverageComplete
	case have > before:
		return CoveragePartial
	}
	return CoverageNone
}
