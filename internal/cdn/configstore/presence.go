package configstore

import (
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/usage"
)

// This file is who was heard, here and at the other core machines: cache routers by their questions, servers by their beats.

const (
	absentFor     = 12 * time.Second // who has not been heard for twice as long is forgotten
	needFor       = 2 * time.Second  // what a cache router needs counts for so long after it said so
	toldEvery     = time.Second      // the leader hears who has asked, or beaten, at the other config stores
	enrolAgain    = time.Second
	enrolTogether = 150 * time.Millisecond // newcomers of so long are one change of every table
	serverMark    = "server "              // before a server's id, where cache routers stand beside
	mostAttended  = 1 << 17
	usageHeardFor = 2 * time.Second // before that a process that has just started has not heard all proxies' reports
)

// ServerKey is a server's name beside those of cache routers.
func ServerKey(id string) string { return serverMark + id }

// presence is who was heard when. It is under the view's lock.
type presence struct {
	attended  map[string]time.Time  // cache routers that asked here, and servers that were heard here
	present   map[string]time.Time  // at the leader: anywhere
	enrolled  map[string]time.Time  // when their entry was last proposed
	newcomers []clusterstate.Router // who asked and is not in the roster; proposed together
	told      time.Time             // when the leader was last told who asked here
	looked    time.Time             // when the lists of who was heard were last looked through
	needs     map[string]needed     // by cache router, while this machine holds the duty
	usage     *usage.Collector      // of what proxies have counted, while this machine holds the duty
	usageFrom time.Time             // when usage was first told or asked for here
}

// needed is what a cache router would ask of the servers, and when it said so.
type needed struct {
	per map[string]float64
	at  time.Time
}

func newPresence() presence {
	return presence{attended: map[string]time.Time{}, present: map[string]time.Time{}, enrolled: map[string]time.Time{},
		needs: map[string]needed{}, usage: usage.NewCollector()}
}

// seenHere is who has asked this machine for news, for the leader, at times.
func (v *View) seenHere(leads bool) (seen []string) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if leads || now.Sub(v.presence.told) < toldEvery {
		return nil
	}
	v.presence.told = now
	for node, at := range v.presence.attended {
		if now.Sub(at) < 2*toldEvery {
			seen = append(seen, node)
		}
	}
	return seen
}

func (v *View) heardOf(seen []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, node := range seen {
		v.presence.present[node] = time.Now()
	}
}

// forgetAbsent forgets, at the leader, who has long been heard nowhere.
func (v *View) forgetAbsent(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for node, at := range v.presence.present {
		if now.Sub(at) > 2*absentFor {
			delete(v.presence.present, node)
		}
	}
}

// letGo forgets who has not been heard here for long, whatever this machine's role: a leader is told by nobody's question to
// look through its own list.
func (v *View) letGo(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := &v.presence
	if now.Sub(p.looked) < absentFor {
		return
	}
	p.looked = now
	for node, at := range p.attended {
		if now.Sub(at) > 2*absentFor {
			delete(p.attended, node)
			delete(p.enrolled, node)
		}
	}
	for node, n := range p.needs {
		if now.Sub(n.at) > needFor {
			delete(p.needs, node)
		}
	}
}

// attend notes a cache router that asks. It tells whether it is the first of some who are to be put into the roster.
func (v *View) attend(r clusterstate.Router) (first bool) {
	if r.Node == "" {
		return false
	}
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	p := &v.presence
	p.attended[r.Node] = now
	if v.history.State.Routers[r.Node] == r || now.Sub(p.enrolled[r.Node]) <= enrolAgain || v.position.leader == "" {
		return false
	}
	p.enrolled[r.Node] = now
	p.newcomers = append(p.newcomers, r)
	return len(p.newcomers) == 1
}

// takeNewcomers returns who is to be put into the roster, all in one command: each command is a change of every table.
func (v *View) takeNewcomers() []clusterstate.Router {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.presence.newcomers
	v.presence.newcomers = nil
	return all
}

// serversHeard notes servers whose beats this machine's registry has acknowledged. The leader is told with the followers' answers.
func (v *View) serversHeard(ids []string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		if len(v.presence.attended) < mostAttended {
			v.presence.attended[serverMark+id] = now
		}
	}
}

// noteNeed notes what a cache router would ask of the servers of services, for the machine that holds the duty.
func (v *View) noteNeed(n *clusterstate.Needs, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.presence.needs[n.Node]; !known && len(v.presence.needs) >= mostAttended {
		return false
	}
	v.presence.needs[n.Node] = needed{n.Per, now}
	return true
}

// needsNow tells, by service and cache router, what was noted of late.
func (v *View) needsNow(now time.Time) map[string]map[string]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := map[string]map[string]float64{}
	for node, n := range v.presence.needs {
		if now.Sub(n.at) > needFor {
			continue
		}
		for service, need := range n.per {
			if all[service] == nil {
				all[service] = map[string]float64{}
			}
			all[service][node] = need
		}
	}
	return all
}

// noteUsage keeps what a proxy has counted, for the machine that holds the duty.
func (v *View) noteUsage(r *usage.Report, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.presence.usageBegins(now)
	return v.presence.usage.Take(*r, v.history.State.Usage.Fixed)
}

// usageSums tells what proxies have counted in windows that are not fixed yet. It is an error until they have had the time to report here.
func (v *View) usageSums(now time.Time) ([]usage.Sum, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.presence.usageBegins(now)
	if now.Sub(v.presence.usageFrom) < usageHeardFor {
		return nil, errUsageUnheard
	}
	var proxies []string
	for node, r := range v.history.State.Routers {
		if !r.Inner {
			proxies = append(proxies, node)
		}
	}
	return v.presence.usage.Sums(v.history.State.Usage.Fixed, proxies), nil
}

func (p *presence) usageBegins(now time.Time) {
	if p.usageFrom.IsZero() {
		p.usageFrom = now
	}
}

// silentFor is for how long each of the names has been silent, in milliseconds; nobody is told to be silent for longer than
// this leader has led. It says nothing where this machine does not lead.
func (v *View) silentFor(names []string, now time.Time) (ages []int64, leads bool, leader string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.position.leads {
		return nil, false, v.position.leader
	}
	for _, name := range names {
		last := v.position.since
		for _, t := range [...]time.Time{v.presence.attended[name], v.presence.present[name]} {
			if t.After(last) {
				last = t
			}
		}
		ages = append(ages, now.Sub(last).Milliseconds())
	}
	return ages, true, ""
}
