package simulation

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("simulation")

const garbagePercent = 400 // runs are short and leave much behind

// Play plays seeds on all cores and hands the runs over one at a time, until it is told to end.
func Play(from, seeds uint64, options func(seed uint64) Options, took func(Result) (goOn bool)) {
	var mu sync.Mutex
	var running sync.WaitGroup
	next, over := from, false
	take := func(r *Result) (seed uint64, more bool) {
		mu.Lock()
		defer mu.Unlock()
		if r != nil && !over {
			over = !took(*r)
		}
		next++
		return next - 1, !over && next <= from+seeds
	}
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for seed, more := take(nil); more; {
				r := Run(options(seed))
				seed, more = take(&r)
			}
		})
	}
	running.Wait()
}

// Sweep plays seeds and writes down which of them failed.
func Sweep(from, seeds uint64, out io.Writer) error {
	debug.SetGCPercent(garbagePercent)
	failed, orders, reads, lost := 0, 0, 0, 0
	Play(from, seeds, func(seed uint64) Options { return Options{Seed: seed} }, func(r Result) bool {
		orders, reads, lost = orders+r.Orders, reads+r.Reads, lost+r.DisksLost
		if r.Failure != "" {
			failed++
			fmt.Fprintf(out, "seed %d at %v: %s\n", r.Seed, r.At, r.Failure)
		}
		return true
	})
	fmt.Fprintf(out, "%d seeds from %d: %d orders acknowledged, %d reads answered, %d disks lost, %d failed\n", seeds, from, orders, reads, lost, failed)
	if failed > 0 {
		return Error.New("%d of %d seeds failed", failed, seeds)
	}
	return nil
}

// Replay plays one seed, with the fewest faults if it fails, and writes down what happens.
func Replay(seed uint64, out io.Writer) error {
	o := Options{Seed: seed}
	r := Run(o)
	if r.Failure != "" {
		r = Shrink(o, r)
		o.Faults = r.Faults
	}
	o.Trace = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	r = Run(o)
	if r.Failure != "" {
		return Error.New("seed %d fails with %d faults at %v: %s", seed, len(r.Faults), r.At, r.Failure)
	}
	fmt.Fprintf(out, "seed %d: %d orders acknowledged, %d reads answered, no rule broken\n", seed, r.Orders, r.Reads)
	return nil
}
