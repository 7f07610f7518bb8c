package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cedarmast/internal/kit/scenario"
)

// affectedNodes draws the nodes that a trouble affects; the result is the same for the same seed.
func (w *World) affectedNodes(i int, t scenario.Trouble) []*Node {
	var candidates []*Node
	for _, n := range w.Nodes {
		if (t.Site == "" || w.SiteName(n) == t.Site) && (len(t.Nodes) == 0 || slices.Contains(t.Nodes, n.Name)) {
			candidates = append(candidates, n)
		}
	}
	if len(t.Nodes) > 0 || t.Part == 0 {
		return candidates
	}
	order := Stream(w.seed, fmt.Sprint("trouble ", i)).Perm(len(candidates))
	var all []*Node
	for _, k := range order[:int(min(math.Ceil(t.Part*float64(len(candidates))), float64(len(candidates))))] {
		all = append(all, candidates[k])
	}
	return all
}

// affectedRouters draws the routers that a trouble affects; the result is the same for the same seed.
func (w *World) affectedRouters(i int, t scenario.Trouble) (all []int) {
	for r, name := range w.scenario.RouterNames() {
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

// startTrouble starts a trouble and schedules its end.
func (w *World) startTrouble(i int, t scenario.Trouble) {
	span := t.For.D()
	w.host.RecordEvent(w.Now(), "trouble: "+t.Kind)
	nodes := w.affectedNodes(i, t)
	// applyToNodes applies a change to each affected node and reverts it at the end of the trouble.
	applyToNodes := func(on, off func(n *Node)) {
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
		applyToNodes(func(n *Node) { w.stopNode(n, false) }, w.startNode)
	case "silence":
		applyToNodes(w.silenceNode, w.restoreNode)
	case "freeze":
		applyToNodes(func(n *Node) { n.frozen = true }, func(n *Node) {
			held := n.heldCompletions
			n.frozen, n.heldCompletions = false, nil
			for _, end := range held {
				end()
			}
		})
	case "errors":
		applyToNodes(func(n *Node) { n.errorRate = t.Size }, func(n *Node) { n.errorRate = 0 })
	case "turn-away":
		applyToNodes(func(n *Node) { n.rejectRate = t.Size }, func(n *Node) { n.rejectRate = 0 })
	case "slow":
		applyToNodes(func(n *Node) { n.slowdown = t.Size }, func(n *Node) { n.slowdown = 1 })
	case "spoil":
		applyToNodes(func(n *Node) { n.corruptRate = t.Size }, func(n *Node) { n.corruptRate = 0 })
	case "cut":
		r := slices.Index(w.scenario.RouterNames(), t.Router)
		applyToNodes(func(n *Node) { n.silent[r] = true; w.setSilence(n, r, true) },
			func(n *Node) { delete(n.silent, r); w.setSilence(n, r, false) })
	case "site-loss":
		if t.With {
			w.restartRouters(w.affectedRouters(i, scenario.Trouble{Site: t.Site}), span, StoredState{}, w.host.KillRouter)
		}
		applyToNodes(w.silenceNode, w.restoreNode)
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
				w.startNode(n)
			}
		})
	case "grow":
		for _, n := range nodes {
			w.startNode(n)
		}
	case "discovery-silence":
		w.host.SetDiscoverySilence(true)
		w.After(span, func() { w.host.SetDiscoverySilence(false) })
	case "discovery-stale":
		w.holdUpdates(span)
	case "discovery-flap":
		w.flap(nodes, w.Now()+span)
	case "router-kill":
		w.restartRouters(w.affectedRouters(i, t), span, foundState(t), w.host.KillRouter)
	case "router-stop":
		w.restartRouters(w.affectedRouters(i, t), span, foundState(t), w.host.StopRouter)
	case "router-crash-loop":
		w.crashLoop(i, t, w.affectedRouters(i, t))
	case "router-link":
		w.startLinkFault(i, t, span)
	case "disk-full":
		all := w.affectedRouters(i, t)
		fill := func(full bool) {
			for _, r := range all {
				w.host.SetDiskFull(r, full)
			}
		}
		fill(true)
		w.After(span, func() { fill(false) })
	case "router-stall":
		all := w.affectedRouters(i, t)
		w.adjustStalls(all, 1)
		w.After(span, func() { w.adjustStalls(all, -1) })
	case "router-reload":
		for _, r := range w.affectedRouters(i, t) {
			w.host.ReloadRouter(r)
		}
	case "bad-clients":
		w.host.BadClients(int(t.Size), span)
	case "database-stall":
		w.db.stall(span)
	} // burst, heavy and hot-key act on the drawn requests, see drawRequests
}

// setSilence starts or ends a node's silence towards one router.
func (w *World) setSilence(n *Node, router int, on bool) {
	w.host.SetNodeSilence(n, router, on)
	w.ledger.Silence(on, w.Now())
}

// silenceNode cuts a node off from all routers: it does no more work and sends nothing.
func (w *World) silenceNode(n *Node) {
	if !n.up || n.silentToAll {
		return
	}
	n.silentToAll = true
	for r := range w.routerSites {
		w.setSilence(n, r, true)
	}
	w.host.RecordEvent(w.Now(), n.Name+" silent")
	w.announce(n, "DELETED", w.scenario.Discovery.SilentLag)
}

// restoreNode ends a node's silence: its open connections are reset and its process starts anew.
func (w *World) restoreNode(n *Node) {
	if !n.silentToAll {
		return
	}
	n.silentToAll = false
	w.stopNode(n, true)
	for r := range w.routerSites {
		w.setSilence(n, r, false)
	}
	w.startNode(n)
}

// drainDuration returns how long a node drains before it stops: until all routers have been told and the grace period is over.
func (w *World) drainDuration() time.Duration {
	return w.scenario.Discovery.Lag[1].D() + w.scenario.Rules.DrainGrace.D() + time.Second
}

// drain announces that a node drains, and stops it after drainDuration.
func (w *World) drain(n *Node) {
	if !n.up {
		return
	}
	n.draining = true
	incarnation := n.incarnation
	w.announce(n, "DRAINING", w.scenario.Discovery.Lag)
	w.After(w.drainDuration(), func() {
		if n.incarnation == incarnation && n.draining {
			w.stopNode(n, false)
		}
	})
}

// deploy drains and restarts nodes one after another.
func (w *World) deploy(nodes []*Node, span time.Duration) {
	step := max(span-w.drainDuration(), 0) / time.Duration(max(len(nodes), 1))
	for k, n := range nodes {
		w.After(time.Duration(k)*step, func() { w.drain(n) })
		w.After(time.Duration(k)*step+w.drainDuration()+time.Second, func() { w.startNode(n) })
	}
}

// flapInterval is how often a flapping discovery removes or restores the nodes.
const flapInterval = 1500 * time.Millisecond

// flap makes discovery remove and restore nodes in turn until a time; at the end they are restored.
func (w *World) flap(nodes []*Node, until Time) {
	removed := false
	var toggle func()
	toggle = func() {
		removed = !removed && w.Now() < until
		for _, n := range nodes {
			if n.up {
				w.announce(n, map[bool]string{true: "DELETED", false: "SERVING"}[removed], [2]scenario.Duration{})
			}
		}
		if removed || w.Now() < until {
			w.After(flapInterval, toggle)
		}
	}
	toggle()
}

// foundState returns the state that a router finds when it restarts after a trouble.
func foundState(t scenario.Trouble) StoredState { return StoredState{t.Known == "old", t.State} }

// restartRouters ends routers with the given function and starts them again after a span.
func (w *World) restartRouters(all []int, span time.Duration, found StoredState, end func(int)) {
	for _, r := range all {
		end(r)
	}
	w.After(span, func() {
		for _, r := range all {
			w.host.StartRouter(r, found)
		}
	})
}

// adjustStalls adds delta to the number of troubles that stall each router. Clients are directed away from a stalled router as
// from a dead one.
func (w *World) adjustStalls(all []int, delta int) {
	for _, r := range all {
		wasStalled := w.stallCounts[r] > 0
		if w.stallCounts[r] += delta; w.stallCounts[r] > 0 != wasStalled {
			w.ledger.Stalled(r, !wasStalled, w.Now())
			w.host.SetRouterStalled(r, !wasStalled)
			if wasStalled {
				w.inRotation[r] = w.routerRunning[r]
				continue
			}
			w.After(w.scenario.Clients.Notice.D(), func() {
				if w.stallCounts[r] > 0 {
					w.inRotation[r] = false
				}
			})
		}
	}
}
