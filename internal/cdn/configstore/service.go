package configstore

import (
	"context"
	"sync"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/peerrpc"
)

// service is what other processes may call. Its methods have net/rpc's form.
type service struct{ c *Store }

// Proposal is a command on its way to the leader.
type Proposal struct {
	Data      []byte
	WaitMS    int64 // how long its outcome is waited for
	Forwarded bool  // by another config store: it is not passed on again
}

// Reply is what became of a proposal.
type Reply struct {
	clusterstate.Outcome
	Known bool // else it may or may not come into force
}

// Deliver takes messages of the agreement.
func (s *service) Deliver(all *[]consensus.Message, ok *bool) error {
	if len(*all) > 0 && (*all)[0].Addr != "" && (*all)[0].Kind != consensus.Join { // a join may be handed on by another one
		s.c.peers.At((*all)[0].Addr).Awake()
	}
	select {
	case s.c.in <- *all:
		*ok = true
	default: // the loop is held up: the sender says it again
	}
	return nil
}

// Propose brings a command into the log, by way of the leader. Commands may be brought twice: the state takes the same one
// once, so an attempt without a clear end is made again while there is time.
func (s *service) Propose(p *Proposal, r *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		here, at := s.c.whereLeader(ctx)
		switch {
		case here:
			done := &proposal{data: p.Data, reply: make(chan answer, 1)}
			select {
			case s.c.proposals <- done:
			case <-ctx.Done():
				return errNoLeader
			}
			select {
			case a := <-done.reply:
				if a.known {
					r.Outcome, r.Known = a.Outcome, true
					return nil
				}
			case <-ctx.Done():
				return nil // in the log, perhaps
			}
		case p.Forwarded || at == "":
			if ctx.Err() != nil || p.Forwarded {
				return errNoLeader
			}
		default:
			on := *p
			on.Forwarded = true
			if until, ok := ctx.Deadline(); ok {
				on.WaitMS = max(time.Until(until).Milliseconds(), 1)
			}
			call, done := context.WithTimeout(ctx, 1500*time.Millisecond)
			reply, err := peerrpc.Call[Proposal, Reply](call, s.c.peers.At(at), "ConfigStore.Propose", &on)
			done()
			if err == nil && reply.Known {
				*r = reply
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// whereLeader waits for a leader: here, or at an address.
func (c *Store) whereLeader(ctx context.Context) (here bool, at string) {
	c.wait(ctx, func() bool {
		here, at = c.leads, c.leader
		return here || at != ""
	})
	return here, at
}

// Asked is a question for what is surely committed.
type Asked struct {
	WaitMS    int64
	Forwarded bool
}

// gather runs one barrier for all who have asked since the last one began.
type gather struct {
	mu      sync.Mutex
	running bool
	waiting []chan gathered
}

type gathered struct {
	index uint64
	err   error
}

func (g *gather) ask(run func() (uint64, error)) (uint64, error) {
	mine := make(chan gathered, 1)
	g.mu.Lock()
	g.waiting = append(g.waiting, mine)
	first := !g.running
	g.running = true
	g.mu.Unlock()
	if first {
		go g.serve(run)
	}
	got := <-mine
	return got.index, got.err
}

func (g *gather) serve(run func() (uint64, error)) {
	for {
		g.mu.Lock()
		all := g.waiting
		if g.waiting = nil; len(all) == 0 {
			g.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		index, err := run()
		for _, w := range all {
			w <- gathered{index, err}
		}
	}
}

// Barrier returns an index: a state that has it holds all that was acknowledged before the call.
func (s *service) Barrier(a *Asked, index *uint64) (err error) {
	*index, err = s.c.gather.ask(func() (index uint64, err error) { err = s.barrier(a, &index); return index, err })
	return err
}

func (s *service) barrier(a *Asked, index *uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		here, at := s.c.whereLeader(ctx)
		switch {
		case here:
			r := &reading{reply: make(chan barrierEnd, 1)}
			select {
			case s.c.barriers <- r:
			case <-ctx.Done():
				return errNoLeader
			}
			select {
			case end := <-r.reply:
				if end.ok {
					*index = end.index
					return nil
				}
			case <-ctx.Done():
				return errNoLeader
			}
		case a.Forwarded || at == "":
			if a.Forwarded {
				return errNoLeader
			}
		default:
			on := Asked{WaitMS: a.WaitMS, Forwarded: true}
			call, done := context.WithTimeout(ctx, 800*time.Millisecond)
			got, err := peerrpc.Call[Asked, uint64](call, s.c.peers.At(at), "ConfigStore.Barrier", &on)
			done()
			if err == nil {
				*index = got
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errNoLeader
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// Manifest returns the newest configuration as it was put.
func (s *service) Manifest(a *Asked, body *[]byte) error {
	var index uint64
	if err := s.Barrier(a, &index); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.WaitMS)*time.Millisecond)
	defer cancel()
	if !s.c.caughtUp(ctx, index) {
		return errNoLeader
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	*body = s.c.history.State.Body
	return nil
}

func (c *Store) caughtUp(ctx context.Context, index uint64) bool {
	return c.wait(ctx, func() bool { return c.applied >= index })
}

// News answers one who asks what is new, at once if there is any or if this machine can't tell, else when there is.
func (s *service) News(a *clusterstate.Ask, n *clusterstate.News) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.HoldMS)*time.Millisecond)
	defer cancel()
	s.c.attend(a.Router)
	if a.Barrier {
		var index uint64
		if err := s.Barrier(&Asked{WaitMS: a.HoldMS}, &index); err != nil {
			return err
		}
		if !s.c.caughtUp(ctx, index) {
			return errNoLeader
		}
	} else {
		s.c.wait(ctx, func() bool { return s.c.history.State.Index > a.Have || !s.c.current() })
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	*n = s.c.history.Since(a.Have)
	n.Core, n.Fresh = s.c.core, s.c.current()
	return nil
}

// current tells whether this machine follows a leader with a majority. The caller holds the lock.
func (c *Store) current() bool { return c.fresh && time.Since(c.turned) < freshFor }

// attend notes a cache router that asks, and has one that is new, or has moved, put into the roster.
func (c *Store) attend(r clusterstate.Router) {
	if r.Node == "" {
		return
	}
	now := time.Now()
	c.mu.Lock()
	c.attended[r.Node] = now
	enrol := c.history.State.Routers[r.Node] != r && now.Sub(c.enrolled[r.Node]) > enrolAgain && c.leader != ""
	first := false
	if enrol {
		c.enrolled[r.Node] = now
		c.newcomers = append(c.newcomers, r)
		first = len(c.newcomers) == 1
	}
	c.mu.Unlock()
	if first {
		time.AfterFunc(enrolTogether, c.enrol)
	}
}

// enrol proposes those who have come, all in one command: each command is a change of every table.
func (c *Store) enrol() {
	c.mu.Lock()
	all := c.newcomers
	c.newcomers = nil
	c.mu.Unlock()
	(&service{c}).Propose(&Proposal{Data: clusterstate.Command{Enrol: all}.Encode(), WaitMS: 1000}, &Reply{})
}

// Heard notes servers whose beats this machine's registry has acknowledged. The leader is told with the followers' answers.
func (s *service) Heard(ids *[]string, ok *bool) error {
	now := time.Now()
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for _, id := range *ids {
		if len(s.c.attended) < mostAttended {
			s.c.attended[serverMark+id] = now
		}
	}
	*ok = true
	return nil
}

const (
	serverMark   = "server " // before a server's id, where cache routers stand beside
	mostAttended = 1 << 17
)

// ServerKey is a server's name beside those of cache routers.
func ServerKey(id string) string { return serverMark + id }

// Need notes what a cache router would ask of the servers of services, for the machine that holds the duty.
func (s *service) Need(n *clusterstate.Needs, ok *bool) error {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if _, known := s.c.needs[n.Node]; known || len(s.c.needs) < mostAttended {
		s.c.needs[n.Node], *ok = needed{n.Per, time.Now()}, true
	}
	return nil
}

// Needs tells, by service and cache router, what was noted of late.
func (s *service) Needs(_ *bool, all *map[string]map[string]float64) error {
	now := time.Now()
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	*all = map[string]map[string]float64{}
	for node, n := range s.c.needs {
		if now.Sub(n.at) > needFor {
			continue
		}
		for service, need := range n.per {
			if (*all)[service] == nil {
				(*all)[service] = map[string]float64{}
			}
			(*all)[service][node] = need
		}
	}
	return nil
}

// Silence is a question for how long servers (by ServerKey) and cache routers have been silent, wherever they were heard.
type Silence struct {
	Names     []string
	Forwarded bool
}

// Silent answers it, by way of the leader, in milliseconds; nobody is told to be silent for longer than this leader has led.
func (s *service) Silent(q *Silence, ages *[]int64) error {
	s.c.mu.Lock()
	leads, at, since := s.c.leads, s.c.leader, s.c.since
	if leads {
		now := time.Now()
		for _, name := range q.Names {
			last := since
			for _, t := range [...]time.Time{s.c.attended[name], s.c.present[name]} {
				if t.After(last) {
					last = t
				}
			}
			*ages = append(*ages, now.Sub(last).Milliseconds())
		}
	}
	s.c.mu.Unlock()
	if leads {
		return nil
	}
	if q.Forwarded || at == "" {
		return errNoLeader
	}
	ctx, done := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer done()
	got, err := peerrpc.Call[Silence, []int64](ctx, s.c.peers.At(at), "ConfigStore.Silent", &Silence{q.Names, true})
	*ages = got
	return err
}

// Status tells where this machine stands.
func (s *service) Status(_ *bool, out *Status) error {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	*out = s.c.status
	state := s.c.history.State
	out.Leader, out.Fresh, out.Members, out.Index = s.c.leader, s.c.current(), s.c.core, state.Index
	out.Version, out.Servers, out.Routers, out.Duty = state.Version.String(), len(state.Servers), len(state.Routers), state.Duty
	return nil
}
