// Package process contains what the network's programs share: command line, settings, log, signals and exit status.
package process

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"cedarmast/internal/build"
	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/logwriter"
	"cedarmast/internal/cdn/metrics"
	_ "cedarmast/internal/cdn/signals" // takes signals over from the start of the process on

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// Program is one of the network's programs.
type Program struct {
	Name, Usage string
	// Check returns an error if settings that are valid as such lack what the program needs; nil: nothing more is checked.
	Check func(settings bootconfig.Settings) error
	Run   func(ctx context.Context, settings bootconfig.Settings, log hclog.Logger) error
}

// Exit statuses of a process.
const (
	statusFailure  = 1
	statusSettings = 2 // the settings are missing or invalid
)

const (
	memoryLimitFraction = 0.8                    // soft memory limit of the Go runtime, as a fraction of the process's memory
	flushTimeout        = 250 * time.Millisecond // at the end of a process, for the last lines of its log
)

// exitError is an error with the exit status that it ends the process with.
type exitError struct {
	status int
	err    error
}

func (e exitError) Error() string { return e.err.Error() }

func (e exitError) Unwrap() error { return e.err }

// Main parses the command line, runs the program and ends the process. The last line of its log says why it ends.
func Main(p Program) {
	output := logwriter.New(logOutput())
	stdlog.SetOutput(output) // package net/rpc and HTTP servers without a log of their own use it
	err := p.command(output).Run(context.Background(), os.Args)
	status := 0
	if err != nil {
		status = statusFailure
		var exit exitError
		if errors.As(err, &exit) {
			status = exit.status
		}
		fmt.Fprintln(output, p.lastLine(status, err))
	}
	output.Flush(flushTimeout)
	os.Exit(status)
}

// lastLine returns the line that says why the process ends, in one line however many the error's text has.
func (p Program) lastLine(status int, err error) string {
	return fmt.Sprintf("%s: ended with status %d: %s", p.Name, status, strings.Join(strings.Split(err.Error(), "\n"), ": "))
}

// command returns the program's command line. Its log and errors go to output.
func (p Program) command(output *logwriter.Writer) *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(bootconfig.EnvSettingsPath)}
	logLevel := &cli.StringFlag{Name: "log", Usage: "minimum log level: trace, debug, info, warn, error", Value: "info"}
	metricsFlag := &cli.StringFlag{Name: "metrics", Usage: "PORT/PATH at which the process serves its metrics; not served if left out",
		Validator: func(text string) error { _, err := metrics.ParseEndpoint(text); return err }}
	return &cli.Command{Name: p.Name, Usage: p.Usage, Flags: []cli.Flag{settings, logLevel}, ErrWriter: output, Commands: []*cli.Command{
		{Name: "run", Usage: "serve until SIGTERM", Flags: []cli.Flag{metricsFlag}, Action: func(ctx context.Context, c *cli.Command) error {
			log := hclog.New(&hclog.LoggerOptions{Name: p.Name, Level: hclog.LevelFromString(c.String("log")), Output: output, DisableTime: true})
			return p.run(ctx, c.String("settings"), c.String("metrics"), log)
		}},
		{Name: "check", Usage: "check a settings file and exit", Action: func(_ context.Context, c *cli.Command) error {
			if _, err := p.readSettings(c.String("settings")); err != nil {
				return exitError{statusSettings, err}
			}
			fmt.Println("good")
			return nil
		}},
		{Name: "version", Usage: "print the build", Action: func(context.Context, *cli.Command) error {
			fmt.Println(build.VersionLine(p.Name))
			return nil
		}},
	}}
}

// run waits for the settings and runs the program until it ends or SIGTERM or SIGINT arrives.
func (p Program) run(ctx context.Context, path, metricsEndpoint string, log hclog.Logger) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if path == "" {
		return exitError{statusSettings, errors.New("no settings file: set " + bootconfig.EnvSettingsPath + " or --settings")}
	}
	settings, err := p.waitForSettings(ctx, path, log)
	if err == nil {
		settings.CurrentSeeds, settings.MetricsEndpoint = new(bootconfig.Seeds), metricsEndpoint
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitFraction))
		go p.watchSettings(ctx, path, settings, log)
		err = p.Run(ctx, settings, log)
	}
	if err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		log.Info("shut down before the start was complete")
		return nil
	}
	return err
}
