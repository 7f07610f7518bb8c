package configstore

import (
	"context"
	"errors"
	"time"

	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/usage"
)

// errNoLeader is returned if no leader with a majority could be reached.
var errNoLeader = errors.New("no leader with a majority")

// errUsageIncomplete is returned while the proxies have not had enough time to report their counts to this process.
var errUsageIncomplete = errors.New("proxies have not reported their usage yet")

// service is the RPC service "ConfigStore" of one connection. Its exported methods have the signature that net/rpc requires.
type service struct {
	*Store
	session *peerrpc.Session // nil for calls from within the process
}

// Proposal is a request to append a command to the log.
type Proposal struct {
	Data      []byte
	Kind      string // clusterstate.Command.Kind of the command, for metrics
	WaitMS    int64  // how long the caller waits for the outcome, in milliseconds
	Forwarded bool   // set by a config store that forwards the request; it is not forwarded again
	Ticket    peerrpc.CallID
}

// Asked is a request for a linearizable read.
type Asked struct {
	WaitMS    int64 // how long the caller waits, in milliseconds
	Forwarded bool  // set by a config store that forwards the request; it is not forwarded again
	Ticket    peerrpc.CallID
}

// Silence is a request for the time since servers (named by ServerKey) and cache routers were last heard from by any core
// machine.
type Silence struct {
	Names     []string
	Forwarded bool
}

// beginCall returns the context of a call, which ends after timeoutMS or when the caller cancels the call. Calls that can
// be cancelled, i.e. those with a call ID, are tracked under their name.
func (s *service) beginCall(callID peerrpc.CallID, name string, timeoutMS int64) (context.Context, func()) {
	ctx, done := s.session.Begin(callID, time.Duration(timeoutMS)*time.Millisecond)
	if callID == 0 {
		return ctx, done
	}
	caller := s.callers.Open(ctx, cancellation.Peer, name)
	return ctx, func() { caller.Close(); done() }
}

// Deliver passes consensus messages to the loop. It reports false if the loop is too busy to accept them.
func (s *service) Deliver(messages *[]consensus.Message, ok *bool) error {
	// A join may be relayed, so its Addr need not be the sender's.
	if len(*messages) > 0 && (*messages)[0].Addr != "" && (*messages)[0].Join == nil {
		s.peers.At((*messages)[0].Addr).RestartDial()
	}
	d := delivery{messages: *messages, reservation: s.memory.Messages.Reserve()}
	if err := d.reservation.Grow(consensus.DataBytes(*messages)); err != nil {
		return err
	}
	select {
	case s.inbox <- d:
		*ok = true
	default: // the loop is busy; the sender retries
		d.reservation.Release()
	}
	return nil
}

// Propose appends a command to the log through the leader and returns its outcome. An attempt with an unknown outcome is
// retried until the deadline: commands are idempotent, the state applies the same one once.
func (s *service) Propose(p *Proposal, r *Reply) error {
	ctx, cancel := s.beginCall(p.Ticket, "propose", p.WaitMS)
	defer cancel()
	if !p.Forwarded { // measured once, by the config store that received it first
		received, leaderStable := time.Now(), s.view.leaderStableFor(time.Now(), s.settings.Limits.Contact)
		defer func() {
			s.acknowledgements.observe(clusterstate.KnownKind(p.Kind), *r, leaderStable, time.Since(received))
		}()
	}
	_, err := s.callLeader(ctx, p.Forwarded, func() bool {
		reply, err := callLoop(ctx, s.Store, s.proposals, p.Data)
		*r = reply
		return err == nil && reply.Known
	}, func(leader *peerrpc.Peer) bool {
		request := Proposal{Data: p.Data, WaitMS: remainingMS(ctx), Forwarded: true, Ticket: peerrpc.NewCallID()}
		reply, err := peerrpc.CallWatched[Proposal, Reply](ctx, leader, "ConfigStore.Propose", &request, request.Ticket)
		*r = reply
		return err == nil && reply.Known
	})
	return err
}

// Barrier returns a log index: a state that has applied it contains everything acknowledged before the call.
func (s *service) Barrier(a *Asked, index *uint64) (err error) {
	ctx, cancel := s.beginCall(a.Ticket, "barrier", a.WaitMS)
	defer cancel()
	*index, err = s.sharedBarrier(ctx, a)
	return err
}

// sharedBarrier waits for a barrier that is shared between concurrent callers. If the context ends, only this caller stops
// waiting.
func (s *service) sharedBarrier(ctx context.Context, ask *Asked) (uint64, error) {
	shared := Asked{WaitMS: ask.WaitMS, Forwarded: ask.Forwarded}
	return s.barrierBatcher.wait(ctx, func() (uint64, error) { return s.runBarrier(shared) })
}

// runBarrier runs one read barrier on the leader, here or on another machine.
func (s *service) runBarrier(ask Asked) (index uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(ask.WaitMS)*time.Millisecond)
	defer cancel()
	done, err := s.callLeader(ctx, ask.Forwarded, func() bool {
		result, err := callLoop(ctx, s.Store, s.barriers, nil)
		index = result.Index
		return err == nil && result.OK
	}, func(leader *peerrpc.Peer) bool {
		request := Asked{WaitMS: remainingMS(ctx), Forwarded: true}
		var err error
		index, err = peerrpc.CallWatched[Asked, uint64](ctx, leader, "ConfigStore.Barrier", &request, 0)
		return err == nil
	})
	if err == nil && !done {
		err = errNoLeader
	}
	return index, err
}

// Manifest returns the newest configuration in the form in which it was submitted.
func (s *service) Manifest(a *Asked, body *[]byte) error {
	ctx, cancel := s.beginCall(a.Ticket, "manifest", a.WaitMS)
	defer cancel()
	index, err := s.sharedBarrier(ctx, a)
	if err != nil {
		return err
	}
	if !s.waitApplied(ctx, index) {
		return errNoLeader
	}
	s.view.Read(func(state *clusterstate.State) { *body = state.Body })
	return nil
}

// waitApplied waits until the entry at index is applied here; it returns false if the context ends first.
func (s *service) waitApplied(ctx context.Context, index uint64) bool {
	return s.view.waitUntil(ctx, func() bool { return s.view.applied >= index })
}

// News returns the changes since the state that the caller has. It answers immediately if there are any or if this machine
// is not current; otherwise it holds the call until there are changes or the hold time is over.
func (s *service) News(a *clusterstate.Ask, n *clusterstate.News) error {
	received := time.Now()
	ctx, cancel := s.beginCall(0, "news", a.HoldMS)
	defer cancel()
	s.view.NoteStateOf(a.Have)
	if s.view.noteRouter(a.Router) {
		time.AfterFunc(enrolBatchDelay, s.proposeNewRouters)
	}
	if a.Barrier {
		index, err := s.sharedBarrier(ctx, &Asked{WaitMS: a.HoldMS})
		if err != nil {
			return err
		}
		if !s.waitApplied(ctx, index) {
			return errNoLeader
		}
		if s.view.noteRouterAgain(a.Router) { // there is a leader now
			time.AfterFunc(enrolBatchDelay, s.proposeNewRouters)
		}
	} else {
		s.view.waitUntil(ctx, func() bool {
			return s.view.history.State.Index > a.Have || !s.view.isCurrent(time.Now())
		})
	}
	if err := s.session.ReserveReply(n, s.view.transferBytes(a.Have)); err != nil { // of many at once some ask again, or another machine
		return err
	}
	*n = s.view.ChangesSince(a.Have, received, time.Now())
	if a.Barrier { // the barrier heard from a majority after the request arrived
		n.Fresh = true
		n.SetProof(received, received)
	}
	n.WallMS = s.clock.Now(time.Now()).UnixMilli()
	return nil
}

// proposeNewRouters proposes to add the new cache routers to the roster, in one command.
func (s *service) proposeNewRouters() {
	command := clusterstate.Command{Enrol: s.view.takeNewRouters()}
	s.Propose(&Proposal{Data: command.Encode(), Kind: command.Kind(), WaitMS: time.Second.Milliseconds()}, &Reply{})
}

// Heard records servers whose heartbeats the registry on this machine has acknowledged.
func (s *service) Heard(ids *[]string, ok *bool) error {
	s.view.noteServers(*ids, time.Now())
	*ok = true
	return nil
}

// Need records the demand of a cache router, in requests per second by service, for the duty holder.
func (s *service) Need(n *clusterstate.Needs, ok *bool) error {
	*ok = s.view.noteDemand(n, time.Now())
	return nil
}

// Needs returns the recently recorded demand in requests per second, by service and cache router.
func (s *service) Needs(_ *bool, demand *map[string]map[string]float64) error {
	*demand = s.view.currentDemand(time.Now())
	return nil
}

// Usage records the request counts that a proxy reports, for the duty holder.
func (s *service) Usage(r *usage.Report, ok *bool) error {
	*ok = s.view.noteUsage(r, time.Now())
	return nil
}

// UsageSums returns the summed counts of the proxies in report windows that are not fixed yet.
func (s *service) UsageSums(_ *bool, sums *[]usage.Sum) (err error) {
	*sums, err = s.view.usageSums(time.Now())
	return err
}

// Clock returns the time of this process's own clock in milliseconds since the start of 1970, not corrected by the clocks
// of other machines.
func (s *service) Clock(_ *bool, wallMS *int64) error {
	*wallMS = s.clock.Uncorrected(time.Now()).UnixMilli()
	return nil
}

// Silent returns the time since each of the named servers and cache routers was last heard from, in milliseconds. Other
// machines forward the request to the leader, which has the reports of all core machines.
func (s *service) Silent(q *Silence, ages *[]int64) error {
	localAges, isLeader, leader := s.view.timeSinceSeen(q.Names, time.Now())
	if isLeader {
		*ages = localAges
		return nil
	}
	if q.Forwarded || leader == "" {
		return errNoLeader
	}
	ctx, done := context.WithTimeout(context.Background(), defaultLeaderTimeout)
	defer done()
	leaderAges, err := peerrpc.CallWatched[Silence, []int64](ctx, s.peers.At(leader), "ConfigStore.Silent", &Silence{q.Names, true}, 0)
	*ages = leaderAges
	return err
}

// Status returns the status of this machine.
func (s *service) Status(_ *bool, out *Status) error {
	*out = s.view.Status(time.Now())
	return nil
}
