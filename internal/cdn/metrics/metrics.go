// Package metrics tells a process's own figures as text, in the format of Prometheus, to whoever asks at the port and path that the
// command line names.
package metrics

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cedarmast/internal/cdn/bootconfig"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	promcollectors "github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("metrics")

const (
	headerWithin = 2 * time.Second
	idleFor      = 15 * time.Second
)

// Place is where figures are told.
type Place struct {
	Port int
	Path string // with its first slash
}

// ParsePlace reads PORT/PATH.
func ParsePlace(text string) (Place, error) {
	port, path, ok := strings.Cut(text, "/")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > 65535 || path == "" {
		return Place{}, Error.New("%q: not of the form PORT/PATH", text)
	}
	return Place{Port: n, Path: "/" + path}, nil
}

// Serve tells the collectors' figures, and the process's own of processor time and memory, at the settings' place until the context ends. Without a place it does nothing. A place that
// can't be listened at is logged, and the process goes on: figures are not worth an outage.
func Serve(ctx context.Context, set bootconfig.Settings, log hclog.Logger, collectors ...prometheus.Collector) {
	if set.Metrics == "" {
		return
	}
	place, err := ParsePlace(set.Metrics)
	if err != nil {
		log.Error("no figures are told", "err", err)
		return
	}
	l, err := net.Listen("tcp", net.JoinHostPort(set.IP, strconv.Itoa(place.Port)))
	if err != nil {
		log.Error("no figures are told", "err", err)
		return
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors...)
	registry.MustRegister(promcollectors.NewProcessCollector(promcollectors.ProcessCollectorOpts{})) // processor seconds, memory, descriptors
	mux := http.NewServeMux()
	mux.Handle(place.Path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerWithin, IdleTimeout: idleFor,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(l)
}
