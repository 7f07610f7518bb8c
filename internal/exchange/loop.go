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

// Sender executes attempts. Send must not block; the Sender calls the attempt's Finish when the attempt has ended.
type Sender interface{ Send(a *Attempt) }

// PeerSender sends messages to other routers, without a guarantee of delivery. SendMessage must not block.
type PeerSender interface {
	SendMessage(to int, content []byte)
}

// Balancer is a load balancer: it turns events into actions. balance.Balancer is the production implementation; others are baselines
// for simulations.
type Balancer interface {
	Handle(now balance.Time, events []balance.Event) []balance.Action
	View(now balance.Time) []balance.View
}

// Loop is the event loop that owns the balancer: one goroutine takes events in batches, passes them to the balancer and
// executes the resulting actions. It never blocks on a socket.
type Loop struct {
	Clock       Clock
	Counters    *Counters
	Log         *slog.Logger
	Pool        *Pool
	Sender      Sender
	PeerSender  PeerSender
	Subscribe   func() // requests updates of the server list; may be nil
	Settings    balance.Settings
	Seed        uint64
	NewBalancer func(set balance.Settings, seed uint64) Balancer // creates a balancer; nil: balance.New

	Maintenance Maintenance // initial maintenance state; owned by the loop once Run is called

	events            chan event
	urgent            chan event                       // handled before events: operators wait for these, whatever the load
	updatedSettings   atomic.Pointer[balance.Settings] // updated settings, which replace Settings; nil: none
	afterBatch        []func()                         // called at the end of the current batch
	stopped           chan struct{}                    // closed when the loop accepts no more events
	goroutines        sync.WaitGroup                   // goroutines started by the loop; Run waits for them
	balancer          Balancer
	exchanges         map[balance.RequestID]*Exchange
	addresses         addresses
	entries           map[balance.ServerID]balance.Entry // the current server list, from which a new balancer starts
	version           int64
	timers            timerQueue
	lastRequestNumber uint64      // number of the last exchange; request IDs are derived from it
	removable         []*Exchange // candidates for removal at the end of the batch
	viewRequested     bool
	viewLevel         slog.Level
	lag               lagTracker
}

const (
	eventQueueLength = 1024 // queued events; when the queue is full, posting an event blocks
	maxBatchEvents   = 256  // events in one batch; with expired timers a batch has at most twice as many
)

// NewLoop returns a loop. The caller must set the other exported fields before Run.
func NewLoop() *Loop {
	return &Loop{events: make(chan event, eventQueueLength), urgent: make(chan event), stopped: make(chan struct{}),
		Maintenance: NewMaintenance(),
		exchanges:   map[balance.RequestID]*Exchange{}, addresses: addresses{},
		entries: map[balance.ServerID]balance.Entry{}}
}

// classDeadline returns the deadline of a class, relative to a request's arrival; 1 s for a class that the settings don't name.
func (l *Loop) classDeadline(class string) time.Duration {
	settings := &l.Settings
	if updated := l.updatedSettings.Load(); updated != nil {
		settings = updated
	}
	for _, c := range settings.Classes {
		if c.Name == class && c.Deadline > 0 {
			return c.Deadline
		}
	}
	return time.Second
}

// Run runs the loop until the context ends. When it returns, every goroutine that the loop started itself has ended; attempts
// started by the Sender may still be running.
func (l *Loop) Run(ctx context.Context) {
	defer l.goroutines.Wait()
	defer close(l.stopped) // before waiting: these goroutines may be blocked in post
	l.balancer = l.newBalancer()
	l.Settings.PriorAnswerRate = 0 // a balancer that is created later does not succeed another process
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	for ctx.Err() == nil {
		wakeTimer.Reset(l.untilNextTimer())
		var first event
		select {
		case first = <-l.urgent:
		case first = <-l.events:
		case <-wakeTimer.C:
		case <-ctx.Done():
			return
		}
		l.recoverPanics(func() { l.processBatch(first) })
	}
}

// newBalancer creates a balancer with the current settings.
func (l *Loop) newBalancer() Balancer {
	settings := l.Settings
	if updated := l.updatedSettings.Load(); updated != nil {
		settings = *updated
	}
	if l.NewBalancer != nil {
		return l.NewBalancer(settings, l.Seed)
	}
	return balance.New(settings, l.Seed)
}

// untilNextTimer returns the time until the next timer expires; an hour if no timer is set.
func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers.entries) == 0 {
		return time.Hour
	}
	return max(l.timers.entries[0].expiry.Sub(l.Clock.Now()), 0)
}

// processBatch passes one batch of events and expired timers to the balancer and executes the resulting actions.
func (l *Loop) processBatch(first event) {
	var batch []balance.Event
	applyEvent := func(e event) {
		if e := e.apply(l); e != nil {
			batch = append(batch, e)
		}
	}
	if first != nil {
		applyEvent(first)
	}
more:
	for len(batch) < maxBatchEvents {
		select {
		case e := <-l.urgent:
			applyEvent(e)
			continue
		default:
		}
		select {
		case e := <-l.events:
			applyEvent(e)
		default:
			break more
		}
	}
	defer l.removeFinished()
	defer l.runAfterBatch()
	now := l.Clock.Now()
	for len(batch) < 2*maxBatchEvents {
		expired, ok := l.timers.popExpired(now)
		if !ok {
			break
		}
		l.lag.record(now.Sub(expired.expiry), l.Counters)
		batch = append(batch, balance.Timer{Token: expired.token})
	}
	if len(batch) > 0 {
		for _, a := range l.balancer.Handle(now, batch) {
			l.execute(now, a)
		}
	}
	if l.viewRequested {
		l.viewRequested = false
		l.logView()
	}
}

// recoverPanics runs f and keeps a panic in the balancer from crashing the router: all requests in progress are answered, and a new
// balancer continues from the current server list.
func (l *Loop) recoverPanics(f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		l.Counters.Panics.Add(1)
		l.Log.Error("balancer panicked; restarting it", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		l.restartBalancer()
	}()
	f()
}

// restartBalancer fails all requests in progress and replaces the balancer by a new one, which gets the current server list.
func (l *Loop) restartBalancer() {
	l.failAll()
	clear(l.exchanges) // outcomes that arrive later are ignored
	l.timers = timerQueue{}
	l.Seed++
	l.balancer = l.newBalancer()
	defer func() {
		if p := recover(); p != nil { // start without the list: requests are refused until the next one arrives
			l.Log.Error("balancer panicked on the server list; starting without it", "panic", fmt.Sprint(p))
			l.balancer = l.newBalancer()
		}
	}()
	list := balance.List{Kind: balance.Persisted, Version: l.version}
	for _, e := range l.entries {
		list.Entries = append(list.Entries, e)
	}
	for _, a := range l.balancer.Handle(l.Clock.Now(), []balance.Event{l.Maintenance.overrideAll(list, l.entries)}) {
		l.execute(l.Clock.Now(), a)
	}
}

// removeLater marks an exchange as a candidate for removal at the end of the batch. It must not be removed earlier: the balancer
// handles a batch as a whole and may send an attempt for a request whose client disconnects later in the same batch. That attempt
// must find its exchange and get an outcome, or the balancer counts it as in flight forever.
func (l *Loop) removeLater(x *Exchange) { l.removable = append(l.removable, x) }

// runAfterBatch calls the functions that are registered for the end of the batch.
func (l *Loop) runAfterBatch() {
	for _, f := range l.afterBatch {
		f()
	}
	l.afterBatch = nil
}

// removeFinished removes those of the candidates that are answered and have no attempt in flight.
func (l *Loop) removeFinished() {
	for i, x := range l.removable {
		if x.answered && x.inFlight == 0 {
			delete(l.exchanges, x.requestID)
		}
		l.removable[i] = nil
	}
	l.removable = l.removable[:0]
}

// fail answers an exchange as failed unless it is answered already.
func (l *Loop) fail(x *Exchange, timedOut bool) {
	if x.SetAnswer(Answer{Kind: Failed, TimedOut: timedOut}) {
		l.Counters.Failed.Add(1)
	}
}

// execute carries out one action of the balancer. Actions for an exchange that has ended are ignored.
func (l *Loop) execute(now balance.Time, a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		if x := l.exchanges[a.ID]; x != nil {
			l.send(x, a.Server)
		}
	case balance.Refuse:
		if x := l.exchanges[a.ID]; x != nil {
			if x.SetAnswer(Answer{Kind: Refused, RetryAfter: a.RetryAfter}) {
				l.Counters.Refused.Add(1)
			}
			l.removeLater(x)
		}
	case balance.Fail:
		if x := l.exchanges[a.ID]; x != nil {
			l.fail(x, now >= l.Clock.At(x.Deadline))
			l.removeLater(x)
		}
	case balance.Cancel:
		if x := l.exchanges[a.ID]; x != nil && a.Attempt >= 0 && a.Attempt < len(x.attempts) {
			x.attempts[a.Attempt].cancel(ErrAttemptCancelled)
		}
	case balance.SetTimer:
		l.timers.add(now.Add(a.After), a.Token)
	case balance.SendPeerMessage:
		l.PeerSender.SendMessage(a.To, a.Content)
	case balance.CloseIdle:
		l.Pool.CloseIdle(a.Server)
	case balance.Subscribe:
		if l.Subscribe != nil {
			l.Subscribe()
		}
	}
}

// send starts an attempt. If the exchange is answered or past its deadline, or the server has no address, the attempt is not sent and its
// result says so: the balancer expects an outcome for every attempt.
func (l *Loop) send(x *Exchange, server balance.ServerID) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stop := context.WithDeadline(ctx, x.Deadline)
	a := &Attempt{Exchange: x, Server: server, Address: l.addresses[server].address, Context: ctx, number: len(x.attempts),
		sent: time.Now(), loop: l}
	a.cancel = func(cause error) { cancel(cause); stop() }
	x.attempts = append(x.attempts, a)
	x.inFlight++
	l.Counters.Attempts.Add(1)
	switch {
	case x.answered || ctx.Err() != nil:
		// Asynchronous: the queue may be full, and only the loop drains it.
		l.goroutines.Go(func() { a.Finish(AttemptResult{Result: balance.NeverSent}) })
	case a.Address == "":
		err := fmt.Errorf("no address of server %s", server)
		l.goroutines.Go(func() { a.Finish(AttemptResult{Result: balance.NoConnect, Err: err}) })
	default:
		l.Sender.Send(a)
	}
}
