package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The rules that are checked against the recorded runs and the operators' history, as they are printed.
const (
	ruleUnasked = "UNASKED" // a server runs what no client requested, or for a tenant that does not hold the client's key
	ruleRoute   = "ROUTE"   // a request runs though no configuration ever held its key
	ruleConfig  = "CONFIG"  // a configuration is in force that must not be, or an acknowledged one is lost
	ruleRevoked = "CONFIG, revoked key"
	ruleLost    = "LOST"   // a keep-alive connection closes without the answer to a request that a server answered
	ruleDenied  = "DENIED" // a 401, 403 or 404 for what all configurations allow
	ruleStale   = "STALE"  // a cached response is older than its route allows
)

// maxPrintedPerRule is the maximum number of violations of one rule that are printed.
const maxPrintedPerRule = 4

// editionTime is the time after its acknowledgement within which connected machines must apply a configuration: the default of the setting
// edition_time.
const editionTime = 2 * time.Second

// answerSlack is subtracted from a request's timeout: a connection that closes later than that without an answer is no violation.
const answerSlack = 500 * time.Millisecond

// findings are the violations by rule.
type findings map[string][]string

// add records a violation of a rule.
func (f findings) add(rule, format string, args ...any) {
	f[rule] = append(f[rule], fmt.Sprintf(format, args...))
}

// messages returns the violations as they are reported: for each rule their number and the first maxPrintedPerRule.
func (f findings) messages() (messages []string) {
	for _, rule := range slices.Sorted(maps.Keys(f)) {
		messages = append(messages, fmt.Sprintf("%s: %d violations", rule, len(f[rule])))
		for _, violation := range f[rule][:min(len(f[rule]), maxPrintedPerRule)] {
			messages = append(messages, rule+": "+violation)
		}
	}
	return messages
}

// evidence is the recorded data of a run that the rules of tenants and their keys are checked against.
type evidence struct {
	recorder       *recorder
	requests       map[string]*request // by id
	versions       []*version
	readings       []reading
	revoke         time.Duration
	contact        time.Duration
	intermediaries []string // machines that may pass a request on between its proxy and a server
	core           []string
	objects        *objects
	start          time.Time
}

// checkKeys checks the recorded data against the rules of tenants, keys and configurations.
func (s *soakRun) checkKeys() {
	h := s.operators.history
	h.mu.Lock()
	defer h.mu.Unlock()
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	e := evidence{recorder: s.recorder, requests: map[string]*request{}, versions: h.versions, readings: h.readings, revoke: s.Shape.Revoke, contact: s.Shape.Contact, objects: s.objects,
		start: s.start}
	for _, req := range slices.Concat(s.recorder.requests, s.recorder.pipelined) {
		e.requests[req.id] = req
	}
	for _, m := range s.net.StoreMachines() {
		e.intermediaries = append(e.intermediaries, m.Name)
	}
	for _, m := range s.net.EdgeMachines() {
		e.intermediaries = append(e.intermediaries, m.Name)
	}
	for _, m := range s.net.CoreMachines() {
		e.core = append(e.core, m.Name)
	}
	s.recorder.violations = append(s.recorder.violations, e.check().messages()...)
}

// check runs all checks of the rules and returns the violations.
func (e *evidence) check() findings {
	f := findings{}
	e.checkVersions(f)
	e.checkReadings(f)
	e.checkSenders(f)
	e.checkDenied(f)
	e.checkLost(f)
	e.checkStale(f)
	return f
}

// formatTime formats a time in seconds since the start of the day.
func (e *evidence) formatTime(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(e.start).Seconds())
}

// checkSenders checks each run against its client's key: the tenant that the server was told must hold the key, and the key must
// not have been removed for longer than `revoke`.
func (e *evidence) checkSenders(f findings) {
	removals := e.removals()
	for _, r := range e.recorder.runs {
		if r.keyExposed {
			f.add(ruleUnasked, "%s (%s) exposes its client's key to %s", r.path, r.id, r.server)
		}
		req := e.requests[r.id]
		if req == nil {
			if !e.isCacheRead(r) {
				f.add(ruleUnasked, "%s runs %s for the id %q, which no client sent, in the name of %q", r.server, r.path, r.id, r.sender)
			}
			continue
		}
		if req.path != r.path {
			f.add(ruleUnasked, "%s runs %s for %s, which requested %s", r.server, r.path, r.id, req.path)
		}
		holders, held := e.holders(req.key, r.started)
		switch {
		case req.kind.public:
			if r.sender != "" && !holders[r.sender] {
				f.add(ruleUnasked, "%s is told that %s, of a public route with the key %q, comes from %q", r.server, r.id, req.key, r.sender)
			}
			continue
		case !held:
			f.add(ruleRoute, "%s runs %s at %s for %s, whose key %q no configuration held", r.server, r.path, e.formatTime(r.started), r.id, req.key)
			continue
		case len(holders) == 0:
			f.add(ruleConfig, "%s runs %s at %s for %s, whose key %s only refused configurations held", r.server, r.path, e.formatTime(r.started), r.id, req.key)
			continue
		case !holders[r.sender]:
			f.add(ruleUnasked, "%s runs %s at %s for %s in the name of %q; the key %s is held by %s", r.server, r.path, e.formatTime(r.started), r.id, r.sender, req.key,
				strings.Join(slices.Sorted(maps.Keys(holders)), " or "))
		}
		if v := removals[req.key]; v != nil && req.started.After(v.answered.Add(e.revoke)) {
			f.add(ruleRevoked, "%s runs %s at %s for %s, sent to %s %s after the acknowledgement of r%d, which removed the key %s", r.server, r.path, e.formatTime(r.started), r.id, req.edge,
				req.started.Sub(v.answered).Round(time.Millisecond), v.edition, req.key)
		}
	}
}

// isCacheRead reports whether a run with an id that no client sent may be a proxy's own read of a cached object: without a tenant,
// or for a tenant whose client requested the object before.
func (e *evidence) isCacheRead(r *run) bool {
	if !isCacheablePath(r.path) || r.sender == "" {
		return isCacheablePath(r.path)
	}
	return slices.ContainsFunc(e.recorder.requests, func(req *request) bool {
		if req.path != r.path || !req.started.Before(r.started) {
			return false
		}
		holders, _ := e.holders(req.key, r.started)
		return holders[r.sender]
	})
}

// holders returns the tenants that hold a key in valid configurations that were put before a time and not refused; held reports whether any
// configuration that was put before then contains the key.
func (e *evidence) holders(key string, before time.Time) (tenants map[string]bool, held bool) {
	tenants = map[string]bool{}
	for _, v := range e.versions {
		tenant := v.keys[key]
		if key == "" || tenant == "" || !v.sent.Before(before) {
			continue
		}
		held = true
		if v.defect == valid && v.result != refused {
			tenants[tenant] = true
		}
	}
	return tenants, held
}

// removals maps each removed key to the configuration without it that was acknowledged first.
func (e *evidence) removals() map[string]*version {
	removals := map[string]*version{}
	for _, v := range e.versions {
		if v.result != acknowledged || v.defect != valid || v.base == nil {
			continue
		}
		for key := range v.base.keys {
			if v.keys[key] == "" && (removals[key] == nil || v.answered.Before(removals[key].answered)) {
				removals[key] = v
			}
		}
	}
	return removals
}

// checkVersions checks the results of the operators' puts against each other.
func (e *evidence) checkVersions(f findings) {
	acknowledgedByBase := map[*version]*version{} // by their base
	for _, v := range e.versions {
		if v.result != acknowledged {
			continue
		}
		if v.defect != valid {
			f.add(ruleConfig, "r%d is acknowledged though %s", v.edition, v.defect)
			continue
		}
		if v.base == nil {
			continue
		}
		if other := acknowledgedByBase[v.base]; other != nil {
			f.add(ruleConfig, "r%d and r%d, both on top of r%d, are acknowledged", other.edition, v.edition, v.base.edition)
		}
		acknowledgedByBase[v.base] = v
		if v.base.result == refused {
			f.add(ruleConfig, "r%d is acknowledged on top of r%d, which was refused", v.edition, v.base.edition)
		}
	}
}

// checkReadings checks what was read back against what had been acknowledged when the read was sent.
func (e *evidence) checkReadings(f findings) {
	for _, r := range e.readings {
		newest := 0
		for _, v := range e.versions {
			if v.result == acknowledged && v.defect == valid && v.answered.Before(r.sent) {
				newest = max(newest, v.edition)
			}
		}
		v := versionWithText(e.versions, r.text)
		switch {
		case r.edition < newest:
			f.add(ruleConfig, "r%d is read back at %s, after r%d was acknowledged", r.edition, e.formatTime(r.sent), newest)
		case v == nil:
			f.add(ruleConfig, "the text read back at %s as r%d is not what was put under that edition", e.formatTime(r.sent), r.edition)
		case v.defect != valid:
			f.add(ruleConfig, "r%d is read back at %s, though %s", r.edition, e.formatTime(r.sent), v.defect)
		case v.result == refused:
			f.add(ruleConfig, "r%d is read back at %s, though it was refused", r.edition, e.formatTime(r.sent))
		}
	}
}

// checkDenied checks that nothing is denied that all configurations allow that may be in force, and that connected machines accept
// the keys of a configuration once `edition_time` has passed since its acknowledgement.
func (e *evidence) checkDenied(f findings) {
	steady := e.permanentKeys()
	for _, req := range e.recorder.requests {
		if req.kind.oddEditionsOnly || !slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, req.status) {
			continue
		}
		switch {
		case req.kind.public || steady[req.key]:
			f.add(ruleDenied, "%s answers %d at %s to %s (%s, key %q), which all configurations allow", req.edge, req.status, e.formatTime(req.end), req.id, req.path, req.key)
		case e.knownFor(req) && e.undisturbed(req):
			f.add(ruleConfig, "%s, though connected, answers %d at %s to %s, whose key %s was acknowledged over %s before", req.edge, req.status, e.formatTime(req.end), req.id, req.key, editionTime)
		}
	}
}

// knownFor reports whether a request's key was in all configurations that may have been in force from `edition_time` before it was
// sent to its end.
func (e *evidence) knownFor(a *request) bool {
	known := false
	for _, v := range e.versions {
		if v.defect != valid || v.result == refused || !v.sent.Before(a.end) {
			continue
		}
		held := v.keys[a.key] != ""
		if known && !held {
			return false
		}
		known = known || held && v.result == acknowledged && v.answered.Add(editionTime).Before(a.started)
	}
	return known
}

// undisturbed reports whether neither a request's proxy nor the core had a kill, pause or restart from `contact` before the request
// to its end.
func (e *evidence) undisturbed(req *request) bool {
	return !slices.ContainsFunc(append(slices.Clone(e.core), req.edge), func(m string) bool {
		return e.recorder.hadFault(m, req.started.Add(-e.contact), req.end, kill, pause, restart)
	})
}

// permanentKeys returns the keys that every configuration holds that may have been in force.
func (e *evidence) permanentKeys() map[string]bool {
	permanent, first := map[string]bool{}, true
	for _, v := range e.versions {
		if v.defect != valid || v.result == refused {
			continue
		}
		if first {
			for key := range v.keys {
				permanent[key] = true
			}
		}
		first = false
		maps.DeleteFunc(permanent, func(key string, _ bool) bool { return v.keys[key] == "" })
	}
	return permanent
}

// checkLost checks that a keep-alive connection does not close before the answer to a request that its servers answered, unless a
// machine on the way had an unplanned fault.
func (e *evidence) checkLost(f findings) {
	runs := map[string][]*run{}
	for _, r := range e.recorder.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	for _, req := range e.recorder.requests {
		if !req.keepAlive || !req.incomplete || req.end.Sub(req.started) > requestTimeout-answerSlack || !allAnswered(runs[req.id]) || e.hadUnplannedFault(req) {
			continue
		}
		f.add(ruleLost, "%s closes the connection at %s without an answer to %s (%s), sent %s before, which its server had answered%s", req.edge, e.formatTime(req.end), req.id, req.path,
			req.end.Sub(req.started).Round(time.Millisecond), e.describePlannedFault(req))
	}
}

// allAnswered reports whether there are runs and all of them were answered.
func allAnswered(runs []*run) bool {
	for _, r := range runs {
		if r.outcome != answered {
			return false
		}
	}
	return len(runs) > 0
}

// hadUnplannedFault reports whether a machine that a request may have passed was killed or paused from `contact` before the request
// to its end.
func (e *evidence) hadUnplannedFault(req *request) bool {
	machines := []string{req.edge}
	if isCacheablePath(req.path) {
		machines = append(machines, e.intermediaries...)
	}
	return slices.ContainsFunc(machines, func(m string) bool { return e.recorder.hadFault(m, req.started.Add(-e.contact), req.end, kill, pause) })
}

// describePlannedFault names the restart or reload of a request's proxy from `contact` before the request to its end; empty if
// there was none.
func (e *evidence) describePlannedFault(req *request) string {
	for _, kind := range []string{restart, reload} {
		if e.recorder.hadFault(req.edge, req.started.Add(-e.contact), req.end, kind) {
			return " (" + kind + ")"
		}
	}
	return ""
}

// isCacheablePath reports whether a path belongs to a cacheable route.
func isCacheablePath(path string) bool {
	kind := kindOfPath(path)
	return kind != nil && kind.class == "shelved"
}

// kindOfPath returns the kind of the requests for a path; nil if there is none.
func kindOfPath(path string) *requestKind {
	for i := range requestKinds {
		if strings.HasPrefix(path, "/"+requestKinds[i].name+"/") {
			return &requestKinds[i]
		}
	}
	return nil
}
