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

// view compares and writes.
func (l *Loop) view() {
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
			"fails", v.Fails, "warmth", float64(int(v.Warmth*100))/100, "heard", v.Heard.Round(time.Millisecond))
	}
}
