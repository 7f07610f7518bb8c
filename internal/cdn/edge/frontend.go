package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/startup"

	"github.com/hashicorp/go-hclog"
)

// This file opens, bounds and shuts down the ports for clients and for the platform's readiness probes.

const (
	maxRequestHeader        = 64 << 10
	notReadyPeriod          = 2600 * time.Millisecond // after SIGTERM, until the platform has polled the readiness endpoint twice
	maxShutdownMargin       = 700 * time.Millisecond  // upper bound of the part of grace that is kept back
	shutdownMarginDivisor   = 8                       // grace divided by this is kept back: requests in flight have over five sixths of grace
	reservedClientFDs       = 200                     // file handles of half of them that are not for client connections
	minConnections          = 64                      // however few file handles there are
	peerFDDivisor           = 4                       // file handles divided by this are for connections of other routers
	maxReadinessConnections = 64
	maxReadinessHeader      = 8 << 10
	readinessTimeout        = 2 * time.Second
)

// clientFrontend holds the listeners for clients and for the platform's readiness probe. A machine that serves no clients has none and only
// serves cached objects to other routers.
type clientFrontend struct {
	edge               *Edge
	readiness, clients net.Listener
	listener           *clientListener
	server             *http.Server
}

// openFrontend opens the listeners of clients and readiness probes.
func (e *Edge) openFrontend(ctx context.Context) (*clientFrontend, error) {
	readiness, err := startup.Listen(ctx, e.config.ReadinessAddress, e.log)
	if err != nil {
		return nil, err
	}
	clients, err := startup.Listen(ctx, e.config.ClientAddress, e.log)
	if err != nil {
		return nil, err
	}
	return &clientFrontend{edge: e, readiness: readiness, clients: clients}, nil
}

// serve starts accepting clients and readiness probes.
func (f *clientFrontend) serve() {
	f.server = &http.Server{Handler: http.HandlerFunc(f.edge.serve), ConnContext: withConnection,
		ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout,
		MaxHeaderBytes: maxRequestHeader, ErrorLog: f.edge.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	f.listener = newClientListener(f.clients)
	f.server.ConnState = f.listener.state
	f.listener.Listener = f.edge.memory.Guard(f.server, f.clients, maxClientConnections(f.edge.config.FileHandles))
	go f.server.Serve(f.listener)
	f.edge.tasks.Go(func() { f.listener.enforceLimits(f.edge.lifetime, f.edge.clientLimits) })
	readyServer := &http.Server{Handler: http.HandlerFunc(f.edge.serveReady), ReadHeaderTimeout: readinessTimeout, WriteTimeout: readinessTimeout,
		IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxReadinessHeader}
	probes := admission.NewMemory(f.edge.config.MemoryMB, admission.ProbeShares)
	go readyServer.Serve(probes.Guard(readyServer, f.readiness, maxReadinessConnections))
}

// maxClientConnections returns how many connections of clients may be open at once.
func maxClientConnections(fileHandles int) int {
	return max(fileHandles/2-reservedClientFDs, minConnections)
}

// maxPeerConnections returns how many connections of other routers may be open at once.
func maxPeerConnections(fileHandles int) int { return max(fileHandles/peerFDDivisor, minConnections) }

// clientLimits returns the client limits of the configuration in force, or the defaults.
func (e *Edge) clientLimits() clusterstate.Limits {
	if p := e.plan.Load(); p != nil {
		return p.Limits
	}
	return clusterstate.DefaultLimits
}

// shutdown ends gracefully: it reports not ready, then accepts no new connections, then waits for the requests in flight.
func (f *clientFrontend) shutdown(started time.Time) {
	f.edge.log.Info("shutting down: accepting requests until the platform stops sending them")
	time.Sleep(min(notReadyPeriod, f.edge.config.Limits.Grace/2))
	f.edge.closeConns.Store(true)
	if left := f.listener.drain(shutdownDeadline(started, f.edge.config.Limits.Grace)); left > 0 {
		f.edge.log.Warn("shutdown timed out with requests in flight", "connections", left)
	}
	f.server.Close()
}

// shutdownDeadline returns until when a shutdown that began at started waits for requests in flight.
func shutdownDeadline(started time.Time, grace time.Duration) time.Time {
	return started.Add(grace - min(maxShutdownMargin, grace/shutdownMarginDivisor))
}

// serveReady answers the platform's readiness probe.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/ready" {
		http.NotFound(w, r)
		return
	}
	if !e.ready.Load() || e.shuttingDown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
