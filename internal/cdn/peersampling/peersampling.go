// Package peersampling is how cache routers know one another without anybody knowing all: each keeps a small partial view and now
// and then exchanges half of it with the neighbour that it has known for longest. Who does not answer falls out of the views
// within a few rounds. It does no I/O; the host carries the exchanges.
package peersampling

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Neighbour is an entry of a view.
type Neighbour struct {
	Address string
	Age     int    // rounds since it was heard of from itself
	Index   uint64 // of the common history, as it last said
}

// View is a partial view. Its methods may be called from many goroutines.
type View struct {
	self string
	most int

	mu  sync.Mutex
	rng *rand.Rand
	all []Neighbour
}

// New returns the view of a router that knows nobody, with so many entries at most.
func New(self string, most int, seed uint64) *View {
	return &View{self: self, most: most, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Meet adds addresses that are known from elsewhere while there is room, as at a start.
func (v *View) Meet(addresses ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range addresses {
		if len(v.all) < v.most {
			v.add(Neighbour{Address: a}, nil)
		}
	}
}

// Neighbours are the addresses in the view, those with the newest history first.
func (v *View) Neighbours() (all []string) {
	v.mu.Lock()
	sorted := slices.Clone(v.all)
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
		all = append(all, n.Address)
	}
	return all
}

// Begin ages the view and takes out the entry that is to be asked: one that does not answer is gone with it. The offer is what
// it is sent, this router among it. Empty: nobody is known.
func (v *View) Begin(index uint64) (ask string, offer []Neighbour) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.all) == 0 {
		return "", nil
	}
	oldest := 0
	for i := range v.all {
		v.all[i].Age++
		if v.all[i].Age > v.all[oldest].Age {
			oldest = i
		}
	}
	ask = v.all[oldest].Address
	v.all = slices.Delete(v.all, oldest, oldest+1)
	return ask, append(v.sample(v.most/2-1), Neighbour{Address: v.self, Index: index})
}

// Answer takes another's offer and returns this router's own.
func (v *View) Answer(offer []Neighbour, index uint64) []Neighbour {
	v.mu.Lock()
	defer v.mu.Unlock()
	mine := append(v.sample(v.most/2-1), Neighbour{Address: v.self, Index: index})
	v.merge(offer, mine)
	return mine
}

// End takes the answer to what Begin offered.
func (v *View) End(answer, offered []Neighbour) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(answer, offered)
}

// sample draws entries, each at most once.
func (v *View) sample(n int) []Neighbour {
	drawn := slices.Clone(v.all)
	v.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:max(min(n, len(drawn)), 0)]
}

// merge takes entries on; where there is no room they replace those that were sent away. An offer over the bound is cut.
func (v *View) merge(offer, sent []Neighbour) {
	for _, n := range offer[:min(len(offer), v.most)] {
		v.add(n, sent)
	}
}

func (v *View) add(n Neighbour, sent []Neighbour) {
	if n.Address == v.self || n.Address == "" {
		return
	}
	for i, old := range v.all {
		if old.Address == n.Address {
			v.all[i].Index = max(old.Index, n.Index)
			v.all[i].Age = min(old.Age, n.Age)
			return
		}
	}
	if len(v.all) < v.most {
		v.all = append(v.all, n)
		return
	}
	for i, old := range v.all {
		if slices.ContainsFunc(sent, func(s Neighbour) bool { return s.Address == old.Address }) {
			v.all[i] = n
			return
		}
	}
}
