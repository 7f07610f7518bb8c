package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The rules that are judged by the servers' books and the operators' history.
const (
	unasked = "UNASKED" // a server runs what no client asked for, or for another tenant than the one that holds the client's key
	route   = "ROUTE"   // a request runs though no configuration ever held its key
	config  = "CONFIG"  // a configuration that must not be in force, or one that is gone
	revoked = "CONFIG, revoked key"
	lost    = "LOST"   // a request that was passed on, whose kept connection closes without its answer
	denied  = "DENIED" // a 401, 403 or 404 for what all configurations allow
)

// mostToldOfRule is how many breaches of one rule are told one by one.
const mostToldOfRule = 4

// editionTime is the time after an acknowledgement from which machines in touch must know a configuration, as the settings have it unless named.
const editionTime = 2 * time.Second

// answerSlack is kept off a request's time where an end without an answer is held against a proxy.
const answerSlack = 500 * time.Millisecond

// findings are the breaches of rules, by rule.
type findings map[string][]string

func (f findings) add(rule, format string, args ...any) {
	f[rule] = append(f[rule], fmt.Sprintf(format, args...))
}

// told are the breaches as they are reported: some of each rule, and how many there were.
func (f findings) told() (all []string) {
	for _, rule := range slices.Sorted(maps.Keys(f)) {
		all = append(all, fmt.Sprintf("%s: %d breaches", rule, len(f[rule])))
		for _, what := range f[rule][:min(len(f[rule]), mostToldOfRule)] {
			all = append(all, rule+": "+what)
		}
	}
	return all
}

// evidence is what a day left behind for the rules of tenants and their keys.
type evidence struct {
	book     *book
	asks     map[string]*ask // by id
	versions []*version
	readings []reading
	revoke   time.Duration
	contact  time.Duration
	stores   []string // machines that stand between proxies and servers
	core     []string
	start    time.Time
}

// checkKeys holds what servers and operators saw against the rules of tenants, keys and configurations.
func (d *day) checkKeys() {
	h := d.operators.history
	h.mu.Lock()
	defer h.mu.Unlock()
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	e := evidence{book: d.book, asks: map[string]*ask{}, versions: h.versions, readings: h.readings, revoke: d.Shape.Revoke, contact: d.Shape.Contact, start: d.start}
	for _, a := range slices.Concat(d.book.asks, d.book.next) {
		e.asks[a.id] = a
	}
	for _, m := range d.net.StoreMachines() {
		e.stores = append(e.stores, m.Name)
	}
	for _, m := range d.net.EdgeMachines() {
		e.stores = append(e.stores, m.Name)
	}
	for _, m := range d.net.CoreMachines() {
		e.core = append(e.core, m.Name)
	}
	d.book.breaches = append(d.book.breaches, e.judge().told()...)
}

func (e *evidence) judge() findings {
	f := findings{}
	e.checkVersions(f)
	e.checkReadings(f)
	e.checkSenders(f)
	e.checkDenied(f)
	e.checkLost(f)
	return f
}

// at tells a moment in the day's time.
func (e *evidence) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(e.start).Seconds()) }

// checkSenders holds each run against its client's key: whom the server was told, and whether the key still was one.
func (e *evidence) checkSenders(f findings) {
	gone := e.removals()
	for _, r := range e.book.runs {
		if r.showsKey {
			f.add(unasked, "%s (%s) shows its client's key to %s", r.path, r.id, r.server)
		}
		a := e.asks[r.id]
		if a == nil {
			if !e.ownRead(r) {
				f.add(unasked, "%s runs %s for the id %q, which no client sent, in the name of %q", r.server, r.path, r.id, r.sender)
			}
			continue
		}
		if a.path != r.path {
			f.add(unasked, "%s runs %s for %s, which asked for %s", r.server, r.path, r.id, a.path)
		}
		holders, held := e.holders(a.key, r.begun)
		switch {
		case a.kind.open:
			if r.sender != "" && !holders[r.sender] {
				f.add(unasked, "%s is told that %s, of an open route with the key %q, comes from %q", r.server, r.id, a.key, r.sender)
			}
			continue
		case !held:
			f.add(route, "%s runs %s at %s for %s, whose key %q no configuration held", r.server, r.path, e.at(r.begun), r.id, a.key)
			continue
		case len(holders) == 0:
			f.add(config, "%s runs %s at %s for %s, whose key %s refused configurations alone held", r.server, r.path, e.at(r.begun), r.id, a.key)
			continue
		case !holders[r.sender]:
			f.add(unasked, "%s runs %s at %s for %s in the name of %q; the key %s is held by %s", r.server, r.path, e.at(r.begun), r.id, r.sender, a.key,
				strings.Join(slices.Sorted(maps.Keys(holders)), " or "))
		}
		if v := gone[a.key]; v != nil && a.begun.After(v.answered.Add(e.revoke)) {
			f.add(revoked, "%s runs %s at %s for %s, sent to %s %s after the acknowledgement of r%d, which took the key %s away", r.server, r.path, e.at(r.begun), r.id, a.edge,
				a.begun.Sub(v.answered).Round(time.Millisecond), v.edition, a.key)
		}
	}
}

// ownRead tells whether a run for an id that no client sent may be a proxy's read of an object on its own account: in nobody's name, or in that of
// a tenant whose client had asked for the object.
func (e *evidence) ownRead(r *run) bool {
	if !isShelved(r.path) || r.sender == "" {
		return isShelved(r.path)
	}
	return slices.ContainsFunc(e.book.asks, func(a *ask) bool {
		if a.path != r.path || !a.begun.Before(r.begun) {
			return false
		}
		holders, _ := e.holders(a.key, r.begun)
		return holders[r.sender]
	})
}

// holders are the tenants that hold a key in configurations that were sent before a moment and may be in force; held tells whether any
// configuration that was sent before names the key.
func (e *evidence) holders(key string, before time.Time) (tenants map[string]bool, held bool) {
	tenants = map[string]bool{}
	for _, v := range e.versions {
		tenant := v.keys[key]
		if key == "" || tenant == "" || !v.sent.Before(before) {
			continue
		}
		held = true
		if v.fault == valid && v.verdict != refused {
			tenants[tenant] = true
		}
	}
	return tenants, held
}

// removals is which acknowledged configuration took each key away first.
func (e *evidence) removals() map[string]*version {
	gone := map[string]*version{}
	for _, v := range e.versions {
		if v.verdict != acknowledged || v.fault != valid || v.on == nil {
			continue
		}
		for key := range v.on.keys {
			if v.keys[key] == "" && (gone[key] == nil || v.answered.Before(gone[key].answered)) {
				gone[key] = v
			}
		}
	}
	return gone
}

// checkVersions holds the operators' answers against one another.
func (e *evidence) checkVersions(f findings) {
	taken := map[*version]*version{} // by what it builds on
	for _, v := range e.versions {
		if v.verdict != acknowledged {
			continue
		}
		if v.fault != valid {
			f.add(config, "r%d is acknowledged though %s", v.edition, v.fault)
			continue
		}
		if v.on == nil {
			continue
		}
		if other := taken[v.on]; other != nil {
			f.add(config, "r%d and r%d, both on top of r%d, are acknowledged", other.edition, v.edition, v.on.edition)
		}
		taken[v.on] = v
		if v.on.verdict == refused {
			f.add(config, "r%d is acknowledged on top of r%d, which was refused", v.edition, v.on.edition)
		}
	}
}

// checkReadings holds what was read back against what had been acknowledged when the question was sent.
func (e *evidence) checkReadings(f findings) {
	for _, r := range e.readings {
		newest := 0
		for _, v := range e.versions {
			if v.verdict == acknowledged && v.fault == valid && v.answered.Before(r.sent) {
				newest = max(newest, v.edition)
			}
		}
		v := sentAs(e.versions, r.text)
		switch {
		case r.edition < newest:
			f.add(config, "r%d is read back at %s, after r%d was acknowledged", r.edition, e.at(r.sent), newest)
		case v == nil:
			f.add(config, "what is read back at %s as r%d is not what was sent under that number", e.at(r.sent), r.edition)
		case v.fault != valid:
			f.add(config, "r%d is read back at %s, though %s", r.edition, e.at(r.sent), v.fault)
		case v.verdict == refused:
			f.add(config, "r%d is read back at %s, though it was refused", r.edition, e.at(r.sent))
		}
	}
}

// checkDenied holds that nothing is refused which all configurations allow that may be in force, and that machines in touch know the keys of a
// configuration once `edition_time` has passed since its acknowledgement.
func (e *evidence) checkDenied(f findings) {
	steady := e.steadyKeys()
	for _, a := range e.book.asks {
		if a.kind.only || !slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, a.status) {
			continue
		}
		switch {
		case a.kind.open || steady[a.key]:
			f.add(denied, "%s answers %d at %s to %s (%s, key %q), which all configurations allow", a.edge, a.status, e.at(a.end), a.id, a.path, a.key)
		case e.knownFor(a) && e.inTouch(a):
			f.add(config, "%s, in touch, answers %d at %s to %s, whose key %s was acknowledged over %s before", a.edge, a.status, e.at(a.end), a.id, a.key, editionTime)
		}
	}
}

// knownFor tells whether a request's key was in all configurations that may have been in force from `edition_time` before it was sent to its end.
func (e *evidence) knownFor(a *ask) bool {
	known := false
	for _, v := range e.versions {
		if v.fault != valid || v.verdict == refused || !v.sent.Before(a.end) {
			continue
		}
		in := v.keys[a.key] != ""
		if known && !in {
			return false
		}
		known = known || in && v.verdict == acknowledged && v.answered.Add(editionTime).Before(a.begun)
	}
	return known
}

// inTouch tells whether neither a request's proxy nor the core had any trouble from `contact` before the request to its end.
func (e *evidence) inTouch(a *ask) bool {
	return !slices.ContainsFunc(append(slices.Clone(e.core), a.edge), func(m string) bool {
		return e.book.troubled(m, a.begun.Add(-e.contact), a.end, kill, pause, restart)
	})
}

// steadyKeys are the keys that all configurations hold that may be in force.
func (e *evidence) steadyKeys() map[string]bool {
	steady, first := map[string]bool{}, true
	for _, v := range e.versions {
		if v.fault != valid || v.verdict == refused {
			continue
		}
		if first {
			for key := range v.keys {
				steady[key] = true
			}
		}
		first = false
		maps.DeleteFunc(steady, func(key string, _ bool) bool { return v.keys[key] == "" })
	}
	return steady
}

// checkLost holds that a request on a kept connection is answered if its server has: its connection does not close before, on machines without a
// trouble that was not planned.
func (e *evidence) checkLost(f findings) {
	runs := map[string][]*run{}
	for _, r := range e.book.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	for _, a := range e.book.asks {
		if !a.kept || !a.cut || a.end.Sub(a.begun) > timeLeft-answerSlack || !answeredRuns(runs[a.id]) || e.unplanned(a) {
			continue
		}
		f.add(lost, "%s closes the connection at %s without an answer to %s (%s), sent %s before, which its server has answered%s", a.edge, e.at(a.end), a.id, a.path,
			a.end.Sub(a.begun).Round(time.Millisecond), e.planned(a))
	}
}

// answeredRuns tells whether a request ran and all its servers answered it.
func answeredRuns(runs []*run) bool {
	for _, r := range runs {
		if r.outcome != answered {
			return false
		}
	}
	return len(runs) > 0
}

// unplanned tells whether a machine that a request may have gone by had a trouble that was not planned, from `contact` before the request to its end.
func (e *evidence) unplanned(a *ask) bool {
	machines := []string{a.edge}
	if isShelved(a.path) {
		machines = append(machines, e.stores...)
	}
	return slices.ContainsFunc(machines, func(m string) bool { return e.book.troubled(m, a.begun.Add(-e.contact), a.end, kill, pause) })
}

// planned tells what was done on purpose at a request's proxy meanwhile.
func (e *evidence) planned(a *ask) string {
	for _, what := range []string{restart, reload} {
		if e.book.troubled(a.edge, a.begun.Add(-e.contact), a.end, what) {
			return " (" + what + ")"
		}
	}
	return ""
}

// isShelved tells whether a path is of objects.
func isShelved(path string) bool {
	for _, k := range kinds {
		if strings.HasPrefix(path, "/"+k.name+"/") {
			return k.class == "shelved"
		}
	}
	return false
}
