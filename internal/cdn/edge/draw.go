package edge

import (
	"maps"
	"slices"
	"sort"

	"cedarmast/balance"
)

// weightedDraw is the balance.Placement of requests that may go to any server of a service: a hash drawn at random names each server as often
// as its weight says. No key belongs to a server, so nothing is kept between two lists, and a change of one server costs a pass over the list.
// The interval table, which keeps every key where it can stay, hands a piece of every other server's part on with each change.
type weightedDraw struct {
	servers []balance.ServerID
	upTo    []float64 // by server: the weights of it and of those before it
}

func newWeightedDraw() balance.Placement { return new(weightedDraw) }

// Follow takes the servers that may be drawn, with their weights.
func (d *weightedDraw) Follow(weights map[balance.ServerID]float64) {
	d.servers, d.upTo = slices.AppendSeq(d.servers[:0], maps.Keys(weights)), d.upTo[:0]
	slices.Sort(d.servers)
	total := 0.0
	for _, server := range d.servers {
		total += weights[server]
		d.upTo = append(d.upTo, total)
	}
}

// Owner is the server that a hash draws; empty where there is none.
func (d *weightedDraw) Owner(hash uint64) balance.ServerID {
	if len(d.servers) == 0 {
		return ""
	}
	const fractions = 1 << 53 // that a float64 tells apart
	at := float64(hash>>11) / fractions * d.upTo[len(d.upTo)-1]
	i := sort.Search(len(d.upTo), func(i int) bool { return d.upTo[i] > at })
	return d.servers[min(i, len(d.servers)-1)] // rounding may reach the sum itself
}
