// Package virtual is the rehearsal kit's second host: it runs a scenario in virtual time and calls the decision code of each
// router directly, without sockets. Faults that appear only with hundreds of routers lie in the decision code, which needs no
// sockets.
//
// Unlike the host on sockets, it doesn't model CPU time, file descriptors, memory, bad clients or the transfer of a
// request's bytes: a request reaches its node at once, and its answer takes the network's round-trip time.
package virtual

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/kit/baseline"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
)

// Options are the options of a run.
type Options struct {
	Seed       uint64
	NewDecider func(set balance.Settings, seed uint64) exchange.Balancer // nil: the production decisions
	Oracle     bool                                                      // use the baseline that sees the true state, in place of both
}

// Timing that on sockets comes from router settings or from the host's behaviour, and limits that detect an endless loop.
const (
	clockEpoch       = int64(1e15)             // router clock at the beginning of the run, so that listed start times are over 0
	answerMargin     = 2 * time.Millisecond    // how long before the client's timeout a router answers
	discoveryLatency = time.Millisecond        // delay of an update from the discovery agent on the router's own machine
	routerStartTime  = 300 * time.Millisecond  // time that a router takes to start
	acceptAfterStop  = 450 * time.Millisecond  // how long a router still accepts requests after the shutdown signal
	shutdownTimeout  = 3400 * time.Millisecond // how long after the shutdown signal the process ends at the latest
	listPollTimeout  = 2 * time.Second         // timeout of a long poll for list updates

	maxActionsPerEvent  = 100_000   // decisions with more actions for one event are stopped as endless
	maxEventsPerInstant = 1_000_000 // the same for more events at one moment
)

// host runs one scenario in virtual time.
type host struct {
	*model.World
	scenario          *scenario.Scenario
	options           Options
	routers           []*router
	rng               *rand.Rand
	discoverySilences int // number of troubles that silence discovery now
	marks             []ledger.Mark
	events            int
	instantEvents     int   // events at the current moment
	fault             error // set when the decisions loop endlessly; ends the run
}

// router is one router: its decisions and its open requests.
type router struct {
	host                *host
	number, incarnation int
	running             bool
	stopping            bool
	decider             exchange.Balancer
	listVersion         int64
	hasList             bool // has received a list in this incarnation
	updatePending       bool // a discovery update is on its way
	requests            map[balance.RequestID]*pendingRequest
	idle                map[*model.Node][]balance.Time // idle connections, by time of last use
	inFlight            map[*model.Node][]*attempt
	requestsStarted     uint64
	stalled             bool
	heldCalls           []func() // events that arrived while the router was stalled
	listCalls           int      // polls for the list so far
	storedAnswered      float64  // with a disk: the caches' answer rate, saved when the process last ended
	storedAt            balance.Time
	diskFull            bool
}

// pendingRequest is a request at a router, until it is answered and all attempts have ended.
type pendingRequest struct {
	*model.Try
	id       balance.RequestID
	seq      uint64
	deadline balance.Time
	attempts []*attempt
	inFlight int
	answered bool
}

// attempt is one send of a request to a node.
type attempt struct {
	request     *pendingRequest
	index       int
	node        *model.Node
	ended       bool
	connectTime time.Duration
}

// Run runs a scenario and returns its report, which is byte for byte the same for the same scenario, seed and build.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*ledger.Report, error) {
	h := &host{scenario: s, options: opt, rng: model.Stream(opt.Seed, "host")}
	h.World = model.New(s, opt.Seed, h)
	for k := range h.Routers() {
		h.routers = append(h.routers, &router{host: h, number: k})
		h.routers[k].start(model.StoredState{})
		h.RouterReady(k)
	}
	h.Start()
	for !h.Done() {
		at, ok := h.Next()
		if !ok {
			if h.Now() >= s.Length.D() {
				return nil, errors.New("no events are left but requests are still open")
			}
			at = s.Length.D()
		}
		if at > h.Now() {
			h.instantEvents = 0
		}
		h.World.Run(at)
		if err := cmp.Or(h.fault, ctx.Err()); err != nil {
			return nil, err
		}
	}
	l := h.Ledger()
	r := l.Report()
	r.Seed, r.DatabasePeak, r.Fetches, r.Marks, r.Nodes = opt.Seed, h.DatabasePeak(), h.DatabaseRequests(), h.marks, h.Samples()
	r.Beliefs = map[string]map[string]string{}
	r.Events = h.events
	r.CheckExpectations(l)
	return r, nil
}

// clock returns the current time on the routers' clocks.
func (h *host) clock() balance.Time { return balance.Time(clockEpoch + int64(h.Now())) }

// whenRunning calls f now, or when the router's stall ends if its process still runs then.
func (r *router) whenRunning(f func()) {
	if !r.stalled {
		f()
		return
	}
	incarnation := r.incarnation
	r.heldCalls = append(r.heldCalls, func() {
		if r.running && r.incarnation == incarnation {
			f()
		}
	})
}

// start starts a router. Its first poll brings the whole list. If discovery is silent, the router uses the list in its
// configuration instead, which may be the one of the beginning of the run.
func (r *router) start(found model.StoredState) {
	set := r.host.Profile(r.number).Settings()
	r.host.Operator().Apply(&set)
	if (found.State == "kept" || found.State == "torn") && r.host.clock().Sub(r.storedAt) <= set.RampTime {
		set.PriorAnswerRate = r.storedAnswered // after a torn write the previous file is used, which is one save older
	}
	newDecider := r.host.options.NewDecider
	if newDecider == nil {
		newDecider = func(set balance.Settings, seed uint64) exchange.Balancer { return balance.New(set, seed) }
	}
	if r.decider = newDecider(set, r.host.options.Seed*1000003+uint64(r.number)*101+uint64(r.incarnation)); r.host.options.Oracle {
		r.decider = baseline.Oracle(r.host.World, r.number, set)
	}
	r.incarnation++
	r.running, r.stopping, r.hasList = true, false, false
	r.requests, r.idle, r.inFlight = map[balance.RequestID]*pendingRequest{}, map[*model.Node][]balance.Time{}, map[*model.Node][]*attempt{}
	r.stalled, r.heldCalls = false, nil
	h := r.host
	switch {
	case found.InitialList:
		r.deliver(r.balanceList(balance.Persisted, 0, h.InitialEntries()))
	case h.discoverySilences > 0:
		_, _, entries := h.List(r.number, 0, false)
		r.deliver(r.balanceList(balance.Persisted, 0, entries))
	}
	if h.discoverySilences == 0 {
		r.applyList()
	}
	r.pollList()
}

// pollList records a poll for list updates and schedules the next one for when it times out.
func (r *router) pollList() {
	r.listCalls++
	poll, incarnation := r.listCalls, r.incarnation
	r.host.Ledger().ListPolled(r.host.Now())
	r.host.After(listPollTimeout, func() {
		if r.running && r.incarnation == incarnation && r.listCalls == poll {
			r.pollList()
		}
	})
}

// applyList passes the list, or its changes since the last one, to the decisions.
func (r *router) applyList() {
	h := r.host
	index, whole, entries := h.List(r.number, r.listVersion, r.hasList)
	kind := balance.Partial
	if whole {
		kind = balance.Complete
	}
	l := r.balanceList(kind, index, entries)
	r.listVersion, r.hasList = index, true
	h.ListSent(r.number, whole, entries)
	r.deliver(l)
}

// balanceList converts discovery entries to the list event of the decisions. It drops the idle connections of restarted nodes.
func (r *router) balanceList(kind balance.ListKind, index int64, entries []model.Entry) balance.List {
	h := r.host
	l := balance.List{Kind: kind, Version: index}
	for _, e := range entries {
		entry := balance.Entry{Server: balance.ServerID(e.Node.Name), Kind: e.Node.Model.Name, Zone: h.SiteName(e.Node), Weight: 1,
			State: map[string]balance.State{"SERVING": balance.Up, "DRAINING": balance.Draining, "DELETED": balance.Gone}[e.Status]}
		if e.Since > -h.scenario.WarmUp.D() && h.scenario.Discovery.Starts {
			entry.Started = balance.Time(clockEpoch + int64(e.Since))
		}
		if entry.Started != 0 || entry.State != balance.Up {
			delete(r.idle, e.Node)
		}
		l.Entries = append(l.Entries, entry)
	}
	return l
}

// deliver passes one event to the decisions and carries out the actions that they return.
func (r *router) deliver(e balance.Event) {
	h := r.host
	if h.fault != nil {
		return
	}
	h.events++
	actions := r.decider.Handle(h.clock(), []balance.Event{e})
	if h.instantEvents++; h.instantEvents > maxEventsPerInstant || len(actions) > maxActionsPerEvent {
		h.fault = fmt.Errorf("the decisions of %s do not terminate: %d events at %v, the last one %T with %d actions",
			h.scenario.RouterNames()[r.number], h.instantEvents, h.Now(), e, len(actions))
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case balance.Send:
			if x := r.requests[a.ID]; x != nil {
				r.send(x, r.host.Node(string(a.Server)))
			}
		case balance.Refuse:
			r.answer(r.requests[a.ID], model.Answer{Outcome: ledger.Refused, RetryAfter: a.RetryAfter})
		case balance.Fail:
			r.answer(r.requests[a.ID], model.Answer{Outcome: ledger.Failed})
		case balance.Cancel:
			if x := r.requests[a.ID]; x != nil && a.Attempt < len(x.attempts) {
				at := x.attempts[a.Attempt]
				r.host.After(0, func() { r.endAttempt(at, balance.Cancelled, "") })
			}
		case balance.SetTimer:
			incarnation := r.incarnation
			r.host.After(a.After, func() {
				if r.running && r.incarnation == incarnation {
					r.whenRunning(func() { r.deliver(balance.Timer{Token: a.Token}) })
				}
			})
		case balance.SendPeerMessage:
			r.host.sendMessage(r.number, a)
		case balance.CloseIdle:
			delete(r.idle, r.host.Node(string(a.Server)))
		}
	}
}

// sendMessage delivers a message to another router as the network model decides.
func (h *host) sendMessage(from int, a balance.SendPeerMessage) {
	if a.To < 0 || a.To >= len(h.routers) {
		return
	}
	to := h.routers[a.To]
	for _, after := range h.MessageDelays(h.rng, from, a.To) {
		h.After(after, func() {
			if to.running {
				to.whenRunning(func() { to.deliver(balance.PeerMessage{Content: a.Content}) })
			}
		})
	}
}

// Send passes a client's try to its router.
func (h *host) Send(t *model.Try) {
	r := h.routers[t.Router]
	if !r.running || r.stopping { // the router no longer listens
		h.After(0, func() { h.Answered(t, model.Answer{Outcome: ledger.NotConnected}, h.Now()) })
		return
	}
	r.whenRunning(func() { r.accept(t) })
}

// accept takes over a request from a client; its deadline counts from this moment.
func (r *router) accept(t *model.Try) {
	h := r.host
	r.requestsStarted++
	x := &pendingRequest{Try: t, seq: r.requestsStarted, id: balance.RequestID(strconv.FormatUint(r.requestsStarted, 36)),
		deadline: h.clock().Add(t.Timeout - answerMargin)}
	r.requests[x.id] = x
	c := &h.scenario.Classes[t.Class]
	r.deliver(balance.Request{ID: x.id, Class: c.Name, Tenant: h.scenario.Tenants[t.Tenant].Name, Key: t.Key, HasKey: true, Write: c.Write, Due: x.deadline})
}

// send starts an attempt on an idle connection or on a new one. Connecting to a silent node times out, to a dead one fails.
func (r *router) send(x *pendingRequest, n *model.Node) {
	h := r.host
	a := &attempt{request: x, index: len(x.attempts), node: n}
	x.attempts = append(x.attempts, a)
	r.inFlight[n] = append(r.inFlight[n], a)
	x.inFlight++
	if x.answered {
		h.After(0, func() { r.endAttempt(a, balance.NeverSent, "") })
		return
	}
	h.After(x.deadline.Sub(h.clock()), func() { r.endAttempt(a, balance.TimedOut, "") })
	fresh := !r.takeIdle(n)
	trip := h.RoundTrip(r.number, n)
	switch {
	case fresh && n.Up() && n.Silent(r.number):
		h.After(h.scenario.Rules.ConnectWithin.D(), func() { r.endAttempt(a, balance.NoConnect, "") })
		return
	case !n.Up():
		how := balance.NoConnect
		if !fresh {
			how = balance.Reset
		}
		h.After(trip, func() { r.endAttempt(a, how, "") })
		return
	}
	if fresh {
		a.connectTime = max(trip, time.Nanosecond)
		h.Ledger().Connected(h.Now())
	}
	n.Arrive(&model.Job{ID: x.CorrelationID, Router: r.number, NewConnection: fresh, Reply: func(reply *model.Reply) {
		h.After(reply.Delay, func() {
			result := balance.Errored
			switch {
			case reply.Corrupt:
				result = balance.Malformed
			case reply.Status == model.StatusOK:
				result = balance.OK
			case reply.Status == model.StatusUnavailable:
				result = balance.Rejected
			}
			if !a.ended && result != balance.Malformed && r.running {
				r.idle[n] = append(r.idle[n], h.clock())
			}
			r.endAttempt(a, result, reply.Body)
		})
	}})
}

// takeIdle removes the newest idle connection to a node and reports whether it is young enough to use.
func (r *router) takeIdle(n *model.Node) bool {
	all := r.idle[n]
	if len(all) == 0 {
		return false
	}
	newest := all[len(all)-1]
	r.idle[n] = all[:len(all)-1]
	return r.host.clock().Sub(newest) < n.Model.Idle.D()*9/10
}

// endAttempt ends an attempt once and reports the outcome to the decisions.
func (r *router) endAttempt(a *attempt, result balance.Result, body string) {
	if r.stalled {
		r.whenRunning(func() { r.endAttempt(a, result, body) })
		return
	}
	if a.ended {
		return
	}
	a.ended = true
	r.inFlight[a.node] = slices.DeleteFunc(r.inFlight[a.node], func(o *attempt) bool { return o == a })
	x := a.request
	x.inFlight--
	if r.requests[x.id] != x {
		return // the request belongs to an earlier incarnation
	}
	if result == balance.TimedOut || result == balance.Cancelled || result == balance.Reset || result == balance.NoConnect {
		delete(r.idle, a.node)
	}
	if result == balance.OK && !x.answered {
		r.answer(x, model.Answer{Outcome: ledger.Served, Body: body})
	}
	done := x.answered
	r.deliver(balance.Outcome{ID: x.id, Attempt: a.index, Server: balance.ServerID(a.node.Name), Result: result, Done: done, Connect: a.connectTime})
	r.release(x)
}

// answer sends a request's final answer, once.
func (r *router) answer(x *pendingRequest, a model.Answer) {
	if x == nil || x.answered {
		return
	}
	x.answered = true
	h := r.host
	h.After(0, func() {
		if !x.ClientGone {
			h.Answered(x.Try, a, h.Now())
		}
		r.release(x)
	})
}

// release drops a request that is answered and has no attempt in flight. A stopping router ends with its last request.
func (r *router) release(x *pendingRequest) {
	if x.answered && x.inFlight == 0 && r.requests[x.id] == x {
		delete(r.requests, x.id)
		if r.stopping && len(r.requests) == 0 {
			r.stop(false)
		}
	}
}

// CloseClient tells a router that a client has closed its connection.
func (h *host) CloseClient(t *model.Try) (sent bool) {
	r := h.routers[t.Router]
	r.whenRunning(func() { r.clientGone(t) })
	return true
}

// clientGone cancels the attempts of a client's unanswered request.
func (r *router) clientGone(t *model.Try) {
	for _, x := range r.requests { // a linear search is enough, since this happens only when an answer never came
		if x.Try == t && !x.answered {
			x.answered = true
			r.deliver(balance.ClientGone{ID: x.id})
			for _, a := range x.attempts {
				r.endAttempt(a, balance.Cancelled, "")
			}
			r.release(x)
			return
		}
	}
}

// NodeDown resets all open connections to a node.
func (h *host) NodeDown(n *model.Node) {
	for _, r := range h.routers {
		delete(r.idle, n)
		for _, a := range slices.Clone(r.inFlight[n]) {
			h.After(0, func() { r.endAttempt(a, balance.Reset, "") })
		}
	}
}

// SetNodeSilence drops the idle connections when the silence ends: the node has lost its connection state.
func (h *host) SetNodeSilence(n *model.Node, k int, on bool) {
	if !on {
		delete(h.routers[k].idle, n)
	}
}

// DiscoveryUpdated schedules a list update for a router.
func (h *host) DiscoveryUpdated(k int) {
	if h.routers[k].updatePending {
		return // the pending update will include this change
	}
	h.routers[k].updatePending = true
	h.After(discoveryLatency, func() {
		h.routers[k].updatePending = false
		if r := h.routers[k]; h.discoverySilences == 0 && r.running {
			r.whenRunning(func() {
				r.applyList()
				r.pollList()
			})
		}
	})
}

// SetDiscoverySilence starts or ends a silence of discovery; at the end, each router gets the pending updates.
func (h *host) SetDiscoverySilence(on bool) {
	if on {
		h.discoverySilences++
		return
	}
	if h.discoverySilences--; h.discoverySilences == 0 {
		for k := range h.routers {
			h.DiscoveryUpdated(k)
		}
	}
}

// StartRouter starts a router's process, which is ready after routerStartTime.
func (h *host) StartRouter(k int, f model.StoredState) {
	h.After(routerStartTime, func() {
		if !h.routers[k].running {
			h.routers[k].start(f)
			h.RouterReady(k)
		}
	})
}

// KillRouter ends a router's process at once.
func (h *host) KillRouter(k int) {
	if h.routers[k].running {
		h.routers[k].stop(true)
	}
}

// SetRouterStalled suspends a router's process, or resumes it and delivers all that arrived in the meantime.
func (h *host) SetRouterStalled(k int, on bool) {
	r := h.routers[k]
	if on {
		r.stalled = r.running
		return
	}
	held := r.heldCalls
	r.stalled, r.heldCalls = false, nil
	for _, f := range held {
		f()
	}
}

// SetDiskFull makes the router's saves fail while the disk is full.
func (h *host) SetDiskFull(k int, full bool) { h.routers[k].diskFull = full }

// stop ends a router's process; its open requests get no answer.
func (r *router) stop(killed bool) {
	h := r.host
	r.running, r.stopping = false, false
	if d, ok := r.decider.(interface {
		Overall(balance.Time) balance.Overall
	}); ok && h.scenario.Stored.On && !r.diskFull {
		r.storedAnswered, r.storedAt = d.Overall(h.clock()).AnswerRate, h.clock()
	}
	all := slices.SortedFunc(maps.Values(r.requests), func(a, b *pendingRequest) int { return cmp.Compare(a.seq, b.seq) })
	clear(r.requests)
	for _, x := range all {
		if !x.answered {
			x.answered = true
			h.After(0, func() { h.Answered(x.Try, model.Answer{Outcome: ledger.Truncated}, h.Now()) })
		}
	}
	h.RouterEnded(r.number, killed)
}

// StopRouter shuts a router down gracefully: it ends when its requests are done, or at shutdownTimeout.
func (h *host) StopRouter(k int) {
	r := h.routers[k]
	if !r.running {
		return
	}
	h.RouterStopping(k)
	incarnation := r.incarnation
	h.After(acceptAfterStop, func() {
		if r.running && r.incarnation == incarnation { // the late end of a stalled process is not simulated: no scenario needs it
			if r.stopping = true; len(r.requests) == 0 {
				r.stop(false)
			}
		}
	})
	h.After(shutdownTimeout, func() {
		if r.running && r.incarnation == incarnation {
			r.stop(false)
		}
	})
}

// ReloadRouter makes discovery send the whole list again, as it does at a new address.
func (h *host) ReloadRouter(k int) {
	h.routers[k].hasList = false
	h.DiscoveryUpdated(k)
}

func (h *host) NodeUp(*model.Node)            { /* no connection is open, and new attempts check the node */ }
func (h *host) BadClients(int, time.Duration) { /* bad clients never reach the decisions */ }

// RecordEvent adds an event to the marks of the report.
func (h *host) RecordEvent(at model.Time, what string) {
	h.marks = append(h.marks, ledger.Mark{AtS: at.Seconds(), What: what})
}
