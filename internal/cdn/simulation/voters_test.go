package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkVoters measures the latency and cost of configuration updates by the number of voters, without faults and with the leader
// killed every 3 seconds.
// `go test -run XXX -bench Voters -benchtime 1x ./internal/cdn/simulation`
func BenchmarkVoters(b *testing.B) {
	var kills []Fault
	for at := 4 * time.Second; at < faultsEnd-2*time.Second; at += 3 * time.Second {
		kills = append(kills, Fault{Kind: Kill, At: at, Duration: 2 * time.Second, Target: targetLeader})
	}
	const seeds = 30
	for _, voters := range []int{3, 5, 7, 9, 12} {
		for name, faults := range map[string][]Fault{"calm": {}, "leader killed": kills} {
			b.Run(fmt.Sprintf("%d/%s", voters, name), func(b *testing.B) {
				for b.Loop() {
					var took []time.Duration
					messages, syncs, updates := 0, uint64(0), 0
					for seed := range uint64(seeds) {
						r := Run(Options{Seed: seed, Faults: faults, Machines: voters})
						assert.Equal(b, r.Failure, "")
						took, messages, syncs, updates = append(took, r.UpdateLatencies...), messages+r.Messages, syncs+r.Syncs, updates+r.UpdatesAcknowledged
					}
					slices.Sort(took)
					quantile := func(fraction float64) float64 { return took[int(fraction*float64(len(took)-1))].Seconds() * 1e3 }
					b.ReportMetric(quantile(0.5), "p50-ms")
					b.ReportMetric(quantile(0.99), "p99-ms")
					b.ReportMetric(quantile(1), "worst-ms")
					b.ReportMetric(float64(messages)/float64(updates), "messages/order")
					b.ReportMetric(float64(syncs)/float64(updates), "syncs/order")
				}
			})
		}
	}
}
