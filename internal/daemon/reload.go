package daemon

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"cedarmast/internal/settings"
	"cedarmast/internal/wire"
)

// discoveryWatch is a running subscription to a discovery service.
type discoveryWatch struct {
	*wire.Discovery
	cancel context.CancelFunc
	done   chan struct{} // closed when the watch has ended and delivers no more lists
}

// startWatch watches the discovery service at address for lists newer than index.
func (r *router) startWatch(address string, index int64) {
	d := wire.NewDiscovery(address)
	d.Index, d.Clock, d.Counters, d.Log, d.OnList = index, r.clock, r.counts, r.log, r.loop.UpdateServers
	d.OnDelivered = func() { r.listedOnce.Do(func() { close(r.listed) }) }
	ctx, cancel := context.WithCancel(context.Background())
	w := &discoveryWatch{d, cancel, make(chan struct{})}
	r.discovery.Store(w)
	go func() {
		defer close(w.done)
		d.Run(ctx)
	}()
}

// stop ends the watch and waits until it has delivered its last list.
func (w *discoveryWatch) stop() {
	w.cancel()
	<-w.done
}

// reload reads the configuration again and applies the keys that can change while the router serves. An invalid file
// changes nothing.
func (r *router) reload(opts runOptions) {
	c, err := opts.loadConfig()
	if err != nil {
		r.log.Error("configuration not taken; the old one stays", "err", err)
		return
	}
	old := r.config
	if key := settings.MissingKey(old.raw, c.raw, "known", "log", "seed"); key != "" {
		r.log.Error("configuration not taken; the old one stays", "err", key+": missing, but set in the current configuration")
		return
	}
	if was, is := old.Settings.Limits.SendCap, c.Settings.Limits.SendCap; was > 0 && is <= 0 {
		r.log.Error("configuration not taken; the old one stays", "err", fmt.Sprintf("settings.Limits.SendCap: %d is not greater than 0", is))
		return
	}
	for _, key := range []struct {
		name     string
		was, now any
	}{{"name", old.Name, c.Name}, {"listen", old.Listen, c.Listen}, {"peer_listen", old.PeerListen, c.PeerListen},
		{"peers", old.Peers, c.Peers}, {"operator", old.Operators, c.Operators},
		{"CEDARMAST_OPERATOR", old.operatorFile, c.operatorFile}} {
		if !reflect.DeepEqual(key.was, key.now) {
			r.log.Warn("a changed key waits for a restart", "key", key.name)
		}
	}
	if c.Limits != old.Limits {
		r.setLimits(c.Limits)
	}
	opts.logLevel.Set(c.logLevel)
	if c.Discovery != old.Discovery {
		// The old watch ends before the new one starts, so that no late list from it can replace a newer one; the
		// current list stays in use meanwhile. The new service's indexes need not continue the old one's: it is asked
		// for the whole list.
		r.discovery.Load().stop()
		r.startWatch(c.Discovery, wire.UnknownIndex)
	}
	next := *old // keys that need a restart keep their values and are logged again at the next SIGHUP
	next.Settings = r.applySettings(old.Settings, c.Settings)
	r.log.Info("configuration taken", "discovery", c.Discovery, "log", c.Log, "memory_mb", c.Limits.MemoryMB,
		"sockets", c.Limits.Sockets)
	next.raw = c.raw
	next.Discovery, next.Limits, next.Log, next.logLevel = c.Discovery, c.Limits, c.Log, c.logLevel
	r.config = &next
}

// applySettings applies the new settings that a running router can change and returns the settings now in effect.
func (r *router) applySettings(old, updated *settings.Profile) *settings.Profile {
	applied, pendingRestart := old.MergeReloadable(updated)
	for _, key := range pendingRestart {
		r.log.Warn("a changed key waits for a restart", "key", "settings."+key)
	}
	if reflect.DeepEqual(old, applied) {
		return old
	}
	r.pool.SetIdleTimeout(maxReuseIdle(time.Duration(applied.Limits.ConnIdle)))
	r.servers.SetConnectTimeout(time.Duration(applied.Limits.ConnectTimeout))
	r.loop.UpdateSettings(applied.Settings())
	r.profile.Store(applied) // last: a new class is admitted only after the loop knows it
	var added, removed []string
	for _, c := range applied.Classes {
		if !old.HasClass(c.Name) {
			added = append(added, c.Name)
		}
	}
	for _, c := range old.Classes {
		if !applied.HasClass(c.Name) {
			removed = append(removed, c.Name)
		}
	}
	r.log.Info("settings taken", "classes", len(applied.Classes), "appeared", added, "vanished", removed, "attempts", applied.Limits.SendCap)
	return applied
}
