// Package peersampling implements gossip-based peer sampling for cache routers. No router knows all others: each keeps a small partial
// view and periodically exchanges half of it with the neighbour that has the oldest entry. Neighbours that do not answer disappear
// from the views within a few rounds. The package does no I/O; the caller transports the exchanges.
package peersampling

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Neighbour is an entry of a view. It is sent to other routers.
type Neighbour struct {
	Address string
	Age     int    // rounds since the neighbour itself sent this entry
	Index   uint64 // its index of the replicated log, as it last reported
}

// View is a router's partial view of the other routers. Its methods may be called from many goroutines.
type View struct {
	self       string
	maxEntries int

	mu      sync.Mutex
	rng     *rand.Rand
	entries []Neighbour
}

// New returns an empty view, of at most so many entries, for the router with the address self. Seed seeds its random choices.
func New(self string, maxEntries int, seed uint64) *View {
	return &View{self: self, maxEntries: maxEntries, rng: rand.New(rand.NewPCG(seed, 1))}
}

// AddAddresses adds router addresses from another source, for example at the start, while the view is not full.
func (v *View) AddAddresses(addresses ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, address := range addresses {
		if len(v.entries) < v.maxEntries {
			v.add(Neighbour{Address: address}, nil)
		}
	}
}

// Addresses returns the addresses in the view, those with the highest log index first.
func (v *View) Addresses() (addresses []string) {
	v.mu.Lock()
	sorted := slices.Clone(v.entries)
	v.mu.Unlock()
	slices.SortStableFunc(sorted, func(a, b Neighbour) int {
		switch {
		case a.Index > b.Index:
			return -1
		case a.Index < b.Index:
			return 1
		}
		return a.Age - b.Age
	})
	for _, n := range sorted {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// StartExchange starts an exchange. It ages all entries and removes the oldest one, whose address is returned as the target: if the target
// does not answer, it is gone from the view. The offer, which includes this router, is to be sent to it. The target is empty if the
// view is.
func (v *View) StartExchange(index uint64) (target string, offer []Neighbour) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.entries) == 0 {
		return "", nil
	}
	oldest := 0
	for i := range v.entries {
		v.entries[i].Age++
		if v.entries[i].Age > v.entries[oldest].Age {
			oldest = i
		}
	}
	target = v.entries[oldest].Address
	v.entries = slices.Delete(v.entries, oldest, oldest+1)
	return target, append(v.sample(v.maxEntries/2-1), Neighbour{Address: v.self, Index: index})
}

// HandleExchange merges another router's offer into the view and returns this router's own offer.
func (v *View) HandleExchange(offer []Neighbour, index uint64) []Neighbour {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := append(v.sample(v.maxEntries/2-1), Neighbour{Address: v.self, Index: index})
	v.merge(offer, own)
	return own
}

// FinishExchange merges the answer to this router's own offer, which is passed as offered.
func (v *View) FinishExchange(answer, offered []Neighbour) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(answer, offered)
}

// sample returns up to n distinct random entries.
func (v *View) sample(n int) []Neighbour {
	drawn := slices.Clone(v.entries)
	v.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:max(min(n, len(drawn)), 0)]
}

// merge adds entries; in a full view they replace entries that were sent away. An offer longer than the view's maximum is truncated.
func (v *View) merge(offer, sent []Neighbour) {
	for _, n := range offer[:min(len(offer), v.maxEntries)] {
		v.add(n, sent)
	}
}

// add adds an entry, or updates the index and age of a known one. In a full view it replaces an entry of sent, or is dropped if there
// is none.
func (v *View) add(n Neighbour, sent []Neighbour) {
	if n.Address == v.self || n.Address == "" {
		return
	}
	for i, old := range v.entries {
		if old.Address == n.Address {
			v.entries[i].Index = max(old.Index, n.Index)
			v.entries[i].Age = min(old.Age, n.Age)
			return
		}
	}
	if len(v.entries) < v.maxEntries {
		v.entries = append(v.entries, n)
		return
	}
	for i, old := range v.entries {
		if slices.ContainsFunc(sent, func(s Neighbour) bool { return s.Address == old.Address }) {
			v.entries[i] = n
			return
		}
	}
}
