package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"cedarmast/balance"
)

func fleet(n int, weight func(i int) float64) map[balance.ServerID]float64 {
	all := map[balance.ServerID]float64{}
	for i := range n {
		all[balance.ServerID(fmt.Sprint("c", i))] = weight(i)
	}
	return all
}

func equalWeight(int) float64 { return 1 }

const keys = 40_000

func key(i int) uint64 { return rand.New(rand.NewPCG(uint64(i), 7)).Uint64() }

// Shares of keys are proportional to weights, within the statistical error of 40,000 keys.
func TestSharesFollowWeights(t *testing.T) {
	for _, weight := range []func(int) float64{equalWeight,
		func(i int) float64 { return float64(1 + i%3) }, func(i int) float64 { return float64(i % 2) }} {
		all, r, got, total := fleet(20, weight), New(), map[balance.ServerID]int{}, 0.0
		r.SetWeights(all)
		for _, w := range all {
			total += w
		}
		for i := range keys {
			got[r.Owner(key(i))]++
		}
		for id, w := range all {
			want := keys * w / total
			if math.Abs(float64(got[id])-want) > 5*math.Sqrt(want) {
				t.Errorf("%s of weight %v has %d keys, want %.0f", id, w, got[id], want)
			}
		}
	}
	if owner := New().Owner(1); owner != "" {
		t.Errorf("without caches: %q", owner)
	}
}

// Owners depend on the current weights alone, not on the batches and order in which caches came and went. A change moves only the keys of
// removed caches and the keys that added caches take.
func TestOwnersDependOnlyOnWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := map[bool]func(int) float64{true: equalWeight,
			false: func(i int) float64 { return 1 + float64(i%2)/2 }}[rapid.Bool().Draw(t, "even")]
		present := map[balance.ServerID]float64{}
		r := New()
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			was := maps.Clone(present)
			before := make([]balance.ServerID, 200)
			for i := range before {
				before[i] = r.Owner(key(i))
			}
			for range rapid.IntRange(1, 6).Draw(t, "changes") {
				i := rapid.IntRange(0, 15).Draw(t, "cache")
				id := balance.ServerID(fmt.Sprint("c", i))
				if _, ok := present[id]; ok {
					delete(present, id)
				} else {
					present[id] = weight(i)
				}
			}
			r.SetWeights(present)
			fresh := New()
			fresh.SetWeights(present)
			for i, old := range before {
				now := r.Owner(key(i))
				if now != fresh.Owner(key(i)) {
					t.Fatalf("key %d: owner %s, but %s for a new placement with the same weights", i, now, fresh.Owner(key(i)))
				}
				if _, stays := present[old]; now != old && stays && was[now] > 0 {
					t.Fatalf("key %d moved from %s to %s, which were both present before and after", i, old, now)
				}
			}
		}
	})
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{10, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New()
			r.SetWeights(fleet(n, equalWeight))
			for i := range b.N {
				r.Owner(uint64(i) * 0x9e3779b97f4a7c15)
			}
		})
	}
}
