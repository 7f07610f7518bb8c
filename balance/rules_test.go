package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = Time(time.Millisecond)

// testSettings returns the settings of a small site with a class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1, Effect: Safe},
			{Name: "add", Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Priority: 3, Effect: Keyed,
				Group: GroupAll, RepeatWindow: 800 * time.Millisecond},
			{Name: "zoned", Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Priority: 3, Effect: Keyed,
				Group: GroupZone, RepeatWindow: time.Minute},
			{Name: "once", Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Priority: 3, Effect: Unsafe},
		},
		Routers: 2, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: time.Second,
		ColdStartShare: 0.2, RampTime: 20 * time.Second, OverloadFactor: 3, OverloadFor: 2 * time.Second,
	}
}

// harness drives a Balancer on a simulated clock and records its actions.
type harness struct {
	t           *testing.T
	b           *Balancer
	now         Time
	lastActions []Action
	timers      map[Time][]int64
	tries       map[RequestID][]ServerID
	refused     map[RequestID]time.Duration
	failed      map[RequestID]bool
	cancelled   map[RequestID]bool
	subscribed  int
}

func newHarness(t *testing.T, set Settings) *harness {
	return &harness{t: t, b: New(set, 7), now: 1e12, timers: map[Time][]int64{}, tries: map[RequestID][]ServerID{},
		refused: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}, cancelled: map[RequestID]bool{}}
}

// handle passes events to the Balancer and records the actions.
func (g *harness) handle(events ...Event) {
	g.lastActions = g.b.Handle(g.now, events)
	for _, a := range g.lastActions {
		switch a := a.(type) {
		case Send:
			g.tries[a.ID] = append(g.tries[a.ID], a.Server)
		case Refuse:
			g.refused[a.ID] = a.RetryAfter
		case Fail:
			g.failed[a.ID] = true
		case SetTimer:
			at := g.now.Add(max(a.After.Truncate(time.Millisecond), 0)) + ms
			g.timers[at] = append(g.timers[at], a.Token)
		case Cancel:
			g.cancelled[a.ID] = true
		case Subscribe:
			g.subscribed++
		}
	}
}

// run advances the clock by d in steps of one millisecond and delivers the timers that are due.
func (g *harness) run(d time.Duration) {
	for end := g.now.Add(d); g.now < end; {
		g.now += ms
		tokens := g.timers[g.now]
		delete(g.timers, g.now)
		for _, token := range tokens {
			g.handle(Timer{Token: token})
		}
	}
}

// caches lists n caches, c0, c1 and so on, in the zones z0 and z1 by turns.
func (g *harness) caches(n int) {
	l := List{Kind: Complete}
	for i := range n {
		l.Entries = append(l.Entries, Entry{Server: ServerID(fmt.Sprintf("c%d", i)), Weight: 1,
			Zone: fmt.Sprintf("z%d", i%2)})
	}
	g.handle(l)
}

// request sends a request of a class for key 42.
func (g *harness) request(id, class string) {
	g.handle(Request{ID: RequestID(id), Class: class, Key: 42, HasKey: true, Due: g.now.Add(1500 * time.Millisecond)})
}

// answer ends the request's last attempt with a result.
func (g *harness) answer(id string, result Result) {
	tries := g.tries[RequestID(id)]
	if len(tries) == 0 {
		g.t.Fatalf("request %s was never sent", id)
	}
	g.handle(Outcome{ID: RequestID(id), Attempt: len(tries) - 1, Server: tries[len(tries)-1], Result: result,
		Done: result == OK})
}

// wantResult checks how many attempts a request had and whether it was refused or failed.
func (g *harness) wantResult(id string, tries int, refused, failed bool) {
	g.t.Helper()
	_, gotRefused := g.refused[RequestID(id)]
	if n := len(g.tries[RequestID(id)]); n != tries || gotRefused != refused || g.failed[RequestID(id)] != failed {
		g.t.Errorf("%s: %d tries, refused %v, failed %v; want %d, %v, %v",
			id, n, gotRefused, g.failed[RequestID(id)], tries, refused, failed)
	}
}

// Rule 2: a request that may have run is repeated only where a repeat is harmless, and refused only where a retry is.
func TestNoEffectTwice(t *testing.T) {
	for _, c := range []struct {
		class           string
		result          Result
		after           time.Duration
		tries           int
		refused, failed bool
	}{
		{"read", Reset, 0, 2, false, false},
		{"once", Reset, 0, 1, false, true},
		{"once", Errored, 0, 1, false, true},
		{"once", Unknown, 0, 1, false, true},
		{"once", NoConnect, 0, 2, false, false},
		{"once", Rejected, 0, 2, false, false},
		{"add", Reset, 0, 2, false, false},
		{"add", Reset, 799 * time.Millisecond, 2, false, false},
		{"add", Reset, 801 * time.Millisecond, 1, false, true}, // no longer remembered
		{"nameless", Reset, 0, 1, false, true},
		{"nameless", NoConnect, 0, 2, false, false},
	} {
		t.Run(fmt.Sprint(c.class, c.result, c.after), func(t *testing.T) {
			set := testSettings()
			set.MayCancel = false
			g := newHarness(t, set)
			g.caches(4)
			g.request("r", c.class)
			g.run(c.after)
			g.answer("r", c.result)
			g.wantResult("r", c.tries, c.refused, c.failed)
		})
	}
}

// Class.RepeatWindow counts from the first attempt that may have run, not from one that proved to have had no effect.
func TestRepeatWindowStartsAtFirstThatMayHaveRun(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(4)
	g.request("r", "add")
	g.run(200 * time.Millisecond)
	g.answer("r", NoConnect)
	g.run(300 * time.Millisecond) // 500 ms after the first, 300 after the one that may have run
	g.answer("r", Reset)
	g.wantResult("r", 3, false, false)
}

func TestZonedRequestStaysInItsZone(t *testing.T) {
	for key := range uint64(40) {
		g := newHarness(t, testSettings())
		g.caches(4)
		g.handle(Request{ID: "r", Class: "zoned", Key: key, HasKey: true, Due: g.now.Add(time.Second)})
		g.answer("r", Reset)
		if tries := g.tries["r"]; len(tries) == 2 && (tries[0][1]-tries[1][1])%2 != 0 {
			t.Errorf("key %d was retried from %s at %s, in another zone", key, tries[0], tries[1])
		}
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(6)
	g.request("r", "once")
	for range 3 {
		g.answer("r", NoConnect)
	}
	g.wantResult("r", 3, true, false)
}

// Rule 1: one final answer in time, also if nothing can be sent or the outcome is overdue.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	t.Run("no caches", func(t *testing.T) {
		g := newHarness(t, testSettings())
		g.request("r", "once")
		g.wantResult("r", 0, true, false)
	})
	t.Run("deadline already past", func(t *testing.T) {
		g := newHarness(t, testSettings())
		g.caches(2)
		g.handle(Request{ID: "r", Class: "read", Due: g.now - 1})
		g.wantResult("r", 0, true, false)
	})
	t.Run("expired at the deadline", func(t *testing.T) {
		set := testSettings()
		set.MayCancel = false
		g := newHarness(t, set)
		g.caches(2)
		g.request("r", "once")
		g.run(1500 * time.Millisecond)
		g.answer("r", TimedOut)
		g.wantResult("r", 1, false, true)
	})
	t.Run("waiting for another's fetch", func(t *testing.T) {
		g := newAsideHarness(t)
		g.request("a", "read")
		g.answer("a", Miss)
		g.request("b", "read") // waits for a's fetch
		g.wantResult("b", 0, false, false)
		g.run(1500 * time.Millisecond)
		g.wantResult("b", 0, true, false)
	})
}

func TestNothingAfterTheFinalAnswer(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(4)
	g.request("r", "read")
	g.handle(ClientGone{ID: "r"})
	g.answer("r", Reset)
	g.run(3 * time.Second)
	g.wantResult("r", 1, false, false)
	if n := len(g.b.requests); n != 0 {
		t.Errorf("%d requests still held", n)
	}
}

// Rule 3: nothing is sent to a draining or gone server, not even what was waiting for it.
func TestDrainsAreRespected(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		g := newHarness(t, testSettings())
		g.caches(3)
		g.handle(List{Kind: Partial, Entries: []Entry{{Server: "c1", State: state}}})
		for i := range 300 {
			id := RequestID(fmt.Sprint(i))
			g.handle(Request{ID: id, Class: "read", Key: uint64(i), HasKey: true, Due: g.now + 1000*ms})
			if s := g.tries[id]; len(s) > 0 && s[0] == "c1" {
				t.Fatalf("sent to a server in state %v", state)
			}
		}
	}
}

// With SubscribeToList a failed or unanswered call for the list is repeated; an answered one is not.
func TestSubscriptionIsKeptAlive(t *testing.T) {
	set := testSettings()
	set.SubscribeToList, set.SubscribeTimeout = true, 10*time.Second
	g := newHarness(t, set)
	g.handle(List{Kind: Persisted})
	g.run(10 * time.Millisecond)
	if g.subscribed != 1 {
		t.Fatalf("subscribed %d times at the start", g.subscribed)
	}
	g.run(9 * time.Second) // no answer at all
	if g.subscribed < 2 {
		t.Error("an unanswered call was not repeated")
	}
	n := g.subscribed
	g.handle(List{Kind: Failed})
	g.run(4 * time.Second)
	if g.subscribed == n {
		t.Error("a failed call was not repeated")
	}
	g.handle(List{Kind: Partial})
	n = g.subscribed
	g.run(time.Minute)
	if g.subscribed != n {
		t.Error("the call was repeated while subscribed")
	}
}

// Rule 4: a cold server gets its warm fraction and no burst, and unused budget does not add up.
func TestColdServerIsNotOverloaded(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(4)
	n, cold := 0, 0
	step := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; g.run(10 * time.Millisecond) {
			n++
			id := fmt.Sprint(n)
			g.handle(Request{ID: RequestID(id), Class: "read", Key: uint64(n), HasKey: true, Due: g.now + 1000*ms})
			if tries := g.tries[RequestID(id)]; len(tries) > 0 {
				if tries[0] == "new" {
					cold++
				}
				g.answer(id, OK)
			}
		}
	}
	step(5 * time.Second)
	g.handle(List{Kind: Partial, Entries: []Entry{{Server: "new", Weight: 1, Started: g.now}}})
	step(2 * time.Second)
	// At 100 requests per second over five servers a warm one gets 40 in two seconds, and this one 0.2 to 0.28 of
	// the mean answered, times the square root of 3.
	if cold == 0 || cold > 25 {
		t.Errorf("a cold server got %d requests in its first two seconds, want 1 to 25", cold)
	}
	early := cold
	step(20 * time.Second)
	if cold-early < 250 {
		t.Errorf("a server that has warmed got only %d requests in 20 s", cold-early)
	}
}

// If most servers are cold at once, each gets its share of what a warm one answers, not of a mean that the cold ones lower: with
// the mean, the budgets shrank with the answers of cold servers, while the warm ones refused what they could not take.
// A cold server gets no more than that, as what the warm ones answer is what a warm server can take.
func TestManyColdServersHaveTheirShare(t *testing.T) {
	g := newHarness(t, testSettings())
	g.caches(2)
	n, sent := 0, map[ServerID]int{}
	step := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; g.run(10 * time.Millisecond) {
			n++
			id := fmt.Sprint(n)
			g.handle(Request{ID: RequestID(id), Class: "read", Key: uint64(n), HasKey: true, Due: g.now + 1000*ms})
			if tries := g.tries[RequestID(id)]; len(tries) > 0 {
				sent[tries[0]]++
				g.answer(id, OK)
			}
		}
	}
	step(5 * time.Second)
	list := List{Kind: Partial}
	for i := range 6 {
		list.Entries = append(list.Entries, Entry{Server: ServerID(fmt.Sprint("cold", i)), Weight: 1, Started: g.now})
	}
	g.handle(list)
	step(500 * time.Millisecond)
	clear(sent)
	step(2 * time.Second)
	cold, warm := 0, 0
	for server, n := range sent {
		if strings.HasPrefix(string(server), "cold") {
			cold += n
		} else {
			warm += n
		}
	}
	// With warm fractions of a quarter to a third, times the square root of 3, the six count as 2 to 3.5 warm servers beside the
	// two warm ones. With the mean of all eight they got a third of the requests.
	part := float64(cold) / float64(cold+warm)
	if part < 0.45 || part > 0.75 {
		t.Errorf("%d requests at six cold servers, %d at two warm ones: %.2f", cold, warm, part)
	}
}

// A process that replaces another one gives cold servers their share at once, by the answer rate of its predecessor: its own
// window takes twice OverloadFor to fill. Without that rate the share grows from one request per target.
func TestColdShareAfterProcessReplacement(t *testing.T) {
	first := func(answered float64) (cold int) {
		set := testSettings()
		set.PriorAnswerRate = answered
		g := newHarness(t, set)
		g.handle(List{Kind: Complete, Entries: []Entry{{Server: "a", Weight: 1}, {Server: "b", Weight: 1},
			{Server: "cold", Weight: 1, Started: g.now.Add(-5 * time.Second)}}})
		for n := range 100 {
			id := fmt.Sprint(n)
			g.handle(Request{ID: RequestID(id), Class: "read", Key: uint64(n), HasKey: true, Due: g.now + 1000*ms})
			if g.tries[RequestID(id)][0] == "cold" {
				cold++
			}
			g.answer(id, OK)
			g.run(10 * time.Millisecond)
		}
		return cold
	}
	// 100 per second over a warm weight of 2.4; a cold server at 0.4 gets 0.4 times the square root of 3 of the 42 that a warm one gets.
	without, with := first(0), first(42)
	if with < 20 || with > 40 || with < without+5 {
		t.Errorf("%d requests in the first second with the predecessor's answer rate, %d without", with, without)
	}
}

// FuzzRules passes random events, with every result that an attempt can have, and checks rules 1 to 3 after each batch.
func FuzzRules(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		newFuzzHost(t, seed).runSteps(3000)
	})
}

// fuzzHost is a host that answers a Balancer at random and checks the rules.
type fuzzHost struct {
	*harness
	rng    *rand.Rand
	set    Settings
	open   map[RequestID]*openRequest
	states map[ServerID]State
	next   int
}

// openRequest is what fuzzHost knows of a request that it still tracks.
type openRequest struct {
	class    Class
	due      Time
	tries    []sentAttempt
	ended    bool
	inFlight int
}

// sentAttempt is an attempt that the Balancer has sent.
type sentAttempt struct {
	to       ServerID
	sent     Time
	open     bool
	neverRan bool
}

func newFuzzHost(t *testing.T, seed uint64) *fuzzHost {
	rng := rand.New(rand.NewPCG(seed, 3))
	set := testSettings()
	set.CacheAside, set.OriginKind = seed%2 == 0, "origin"
	set.ParallelAttempts = seed%3 == 0
	if seed%4 == 1 {
		set.Routers, set.PeerMessages = 300, true
	}
	set.SubscribeToList, set.SubscribeTimeout = seed%5 == 0, 10*time.Second
	set.MayCancel = seed%7 != 0
	if seed%11 == 0 {
		set.Classes, set.MaxAttempts, set.RampTime, set.OverloadFor, set.Routers = nil, 0, 0, 0, 0
	}
	return &fuzzHost{harness: newHarness(t, set), rng: rng, set: set, open: map[RequestID]*openRequest{}, states: map[ServerID]State{}}
}

// runSteps passes random batches of events and checks each batch, then the table.
func (w *fuzzHost) runSteps(steps int) {
	for range steps {
		w.now += Time(w.rng.IntN(20)) * ms
		var events []Event
		if w.rng.IntN(6) == 0 { // first in its batch, so that the states after the batch hold for all of it
			events = append(events, w.randomList())
		}
		for _, at := range slices.Sorted(maps.Keys(w.timers)) {
			if at > w.now {
				break
			}
			for _, token := range w.timers[at] {
				events = append(events, Timer{Token: token})
			}
			delete(w.timers, at)
		}
		for range w.rng.IntN(4) {
			events = append(events, w.randomEvent())
		}
		events = append(events, w.outcomes()...)
		w.handle(events...)
		w.check()
	}
	for _, iv := range w.b.table.intervals {
		if iv.owner != "" && w.states[iv.owner] != Up {
			w.t.Errorf("%s, in state %v, owns an interval", iv.owner, w.states[iv.owner])
		}
	}
	if len(w.b.table.intervals) > 0 {
		ownerShares(w.t, &w.b.table)
	}
}

// randomList returns a list event and records the states of its servers.
func (w *fuzzHost) randomList() Event {
	l := List{Kind: ListKind(w.rng.IntN(4))}
	if l.Kind == Failed {
		return l
	}
	if l.Kind != Partial {
		for id := range w.states {
			w.states[id] = Gone
		}
	}
	for range w.rng.IntN(4) {
		i := w.rng.IntN(8)
		e := Entry{Server: ServerID(fmt.Sprint("s", i)), Weight: float64(w.rng.IntN(3)), State: State(w.rng.IntN(3)),
			Started: Time(w.rng.IntN(2)) * w.now, Zone: fmt.Sprint(i % 2), Cell: i % 3}
		if i == 0 {
			e.Kind = "origin"
		}
		w.states[e.Server] = e.State
		l.Entries = append(l.Entries, e)
	}
	return l
}

// randomEvent returns a request, a message of random bytes, or an event about something unknown.
func (w *fuzzHost) randomEvent() Event {
	switch w.rng.IntN(12) {
	case 0:
		text := make([]byte, w.rng.IntN(60))
		for i := range text {
			text[i] = byte(w.rng.IntN(256))
		}
		return PeerMessage{Content: text}
	case 1:
		return ClientGone{ID: "nobody"}
	case 2:
		return Outcome{ID: "nobody", Attempt: 3}
	case 3:
		return Timer{Token: int64(w.rng.IntN(1<<20) + 1<<40)}
	default:
		w.next++
		q := Request{ID: RequestID(fmt.Sprint(w.next)), Class: []string{"read", "add", "zoned", "once", "?"}[w.rng.IntN(5)],
			Key: uint64(w.rng.IntN(9)), HasKey: w.rng.IntN(4) > 0, Write: w.rng.IntN(4) == 0,
			Due: w.now.Add(time.Duration(w.rng.IntN(1500)-20) * time.Millisecond)}
		o := &openRequest{due: q.Due}
		for _, c := range w.set.Classes {
			if c.Name == q.Class {
				o.class = c
			}
		}
		w.open[q.ID] = o
		return q
	}
}

// outcomes ends attempts: at random before the deadline, all at the deadline.
func (w *fuzzHost) outcomes() (events []Event) {
	for _, id := range slices.Sorted(maps.Keys(w.open)) {
		o := w.open[id]
		for n := range o.tries {
			a := &o.tries[n]
			if !a.open || w.now < o.due && w.rng.IntN(30) > 0 {
				continue
			}
			result := Result(w.rng.IntN(int(Miss) + 1))
			if w.now >= o.due {
				result = TimedOut
			}
			a.open, a.neverRan = false, result.HadNoEffect()
			o.inFlight--
			o.ended = o.ended || result == OK
			events = append(events, Outcome{ID: id, Attempt: n, Server: a.to, Result: result, Done: o.ended})
		}
	}
	return events
}

// check checks the last batch's actions against the rules.
func (w *fuzzHost) check() {
	for _, a := range w.lastActions {
		switch a := a.(type) {
		case Send:
			o := w.open[a.ID]
			if o == nil || o.ended {
				w.t.Fatalf("%s sent after its final answer", a.ID)
			}
			if w.states[a.Server] != Up {
				w.t.Fatalf("%s sent to %s in state %v", a.ID, a.Server, w.states[a.Server])
			}
			if o.inFlight > 0 && !w.set.ParallelAttempts {
				w.t.Fatalf("%s has two attempts in flight", a.ID)
			}
			for _, earlier := range o.tries {
				if earlier.neverRan || o.class.Effect == Safe {
					continue
				}
				if o.class.Effect == Unsafe || w.now >= earlier.sent.Add(o.class.RepeatWindow) {
					w.t.Fatalf("%s may run twice", a.ID)
				}
			}
			if w.set.MaxAttempts > 0 && len(o.tries) >= w.set.MaxAttempts {
				w.t.Fatalf("%s has too many attempts", a.ID)
			}
			o.tries = append(o.tries, sentAttempt{to: a.Server, sent: w.now, open: true})
			o.inFlight++
		case Refuse:
			o := w.open[a.ID]
			for _, earlier := range o.tries {
				if !earlier.neverRan && o.class.Effect != Safe {
					w.t.Fatalf("%s refused though it may have run", a.ID)
				}
			}
			o.ended = true
		case Fail:
			w.open[a.ID].ended = true
		}
	}
	for id, o := range w.open {
		if !o.ended && w.now > o.due+21*ms {
			w.t.Fatalf("%s has no final answer %v after its deadline", id, w.now.Sub(o.due))
		}
		if o.ended && o.inFlight == 0 {
			if w.b.requests[id] != nil {
				w.t.Fatalf("%s is still held", id)
			}
			delete(w.open, id)
		}
	}
}
