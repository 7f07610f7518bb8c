package simulation

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

var seeds = flag.Uint64("simulation.seeds", 300, "how many seeds are played")

var oneSeed = flag.Int64("simulation.seed", -1, "play this seed alone, and tell what happens")

// TestSeed replays one seed.
func TestSeed(t *testing.T) {
	if *oneSeed >= 0 {
		r := Run(Options{Seed: uint64(*oneSeed), Trace: t.Logf})
		assert.Equal(t, r.Failure, "")
	}
}

// Whatever goes wrong, the rules of the control side hold: see the package.
func TestSeeds(t *testing.T) {
	var mu sync.Mutex
	next, failed, orders := uint64(0), 0, 0
	var running sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= *seeds {
					return
				}
				r := Run(Options{Seed: seed})
				mu.Lock()
				orders += r.Orders
				if r.Failure != "" {
					failed++
					t.Errorf("seed %d at %v: %s\n%v", seed, r.At, r.Failure, r.Faults)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	t.Log(fmt.Sprint(*seeds, " seeds, ", orders, " orders acknowledged, ", failed, " failed"))
	assert.Equal(t, failed, 0)
}
