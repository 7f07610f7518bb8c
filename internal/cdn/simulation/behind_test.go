package simulation

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"

	"gotest.tools/v3/assert"
)

// playUntil plays a world's events up to a time, or until something holds.
func (w *world) playUntil(at time.Duration, holds func() bool) {
	for len(w.queue) > 0 && w.failure == "" && w.since() < at && !holds() {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.do()
	}
}

func never() bool { return false }

// manyRoutes is a configuration of so many routes on top of another one.
func manyRoutes(base clusterstate.Version, routes int) []byte {
	body := fmt.Appendf(nil, `{"edition":"%s","based_on":"%s","parcels":[{"parcel_kind":"carriers","label":{"name":"c"},"manifest":{"health_path":"/h"}}`, base+1, base)
	for i := range routes {
		name := fmt.Sprint("r-", i)
		if i == int(base)%routes {
			name = fmt.Sprintf("r-%d-at-%d", i, base)
		}
		body = fmt.Appendf(body, `,{"parcel_kind":"routes","label":{"name":"%s"},"manifest":{"domain":"d","path_prefix":"/%d/","mail_class":"resendable","timeout":"1s","carrier":"c"}}`, name, i)
	}
	return append(body, "]}"...)
}

// A member that was away for 600 configurations of 200 routes comes back with a disk that takes thirty times as long, while
// changes go on, thirty a second: it votes again and holds all within the time for which it counts as lost. Fails where a
// snapshot begins anew with each compaction, or a voter's acknowledgements wait for it.
func TestAMemberFarBehind(t *testing.T) {
	const changes, routes = 600, 200
	w := newWorld(Options{Seed: 5, Faults: []Fault{}, Machine: 3})
	w.playUntil(2*time.Second, never)
	away := w.hosts[(w.leader().index+1)%3]
	away.stop()
	taken, slowest := 0, time.Duration(0)
	var change func()
	change = func() {
		w.after(33*time.Millisecond, change)
		l := w.leader()
		if l == nil {
			return
		}
		var base clusterstate.Version
		state(l.machine, func(s *clusterstate.State) { base = s.Version })
		begun := w.now
		w.propose(l, clusterstate.Command{Put: manyRoutes(base, routes)}.Encode(), func(r configstore.Reply) {
			if r.Known && r.Status == clusterstate.Done {
				taken++
				slowest = max(slowest, w.now.Sub(begun))
			}
		})
	}
	change()
	w.playUntil(time.Minute, func() bool { return taken >= changes })
	missed := taken
	away.disk.Slow = true
	back := w.now
	away.startAfter(0)
	caughtUp := func() bool {
		l := w.leader()
		return l != nil && away.machine != nil && l.machine.View.Applied()-away.machine.View.Applied() < 10 &&
			l.machine.Membership().Contains(away.machine.Self().ID) && !l.machine.Membership().Joint()
	}
	w.playUntil(w.since()+10*time.Second, caughtUp)
	took := w.now.Sub(back)
	assert.Equal(t, w.failure, "")
	assert.Assert(t, caughtUp() && took < catchUp, "after %v", took)
	t.Logf("%d configurations missed, caught up after %v, %d more taken meanwhile; slowest acknowledgement %v", missed, took, taken-missed, slowest)
}
