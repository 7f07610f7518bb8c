// Package ledger checks a rehearsal: it records each request from its due time to its one answer, each send, each write effect
// and each overload, and derives the breaches of the four rules and the worth of the service. It has no clock and does no
// I/O; times count from the beginning of the run.
package ledger

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cedarmast/internal/kit/scenario"
)

// timingSlack is the tolerance on time limits, which runs over sockets need.
const timingSlack = 50 * time.Millisecond

// Time counts from the beginning of the run.
type Time = time.Duration

// Request is one request of a client, over all its tries.
type Request struct {
	At            Time
	Class, Tenant int
	Worth         float64
	WithinShare   bool // whether the tenant was within its share
}

// Outcome is the result of a try for its client.
type Outcome int

// The outcomes of a try.
const (
	Served       Outcome = iota // a complete answer with status 200
	Refused                     // status 429 or 503: a retry is harmless
	Failed                      // any other status
	Truncated                   // the connection ended without a complete answer
	NoAnswer                    // no answer before the client's timeout
	NotConnected                // the connection could not be opened: no router took the request
)

// Breach is one violation of a rule.
type Breach struct {
	At   Time   `json:"at_ms"`
	Rule string `json:"rule"`
	What string `json:"what"`
}

// String formats a breach as one log line.
func (b Breach) String() string {
	return fmt.Sprintf("%v %s: %s", b.At.Round(time.Millisecond), b.Rule, b.What)
}

const maxBreaches = 100 // breaches that are listed individually

// requestRecord is what the ledger knows of a request.
type requestRecord struct {
	Request
	earned  float64
	served  bool
	effects int
	tries   int
}

// tryRecord is what the ledger knows of one try at a request.
type tryRecord struct {
	request       int
	router        int
	startedAt     Time
	timeout       time.Duration
	sends         int  // complete sends that reached nodes
	accepted      int  // sends that the node did not reject
	firstAccepted Time // time of the first of these
	answeredSends int  // sends that their node answered
	lastAnswer    Time
	work          time.Duration
	bodies        map[string]bool // bodies made for this try
	done          bool
	excused       bool // its router was killed or stalled
	stalled       bool // its router was stalled: a late answer after the stall is allowed
}

// Ledger holds the records of one run. It is not safe for concurrent use.
type Ledger struct {
	scenario          *scenario.Scenario
	requests          []requestRecord
	tries             map[string]*tryRecord
	notServing        map[routerNode]Time // since when the router knows that the node drains or is gone
	notServingEver    map[routerNode]Time // the same, kept over a restart of the router
	excluded          map[routerNode]Time // since when an operator has excluded the node; no list undoes it
	excludedEver      map[routerNode]Time // the same, kept over a restart of the router
	latencies         []*hdrhistogram.Histogram
	Counts            Counts
	breaches          []Breach
	totalWork         time.Duration
	usefulWork        time.Duration
	answers           map[Outcome]int
	silentPairs       int  // pairs of router and node with silence between them now
	lastSilenceChange Time // when silence last began or ended

	perSecond         secondCounts
	stalled           map[int]bool
	recentSends       map[int][]*recentSend // by router: the latest sends
	shortestObjective time.Duration         // the shortest latency objective of any class
}

// routerNode identifies a router and a node.
type routerNode struct {
	router int
	node   string
}

// Counts are the totals of a run.
type Counts struct {
	Tries, Lost, WrongBodies, DoubleEffects, DrainBreaches, ColdFalls, HeldBack, UnknownSends, DatabaseFalls int
	Sends, Rejected, SiteCrossings, Connections                                                              int
}

// New creates the ledger of a run with its requests, which are referred to by index.
func New(s *scenario.Scenario, requests []Request) *Ledger {
	l := &Ledger{scenario: s, tries: map[string]*tryRecord{}, notServing: map[routerNode]Time{}, notServingEver: map[routerNode]Time{}, excluded: map[routerNode]Time{}, excludedEver: map[routerNode]Time{}, answers: map[Outcome]int{},
		stalled: map[int]bool{}, recentSends: map[int][]*recentSend{}, shortestObjective: math.MaxInt64}
	for _, a := range requests {
		l.requests = append(l.requests, requestRecord{Request: a})
	}
	for _, c := range s.Classes {
		l.shortestObjective = min(l.shortestObjective, c.Wanted.D())
		l.latencies = append(l.latencies, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return l
}

// recordBreach lists a breach, up to maxBreaches.
func (l *Ledger) recordBreach(at Time, rule, format string, args ...any) {
	if len(l.breaches) < maxBreaches {
		l.breaches = append(l.breaches, Breach{at, rule, fmt.Sprintf(format, args...)})
	}
}

// TrySent records that a client sends a try to a router.
func (l *Ledger) TrySent(n int, id string, router int, at Time, timeout time.Duration) {
	l.Counts.Tries++
	l.requests[n].tries++
	l.tries[id] = &tryRecord{request: n, router: router, startedAt: at, timeout: timeout, bodies: map[string]bool{}}
}

// NodeReceived records that the last byte of a try has reached a node. Ran is false if the node rejects it unread. The send is stale if
// the router had been told, before a restart or since, that the node drains or is gone, and the grace period is over.
func (l *Ledger) NodeReceived(id string, router int, node string, at Time, ran bool) {
	t := l.tries[id]
	l.Counts.Sends++
	l.noteSend(router, id, at)
	pastGrace := func(notices map[routerNode]Time) (Time, bool) {
		since, ok := notices[routerNode{router, node}]
		return since, ok && at > since+l.scenario.Rules.DrainGrace.D()+timingSlack
	}
	_, drained := pastGrace(l.notServingEver)
	if _, out := pastGrace(l.excludedEver); (drained || out) && !l.stalled[router] {
		l.perSecond.add(staleSends, at)
	}
	if since, out := pastGrace(l.excluded); out {
		l.Counts.DrainBreaches++
		l.recordBreach(at, "drain", "%s was sent %s %v after an operator excluded it", node, id, at-since)
	}
	if since, ok := pastGrace(l.notServing); ok {
		l.Counts.DrainBreaches++
		l.recordBreach(at, "drain", "%s was sent %s %v after the router was told that the node drains or is gone", node, id, at-since)
	}
	if t == nil {
		return
	}
	t.sends++
	if !ran {
		l.Counts.Rejected++
		return
	}
	c := &l.scenario.Classes[l.requests[t.request].Class]
	if t.accepted++; t.accepted == 1 {
		t.firstAccepted = at
		return
	}
	if c.Effect == "unsafe" || c.Effect == "keyed" && at-t.firstAccepted > c.Memory.D()+timingSlack {
		l.Counts.DoubleEffects++
		l.recordBreach(at, "effect", "%s, a %s of class %s, was sent to %s though it may have run before", id, c.Effect, c.Name, node)
	}
}

// UnknownSend records a send that belongs to no client's request.
func (l *Ledger) UnknownSend(id, node string) {
	l.Counts.UnknownSends++
	l.recordBreach(0, "effect", "%s was sent %q, which belongs to no client request", node, id)
	l.Counts.DoubleEffects++
}

// SendAnswered records that a node has answered a send; good tells whether the answer was a success.
func (l *Ledger) SendAnswered(id string, at Time, good bool) {
	if t := l.tries[id]; t != nil {
		l.noteSendEnd(t.router, id, at, good)
		t.answeredSends++
		t.lastAnswer = max(t.lastAnswer, at)
	}
}

// BodyMade records a body that a node made for a try; good is false if it was written so that it can't be parsed.
func (l *Ledger) BodyMade(id, body string, good bool) {
	if t := l.tries[id]; t != nil && good {
		t.bodies[body] = true
	}
}

// Worked records work that a node starts for a try.
func (l *Ledger) Worked(id string, took time.Duration) {
	l.totalWork += took
	if t := l.tries[id]; t != nil {
		t.work += took
	}
}

// Effect records that the database has taken a write.
func (l *Ledger) Effect(n int, class, effect string) {
	a := &l.requests[n]
	if a.effects++; a.effects > 1 && effect != "safe" {
		l.Counts.DoubleEffects++
		l.recordBreach(a.At, "effect", "request %d of class %s took effect %d times", n, class, a.effects)
	}
}

// NodeStateTold records that a router has been told a node's state: whether the node may be sent requests.
func (l *Ledger) NodeStateTold(router int, node string, serving bool, at Time) {
	k := routerNode{router, node}
	if serving {
		delete(l.notServing, k)
		delete(l.notServingEver, k)
		return
	}
	if _, ok := l.notServing[k]; !ok {
		l.notServing[k] = at
	}
	if _, ok := l.notServingEver[k]; !ok {
		l.notServingEver[k] = at
	}
}

// OperatorOrder records that an operator has had a router exclude a node, or include it again. A router that forgets the order in a
// restart sends stale; one that violates it without a restart breaks a rule.
func (l *Ledger) OperatorOrder(router int, node string, out bool, at Time) {
	k := routerNode{router, node}
	for _, known := range []map[routerNode]Time{l.excluded, l.excludedEver} {
		if out {
			known[k] = at
		} else {
			delete(known, k)
		}
	}
}

// RouterEnded records the end of a router. If it was killed, its open tries are excused. What it was told is forgotten.
func (l *Ledger) RouterEnded(router int, killed bool) {
	for _, t := range l.tries {
		if killed && t.router == router && !t.done {
			t.excused = true
		}
	}
	delete(l.recentSends, router)
	l.stalled[router] = false
	for _, known := range []map[routerNode]Time{l.notServing, l.excluded} {
		maps.DeleteFunc(known, func(k routerNode, _ Time) bool { return k.router == router })
	}
}

// ColdFall records that a cold node collapsed under overload.
func (l *Ledger) ColdFall(node string, at Time) {
	l.Counts.ColdFalls++
	l.recordBreach(at, "cold", "%s collapsed under overload while it was cold", node)
}

// DatabaseFall records that the database stalled under overload.
func (l *Ledger) DatabaseFall(Time) { l.Counts.DatabaseFalls++ }

// Crossed records a send from one site to another.
func (l *Ledger) Crossed() { l.Counts.SiteCrossings++ }

// TryEnded records the outcome of a try for its client and reports whether it is good: one complete answer in time, made for it.
func (l *Ledger) TryEnded(id string, outcome Outcome, body string, at Time) bool {
	t := l.tries[id]
	if t == nil || t.done {
		l.ExtraAnswer(id, at)
		return false
	}
	t.done = true
	if l.stalled[t.router] {
		t.excused, t.stalled = true, true
	}
	l.answers[outcome]++
	a := &l.requests[t.request]
	c := &l.scenario.Classes[a.Class]
	late := at > t.startedAt+t.timeout+timingSlack && outcome != NotConnected // with NotConnected no router took the try, so none can be late
	switch {
	case outcome == Served && !t.bodies[body]:
		l.Counts.WrongBodies++
		l.Counts.Lost++
		l.recordBreach(at, "lost", "%s was answered with %.40q, which no node made for it", id, body)
		return false
	case outcome == NoAnswer, outcome == Truncated, late:
		if !t.excused {
			l.Counts.Lost++
			l.recordBreach(at, "lost", "%s had no complete answer %v after it was sent, with a client timeout of %v (%d sends)", id, at-t.startedAt, t.timeout, t.sends)
		}
		return false
	case outcome == Refused && c.Effect == "unsafe" && t.accepted > 0:
		l.Counts.DoubleEffects++
		l.recordBreach(at, "effect", "%s, an unsafe of class %s, was refused though it may have run", id, c.Name)
	}
	if (outcome == Refused || outcome == Failed) && !t.excused {
		l.checkHeldBack(id, t, at)
	}
	if outcome == Refused && t.sends == 0 && l.staleRefusal(t.router, at) {
		l.perSecond.add(staleRefusals, at)
	}
	if outcome != Served || a.served {
		return outcome == Served
	}
	a.served = true
	l.usefulWork += t.work
	latency := at - a.At
	l.latencies[a.Class].RecordValue(max(int64(latency/time.Microsecond), 1))
	switch {
	case latency <= c.Wanted.D():
		a.earned = a.Worth
	case latency <= c.Deadline.D():
		a.earned = a.Worth * c.LateShare
	}
	return true
}

// checkHeldBack records a breach if a final refusal or failure came long after there was nothing left to wait for.
func (l *Ledger) checkHeldBack(id string, t *tryRecord, at Time) {
	if t.answeredSends < t.sends {
		return // a send was still in flight
	}
	idleSince := max(t.startedAt, t.lastAnswer)
	left := t.startedAt + t.timeout - idleSince
	allowed := left/2 + timingSlack
	if l.silentPairs > 0 || l.lastSilenceChange > t.startedAt { // the router may have waited for connects that no node has seen
		allowed += l.scenario.Rules.ConnectWithin.D() * time.Duration(max(l.scenario.Rules.MaxAttempts-t.sends, 0))
	}
	if wait := at - idleSince; wait > allowed {
		l.Counts.HeldBack++
		l.recordBreach(at, "held", "%s, sent at %v, was given up %v after its last send had ended, with %v left (%d sends, %d ended)",
			id, t.startedAt, wait, left, t.sends, t.answeredSends)
	}
}

// Silence records that silence between a router and a node begins or ends.
func (l *Ledger) Silence(on bool, at Time) {
	if l.lastSilenceChange = at; on {
		l.silentPairs++
	} else {
		l.silentPairs--
	}
}

// ExtraAnswer records answer bytes that came after the final answer of a try.
func (l *Ledger) ExtraAnswer(id string, at Time) {
	if t := l.tries[id]; t != nil && t.stalled {
		return // its client had left
	}
	l.Counts.Lost++
	l.recordBreach(at, "lost", "%s was answered more than once", id)
}
