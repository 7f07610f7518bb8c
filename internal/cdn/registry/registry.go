// Package registry implements the registry process of a core machine. It serves the HTTP API for servers and operators,
// proposes their changes to the replicated log through the machine's config store, and reports success only after a
// majority of disks has stored the change. The registry that holds the duty (a role held by one registry at a time)
// also removes silent servers and cache routers, divides the rate limits of services among the routers, and reports the
// tenants' usage to the platform.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/cancellation"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/halfclose"
	"cedarmast/internal/cdn/httproute"
	"cedarmast/internal/cdn/metrics"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/startup"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("registry")

const (
	commitTimeout         = 850 * time.Millisecond  // timeout of a proposal; servers wait 1 s for their acknowledgement
	operatorCommitTimeout = 2500 * time.Millisecond // timeout of an operator's proposal
	readTimeout           = 900 * time.Millisecond  // timeout of a read from the config store
	maxHeaderBytes        = 32 << 10
	shutdownTimeout       = 400 * time.Millisecond // for calls in flight at shutdown
	retryAfterSeconds     = "0.2"                  // value of the Retry-After header
)

// Registry is the registry process. Run creates and starts it.
type Registry struct {
	settings bootconfig.Settings
	log      hclog.Logger
	memory   *admission.Memory // bounds what callers make this process hold
	peers    *peerrpc.Peers
	store    *peerrpc.Peer // the config store on this machine
	replica  *statesync.Replica
	callers  *cancellation.Tracker // calls in progress by servers and operators

	mu               sync.Mutex
	heartbeats       *Heartbeats
	storeUnreachable bool // the last report of heard servers to the config store failed
}

// CheckSettings returns an error if the settings lack what a registry needs.
func CheckSettings(settings bootconfig.Settings) error {
	if settings.ControlAddress == "" {
		return Error.New("network.listen_on.control_dock: missing: the registry needs an address for its HTTP API")
	}
	return nil
}

// Run serves the HTTP API and runs the background tasks until ctx is cancelled.
func Run(ctx context.Context, settings bootconfig.Settings, log hclog.Logger) error {
	if err := CheckSettings(settings); err != nil {
		return err
	}
	reg := &Registry{settings: settings, log: log, memory: admission.NewMemory(settings.MemoryMB, admission.RegistryShares), peers: peerrpc.NewPeers(), heartbeats: NewHeartbeats(), replica: statesync.New(),
		callers: cancellation.NewTracker()}
	reg.callers.LogViolations(log)
	localStore := settings.InternalAddress(settings.IP, bootconfig.ConfigStorePort)
	reg.peers.Replies = reg.memory.Received
	reg.store = reg.peers.At(localStore)
	reg.replica.Set, reg.replica.Peers, reg.replica.Log, reg.replica.Prefer = settings, reg.peers, log.Named("statesync"), localStore
	reg.replica.Took = func(*clusterstate.State, clusterstate.Command, uint64, bool) {}
	listener, err := startup.Listen(ctx, settings.ControlAddress, log)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: reg.trackCallers(reg.routes()), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	go reg.runDuties(ctx)
	go reg.reportHeardLoop(ctx)
	collectors := []prometheus.Collector{reg.callers, reg.memory}
	if settings.Platform.ReportsUsage() {
		duty := newUsageDuty(reg)
		reg.replica.Heard = duty.onTimeOfDay
		collectors = append(collectors, duty.callsByOutcome, duty.backlog)
		go duty.run(ctx)
	}
	go reg.replica.Run(ctx)
	metrics.Serve(ctx, settings, log, collectors...)
	go server.Serve(halfclose.NewListener(reg.memory.Guard(server, listener, settings.FileHandles/2)))
	log.Info("started", "address", settings.ControlAddress)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Shutdown(shutdownCtx)
	log.Info("shut down cleanly")
	return nil
}

// routes returns the handlers of the HTTP API.
func (reg *Registry) routes() *httproute.Mux {
	return new(httproute.Mux).
		Handle(http.MethodPut, "/servers/{id}", reg.putServer).
		Handle(http.MethodDelete, "/servers/{id}", reg.deleteServer).
		Handle(http.MethodPut, "/manifest", reg.putManifest).
		Handle(http.MethodGet, "/manifest", reg.getManifest).
		Handle(http.MethodPost, "/purge", reg.purge).
		Handle(http.MethodGet, "/status", reg.status)
}

// trackCallers records each call while it is in progress, and whether its caller disconnects before the response.
func (reg *Registry) trackCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		caller := reg.callers.Open(r.Context(), cancellation.Client, callLabel(r))
		defer caller.Close()
		next.ServeHTTP(rw, r)
	})
}

// callLabel returns the label under which a call is recorded: its method and the first segment of its path, in UTF-8 as metrics need it.
func callLabel(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return strings.ToValidUTF8(r.Method+" /"+first, "?")
}

// propose proposes a command to the replicated log and waits at most timeout for its outcome. An error means that the
// outcome is unknown: the command may or may not be committed.
func (reg *Registry) propose(ctx context.Context, command clusterstate.Command, timeout time.Duration) (clusterstate.Outcome, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	proposal := configstore.Proposal{Data: command.Encode(), Kind: command.Kind(),
		WaitMS: (timeout - 30*time.Millisecond).Milliseconds(), Ticket: peerrpc.NewCallID()}
	reply, err := peerrpc.CallCancellable[configstore.Proposal, configstore.Reply](callCtx, reg.store, "ConfigStore.Propose",
		&proposal, proposal.Ticket)
	if err == nil && !reply.Known {
		err = Error.New("no majority in time")
	}
	return reply.Outcome, err
}

// writeOutcome writes a response. An unknown outcome is never reported as success: 503 makes the caller try another
// registry.
func (reg *Registry) writeOutcome(rw http.ResponseWriter, r *http.Request, out clusterstate.Outcome, err error, body any) {
	rw.Header().Set("Content-Type", "application/json")
	switch {
	case err != nil:
		reg.log.Warn("outcome of call unknown", "call", r.Method+" "+r.URL.Path, "err", err)
		rw.Header().Set("Retry-After", retryAfterSeconds)
		rw.WriteHeader(http.StatusServiceUnavailable)
		body = map[string]string{"error": err.Error()}
	case out.Status != clusterstate.StatusOK:
		if out.Status == clusterstate.StatusUnknown {
			rw.Header().Set("Retry-After", retryAfterSeconds)
		}
		rw.WriteHeader(out.Status)
		body = map[string]string{"error": out.Text}
	}
	if body == nil {
		body = struct{}{}
	}
	defer reg.memory.BeginWrite(rw, 0)()
	json.NewEncoder(rw).Encode(body)
}

// invalidOutcome returns the outcome of a request that fails validation.
func invalidOutcome(err error) clusterstate.Outcome {
	return clusterstate.Outcome{Status: clusterstate.StatusInvalid, Text: err.Error()}
}

// heartbeatBody is the JSON body with which a server registers itself and sends its heartbeats.
type heartbeatBody struct {
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

// forwardHint returns the response body of a heartbeat, or nil. It names the duty holder, so that later heartbeats go
// to it and it knows every silent server.
func (reg *Registry) forwardHint() any {
	holder := ""
	reg.replica.View(func(s *clusterstate.State) { holder = s.Duty.Holder })
	if holder == "" || holder == reg.settings.IP {
		return nil
	}
	_, port, _ := net.SplitHostPort(reg.settings.ControlAddress)
	return map[string]string{"forward_to": net.JoinHostPort(holder, port)}
}

// putServer handles a server's registration or heartbeat.
func (reg *Registry) putServer(rw http.ResponseWriter, r *http.Request, id string) {
	body, ok := reg.readBody(rw, r, shortBody)
	defer body.Release()
	if !ok {
		return
	}
	var b heartbeatBody
	if err := json.Unmarshal(body.Bytes, &b); err != nil {
		reg.writeOutcome(rw, r, invalidOutcome(err), nil, nil)
		return
	}
	if b.ID == "" {
		b.ID = id
	}
	warmup, err := bootconfig.ParseDuration(b.Warmup)
	if err != nil {
		warmup = 0
	}
	server := clusterstate.Server{ID: id, Service: b.Carrier, Address: b.Address, Zone: b.Zone, Edition: b.Edition, Slots: b.Berths,
		State: b.State, WarmupMS: warmup.Milliseconds(), Beat: b.Postmark}
	if err = clusterstate.CheckServer(server); err == nil && b.ID != id {
		err = errors.New("id: another one than in the path")
	}
	if err != nil {
		reg.writeOutcome(rw, r, invalidOutcome(err), nil, nil)
		return
	}
	reg.mu.Lock()
	outdated, storeUnreachable := reg.heartbeats.Record(server, time.Now()), reg.storeUnreachable
	reg.mu.Unlock()
	var known clusterstate.Server
	listed := false
	reg.replica.View(func(state *clusterstate.State) { known, listed = state.Servers[id] })
	if phase, _ := reg.replica.Phase(); CanAcknowledge(server, outdated, known, listed, phase == statesync.Connected && !storeUnreachable) {
		reg.writeOutcome(rw, r, clusterstate.Outcome{Status: clusterstate.StatusOK}, nil, reg.forwardHint())
		return
	}
	out, err := reg.propose(r.Context(), clusterstate.Command{Server: &server}, commitTimeout)
	reg.writeOutcome(rw, r, out, err, reg.forwardHint())
}

// deleteServer removes a server at its own request.
func (reg *Registry) deleteServer(rw http.ResponseWriter, r *http.Request, id string) {
	if err := clusterstate.CheckName(id); err != nil {
		reg.writeOutcome(rw, r, invalidOutcome(err), nil, nil)
		return
	}
	out, err := reg.propose(r.Context(), clusterstate.Command{Leave: id}, commitTimeout)
	if err == nil {
		reg.mu.Lock()
		reg.heartbeats.Remove(id)
		reg.mu.Unlock()
	}
	reg.writeOutcome(rw, r, out, err, nil)
}

// putManifest proposes a new configuration.
func (reg *Registry) putManifest(rw http.ResponseWriter, r *http.Request, _ string) {
	body, ok := reg.readBody(rw, r, manifestBody)
	defer body.Release()
	if !ok {
		return
	}
	command, err := reg.replica.ConfigCommand(body.Bytes)
	if err != nil { // applying it would fail the same way; checking here saves a log entry
		reg.writeOutcome(rw, r, invalidOutcome(err), nil, nil)
		return
	}
	out, err := reg.propose(r.Context(), command, operatorCommitTimeout)
	reg.writeOutcome(rw, r, out, err, nil)
	if err == nil {
		reg.log.Info("configuration", "status", out.Status, "why", out.Text)
	}
}

// getManifest returns the committed configuration.
func (reg *Registry) getManifest(rw http.ResponseWriter, r *http.Request, _ string) {
	callCtx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	reservation := reg.memory.Replies.Reserve()
	defer reservation.Release()
	if err := reservation.Grow(manifestCopies * reg.manifestBytes()); err != nil {
		reg.writeOutcome(rw, r, clusterstate.Outcome{}, err, nil)
		return
	}
	request := configstore.Asked{WaitMS: (readTimeout - 30*time.Millisecond).Milliseconds(), Ticket: peerrpc.NewCallID()}
	body, err := peerrpc.CallCancellable[configstore.Asked, []byte](callCtx, reg.store, "ConfigStore.Manifest", &request, request.Ticket)
	switch {
	case err != nil:
		reg.writeOutcome(rw, r, clusterstate.Outcome{}, err, nil)
	case len(body) == 0:
		reg.writeOutcome(rw, r, clusterstate.Outcome{Status: http.StatusNotFound, Text: "no configuration yet"}, nil, nil)
	default:
		rw.Header().Set("Content-Type", "application/json")
		defer reg.memory.BeginWrite(rw, 0)() // it is charged already
		rw.Write(body)
	}
}

// manifestCopies is how often the configuration is held while it is read from the config store and written.
const manifestCopies = 2

// manifestBytes returns the length of the configuration, as this process knows it.
func (reg *Registry) manifestBytes() (bytes int64) {
	reg.replica.View(func(s *clusterstate.State) { bytes = int64(len(s.Body)) })
	return bytes
}

// purge proposes the purge of cached copies, by domain and path or by tag.
func (reg *Registry) purge(rw http.ResponseWriter, r *http.Request, _ string) {
	var target struct {
		Domain string `json:"domain"`
		Path   string `json:"path"`
		Tag    string `json:"tag"`
	}
	body, ok := reg.readBody(rw, r, shortBody)
	defer body.Release()
	if !ok {
		return
	}
	err := json.Unmarshal(body.Bytes, &target)
	if err == nil && target.Tag == "" && (target.Domain == "" || target.Path == "") {
		err = errors.New("domain and path, or tag: missing")
	}
	purge := clusterstate.Purge{Host: target.Domain, Path: target.Path, Tag: target.Tag}
	if err == nil {
		err = clusterstate.CheckPurge(purge)
	}
	if err != nil {
		reg.writeOutcome(rw, r, invalidOutcome(err), nil, nil)
		return
	}
	out, err := reg.propose(r.Context(), clusterstate.Command{Purge: &purge}, operatorCommitTimeout)
	reg.writeOutcome(rw, r, out, err, nil)
}

// status returns the status of the machine's config store.
func (reg *Registry) status(rw http.ResponseWriter, r *http.Request, _ string) {
	callCtx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	status, err := peerrpc.Call[bool, configstore.Status](callCtx, reg.store, "ConfigStore.Status", new(bool))
	reg.writeOutcome(rw, r, clusterstate.Outcome{Status: clusterstate.StatusOK}, err, status)
}

// reportHeardLoop reports the servers heard here to the machine's config store, which passes them on to the leader: a
// server may send its heartbeats to any registry.
func (reg *Registry) reportHeardLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reg.settings.HeartbeatInterval / 3):
		}
		reg.reportHeard(ctx)
	}
}

// reportHeard makes one report. While reports fail, no heartbeat is acknowledged without a log entry: no other machine
// would know that the servers are alive, and they would be removed. They retry at another machine instead.
func (reg *Registry) reportHeard(ctx context.Context) {
	reg.mu.Lock()
	heard, wasUnreachable := reg.heartbeats.TakeUnreported(), reg.storeUnreachable
	reg.mu.Unlock()
	if len(heard) == 0 && !wasUnreachable {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := peerrpc.Call[[]string, bool](callCtx, reg.store, "ConfigStore.Heard", &heard)
	if err != nil {
		reg.log.Debug("cannot report heard servers to the config store", "err", err)
	}
	reg.mu.Lock()
	reg.storeUnreachable = err != nil
	reg.mu.Unlock()
}
