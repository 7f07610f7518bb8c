// Package metrics serves a process's metrics in the Prometheus text format, at the port and path given on the command line.
package metrics

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/admission"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/startup"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	promcollectors "github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("metrics")

const (
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 15 * time.Second
	writeTimeout      = 10 * time.Second
	maxHeaderBytes    = 8 << 10
	maxConnections    = 64
	maxReadsAtOnce    = 4 // further ones are refused
)

// Endpoint is the port and path of the metrics endpoint.
type Endpoint struct {
	Port int
	Path string // with the leading slash
}

// ParseEndpoint parses PORT/PATH.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, ok := strings.Cut(text, "/")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > 65535 || path == "" {
		return Endpoint{}, Error.New("%q: not of the form PORT/PATH", text)
	}
	return Endpoint{Port: n, Path: "/" + path}, nil
}

// Serve serves the collectors' metrics, and those of the process's CPU time and memory, at the endpoint in the settings until the context
// ends. Without an endpoint it does nothing. It listens in the background: missing metrics are not worth an outage.
func Serve(ctx context.Context, settings bootconfig.Settings, log hclog.Logger, collectors ...prometheus.Collector) {
	if settings.MetricsEndpoint == "" {
		return
	}
	endpoint, err := ParseEndpoint(settings.MetricsEndpoint)
	if err != nil {
		log.Error("metrics are not served", "err", err)
		return
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors...)
	registry.MustRegister(promcollectors.NewProcessCollector(promcollectors.ProcessCollectorOpts{})) // CPU, memory, descriptors
	mux := http.NewServeMux()
	mux.Handle(endpoint.Path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: maxReadsAtOnce}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		listener, err := startup.Listen(ctx, net.JoinHostPort(settings.IP, strconv.Itoa(endpoint.Port)), log)
		if err != nil {
			log.Error("metrics are not served", "err", err)
			return
		}
		server.Serve(admission.NewMemory(settings.MemoryMB, admission.ProbeShares).Guard(server, listener, maxConnections))
	}()
}
