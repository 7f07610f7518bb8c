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

const gcPercent = 400 // runs are short and produce much garbage

// RunSeeds runs consecutive seeds on all processors and passes the results to onResult one at a time, until onResult returns false.
func RunSeeds(from, seeds uint64, options func(seed uint64) Options, onResult func(Result) (proceed bool)) {
	var mu sync.Mutex
	var running sync.WaitGroup
	next, stopped := from, false
	finishAndNext := func(r *Result) (seed uint64, more bool) {
		mu.Lock()
		defer mu.Unlock()
		if r != nil && !stopped {
			stopped = !onResult(*r)
		}
		next++
		return next - 1, !stopped && next <= from+seeds
	}
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for seed, more := finishAndNext(nil); more; {
				r := Run(options(seed))
				seed, more = finishAndNext(&r)
			}
		})
	}
	running.Wait()
}

// Sweep runs consecutive seeds and writes the failed ones and a summary to out. It returns an error if any failed.
func Sweep(from, seeds uint64, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	failed, updates, reads, lost := 0, 0, 0, 0
	RunSeeds(from, seeds, func(seed uint64) Options { return Options{Seed: seed} }, func(r Result) bool {
		updates, reads, lost = updates+r.UpdatesAcknowledged, reads+r.ReadsAnswered, lost+r.DisksLost
		if r.Failure != "" {
			failed++
			fmt.Fprintf(out, "seed %d at %v: %s\n", r.Seed, r.At, r.Failure)
		}
		return true
	})
	fmt.Fprintf(out, "%d seeds from %d: %d updates acknowledged, %d reads answered, %d disks lost, %d failed\n", seeds, from, updates, reads, lost, failed)
	if failed > 0 {
		return Error.New("%d of %d seeds failed", failed, seeds)
	}
	return nil
}

// Replay runs one seed and writes its trace to out. A failing run is first shrunk to fewer faults.
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
	fmt.Fprintf(out, "seed %d: %d updates acknowledged, %d reads answered, no invariant violated\n", seed, r.UpdatesAcknowledged,
		r.ReadsAnswered)
	return nil
}
