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

// SetWeights replaces the servers and their weights.
func (p *weightedPlacement) SetWeights(weights map[balance.ServerID]float64) {
	p.servers, p.cumulative = slices.AppendSeq(p.servers[:0], maps.Keys(weights)), p.cumulative[:0]
	slices.Sort(p.servers)
	total := 0.0
	for _, server := range p.servers {
		total += weights[server]
		p.cumulative = append(p.cumulative, total)
	}
}

// Owner returns the server that a hash selects; empty if there are no servers.
func (p *weightedPlacement) Owner(hash uint64) balance.ServerID {
	if len(p.servers) == 0 {
		return ""
	}
	const fractions = 1 << 53 // distinct fractions that a float64 can represent
	at := float64(hash>>11) / fractions * p.cumulative[len(p.cumulative)-1]
	i := sort.Search(len(p.cumulative), func(i int) bool { return p.cumulative[i] > at })
	return p.servers[min(i, len(p.servers)-1)] // rounding may yield the total itself
}
