package configstore

import (
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/usage"
)

// Tracking of cache routers and servers that were heard from, by this and the other core machines: cache routers by their
// requests for news, servers by their heartbeats.

const (
	absentTimeout      = 12 * time.Second       // entries not heard from for twice this time are deleted
	demandTTL          = 2 * time.Second        // how long the reported demand of a cache router counts
	reportInterval     = time.Second            // interval at which the other config stores report to the leader whom they heard from
	enrolRetryInterval = time.Second            // wait before a cache router is proposed again
	enrolBatchDelay    = 150 * time.Millisecond // cache routers that arrive within this time are one change of every routing table
	serverKeyPrefix    = "server "              // prefix of server IDs in maps that also hold cache routers
	maxTracked         = 1 << 16                // limit of seenHere when servers are added, and of demand
	maxRouters         = 4096                   // limit of the roster: further routers are not listed
	maxSeenBytes       = 256                    // of the name of a router or server that another machine reports
	maxDemandItems     = 1 << 16                // services in all routers' demand
	usageWarmup        = 2 * time.Second        // a process that started more recently may lack the reports of some proxies
)

// ServerKey returns the name of a server in lists that also contain cache routers.
func ServerKey(id string) string { return serverKeyPrefix + id }

// presence records when cache routers and servers were last heard from. It is guarded by the mutex of the View.
type presence struct {
	seenHere      map[string]time.Time    // last contact with this machine, by cache router or ServerKey
	seenElsewhere map[string]time.Time    // on the leader: last contact reported by other machines
	proposedAt    map[string]time.Time    // when a cache router was last proposed for the roster
	newRouters    []clusterstate.Router   // not in the roster with these data; proposed together
	reportedAt    time.Time               // when seenHere was last reported to the leader
	prunedAt      time.Time               // when stale entries were last deleted
	demand        map[string]routerDemand // by cache router, while this machine holds the duty
	usage         *usage.Collector        // reports of the proxies, while this machine holds the duty
	usageSince    time.Time               // when usage was first reported or requested here
}

// routerDemand is the demand that a cache router has reported, and when.
type routerDemand struct {
	perService map[string]float64 // requests per second by service
	reportedAt time.Time
}

// newPresence returns a record without entries.
func newPresence() presence {
	return presence{seenHere: map[string]time.Time{}, seenElsewhere: map[string]time.Time{}, proposedAt: map[string]time.Time{},
		demand: map[string]routerDemand{}, usage: usage.NewCollector()}
}

// recentlySeen returns the cache routers and servers that were recently heard from on this machine, to be reported to the leader.
// It returns nil on the leader itself, and between two reports.
func (v *View) recentlySeen(isLeader bool) (seen []string) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if isLeader || now.Sub(v.presence.reportedAt) < reportInterval {
		return nil
	}
	v.presence.reportedAt = now
	for node, at := range v.presence.seenHere {
		if now.Sub(at) < 2*reportInterval {
			seen = append(seen, node)
		}
	}
	return seen
}

// noteSeenElsewhere records, on the leader, the cache routers and servers that another machine reports as heard from.
func (v *View) noteSeenElsewhere(seen []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, node := range seen {
		if len(v.presence.seenElsewhere) < maxTracked && len(node) <= maxSeenBytes {
			v.presence.seenElsewhere[node] = time.Now()
		}
	}
}

// pruneSeenElsewhere deletes, on the leader, the entries of those that no other machine has reported for a long time.
func (v *View) pruneSeenElsewhere(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for node, at := range v.presence.seenElsewhere {
		if now.Sub(at) > 2*absentTimeout {
			delete(v.presence.seenElsewhere, node)
		}
	}
}

// pruneSeenHere deletes the entries of those that have not contacted this machine for a long time. It runs in every role: the
// leader does not report its own list, so nothing else would make it prune the list.
func (v *View) pruneSeenHere(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := &v.presence
	if now.Sub(p.prunedAt) < absentTimeout {
		return
	}
	p.prunedAt = now
	for node, at := range p.seenHere {
		if now.Sub(at) > 2*absentTimeout {
			delete(p.seenHere, node)
			delete(p.proposedAt, node)
		}
	}
	for node, n := range p.demand {
		if now.Sub(n.reportedAt) > demandTTL {
			delete(p.demand, node)
		}
	}
}

// noteRouter records a request from a cache router and queues the router if it is missing in the roster. It returns true for
// the first queued one: the caller must then have the queue proposed.
func (v *View) noteRouter(r clusterstate.Router) (first bool) {
	if clusterstate.CheckRouter(r) != nil {
		return false
	}
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, listed := v.history.State.Routers[r.Node]; !listed && v.presence.isFull(len(v.history.State.Routers)) {
		return false
	}
	v.presence.seenHere[r.Node] = now
	return v.queueRouter(r, now)
}

// isFull reports whether a router beyond those listed has no room.
func (p *presence) isFull(listed int) bool {
	return listed+len(p.newRouters) >= maxRouters || len(p.seenHere) >= maxTracked
}

// noteRouterAgain queues a router whose request has been noted, if that was not possible at the time because no leader was known. It
// returns the same as noteRouter.
func (v *View) noteRouterAgain(r clusterstate.Router) (first bool) {
	if clusterstate.CheckRouter(r) != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.queueRouter(r, time.Now())
}

// queueRouter queues a router if it is missing in the roster and was not queued lately, and returns whether it is the only queued one. The
// caller must hold the mutex.
func (v *View) queueRouter(r clusterstate.Router, now time.Time) (first bool) {
	p := &v.presence
	if _, listed := v.history.State.Routers[r.Node]; !listed && p.isFull(len(v.history.State.Routers)) {
		return false
	}
	if v.history.State.Routers[r.Node] == r || now.Sub(p.proposedAt[r.Node]) <= enrolRetryInterval || v.position.leader == "" {
		return false
	}
	p.proposedAt[r.Node] = now
	p.newRouters = append(p.newRouters, r)
	return len(p.newRouters) == 1
}

// takeNewRouters returns and clears the cache routers to be added to the roster. They belong into one command, for each command
// changes every routing table.
func (v *View) takeNewRouters() []clusterstate.Router {
	v.mu.Lock()
	defer v.mu.Unlock()
	routers := v.presence.newRouters
	v.presence.newRouters = nil
	return routers
}

// noteServers records servers whose heartbeats the registry on this machine has acknowledged. Followers report them to the
// leader in their replies.
func (v *View) noteServers(ids []string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		if len(v.presence.seenHere) < maxTracked && clusterstate.CheckName(id) == nil {
			v.presence.seenHere[serverKeyPrefix+id] = now
		}
	}
}

// hasRoomFor reports whether a router's demand can be recorded beside those of others.
func (p *presence) hasRoomFor(n *clusterstate.Needs) bool {
	total := len(n.Per)
	for node, other := range p.demand {
		if node != n.Node {
			total += len(other.perService)
		}
	}
	_, known := p.demand[n.Node]
	return total <= maxDemandItems && (known || len(p.demand) < maxRouters)
}

// noteDemand records the demand of a cache router for the duty holder. It returns false if there is no room for it.
func (v *View) noteDemand(n *clusterstate.Needs, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.presence.hasRoomFor(n) {
		return false
	}
	v.presence.demand[n.Node] = routerDemand{n.Per, now}
	return true
}

// currentDemand returns the demand that is not older than demandTTL, in requests per second, by service and cache router.
func (v *View) currentDemand(now time.Time) map[string]map[string]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	demand := map[string]map[string]float64{}
	for node, n := range v.presence.demand {
		if now.Sub(n.reportedAt) > demandTTL {
			continue
		}
		for service, rate := range n.perService {
			if demand[service] == nil {
				demand[service] = map[string]float64{}
			}
			demand[service][node] = rate
		}
	}
	return demand
}

// noteUsage records a usage report of a proxy for the duty holder. It returns false if the report is not accepted.
func (v *View) noteUsage(r *usage.Report, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.presence.startUsage(now)
	return v.presence.usage.Take(*r, v.history.State.Usage.Fixed)
}

// usageSums returns the summed counts of the proxies in report windows that are not fixed yet. It returns
// errUsageIncomplete until the proxies have had enough time to report here.
func (v *View) usageSums(now time.Time) ([]usage.Sum, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.presence.startUsage(now)
	if now.Sub(v.presence.usageSince) < usageWarmup {
		return nil, errUsageIncomplete
	}
	var proxies []string
	for node, r := range v.history.State.Routers {
		if !r.Inner {
			proxies = append(proxies, node)
		}
	}
	return v.presence.usage.Sums(v.history.State.Usage.Fixed, proxies), nil
}

// startUsage records the time of the first usage report or request.
func (p *presence) startUsage(now time.Time) {
	if p.usageSince.IsZero() {
		p.usageSince = now
	}
}

// timeSinceSeen returns the time since each of the names was last heard from, in milliseconds, but never more than the time for
// which this machine has been leader. If it is not the leader it returns the leader's address instead.
func (v *View) timeSinceSeen(names []string, now time.Time) (ages []int64, isLeader bool, leader string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.position.isLeader {
		return nil, false, v.position.leader
	}
	for _, name := range names {
		lastSeen := v.position.leaderSince
		for _, t := range [...]time.Time{v.presence.seenHere[name], v.presence.seenElsewhere[name]} {
			if t.After(lastSeen) {
				lastSeen = t
			}
		}
		ages = append(ages, now.Sub(lastSeen).Milliseconds())
	}
	return ages, true, ""
}
