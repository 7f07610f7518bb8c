package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cedarmast/internal/kit/scenario"
)

// struck draws the nodes that a trouble strikes; the same for each seed.
func (w *World) struck(i int, t scenario.Trouble) []*Node {
	var of []*Node
	for _, n := range w.Nodes {
		if (t.Site == "" || w.SiteName(n) == t.Site) && (len(t.Nodes) == 0 || slices.Contains(t.Nodes, n.Name)) {
			of = append(of, n)
		}
	}
	if len(t.Nodes) > 0 || t.Part == 0 {
		return of
	}
	order := Stream(w.seed, fmt.Sprint("trouble ", i)).Perm(len(of))
	var all []*Node
	for _, k := range order[:int(min(math.Ceil(t.Part*float64(len(of))), float64(len(of))))] {
		all = append(all, of[k])
	}
	return all
}

func (w *World) struckRouters(i int, t scenario.Trouble) (all []int) {
	for r, name := range w.set.RouterNames() {
		if t.Router == name || t.Router == "" && (t.Site == "" || w.RouterSite(r) == t.Site) {
			all = append(all, r)
		}
	}
	if t.Part == 0 {
		return all
	}
	order := Stream(w.seed, fmt.Sprint("trouble ", i)).Perm(len(all))
	var some []int
	for _, k := range order[:int(min(math.Ceil(t.Part*float64(len(all))), float64(len(all))))] {
		some = append(some, all[k])
	}
	return some
}

// trouble begins one.
func (w *World) trouble(i int, t scenario.Trouble) {
	span := t.For.D()
	w.host.Note(w.Now(), "trouble: "+t.Kind)
	nodes := w.struck(i, t)
	// setting makes a change at each node and takes it back.
	setting := func(on, off func(n *Node)) {
		for _, n := range nodes {
			on(n)
		}
		w.After(span, func() {
			for _, n := range nodes {
				off(n)
			}
		})
	}
	switch t.Kind {
	case "crash":
		setting(func(n *Node) { w.down(n, false) }, w.start)
	case "silence":
		setting(w.vanish, w.comeBack)
	case "freeze":
		setting(func(n *Node) { n.frozen = true }, func(n *Node) {
			held := n.held
			n.frozen, n.held = false, nil
			for _, end := range held {
				end()
			}
		})
	case "errors":
		setting(func(n *Node) { n.errors = t.Size }, func(n *Node) { n.errors = 0 })
	case "turn-away":
		setting(func(n *Node) { n.away = t.Size }, func(n *Node) { n.away = 0 })
	case "slow":
		setting(func(n *Node) { n.slow = t.Size }, func(n *Node) { n.slow = 1 })
	case "spoil":
		setting(func(n *Node) { n.spoilt = t.Size }, func(n *Node) { n.spoilt = 0 })
	case "cut":
		r := slices.Index(w.set.RouterNames(), t.Router)
		setting(func(n *Node) { n.silent[r] = true; w.silence(n, r, true) },
			func(n *Node) { delete(n.silent, r); w.silence(n, r, false) })
	case "site-loss":
		if t.With {
			w.routersGone(w.struckRouters(i, scenario.Trouble{Site: t.Site}), span, Finds{}, w.host.KillRouter)
		}
		setting(w.vanish, w.comeBack)
	case "flush":
		for _, n := range nodes {
			n.cache.Purge()
		}
	case "deploy":
		w.deploy(nodes, span)
	case "shrink":
		for _, n := range nodes {
			w.drain(n)
		}
		w.After(span, func() {
			for _, n := range nodes {
				w.start(n)
			}
		})
	case "grow":
		for _, n := range nodes {
			w.start(n)
		}
	case "discovery-silence":
		w.host.SilenceDiscovery(true)
		w.After(span, func() { w.host.SilenceDiscovery(false) })
	case "discovery-stale":
		w.holdNews(span)
	case "discovery-flap":
		w.flap(nodes, w.Now()+span)
	case "router-kill":
		w.routersGone(w.struckRouters(i, t), span, finds(t), w.host.KillRouter)
	case "router-stop":
		w.routersGone(w.struckRouters(i, t), span, finds(t), w.host.StopRouter)
	case "router-crash-loop":
		w.crashLoop(i, t, w.struckRouters(i, t))
	case "router-link":
		w.strikeLinks(i, t, span)
	case "disk-full":
		all := w.struckRouters(i, t)
		fill := func(full bool) {
			for _, r := range all {
				w.host.FillDisk(r, full)
			}
		}
		fill(true)
		w.After(span, func() { fill(false) })
	case "router-stall":
		all := w.struckRouters(i, t)
		w.stall(all, 1)
		w.After(span, func() { w.stall(all, -1) })
	case "router-reload":
		for _, r := range w.struckRouters(i, t) {
			w.host.ReloadRouter(r)
		}
	case "bad-clients":
		w.host.BadClients(int(t.Size), span)
	case "database-stall":
		w.db.stall(span)
	} // burst and heavy are in what was drawn
}

func (w *World) silence(n *Node, router int, on bool) {
	w.host.Silence(n, router, on)
	w.led.Silence(on, w.Now())
}

// vanish cuts a node off from all: it runs no more and says nothing.
func (w *World) vanish(n *Node) {
	if !n.up || n.mute {
		return
	}
	n.mute = true
	for r := range w.routerSites {
		w.silence(n, r, true)
	}
	w.host.Note(w.Now(), n.Name+" silent")
	w.tell(n, "DELETED", w.set.Discovery.SilentLag)
}

// comeBack ends a vanished node's silence: what was open is reset, and it starts anew.
func (w *World) comeBack(n *Node) {
	if !n.mute {
		return
	}
	n.mute = false
	w.down(n, true)
	for r := range w.routerSites {
		w.silence(n, r, false)
	}
	w.start(n)
}

// drainFor is how long a node drains before it goes: all routers have been told by then, and the grace is over.
func (w *World) drainFor() time.Duration {
	return w.set.Discovery.Lag[1].D() + w.set.Rules.DrainGrace.D() + time.Second
}

func (w *World) drain(n *Node) {
	if !n.up {
		return
	}
	n.draining = true
	life := n.life
	w.tell(n, "DRAINING", w.set.Discovery.Lag)
	w.After(w.drainFor(), func() {
		if n.life == life && n.draining {
			w.down(n, false)
		}
	})
}

// deploy drains and starts nodes one after the other.
func (w *World) deploy(nodes []*Node, span time.Duration) {
	step := max(span-w.drainFor(), 0) / time.Duration(max(len(nodes), 1))
	for k, n := range nodes {
		w.After(time.Duration(k)*step, func() { w.drain(n) })
		w.After(time.Duration(k)*step+w.drainFor()+time.Second, func() { w.start(n) })
	}
}

// flapEvery is how often a flapping discovery changes its mind.
const flapEvery = 1500 * time.Millisecond

func (w *World) flap(nodes []*Node, until Time) {
	gone := false
	var next func()
	next = func() {
		gone = !gone && w.Now() < until
		for _, n := range nodes {
			if n.up {
				w.tell(n, map[bool]string{true: "DELETED", false: "SERVING"}[gone], [2]scenario.Duration{})
			}
		}
		if gone || w.Now() < until {
			w.After(flapEvery, next)
		}
	}
	next()
}

func finds(t scenario.Trouble) Finds { return Finds{t.Known == "old", t.State} }

// routersGone ends routers one way or another and starts them again.
func (w *World) routersGone(all []int, span time.Duration, f Finds, end func(int)) {
	for _, r := range all {
		end(r)
	}
	w.After(span, func() {
		for _, r := range all {
			w.host.StartRouter(r, f)
		}
	})
}

// stall has routers stand still for one trouble more or less. Clients are led away from them as from dead ones.
func (w *World) stall(all []int, more int) {
	for _, r := range all {
		was := w.stalls[r] > 0
		if w.stalls[r] += more; w.stalls[r] > 0 != was {
			w.led.Stalled(r, !was, w.Now())
			w.host.StallRouter(r, !was)
			if was {
				w.dealt[r] = w.alive[r]
				continue
			}
			w.After(w.set.Clients.Notice.D(), func() {
				if w.stalls[r] > 0 {
					w.dealt[r] = false
				}
			})
		}
	}
}
