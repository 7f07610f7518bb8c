package exchange

import (
	"context"
	"log/slog"
	"time"

	"cedarmast/balance"
)

// viewRequest is the event that asks the loop to log the balancer's view of the servers.
type viewRequest struct{ level slog.Level }

// LogView logs the balancer's view of each server together with the number of attempts in flight. A mismatch in the number of attempts in
// flight is a bug and is always logged as an error.
func (l *Loop) LogView(level slog.Level) { l.post(viewRequest{level}) }

func (e viewRequest) apply(l *Loop) balance.Event {
	l.viewLevel, l.viewRequested = e.level, true // after the batch: until then the loop's state is ahead of the balancer's
	return nil
}

// overallViewer is a balancer that also reports its view of all caches together.
type overallViewer interface {
	Overall(now balance.Time) balance.Overall
}

// logView logs the balancer's view and counts servers for which the balancer and the loop disagree on the attempts in flight.
func (l *Loop) logView() {
	if d, ok := l.balancer.(overallViewer); ok {
		o := d.Overall(l.Clock.Now())
		var reasons []any
		for w, n := range o.GivenUp {
			reasons = append(reasons, slog.Int(balance.GiveUpReason(w).String(), n))
		}
		l.Log.Log(context.Background(), l.viewLevel, "caches viewed", "gate", hundredths(o.CacheGate), "origin_gate", hundredths(o.OriginGate),
			"errors", hundredths(o.Errors), "latency", o.Latency.Round(time.Millisecond), "taking", o.FleetLatency.Round(time.Millisecond),
			"retries", hundredths(o.Retries), "excluded", o.Ejected, "caches", o.Caches, slog.Group("given_up", reasons...))
		for n, s := range o.Sites {
			l.Log.Log(context.Background(), l.viewLevel, "site viewed", "site", s.Zone, "order", n, "state", s.State, "part", hundredths(s.KeyShare),
				"up", s.Up, "absent", hundredths(s.FailShare), "connect", s.Connect.Round(10*time.Microsecond), "fetches", hundredths(o.MaxFetches))
		}
	}
	tracked, running := map[balance.ServerID]int{}, map[balance.ServerID]int{}
	for _, x := range l.exchanges {
		for _, a := range x.attempts {
			if !a.outcomeApplied {
				tracked[a.Server]++
			}
			if !a.ended.Load() {
				running[a.Server]++
			}
		}
	}
	for _, v := range l.balancer.View(l.Clock.Now()) {
		level := l.viewLevel
		if v.InFlight != tracked[v.Server] {
			l.Counters.InFlightMismatches.Add(1)
			level = slog.LevelError
		}
		l.Log.Log(context.Background(), level, "server viewed", "server", v.Server, "counted", v.InFlight, "booked", tracked[v.Server],
			"under_way", running[v.Server], "limit", int(v.Limit), "excluded", v.EjectedFor.Round(time.Millisecond), "trial", v.Trial,
			"fails", v.Fails, "warmth", hundredths(v.WarmFraction), "heard", v.SinceAnswer.Round(time.Millisecond))
	}
}

// hundredths truncates x to two decimal places.
func hundredths(x float64) float64 { return float64(int(x*100)) / 100 }
