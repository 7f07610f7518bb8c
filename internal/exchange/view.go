package exchange

import (
	"context"
	"log/slog"
	"time"

	"cedarmast/balance"
)

// viewed asks for the decisions' view of the servers, beside what is under way.
type viewed struct{ level slog.Level }

// View writes the decisions' view of each server to the log, beside what is under way on the sockets. A difference in
// what counts as in flight is a fault, and always said.
func (l *Loop) View(level slog.Level) { l.post(viewed{level}) }

func (e viewed) take(l *Loop) balance.Event {
	l.viewAt, l.viewAsked = e.level, true // once the batch is through: within it the books are ahead of the decisions
	return nil
}

// overall is a decider that tells what it holds of the caches together.
type overall interface {
	Overall(now balance.Time) balance.Overall
}

// view compares and writes.
func (l *Loop) view() {
	if d, ok := l.balancer.(overall); ok {
		o := d.Overall(l.Clock.Now())
		var why []any
		for w, n := range o.GivenUp {
			why = append(why, slog.Int(balance.Why(w).String(), n))
		}
		l.Log.Log(context.Background(), l.viewAt, "caches viewed", "gate", hundredths(o.Gate), "origin_gate", hundredths(o.OriginGate),
			"errors", hundredths(o.Errors), "latency", o.Latency.Round(time.Millisecond), "taking", o.Taking.Round(time.Millisecond),
			"retries", hundredths(o.Retries), "excluded", o.Excluded, "caches", o.Caches, slog.Group("given_up", why...))
		for n, s := range o.Sites {
			l.Log.Log(context.Background(), l.viewAt, "site viewed", "site", s.Zone, "order", n, "state", s.State, "part", hundredths(s.Part),
				"up", s.Up, "absent", hundredths(s.Absent), "connect", s.Connect.Round(10*time.Microsecond), "fetches", hundredths(o.Fetches))
		}
	}
	booked, underWay := map[balance.ServerID]int{}, map[balance.ServerID]int{}
	for _, x := range l.exchanges {
		for _, a := range x.attempts {
			if !a.taken {
				booked[a.Server]++
			}
			if !a.ended.Load() {
				underWay[a.Server]++
			}
		}
	}
	for _, v := range l.balancer.View(l.Clock.Now()) {
		level := l.viewAt
		if v.Out != booked[v.Server] {
			l.Counts.Astray.Add(1)
			level = slog.LevelError
		}
		l.Log.Log(context.Background(), level, "server viewed", "server", v.Server, "counted", v.Out, "booked", booked[v.Server],
			"under_way", underWay[v.Server], "limit", int(v.Limit), "excluded", v.Excluded.Round(time.Millisecond), "trial", v.Trial,
			"fails", v.Fails, "warmth", hundredths(v.Warmth), "heard", v.Heard.Round(time.Millisecond))
	}
}

func hundredths(x float64) float64 { return float64(int(x*100)) / 100 }
