package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/kit/scenario"
)

// link is a trouble on the messages between some routers and others.
type link struct {
	scenario.Trouble
	struck, to map[int]bool
}

// strikes tells whether a message from one router to another is on the link.
func (l *link) strikes(from, to int) bool {
	return l.Way != "in" && l.struck[from] && l.to[to] || l.Way != "out" && l.struck[to] && l.to[from]
}

// heldFor is how long a message that is to be overtaken is held at most.
const heldFor = 500 * time.Millisecond

// Carry draws the times after which a message from one router to another comes: one, none if it is lost, two if it is repeated.
// The numbers come from the host's own stream.
func (w *World) Carry(rng *rand.Rand, from, to int) (after []time.Duration) {
	m := w.set.Messages
	if rng.Float64() < m.Loss {
		return nil
	}
	usual := func(d [2]scenario.Duration) time.Duration {
		return d[0].D() + time.Duration(rng.Float64()*float64(d[1]-d[0]))
	}
	took, times := usual(m.Delay), 1
	for _, l := range w.links {
		if !l.strikes(from, to) {
			continue
		}
		if l.Loss == 0 && l.Delay[1] == 0 && l.Repeats == 0 && l.Reorder == 0 || rng.Float64() < l.Loss {
			return nil
		}
		took += usual(l.Delay)
		if rng.Float64() < l.Reorder {
			took += time.Duration(rng.Float64() * float64(heldFor))
		}
		if rng.Float64() < l.Repeats {
			times++
		}
	}
	for range times {
		after = append(after, took)
		took += usual(m.Delay)
	}
	return after
}

// strikeLinks begins a trouble on links, and ends it.
func (w *World) strikeLinks(i int, t scenario.Trouble, span time.Duration) {
	l := &link{Trouble: t, struck: map[int]bool{}, to: map[int]bool{}}
	for _, r := range w.struckRouters(i, t) {
		l.struck[r] = true
	}
	for r, name := range w.set.RouterNames() {
		l.to[r] = t.To == name || t.To == w.RouterSite(r) || t.To == "" && !l.struck[r]
	}
	if t.To == "" && len(l.struck) == len(l.to) { // all routers are struck: all links
		l.to = l.struck
	}
	w.After(span, w.strike(l))
}

// strike strikes a link until heal is called.
func (w *World) strike(l *link) (heal func()) {
	w.links = append(w.links, l)
	return func() {
		w.links = slices.DeleteFunc(w.links, func(o *link) bool { return o == l })
	}
}

// Strike strikes the links between some routers and others as a trouble of kind router-link does, until heal is called. Of the
// trouble way, loss, delay, repeats and reorder count.
func (w *World) Strike(routers, others []int, t scenario.Trouble) (heal func()) {
	l := &link{Trouble: t, struck: map[int]bool{}, to: map[int]bool{}}
	for _, r := range routers {
		l.struck[r] = true
	}
	for _, r := range others {
		l.to[r] = true
	}
	return w.strike(l)
}

// Stall has a router stand still, or go on.
func (w *World) Stall(router int, on bool) {
	w.stall([]int{router}, map[bool]int{true: 1, false: -1}[on])
}

// crashLoop kills routers and has them start and die again at drawn times; when it is over they stay.
func (w *World) crashLoop(i int, t scenario.Trouble, all []int) {
	part := t.For.D() / time.Duration(int(t.Size)+1)
	rng := Stream(w.seed, fmt.Sprint("crash loop ", i))
	for _, r := range all {
		for n := range int(t.Size) + 1 {
			at := part * time.Duration(n)
			w.After(at, func() { w.host.KillRouter(r) })
			back := at + time.Duration((0.2+0.6*rng.Float64())*float64(part))
			if n == int(t.Size) {
				back = t.For.D()
			}
			w.After(back, func() { w.host.StartRouter(r, finds(t)) })
		}
	}
}
