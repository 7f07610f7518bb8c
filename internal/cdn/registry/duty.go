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

// This file contains the tasks that one registry performs for the whole cluster: the holder of the duty, under its
// epoch. The replicated state rejects commands of an older epoch.

const (
	maxMissedHeartbeats = 6 // missed heartbeats after which a server is removed
	// routerTimeout is the time without a request for news after which a cache router is removed. It is long enough that a restart changes no
	// routing table.
	routerTimeout        = 12 * time.Second
	innerRouterTimeout   = 3 * time.Second // the same for routers that serve no clients: all requests go through them and wait
	rateDivisionInterval = time.Second     // between divisions of the rate limits
	maxRemovalsPerRound  = 64              // most nodes removed in one round
	// minSilentLimit is the number of silent nodes that is always acted on. Above it, more than half of all nodes silent at once point to a
	// fault of the network path to this machine.
	minSilentLimit = 2
)

// term is the period for which a registry holds the duty under one epoch.
type term struct {
	epoch        uint64 // 0: another registry holds the duty
	since        time.Time
	lastDivision time.Time // time of the last rate division
}

// update starts or ends the term, by the replicated state and by whether the replica is connected to the config
// stores.
func (t *term) update(d clusterstate.Duty, self string, connected bool, now time.Time) {
	switch {
	case d.Holder != self || !connected:
		*t = term{}
	case t.epoch != d.Epoch:
		*t = term{epoch: d.Epoch, since: now, lastDivision: now}
	}
}

// runDuties performs the periodic tasks while this registry holds the duty, until ctx is cancelled.
func (reg *Registry) runDuties(ctx context.Context) {
	var t term
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reg.settings.HeartbeatInterval / 2):
		}
		now := time.Now()
		var duty clusterstate.Duty
		var servers, routers, innerRouters []string
		reg.replica.View(func(s *clusterstate.State) {
			duty = s.Duty
			for id := range s.Servers {
				servers = append(servers, id)
			}
			for node, r := range s.Routers {
				if r.Inner {
					innerRouters = append(innerRouters, node)
				} else {
					routers = append(routers, node)
				}
			}
		})
		phase, _ := reg.replica.Phase()
		t.update(duty, reg.settings.IP, phase == statesync.Connected, now)
		reg.expireHeartbeats(now)
		if t.epoch == 0 {
			continue
		}
		reg.removeSilentServers(ctx, t, servers, now)
		reg.removeSilentRouters(ctx, t, routers, routerTimeout)
		reg.removeSilentRouters(ctx, t, innerRouters, innerRouterTimeout)
		if now.Sub(t.lastDivision) >= rateDivisionInterval {
			t.lastDivision = now
			reg.divideRates(ctx, t)
		}
	}
}

// serverTimeout is the time without a heartbeat after which a server is removed.
func (reg *Registry) serverTimeout() time.Duration {
	return maxMissedHeartbeats * reg.settings.HeartbeatInterval
}

// expireHeartbeats drops heartbeats that are older than twice the server timeout.
func (reg *Registry) expireHeartbeats(now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.heartbeats.Expire(2*reg.serverTimeout(), now)
}

// removeSilentServers removes servers that have missed several heartbeats. A new duty holder first waits for the whole
// timeout, because it has not heard the servers before.
func (reg *Registry) removeSilentServers(ctx context.Context, t term, servers []string, now time.Time) {
	if now.Sub(t.since) <= reg.serverTimeout() {
		return
	}
	var silent []string
	reg.mu.Lock()
	for _, id := range servers {
		if reg.heartbeats.Silent(id, reg.serverTimeout(), now) {
			silent = append(silent, configstore.ServerKey(id))
		}
	}
	reg.mu.Unlock()
	for _, key := range reg.confirmSilent(ctx, silent, len(servers), reg.serverTimeout()) {
		id := key[len(configstore.ServerKey("")):]
		if out, err := reg.propose(ctx, clusterstate.Command{Lost: id, Epoch: t.epoch}, commitTimeout); err == nil &&
			out.Status == clusterstate.StatusOK {
			reg.log.Info("silent server removed", "id", id, "epoch", t.epoch)
		}
	}
}

// removeSilentRouters removes cache routers that no longer ask any core machine for news.
func (reg *Registry) removeSilentRouters(ctx context.Context, t term, routers []string, timeout time.Duration) {
	for _, node := range reg.confirmSilent(ctx, routers, 2*len(routers), timeout) {
		if out, err := reg.propose(ctx, clusterstate.Command{Absent: node, Epoch: t.epoch}, commitTimeout); err == nil &&
			out.Status == clusterstate.StatusOK {
			reg.log.Info("silent cache router removed", "node", node, "epoch", t.epoch)
		}
	}
}

// confirmSilent asks the leader, which learns of every node heard at any core machine, which of the names have been
// silent for at least timeout. It returns none if more than half of the total are candidates at once: then the network
// path to this machine is the likely fault.
func (reg *Registry) confirmSilent(ctx context.Context, names []string, total int, timeout time.Duration) (silent []string) {
	if len(names) == 0 || len(names) > max(minSilentLimit, total/2) {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ages, err := peerrpc.Call[configstore.Silence, []int64](callCtx, reg.store, "ConfigStore.Silent", &configstore.Silence{Names: names})
	if err != nil || len(ages) != len(names) {
		return nil
	}
	for i, name := range names {
		if time.Duration(ages[i])*time.Millisecond >= timeout && len(silent) < maxRemovalsPerRound {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// divideRates divides the rate limits of services among the routers again where the demand has shifted.
func (reg *Registry) divideRates(ctx context.Context, t term) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	demand, err := peerrpc.Call[bool, map[string]map[string]float64](callCtx, reg.store, "ConfigStore.Needs", new(bool))
	cancel()
	if err != nil {
		return
	}
	var divisions []clusterstate.RateDivision
	reg.replica.View(func(s *clusterstate.State) {
		for service, byRouter := range demand {
			if c, moved := s.DivideRate(service, byRouter); moved {
				divisions = append(divisions, c)
			}
		}
	})
	for _, c := range divisions {
		if out, err := reg.propose(ctx, clusterstate.Command{Cut: &c, Epoch: t.epoch}, commitTimeout); err == nil &&
			out.Status == clusterstate.StatusOK {
			reg.log.Info("rate limit divided", "service", c.Service, "parts", len(c.Parts), "epoch", t.epoch)
		}
	}
}
