// Command localnet runs a small delivery network on this machine for demonstrations, soak tests and simulations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"cedarmast/internal/build"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/simulation"
	"cedarmast/internal/cdn/soak"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{Name: "localnet", Usage: "run a small delivery network on this machine", Commands: []*cli.Command{
		{Name: "up", Usage: "start a small network with stand-in servers on this machine, and demonstrate a request served, cached and purged",
			Flags: []cli.Flag{&cli.IntFlag{Name: "core", Value: 3, Usage: "core machines"}, &cli.IntFlag{Name: "edges", Value: 2, Usage: "edges"},
				&cli.BoolFlag{Name: "once", Usage: "exit after the demonstration"}, &cli.BoolFlag{Name: "logs", Usage: "print the processes' logs"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				shape := localnet.Shape{Core: c.Int("core"), Edges: c.Int("edges"), Zones: 2}
				if c.Bool("logs") {
					shape.Out = os.Stderr
				}
				return localnet.Demo(ctx, shape, os.Stdout, !c.Bool("once"))
			}},
		{Name: "soak", Usage: "run real processes on this machine under overlapping faults, with clients that leave or keep their connections and keys that are removed, and check from outside that the rules hold",
			ArgsUsage: "[SEED...]",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: "seeds", Value: 10, Usage: "number of seeds"}, &cli.Uint64Flag{Name: "from", Value: 1, Usage: "the first seed"},
				&cli.IntFlag{Name: "core", Value: 3, Usage: "core machines"}, &cli.IntFlag{Name: "edges", Value: 3, Usage: "edges"}, &cli.IntFlag{Name: "stores", Value: 2, Usage: "store machines"},
				&cli.DurationFlag{Name: "revoke", Value: 2 * time.Second, Usage: "time within which a removed key must stop working"},
				&cli.DurationFlag{Name: "day", Value: 10 * time.Second, Usage: "how long clients and faults of each seed last"}, &cli.IntFlag{Name: "at", Usage: "the network uses 127.0.AT.x; the first free subnet if left out"},
				&cli.Uint64Flag{Name: "large-every", Value: 10, Usage: "seeds that this number divides run as many edges as the machine bears; 0: none do"},
				&cli.StringFlag{Name: "keep", Usage: "directory that keeps the logs of runs with violations"},
				&cli.BoolFlag{Name: "tell", Usage: "print the events of each run"}, &cli.BoolFlag{Name: "logs", Usage: "print the processes' logs"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				plan := soak.Plan{Duration: c.Duration("day"), LogDir: c.String("keep"), LargeEvery: c.Uint64("large-every"),
					Shape: localnet.Shape{Core: c.Int("core"), Edges: c.Int("edges"), Stores: c.Int("stores"), Zones: 2,
						Subnet: byte(c.Int("at")), Revoke: c.Duration("revoke"), Contact: c.Duration("revoke")}}
				if c.Bool("tell") {
					plan.Out = os.Stdout
				}
				if c.Bool("logs") {
					plan.Shape.Out = os.Stderr
				}
				seeds := soak.Seeds(c.Uint64("from"), c.Uint64("seeds"))
				if c.Args().Present() {
					var err error
					if seeds, err = parseSeeds(c.Args().Slice()); err != nil {
						return err
					}
				}
				return soak.RunSeeds(ctx, plan, seeds, os.Stdout)
			}},
		{Name: "simulate", Usage: "simulate the control plane in virtual time under faults drawn by a seed, and check its invariants",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: "seeds", Value: 300, Usage: "number of seeds"}, &cli.Uint64Flag{Name: "from", Usage: "the first seed"},
				&cli.Int64Flag{Name: "seed", Value: -1, Usage: "replay only this seed and print its events; a failing seed is replayed with the fewest faults that still fail"}},
			Action: func(_ context.Context, c *cli.Command) error {
				if seed := c.Int64("seed"); seed >= 0 {
					return simulation.Replay(uint64(seed), os.Stdout)
				}
				return simulation.Sweep(c.Uint64("from"), c.Uint64("seeds"), os.Stdout)
			}},
		{Name: "version", Usage: "print the build version", Action: func(context.Context, *cli.Command) error {
			fmt.Println(build.VersionLine("localnet"))
			return nil
		}},
	}}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "localnet:", err)
		os.Exit(1)
	}
}

// parseSeeds parses the seeds on a command line.
func parseSeeds(words []string) (seeds []uint64, err error) {
	for _, word := range words {
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a valid seed", word)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
