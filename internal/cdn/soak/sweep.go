package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// mostTold is how many breaches of a day are printed.
const mostTold = 12

// Sweep plays seeds one after the other with the programs that stand beside this one, and fails if one of them has a breach.
func Sweep(ctx context.Context, plan Plan, from, seeds uint64, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	plan.Shape.Program = func(name string) []string { return []string{filepath.Join(filepath.Dir(self), name), "run"} }
	broken := 0
	for seed := from; seed < from+seeds && ctx.Err() == nil; seed++ {
		r, err := sweepOne(ctx, plan, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, r)
		if len(r.Breaches) > 0 {
			broken++
		}
		for _, breach := range r.Breaches[:min(len(r.Breaches), mostTold)] {
			fmt.Fprintln(out, "   ", breach)
		}
	}
	if broken > 0 {
		return Error.New("%d of %d seeds have breaches", broken, seeds)
	}
	return Error.Wrap(ctx.Err())
}

func sweepOne(ctx context.Context, plan Plan, seed uint64) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	plan.Seed, plan.Shape.Dir = seed, dir
	return Play(ctx, plan)
}
