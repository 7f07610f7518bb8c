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

// agent is discovery on one router's machine.
type agent struct {
	rig    *Rig
	router int

	mu      sync.Mutex
	address string
	server  *http.Server
	changed chan struct{} // closed at news, and when silence ends
	silent  bool
}

const oldAgentFor = 1500 * time.Millisecond // that open calls at an old address are kept

func newAgent(r *Rig, router int) (*agent, error) {
	a := &agent{rig: r, router: router, changed: make(chan struct{})}
	return a, a.open()
}

// open serves at a new address.
func (a *agent) open() error {
	l, err := a.rig.listen("")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.list)
	s := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return a.rig.ctx }}
	a.mu.Lock()
	a.address, a.server = l.Addr().String(), s
	a.mu.Unlock()
	a.rig.background(func() { s.Serve(l) })
	return nil
}

// move opens a new address and ends the old one, which still has its open calls for a moment.
func (a *agent) move() error {
	a.mu.Lock()
	old := a.server
	a.mu.Unlock()
	if err := a.open(); err != nil {
		return err
	}
	a.rig.background(func() {
		ctx, cancel := context.WithTimeout(a.rig.ctx, oldAgentFor)
		defer cancel()
		old.Shutdown(ctx)
		old.Close()
	})
	return nil
}

func (a *agent) at() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

func (a *agent) news() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) silence(on bool) {
	a.mu.Lock()
	a.silent = on
	a.mu.Unlock()
	a.news()
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server != nil {
		a.server.Close()
	}
}

// endpoint is a line of the list.
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

// instances is the list as discovery writes it.
type instances struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`

	told []model.Entry
}

// instances asks the model. It is called on the model's goroutine.
func (r *Rig) instances(router int, since int64, known bool) instances {
	index, whole, entries := r.world.List(router, since, known)
	return r.listed(router, index, whole, entries)
}

// listed writes entries as discovery does to a router.
func (r *Rig) listed(router int, index int64, whole bool, entries []model.Entry) instances {
	list := instances{Index: index, Snapshot: whole, Endpoints: []endpoint{}, told: entries}
	for _, e := range entries {
		ms := int64(0)
		if e.Since > -r.set.WarmUp.D() && r.set.Discovery.Starts {
			ms = r.start.Add(e.Since).UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, endpoint{e.Node.Name, r.nodes[e.Node.Index][router].address, r.world.SiteName(e.Node),
			e.Node.Model.Name, 0, e.Status, 1, ms})
	}
	return list
}

const longestWait = 60 * time.Second

func (a *agent) list(w http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	known := err == nil
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	until := time.NewTimer(min(time.Duration(wait)*time.Millisecond, longestWait))
	defer until.Stop()
	over := false
	a.rig.post(func() { a.rig.world.Ledger().ListPolled(a.rig.world.Now()) })
	for {
		a.mu.Lock()
		changed, silent := a.changed, a.silent
		a.mu.Unlock()
		if !silent {
			list, ok := ask(a.rig, func() instances { return a.rig.instances(a.router, since, known) })
			if !ok {
				return
			}
			if list.Snapshot || len(list.Endpoints) > 0 || over || !known {
				text, err := json.Marshal(list)
				if err != nil {
					return
				}
				w.Header().Set("Content-Type", "application/json")
				w.Header().Set("Content-Length", strconv.Itoa(len(text)))
				w.Write(text)
				if http.NewResponseController(w).Flush() == nil {
					a.rig.post(func() { a.rig.world.ListSent(a.router, list.Snapshot, list.told) })
				}
				return
			}
		}
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}
