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

// playUntil runs a world's events up to a point in virtual time, or until holds returns true.
func (w *world) playUntil(at time.Duration, holds func() bool) {
	for len(w.queue) > 0 && w.failure == "" && w.since() < at && !holds() {
		next := heap.Pop(&w.queue).(*event)
		w.now = next.at
		next.do()
	}
}

func never() bool { return false }

// manyRoutes returns a configuration with a number of routes, based on another one. Consecutive ones differ in the name of one route.
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

// A member that missed 600 configurations of 200 routes restarts with a disk that is 30 times as slow, while 30 changes a second go on.
// It must vote again and catch up within catchUpTimeout. Fails where a snapshot transfer starts over with each compaction, or where a
// voter's acknowledgements wait for the transfer.
func TestAMemberFarBehind(t *testing.T) {
	const changes, routes = 600, 200
	w := newWorld(Options{Seed: 5, Faults: []Fault{}, Machines: 3})
	w.playUntil(2*time.Second, never)
	lagging := w.hosts[(w.leader().index+1)%3]
	lagging.stop()
	accepted, slowest := 0, time.Duration(0)
	var change func()
	change = func() {
		w.after(33*time.Millisecond, change)
		leader := w.leader()
		if leader == nil {
			return
		}
		var base clusterstate.Version
		readState(leader.machine, func(s *clusterstate.State) { base = s.Version })
		started := w.now
		w.propose(leader, clusterstate.Command{Put: manyRoutes(base, routes)}.Encode(), func(r configstore.Reply) {
			if r.Known && r.Status == clusterstate.StatusOK {
				accepted++
				slowest = max(slowest, w.now.Sub(started))
			}
		})
	}
	change()
	w.playUntil(time.Minute, func() bool { return accepted >= changes })
	missed := accepted
	lagging.disk.Slow = true
	restarted := w.now
	lagging.startAfter(0)
	caughtUp := func() bool {
		leader := w.leader()
		return leader != nil && lagging.machine != nil && leader.machine.View.AppliedIndex()-lagging.machine.View.AppliedIndex() < 10 &&
			leader.machine.Membership().Contains(lagging.machine.Self().ID) && !leader.machine.Membership().Joint()
	}
	w.playUntil(w.since()+10*time.Second, caughtUp)
	took := w.now.Sub(restarted)
	assert.Equal(t, w.failure, "")
	assert.Assert(t, caughtUp() && took < catchUpTimeout, "after %v", took)
	t.Logf("%d configurations missed, caught up after %v, %d more taken meanwhile; slowest acknowledgement %v", missed, took, accepted-missed, slowest)
}
