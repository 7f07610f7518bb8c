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

// showOnSignal logs on SIGUSR1 what the decisions hold of servers and cache routers, and this router's shares of rates, until the context ends.
func (e *Edge) showOnSignal(ctx context.Context) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	for {
		select {
		case <-asked:
			e.show()
		case <-ctx.Done():
			return
		}
	}
}

func (e *Edge) show() {
	for _, l := range []*exchange.Loop{e.zoneCaches.loop, e.shields.loop, e.zoneShields.loop} {
		l.View(slog.LevelInfo)
	}
	p := e.plan.Load()
	if p == nil {
		return
	}
	for name, sv := range p.services {
		share := sv.rate.view()
		e.log.Info("service viewed", "service", name, "share_per_s", share.perSecond, "tokens", share.tokens, "burst", share.burst, "need_per_s", share.need)
		for _, l := range sv.loops() {
			l.View(slog.LevelInfo)
		}
	}
}

// decisionLog passes what the decisions' hosts log on to the process's log. What they say below info is left out.
type decisionLog struct {
	log   hclog.Logger
	attrs []slog.Attr
}

func (d decisionLog) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

func (d decisionLog) Handle(_ context.Context, r slog.Record) error {
	var pairs []any
	add := func(a slog.Attr) bool {
		pairs = append(pairs, a.Key, a.Value.String())
		return true
	}
	for _, a := range d.attrs {
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
	d.log.Log(level, r.Message, pairs...)
	return nil
}

func (d decisionLog) WithAttrs(more []slog.Attr) slog.Handler {
	return decisionLog{d.log, append(append([]slog.Attr(nil), d.attrs...), more...)}
}

func (d decisionLog) WithGroup(string) slog.Handler { return d }
