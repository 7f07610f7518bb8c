package registry

import (
	"context"
	"slices"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"
)

// This file is what one registry does for all: the holder of the duty, under its epoch. The state refuses what comes under an older one.

const (
	silentBeats  = 6                // missed beats after which a server is taken out
	absentFor    = 12 * time.Second // a cache router that has asked nobody for news for so long is taken out: a restart changes no table
	innerFor     = 3 * time.Second  // one that serves no clients: all go by way of it, and wait
	cutEvery     = time.Second
	mostAbsent   = 64 // cache routers taken out in one turn
	absentAtOnce = 2  // that may be silent whatever their part of all: more than half at once, and it is the way to here that is silent
)

// term is a registry's time as holder of the duty.
type term struct {
	epoch uint64 // 0: it is held by another one
	since time.Time
	cut   time.Time // when rates were last looked at
}

// follow takes the duty on or lets it go, by the state and by whether this process is in touch.
func (t *term) follow(d clusterstate.Duty, self string, inTouch bool, now time.Time) {
	switch {
	case d.Holder != self || !inTouch:
		*t = term{}
	case t.epoch != d.Epoch:
		*t = term{epoch: d.Epoch, since: now, cut: now}
	}
}

// duties does what is to be done while the duty is held here.
func (w *Registry) duties(ctx context.Context) {
	var t term
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.set.Heartbeat / 2):
		}
		now := time.Now()
		var duty clusterstate.Duty
		var servers, routers, inner []string
		w.replica.Read(func(s *clusterstate.State) {
			duty = s.Duty
			for id := range s.Servers {
				servers = append(servers, id)
			}
			for node, r := range s.Routers {
				if r.Inner {
					inner = append(inner, node)
				} else {
					routers = append(routers, node)
				}
			}
		})
		phase, _ := w.replica.Phase()
		t.follow(duty, w.set.IP, phase == statesync.InTouch, now)
		w.forget(now)
		if t.epoch == 0 {
			continue
		}
		w.prune(ctx, t, servers, now)
		w.pruneRouters(ctx, t, routers, absentFor)
		w.pruneRouters(ctx, t, inner, innerFor)
		if now.Sub(t.cut) >= cutEvery {
			t.cut = now
			w.cutRates(ctx, t)
		}
	}
}

func (w *Registry) silence() time.Duration { return silentBeats * w.set.Heartbeat }

// forget lets beats go that are long over.
func (w *Registry) forget(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats.Forget(2*w.silence(), now)
}

// prune takes out servers that have missed several beats. One who takes the duty over gives all of them their whole time, for it has not
// heard them before.
func (w *Registry) prune(ctx context.Context, t term, servers []string, now time.Time) {
	if now.Sub(t.since) <= w.silence() {
		return
	}
	var silent []string
	w.mu.Lock()
	for _, id := range servers {
		if w.beats.Silent(id, w.silence(), now) {
			silent = append(silent, configstore.ServerKey(id))
		}
	}
	w.mu.Unlock()
	for _, key := range w.surelySilent(ctx, silent, len(servers), w.silence()) {
		id := key[len(configstore.ServerKey("")):]
		if out, err := w.propose(ctx, clusterstate.Command{Lost: id, Epoch: t.epoch}, beatWithin); err == nil && out.Status == clusterstate.Done {
			w.log.Info("server taken out", "id", id, "epoch", t.epoch)
		}
	}
}

// pruneRouters takes out cache routers that ask no core machine for news any more.
func (w *Registry) pruneRouters(ctx context.Context, t term, routers []string, span time.Duration) {
	for _, node := range w.surelySilent(ctx, routers, 2*len(routers), span) {
		if out, err := w.propose(ctx, clusterstate.Command{Absent: node, Epoch: t.epoch}, beatWithin); err == nil && out.Status == clusterstate.Done {
			w.log.Info("cache router taken out", "node", node, "epoch", t.epoch)
		}
	}
}

// surelySilent asks the leader, who hears of all who are heard at any core machine, which of the names have been silent for so long. If it
// is more than half of all at once, it is the way to here that is silent.
func (w *Registry) surelySilent(ctx context.Context, names []string, all int, span time.Duration) (silent []string) {
	if len(names) == 0 || len(names) > max(absentAtOnce, all/2) {
		return nil
	}
	call, done := context.WithTimeout(ctx, readWithin)
	defer done()
	ages, err := peerrpc.Call[configstore.Silence, []int64](call, w.store, "ConfigStore.Silent", &configstore.Silence{Names: names})
	if err != nil || len(ages) != len(names) {
		return nil
	}
	for i, name := range names {
		if time.Duration(ages[i])*time.Millisecond >= span && len(silent) < mostAbsent {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// cutRates cuts the rates of services anew where need has moved.
func (w *Registry) cutRates(ctx context.Context, t term) {
	call, done := context.WithTimeout(ctx, readWithin)
	needs, err := peerrpc.Call[bool, map[string]map[string]float64](call, w.store, "ConfigStore.Needs", new(bool))
	done()
	if err != nil {
		return
	}
	var cuts []clusterstate.Cut
	w.replica.Read(func(s *clusterstate.State) {
		for service, by := range needs {
			if c, moved := s.Recut(service, by); moved {
				cuts = append(cuts, c)
			}
		}
	})
	for _, c := range cuts {
		if out, err := w.propose(ctx, clusterstate.Command{Cut: &c, Epoch: t.epoch}, beatWithin); err == nil && out.Status == clusterstate.Done {
			w.log.Info("rate cut anew", "service", c.Service, "parts", len(c.Parts), "epoch", t.epoch)
		}
	}
}
