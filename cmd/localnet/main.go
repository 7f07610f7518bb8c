// Command localnet is for trying the delivery network out: it starts a small one on this machine.
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
	root := &cli.Command{Name: "localnet", Usage: "try the delivery network out", Commands: []*cli.Command{
		{Name: "up", Usage: "start a small network with stand-in servers on this machine, and show a request served, cached and purged",
			Flags: []cli.Flag{&cli.IntFlag{Name: "core", Value: 3, Usage: "core machines"}, &cli.IntFlag{Name: "edges", Value: 2, Usage: "edges"},
				&cli.BoolFlag{Name: "once", Usage: "end after the show"}, &cli.BoolFlag{Name: "logs", Usage: "print the processes' logs"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				shape := localnet.Shape{Core: c.Int("core"), Edges: c.Int("edges"), Zones: 2}
				if c.Bool("logs") {
					shape.Out = os.Stderr
				}
				return localnet.Show(ctx, shape, os.Stdout, !c.Bool("once"))
			}},
		{Name: "soak", Usage: "play real processes on this machine under troubles that overlap, with clients that leave or keep their connections and keys that are taken away, and check from outside that rules hold",
			ArgsUsage: "[SEED...]",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: "seeds", Value: 10, Usage: "how many are played"}, &cli.Uint64Flag{Name: "from", Value: 1, Usage: "the first one"},
				&cli.IntFlag{Name: "core", Value: 3, Usage: "core machines"}, &cli.IntFlag{Name: "edges", Value: 3, Usage: "edges"}, &cli.IntFlag{Name: "stores", Value: 2, Usage: "store machines"},
				&cli.DurationFlag{Name: "revoke", Value: 2 * time.Second, Usage: "within which a key that is taken away must stop working"},
				&cli.DurationFlag{Name: "day", Value: 10 * time.Second, Usage: "how long each lasts"}, &cli.IntFlag{Name: "at", Usage: "the network is at 127.0.AT.x; wherever is free if left out"},
				&cli.StringFlag{Name: "keep", Usage: "a folder where days with a breach leave their processes' logs"},
				&cli.BoolFlag{Name: "tell", Usage: "print what happens"}, &cli.BoolFlag{Name: "logs", Usage: "print the processes' logs"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				plan := soak.Plan{Day: c.Duration("day"), Keep: c.String("keep"), Shape: localnet.Shape{Core: c.Int("core"), Edges: c.Int("edges"), Stores: c.Int("stores"), Zones: 2,
					Net: byte(c.Int("at")), Revoke: c.Duration("revoke"), Contact: c.Duration("revoke")}}
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
				return soak.Sweep(ctx, plan, seeds, os.Stdout)
			}},
		{Name: "simulate", Usage: "play the control side in virtual time under faults that a seed draws, and check its rules",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: "seeds", Value: 300, Usage: "how many are played"}, &cli.Uint64Flag{Name: "from", Usage: "the first one"},
				&cli.Int64Flag{Name: "seed", Value: -1, Usage: "replay this one alone and tell what happens; one that fails is replayed with the fewest faults"}},
			Action: func(_ context.Context, c *cli.Command) error {
				if seed := c.Int64("seed"); seed >= 0 {
					return simulation.Replay(uint64(seed), os.Stdout)
				}
				return simulation.Sweep(c.Uint64("from"), c.Uint64("seeds"), os.Stdout)
			}},
		{Name: "version", Usage: "tell which build this is", Action: func(context.Context, *cli.Command) error {
			fmt.Println(build.Line("localnet"))
			return nil
		}},
	}}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "localnet:", err)
		os.Exit(1)
	}
}

// parseSeeds reads the seeds of a command line.
func parseSeeds(words []string) (seeds []uint64, err error) {
	for _, word := range words {
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no seed", word)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
