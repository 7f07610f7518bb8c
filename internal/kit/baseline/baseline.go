// Package baseline provides policies against which a rehearsal compares the production decisions. Two are from the textbook: a
// random server, and the less loaded of two drawn at random. They keep the rules on lost requests, effects and drains as the
// production decisions do, but ignore keys and don't spare cold servers. The policy no-sites is the production decisions with
// site tiers off, whatever the operators' file says; oracle, in virtual time only, sees the true state.
package baseline

import (
	"math/rand/v2"
	"slices"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
)

// Names are the names of the policies.
var Names = []string{"random", "least-of-two", "no-sites"}

// New returns the constructor of a policy's decisions; nil if there is no policy of that name.
func New(name string) func(balance.Settings, uint64) exchange.Balancer {
	if name == "no-sites" {
		return func(set balance.Settings, seed uint64) exchange.Balancer {
			set.Tiers = nil
			return balance.New(set, seed)
		}
	}
	candidates := map[string]int{"random": 1, "least-of-two": 2}[name]
	if candidates == 0 {
		return nil
	}
	return func(set balance.Settings, seed uint64) exchange.Balancer {
		p := newPolicy(set)
		rng := rand.New(rand.NewPCG(seed, 1))
		p.choose = func(r *request) (balance.ServerID, bool) { return p.drawServer(rng, candidates, r) }
		return p
	}
}

// newPolicy returns a policy without servers; its choose function is set by the caller.
func newPolicy(set balance.Settings) *policy {
	return &policy{set: set, servers: map[balance.ServerID]*server{}, requests: map[balance.RequestID]*request{},
		timers: map[int64]balance.RequestID{}}
}

// server is a listed server and its requests in flight.
type server struct {
	balance.Entry
	inFlight int
}

// request is a request with its attempts, of which at most one is in flight.
type request struct {
	balance.Request
	class      balance.Class
	attempts   []balance.ServerID
	inFlight   bool
	mayHaveRun bool // a node may have run the request
	firstSent  balance.Time
	done       bool
}

// policy makes decisions with one attempt at a time; choose picks the server.
type policy struct {
	set      balance.Settings
	choose   func(*request) (balance.ServerID, bool) // the next server for a request; false: none
	servers  map[balance.ServerID]*server
	up       []*server
	requests map[balance.RequestID]*request
	timers   map[int64]balance.RequestID
	token    int64
	now      balance.Time
	actions  []balance.Action
}

// Handle handles the events of one moment and returns the actions.
func (p *policy) Handle(now balance.Time, events []balance.Event) []balance.Action {
	p.now, p.actions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case balance.List:
			p.onList(e)
		case balance.Request:
			p.onRequest(e)
		case balance.Outcome:
			if r := p.requests[e.ID]; r != nil && e.Attempt == len(r.attempts)-1 && r.inFlight {
				p.onOutcome(r, e)
			}
		case balance.ClientGone:
			if r := p.requests[e.ID]; r != nil {
				p.end(r)
			}
		case balance.Timer:
			id, ok := p.timers[e.Token]
			delete(p.timers, e.Token)
			if r := p.requests[id]; ok && r != nil && !r.done {
				p.giveUp(r)
			}
		}
	}
	return p.actions
}

// onList updates the servers and the sorted list of those that are up.
func (p *policy) onList(l balance.List) {
	if l.Kind == balance.Failed {
		return
	}
	listed := map[balance.ServerID]bool{}
	for _, e := range l.Entries {
		listed[e.Server] = true
		s := p.servers[e.Server]
		if s == nil {
			s = &server{}
			p.servers[e.Server] = s
		}
		s.Entry = e
	}
	p.up = nil
	for id, s := range p.servers {
		if l.Kind != balance.Partial && !listed[id] {
			s.State = balance.Gone
		}
		switch {
		case s.State == balance.Up:
			p.up = append(p.up, s)
		case s.State == balance.Gone && s.inFlight == 0:
			delete(p.servers, id)
		}
	}
	slices.SortFunc(p.up, func(a, b *server) int { // a fixed order: random draws must not depend on map order
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
}

// onRequest sends a new request and sets a timer for its deadline.
func (p *policy) onRequest(q balance.Request) {
	if p.requests[q.ID] != nil {
		return
	}
	r := &request{Request: q, class: balance.Class{Target: q.Due.Sub(p.now)}}
	for _, c := range p.set.Classes {
		if c.Name == q.Class {
			r.class = c
		}
	}
	p.requests[q.ID] = r
	p.token++
	p.timers[p.token] = q.ID
	p.actions = append(p.actions, balance.SetTimer{After: max(q.Due.Sub(p.now), 0), Token: p.token})
	p.send(r)
}

// drawServer returns the server with the fewest requests in flight among some drawn at random, of those not tried yet.
func (p *policy) drawServer(rng *rand.Rand, candidates int, r *request) (balance.ServerID, bool) {
	var eligible []*server
	for _, s := range p.up {
		if !slices.Contains(r.attempts, s.Server) {
			eligible = append(eligible, s)
		}
	}
	if len(eligible) == 0 {
		return "", false
	}
	best := eligible[rng.IntN(len(eligible))]
	for range candidates - 1 {
		if other := eligible[rng.IntN(len(eligible))]; other.inFlight < best.inFlight {
			best = other
		}
	}
	return best.Server, true
}

// send sends a request to the chosen server, or gives up.
func (p *policy) send(r *request) {
	id, ok := p.choose(r)
	if !ok {
		p.giveUp(r)
		return
	}
	if !r.mayHaveRun {
		r.firstSent = p.now
	}
	s := p.servers[id]
	s.inFlight++
	r.inFlight, r.attempts = true, append(r.attempts, id)
	p.actions = append(p.actions, balance.Send{ID: r.ID, Server: id})
}

// onOutcome ends a request or retries it, if a retry is allowed and attempts and time are left.
func (p *policy) onOutcome(r *request, o balance.Outcome) {
	r.inFlight = false
	if s := p.servers[o.Server]; s != nil {
		s.inFlight--
	}
	r.mayHaveRun = r.mayHaveRun || !o.Result.HadNoEffect()
	attemptsLeft := p.set.MaxAttempts <= 0 || len(r.attempts) < p.set.MaxAttempts
	retryAllowed := !r.mayHaveRun || r.class.Effect == balance.Safe ||
		r.class.Effect == balance.Keyed && r.class.Group == balance.GroupAll && p.now < r.firstSent.Add(r.class.RepeatWindow)
	switch {
	case r.done:
		delete(p.requests, r.ID)
	case o.Done || o.Result == balance.OK:
		p.end(r)
	case attemptsLeft && retryAllowed && p.now < r.Due:
		p.send(r)
	default:
		p.giveUp(r)
	}
}

// giveUp gives the final answer: a refusal if a retry is harmless, else a failure.
func (p *policy) giveUp(r *request) {
	switch {
	case r.inFlight || r.mayHaveRun && r.class.Effect != balance.Safe:
		p.actions = append(p.actions, balance.Fail{ID: r.ID})
	default:
		p.actions = append(p.actions, balance.Refuse{ID: r.ID})
	}
	p.end(r)
}

// end marks a request as done. It is dropped once its last attempt has ended.
func (p *policy) end(r *request) {
	r.done = true
	if !r.inFlight {
		delete(p.requests, r.ID)
	} else if p.set.MayCancel {
		p.actions = append(p.actions, balance.Cancel{ID: r.ID, Attempt: len(r.attempts) - 1})
	}
}

// View returns the number of requests in flight at each server.
func (p *policy) View(balance.Time) (all []balance.View) {
	for _, s := range p.up {
		all = append(all, balance.View{Server: s.Server, InFlight: s.inFlight, WarmFraction: 1, SinceAnswer: -1})
	}
	return all
}
