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

// testSettings is a small site: one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1, Effect: Safe},
			{Name: "add", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 3, Effect: Keyed,
				Group: GroupAll, Memory: 800 * time.Millisecond},
			{Name: "zoned", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 3, Effect: Keyed,
				Group: GroupZone, Memory: time.Minute},
			{Name: "once", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 3, Effect: Unsafe},
		},
		Routers: 2, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: time.Second,
		ColdFrom: 0.2, Ramp: 20 * time.Second, OverloadFactor: 3, OverloadFor: 2 * time.Second,
	}
}

// rig feeds a balancer and remembers what it did.
type rig struct {
	t         *testing.T
	b         *Balancer
	now       Time
	last      []Action
	timers    map[Time][]int64
	tries     map[RequestID][]ServerID
	refused   map[RequestID]time.Duration
	failed    map[RequestID]bool
	cancelled map[RequestID]bool
	asked     int
}

func newRig(t *testing.T, set Settings) *rig {
	return &rig{t: t, b: New(set, 7), now: 1e12, timers: map[Time][]int64{}, tries: map[RequestID][]ServerID{},
		refused: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}, cancelled: map[RequestID]bool{}}
}

func (g *rig) give(events ...Event) {
	g.last = g.b.Handle(g.now, events)
	for _, a := range g.last {
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
			g.asked++
		}
	}
}

// run lets time pass, a millisecond a batch.
func (g *rig) run(d time.Duration) {
	for end := g.now.Add(d); g.now < end; {
		g.now += ms
		tokens := g.timers[g.now]
		delete(g.timers, g.now)
		for _, token := range tokens {
			g.give(Timer{Token: token})
		}
	}
}

func (g *rig) caches(n int) {
	l := List{Kind: Complete}
	for i := range n {
		l.Entries = append(l.Entries, Entry{Server: ServerID(fmt.Sprintf("c%d", i)), Weight: 1,
			Zone: fmt.Sprintf("z%d", i%2)})
	}
	g.give(l)
}

func (g *rig) ask(id, class string) {
	g.give(Request{ID: RequestID(id), Class: class, Key: 42, HasKey: true, Due: g.now.Add(1500 * time.Millisecond)})
}

// answer ends the request's last attempt.
func (g *rig) answer(id string, result Result) {
	tries := g.tries[RequestID(id)]
	if len(tries) == 0 {
		g.t.Fatalf("request %s was never sent", id)
	}
	g.give(Outcome{ID: RequestID(id), Attempt: len(tries) - 1, Server: tries[len(tries)-1], Result: result,
		Done: result == OK})
}

func (g *rig) want(id string, tries int, refused, failed bool) {
	g.t.Helper()
	_, gotRefused := g.refused[RequestID(id)]
	if n := len(g.tries[RequestID(id)]); n != tries || gotRefused != refused || g.failed[RequestID(id)] != failed {
		g.t.Errorf("%s: %d tries, refused %v, failed %v; want %d, %v, %v",
			id, n, gotRefused, g.failed[RequestID(id)], tries, refused, failed)
	}
}

// Rule 2: what may have run is sent again only where a repeat is harmless, and refused only where a retry is.
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
		{"once", Full, 0, 2, false, false},
		{"add", Reset, 0, 2, false, false},
		{"add", Reset, 799 * time.Millisecond, 2, false, false},
		{"add", Reset, 801 * time.Millisecond, 1, false, true}, // no longer remembered
		{"nameless", Reset, 0, 1, false, true},
		{"nameless", NoConnect, 0, 2, false, false},
	} {
		t.Run(fmt.Sprint(c.class, c.result, c.after), func(t *testing.T) {
			set := testSettings()
			set.MayCancel = false
			g := newRig(t, set)
			g.caches(4)
			g.ask("r", c.class)
			g.run(c.after)
			g.answer("r", c.result)
			g.want("r", c.tries, c.refused, c.failed)
		})
	}
}

// The memory counts from the first attempt that may have run, not from one that proved idle.
func TestMemoryCountsFromTheFirstThatMayHaveRun(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(4)
	g.ask("r", "add")
	g.run(200 * time.Millisecond)
	g.answer("r", NoConnect)
	g.run(300 * time.Millisecond) // 500 ms after the first, 300 after the one that may have run
	g.answer("r", Reset)
	g.want("r", 3, false, false)
}

func TestZonedRequestStaysInItsZone(t *testing.T) {
	for key := range uint64(40) {
		g := newRig(t, testSettings())
		g.caches(4)
		g.give(Request{ID: "r", Class: "zoned", Key: key, HasKey: true, Due: g.now.Add(time.Second)})
		g.answer("r", Reset)
		if tries := g.tries["r"]; len(tries) == 2 && (tries[0][1]-tries[1][1])%2 != 0 {
			t.Errorf("key %d went on from %s to %s, in another zone", key, tries[0], tries[1])
		}
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(6)
	g.ask("r", "once")
	for range 3 {
		g.answer("r", NoConnect)
	}
	g.want("r", 3, true, false)
}

// Rule 1: one final answer in time, also where nothing can be sent or the outcome is overdue.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	t.Run("no caches", func(t *testing.T) {
		g := newRig(t, testSettings())
		g.ask("r", "once")
		g.want("r", 0, true, false)
	})
	t.Run("deadline already past", func(t *testing.T) {
		g := newRig(t, testSettings())
		g.caches(2)
		g.give(Request{ID: "r", Class: "read", Due: g.now - 1})
		g.want("r", 0, true, false)
	})
	t.Run("expired at the deadline", func(t *testing.T) {
		set := testSettings()
		set.MayCancel = false
		g := newRig(t, set)
		g.caches(2)
		g.ask("r", "once")
		g.run(1500 * time.Millisecond)
		g.answer("r", TimedOut)
		g.want("r", 1, false, true)
	})
	t.Run("waiting for another's fetch", func(t *testing.T) {
		g := newAside(t)
		g.ask("a", "read")
		g.answer("a", Miss)
		g.ask("b", "read") // joins a's fetch
		g.want("b", 0, false, false)
		g.run(1500 * time.Millisecond)
		g.want("b", 0, true, false)
	})
}

func TestNothingAfterTheFinalAnswer(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(4)
	g.ask("r", "read")
	g.give(ClientGone{ID: "r"})
	g.answer("r", Reset)
	g.run(3 * time.Second)
	g.want("r", 1, false, false)
	if n := len(g.b.requests); n != 0 {
		t.Errorf("%d requests still held", n)
	}
}

// Rule 3: nothing goes to a draining or gone server, not even what was waiting for it.
func TestDrainsAreKept(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		g := newRig(t, testSettings())
		g.caches(3)
		g.give(List{Kind: Partial, Entries: []Entry{{Server: "c1", State: state}}})
		for i := range 300 {
			id := RequestID(fmt.Sprint(i))
			g.give(Request{ID: id, Class: "read", Key: uint64(i), HasKey: true, Due: g.now + 1000*ms})
			if s := g.tries[id]; len(s) > 0 && s[0] == "c1" {
				t.Fatalf("sent to a server in state %v", state)
			}
		}
	}
}

// In ask mode a failed or unanswered call is made again; an answered one is left alone.
func TestSubscriptionIsKeptAlive(t *testing.T) {
	set := testSettings()
	set.AskForList, set.AskWithin = true, 10*time.Second
	g := newRig(t, set)
	g.give(List{Kind: Persisted})
	g.run(10 * time.Millisecond)
	if g.asked != 1 {
		t.Fatalf("asked %d times at the start", g.asked)
	}
	g.run(9 * time.Second) // no answer at all
	if g.asked < 2 {
		t.Error("an unanswered call was not made again")
	}
	n := g.asked
	g.give(List{Kind: Failed})
	g.run(4 * time.Second)
	if g.asked == n {
		t.Error("a failed call was not made again")
	}
	g.give(List{Kind: Partial})
	n = g.asked
	g.run(time.Minute)
	if g.asked != n {
		t.Error("asked again while subscribed")
	}
}

// Rule 4: a cold server gets its warm share and no burst, and none of it is owed later.
func TestColdServerIsNotPushedOver(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(4)
	n, cold := 0, 0
	step := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; g.run(10 * time.Millisecond) {
			n++
			id := fmt.Sprint(n)
			g.give(Request{ID: RequestID(id), Class: "read", Key: uint64(n), HasKey: true, Due: g.now + 1000*ms})
			if tries := g.tries[RequestID(id)]; len(tries) > 0 {
				if tries[0] == "new" {
					cold++
				}
				g.answer(id, OK)
			}
		}
	}
	step(5 * time.Second)
	g.give(List{Kind: Partial, Entries: []Entry{{Server: "new", Weight: 1, Started: g.now}}})
	step(2 * time.Second)
	// 100 requests a second over five: a warm server gets 40 in two seconds, this one 0.2 to 0.28 of the
	// mean answered, times the root of 3.
	if cold == 0 || cold > 25 {
		t.Errorf("a cold server got %d requests in its first two seconds, want 1 to 25", cold)
	}
	early := cold
	step(20 * time.Second)
	if cold-early < 250 {
		t.Errorf("a server that has warmed got only %d requests in 20 s", cold-early)
	}
}

// Where most servers are cold at once, each has its share of what a warm one answers, not of a mean that the cold ones pull
// down: the fewer answers they got the smaller their budgets were, while the warm ones refused what they could not take.
// And it has no more than that: what the warm ones answer is what a warm server stands.
func TestManyColdServersHaveTheirShare(t *testing.T) {
	g := newRig(t, testSettings())
	g.caches(2)
	n, sent := 0, map[ServerID]int{}
	step := func(d time.Duration) {
		for end := g.now.Add(d); g.now < end; g.run(10 * time.Millisecond) {
			n++
			id := fmt.Sprint(n)
			g.give(Request{ID: RequestID(id), Class: "read", Key: uint64(n), HasKey: true, Due: g.now + 1000*ms})
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
	g.give(list)
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
	// Warm at a quarter to a third, times the root of 3, they stand for two to three and a half warm ones beside the two. By the
	// mean of all eight they had a third.
	part := float64(cold) / float64(cold+warm)
	if part < 0.45 || part > 0.75 {
		t.Errorf("%d requests at six cold servers, %d at two warm ones: %.2f", cold, warm, part)
	}
}

// A process that replaces another one gives cold servers their share at once, by what the other one was answered: its own
// window takes twice the stated span to fill. Without a word of it the share grows from one request an aim.
func TestColdShareOverAReplacement(t *testing.T) {
	first := func(answered float64) (cold int) {
		set := testSettings()
		set.Answered = answered
		g := newRig(t, set)
		g.give(List{Kind: Complete, Entries: []Entry{{Server: "a", Weight: 1}, {Server: "b", Weight: 1},
			{Server: "cold", Weight: 1, Started: g.now.Add(-5 * time.Second)}}})
		for n := range 100 {
			id := fmt.Sprint(n)
			g.give(Request{ID: RequestID(id), Class: "read", Key: uint64(n), HasKey: true, Due: g.now + 1000*ms})
			if g.tries[RequestID(id)][0] == "cold" {
				cold++
			}
			g.answer(id, OK)
			g.run(10 * time.Millisecond)
		}
		return cold
	}
	// 100 a second over a warm weight of 2.4; a cold one at 0.4 has 0.4 times the root of 3 of one's 42.
	without, with := first(0), first(42)
	if with < 20 || with > 40 || with < without+5 {
		t.Errorf("%d requests in its first second with what was answered before, %d without", with, without)
	}
}

// FuzzRules drives random events, with every outcome the wire has, and checks rules 1 to 3 after each batch.
func FuzzRules(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		newWorld(t, seed).play(3000)
	})
}

// world answers a balancer at random and holds it to the rules.
type world struct {
	*rig
	rng    *rand.Rand
	set    Settings
	open   map[RequestID]*owed
	states map[ServerID]State
	next   int
}

type owed struct {
	class Class
	due   Time
	tries []try
	ended bool
	out   int
}

type try struct {
	to   ServerID
	sent Time
	open bool
	idle bool
}

func newWorld(t *testing.T, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 3))
	set := testSettings()
	set.Aside, set.OriginKind = seed%2 == 0, "origin"
	set.Parallel = seed%3 == 0
	if seed%4 == 1 {
		set.Routers, set.PeerMessages = 300, true
	}
	set.AskForList, set.AskWithin = seed%5 == 0, 10*time.Second
	set.MayCancel = seed%7 != 0
	if seed%11 == 0 {
		set.Classes, set.MaxAttempts, set.Ramp, set.OverloadFor, set.Routers = nil, 0, 0, 0, 0
	}
	return &world{rig: newRig(t, set), rng: rng, set: set, open: map[RequestID]*owed{}, states: map[ServerID]State{}}
}

func (w *world) play(steps int) {
	for range steps {
		w.now += Time(w.rng.IntN(20)) * ms
		var events []Event
		if w.rng.IntN(6) == 0 { // the first of its batch, so that the state after the batch was known in all of it
			events = append(events, w.list())
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
			events = append(events, w.event())
		}
		events = append(events, w.overdue()...)
		w.give(events...)
		w.check()
	}
	for _, iv := range w.b.table.intervals {
		if iv.owner != "" && w.states[iv.owner] != Up {
			w.t.Errorf("%s, in state %v, owns an interval", iv.owner, w.states[iv.owner])
		}
	}
	if len(w.b.table.intervals) > 0 {
		sizes(w.t, &w.b.table)
	}
}

func (w *world) list() Event {
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

func (w *world) event() Event {
	switch w.rng.IntN(12) {
	case 0:
		text := make([]byte, w.rng.IntN(60))
		for i := range text {
			text[i] = byte(w.rng.IntN(256))
		}
		return Heard{Content: text}
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
		o := &owed{due: q.Due}
		for _, c := range w.set.Classes {
			if c.Name == q.Class {
				o.class = c
			}
		}
		w.open[q.ID] = o
		return q
	}
}

// overdue ends attempts: at random before the deadline, for certain at it.
func (w *world) overdue() (events []Event) {
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
			a.open, a.idle = false, result.NeverRan()
			o.out--
			o.ended = o.ended || result == OK
			events = append(events, Outcome{ID: id, Attempt: n, Server: a.to, Result: result, Done: o.ended})
		}
	}
	return events
}

// check holds the last batch's actions to the rules.
func (w *world) check() {
	for _, a := range w.last {
		switch a := a.(type) {
		case Send:
			o := w.open[a.ID]
			if o == nil || o.ended {
				w.t.Fatalf("%s sent after its end", a.ID)
			}
			if w.states[a.Server] != Up {
				w.t.Fatalf("%s sent to %s in state %v", a.ID, a.Server, w.states[a.Server])
			}
			if o.out > 0 && !w.set.Parallel {
				w.t.Fatalf("%s has two attempts out", a.ID)
			}
			for _, earlier := range o.tries {
				if earlier.idle || o.class.Effect == Safe {
					continue
				}
				if o.class.Effect == Unsafe || w.now >= earlier.sent.Add(o.class.Memory) {
					w.t.Fatalf("%s may run twice", a.ID)
				}
			}
			if w.set.MaxAttempts > 0 && len(o.tries) >= w.set.MaxAttempts {
				w.t.Fatalf("%s has too many attempts", a.ID)
			}
			o.tries = append(o.tries, try{to: a.Server, sent: w.now, open: true})
			o.out++
		case Refuse:
			o := w.open[a.ID]
			for _, earlier := range o.tries {
				if !earlier.idle && o.class.Effect != Safe {
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
		if o.ended && o.out == 0 {
			if w.b.requests[id] != nil {
				w.t.Fatalf("%s is still held", id)
			}
			delete(w.open, id)
		}
	}
}
