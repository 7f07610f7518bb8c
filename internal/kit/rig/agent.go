package rig

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cedarmast/internal/kit/model"
)

// agent is the discovery service's local agent on one router's machine.
type agent struct {
	rig    *Rig
	router int

	mu      sync.Mutex
	address string
	server  *http.Server
	changed chan struct{} // closed and replaced when the list changes and when silence starts or ends
	silent  bool
}

// oldAddressGrace is how long open calls at a replaced address may go on.
const oldAddressGrace = 1500 * time.Millisecond

func newAgent(r *Rig, router int) (*agent, error) {
	a := &agent{rig: r, router: router, changed: make(chan struct{})}
	return a, a.open()
}

// open starts to serve at a new address.
func (a *agent) open() error {
	l, err := a.rig.listen("")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveInstances)
	s := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return a.rig.ctx }}
	a.mu.Lock()
	a.address, a.server = l.Addr().String(), s
	a.mu.Unlock()
	a.rig.background(func() { s.Serve(l) })
	return nil
}

// move opens a new address and closes the old one, whose open calls may go on for oldAddressGrace.
func (a *agent) move() error {
	a.mu.Lock()
	old := a.server
	a.mu.Unlock()
	if err := a.open(); err != nil {
		return err
	}
	a.rig.background(func() {
		ctx, cancel := context.WithTimeout(a.rig.ctx, oldAddressGrace)
		defer cancel()
		old.Shutdown(ctx)
		old.Close()
	})
	return nil
}

// currentAddress returns the address at which the agent serves now.
func (a *agent) currentAddress() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// notifyChanged wakes the calls that wait for a change.
func (a *agent) notifyChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// setSilent makes the agent leave calls unanswered, or ends that.
func (a *agent) setSilent(on bool) {
	a.mu.Lock()
	a.silent = on
	a.mu.Unlock()
	a.notifyChanged()
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server != nil {
		a.server.Close()
	}
}

// endpoint is an entry of the instance list on the wire.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// instances is the instance list on the wire.
type instances struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`

	entries []model.Entry
}

// listInstances returns the model's list for a router since an index. It must be called on the model's goroutine.
func (r *Rig) listInstances(router int, since int64, hasIndex bool) instances {
	index, snapshot, entries := r.world.List(router, since, hasIndex)
	return r.encodeInstances(router, index, snapshot, entries)
}

// encodeInstances encodes entries as discovery sends them to a router.
func (r *Rig) encodeInstances(router int, index int64, snapshot bool, entries []model.Entry) instances {
	list := instances{Index: index, Snapshot: snapshot, Endpoints: []endpoint{}, entries: entries}
	for _, e := range entries {
		ms := int64(0)
		if e.Since > -r.scenario.WarmUp.D() && r.scenario.Discovery.Starts {
			ms = r.start.Add(e.Since).UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, endpoint{e.Node.Name, r.nodes[e.Node.Index][router].address, r.world.SiteName(e.Node),
			e.Node.Model.Name, 0, e.Status, 1, ms})
	}
	return list
}

const maxPollWait = 60 * time.Second

// serveInstances answers a long poll: at once if there is anything to tell, else after a change or when the caller's wait is over.
func (a *agent) serveInstances(w http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	hasIndex := err == nil
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxPollWait))
	defer timeout.Stop()
	waitOver := false
	a.rig.post(func() { a.rig.world.Ledger().ListPolled(a.rig.world.Now()) })
	for {
		a.mu.Lock()
		changed, silent := a.changed, a.silent
		a.mu.Unlock()
		if !silent {
			list, ok := ask(a.rig, func() instances { return a.rig.listInstances(a.router, since, hasIndex) })
			if !ok {
				return
			}
			if list.Snapshot || len(list.Endpoints) > 0 || waitOver || !hasIndex {
				text, err := json.Marshal(list)
				if err != nil {
					return
				}
				w.Header().Set("Content-Type", "application/json")
				w.Header().Set("Content-Length", strconv.Itoa(len(text)))
				w.Write(text)
				if http.NewResponseController(w).Flush() == nil {
					a.rig.post(func() { a.rig.world.ListSent(a.router, list.Snapshot, list.entries) })
				}
				return
			}
		}
		select {
		case <-changed:
		case <-timeout.C:
			waitOver = true
		case <-req.Context().Done():
			return
		}
	}
}
