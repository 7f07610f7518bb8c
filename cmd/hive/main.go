// Command hive is for trying the delivery network out: it starts a small one on this machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cedarmast/internal/build"
	"cedarmast/internal/hive/meadow"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{Name: "hive", Usage: "try the delivery network out", Commands: []*cli.Command{
		{Name: "up", Usage: "start a small network with stand-in servers on this machine, and show a request served, cached and purged",
			Flags: []cli.Flag{&cli.IntFlag{Name: "core", Value: 3, Usage: "core machines"}, &cli.IntFlag{Name: "edges", Value: 2, Usage: "edges"},
				&cli.BoolFlag{Name: "once", Usage: "end after the show"}, &cli.BoolFlag{Name: "logs", Usage: "print the processes' logs"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				shape := meadow.Shape{Core: c.Int("core"), Edges: c.Int("edges"), Zones: 2, Net: 70}
				if c.Bool("logs") {
					shape.Out = os.Stderr
				}
				return meadow.Show(ctx, shape, os.Stdout, !c.Bool("once"))
			}},
		{Name: "version", Usage: "tell which build this is", Action: func(context.Context, *cli.Command) error {
			fmt.Println(build.Line("hive"))
			return nil
		}},
	}}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hive:", err)
		os.Exit(1)
	}
}
