package simulation

import (
	"fmt"
	"math"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/registry"
)

const (
	operatorCount     = 3
	maxUpdateAttempts = 6
	proposeTimeout    = 2500 * time.Millisecond // of one attempt, at the machine that handles it
	callerTimeout     = time.Second             // of a caller outside
	forwardTimeout    = 700 * time.Millisecond  // after which an unanswered forwarded request is retried
	pollInterval      = 5 * time.Millisecond    // at which a process polls its own state for a change
	serverCount       = 4
	heartbeatInterval = 1500 * time.Millisecond
)

// clients is the state of the operators and servers that call the core machines.
type clients struct {
	history             []call
	updatesAcknowledged int
	readsAnswered       int
	acceptedUpdates     []configUpdate // acknowledged updates
	updateLatencies     []time.Duration
	newestKnown         clusterstate.Version
	knownVersions       []knownVersion
	updateStorm         bool
	dutyDelay           time.Duration
	onFirstCommit       func(by *host) // called when a host is the first to commit an update, before it acknowledges it
	lastID              int
}

// knownVersion is a version with the time at which it was first acknowledged to or read by a client.
type knownVersion struct {
	at      time.Time
	version clusterstate.Version
}

// recordKnown records that a client knows a version.
func (w *world) recordKnown(v clusterstate.Version) {
	if v > w.clients.newestKnown {
		w.clients.newestKnown = v
		w.clients.knownVersions = append(w.clients.knownVersions, knownVersion{w.now, v})
	}
}

// knownBefore returns the newest version that clients knew before t.
func (w *world) knownBefore(t time.Time) (v clusterstate.Version) {
	for _, k := range w.clients.knownVersions {
		if k.at.Before(t) {
			v = k.version
		}
	}
	return v
}

// configUpdate is a new configuration that an operator submits.
type configUpdate struct {
	version, base clusterstate.Version
	tag           string
	body          []byte
}

// steadyRoutes is the number of routes that are equal in all configurations, so that replicas are sent only the changed ones.
const steadyRoutes = 4

// newConfigUpdate returns a configuration that differs from others of the same version only in the name of its first route, the tag.
func newConfigUpdate(version, base clusterstate.Version, tag string) configUpdate {
	body := fmt.Appendf(nil, `{"edition":"%s","based_on":"%s","parcels":[{"parcel_kind":"carriers","label":{"name":"c"},"manifest":{"health_path":"/h"}}`, version, base)
	for i := range 1 + steadyRoutes {
		name := tag
		if i > 0 {
			name = fmt.Sprint("steady-", i)
		}
		body = fmt.Appendf(body, `,{"parcel_kind":"routes","label":{"name":"%s"},"manifest":{"domain":"d","path_prefix":"/%d/","mail_class":"resendable","timeout":"1s","carrier":"c"}}`, name, i)
	}
	return configUpdate{version, base, tag, append(body, "]}"...)}
}

// parseTag returns a configuration's version and the tag that distinguishes configurations of the same version.
func parseTag(body []byte) (clusterstate.Version, string) {
	m, err := clusterstate.ReadManifest(body)
	if err != nil || len(m.Routes) == 0 {
		return 0, ""
	}
	return m.Version, m.Routes[0].Name
}

func (w *world) startClients() {
	for i := range operatorCount {
		w.after(time.Second+w.randomDuration(0, time.Second), func() { w.runOperator(i) })
	}
	for i := range serverCount {
		w.after(time.Second+w.randomDuration(0, time.Second), func() { w.runServer(fmt.Sprint("server-", i)) })
	}
	w.after(2*time.Second, w.runDuty)
}

// randomHost draws the machine that a caller tries next among those that were not removed.
func (w *world) randomHost() *host {
	for {
		if h := w.hosts[w.rng.IntN(len(w.hosts))]; !h.removed {
			return h
		}
	}
}

// runOperator submits an update or reads the configuration, pauses and repeats.
func (w *world) runOperator(operator int) {
	if w.since() > faultsEnd+quietPeriod/2 {
		return
	}
	pause := w.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	if w.clients.updateStorm {
		pause = w.randomDuration(10*time.Millisecond, 60*time.Millisecond)
	}
	then := func() { w.after(pause, func() { w.runOperator(operator) }) }
	w.clients.lastID++
	choice := w.rng.IntN(10)
	switch accepted := w.clients.acceptedUpdates; {
	case choice < 3:
		w.readConfig(operator, then)
	case choice < 4 && len(accepted) > 0: // repeats an update that was accepted earlier
		w.submitUpdate(operator, accepted[w.rng.IntN(len(accepted))], then)
	default: // two operators may choose the same version and the same base
		base := w.clients.newestKnown
		w.submitUpdate(operator, newConfigUpdate(base+1+clusterstate.Version(w.rng.IntN(2)), base, fmt.Sprintf("t-%d", w.clients.lastID)), then)
	}
}

// submitUpdate sends an update until its outcome is known or the operator gives up, then calls then.
func (w *world) submitUpdate(operator int, update configUpdate, then func()) {
	c := call{client: operator, isUpdate: true, update: update, started: w.now}
	w.trySubmit(&c, 0, then)
}

func (w *world) trySubmit(c *call, attempt int, then func()) {
	if attempt == maxUpdateAttempts {
		w.recordCall(*c, clusterstate.Outcome{}, false)
		then()
		return
	}
	h := w.randomHost()
	done := false
	finish := func(r configstore.Reply) {
		if done {
			return
		}
		done = true
		if !r.Known {
			w.after(time.Duration(attempt+1)*50*time.Millisecond, func() { w.trySubmit(c, attempt+1, then) })
			return
		}
		w.recordCall(*c, r.Outcome, true)
		if r.Status == clusterstate.StatusOK {
			w.clients.updateLatencies = append(w.clients.updateLatencies, w.now.Sub(c.started))
			w.recordAcknowledged(c.update, h)
		}
		then()
	}
	command, err := w.copies[0].replica.ConfigCommand(c.update.body) // as a registry does, whose replica may be stale
	if err != nil {
		w.fail("update %s is invalid: %v", c.update.version, err)
		return
	}
	w.propose(h, command.Encode(), func(r configstore.Reply) {
		w.deliver(h.address, "operator", func() { finish(r) })
	})
	w.after(callerTimeout+time.Duration(attempt)*200*time.Millisecond, func() { finish(configstore.Reply{}) })
}

func (w *world) recordAcknowledged(update configUpdate, by *host) {
	w.clients.updatesAcknowledged++
	w.clients.acceptedUpdates = append(w.clients.acceptedUpdates, update)
	w.recordKnown(update.version)
	w.trace("acknowledged %s on %s: %s by host %d", update.version, update.base, update.tag, by.index)
}

// readConfig reads the current configuration. An unanswered read is not recorded in the history.
func (w *world) readConfig(operator int, then func()) {
	c := call{client: operator, started: w.now}
	done := false
	finish := func(version clusterstate.Version, tag string, ok bool) {
		if done {
			return
		}
		done = true
		if ok {
			c.update = configUpdate{version: version, tag: tag}
			w.recordCall(c, clusterstate.Outcome{Status: clusterstate.StatusOK}, true)
			w.clients.readsAnswered++
			w.recordKnown(version)
		}
		then()
	}
	h := w.randomHost()
	w.readBarrier(h, func(index uint64, ok bool) {
		if !ok {
			w.deliver(h.address, "operator", func() { finish(0, "", false) })
			return
		}
		w.whenApplied(h, index, func() {
			var body []byte
			readState(h.machine, func(s *clusterstate.State) { body = s.Body })
			version, tag := parseTag(body)
			w.deliver(h.address, "operator", func() { finish(version, tag, true) })
		})
	})
	w.after(callerTimeout, func() { finish(0, "", false) })
}

// propose has the called machine propose a command, which it forwards to the leader as its config store does.
func (w *world) propose(h *host, data []byte, reply func(configstore.Reply)) {
	sendRequest(w, h, w.now.Add(proposeTimeout), func(m *configstore.Machine, done func(configstore.Reply)) { m.Propose(data, done) },
		func(r configstore.Reply) bool { return r.Known }, reply)
}

// readBarrier requests a read barrier by way of the called machine.
func (w *world) readBarrier(h *host, reply func(index uint64, ok bool)) {
	sendRequest(w, h, w.now.Add(callerTimeout), func(m *configstore.Machine, done func(configstore.Barrier)) { m.RequestBarrier(done) },
		func(b configstore.Barrier) bool { return b.OK }, func(b configstore.Barrier) { reply(b.Index, b.OK) })
}

// readBarrierAt is readBarrier for a request of the machine's own registry.
func (w *world) readBarrierAt(h *host, reply func(index uint64, ok bool)) {
	startRequest(w, h, w.now.Add(callerTimeout), func(m *configstore.Machine, done func(configstore.Barrier)) { m.RequestBarrier(done) },
		func(b configstore.Barrier) bool { return b.OK }, func(b configstore.Barrier) { reply(b.Index, b.OK) })
}

// sendRequest sends a request to a machine, which passes it to the leader as its process does: configstore.LeaderRequest decides each step.
// A process that has ended or is frozen does not reply.
func sendRequest[T any](w *world, h *host, deadline time.Time, operation func(*configstore.Machine, func(T)), succeeded func(T) bool, reply func(T)) {
	w.deliver("operator", h.address, func() { startRequest(w, h, deadline, operation, succeeded, reply) })
}

// startRequest is sendRequest for a request that has already arrived at the machine.
func startRequest[T any](w *world, h *host, deadline time.Time, operation func(*configstore.Machine, func(T)), succeeded func(T) bool, reply func(T)) {
	p := &leaderRequest[T]{w: w, h: h, incarnation: h.incarnation, steps: configstore.NewLeaderRequest(false, deadline),
		operation: operation, succeeded: succeeded, reply: reply}
	p.forward = func(to *host, answer func(T)) {
		forwardRequest(w, h, to, deadline, operation, succeeded, answer)
		var none T
		w.after(forwardTimeout, func() { answer(none) })
	}
	p.checkLeader()
}

// forwardRequest sends a request to another machine, once.
func forwardRequest[T any](w *world, from, to *host, deadline time.Time, operation func(*configstore.Machine, func(T)), succeeded func(T) bool, answer func(T)) {
	sendReply := func(r T) { w.deliver(to.address, from.address, func() { from.enqueue(func() { answer(r) }) }) }
	w.deliver(from.address, to.address, func() {
		p := &leaderRequest[T]{w: w, h: to, incarnation: to.incarnation, steps: configstore.NewLeaderRequest(true, deadline),
			operation: operation, succeeded: succeeded, reply: sendReply}
		p.checkLeader()
	})
}

// leaderRequest is a request for the leader at one machine. It performs the steps of configstore.LeaderRequest in virtual time.
type leaderRequest[T any] struct {
	w           *world
	h           *host
	incarnation int
	steps       *configstore.LeaderRequest
	operation   func(*configstore.Machine, func(T))
	forward     func(to *host, answer func(T)) // sends the request to the leader at another machine
	succeeded   func(T) bool
	reply       func(T)
}

// checkLeader looks up the leader and performs the next step.
func (p *leaderRequest[T]) checkLeader() {
	switch {
	case p.h.machine == nil || p.h.incarnation != p.incarnation:
		return
	case p.h.frozen:
		p.h.deferred = append(p.h.deferred, p.checkLeader)
		return
	}
	var none T
	here, at := p.h.machine.View.Leader()
	p.perform(p.steps.OnLeader(p.w.now, here, at), none)
}

// perform executes one step. result is the answer that an EndAnswered step replies with.
func (p *leaderRequest[T]) perform(step configstore.Step, result T) {
	var none T
	switch step.Kind {
	case configstore.HandleLocally:
		p.h.enqueue(func() { p.operation(p.h.machine, p.firstAnswer()) })
	case configstore.ForwardToLeader:
		if to := p.w.hostAt(step.To); to != nil && to != p.h {
			p.forward(to, p.firstAnswer())
		} else {
			p.w.after(forwardTimeout, func() { p.perform(p.steps.OnReply(p.w.now, false), none) })
		}
	case configstore.WaitForLeader:
		p.w.after(pollInterval, p.checkLeader)
	case configstore.RetryLater:
		p.w.after(step.After, p.checkLeader)
	case configstore.EndAnswered:
		p.reply(result)
	default:
		p.reply(none)
	}
}

// firstAnswer returns a callback that handles the first answer and ignores later ones.
func (p *leaderRequest[T]) firstAnswer() func(T) {
	answered := false
	return func(r T) {
		if !answered {
			answered = true
			p.perform(p.steps.OnReply(p.w.now, p.succeeded(r)), r)
		}
	}
}

// whenApplied calls then once a machine has applied the entry at index; never, if its process ends first.
func (w *world) whenApplied(h *host, index uint64, then func()) {
	incarnation := h.incarnation
	var check func()
	check = func() {
		switch {
		case h.machine == nil || h.incarnation != incarnation:
		case h.frozen:
			h.deferred = append(h.deferred, check)
		case h.machine.View.AppliedIndex() >= index:
			then()
		default:
			w.after(pollInterval, check)
		}
	}
	check()
}

// runServer simulates a server: it sends heartbeats, closes, leaves and is followed by a new server. A delayed copy of its first
// heartbeat must not bring it back.
func (w *world) runServer(name string) {
	if w.since() > faultsEnd {
		return
	}
	w.clients.lastID++
	s := clusterstate.Server{ID: fmt.Sprintf("%s-%d", name, w.clients.lastID), Service: "c", Address: "10.1.0.1:80",
		State: clusterstate.ServerOpen, Beat: 1}
	nextHeartbeat := func(state string) clusterstate.Server {
		s.Beat++
		s.State = state
		return s
	}
	delayed := nextHeartbeat(clusterstate.ServerOpen) // arrives again after later heartbeats and the leave
	w.sendUntilAcknowledged(w.heartbeatCall(delayed), func() {
		w.sendHeartbeats(func() clusterstate.Server { return nextHeartbeat(clusterstate.ServerOpen) },
			w.now.Add(w.randomDuration(time.Second, 20*time.Second)), func() {
				w.sendUntilAcknowledged(w.heartbeatCall(nextHeartbeat(clusterstate.ServerClosing)), func() {
					w.checks.closingAcknowledged[s.ID] = true
					if !w.checks.model.closing[s.ID] {
						w.fail("closing of server %s was acknowledged, but is not in the log", s.ID)
					}
					w.sendOnce(w.heartbeatCall(delayed))
					w.sendUntilAcknowledged(w.commandCall(clusterstate.Command{Leave: s.ID}), func() {
						w.checks.leaveAcknowledged[s.ID] = true
						w.sendOnce(w.heartbeatCall(delayed))
						w.after(w.randomDuration(0, 3*time.Second), func() { w.sendOnce(w.heartbeatCall(delayed)) })
						w.runServer(name)
					})
				})
			})
	})
}

// sendHeartbeats sends a server's heartbeats until a point in time, then calls then.
func (w *world) sendHeartbeats(nextHeartbeat func() clusterstate.Server, until time.Time, then func()) {
	if !w.now.Before(until) {
		then()
		return
	}
	w.sendOnce(w.heartbeatCall(nextHeartbeat()))
	w.after(heartbeatInterval, func() { w.sendHeartbeats(nextHeartbeat, until, then) })
}

// registryCall handles a call at the registry of a host and passes the result to reply on the same host.
type registryCall func(h *host, reply func(configstore.Reply))

// commandCall returns a call that proposes a command for the log.
func (w *world) commandCall(c clusterstate.Command) registryCall {
	return func(h *host, reply func(configstore.Reply)) {
		startRequest(w, h, w.now.Add(proposeTimeout), func(m *configstore.Machine, done func(configstore.Reply)) { m.Propose(c.Encode(), done) },
			func(r configstore.Reply) bool { return r.Known }, reply)
	}
}

// heartbeatCall returns a server's heartbeat call. The registry acknowledges it at once where it needs no log entry
// (registry.CanAcknowledge), and proposes it otherwise.
func (w *world) heartbeatCall(s clusterstate.Server) registryCall {
	return func(h *host, reply func(configstore.Reply)) {
		late := h.heartbeats.Record(s, w.now)
		registryCopy := w.copies[h.index%len(w.copies)] // stands for the registry's own replica, which may be stale
		var listedServer clusterstate.Server
		listed := false
		registryCopy.replica.View(func(state *clusterstate.State) { listedServer, listed = state.Servers[s.ID] })
		if registry.CanAcknowledge(s, late, listedServer, listed, registryCopy.connected()) || w.options.AcknowledgeWithoutLog {
			reply(configstore.Reply{Known: true, Outcome: clusterstate.Outcome{Status: clusterstate.StatusOK}})
			return
		}
		heartbeat := s
		w.commandCall(clusterstate.Command{Server: &heartbeat})(h, reply)
	}
}

// sendCall delivers a call to a machine. A process that has ended does not reply, a frozen one only after it is thawed.
func (w *world) sendCall(h *host, call registryCall, reply func(configstore.Reply)) {
	w.deliver("server", h.address, func() {
		do := func() {
			if h.machine != nil {
				call(h, reply)
			}
		}
		if h.frozen {
			h.deferred = append(h.deferred, do)
			return
		}
		do()
	})
}

// sendOnce makes a call once and ignores its outcome.
func (w *world) sendOnce(call registryCall) {
	w.sendCall(w.randomHost(), call, func(configstore.Reply) {})
}

// sendUntilAcknowledged retries a call until it is acknowledged, then calls then.
func (w *world) sendUntilAcknowledged(call registryCall, then func()) {
	if w.since() > faultsEnd+quietPeriod/2 {
		return
	}
	done := false
	finish := func(ok bool) {
		if done {
			return
		}
		done = true
		if ok {
			then()
		} else {
			w.after(50*time.Millisecond, func() { w.sendUntilAcknowledged(call, then) })
		}
	}
	h := w.randomHost()
	w.sendCall(h, call, func(r configstore.Reply) {
		w.deliver(h.address, "server", func() { finish(r.Known && r.Status == clusterstate.StatusOK) })
	})
	w.after(callerTimeout, func() { finish(false) })
}

// runDuty does the duty holder's work: it declares servers lost under its epoch, some of which are alive again by then.
func (w *world) runDuty() {
	if w.since() > faultsEnd+quietPeriod/2 {
		return
	}
	for _, h := range w.hosts {
		if !h.up() {
			continue
		}
		duty := h.machine.View.Duty()
		if duty.Holder != ipOf(h.index) {
			continue
		}
		lost := ""
		readState(h.machine, func(s *clusterstate.State) {
			for id := range s.Servers {
				if lost == "" || id < lost {
					lost = id
				}
			}
		})
		if lost != "" {
			delay := w.randomDuration(0, 100*time.Millisecond) + w.clients.dutyDelay
			w.after(delay, func() { w.sendOnce(w.commandCall(clusterstate.Command{Lost: lost, Epoch: duty.Epoch})) })
		}
	}
	w.clients.dutyDelay = 0
	w.after(w.randomDuration(time.Second, 3*time.Second), w.runDuty)
}

// call is one operator's call in the history that checkHistory checks.
type call struct {
	client   int
	isUpdate bool
	update   configUpdate
	status   int // 0 if the outcome is unknown
	started  time.Time
	ended    time.Time
}

func (w *world) recordCall(c call, out clusterstate.Outcome, known bool) {
	c.ended = w.now
	if known {
		c.status = out.Status
	} else {
		c.ended = time.Unix(0, math.MaxInt64)
	}
	w.clients.history = append(w.clients.history, c)
}
