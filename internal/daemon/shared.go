package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/facts"
	"cedarmast/internal/shared"
)

// sharing is the router's part of the state that all routers share. It is off unless the operators' file has [shared]
// and messages between routers are on.
type sharing struct {
	facts     *shared.Replica // nil: off
	snapshots []snapshot      // left by earlier processes
	caughtUp  chan struct{}   // closed when this router has caught up with the others, or there are none
}

// snapshot is an encoded set of facts and its age.
type snapshot struct {
	text []byte
	age  time.Duration
}

// errNotShared is returned for an order that took effect on this router only.
var errNotShared = errors.New("the order holds at this router, and was not told to others: there is no room for it")

const (
	goneCheckInterval = time.Minute // between checks for servers that are no longer listed
)

// startSharing creates the facts from the snapshots found and applies them to this process's maintenance orders.
// Orders without a version are shared only once the other routers have been heard: see shareEarlierOrders.
func (r *router) startSharing(c *Config, loop *exchange.Loop) {
	sharedConfig, snapshots := c.operatorFile.SharedSection(), r.snapshots
	if r.snapshots = nil; sharedConfig == nil {
		return
	}
	if r.peers == nil {
		r.log.Warn("sharing is off: there are no messages between routers")
		return
	}
	r.facts = shared.New(shared.Options{Routers: len(c.Peers), Number: c.Settings.MyNumber, Life: facts.Incarnation(rand.Uint32()),
		Forget: sharedConfig.ForgetAfter(), Tell: r.peers.SendMessage, Counts: r.counts})
	r.caughtUp = make(chan struct{})
	for _, s := range snapshots {
		if err := r.facts.Load(s.text, s.age); err != nil {
			r.log.Warn("stored shared state rejected", "err", err)
		}
	}
	for _, a := range r.orders(r.facts.Names()) {
		if a.Out {
			loop.Maintenance.Out[a.Server] = true
			continue
		}
		delete(loop.Maintenance.Out, a.Server)
		if back := r.clock.Now().Add(-a.Age); a.Age < loop.Settings.RampTime {
			loop.Maintenance.Back[a.Server] = max(loop.Maintenance.Back[a.Server], back)
		}
	}
	r.peers.OnMessage = func(from int, text []byte) {
		if facts.IsMessage(text) {
			r.facts.Receive(from, text)
		} else {
			loop.ReceivePeerMessage(text)
		}
	}
	r.log.Info("state is shared", "routers", len(c.Peers), "facts", len(r.facts.Names()), "servers_out", len(loop.Maintenance.Out))
}

// orders returns the orders among the named facts, with their current merged value.
func (r *router) orders(names []facts.Name) (all []exchange.PeerMaintenance) {
	for _, n := range names {
		if value, age, ok := r.facts.Value(n); ok && n.Kind == facts.AdminState {
			all = append(all, exchange.PeerMaintenance{Server: balance.ServerID(n.Subject), Out: value == facts.Drained, Age: age})
		}
	}
	return all
}

// shareOrder shares an order that was given here with the other routers. Putting back a server that nobody had taken
// out is not shared: all other routers would treat the server as cold.
func (r *router) shareOrder(server string, out, wasOut bool) error {
	if r.facts == nil {
		return nil
	}
	n := facts.Name{Kind: facts.AdminState, Subject: server}
	if _, _, known := r.facts.Value(n); !out && !wasOut && !known {
		return nil
	}
	if !r.facts.Set(n, map[bool]int64{true: facts.Drained, false: facts.InService}[out]) {
		return errNotShared
	}
	return nil
}

// isOut reports whether a server is out for maintenance on this router. It is always false while sharing is off.
func (r *router) isOut(server string) bool {
	if r.facts == nil {
		return false // not used without sharing
	}
	_, maintenance, _, err := r.loop.Snapshot()
	return err == nil && maintenance.Out[balance.ServerID(server)]
}

// followOrders applies the orders of other routers as they arrive.
func (r *router) followOrders(ctx context.Context) {
	ticker := time.NewTicker(goneCheckInterval)
	defer ticker.Stop()
	caughtUp := r.caughtUp
	for {
		select {
		case <-r.facts.Notify():
		case <-ticker.C:
			r.forgetGoneServers()
			continue
		case <-ctx.Done():
			return
		}
		names, upToDate := r.facts.TakeChanges()
		if len(names) > 0 {
			r.mu.Lock() // an order given here meanwhile comes before or after these, both in the loop and in the facts
			err := r.loop.ApplyPeerMaintenance(r.orders(names))
			r.mu.Unlock()
			if err != nil && !errors.Is(err, exchange.ErrStopped) {
				r.log.Warn("can't apply all orders of other routers", "err", err)
			}
		}
		if upToDate && caughtUp != nil {
			r.shareEarlierOrders()
			close(caughtUp)
			caughtUp = nil
		}
		if len(names) > 0 {
			r.saveMaintenance()
			r.saveNow()
		}
	}
}

// forgetGoneServers drops the facts and orders about servers that have long been gone from the list: a router that
// restarts would share them again.
func (r *router) forgetGoneServers() {
	list, _, _, err := r.loop.Snapshot()
	if err != nil {
		return
	}
	listed, gone := map[string]bool{}, []exchange.PeerMaintenance(nil)
	for _, e := range list.Entries {
		listed[string(e.Server)] = true
	}
	for _, n := range r.facts.ApplyList(listed) {
		gone = append(gone, exchange.PeerMaintenance{Server: balance.ServerID(n.Subject)})
	}
	if len(gone) == 0 {
		return
	}
	if err := r.loop.ApplyPeerMaintenance(gone); err == nil {
		r.log.Info("servers that are long gone are forgotten", "servers", len(gone))
		r.saveMaintenance()
	}
}

// shareEarlierOrders shares the orders from before sharing was on that keep servers out, except for servers about
// which an order is already shared.
func (r *router) shareEarlierOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, maintenance, _, err := r.loop.Snapshot()
	if err != nil {
		return
	}
	for server := range maintenance.Out {
		if _, _, known := r.facts.Value(facts.Name{Kind: facts.AdminState, Subject: string(server)}); known {
			continue
		}
		if err := r.shareOrder(string(server), true, true); err != nil {
			r.log.Warn("an order from before is not shared", "server", server, "err", err)
		}
	}
}

// factsSnapshot encodes the facts for the disk or a successor; nil while sharing is off.
func (r *router) factsSnapshot() []byte {
	if r.facts == nil {
		return nil
	}
	return r.facts.Snapshot()
}

// addSnapshot keeps a non-empty snapshot for startSharing.
func (r *router) addSnapshot(text []byte, age time.Duration) {
	if len(text) > 0 {
		r.snapshots = append(r.snapshots, snapshot{text, age})
	}
}

// factsReport returns the facts as JSON for the operators' API.
func (r *router) factsReport(name string) ([]byte, error) {
	return json.MarshalIndent(r.facts.Report(name), "", " ")
}
