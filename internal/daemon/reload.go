package daemon

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"cedarmast/internal/settings"
	"cedarmast/internal/wire"
)

// watch is discovery as it is watched now.
type watch struct {
	*wire.Discovery
	halt context.CancelFunc
	done chan struct{} // closed when nothing more is told
}

// watchFrom begins to watch discovery at an address, from a known version on.
func (r *router) watchFrom(address string, index int64) {
	d := wire.NewDiscovery(address)
	d.Index, d.Clock, d.Counts, d.Log, d.Listed = index, r.clock, r.counts, r.log, r.loop.Listed
	d.Told = func() { r.told.Do(func() { close(r.listed) }) }
	ctx, halt := context.WithCancel(context.Background())
	w := &watch{d, halt, make(chan struct{})}
	r.watch.Store(w)
	go func() {
		defer close(w.done)
		d.Run(ctx)
	}()
}

// end ends a watch and waits until it has told its last.
func (w *watch) end() {
	w.halt()
	<-w.done
}

// reload reads the configuration again and applies what can change while the router serves. A faulty one changes
// nothing.
func (r *router) reload(p host) {
	c, err := p.load()
	if err != nil {
		r.log.Error("configuration not taken; the old one stays", "err", err)
		return
	}
	old := r.config
	if key := settings.Missing(old.raw, c.raw, "known", "log", "seed"); key != "" {
		r.log.Error("configuration not taken; the old one stays", "err", key+": missing, and the file in use has it")
		return
	}
	if was, is := old.Settings.Limits.SendCap, c.Settings.Limits.SendCap; was > 0 && is <= 0 {
		r.log.Error("configuration not taken; the old one stays", "err", fmt.Sprintf("settings.Limits.SendCap: %d is not over 0", is))
		return
	}
	for _, key := range []struct {
		name     string
		was, now any
	}{{"name", old.Name, c.Name}, {"listen", old.Listen, c.Listen}, {"peer_listen", old.PeerListen, c.PeerListen},
		{"peers", old.Peers, c.Peers}, {"operator", old.Operators, c.Operators},
		{"CEDARMAST_OPERATOR", old.operator, c.operator}} {
		if !reflect.DeepEqual(key.was, key.now) {
			r.log.Warn("a changed key waits for a restart", "key", key.name)
		}
	}
	if c.Limits != old.Limits {
		r.setLimits(c.Limits)
	}
	p.level.Set(c.level)
	if c.Discovery != old.Discovery {
		// The old one is let go whole before the new one tells anything, so that no late word of it can undo a newer
		// one; meanwhile the list stays in use. The new one's version numbers need not go on from the old one's:
		// it is asked for the whole list.
		r.watch.Load().end()
		r.watchFrom(c.Discovery, wire.Unknown)
	}
	next := *old // what waits for a restart stays as it is, and is named again at the next SIGHUP
	next.Settings = r.retune(old.Settings, c.Settings)
	r.log.Info("configuration taken", "discovery", c.Discovery, "log", c.Log, "memory_mb", c.Limits.MemoryMB,
		"sockets", c.Limits.Sockets)
	next.raw = c.raw
	next.Discovery, next.Limits, next.Log, next.level = c.Discovery, c.Limits, c.Log, c.level
	r.config = &next
}

// retune takes new settings as far as a running router can and returns those that hold from now on.
func (r *router) retune(old, now *settings.Profile) *settings.Profile {
	taken, wait := old.Retuned(now)
	for _, key := range wait {
		r.log.Warn("a changed key waits for a restart", "key", "settings."+key)
	}
	if reflect.DeepEqual(old, taken) {
		return old
	}
	r.pool.SetIdleFor(reuseFor(time.Duration(taken.Limits.ConnIdle)))
	r.servers.SetConnectTimeout(time.Duration(taken.Limits.ConnectTimeout))
	r.loop.Retune(taken.Settings())
	r.profile.Store(taken) // last: a new class is let in once the decisions know it
	var appeared, vanished []string
	for _, c := range taken.Classes {
		if !old.HasClass(c.Name) {
			appeared = append(appeared, c.Name)
		}
	}
	for _, c := range old.Classes {
		if !taken.HasClass(c.Name) {
			vanished = append(vanished, c.Name)
		}
	}
	r.log.Info("settings taken", "classes", len(taken.Classes), "appeared", appeared, "vanished", vanished, "attempts", taken.Limits.SendCap)
	return taken
}
