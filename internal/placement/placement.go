// Package placement maps keys to caches by weighted rendezvous hashing (Thaler and Ravishankar, 1998). The mapping depends on the set of
// caches and their weights alone, so routers with the same set agree on each key whatever their history. It does no I/O and reads no clock.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cedarmast/balance"
)

// Rendezvous computes a score for each pair of a key and a cache; the cache with the best score owns the key. A cache that is removed gives
// up only its own keys, a cache that is added takes its share evenly from all others, and shares are proportional to weights. Owner takes
// some nanoseconds per cache.
type Rendezvous struct {
	caches       []cache
	equalWeights bool // all weights are equal
}

type cache struct {
	id     balance.ServerID
	seed   uint64
	weight float64
}

// New returns a placement without caches.
func New() *Rendezvous { return &Rendezvous{} }

// SetWeights sets the caches and their weights. Caches with a weight of zero or less own no keys.
func (r *Rendezvous) SetWeights(weights map[balance.ServerID]float64) {
	r.caches, r.equalWeights = r.caches[:0], true
	for id, w := range weights {
		if w > 0 {
			r.caches = append(r.caches, cache{id, xxhash.Sum64String(string(id)), w})
			r.equalWeights = r.equalWeights && w == r.caches[0].weight
		}
	}
	slices.SortFunc(r.caches, func(a, b cache) int { // of two caches with equal seeds (a hash collision) the first by ID owns the keys of both
		if a.id < b.id {
			return -1
		}
		return 1
	})
}

// Owner returns the cache that owns the key with the given hash; empty if there are no caches.
func (r *Rendezvous) Owner(hash uint64) (owner balance.ServerID) {
	best, lowest := uint64(0), math.Inf(1)
	for _, c := range r.caches {
		score := mix(hash ^ c.seed)
		if r.equalWeights {
			if owner == "" || score > best {
				owner, best = c.id, score
			}
			continue
		}
		// Exponentially distributed with the weight as rate: each cache has the lowest value with a probability proportional to its weight.
		if value := -math.Log((float64(score>>11)+0.5)/(1<<53)) / c.weight; owner == "" || value < lowest {
			owner, lowest = c.id, value
		}
	}
	return owner
}

// mix is the finalizer of SplitMix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
