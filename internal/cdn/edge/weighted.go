package edge

import (
	"maps"
	"slices"
	"sort"

	"cedarmast/balance"
)

// weightedPlacement is the balance.Placement of requests that may go to any server of a service: a random hash selects each server in
// proportion to its weight. No key belongs to a server, so no state is kept between lists, and a change of one server costs one pass over
// the list. The interval table, which moves as few keys as possible, would move a piece of every other server's part at each change.
type weightedPlacement struct {
	servers    []balance.ServerID
	cumulative []float64 // by server: cumulative weight up to and including it
}

// newWeightedPlacement returns a placement without servers.
func newWeightedPlacement() balance.Placement { return new(weightedPlacement) }

// Follow replaces the servers and their weights.
func (d *weightedPlacement) Follow(weights map[balance.ServerID]float64) {
	d.servers, d.cumulative = slices.AppendSeq(d.servers[:0], maps.Keys(weights)), d.cumulative[:0]
	slices.Sort(d.servers)
	total := 0.0
	for _, server := range d.servers {
		total += weights[server]
		d.cumulative = append(d.cumulative, total)
	}
}

// Owner returns the server that a hash selects; empty if there are no servers.
func (d *weightedPlacement) Owner(hash uint64) balance.ServerID {
	if len(d.servers) == 0 {
		return ""
	}
	const fractions = 1 << 53 // distinct fractions that a float64 can represent
	at := float64(hash>>11) / fractions * d.cumulative[len(d.cumulative)-1]
	i := sort.Search(len(d.cumulative), func(i int) bool { return d.cumulative[i] > at })
	return d.servers[min(i, len(d.servers)-1)] // rounding may yield the total itself
}
