// Package ledger judges a rehearsal: it books each request from the moment it was due to its one answer, each send, each
// effect and each fall, and tells by the four rules what was broken and what the service was worth. It has no clock and
// does no I/O; times count from the day's beginning.
package ledger

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cedarmast/internal/kit/scenario"
)

// slack is what a limit in time has on sockets beyond its own span.
const slack = 50 * time.Millisecond

// Time counts from the day's beginning.
type Time = time.Duration

// Ask is one request as its client wants it, over all its tries.
type Ask struct {
	At            Time
	Class, Tenant int
	Worth         float64
	Within        bool // its tenant's share
}

// Outcome is how a try ended for its client.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota // a whole answer 200
	Refused                // 429 or 503: trying again is harmless
	Failed                 // another status
	Broken                 // the connection ended with no whole answer
	Nothing                // no answer when the time was up
	Unheard                // no connection came up: no router took it
)

// Breach is one broken rule.
type Breach struct {
	At   Time   `json:"at_ms"`
	Rule string `json:"rule"`
	What string `json:"what"`
}

// String keeps a breach on one line of a log.
func (b Breach) String() string {
	return fmt.Sprintf("%v %s: %s", b.At.Round(time.Millisecond), b.Rule, b.What)
}

const mostBreaches = 100 // that are told one by one

type ask struct {
	Ask
	earned  float64
	served  bool
	effects int
	tries   int
}

type try struct {
	ask      int
	router   int
	begun    Time
	patience time.Duration
	sent     int  // whole, at nodes
	ran      int  // of these not turned away
	first    Time // of those
	ended    int  // answered by their node
	last     Time
	worked   time.Duration
	made     map[string]bool // bodies
	over     bool
	excused  bool // its router was killed, or stood still
	still    bool // its router stood still: it may answer when it goes on
}

// Ledger is one day's books. It belongs to one goroutine.
type Ledger struct {
	set     *scenario.Scenario
	asks    []ask
	tries   map[string]*try
	told    map[pair]Time // since when it is known to drain or to be gone
	ever    map[pair]Time // the same, past a router's restart
	ordered map[pair]Time // since when an operator has had a router leave a node out; no list undoes it
	orders  map[pair]Time // the same, past a router's restart
	hist    []*hdrhistogram.Histogram
	Counts  Counts
	breach  []Breach
	worked  time.Duration
	useful  time.Duration
	answers map[Outcome]int
	silent  int  // pairs of router and node between which there is silence now
	spoken  Time // when there last was any

	tally    tally
	stalled  map[int]bool
	last     map[int][]*sending // by router
	shortest time.Duration      // that any class wants
}

// pair is a router and a node.
type pair struct {
	router int
	node   string
}

// Counts are plain sums.
type Counts struct {
	Tries, Lost, Wrong, Double, Drain, ColdFalls, Held, Stray, DatabaseFalls int
	Sends, Turned, Crossed, Connections                                      int
}

// New opens the books of a day with its requests, by number.
func New(s *scenario.Scenario, asks []Ask) *Ledger {
	l := &Ledger{set: s, tries: map[string]*try{}, told: map[pair]Time{}, ever: map[pair]Time{}, ordered: map[pair]Time{}, orders: map[pair]Time{}, answers: map[Outcome]int{},
		stalled: map[int]bool{}, last: map[int][]*sending{}, shortest: math.MaxInt64}
	for _, a := range asks {
		l.asks = append(l.asks, ask{Ask: a})
	}
	for _, c := range s.Classes {
		l.shortest = min(l.shortest, c.Wanted.D())
		l.hist = append(l.hist, hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3))
	}
	return l
}

func (l *Ledger) broke(at Time, rule, format string, args ...any) {
	if len(l.breach) < mostBreaches {
		l.breach = append(l.breach, Breach{at, rule, fmt.Sprintf(format, args...)})
	}
}

// Tried books that a client sends a try to a router.
func (l *Ledger) Tried(n int, id string, router int, at Time, patience time.Duration) {
	l.Counts.Tries++
	l.asks[n].tries++
	l.tries[id] = &try{ask: n, router: router, begun: at, patience: patience, made: map[string]bool{}}
}

// Sent books that a try's last byte has come to a node. Ran is false if the node turns it away unseen. It is a stale send if
// the router had been told, before a restart or since, that the node drains or is gone, and the grace is over.
func (l *Ledger) Sent(id string, router int, node string, at Time, ran bool) {
	t := l.tries[id]
	l.Counts.Sends++
	l.note(router, id, at)
	after := func(known map[pair]Time) (Time, bool) {
		since, ok := known[pair{router, node}]
		return since, ok && at > since+l.set.Rules.DrainGrace.D()+slack
	}
	_, drained := after(l.ever)
	if _, out := after(l.orders); (drained || out) && !l.stalled[router] {
		l.tally.add(staleSends, at)
	}
	if since, out := after(l.ordered); out {
		l.Counts.Drain++
		l.broke(at, "drain", "%s was sent %s %v after an operator took it out", node, id, at-since)
	}
	if since, ok := after(l.told); ok {
		l.Counts.Drain++
		l.broke(at, "drain", "%s was sent %s %v after it was told that it drains or is gone", node, id, at-since)
	}
	if t == nil {
		return
	}
	t.sent++
	if !ran {
		l.Counts.Turned++
		return
	}
	c := &l.set.Classes[l.asks[t.ask].Class]
	if t.ran++; t.ran == 1 {
		t.first = at
		return
	}
	if c.Effect == "unsafe" || c.Effect == "keyed" && at-t.first > c.Memory.D()+slack {
		l.Counts.Double++
		l.broke(at, "effect", "%s, a %s of class %s, was sent to %s though it may have run before", id, c.Effect, c.Name, node)
	}
}

// Stray books a send that no client asked for.
func (l *Ledger) Stray(id, node string) {
	l.Counts.Stray++
	l.broke(0, "effect", "%s was sent %q, which no client asked for", node, id)
	l.Counts.Double++
}

// Ended books that a node has answered a send, well or with any other answer.
func (l *Ledger) Ended(id string, at Time, good bool) {
	if t := l.tries[id]; t != nil {
		l.noteEnd(t.router, id, at, good)
		t.ended++
		t.last = max(t.last, at)
	}
}

// Made books a body that a node made for a try; good is false if it is written so that nobody can read it.
func (l *Ledger) Made(id, body string, good bool) {
	if t := l.tries[id]; t != nil && good {
		t.made[body] = true
	}
}

// Worked books work that a node begins for a try.
func (l *Ledger) Worked(id string, took time.Duration) {
	l.worked += took
	if t := l.tries[id]; t != nil {
		t.worked += took
	}
}

// Effect books that the database took a write.
func (l *Ledger) Effect(n int, class, effect string) {
	a := &l.asks[n]
	if a.effects++; a.effects > 1 && effect != "safe" {
		l.Counts.Double++
		l.broke(a.At, "effect", "request %d of class %s took effect %d times", n, class, a.effects)
	}
}

// Told books that a router has been told a node's state: whether it may be sent to.
func (l *Ledger) Told(router int, node string, serving bool, at Time) {
	k := pair{router, node}
	if serving {
		delete(l.told, k)
		delete(l.ever, k)
		return
	}
	if _, ok := l.told[k]; !ok {
		l.told[k] = at
	}
	if _, ok := l.ever[k]; !ok {
		l.ever[k] = at
	}
}

// Ordered books that an operator has had a router leave a node out, or take it back. A router that restarts and has forgotten it
// sends stale; one that goes on breaks a rule.
func (l *Ledger) Ordered(router int, node string, out bool, at Time) {
	k := pair{router, node}
	for _, known := range []map[pair]Time{l.ordered, l.orders} {
		if out {
			known[k] = at
		} else {
			delete(known, k)
		}
	}
}

// RouterEnded books the end of a router: what it held is excused if it was killed, what it was told is forgotten.
func (l *Ledger) RouterEnded(router int, killed bool) {
	for _, t := range l.tries {
		if killed && t.router == router && !t.over {
			t.excused = true
		}
	}
	delete(l.last, router)
	l.stalled[router] = false
	for _, known := range []map[pair]Time{l.told, l.ordered} {
		maps.DeleteFunc(known, func(k pair, _ Time) bool { return k.router == router })
	}
}

// ColdFall books that a cold node was pushed over.
func (l *Ledger) ColdFall(node string, at Time) {
	l.Counts.ColdFalls++
	l.broke(at, "cold", "%s was pushed over while it was cold", node)
}

// DatabaseFall books that the database was pushed over.
func (l *Ledger) DatabaseFall(Time) { l.Counts.DatabaseFalls++ }

// Crossed books a send from one site to another.
func (l *Ledger) Crossed() { l.Counts.Crossed++ }

// Answered books how a try ended for its client, and whether that is good: one whole answer in time, made for it.
func (l *Ledger) Answered(id string, o Outcome, body string, at Time) bool {
	t := l.tries[id]
	if t == nil || t.over {
		l.Extra(id, at)
		return false
	}
	t.over = true
	if l.stalled[t.router] {
		t.excused, t.still = true, true
	}
	l.answers[o]++
	a := &l.asks[t.ask]
	c := &l.set.Classes[a.Class]
	late := at > t.begun+t.patience+slack && o != Unheard // nobody took it: nobody is late with it
	switch {
	case o == Served && !t.made[body]:
		l.Counts.Wrong++
		l.Counts.Lost++
		l.broke(at, "lost", "%s was answered with %.40q, which no node made for it", id, body)
		return false
	case o == Nothing, o == Broken, late:
		if !t.excused {
			l.Counts.Lost++
			l.broke(at, "lost", "%s had no whole answer %v after it was sent, with %v to wait (%d sends)", id, at-t.begun, t.patience, t.sent)
		}
		return false
	case o == Refused && c.Effect == "unsafe" && t.ran > 0:
		l.Counts.Double++
		l.broke(at, "effect", "%s, an unsafe of class %s, was refused though it may have run", id, c.Name)
	}
	if (o == Refused || o == Failed) && !t.excused {
		l.heldBack(id, t, at)
	}
	if o == Refused && t.sent == 0 && l.staleRefusal(t.router, at) {
		l.tally.add(staleRefusals, at)
	}
	if o != Served || a.served {
		return o == Served
	}
	a.served = true
	l.useful += t.worked
	latency := at - a.At
	l.hist[a.Class].RecordValue(max(int64(latency/time.Microsecond), 1))
	switch {
	case latency <= c.Wanted.D():
		a.earned = a.Worth
	case latency <= c.Deadline.D():
		a.earned = a.Worth * c.LateShare
	}
	return true
}

// heldBack looks whether an answer that gives up came long after there was nothing left to wait for.
func (l *Ledger) heldBack(id string, t *try, at Time) {
	if t.ended < t.sent {
		return // a send was still out
	}
	free := max(t.begun, t.last)
	left := t.begun + t.patience - free
	allowed := left/2 + slack
	if l.silent > 0 || l.spoken > t.begun { // connections that did not come up were waited for, which no node has seen
		allowed += l.set.Rules.ConnectWithin.D() * time.Duration(max(l.set.Rules.MaxAttempts-t.sent, 0))
	}
	if wait := at - free; wait > allowed {
		l.Counts.Held++
		l.broke(at, "held", "%s, sent at %v, was given up %v after its last send had ended, of %v that were left (%d sends, %d ended)",
			id, t.begun, wait, left, t.sent, t.ended)
	}
}

// Silence books that a router begins or ceases to hear nothing from a node.
func (l *Ledger) Silence(on bool, at Time) {
	if l.spoken = at; on {
		l.silent++
	} else {
		l.silent--
	}
}

// Extra books bytes of an answer that come after the one final answer of a try.
func (l *Ledger) Extra(id string, at Time) {
	if t := l.tries[id]; t != nil && t.still {
		return // its client had left
	}
	l.Counts.Lost++
	l.broke(at, "lost", "%s was answered more than once", id)
}
