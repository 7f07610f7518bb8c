package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// maxPrintedViolations is the maximum number of violations printed per seed.
const maxPrintedViolations = 24

// Seeds returns count consecutive seeds, starting at from.
func Seeds(from, count uint64) []uint64 {
	var seeds []uint64
	for seed := from; seed < from+count; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// RunSeeds runs the seeds one after the other with the programs in this executable's directory, prints their reports to out, and fails
// if a run has violations.
func RunSeeds(ctx context.Context, plan Plan, seeds []uint64, out io.Writer) error {
	if err := checkCapacity(plan.Shape); err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return Error.Wrap(err)
	}
	plan.Shape.Program = func(name string) []string { return []string{filepath.Join(filepath.Dir(executable), name), "run"} }
	failedSeeds, acks := 0, newAcknowledgements()
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		r, err := runSeed(ctx, plan, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, r)
		acks.merge(r.Acknowledgements)
		if len(r.Violations) > 0 {
			failedSeeds++
		}
		for _, violation := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
			fmt.Fprintln(out, "   ", violation)
		}
	}
	fmt.Fprintln(out, acks)
	if failedSeeds > 0 {
		return Error.New("%d of %d seeds have violations", failedSeeds, len(seeds))
	}
	return Error.Wrap(ctx.Err())
}

// runSeed runs one seed in a temporary directory. If plan.LogDir is set, the log of events and of the processes stays there when the
// run has violations or fails.
func runSeed(ctx context.Context, plan Plan, seed uint64) (report Report, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	plan.Seed, plan.Shape.Dir = seed, dir
	if plan.LargeEvery > 0 && seed%plan.LargeEvery == 0 {
		if plan.Shape, err = withMostEdges(plan.Shape); err != nil {
			return Report{}, err
		}
	}
	if plan.LogDir == "" {
		return Run(ctx, plan)
	}
	if err := os.MkdirAll(plan.LogDir, 0o755); err != nil {
		return Report{}, Error.Wrap(err)
	}
	file, err := os.Create(filepath.Join(plan.LogDir, fmt.Sprintf("seed-%d.log", seed)))
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	defer func() {
		file.Close()
		if err == nil && len(report.Violations) == 0 {
			os.Remove(file.Name())
		}
	}()
	plan.Out, plan.Shape.Out = file, file
	report, err = Run(ctx, plan)
	for _, violation := range report.Violations {
		fmt.Fprintln(file, "BREACH", violation)
	}
	return report, err
}
