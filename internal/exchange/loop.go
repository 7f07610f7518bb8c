package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/balance"
)

// Sender carries out attempts. Send returns at once; the attempt's End is called when it has ended.
type Sender interface{ Send(a *Attempt) }

// Teller sends messages to other routers, which may be lost. Tell returns at once.
type Teller interface {
	Tell(to int, content []byte)
}

// Decider makes the decisions; balance.Balancer is the one in service, others are baselines for rehearsals.
type Decider interface {
	Handle(now balance.Time, events []balance.Event) []balance.Action
	View(now balance.Time) []balance.View
}

// Loop owns the decisions: one goroutine takes events in batches and carries out what is decided. It never waits
// on a socket.
type Loop struct {
	Clock     Clock
	Counts    *Counters
	Log       *slog.Logger
	Pool      *Pool
	Sender    Sender
	Teller    Teller
	Subscribe func() // asks for the list's changes; may be nil
	Settings  balance.Settings
	Seed      uint64
	Decide    func(set balance.Settings, seed uint64) Decider // makes the decisions anew; nil: balance.New

	Maintenance Maintenance // the operators' word, as held at the start; the loop's from Run on

	events    chan event
	urgent    chan event                       // emptied before the others: operators wait for it, whatever the load
	tuned     atomic.Pointer[balance.Settings] // since the start, in the place of Settings; nil: none
	confirm   []func()                         // to be called at the end of the turn
	stopped   chan struct{}                    // closed when nothing is taken any more
	helpers   sync.WaitGroup                   // goroutines that the loop has started; Run waits for them
	balancer  Decider
	exchanges map[balance.RequestID]*Exchange
	addresses addresses
	entries   map[balance.ServerID]balance.Entry // as last listed: what a new balancer starts from
	version   int64
	timers    timers
	started   uint64 // exchanges, for their names
	done      []*Exchange
	viewAsked bool
	viewAt    slog.Level
	lag       lag
}

const (
	queueLength = 1024 // events that wait for the loop; more hold up those who bring them
	batchLength = 256
)

// NewLoop readies a loop; the other fields are to be set before Run.
func NewLoop() *Loop {
	return &Loop{events: make(chan event, queueLength), urgent: make(chan event), stopped: make(chan struct{}),
		Maintenance: NewMaintenance(),
		exchanges:   map[balance.RequestID]*Exchange{}, addresses: addresses{},
		entries: map[balance.ServerID]balance.Entry{}}
}

// deadline is the whole time of a class, and a second for one that the settings don't name.
func (l *Loop) deadline(class string) time.Duration {
	set := &l.Settings
	if tuned := l.tuned.Load(); tuned != nil {
		set = tuned
	}
	for _, c := range set.Classes {
		if c.Name == class && c.Deadline > 0 {
			return c.Deadline
		}
	}
	return time.Second
}

// Run decides until the context ends. When it returns nothing that it started itself is under way; attempts, which the
// Sender started, may be.
func (l *Loop) Run(ctx context.Context) {
	defer l.helpers.Wait()
	defer close(l.stopped) // first: helpers may be waiting to post
	l.balancer = l.decider()
	l.Settings.Answered = 0 // fresh decisions later on have no process before them
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for ctx.Err() == nil {
		wake.Reset(l.untilNext())
		var first event
		select {
		case first = <-l.urgent:
		case first = <-l.events:
		case <-wake.C:
		case <-ctx.Done():
			return
		}
		l.guard(func() { l.turn(first) })
	}
}

func (l *Loop) decider() Decider {
	set := l.Settings
	if tuned := l.tuned.Load(); tuned != nil {
		set = *tuned
	}
	if l.Decide != nil {
		return l.Decide(set, l.Seed)
	}
	return balance.New(set, l.Seed)
}

func (l *Loop) untilNext() time.Duration {
	if len(l.timers.all) == 0 {
		return time.Hour
	}
	return max(l.timers.all[0].at.Sub(l.Clock.Now()), 0)
}

// turn hands the decisions one batch and does what they say.
func (l *Loop) turn(first event) {
	var batch []balance.Event
	take := func(e event) {
		if e := e.take(l); e != nil {
			batch = append(batch, e)
		}
	}
	if first != nil {
		take(first)
	}
more:
	for len(batch) < batchLength {
		select {
		case e := <-l.urgent:
			take(e)
			continue
		default:
		}
		select {
		case e := <-l.events:
			take(e)
		default:
			break more
		}
	}
	defer l.letGo()
	defer l.confirmAll()
	now := l.Clock.Now()
	for len(batch) < 2*batchLength {
		t, ok := l.timers.due(now)
		if !ok {
			break
		}
		l.lag.note(now.Sub(t.at), l.Counts)
		batch = append(batch, balance.Timer{Token: t.token})
	}
	if len(batch) > 0 {
		for _, a := range l.balancer.Handle(now, batch) {
			l.do(now, a)
		}
	}
	if l.viewAsked {
		l.viewAsked = false
		l.view()
	}
}

// guard keeps a panic of the decisions from taking the router down: what is in hand is answered and a fresh
// balancer goes on from the list as last told.
func (l *Loop) guard(turn func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		l.Counts.Panics.Add(1)
		l.Log.Error("decisions panicked; starting them anew", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		l.startAnew()
	}()
	turn()
}

func (l *Loop) startAnew() {
	l.endAll()
	clear(l.exchanges) // outcomes yet to come find nothing
	l.timers = timers{}
	l.Seed++
	l.balancer = l.decider()
	defer func() {
		if p := recover(); p != nil { // then without the list: requests are refused until the next one comes
			l.Log.Error("decisions panicked over the list", "panic", fmt.Sprint(p))
			l.balancer = l.decider()
		}
	}()
	list := balance.List{Kind: balance.Persisted, Version: l.version}
	for _, e := range l.entries {
		list.Entries = append(list.Entries, e)
	}
	for _, a := range l.balancer.Handle(l.Clock.Now(), []balance.Event{l.Maintenance.overAll(list, l.entries)}) {
		l.do(l.Clock.Now(), a)
	}
}

// forget notes that an exchange may be done with. It is let go at the end of the turn only: the decisions take a batch
// whole, and may send for a request whose client's leaving stands behind it in the same batch. That attempt must find
// its exchange and have its outcome, or the decisions count it as in flight for ever.
func (l *Loop) forget(x *Exchange) { l.done = append(l.done, x) }

// confirmAll tells those who wait for the turn's end.
func (l *Loop) confirmAll() {
	for _, f := range l.confirm {
		f()
	}
	l.confirm = nil
}

// letGo lets go of the exchanges noted that are answered and have no attempt out.
func (l *Loop) letGo() {
	for i, x := range l.done {
		if x.answered && x.out == 0 {
			delete(l.exchanges, x.id)
		}
		l.done[i] = nil
	}
	l.done = l.done[:0]
}

func (l *Loop) fail(x *Exchange, timedOut bool) {
	if x.Settle(Answer{Kind: Failed, TimedOut: timedOut}) {
		l.Counts.Failed.Add(1)
	}
}

// do carries out one action. What names an exchange that has ended is passed over.
func (l *Loop) do(now balance.Time, a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		if x := l.exchanges[a.ID]; x != nil {
			l.send(x, a.Server)
		}
	case balance.Refuse:
		if x := l.exchanges[a.ID]; x != nil {
			if x.Settle(Answer{Kind: Refused, RetryAfter: a.RetryAfter}) {
				l.Counts.Refused.Add(1)
			}
			l.forget(x)
		}
	case balance.Fail:
		if x := l.exchanges[a.ID]; x != nil {
			l.fail(x, now >= l.Clock.At(x.Due))
			l.forget(x)
		}
	case balance.Cancel:
		if x := l.exchanges[a.ID]; x != nil && a.Attempt >= 0 && a.Attempt < len(x.attempts) {
			x.attempts[a.Attempt].cancel(ErrWithdrawn)
		}
	case balance.SetTimer:
		l.timers.set(now.Add(a.After), a.Token)
	case balance.Tell:
		l.Teller.Tell(a.To, a.Content)
	case balance.CloseIdle:
		l.Pool.Leave(a.Server)
	case balance.Subscribe:
		if l.Subscribe != nil {
			l.Subscribe()
		}
	}
}

// send begins an attempt. One that may not begin any more still gets its outcome, as one that never ran.
func (l *Loop) send(x *Exchange, server balance.ServerID) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stop := context.WithDeadline(ctx, x.Due)
	a := &Attempt{Exchange: x, Server: server, Address: l.addresses[server].address, Context: ctx, number: len(x.attempts),
		sent: time.Now(), loop: l}
	a.cancel = func(cause error) { cancel(cause); stop() }
	x.attempts = append(x.attempts, a)
	x.out++
	l.Counts.Attempts.Add(1)
	switch {
	case x.answered || ctx.Err() != nil:
		l.helpers.Go(func() { a.End(Reply{Result: balance.Moot}) }) // not from here: the queue may be full
	case a.Address == "":
		err := fmt.Errorf("no address of server %s", server)
		l.helpers.Go(func() { a.End(Reply{Result: balance.NoConnect, Err: err}) })
	default:
		l.Sender.Send(a)
	}
}
