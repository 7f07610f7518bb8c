package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates many routers in front of the same caches and counts the results of all routers together.
type fleet struct {
	routers  []*Balancer
	now      Time
	queue    callQueue
	sequence int
	rng      *rand.Rand
	answers  map[ServerID]func() (time.Duration, Result) // how each answers at present; nil if it does not
	lost     func() bool                                 // tells whether a message between routers is lost; nil if none is

	inFlight map[string]bool // attempts in flight
	tries    map[string]int  // attempts by request
	sent     map[ServerID]int
	requests int
	results  map[string]int // served, refused, failed
}

// callQueue is a heap of calls by time, then in the order of scheduling.
type callQueue []timedCall

type timedCall struct {
	at       Time
	sequence int
	call     func()
}

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(timedCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newFleet starts routers in front of caches c0, c1 and so on, which answer in about a tenth of the latency target.
func newFleet(routers, caches int) *fleet {
	f := &fleet{now: 1e12, rng: rand.New(rand.NewPCG(1, 2)), answers: map[ServerID]func() (time.Duration, Result){},
		inFlight: map[string]bool{}, tries: map[string]int{}, sent: map[ServerID]int{}, results: map[string]int{}}
	list := List{Kind: Complete}
	for i := range caches {
		id := ServerID(fmt.Sprint("c", i))
		f.answers[id] = f.answerOK
		list.Entries = append(list.Entries, Entry{Server: id, Weight: 1})
	}
	for i := range routers {
		set := testSettings()
		set.Routers, set.Index, set.PeerMessages = routers, i, true
		f.routers = append(f.routers, New(set, uint64(i)))
		f.handle(i, list)
	}
	return f
}

func (f *fleet) answerOK() (time.Duration, Result) {
	return time.Duration(20+f.rng.IntN(60)) * time.Millisecond, OK
}

func (f *fleet) answerError() (time.Duration, Result) { return 5 * time.Millisecond, Errored }

// after schedules a call at d from now.
func (f *fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, timedCall{f.now.Add(d), f.sequence, do})
}

// handle passes an event to router i and carries out the actions.
func (f *fleet) handle(i int, e Event) {
	for _, a := range f.routers[i].Handle(f.now, []Event{e}) {
		switch a := a.(type) {
		case SetTimer:
			f.after(a.After, func() { f.handle(i, Timer{Token: a.Token}) })
		case SendPeerMessage:
			if f.lost == nil || !f.lost() {
				f.after(15*time.Millisecond, func() { f.handle(a.To, PeerMessage{Content: a.Content}) })
			}
		case Refuse:
			f.results["refused"]++
		case Fail:
			f.results["failed"]++
		case Send:
			n := f.tries[string(a.ID)]
			f.tries[string(a.ID)]++
			f.sent[a.Server]++
			name := fmt.Sprint(a.ID, "/", n)
			f.inFlight[name] = true
			if answer := f.answers[a.Server]; answer != nil {
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

// end ends an attempt of router i unless it has ended before.
func (f *fleet) end(i int, name string, o Outcome) {
	if f.inFlight[name] {
		delete(f.inFlight, name)
		if o.Result == OK {
			f.results["served"]++
		}
		f.handle(i, o)
	}
}

// run advances time while reads of many keys arrive, perSecond at all routers together.
func (f *fleet) run(span time.Duration, perSecond int) {
	until, next := f.now.Add(span), f.now
	for next < until {
		for len(f.queue) > 0 && f.queue[0].at <= next {
			d := heap.Pop(&f.queue).(timedCall)
			f.now = max(f.now, d.at)
			d.call()
		}
		f.now = next
		f.requests++
		id := RequestID(fmt.Sprint("r", f.requests))
		f.handle(f.rng.IntN(len(f.routers)), Request{ID: id, Class: "read", Key: f.rng.Uint64(), HasKey: true, Due: f.now + 1000*ms})
		next = next.Add(time.Duration(f.rng.ExpFloat64() * float64(time.Second) / float64(perSecond)))
	}
}

// reset clears the counts.
func (f *fleet) reset() { clear(f.sent); clear(f.results) }

// A seventh of the caches answer only errors, then a zone falls silent, so that the bad ones are a fifth of those left. When these
// errors counted as a shared cause, they closed the gate, were not retried and ejected no cache: two of three requests were
// refused that the good caches could have taken.
func TestFewBadCachesAndALostZone(t *testing.T) {
	f := newFleet(40, 30)
	f.run(3*time.Second, 600)
	for i := range 4 {
		f.answers[ServerID(fmt.Sprint("c", i))] = f.answerError
	}
	f.run(2*time.Second, 600)
	for i := 18; i < 30; i++ {
		f.answers[ServerID(fmt.Sprint("c", i))] = nil
	}
	f.run(2*time.Second, 600)
	f.reset()
	f.run(5*time.Second, 600)
	asked := f.results["served"] + f.results["refused"] + f.results["failed"]
	if part := float64(f.results["served"]) / float64(asked); part < 0.8 {
		t.Errorf("%.2f of %d requests were served, though most caches are healthy", part, asked)
	}
	for i, b := range f.routers {
		if b.errorRate >= commonErrors {
			t.Errorf("router %d counts the errors of 4 of 30 caches as a shared cause: error rate %.2f", i, b.errorRate)
		}
	}
}

// Errors at all caches alike count as a shared cause.
func TestErrorsAtAllCachesCountAsShared(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for id := range f.answers {
		f.answers[id] = func() (time.Duration, Result) {
			if f.rng.IntN(2) == 0 {
				return f.answerError()
			}
			return f.answerOK()
		}
	}
	f.run(4*time.Second, 600)
	mean := 0.0
	for _, b := range f.routers {
		mean += b.errorRate / float64(len(f.routers))
	}
	if mean < commonErrors {
		t.Errorf("half of all answers are errors, at every cache alike, but the mean error rate is %.2f", mean)
	}
}

// meanGate returns the mean of the routers' gates for caches.
func (f *fleet) meanGate() (open float64) {
	for _, b := range f.routers {
		open += b.cacheGate.ratio / float64(len(f.routers))
	}
	return open
}

// Caches reject most attempts within a millisecond and answer the rest late. When the mean latency covered all attempts, the
// fleet seemed fast: gates stayed open, and seven of ten requests failed for ten seconds.
func TestRejectedAttemptsDoNotHideOverload(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for id := range f.answers {
		f.answers[id] = func() (time.Duration, Result) {
			if f.rng.IntN(3) > 0 {
				return time.Millisecond, Rejected
			}
			return time.Duration(300+f.rng.IntN(300)) * time.Millisecond, OK
		}
	}
	f.run(3*time.Second, 600)
	if open := f.meanGate(); open > 0.7 {
		t.Errorf("the gates let %.2f of the requests pass", open)
	}
}

// Two of five caches fall silent while the others answer fast: that is no general overload, whatever the silent ones hold.
func TestSilentCachesDoNotCloseTheGate(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for i := 18; i < 30; i++ {
		f.answers[ServerID(fmt.Sprint("c", i))] = nil
	}
	f.run(3*time.Second, 600)
	if open := f.meanGate(); open < 0.95 {
		t.Errorf("the gates let %.2f of the requests pass", open)
	}
}

// If no cache answers, there is no latency to measure, and the gates must close all the same.
func TestGateClosesWhereNobodyAnswers(t *testing.T) {
	f := newFleet(40, 30)
	f.run(2*time.Second, 600)
	for id := range f.answers {
		f.answers[id] = nil
	}
	f.run(4*time.Second, 600)
	if open := f.meanGate(); open > 0.7 {
		t.Errorf("the gates let %.2f of the requests pass", open)
	}
}
