// Package statesync keeps a process's copy of the common state: it asks a core machine for news with the version that it has,
// is answered when there is some, and goes on to the next one if that one is silent or can't tell. The copy never goes
// back. It keeps a proof of its freshness; while that is old, neighbours hand on what they have, and their own proof.
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
	hold      = 500 * time.Millisecond // a question waits so long for news
	patience  = 350 * time.Millisecond // and its answer may take so much longer; twice as much after each failure in a row
	mostTries = 2                      // of such doublings: the own link may be full, and a new connection would wait behind it as well
	pause     = 40 * time.Millisecond  // between failed questions; more with each in a row
	mostPause = 300 * time.Millisecond

	oldProof          = 1500 * time.Millisecond // past it neighbours are asked; longer than hold, a core machine's own age and the ways together
	neighboursEvery   = 400 * time.Millisecond
	neighboursAtOnce  = 2
	neighbourPatience = 700 * time.Millisecond
)

// Phase is where the copy stands.
type Phase int

// The phases, in their order; a copy is in touch, out of touch and in touch again as often as it must.
const (
	Empty      Phase = iota // nothing is held
	InTouch                 // a core machine that follows a majority was heard lately
	OutOfTouch              // none was: what is held may be old
)

func (p Phase) String() string { return [...]string{"empty", "in touch", "out of touch"}[p] }

// Replica is a process's copy. Its fields are set before Run.
type Replica struct {
	Set    bootconfig.Settings
	Peers  *peerrpc.Peers
	Log    hclog.Logger
	Router clusterstate.Router // who asks, if it is a cache router
	Prefer string              // the address that is asked first, if any
	// Took hears of each change in order, under the copy's lock; whole means that all is new. It must not wait.
	Took func(s *clusterstate.State, c clusterstate.Command, index uint64, whole bool)
	// Heard is told what time it is for a core machine that answered a question, begun and answered at these moments; may be nil.
	Heard func(source string, wall, begun, answered time.Time)
	// Neighbours are addresses that may be asked while the proof is old; may be nil.
	Neighbours func() []string
	// Weak takes guards out, for tests alone.
	Weak Weaknesses

	mu      sync.Mutex
	history *clusterstate.History
	core    []string
	phase   Phase
	heard   time.Time                 // when news, or the word that there is none, last came from a fresh core machine; of the question's begin
	proof   atomic.Pointer[time.Time] // see Proof; written under the lock, after what it proves is in force
	changed chan struct{}
	whole   bool // the next question is for all of the state
}

// Weaknesses take guards out of a copy, one each. They are for tests that show that a guard is needed; nothing else sets one, which a test
// sees to.
type Weaknesses struct {
	DropAge         bool // a neighbour hands its proof on as if it were of the moment of the answer
	ProveIncomplete bool // an answer that does not bring all proves all the same
}

// New returns an empty copy.
func New() *Replica {
	return &Replica{history: clusterstate.NewHistory(clusterstate.New()), changed: make(chan struct{})}
}

// Read shows the state under its lock.
func (s *Replica) Read(look func(*clusterstate.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	look(s.history.State)
}

// Order makes the command that puts a configuration on top of what this copy holds; see clusterstate.History.
func (s *Replica) Order(body []byte) (clusterstate.Command, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Order(body)
}

// Phase returns the phase and when the copy was last surely current.
func (s *Replica) Phase() (Phase, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == InTouch && time.Since(s.heard) > s.Set.Bounds.Contact/2 {
		s.become(OutOfTouch)
	}
	return s.phase, s.heard
}

// Proof is a moment of this process's steady clock: all that had been acknowledged by then is in the copy. The zero time: nothing is proven.
// Whoever reads the copy after Proof holds at least as much.
func (s *Replica) Proof() time.Time {
	if at := s.proof.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ProofIsOld tells whether neighbours are to be asked for a younger proof. In calm it never is.
func (s *Replica) ProofIsOld(now time.Time) bool { return now.Sub(s.Proof()) > oldProof }

// prove moves the proof on; it never goes back. The caller holds the lock and has put into force what the proof is of.
func (s *Replica) prove(at time.Time) {
	if at.After(s.Proof()) {
		s.proof.Store(&at)
	}
}

// become is the one place where the phase changes. The caller holds the lock.
func (s *Replica) become(p Phase) {
	if s.phase != p {
		s.Log.Info("phase", "from", s.phase.String(), "to", p.String(), "index", s.history.State.Index)
		s.phase = p
	}
}

// Index is the copy's version.
func (s *Replica) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.State.Index
}

// Await waits until the copy has an index, or the context ends.
func (s *Replica) Await(ctx context.Context, index uint64) bool {
	for {
		s.mu.Lock()
		ok, changed := s.history.State.Index >= index, s.changed
		s.mu.Unlock()
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

// News answers another process whose question came at that time, as a core machine would; it never claims to be current, but states the
// age of its own proof.
func (s *Replica) News(a clusterstate.Ask, came time.Time) clusterstate.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.history.Since(a.Have)
	n.Core = s.core
	switch at := s.Proof(); {
	case at.IsZero():
	case s.Weak.DropAge:
		n.Prove(came, came)
	default:
		n.Prove(at, came)
	}
	return n
}

// Core returns the addresses of core machines to ask, the preferred one first.
func (s *Replica) Core() []string {
	s.mu.Lock()
	all := slices.Clone(s.core)
	s.mu.Unlock()
	for _, seed := range s.Set.SeedsNow() {
		if at := s.Set.Inner(bootconfig.HostOf(seed), bootconfig.ConfigStorePort); !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if s.Prefer != "" {
		all = slices.DeleteFunc(all, func(a string) bool { return a == s.Prefer })
		all = append([]string{s.Prefer}, all...)
	}
	return all
}

// Run keeps the copy until the context ends.
func (s *Replica) Run(ctx context.Context) {
	var beside sync.WaitGroup
	beside.Go(func() { s.followNeighbours(ctx) })
	defer beside.Wait()
	s.followCore(ctx)
}

// followCore asks core machines, one after the other.
func (s *Replica) followCore(ctx context.Context) {
	first, failed := true, 0
	order := s.Core()
	for ctx.Err() == nil {
		if len(order) == 0 {
			order = s.Core()
		}
		at := order[0]
		n, begun, err := s.ask(ctx, at, first, patience<<min(failed, mostTries))
		took := Nothing
		if err == nil {
			s.hear(at, n, begun, time.Now())
			took = s.Take(n, begun)
		}
		if took == Part { // the rest is there as well
			continue
		}
		if took == All && n.Fresh {
			first, failed = false, 0
			if s.Prefer != "" && at != s.Prefer && rand.IntN(8) == 0 {
				order = s.Core() // it may be back
			}
			continue
		}
		if err != nil && ctx.Err() == nil {
			s.Log.Debug("no news", "err", err)
		}
		order = order[1:]
		failed++
		wait := min(pause*time.Duration(failed), mostPause)
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait/2+1)):
		}
	}
}

func (s *Replica) ask(ctx context.Context, at string, first bool, patience time.Duration) (clusterstate.News, time.Time, error) {
	have := s.Index()
	if s.mustHaveAll() {
		have = 0
	}
	question := clusterstate.Ask{Have: have, Barrier: first, Router: s.Router, HoldMS: hold.Milliseconds()}
	call, done := context.WithTimeout(ctx, hold+patience)
	defer done()
	begun := time.Now()
	n, err := peerrpc.Call[clusterstate.Ask, clusterstate.News](call, s.Peers.At(at), "ConfigStore.News", &question)
	return n, begun, err
}

// answerTime is how much longer than it may be held an answer takes at most whose time of day is heeded.
const answerTime = 100 * time.Millisecond

func (s *Replica) hear(source string, n clusterstate.News, begun, answered time.Time) {
	if s.Heard != nil && n.WallMS > 0 && answered.Sub(begun) < hold+answerTime {
		s.Heard(source, time.UnixMilli(n.WallMS), begun, answered)
	}
}

func (s *Replica) mustHaveAll() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.whole }

// followNeighbours asks neighbours again and again while the proof is old, whatever becomes of the questions to core machines: those hang
// for long when this machine is cut off.
func (s *Replica) followNeighbours(ctx context.Context) {
	look := time.NewTicker(neighboursEvery)
	defer look.Stop()
	for {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
		s.Phase() // one that has run out is told in the log
		if s.Neighbours != nil && s.ProofIsOld(time.Now()) {
			s.askNeighbours(ctx)
		}
	}
}

// askNeighbours asks some neighbours at once, and waits for all of them.
func (s *Replica) askNeighbours(ctx context.Context) {
	all := s.Neighbours()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var asked sync.WaitGroup
	for _, at := range all[:min(len(all), neighboursAtOnce)] {
		asked.Go(func() { s.askNeighbour(ctx, at) })
	}
	asked.Wait()
}

func (s *Replica) askNeighbour(ctx context.Context, at string) {
	call, done := context.WithTimeout(ctx, neighbourPatience)
	defer done()
	question := clusterstate.Ask{Have: s.Index()}
	begun := time.Now()
	n, err := peerrpc.Call[clusterstate.Ask, clusterstate.News](call, s.Peers.At(at), "Edge.News", &question)
	if err != nil {
		s.Log.Debug("no news of a neighbour", "err", err)
		return
	}
	s.TakeFromNeighbour(n, begun)
}

// TakeFromNeighbour takes a neighbour's news on. They may prove what is held, and never bring the copy in touch. Where core machines are is
// taken from one whose proof is younger alone.
func (s *Replica) TakeFromNeighbour(n clusterstate.News, begun time.Time) Taken {
	n.Fresh = false
	if !n.ProofOf(begun).After(s.Proof()) {
		n.Core = nil
	}
	return s.Take(n, begun)
}

// Taken is how much of what the one who answered holds is in the copy after its answer.
type Taken int

// What an answer may have brought.
const (
	Nothing Taken = iota // it brought nothing that can be read, and not all
	Part                 // it brought something, and the one who answered holds more
	All
)

// Take takes news on, as of a question begun at that time; older news than what is held changes nothing. Only news after which the copy
// holds all that the one who answered does prove anything, or bring the copy in touch.
func (s *Replica) Take(n clusterstate.News, begun time.Time) Taken {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.history.State.Index
	if n.State != nil && (n.State.Index > before || s.whole && n.State.Index == before) {
		s.whole = false
		state := n.State
		if state.Servers == nil { // gob leaves out what is empty
			state.Servers = map[string]clusterstate.Server{}
		}
		if state.Routers == nil {
			state.Routers = map[string]clusterstate.Router{}
		}
		s.history = clusterstate.NewHistory(state)
		s.Took(state, clusterstate.Command{}, state.Index, true)
	}
	for _, c := range n.Changes {
		if c.Index <= s.history.State.Index {
			continue
		}
		command, _, err := s.history.Apply(c.Index, c.Data)
		if err != nil {
			s.Log.Error("change not readable; asking for the whole", "index", c.Index, "err", err)
			s.whole = true
			break
		}
		s.Took(s.history.State, command, c.Index, false)
	}
	if len(n.Core) > 0 {
		s.core = n.Core
	}
	took := s.brought(n, before)
	if took == All && n.Fresh {
		s.heard = begun
		s.become(InTouch)
	}
	if took == All || s.Weak.ProveIncomplete {
		s.prove(n.ProofOf(begun))
	}
	if s.history.State.Index != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return took
}

// brought tells what an answer that was taken on has brought. The caller holds the lock.
func (s *Replica) brought(n clusterstate.News, before uint64) Taken {
	switch have := s.history.State.Index; {
	case have >= n.Index:
		return All
	case have > before:
		return Part
	}
	return Nothing
}
