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
	operators    = 3
	orderTries   = 6
	orderWithin  = 2500 * time.Millisecond // of one try, at the machine that takes it
	patience     = time.Second             // of a caller
	forwardAfter = 700 * time.Millisecond  // without a word, a forwarded question is asked again
	lookAgain    = 5 * time.Millisecond    // who waits for news of a machine's own state looks so often
	servers      = 4
	beatEvery    = 1500 * time.Millisecond
)

// clients are who calls the core machines from outside.
type clients struct {
	history      []call
	acknowledged int
	answered     int
	taken        []order // that were acknowledged
	took         []time.Duration
	known        clusterstate.Version
	knownSince   []knownVersion
	storm        bool
	dutyStall    time.Duration
	onTaken      func(by *host) // a machine is the first to take an order; its acknowledgement is about to leave
	next         int
}

// knownVersion is when a version was first acknowledged to somebody, or read.
type knownVersion struct {
	at      time.Time
	version clusterstate.Version
}

// learn notes that a version is known outside.
func (w *world) learn(v clusterstate.Version) {
	if v > w.client.known {
		w.client.known = v
		w.client.knownSince = append(w.client.knownSince, knownVersion{w.now, v})
	}
}

// knownBefore is the newest version that was known at a time.
func (w *world) knownBefore(t time.Time) (v clusterstate.Version) {
	for _, k := range w.client.knownSince {
		if k.at.Before(t) {
			v = k.version
		}
	}
	return v
}

// order is a configuration that an operator sends.
type order struct {
	version, base clusterstate.Version
	tag           string
	body          []byte
}

// steadyRoutes are the same in all configurations, so that what is sent on is what changes.
const steadyRoutes = 4

// newOrder makes a configuration whose only difference to others of its number is its first route's name.
func newOrder(version, base clusterstate.Version, tag string) order {
	body := fmt.Appendf(nil, `{"edition":"%s","based_on":"%s","parcels":[{"parcel_kind":"carriers","label":{"name":"c"},"manifest":{"health_path":"/h"}}`, version, base)
	for i := range 1 + steadyRoutes {
		name := tag
		if i > 0 {
			name = fmt.Sprint("steady-", i)
		}
		body = fmt.Appendf(body, `,{"parcel_kind":"routes","label":{"name":"%s"},"manifest":{"domain":"d","path_prefix":"/%d/","mail_class":"resendable","timeout":"1s","carrier":"c"}}`, name, i)
	}
	return order{version, base, tag, append(body, "]}"...)}
}

// tagOf is the name that tells configurations of one number apart.
func tagOf(body []byte) (clusterstate.Version, string) {
	m, err := clusterstate.ParseManifest(body)
	if err != nil || len(m.Routes) == 0 {
		return 0, ""
	}
	return m.Version, m.Routes[0].Name
}

func (w *world) beginClients() {
	for i := range operators {
		w.after(time.Second+w.between(0, time.Second), func() { w.operate(i) })
	}
	for i := range servers {
		w.after(time.Second+w.between(0, time.Second), func() { w.liveAsServer(fmt.Sprint("server-", i)) })
	}
	w.after(2*time.Second, w.doDuty)
}

// anyHost draws the machine that a caller tries next, from a list without those that are gone for good.
func (w *world) anyHost() *host {
	for {
		if h := w.hosts[w.rng.IntN(len(w.hosts))]; !h.gone {
			return h
		}
	}
}

// operate is an operator's work: an order or a look at what is in force, then another one.
func (w *world) operate(who int) {
	if w.since() > faultsUntil+calmAfter/2 {
		return
	}
	pause := w.between(100*time.Millisecond, 1500*time.Millisecond)
	if w.client.storm {
		pause = w.between(10*time.Millisecond, 60*time.Millisecond)
	}
	then := func() { w.after(pause, func() { w.operate(who) }) }
	w.client.next++
	lot := w.rng.IntN(10)
	switch taken := w.client.taken; {
	case lot < 3:
		w.read(who, then)
	case lot < 4 && len(taken) > 0: // one that was taken long ago comes once more
		w.put(who, taken[w.rng.IntN(len(taken))], then)
	default: // two may choose the same number and the same base
		base := w.client.known
		w.put(who, newOrder(base+1+clusterstate.Version(w.rng.IntN(2)), base, fmt.Sprintf("t-%d", w.client.next)), then)
	}
}

// put sends an order until its outcome is clear or the operator gives up.
func (w *world) put(who int, o order, then func()) {
	c := call{client: who, put: true, order: o, begun: w.now}
	w.tryPut(&c, 0, then)
}

func (w *world) tryPut(c *call, try int, then func()) {
	if try == orderTries {
		w.record(*c, clusterstate.Outcome{}, false)
		then()
		return
	}
	h := w.anyHost()
	done := false
	finish := func(r configstore.Reply) {
		if done {
			return
		}
		done = true
		if !r.Known {
			w.after(time.Duration(try+1)*50*time.Millisecond, func() { w.tryPut(c, try+1, then) })
			return
		}
		w.record(*c, r.Outcome, true)
		if r.Status == clusterstate.Done {
			w.client.took = append(w.client.took, w.now.Sub(c.begun))
			w.acknowledge(c.order, h)
		}
		then()
	}
	command, err := w.copies[0].replica.Order(c.order.body) // as a registry does, whose copy may lag
	if err != nil {
		w.fail("order %s is invalid: %v", c.order.version, err)
		return
	}
	w.propose(h, command.Encode(), func(r configstore.Reply) {
		w.carry(h.address, "operator", func() { finish(r) })
	})
	w.after(patience+time.Duration(try)*200*time.Millisecond, func() { finish(configstore.Reply{}) })
}

func (w *world) acknowledge(o order, by *host) {
	w.client.acknowledged++
	w.client.taken = append(w.client.taken, o)
	w.learn(o.version)
	w.trace("acknowledged %s on %s: %s by host %d", o.version, o.base, o.tag, by.index)
}

// read asks for the configuration in force. A try that is not answered was no call at all.
func (w *world) read(who int, then func()) {
	c := call{client: who, begun: w.now}
	done := false
	finish := func(version clusterstate.Version, tag string, ok bool) {
		if done {
			return
		}
		done = true
		if ok {
			c.order = order{version: version, tag: tag}
			w.record(c, clusterstate.Outcome{Status: clusterstate.Done}, true)
			w.client.answered++
			w.learn(version)
		}
		then()
	}
	h := w.anyHost()
	w.barrier(h, func(index uint64, ok bool) {
		if !ok {
			w.carry(h.address, "operator", func() { finish(0, "", false) })
			return
		}
		w.whenApplied(h, index, func() {
			var body []byte
			state(h.machine, func(s *clusterstate.State) { body = s.Body })
			version, tag := tagOf(body)
			w.carry(h.address, "operator", func() { finish(version, tag, true) })
		})
	})
	w.after(patience, func() { finish(0, "", false) })
}

// propose brings a command into the log by way of the machine that was called, as its config store does.
func (w *world) propose(h *host, data []byte, reply func(configstore.Reply)) {
	ask(w, h, w.now.Add(orderWithin), func(m *configstore.Machine, done func(configstore.Reply)) { m.Propose(data, done) },
		func(r configstore.Reply) bool { return r.Known }, reply)
}

// barrier asks for a read barrier in the same way.
func (w *world) barrier(h *host, reply func(index uint64, ok bool)) {
	ask(w, h, w.now.Add(patience), func(m *configstore.Machine, done func(configstore.Barrier)) { m.AskBarrier(done) },
		func(b configstore.Barrier) bool { return b.OK }, func(b configstore.Barrier) { reply(b.Index, b.OK) })
}

// barrierAt is barrier for a question of the machine's own registry.
func (w *world) barrierAt(h *host, reply func(index uint64, ok bool)) {
	askAt(w, h, w.now.Add(patience), func(m *configstore.Machine, done func(configstore.Barrier)) { m.AskBarrier(done) },
		func(b configstore.Barrier) bool { return b.OK }, func(b configstore.Barrier) { reply(b.Index, b.OK) })
}

// ask brings a question to the leader from the machine that was called, as its process does: configstore.Question decides each step. A process
// that has ended or is stopped says nothing.
func ask[T any](w *world, h *host, until time.Time, question func(*configstore.Machine, func(T)), good func(T) bool, reply func(T)) {
	w.carry("operator", h.address, func() { askAt(w, h, until, question, good, reply) })
}

// askAt is ask for a question that has come to the machine.
func askAt[T any](w *world, h *host, until time.Time, question func(*configstore.Machine, func(T)), good func(T) bool, reply func(T)) {
	p := &pursuit[T]{w: w, h: h, incarnation: h.incarnation, q: configstore.NewQuestion(false, until), question: question, good: good, reply: reply}
	p.there = func(to *host, answer func(T)) {
		forward(w, h, to, until, question, good, answer)
		var none T
		w.after(forwardAfter, func() { answer(none) })
	}
	p.look()
}

// forward brings a question to another machine, once.
func forward[T any](w *world, from, to *host, until time.Time, question func(*configstore.Machine, func(T)), good func(T) bool, answer func(T)) {
	back := func(r T) { w.carry(to.address, from.address, func() { from.run(func() { answer(r) }) }) }
	w.carry(from.address, to.address, func() {
		p := &pursuit[T]{w: w, h: to, incarnation: to.incarnation, q: configstore.NewQuestion(true, until), question: question, good: good, reply: back}
		p.look()
	})
}

// pursuit is a question at one machine: its moves are carried out in virtual time.
type pursuit[T any] struct {
	w           *world
	h           *host
	incarnation int
	q           *configstore.Question
	question    func(*configstore.Machine, func(T))
	there       func(to *host, answer func(T)) // asks the leader at another machine
	good        func(T) bool
	reply       func(T)
}

// look sees who leads and does what follows.
func (p *pursuit[T]) look() {
	switch {
	case p.h.machine == nil || p.h.incarnation != p.incarnation:
		return
	case p.h.frozen:
		p.h.waiting = append(p.h.waiting, p.look)
		return
	}
	var none T
	here, at := p.h.machine.View.Leader()
	p.carryOut(p.q.Led(p.w.now, here, at), none)
}

func (p *pursuit[T]) carryOut(move configstore.Move, got T) {
	var none T
	switch move.Kind {
	case configstore.AskHere:
		p.h.run(func() { p.question(p.h.machine, p.answerOnce()) })
	case configstore.AskThere:
		if to := p.w.hostAt(move.To); to != nil && to != p.h {
			p.there(to, p.answerOnce())
		} else {
			p.w.after(forwardAfter, func() { p.carryOut(p.q.Answered(p.w.now, false), none) })
		}
	case configstore.WaitForLeader:
		p.w.after(lookAgain, p.look)
	case configstore.AskAgain:
		p.w.after(move.After, p.look)
	case configstore.EndAnswered:
		p.reply(got)
	default:
		p.reply(none)
	}
}

// answerOnce takes the first answer to what was asked.
func (p *pursuit[T]) answerOnce() func(T) {
	answered := false
	return func(r T) {
		if !answered {
			answered = true
			p.carryOut(p.q.Answered(p.w.now, p.good(r)), r)
		}
	}
}

// whenApplied waits until a machine's state has an entry.
func (w *world) whenApplied(h *host, index uint64, then func()) {
	incarnation := h.incarnation
	var look func()
	look = func() {
		switch {
		case h.machine == nil || h.incarnation != incarnation:
		case h.frozen:
			h.waiting = append(h.waiting, look)
		case h.machine.View.Applied() >= index:
			then()
		default:
			w.after(lookAgain, look)
		}
	}
	look()
}

// liveAsServer is a server's life: it tells of itself, leaves in order, and is followed by another one.
func (w *world) liveAsServer(name string) {
	if w.since() > faultsUntil {
		return
	}
	w.client.next++
	s := clusterstate.Server{ID: fmt.Sprintf("%s-%d", name, w.client.next), Service: "c", Address: "10.1.0.1:80", State: clusterstate.Open, Beat: 1}
	say := func(state string) clusterstate.Server {
		s.Beat++
		s.State = state
		return s
	}
	late := say(clusterstate.Open) // it comes again, long after all that followed
	w.insist(w.callOf(late), func() {
		w.beat(func() clusterstate.Server { return say(clusterstate.Open) }, w.now.Add(w.between(time.Second, 20*time.Second)), func() {
			w.insist(w.callOf(say(clusterstate.Closing)), func() {
				w.checks.closing[s.ID] = true
				if !w.checks.model.closing[s.ID] {
					w.fail("the closing of server %s was acknowledged, and is not in the log", s.ID)
				}
				w.send(w.callOf(late))
				w.insist(w.commandOf(clusterstate.Command{Leave: s.ID}), func() {
					w.checks.left[s.ID] = true
					w.send(w.callOf(late))
					w.after(w.between(0, 3*time.Second), func() { w.send(w.callOf(late)) })
					w.liveAsServer(name)
				})
			})
		})
	})
}

// beat has a server say what it says all along, until a time.
func (w *world) beat(say func() clusterstate.Server, until time.Time, then func()) {
	if !w.now.Before(until) {
		then()
		return
	}
	w.send(w.callOf(say()))
	w.after(beatEvery, func() { w.beat(say, until, then) })
}

// outsideCall is a call at a registry: it is carried out there, and its reply comes back there.
type outsideCall func(h *host, reply func(configstore.Reply))

// commandOf is a call that is brought to the log.
func (w *world) commandOf(c clusterstate.Command) outsideCall {
	return func(h *host, reply func(configstore.Reply)) {
		askAt(w, h, w.now.Add(orderWithin), func(m *configstore.Machine, done func(configstore.Reply)) { m.Propose(c.Encode(), done) },
			func(r configstore.Reply) bool { return r.Known }, reply)
	}
}

// callOf is a server's call: the registry acknowledges at once what is settled (registry.Settled), and brings the rest to the log.
func (w *world) callOf(s clusterstate.Server) outsideCall {
	return func(h *host, reply func(configstore.Reply)) {
		late := h.beats.Take(s, w.now)
		copied := w.copies[h.index%len(w.copies)] // as the registry's own copy, which may lag
		var held clusterstate.Server
		listed := false
		copied.replica.Read(func(state *clusterstate.State) { held, listed = state.Servers[s.ID] })
		if registry.Settled(s, late, held, listed, copied.inTouch()) || w.options.SettleAll {
			reply(configstore.Reply{Known: true, Outcome: clusterstate.Outcome{Status: clusterstate.Done}})
			return
		}
		said := s
		w.commandOf(clusterstate.Command{Server: &said})(h, reply)
	}
}

// bring brings a call to a machine. A process that has ended or is stopped says nothing.
func (w *world) bring(h *host, call outsideCall, reply func(configstore.Reply)) {
	w.carry("server", h.address, func() {
		do := func() {
			if h.machine != nil {
				call(h, reply)
			}
		}
		if h.frozen {
			h.waiting = append(h.waiting, do)
			return
		}
		do()
	})
}

// send makes a call once, and does not wait for its outcome.
func (w *world) send(call outsideCall) {
	w.bring(w.anyHost(), call, func(configstore.Reply) {})
}

// insist makes a call until it is acknowledged.
func (w *world) insist(call outsideCall, then func()) {
	if w.since() > faultsUntil+calmAfter/2 {
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
			w.after(50*time.Millisecond, func() { w.insist(call, then) })
		}
	}
	h := w.anyHost()
	w.bring(h, call, func(r configstore.Reply) {
		w.carry(h.address, "server", func() { finish(r.Known && r.Status == clusterstate.Done) })
	})
	w.after(patience, func() { finish(false) })
}

// doDuty is the work of whoever holds the duty: it takes servers out under its epoch, some of which have long come back.
func (w *world) doDuty() {
	if w.since() > faultsUntil+calmAfter/2 {
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
		state(h.machine, func(s *clusterstate.State) {
			for id := range s.Servers {
				if lost == "" || id < lost {
					lost = id
				}
			}
		})
		if lost != "" {
			stall := w.between(0, 100*time.Millisecond) + w.client.dutyStall
			w.after(stall, func() { w.send(w.commandOf(clusterstate.Command{Lost: lost, Epoch: duty.Epoch})) })
		}
	}
	w.client.dutyStall = 0
	w.after(w.between(time.Second, 3*time.Second), w.doDuty)
}

// call is one operator's call, for the check of the whole history.
type call struct {
	client int
	put    bool
	order  order
	status int // 0: no clear answer
	begun  time.Time
	ended  time.Time
}

func (w *world) record(c call, out clusterstate.Outcome, known bool) {
	c.ended = w.now
	if known {
		c.status = out.Status
	} else {
		c.ended = time.Unix(0, math.MaxInt64)
	}
	w.client.history = append(w.client.history, c)
}
