package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/kit/scenario"
)

// linkFault is a trouble on the messages between some routers and others.
type linkFault struct {
	scenario.Trouble
	affected, peers map[int]bool
}

// affects reports whether a message from one router to another is subject to the fault.
func (l *linkFault) affects(from, to int) bool {
	return l.Way != "in" && l.affected[from] && l.peers[to] || l.Way != "out" && l.affected[to] && l.peers[from]
}

// maxReorderDelay is the longest extra delay of a message that is reordered.
const maxReorderDelay = 500 * time.Millisecond

// MessageDelays draws the delays after which a message from one router to another arrives: none if it is lost, and two if
// one fault duplicates it, otherwise one. The random numbers come from the host's own stream.
func (w *World) MessageDelays(rng *rand.Rand, from, to int) (after []time.Duration) {
	m := w.scenario.Messages
	if rng.Float64() < m.Loss {
		return nil
	}
	drawDelay := func(d [2]scenario.Duration) time.Duration {
		return d[0].D() + time.Duration(rng.Float64()*float64(d[1]-d[0]))
	}
	delay, copies := drawDelay(m.Delay), 1
	for _, l := range w.linkFaults {
		if !l.affects(from, to) {
			continue
		}
		if l.Loss == 0 && l.Delay[1] == 0 && l.Repeats == 0 && l.Reorder == 0 || rng.Float64() < l.Loss {
			return nil
		}
		delay += drawDelay(l.Delay)
		if rng.Float64() < l.Reorder {
			delay += time.Duration(rng.Float64() * float64(maxReorderDelay))
		}
		if rng.Float64() < l.Repeats {
			copies++
		}
	}
	for range copies {
		after = append(after, delay)
		delay += drawDelay(m.Delay)
	}
	return after
}

// startLinkFault starts a router-link trouble and schedules its end.
func (w *World) startLinkFault(i int, t scenario.Trouble, span time.Duration) {
	l := &linkFault{Trouble: t, affected: map[int]bool{}, peers: map[int]bool{}}
	for _, r := range w.affectedRouters(i, t) {
		l.affected[r] = true
	}
	for r, name := range w.scenario.RouterNames() {
		l.peers[r] = t.To == name || t.To == w.RouterSite(r) || t.To == "" && !l.affected[r]
	}
	if t.To == "" && len(l.affected) == len(l.peers) { // all routers are affected: so are all links
		l.peers = l.affected
	}
	w.After(span, w.addLinkFault(l))
}

// addLinkFault activates a link fault until heal is called.
func (w *World) addLinkFault(l *linkFault) (heal func()) {
	w.linkFaults = append(w.linkFaults, l)
	return func() {
		w.linkFaults = slices.DeleteFunc(w.linkFaults, func(o *linkFault) bool { return o == l })
	}
}

// AddLinkFault applies a link fault to the links between routers and others, as a trouble of kind router-link does, until heal is
// called. Only Way, Loss, Delay, Repeats and Reorder of the trouble are used.
func (w *World) AddLinkFault(routers, others []int, t scenario.Trouble) (heal func()) {
	l := &linkFault{Trouble: t, affected: map[int]bool{}, peers: map[int]bool{}}
	for _, r := range routers {
		l.affected[r] = true
	}
	for _, r := range others {
		l.peers[r] = true
	}
	return w.addLinkFault(l)
}

// Stall suspends a router, or resumes it.
func (w *World) Stall(router int, on bool) {
	w.adjustStalls([]int{router}, map[bool]int{true: 1, false: -1}[on])
}

// crashLoop kills and restarts routers several times at drawn times; after the last restart they keep running.
func (w *World) crashLoop(i int, t scenario.Trouble, all []int) {
	interval := t.For.D() / time.Duration(int(t.Size)+1)
	rng := Stream(w.seed, fmt.Sprint("crash loop ", i))
	for _, r := range all {
		for n := range int(t.Size) + 1 {
			at := interval * time.Duration(n)
			w.After(at, func() { w.host.KillRouter(r) })
			restartAt := at + time.Duration((0.2+0.6*rng.Float64())*float64(interval))
			if n == int(t.Size) {
				restartAt = t.For.D()
			}
			w.After(restartAt, func() { w.host.StartRouter(r, foundState(t)) })
		}
	}
}
