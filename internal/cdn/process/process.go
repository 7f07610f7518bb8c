// Package process is what the system's programs share at their start: the command line, the settings, the log, the end.
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cedarmast/internal/build"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/metrics"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// Program is one of the system's programs.
type Program struct {
	Name, Usage string
	Run         func(ctx context.Context, set bootconfig.Settings, log hclog.Logger) error
}

const watchEvery = 5 * time.Second

// Main is the program's whole main. Its status is 2 for a fault of the command line or the settings, 1 for one later on.
func Main(p Program) {
	settings := &cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(bootconfig.EnvPath)}
	level := &cli.StringFlag{Name: "log", Usage: "least level that is logged: trace, debug, info, warn, error", Value: "info"}
	figures := &cli.StringFlag{Name: "metrics", Usage: "PORT/PATH at which the process tells its figures; none if left out",
		Validator: func(text string) error { _, err := metrics.ParsePlace(text); return err }}
	root := &cli.Command{Name: p.Name, Usage: p.Usage, Flags: []cli.Flag{settings, level}, Commands: []*cli.Command{
		{Name: "run", Usage: "serve until SIGTERM", Flags: []cli.Flag{figures}, Action: func(ctx context.Context, c *cli.Command) error {
			return p.run(ctx, c.String("settings"), c.String("log"), c.String("metrics"))
		}},
		{Name: "check", Usage: "check a settings file and end", Action: func(_ context.Context, c *cli.Command) error {
			if _, err := bootconfig.Read(c.String("settings")); err != nil {
				return cli.Exit(err.Error(), 2)
			}
			fmt.Println("good")
			return nil
		}},
		{Name: "version", Usage: "tell which build this is", Action: func(context.Context, *cli.Command) error {
			fmt.Println(build.Line(p.Name))
			return nil
		}},
	}}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, p.Name+":", err)
		os.Exit(1)
	}
}

func (p Program) run(ctx context.Context, path, level, figures string) error {
	if path == "" {
		return cli.Exit("no settings file: set "+bootconfig.EnvPath+" or --settings", 2)
	}
	set, err := bootconfig.Read(path)
	if err != nil {
		return cli.Exit(err.Error(), 2)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: p.Name, Level: hclog.LevelFromString(level), Output: os.Stderr, DisableTime: true})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	set.Named, set.Metrics = new(bootconfig.Seeds), figures
	go watch(ctx, path, set, log)
	if err := p.Run(ctx, set, log); err != nil {
		log.Error("ended", "err", err)
		return cli.Exit(err.Error(), 1)
	}
	return nil
}

// watch looks when the settings file has changed, by a signal or without one. Other seeds are taken at once; what a process is told about
// itself holds for its life. A file that can't be read or is faulty changes nothing.
func watch(ctx context.Context, path string, set bootconfig.Settings, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-time.After(watchEvery):
		}
		now, err := bootconfig.Read(path)
		if err != nil {
			log.Warn("settings file not taken", "err", err)
			continue
		}
		if fmt.Sprint(now.Seeds) != fmt.Sprint(set.Seeds) {
			log.Info("other seeds are named", "seeds", now.Seeds)
			set.Seeds = now.Seeds
			set.Named.Set(now.Seeds)
		}
	}
}
