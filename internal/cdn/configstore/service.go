package configstore

import (
	"context"
	"errors"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/usage"
)

// errNoLeader is the cause where no leader that has a majority could be asked.
var errNoLeader = errors.New("no leader that has a majority")

// errUsageUnheard is the cause where proxies have not had the time to report what they counted.
var errUsageUnheard = errors.New("proxies have not reported their usage yet")

// service is what other processes may call. Its methods have net/rpc's form.
type service struct {
	*Store
	session *peerrpc.Session // nil for the process's own calls
}

// Proposal is a command on its way to the leader.
type Proposal struct {
	Data      []byte
	Kind      string // of the command, for the figures: clusterstate.Command.Kind
	WaitMS    int64  // how long its outcome is waited for
	Forwarded bool   // by another config store: it is not passed on again
	Ticket    peerrpc.Ticket
}

// Asked is a question for what is surely committed.
type Asked struct {
	WaitMS    int64
	Forwarded bool
	Ticket    peerrpc.Ticket
}

// Silence is a question for how long servers (by ServerKey) and cache routers have been silent, wherever they were heard.
type Silence struct {
	Names     []string
	Forwarded bool
}

// begin returns the context of a call, which ends when its caller gives it up. Calls that can be given up are accounted by their name.
func (s *service) begin(t peerrpc.Ticket, name string, ms int64) (context.Context, func()) {
	ctx, done := s.session.Begin(t, time.Duration(ms)*time.Millisecond)
	if t == 0 {
		return ctx, done
	}
	caller := s.callers.Open(ctx, departure.Neighbour, name)
	return ctx, func() { caller.Close(); done() }
}

// Deliver takes messages of the agreement.
func (s *service) Deliver(all *[]consensus.Message, ok *bool) error {
	if len(*all) > 0 && (*all)[0].Addr != "" && (*all)[0].Join == nil { // a join may be handed on by another one
		s.peers.At((*all)[0].Addr).Awake()
	}
	select {
	case s.in <- *all:
		*ok = true
	default: // the loop is held up: the sender says it again
	}
	return nil
}

// Propose brings a command into the log, by way of the leader. Commands may be brought twice: the state takes the same one
// once, so an attempt without a clear end is made again while there is time.
func (s *service) Propose(p *Proposal, r *Reply) error {
	ctx, cancel := s.begin(p.Ticket, "propose", p.WaitMS)
	defer cancel()
	if !p.Forwarded { // where it was received, and once
		received, settled := time.Now(), s.view.settled(time.Now(), s.set.Bounds.Contact)
		defer func() { s.acknowledgements.observe(p.Kind, *r, settled, time.Since(received)) }()
	}
	_, err := s.askLeader(ctx, p.Forwarded, func() bool {
		reply, err := askLoop(ctx, s.Store, s.proposals, p.Data)
		*r = reply
		return err == nil && reply.Known
	}, func(leader *peerrpc.Peer) bool {
		on := Proposal{Data: p.Data, WaitMS: left(ctx), Forwarded: true, Ticket: peerrpc.NewTicket()}
		reply, err := peerrpc.CallWatched[Proposal, Reply](ctx, leader, "ConfigStore.Propose", &on, on.Ticket)
		*r = reply
		return err == nil && reply.Known
	})
	return err
}

// Barrier returns an index: a state that has it holds all that was acknowledged before the call.
func (s *service) Barrier(a *Asked, index *uint64) (err error) {
	ctx, cancel := s.begin(a.Ticket, "barrier", a.WaitMS)
	defer cancel()
	*index, err = s.barrierFor(ctx, a)
	return err
}

// barrierFor waits for a barrier that it shares with all who ask at the same time; the context ends the waiting alone.
func (s *service) barrierFor(ctx context.Context, a *Asked) (uint64, error) {
	shared := Asked{WaitMS: a.WaitMS, Forwarded: a.Forwarded}
	return s.gather.ask(ctx, func() (uint64, error) { return s.barrier(shared) })
}

func (s *service) barrier(a Asked) (index uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.WaitMS)*time.Millisecond)
	defer cancel()
	done, err := s.askLeader(ctx, a.Forwarded, func() bool {
		end, err := askLoop(ctx, s.Store, s.barriers, nil)
		index = end.Index
		return err == nil && end.OK
	}, func(leader *peerrpc.Peer) bool {
		on := Asked{WaitMS: left(ctx), Forwarded: true}
		var err error
		index, err = peerrpc.CallWatched[Asked, uint64](ctx, leader, "ConfigStore.Barrier", &on, 0)
		return err == nil
	})
	if err == nil && !done {
		err = errNoLeader
	}
	return index, err
}

// Manifest returns the newest configuration as it was put.
func (s *service) Manifest(a *Asked, body *[]byte) error {
	ctx, cancel := s.begin(a.Ticket, "manifest", a.WaitMS)
	defer cancel()
	index, err := s.barrierFor(ctx, a)
	if err != nil {
		return err
	}
	if !s.caughtUp(ctx, index) {
		return errNoLeader
	}
	s.view.Read(func(state *clusterstate.State) { *body = state.Body })
	return nil
}

func (s *service) caughtUp(ctx context.Context, index uint64) bool {
	return s.view.wait(ctx, func() bool { return s.view.applied >= index })
}

// News answers one who asks what is new, at once if there is any or if this machine can't tell, else when there is.
func (s *service) News(a *clusterstate.Ask, n *clusterstate.News) error {
	came := time.Now()
	ctx, cancel := s.begin(0, "news", a.HoldMS)
	defer cancel()
	if s.view.attend(a.Router) {
		time.AfterFunc(enrolTogether, s.enrol)
	}
	if a.Barrier {
		index, err := s.barrierFor(ctx, &Asked{WaitMS: a.HoldMS})
		if err != nil {
			return err
		}
		if !s.caughtUp(ctx, index) {
			return errNoLeader
		}
	} else {
		s.view.wait(ctx, func() bool {
			return s.view.history.State.Index > a.Have || !s.view.current(time.Now())
		})
	}
	*n = s.view.Since(a.Have, came, time.Now())
	if a.Barrier { // a majority was heard after the question came
		n.Fresh = true
		n.Prove(came, came)
	}
	n.WallMS = s.clock.Now(time.Now()).UnixMilli()
	return nil
}

// enrol proposes the cache routers that have come.
func (s *service) enrol() {
	command := clusterstate.Command{Enrol: s.view.takeNewcomers()}
	s.Propose(&Proposal{Data: command.Encode(), Kind: command.Kind(), WaitMS: time.Second.Milliseconds()}, &Reply{})
}

// Heard notes servers whose beats this machine's registry has acknowledged.
func (s *service) Heard(ids *[]string, ok *bool) error {
	s.view.serversHeard(*ids, time.Now())
	*ok = true
	return nil
}

// Need notes what a cache router would ask of the servers of services, for the machine that holds the duty.
func (s *service) Need(n *clusterstate.Needs, ok *bool) error {
	*ok = s.view.noteNeed(n, time.Now())
	return nil
}

// Needs tells, by service and cache router, what was noted of late.
func (s *service) Needs(_ *bool, all *map[string]map[string]float64) error {
	*all = s.view.needsNow(time.Now())
	return nil
}

// Usage notes what a proxy has counted, for the machine that holds the duty.
func (s *service) Usage(r *usage.Report, ok *bool) error {
	*ok = s.view.noteUsage(r, time.Now())
	return nil
}

// UsageSums tells what proxies have counted in windows that are not fixed yet.
func (s *service) UsageSums(_ *bool, sums *[]usage.Sum) (err error) {
	*sums, err = s.view.usageSums(time.Now())
	return err
}

// Clock tells what this process's own clock shows, in milliseconds since the start of 1970, not shifted by what it heard of others.
func (s *service) Clock(_ *bool, wallMS *int64) error {
	*wallMS = s.clock.Own(time.Now()).UnixMilli()
	return nil
}

// Silent tells for how long those named have been silent, in milliseconds, by way of the leader.
func (s *service) Silent(q *Silence, ages *[]int64) error {
	here, leads, leader := s.view.silentFor(q.Names, time.Now())
	if leads {
		*ages = here
		return nil
	}
	if q.Forwarded || leader == "" {
		return errNoLeader
	}
	ctx, done := context.WithTimeout(context.Background(), askLeaderWithin)
	defer done()
	got, err := peerrpc.CallWatched[Silence, []int64](ctx, s.peers.At(leader), "ConfigStore.Silent", &Silence{q.Names, true}, 0)
	*ages = got
	return err
}

// Status tells where this machine stands.
func (s *service) Status(_ *bool, out *Status) error {
	*out = s.view.Status(time.Now())
	return nil
}
