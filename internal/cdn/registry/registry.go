// Package registry is the registry's process: on a core machine it takes the calls of servers and of the operator, brings what
// they change into the log by way of the machine's config store, and answers only when a majority of disks has it. The one that
// holds the duty also takes out servers and cache routers that have fallen silent, cuts the rates of services, and reports the tenants' usage
// to the platform.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/halfclose"
	"cedarmast/internal/cdn/httproute"
	"cedarmast/internal/cdn/metrics"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("registry")

const (
	beatWithin   = 850 * time.Millisecond // servers wait a second for their acknowledgement
	orderWithin  = 2500 * time.Millisecond
	readWithin   = 900 * time.Millisecond
	maxBeat      = 64 << 10
	maxManifest  = 64 << 20
	leaveWithin  = 400 * time.Millisecond
	comeAgainSec = "0.2"
)

// Registry is the process. Run starts it.
type Registry struct {
	set     bootconfig.Settings
	log     hclog.Logger
	peers   *peerrpc.Peers
	store   *peerrpc.Peer
	replica *statesync.Replica
	callers *departure.Ledger // servers and operators

	mu    sync.Mutex
	beats *Beats
	deaf  bool // the machine's config store could not be told who was heard
}

// Run serves the outside calls until the context ends.
func Run(ctx context.Context, set bootconfig.Settings, log hclog.Logger) error {
	if set.Control == "" {
		return Error.New("network.listen_on.control_dock: missing: the registry takes the outside calls")
	}
	w := &Registry{set: set, log: log, peers: peerrpc.NewPeers(), beats: NewBeats(), replica: statesync.New(), callers: departure.NewLedger()}
	w.callers.LogBreaches(log)
	own := set.Inner(set.IP, bootconfig.ConfigStorePort)
	w.store = w.peers.At(own)
	w.replica.Set, w.replica.Peers, w.replica.Log, w.replica.Prefer = set, w.peers, log.Named("statesync"), own
	w.replica.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	listener, err := net.Listen("tcp", set.Control)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{Handler: w.accounted(w.calls()), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	go w.duties(ctx)
	go w.pass(ctx)
	figures := []prometheus.Collector{w.callers}
	if set.Platform.ReportsUsage() {
		duty := newUsageDuty(w)
		w.replica.Heard = duty.hear
		figures = append(figures, duty.calls, duty.backlog)
		go duty.run(ctx)
	}
	go w.replica.Run(ctx)
	metrics.Serve(ctx, set, log, figures...)
	go server.Serve(halfclose.Listen(listener))
	log.Info("started", "address", set.Control)
	<-ctx.Done()
	last, done := context.WithTimeout(context.Background(), leaveWithin)
	defer done()
	server.Shutdown(last)
	log.Info("ended in order")
	return nil
}

func (w *Registry) calls() *httproute.Tree {
	return new(httproute.Tree).
		On(http.MethodPut, "/servers/{id}", w.putServer).
		On(http.MethodDelete, "/servers/{id}", w.deleteServer).
		On(http.MethodPut, "/manifest", w.putManifest).
		On(http.MethodGet, "/manifest", w.getManifest).
		On(http.MethodPost, "/purge", w.purge).
		On(http.MethodGet, "/status", w.status)
}

// accounted keeps account of who calls and who leaves before the answer.
func (w *Registry) accounted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		caller := w.callers.Open(r.Context(), departure.Client, callName(r))
		defer caller.Close()
		next.ServeHTTP(rw, r)
	})
}

// callName is what a call is accounted under: its method and the first part of its path.
func callName(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return r.Method + " /" + first
}

// propose brings a command into the log; an error says that what became of it is not known.
func (w *Registry) propose(ctx context.Context, c clusterstate.Command, within time.Duration) (clusterstate.Outcome, error) {
	call, done := context.WithTimeout(ctx, within)
	defer done()
	p := configstore.Proposal{Data: c.Encode(), Kind: c.Kind(), WaitMS: (within - 30*time.Millisecond).Milliseconds(), Ticket: peerrpc.NewTicket()}
	r, err := peerrpc.CallTicketed[configstore.Proposal, configstore.Reply](call, w.store, "ConfigStore.Propose", &p, p.Ticket)
	if err == nil && !r.Known {
		err = Error.New("no majority in time")
	}
	return r.Outcome, err
}

// say writes an answer. What is not known to be done is never answered as if it were: 503 sends the caller on.
func (w *Registry) say(rw http.ResponseWriter, r *http.Request, out clusterstate.Outcome, err error, body any) {
	rw.Header().Set("Content-Type", "application/json")
	switch {
	case err != nil:
		w.log.Warn("no clear outcome", "call", r.Method+" "+r.URL.Path, "err", err)
		rw.Header().Set("Retry-After", comeAgainSec)
		rw.WriteHeader(http.StatusServiceUnavailable)
		body = map[string]string{"error": err.Error()}
	case out.Status != clusterstate.Done:
		if out.Status == clusterstate.Forgotten {
			rw.Header().Set("Retry-After", comeAgainSec)
		}
		rw.WriteHeader(out.Status)
		body = map[string]string{"error": out.Text}
	}
	if body == nil {
		body = struct{}{}
	}
	json.NewEncoder(rw).Encode(body)
}

func invalid(err error) clusterstate.Outcome {
	return clusterstate.Outcome{Status: clusterstate.Invalid, Text: err.Error()}
}

// beatBody is what a server says of itself.
type beatBody struct {
	ID       string `json:"id"`
	Carrier  string `json:"carrier"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Edition  string `json:"edition"`
	Berths   int    `json:"berths"`
	State    string `json:"state"`
	Warmup   string `json:"warmup"`
	Postmark uint64 `json:"postmark"`
}

// forward is the answer to a beat: later ones go to the holder of the duty, who then knows all that are silent.
func (w *Registry) forward() any {
	holder := ""
	w.replica.Read(func(s *clusterstate.State) { holder = s.Duty.Holder })
	if holder == "" || holder == w.set.IP {
		return nil
	}
	_, port, _ := net.SplitHostPort(w.set.Control)
	return map[string]string{"forward_to": net.JoinHostPort(holder, port)}
}

func (w *Registry) putServer(rw http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBeat))
	if err != nil {
		w.say(rw, r, invalid(err), nil, nil)
		return
	}
	var b beatBody
	if err := json.Unmarshal(body, &b); err != nil {
		w.say(rw, r, invalid(err), nil, nil)
		return
	}
	if b.ID == "" {
		b.ID = id
	}
	warmup, err := bootconfig.Span(b.Warmup)
	if err != nil {
		warmup = 0
	}
	s := clusterstate.Server{ID: id, Service: b.Carrier, Address: b.Address, Zone: b.Zone, Edition: b.Edition, Slots: b.Berths,
		State: b.State, WarmupMS: warmup.Milliseconds(), Beat: b.Postmark}
	if err = clusterstate.CheckServer(s); err == nil && b.ID != id {
		err = errors.New("id: another one than in the path")
	}
	if err != nil {
		w.say(rw, r, invalid(err), nil, nil)
		return
	}
	w.mu.Lock()
	late, deaf := w.beats.Take(s, time.Now()), w.deaf
	w.mu.Unlock()
	var held clusterstate.Server
	listed := false
	w.replica.Read(func(state *clusterstate.State) { held, listed = state.Servers[id] })
	if phase, _ := w.replica.Phase(); Settled(s, late, held, listed, phase == statesync.InTouch && !deaf) {
		w.say(rw, r, clusterstate.Outcome{Status: clusterstate.Done}, nil, w.forward())
		return
	}
	out, err := w.propose(r.Context(), clusterstate.Command{Server: &s}, beatWithin)
	w.say(rw, r, out, err, w.forward())
}

func (w *Registry) deleteServer(rw http.ResponseWriter, r *http.Request, id string) {
	out, err := w.propose(r.Context(), clusterstate.Command{Leave: id}, beatWithin)
	if err == nil {
		w.mu.Lock()
		w.beats.Left(id)
		w.mu.Unlock()
	}
	w.say(rw, r, out, err, nil)
}

func (w *Registry) putManifest(rw http.ResponseWriter, r *http.Request, _ string) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxManifest))
	if err != nil {
		w.say(rw, r, invalid(err), nil, nil)
		return
	}
	order, err := w.replica.Order(body)
	if err != nil { // the state would say the same; this costs no entry in the log
		w.say(rw, r, invalid(err), nil, nil)
		return
	}
	out, err := w.propose(r.Context(), order, orderWithin)
	w.say(rw, r, out, err, nil)
	if err == nil {
		w.log.Info("configuration", "status", out.Status, "why", out.Text)
	}
}

func (w *Registry) getManifest(rw http.ResponseWriter, r *http.Request, _ string) {
	call, done := context.WithTimeout(r.Context(), readWithin)
	defer done()
	ask := configstore.Asked{WaitMS: (readWithin - 30*time.Millisecond).Milliseconds(), Ticket: peerrpc.NewTicket()}
	body, err := peerrpc.CallTicketed[configstore.Asked, []byte](call, w.store, "ConfigStore.Manifest", &ask, ask.Ticket)
	switch {
	case err != nil:
		w.say(rw, r, clusterstate.Outcome{}, err, nil)
	case len(body) == 0:
		w.say(rw, r, clusterstate.Outcome{Status: http.StatusNotFound, Text: "no configuration yet"}, nil, nil)
	default:
		rw.Header().Set("Content-Type", "application/json")
		rw.Write(body)
	}
}

func (w *Registry) purge(rw http.ResponseWriter, r *http.Request, _ string) {
	var p struct {
		Domain string `json:"domain"`
		Path   string `json:"path"`
		Tag    string `json:"tag"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBeat))
	if err == nil {
		err = json.Unmarshal(body, &p)
	}
	if err == nil && p.Tag == "" && (p.Domain == "" || p.Path == "") {
		err = errors.New("domain and path, or tag: missing")
	}
	if err != nil {
		w.say(rw, r, invalid(err), nil, nil)
		return
	}
	out, err := w.propose(r.Context(), clusterstate.Command{Purge: &clusterstate.Purge{Host: p.Domain, Path: p.Path, Tag: p.Tag}}, orderWithin)
	w.say(rw, r, out, err, nil)
}

func (w *Registry) status(rw http.ResponseWriter, r *http.Request, _ string) {
	call, done := context.WithTimeout(r.Context(), readWithin)
	defer done()
	s, err := peerrpc.Call[bool, configstore.Status](call, w.store, "ConfigStore.Status", new(bool))
	w.say(rw, r, clusterstate.Outcome{Status: clusterstate.Done}, err, s)
}

// pass tells the machine's config store which servers were heard, and with it the leader: a server may beat at any registry.
func (w *Registry) pass(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.set.Heartbeat / 3):
		}
		w.passOn(ctx)
	}
}

// passOn tells it once. While it can't be told nothing is acknowledged at once: nobody else would know that the servers live, and they would be
// taken out. They go on to another machine.
func (w *Registry) passOn(ctx context.Context) {
	w.mu.Lock()
	heard, deaf := w.beats.Heard(), w.deaf
	w.mu.Unlock()
	if len(heard) == 0 && !deaf {
		return
	}
	call, done := context.WithTimeout(ctx, readWithin)
	defer done()
	_, err := peerrpc.Call[[]string, bool](call, w.store, "ConfigStore.Heard", &heard)
	if err != nil {
		w.log.Debug("not passed on", "err", err)
	}
	w.mu.Lock()
	w.deaf = err != nil
	w.mu.Unlock()
}
