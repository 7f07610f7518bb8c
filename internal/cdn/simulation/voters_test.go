package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What voters cost and what they are worth, by how many there are: orders while nothing goes wrong, and with the leader killed again and again.
// `go test -run XXX -bench Voters -benchtime 1x ./internal/cdn/simulation`
func BenchmarkVoters(b *testing.B) {
	var kills []Fault
	for at := 4 * time.Second; at < faultsUntil-2*time.Second; at += 3 * time.Second {
		kills = append(kills, Fault{Kind: Kill, At: at, For: 2 * time.Second, Who: leaderLot})
	}
	const seeds = 30
	for _, voters := range []int{3, 5, 7, 9, 12} {
		for name, faults := range map[string][]Fault{"calm": {}, "leader killed": kills} {
			b.Run(fmt.Sprintf("%d/%s", voters, name), func(b *testing.B) {
				for b.Loop() {
					var took []time.Duration
					messages, syncs, orders := 0, uint64(0), 0
					for seed := range uint64(seeds) {
						r := Run(Options{Seed: seed, Faults: faults, Machine: voters})
						assert.Equal(b, r.Failure, "")
						took, messages, syncs, orders = append(took, r.Acknowledged...), messages+r.Messages, syncs+r.Syncs, orders+r.Orders
					}
					slices.Sort(took)
					quantile := func(part float64) float64 { return took[int(part*float64(len(took)-1))].Seconds() * 1e3 }
					b.ReportMetric(quantile(0.5), "p50-ms")
					b.ReportMetric(quantile(0.99), "p99-ms")
					b.ReportMetric(quantile(1), "worst-ms")
					b.ReportMetric(float64(messages)/float64(orders), "messages/order")
					b.ReportMetric(float64(syncs)/float64(orders), "syncs/order")
				}
			})
		}
	}
}
