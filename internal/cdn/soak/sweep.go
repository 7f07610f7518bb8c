package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// mostTold is how many breaches of a day are printed.
const mostTold = 24

// Seeds are a number of seeds in a row.
func Seeds(from, count uint64) []uint64 {
	var all []uint64
	for seed := from; seed < from+count; seed++ {
		all = append(all, seed)
	}
	return all
}

// Sweep plays seeds one after the other with the programs that stand beside this one, and fails if one of them has a breach.
func Sweep(ctx context.Context, plan Plan, seeds []uint64, out io.Writer) error {
	if err := fits(plan.Shape); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	plan.Shape.Program = func(name string) []string { return []string{filepath.Join(filepath.Dir(self), name), "run"} }
	broken, acks := 0, newAcknowledgements()
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		r, err := sweepOne(ctx, plan, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, r)
		acks.merge(r.Acknowledgements)
		if len(r.Breaches) > 0 {
			broken++
		}
		for _, breach := range r.Breaches[:min(len(r.Breaches), mostTold)] {
			fmt.Fprintln(out, "   ", breach)
		}
	}
	fmt.Fprintln(out, acks)
	if broken > 0 {
		return Error.New("%d of %d seeds have breaches", broken, len(seeds))
	}
	return Error.Wrap(ctx.Err())
}

// sweepOne plays one seed. What happened on a day with a breach, and its processes' logs, stay in plan.Keep if that is named.
func sweepOne(ctx context.Context, plan Plan, seed uint64) (report Report, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	plan.Seed, plan.Shape.Dir = seed, dir
	if plan.Keep == "" {
		return Play(ctx, plan)
	}
	file, err := os.Create(filepath.Join(plan.Keep, fmt.Sprintf("seed-%d.log", seed)))
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer func() {
		file.Close()
		if err == nil && len(report.Breaches) == 0 {
			os.Remove(file.Name())
		}
	}()
	plan.Out, plan.Shape.Out = file, file
	report, err = Play(ctx, plan)
	for _, breach := range report.Breaches {
		fmt.Fprintln(file, "BREACH", breach)
	}
	return report, err
}
