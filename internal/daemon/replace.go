package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/admin"
	"cedarmast/internal/exchange"
	"cedarmast/internal/handover"
	"cedarmast/internal/wire"
)

// handoverState is what a process passes to its successor.
type handoverState struct {
	Known       *wire.Endpoints      `json:"known"` // the last list that discovery delivered
	Maintenance exchange.Maintenance `json:"maintenance"`
	Answered    float64              `json:"answered"`        // answers per second and unit of warm weight, the base of cold-cache budgets
	Facts       []byte               `json:"facts,omitempty"` // snapshot of the shared facts, if sharing is on
}

// maintenanceFile is the operators' maintenance orders as stored in a file in $TMPDIR.
type maintenanceFile struct {
	exchange.Maintenance
	Saved time.Time `json:"saved"`
	Facts []byte    `json:"facts,omitempty"`
}

// replacement is the router's state for replacing another process and for being replaced. It is off without a
// directory that both processes share.
type replacement struct {
	sharedDir     string // $TMPDIR
	listenAddress string // client address, which identifies the router in that directory

	mu                sync.Mutex // serializes orders and the handover: a successor gets each order either in the handed-over state or directly
	peer              *handover.Peer
	stopping          bool
	successorListener *net.UnixListener // accepts successors

	maintenanceFileMu sync.Mutex // guards the maintenance file
}

// takeOver asks a running process of this router for its state and its listener. Both are nil if there is no such
// process or it does not answer: this process then starts as usual and listens beside it.
func (r *router) takeOver() (net.Listener, *handoverState, error) {
	if r.sharedDir == "" {
		return nil, nil, nil
	}
	p, l, text, err := handover.RequestHandover(handover.SocketPath(r.sharedDir, r.listenAddress))
	switch {
	case errors.Is(err, handover.ErrRefused):
		return nil, nil, err
	case errors.Is(err, os.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, nil
	case err != nil:
		r.log.Warn("the running process hands nothing over; starting beside it", "err", err)
		return nil, nil, nil
	}
	var h handoverState
	if err := json.Unmarshal(text, &h); err == nil && h.Known != nil {
		err = h.Known.Validate()
	}
	if err != nil {
		p.Close()
		l.Close()
		r.log.Warn("the handed-over state is invalid; starting beside it", "err", err)
		return nil, nil, nil
	}
	r.peer = p
	return l, &h, nil
}

// followPeer carries out the peer process's orders until that process has ended.
func (r *router) followPeer(p *handover.Peer) {
	p.Run(r.applyPeerOrder)
	r.mu.Lock()
	if r.peer == p {
		r.peer = nil
	}
	stopping, notListening := r.stopping, r.successorListener == nil
	if !stopping {
		r.setPaired(false) // before another successor is accepted, which needs its half of the limits
	}
	r.mu.Unlock()
	if stopping {
		return
	}
	r.log.Info("the other process has gone; all limits are this one's")
	if notListening {
		r.awaitSuccessors()
	}
}

// awaitSuccessors accepts connections from processes that are to replace this one.
func (r *router) awaitSuccessors() {
	if r.sharedDir == "" {
		return
	}
	l, err := handover.Listen(handover.SocketPath(r.sharedDir, r.listenAddress))
	if err != nil {
		r.log.Warn("can't listen for a successor; it will start beside this process", "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		l.Close()
		return
	}
	r.successorListener = l
	r.background(func() {
		for {
			c, err := l.AcceptUnix()
			if err != nil {
				return
			}
			r.background(func() { r.handOver(c) })
		}
	})
}

// handOver passes the state and the listener to a successor, and then runs with half of the limits until that process
// has ended.
func (r *router) handOver(c *net.UnixConn) {
	p, err := handover.AcceptHandshake(c)
	if err != nil {
		r.log.Warn("handshake with a successor failed", "err", err)
		return
	}
	r.mu.Lock()
	if r.stopping || r.peer != nil {
		r.mu.Unlock()
		p.Refuse("another replacement is under way, or the process is ending")
		return
	}
	r.setPaired(true)
	list, maintenance, answered, err := r.loop.Snapshot()
	if err == nil {
		r.peer = p
		err = p.SendState(handoverState{wire.NewEndpoints(list), maintenance, answered, r.factsSnapshot()}, r.listener.(syscall.Conn))
	}
	r.mu.Unlock()
	if err != nil {
		r.log.Warn("handover failed", "err", err)
		p.Close()
	} else {
		r.log.Info("handed over to a successor; still serving until told to stop", "servers", len(list.Entries))
	}
	r.followPeer(p)
}

// stopReplacing accepts no more successors. It reports whether another process accepts from the same listener.
func (r *router) stopReplacing() (replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	if r.successorListener != nil {
		r.successorListener.Close()
	}
	return r.peer != nil
}

// disconnectPeer closes the connection to the other process, which may keep running.
func (r *router) disconnectPeer() {
	r.mu.Lock()
	p := r.peer
	r.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// maintain takes a cache server out of service, or puts it back, in this process and in the other process of a
// replacement.
func (r *router) maintain(server string, out bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasOut := r.isOut(server)
	switch err := r.loop.SetMaintenance(balance.ServerID(server), out); {
	case errors.Is(err, exchange.ErrUnknownServer):
		return admin.ErrUnknownServer
	case err != nil:
		return err
	}
	err := r.shareOrder(server, out, wasOut) // first: this process may die before the order is on disk
	r.saveMaintenance()
	r.saveNow()
	if r.peer != nil {
		return errors.Join(err, r.peer.Order(server, out))
	}
	return err
}

// applyPeerOrder carries out an order that the other process of a replacement has received.
func (r *router) applyPeerOrder(server string, out bool) error {
	wasOut := r.isOut(server)
	err := errors.Join(r.loop.MirrorMaintenance(balance.ServerID(server), out), r.shareOrder(server, out, wasOut))
	r.saveMaintenance()
	r.saveNow()
	return err
}

// maintenancePath returns the path of the file in which maintenance orders survive a crash of the process; empty if
// there is no shared directory.
func (r *router) maintenancePath() string {
	if r.sharedDir == "" {
		return ""
	}
	return filepath.Join(r.sharedDir, "maintenance-"+strings.NewReplacer(":", "_", "/", "_").Replace(r.listenAddress)+".json")
}

// saveMaintenance writes the maintenance orders to their file atomically.
func (r *router) saveMaintenance() {
	path := r.maintenancePath()
	if path == "" {
		return
	}
	r.maintenanceFileMu.Lock()
	defer r.maintenanceFileMu.Unlock()
	err := func() error {
		_, maintenance, _, err := r.loop.Snapshot()
		if err != nil {
			return err
		}
		text, err := json.Marshal(maintenanceFile{maintenance, time.Now(), r.factsSnapshot()})
		if err != nil {
			return err
		}
		tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
		if err := os.WriteFile(tempPath, text, 0o600); err != nil {
			return err
		}
		return os.Rename(tempPath, path)
	}()
	if err != nil {
		r.log.Warn("can't save maintenance orders for a successor", "err", err)
	}
}

// loadMaintenance reads the maintenance orders that an earlier process saved, and keeps the facts saved with them.
func (r *router) loadMaintenance() (maintenance exchange.Maintenance, ok bool) {
	path := r.maintenancePath()
	if path == "" {
		return maintenance, false
	}
	saved := maintenanceFile{}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		r.log.Warn("can't read saved maintenance orders", "err", err)
	}
	if err == nil {
		r.addSnapshot(saved.Facts, time.Since(saved.Saved))
	}
	return saved.Maintenance, err == nil
}

// setLimits changes the router's limits.
func (r *router) setLimits(l Limits) { r.updateLimits(func() { r.limits = l }) }

// setPaired sets whether two processes of the router run, each with half of the limits.
func (r *router) setPaired(paired bool) { r.updateLimits(func() { r.paired = paired }) }

// updateLimits applies a change of limits or paired to the runtime, the connection pools and the budget of long
// requests.
func (r *router) updateLimits(change func()) {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	change()
	now := r.limits.perProcess(r.paired)
	now.apply()
	descriptors := splitDescriptors(now.Sockets)
	r.pool.SetMaxOpen(descriptors.servers)
	r.clients.SetMaxConns(descriptors.clients)
	r.longRequestBudget.Adjust(now.longRequestBytes() - r.longRequestLimit)
	r.longRequestLimit = now.longRequestBytes()
}
