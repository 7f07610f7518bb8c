// Package virtual is the rehearsal kit's second host: it plays a day in virtual time, with the decisions of each router driven
// directly and no socket between. What breaks at hundreds of routers is decided in code that needs none.
//
// Against the host on sockets it leaves out what takes processor time, descriptors and memory, bad clients, and the way of a
// request's bytes: a request reaches its node at once, and its answer takes the network's time both ways.
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

// Options are a run's.
type Options struct {
	Seed   uint64
	Decide func(set balance.Settings, seed uint64) exchange.Decider // nil: the decisions in service
	Oracle bool                                                     // the baseline that sees the true state, in place of both
}

// Figures of the host on sockets that are settings there or come of what it does.
const (
	epoch      = int64(1e15)            // of routers' clocks at the day's beginning: listed starts lie after 0
	margin     = 2 * time.Millisecond   // by which a router answers before its client's time is up
	hears      = time.Millisecond       // that discovery's word takes on the router's own machine
	comesUp    = 300 * time.Millisecond // that a router takes to start
	turnsAway  = 450 * time.Millisecond // after it was told to end, in which a router still takes requests
	endsWithin = 3400 * time.Millisecond
	watches    = 2 * time.Second // that a call for news of the list waits

	mostActions = 100_000   // of one event, and
	mostAtOnce  = 1_000_000 // events at one moment: past these the decisions go on for ever
)

// host is a day in virtual time.
type host struct {
	*model.World
	set     *scenario.Scenario
	opt     Options
	routers []*router
	rng     *rand.Rand
	mute    int // troubles that silence discovery
	marks   []ledger.Mark
	events  int
	instant int   // of them at the present moment
	fault   error // of the decisions: they go on for ever
}

// router is one router: its decisions and what it has in hand.
type router struct {
	h         *host
	k, starts int
	running   bool
	ending    bool
	decide    exchange.Decider
	index     int64
	known     bool // has been told a list
	news      bool // something is on its way to it
	exchanges map[balance.RequestID]*exch
	idle      map[*model.Node][]balance.Time // connections, by when they were used last
	open      map[*model.Node][]*attempt
	begun     uint64
	stalled   bool
	held      []func() // what came while it stood still
	calls     int      // for the list, so far
	stored    float64  // with a disk: what the caches answered when it ended
	storedAt  balance.Time
	diskFull  bool
}

// exch is a request at a router.
type exch struct {
	*model.Try
	id       balance.RequestID
	number   uint64
	due      balance.Time
	attempts []*attempt
	out      int
	answered bool
}

type attempt struct {
	x       *exch
	n       int
	node    *model.Node
	ended   bool
	connect time.Duration
}

// Run plays a day and returns its report: the same to the byte for one scenario, seed and build.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*ledger.Report, error) {
	h := &host{set: s, opt: opt, rng: model.Stream(opt.Seed, "host")}
	h.World = model.New(s, opt.Seed, h)
	for k := range h.Routers() {
		h.routers = append(h.routers, &router{h: h, k: k})
		h.routers[k].start(model.Finds{})
		h.RouterReady(k)
	}
	h.Begin()
	for !h.Over() {
		at, ok := h.Next()
		if !ok {
			if h.Now() >= s.Length.D() {
				return nil, errors.New("the day has stopped with requests in hand")
			}
			at = s.Length.D()
		}
		if at > h.Now() {
			h.instant = 0
		}
		h.World.Run(at)
		if err := cmp.Or(h.fault, ctx.Err()); err != nil {
			return nil, err
		}
	}
	l := h.Ledger()
	r := l.Report()
	r.Seed, r.DatabasePeak, r.Fetches, r.Marks, r.Nodes = opt.Seed, h.DatabasePeak(), h.DatabaseAsks(), h.marks, h.Samples()
	r.Beliefs = map[string]map[string]string{}
	r.Events = h.events
	r.Expected(l)
	return r, nil
}

func (h *host) at() balance.Time { return balance.Time(epoch + int64(h.Now())) }

// awake has the router do something: at once, or when it stands still no longer.
func (r *router) awake(f func()) {
	if !r.stalled {
		f()
		return
	}
	life := r.starts
	r.held = append(r.held, func() {
		if r.running && r.starts == life {
			f()
		}
	})
}

// start starts a router. Its first call for the list brings all of it, unless discovery is silent: then it goes on from the list in
// its configuration, which may be the one of the day's beginning.
func (r *router) start(f model.Finds) {
	set := r.h.Profile(r.k).Settings()
	r.h.Operator().Apply(&set)
	if (f.State == "kept" || f.State == "torn") && r.h.at().Sub(r.storedAt) <= set.Ramp {
		set.Answered = r.stored // a torn file leaves the one before, a save older
	}
	decide := r.h.opt.Decide
	if decide == nil {
		decide = func(set balance.Settings, seed uint64) exchange.Decider { return balance.New(set, seed) }
	}
	if r.decide = decide(set, r.h.opt.Seed*1000003+uint64(r.k)*101+uint64(r.starts)); r.h.opt.Oracle {
		r.decide = baseline.Oracle(r.h.World, r.k, set)
	}
	r.starts++
	r.running, r.ending, r.known = true, false, false
	r.exchanges, r.idle, r.open = map[balance.RequestID]*exch{}, map[*model.Node][]balance.Time{}, map[*model.Node][]*attempt{}
	r.stalled, r.held = false, nil
	h := r.h
	switch {
	case f.OldList:
		r.give(r.list(balance.Persisted, 0, h.Beginning()))
	case h.mute > 0:
		_, _, entries := h.List(r.k, 0, false)
		r.give(r.list(balance.Persisted, 0, entries))
	}
	if h.mute == 0 {
		r.hear()
	}
	r.call()
}

// call books a call for the list and the one that follows when nothing came of it.
func (r *router) call() {
	r.calls++
	call, life := r.calls, r.starts
	r.h.Ledger().ListCalled(r.h.Now())
	r.h.After(watches, func() {
		if r.running && r.starts == life && r.calls == call {
			r.call()
		}
	})
}

// hear takes what discovery has to tell.
func (r *router) hear() {
	h := r.h
	index, whole, entries := h.List(r.k, r.index, r.known)
	kind := balance.Partial
	if whole {
		kind = balance.Complete
	}
	l := r.list(kind, index, entries)
	r.index, r.known = index, true
	h.Told(r.k, whole, entries)
	r.give(l)
}

// list is what a router is told as its decisions take it.
func (r *router) list(kind balance.ListKind, index int64, entries []model.Entry) balance.List {
	h := r.h
	l := balance.List{Kind: kind, Version: index}
	for _, e := range entries {
		entry := balance.Entry{Server: balance.ServerID(e.Node.Name), Kind: e.Node.Kind.Name, Zone: h.SiteName(e.Node), Weight: 1,
			State: map[string]balance.State{"SERVING": balance.Up, "DRAINING": balance.Draining, "DELETED": balance.Gone}[e.Status]}
		if e.Since > -h.set.WarmUp.D() && h.set.Discovery.Starts {
			entry.Started = balance.Time(epoch + int64(e.Since))
		}
		if entry.Started != 0 || entry.State != balance.Up {
			delete(r.idle, e.Node)
		}
		l.Entries = append(l.Entries, entry)
	}
	return l
}

// give hands the decisions one event and does what they say.
func (r *router) give(e balance.Event) {
	h := r.h
	if h.fault != nil {
		return
	}
	h.events++
	acts := r.decide.Handle(h.at(), []balance.Event{e})
	if h.instant++; h.instant > mostAtOnce || len(acts) > mostActions {
		h.fault = fmt.Errorf("the decisions of %s go on for ever: %d events at %v, the last one %T with %d actions",
			h.set.RouterNames()[r.k], h.instant, h.Now(), e, len(acts))
		return
	}
	for _, a := range acts {
		switch a := a.(type) {
		case balance.Send:
			if x := r.exchanges[a.ID]; x != nil {
				r.send(x, r.h.Node(string(a.Server)))
			}
		case balance.Refuse:
			r.answer(r.exchanges[a.ID], model.Answer{Outcome: ledger.Refused, RetryAfter: a.RetryAfter})
		case balance.Fail:
			r.answer(r.exchanges[a.ID], model.Answer{Outcome: ledger.Failed})
		case balance.Cancel:
			if x := r.exchanges[a.ID]; x != nil && a.Attempt < len(x.attempts) {
				at := x.attempts[a.Attempt]
				r.h.After(0, func() { r.end(at, balance.Cancelled, "") })
			}
		case balance.SetTimer:
			life := r.starts
			r.h.After(a.After, func() {
				if r.running && r.starts == life {
					r.awake(func() { r.give(balance.Timer{Token: a.Token}) })
				}
			})
		case balance.Tell:
			r.h.tell(r.k, a)
		case balance.CloseIdle:
			delete(r.idle, r.h.Node(string(a.Server)))
		}
	}
}

func (h *host) tell(from int, a balance.Tell) {
	if a.To < 0 || a.To >= len(h.routers) {
		return
	}
	to := h.routers[a.To]
	for _, after := range h.Carry(h.rng, from, a.To) {
		h.After(after, func() {
			if to.running {
				to.awake(func() { to.give(balance.Heard{Content: a.Content}) })
			}
		})
	}
}

// Send brings a client's try to its router.
func (h *host) Send(t *model.Try) {
	r := h.routers[t.Router]
	if !r.running || r.ending { // nobody listens there any more
		h.After(0, func() { h.Answered(t, model.Answer{Outcome: ledger.Unheard}, h.Now()) })
		return
	}
	r.awake(func() { r.take(t) })
}

// take reads a request, whose time counts from then.
func (r *router) take(t *model.Try) {
	h := r.h
	r.begun++
	x := &exch{Try: t, number: r.begun, id: balance.RequestID(strconv.FormatUint(r.begun, 36)), due: h.at().Add(t.Patience - margin)}
	r.exchanges[x.id] = x
	c := &h.set.Classes[t.Class]
	r.give(balance.Request{ID: x.id, Class: c.Name, Tenant: h.set.Tenants[t.Tenant].Name, Key: t.Key, HasKey: true, Write: c.Write, Due: x.due})
}

// send begins an attempt: on an idle connection, or on a new one, which a silent node lets wait and a dead one refuses.
func (r *router) send(x *exch, n *model.Node) {
	h := r.h
	a := &attempt{x: x, n: len(x.attempts), node: n}
	x.attempts = append(x.attempts, a)
	r.open[n] = append(r.open[n], a)
	x.out++
	if x.answered {
		h.After(0, func() { r.end(a, balance.Moot, "") })
		return
	}
	h.After(x.due.Sub(h.at()), func() { r.end(a, balance.TimedOut, "") })
	fresh := !r.takeIdle(n)
	trip := h.Trip(r.k, n)
	switch {
	case fresh && n.Up() && n.Silent(r.k):
		h.After(h.set.Rules.ConnectWithin.D(), func() { r.end(a, balance.NoConnect, "") })
		return
	case !n.Up():
		how := balance.NoConnect
		if !fresh {
			how = balance.Reset
		}
		h.After(trip, func() { r.end(a, how, "") })
		return
	}
	if fresh {
		a.connect = max(trip, time.Nanosecond)
		h.Ledger().Connected(h.Now())
	}
	n.Arrive(&model.Job{ID: x.ID, Router: r.k, Fresh: fresh, Reply: func(reply *model.Reply) {
		h.After(reply.Delay, func() {
			result := balance.Errored
			switch {
			case reply.Spoilt:
				result = balance.Spoilt
			case reply.Status == model.Good:
				result = balance.OK
			case reply.Status == model.TurnedAw:
				result = balance.Full
			}
			if !a.ended && result != balance.Spoilt && r.running {
				r.idle[n] = append(r.idle[n], h.at())
			}
			r.end(a, result, reply.Body)
		})
	}})
}

// takeIdle takes the newest idle connection to a node, if one is young enough.
func (r *router) takeIdle(n *model.Node) bool {
	all := r.idle[n]
	if len(all) == 0 {
		return false
	}
	newest := all[len(all)-1]
	r.idle[n] = all[:len(all)-1]
	return r.h.at().Sub(newest) < n.Kind.Idle.D()*9/10
}

// end ends an attempt, once.
func (r *router) end(a *attempt, result balance.Result, body string) {
	if r.stalled {
		r.awake(func() { r.end(a, result, body) })
		return
	}
	if a.ended {
		return
	}
	a.ended = true
	r.open[a.node] = slices.DeleteFunc(r.open[a.node], func(o *attempt) bool { return o == a })
	x := a.x
	x.out--
	if r.exchanges[x.id] != x {
		return // of before a restart
	}
	if result == balance.TimedOut || result == balance.Cancelled || result == balance.Reset || result == balance.NoConnect {
		delete(r.idle, a.node)
	}
	if result == balance.OK && !x.answered {
		r.answer(x, model.Answer{Outcome: ledger.Served, Body: body})
	}
	done := x.answered
	r.give(balance.Outcome{ID: x.id, Attempt: a.n, Server: balance.ServerID(a.node.Name), Result: result, Done: done, Connect: a.connect})
	r.letGo(x)
}

// answer gives a request's final answer, once.
func (r *router) answer(x *exch, a model.Answer) {
	if x == nil || x.answered {
		return
	}
	x.answered = true
	h := r.h
	h.After(0, func() {
		if !x.Left {
			h.Answered(x.Try, a, h.Now())
		}
		r.letGo(x)
	})
}

func (r *router) letGo(x *exch) {
	if x.answered && x.out == 0 && r.exchanges[x.id] == x {
		delete(r.exchanges, x.id)
		if r.ending && len(r.exchanges) == 0 {
			r.halt(false)
		}
	}
}

// Leave tells a router that a client has gone.
func (h *host) Leave(t *model.Try) (sent bool) {
	r := h.routers[t.Router]
	r.awake(func() { r.leave(t) })
	return true
}

func (r *router) leave(t *model.Try) {
	for _, x := range r.exchanges { // rare: an answer that never came
		if x.Try == t && !x.answered {
			x.answered = true
			r.give(balance.ClientGone{ID: x.id})
			for _, a := range x.attempts {
				r.end(a, balance.Cancelled, "")
			}
			r.letGo(x)
			return
		}
	}
}

// Down resets what is open at a node.
func (h *host) Down(n *model.Node) {
	for _, r := range h.routers {
		delete(r.idle, n)
		for _, a := range slices.Clone(r.open[n]) {
			h.After(0, func() { r.end(a, balance.Reset, "") })
		}
	}
}

// Silence: a machine that speaks again knows nothing of what was open.
func (h *host) Silence(n *model.Node, k int, on bool) {
	if !on {
		delete(h.routers[k].idle, n)
	}
}

// News tells a router that its discovery has something new.
func (h *host) News(k int) {
	if h.routers[k].news {
		return // it hears of that together with what is on its way
	}
	h.routers[k].news = true
	h.After(hears, func() {
		h.routers[k].news = false
		if r := h.routers[k]; h.mute == 0 && r.running {
			r.awake(func() {
				r.hear()
				r.call()
			})
		}
	})
}

func (h *host) SilenceDiscovery(on bool) {
	if on {
		h.mute++
		return
	}
	if h.mute--; h.mute == 0 {
		for k := range h.routers {
			h.News(k)
		}
	}
}

func (h *host) StartRouter(k int, f model.Finds) {
	h.After(comesUp, func() {
		if !h.routers[k].running {
			h.routers[k].start(f)
			h.RouterReady(k)
		}
	})
}

func (h *host) KillRouter(k int) {
	if h.routers[k].running {
		h.routers[k].halt(true)
	}
}

// StallRouter has a router's process stand still, or go on with all that has come meanwhile.
func (h *host) StallRouter(k int, on bool) {
	r := h.routers[k]
	if on {
		r.stalled = r.running
		return
	}
	held := r.held
	r.stalled, r.held = false, nil
	for _, f := range held {
		f()
	}
}

// FillDisk: nothing new is stored.
func (h *host) FillDisk(k int, full bool) { h.routers[k].diskFull = full }

// halt ends a router; clients of what it had in hand hear nothing more.
func (r *router) halt(killed bool) {
	h := r.h
	r.running, r.ending = false, false
	if d, ok := r.decide.(interface {
		Overall(balance.Time) balance.Overall
	}); ok && h.set.Stored.On && !r.diskFull {
		r.stored, r.storedAt = d.Overall(h.at()).Answered, h.at()
	}
	all := slices.SortedFunc(maps.Values(r.exchanges), func(a, b *exch) int { return cmp.Compare(a.number, b.number) })
	clear(r.exchanges)
	for _, x := range all {
		if !x.answered {
			x.answered = true
			h.After(0, func() { h.Answered(x.Try, model.Answer{Outcome: ledger.Broken}, h.Now()) })
		}
	}
	h.RouterEnded(r.k, killed)
}

func (h *host) StopRouter(k int) {
	r := h.routers[k]
	if !r.running {
		return
	}
	h.RouterLeaving(k)
	life := r.starts
	h.After(turnsAway, func() {
		if r.running && r.starts == life { // a process that stands still ends late, which no scenario plays
			if r.ending = true; len(r.exchanges) == 0 {
				r.halt(false)
			}
		}
	})
	h.After(endsWithin, func() {
		if r.running && r.starts == life {
			r.halt(false)
		}
	})
}

// ReloadRouter: discovery at a new address tells its whole list.
func (h *host) ReloadRouter(k int) {
	h.routers[k].known = false
	h.News(k)
}

func (h *host) Up(*model.Node)                { /* nothing was open, and dials see it */ }
func (h *host) BadClients(int, time.Duration) { /* decisions never hear of them */ }

func (h *host) Note(at model.Time, what string) {
	h.marks = append(h.marks, ledger.Mark{AtS: at.Seconds(), What: what})
}
