package edge

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"cedarmast/internal/exchange"

	"github.com/hashicorp/go-hclog"
)

// logStateOnSignal logs the load balancers' views of servers and cache routers and this router's rate limits on SIGUSR1, until the context
// ends.
func (e *Edge) logStateOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			e.logState()
		case <-ctx.Done():
			return
		}
	}
}

// logState logs the state once.
func (e *Edge) logState() {
	for _, l := range []*exchange.Loop{e.zoneCaches.loop, e.shields.loop, e.zoneShields.loop} {
		l.LogView(slog.LevelInfo)
	}
	p := e.plan.Load()
	if p == nil {
		return
	}
	for name, svc := range p.services {
		limiter := svc.limiter.view()
		e.log.Info("service state", "service", name, "share_per_s", limiter.perSecond, "tokens", limiter.tokens,
			"burst", limiter.burst, "need_per_s", limiter.demand)
		for _, l := range svc.loops() {
			l.LogView(slog.LevelInfo)
		}
	}
}

// balanceLogHandler is a slog.Handler that forwards the load balancer loops' records from level info to the process's log.
type balanceLogHandler struct {
	log   hclog.Logger
	attrs []slog.Attr
}

// Enabled implements slog.Handler.
func (h balanceLogHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h balanceLogHandler) Handle(_ context.Context, r slog.Record) error {
	var pairs []any
	add := func(a slog.Attr) bool {
		pairs = append(pairs, a.Key, a.Value.String())
		return true
	}
	for _, a := range h.attrs {
		add(a)
	}
	r.Attrs(add)
	level := hclog.Info
	switch {
	case r.Level >= slog.LevelError:
		level = hclog.Error
	case r.Level >= slog.LevelWarn:
		level = hclog.Warn
	}
	h.log.Log(level, r.Message, pairs...)
	return nil
}

// WithAttrs implements slog.Handler.
func (h balanceLogHandler) WithAttrs(more []slog.Attr) slog.Handler {
	return balanceLogHandler{h.log, append(append([]slog.Attr(nil), h.attrs...), more...)}
}

// WithGroup implements slog.Handler; groups are ignored.
func (h balanceLogHandler) WithGroup(string) slog.Handler { return h }
