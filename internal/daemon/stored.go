package daemon

import (
	"context"
	"errors"
	"time"

	"cedarmast/internal/exchange"
	"cedarmast/internal/recovery"
	"cedarmast/internal/wire"
)

// persistence is the router's part in storing its state on disk. It is off unless the operators' file names a
// directory.
type persistence struct {
	store        *recovery.Store // nil: off
	saveInterval time.Duration
	saveRequests chan chan error // requests for an immediate save
	identity     recovery.State  // identifies the router: the configuration may have changed by the time of a save

	saveFailed bool // the last save failed
}

// saveTimeout is how long an operator's order waits for the disk. The order takes effect anyway and is saved later.
// Operators wait a second, in which both processes of a replacement may wait one after the other.
const saveTimeout = 250 * time.Millisecond

// restore loads the state that an earlier process stored, as far as it is still valid, and returns the list to start
// from.
func (r *router) restore(c *Config, loop *exchange.Loop) *wire.Endpoints {
	stateConfig := c.operatorFile.StateSection()
	if stateConfig == nil {
		return c.Known
	}
	r.persistence = persistence{store: recovery.NewStore(stateConfig.Dir, c.Listen), saveInterval: stateConfig.SaveInterval(),
		saveRequests: make(chan chan error), identity: recovery.State{Router: c.Name, Listen: c.Listen}}
	state, ok, faults := r.store.Load()
	for _, err := range faults {
		r.log.Warn("a stored state is unreadable", "err", err)
	}
	if !ok {
		return c.Known
	}
	// even from a state that is refused below: fact versions don't depend on the clock, and another router's copy is equally valid
	r.addSnapshot(state.Facts, time.Since(state.Saved))
	restored, err := recovery.Restore(state, recovery.RestoreOptions{Now: time.Now(), Router: c.Name, Listen: c.Listen, Discovery: c.Discovery,
		Known: c.Known, MaxListAge: stateConfig.MaxListAge(), MaxCountAge: loop.Settings.RampTime})
	if err != nil {
		r.log.Warn("the stored state is refused", "err", err)
		return c.Known
	}
	loop.Maintenance, loop.Settings.PriorAnswerRate = restored.Maintenance, restored.Answered
	r.log.Info("stored state taken up", "age", restored.Age.Round(time.Millisecond), "list", restored.ListRestored,
		"servers", len(restored.Known.Endpoints), "servers_out", len(restored.Maintenance.Out),
		"answered", restored.Answered, "left", restored.Skipped)
	return restored.Known
}

// runSaves saves the state periodically and on request until the context ends. Only its goroutine waits for the disk.
func (r *router) runSaves(ctx context.Context) {
	ticker := time.NewTicker(r.saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.save()
		case done := <-r.saveRequests:
			done <- r.save()
		case <-ctx.Done():
			return
		}
	}
}

// save writes the current state to disk. It logs the first failure of a series and the first success after it.
func (r *router) save() error {
	list, maintenance, answered, err := r.loop.Snapshot()
	if err == nil {
		state := r.identity
		state.Saved, state.Discovery, state.Known = time.Now(), r.discovery.Load().Address, wire.NewEndpoints(list)
		state.Maintenance, state.Answered, state.Facts = maintenance, answered, r.factsSnapshot()
		err = r.store.Save(state)
	}
	switch failed := err != nil && !errors.Is(err, exchange.ErrStopped); {
	case failed && !r.saveFailed:
		r.log.Warn("the state can't be stored; serving goes on without", "err", err)
	case !failed && r.saveFailed:
		r.log.Info("the state is stored again")
	}
	r.saveFailed = err != nil
	return err
}

// saveNow requests a save and waits for it for up to saveTimeout.
func (r *router) saveNow() {
	if r.store == nil {
		return
	}
	done, limit := make(chan error, 1), time.NewTimer(saveTimeout)
	defer limit.Stop()
	select {
	case r.saveRequests <- done:
	case <-limit.C:
		r.log.Warn("an order is not stored yet: the disk is slow")
		return
	}
	select {
	case <-done:
	case <-limit.C:
		r.log.Warn("an order is not stored yet: the disk is slow")
	}
}

// trackRecovery follows the router from its start to full service. It calls ready once the router may serve.
func (r *router) trackRecovery(ctx context.Context, listKnown bool, ready func()) {
	started := time.Now()
	m := recovery.Machine{ListKnown: listKnown, CatchUp: r.facts != nil}
	caughtUp := r.caughtUp // nil while sharing is off
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	listed, served, failed := r.listed, int64(0), int64(0)
	for phase := recovery.NotReady; phase != recovery.FullService; {
		var timer <-chan time.Time
		if wait, ok := m.Wait(time.Since(started)); ok {
			timer = time.After(wait)
		}
		var ticks <-chan time.Time
		if phase == recovery.Serving {
			ticks = poll.C
		}
		events := []recovery.Event{recovery.Tick}
		select {
		case <-listed:
			listed, events = nil, append(events, recovery.ListReceived)
		case <-caughtUp:
			caughtUp, events = nil, append(events, recovery.CaughtUp)
		case <-timer:
		case <-ticks:
			successes, failures := r.counts.Served.Load(), r.counts.Refused.Load()+r.counts.Failed.Load()
			for range min(successes-served, maxCountedAnswers) {
				events = append(events, recovery.RequestServed)
			}
			if failures > failed { // their order is unknown: assume that the failure came last
				events = append(events, recovery.RequestFailed)
			}
			served, failed = successes, failures
		case <-ctx.Done():
			return
		}
		for _, e := range events {
			was := phase
			if phase = m.Handle(time.Since(started), e); was == recovery.NotReady && phase != was {
				ready()
			}
		}
		r.counts.RecoveryPhase.Store(int64(phase))
	}
	elapsed := time.Since(started)
	r.counts.TimeToFullService.Store(int64(elapsed))
	r.log.Info("back at full service", "after", elapsed.Round(time.Millisecond), "served", r.counts.Served.Load(), "refused", r.counts.Refused.Load())
}

const (
	pollInterval      = 100 * time.Millisecond
	maxCountedAnswers = 1000 // answers counted per poll: more make no difference
)
