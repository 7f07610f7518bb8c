package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is many routers before the same caches: each router's decisions alone, their sum counted.
type fleet struct {
	routers []*Balancer
	now     Time
	queue   queue
	order   int
	rng     *rand.Rand
	cache   map[ServerID]func() (time.Duration, Result) // how each answers just now; nil: not at all
	lost    func() bool                                 // of a message between routers

	open  map[string]bool // attempts under way
	tries map[string]int  // of a request
	sent  map[ServerID]int
	taken int
	ended map[string]int // served, refused, failed
}

type queue []due

type due struct {
	at    Time
	order int
	do    func()
}

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(due)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newFleet starts routers before caches c0, c1 and so on, which answer in about a tenth of an aim.
func newFleet(routers, caches int) *fleet {
	f := &fleet{now: 1e12, rng: rand.New(rand.NewPCG(1, 2)), cache: map[ServerID]func() (time.Duration, Result){},
		open: map[string]bool{}, tries: map[string]int{}, sent: map[ServerID]int{}, ended: map[string]int{}}
	list := List{Kind: Complete}
	for i := range caches {
		id := ServerID(fmt.Sprint("c", i))
		f.cache[id] = f.well
		list.Entries = append(list.Entries, Entry{Server: id, Weight: 1})
	}
	for i := range routers {
		set := testSettings()
		set.Routers, set.Number, set.PeerMessages = routers, i, true
		f.routers = append(f.routers, New(set, uint64(i)))
		f.give(i, list)
	}
	return f
}

func (f *fleet) well() (time.Duration, Result) {
	return time.Duration(20+f.rng.IntN(60)) * time.Millisecond, OK
}

func (f *fleet) errs() (time.Duration, Result) { return 5 * time.Millisecond, Errored }

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, due{f.now.Add(d), f.order, do})
}

// give hands a router one event and carries out what it decides.
func (f *fleet) give(i int, e Event) {
	for _, a := range f.routers[i].Handle(f.now, []Event{e}) {
		switch a := a.(type) {
		case SetTimer:
			f.after(a.After, func() { f.give(i, Timer{Token: a.Token}) })
		case Tell:
			if f.lost == nil || !f.lost() {
				f.after(15*time.Millisecond, func() { f.give(a.To, Heard{Content: a.Content}) })
			}
		case Refuse:
			f.ended["refused"]++
		case Fail:
			f.ended["failed"]++
		case Send:
			n := f.tries[string(a.ID)]
			f.tries[string(a.ID)]++
			f.sent[a.Server]++
			name := fmt.Sprint(a.ID, "/", n)
			f.open[name] = true
			if answer := f.cache[a.Server]; answer != nil {
				took, result := answer()
				f.after(took, func() {
					f.end(i, name, Outcome{ID: a.ID, Attempt: n, Server: a.Server, Result: result, Done: result == OK})
				})
			}
		case Cancel:
			name := fmt.Sprint(a.ID, "/", a.Attempt)
			f.after(0, func() { f.end(i, name, Outcome{ID: a.ID, Attempt: a.Attempt, Result: Cancelled}) })
		}
	}
}

func (f *fleet) end(i int, name string, o Outcome) {
	if f.open[name] {
		delete(f.open, name)
		if o.Result == OK {
			f.ended["served"]++
		}
		f.give(i, o)
	}
}

// run lets time pass under reads of many keys, so many a second at all routers together.
func (f *fleet) run(span time.Duration, perSecond int) {
	until, next := f.now.Add(span), f.now
	for next < until {
		for len(f.queue) > 0 && f.queue[0].at <= next {
			d := heap.Pop(&f.queue).(due)
			f.now = max(f.now, d.at)
			d.do()
		}
		f.now = next
		f.taken++
		id := RequestID(fmt.Sprint("r", f.taken))
		f.give(f.rng.IntN(len(f.routers)), Request{ID: id, Class: "read", Key: f.rng.Uint64(), HasKey: true, Due: f.now + 1000*ms})
		next = next.Add(time.Duration(f.rng.ExpFloat64() * float64(time.Second) / float64(perSecond)))
	}
}

func (f *fleet) reset() { clear(f.sent); clear(f.ended) }

// Guard: a seventh of the caches answer all with errors, then a zone falls silent: the bad are a fifth of what is left.
// Taken for a common cause, their errors shut the gate, were not tried elsewhere and ejected nobody: two of three
// requests were refused that the good caches could have taken.
func TestFewBadCachesAndALostZone(t *testing.T) {
	f := newFleet(40, 30)
	f.run(3*time.Second, 600)
	for i := range 4 {
		f.cache[ServerID(fmt.Sprint("c", i))] = f.errs
	}
	f.run(2*time.Second, 600)
	for i := 18; i < 30; i++ {
		f.cache[ServerID(fmt.Sprint("c", i))] = nil
	}
	f.run(2*time.Second, 600)
	f.reset()
	f.run(5*time.Second, 600)
	asked := f.ended["served"] + f.ended["refused"] + f.ended["failed"]
	if part := float64(f.ended["served"]) / float64(asked); part < 0.8 {
		t.Errorf("%.2f of %d requests were served by the caches that are well", part, asked)
	}
	for i, b := range f.routers {
		if b.erring >= commonCause {
			t.Errorf("router %d takes the errors of four caches of thirty for a common cause: %.2f", i, b.erring)
		}
	}
}

// Guard: what all caches share shows as errors at all of them, and still counts as a common cause.
func TestErrorsOfAllCachesAreCommon(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for id := range f.cache {
		f.cache[id] = func() (time.Duration, Result) {
			if f.rng.IntN(2) == 0 {
				return f.errs()
			}
			return f.well()
		}
	}
	f.run(4*time.Second, 600)
	mean := 0.0
	for _, b := range f.routers {
		mean += b.erring / float64(len(f.routers))
	}
	if mean < commonCause {
		t.Errorf("half of all answers are errors, at every cache alike, and count as %.2f", mean)
	}
}

// meanGate is how far the routers' gates are open.
func (f *fleet) meanGate() (open float64) {
	for _, b := range f.routers {
		open += b.gate.open / float64(len(f.routers))
	}
	return open
}

// Guard: most attempts are turned away within a millisecond and what is answered comes late. By the mean of all attempts
// that was the quickest of fleets: gates stayed open, and seven of ten requests failed for ten seconds.
func TestAttemptsTurnedAwayDontHideAJam(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for id := range f.cache {
		f.cache[id] = func() (time.Duration, Result) {
			if f.rng.IntN(3) > 0 {
				return time.Millisecond, Full
			}
			return time.Duration(300+f.rng.IntN(300)) * time.Millisecond, OK
		}
	}
	f.run(3*time.Second, 600)
	if open := f.meanGate(); open > 0.7 {
		t.Errorf("the gates are open by %.2f", open)
	}
}

// Guard: two of five caches fall silent while the others answer quickly: no jam, whatever the silent ones hold.
func TestSilentCachesDontShutTheGate(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for i := 18; i < 30; i++ {
		f.cache[ServerID(fmt.Sprint("c", i))] = nil
	}
	f.run(3*time.Second, 600)
	if open := f.meanGate(); open < 0.95 {
		t.Errorf("the gates are open by %.2f", open)
	}
}

// Guard: where nobody answers at all there is no time of answers to go by, and the gates close all the same.
func TestGateClosesWhereNobodyAnswers(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for id := range f.cache {
		f.cache[id] = nil
	}
	f.run(4*time.Second, 600)
	if open := f.meanGate(); open > 0.7 {
		t.Errorf("the gates are open by %.2f", open)
	}
}
