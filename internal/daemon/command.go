package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"cedarmast/balance"
	"cedarmast/internal/build"
	"cedarmast/internal/exchange"
)

// command is the command line. Without arguments it runs a router.
type command struct {
	Run     struct{}   `cmd:"" default:"1" help:"Run a router, as the file that $$GW_CONFIG names says. This is what happens without arguments."`
	Check   checkCmd   `cmd:"" help:"Read a configuration as a start would and say whether it is good."`
	Move    moveCmd    `cmd:"" help:"Turn a configuration of the old shape into its counterpart for a router of one client process."`
	Version versionCmd `cmd:"" help:"Print the version."`
	Stats   statsCmd   `cmd:"" help:"Print a running router's counters."`
	Facts   factsCmd   `cmd:"" help:"Compare what several routers hold of the state that they share; 1 if they differ."`
}

type (
	checkCmd struct {
		File string `arg:"" optional:"" help:"Configuration; left out, the one that $$GW_CONFIG names."`
	}
	versionCmd struct{}
	statsCmd   struct {
		Addr string `arg:"" help:"Where the router listens, as 127.0.0.1:8081."`
	}
)

const callTimeout = 2 * time.Second // for a whole request, from dialing to the end of the response

// processEnv is what the program uses of its process, except signals: environment, output streams and the balancer.
type processEnv struct {
	getenv         func(string) string
	stdout, stderr io.Writer
	newDecider     func(balance.Settings, uint64) exchange.Balancer // nil: the default balancer
}

// Main runs a command line, given without the program's name, and returns the exit status: 2 for an invalid argument
// or configuration, 1 for any other failure.
func Main(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	p := processEnv{getenv: getenv, stdout: stdout, stderr: stderr}
	if len(args) == 0 { // as the deployment starts it: no parser runs before the signal handlers are installed
		return p.run()
	}
	var c command
	status := -1
	parser, err := kong.New(&c, kong.Name("cedarmast"), kong.Description("A router for fleets of cache servers."),
		kong.Writers(stdout, stderr), kong.Exit(func(s int) { status = s }), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(stderr, "cedarmast:", err)
		return 2
	}
	parsed, err := parser.Parse(args)
	switch {
	case status >= 0: // help was requested and printed
		return status
	case err != nil:
		fmt.Fprintln(stderr, "cedarmast:", err)
		return 2
	}
	switch parsed.Selected().Name {
	case "check":
		return p.check(c.Check.File)
	case "move":
		return p.move(c.Move)
	case "version":
		fmt.Fprintln(stdout, build.VersionLine("cedarmast"))
		return 0
	case "stats":
		return p.stats(c.Stats.Addr)
	case "facts":
		return p.compareFacts(c.Facts)
	}
	return p.run()
}

// RunWithDecider runs a router as Main without arguments does, but with another decider, the balancer that
// newDecider returns, than the default one. Rehearsals use it to run a baseline.
func RunWithDecider(newDecider func(balance.Settings, uint64) exchange.Balancer, getenv func(string) string, stderr io.Writer) int {
	return processEnv{getenv: getenv, stdout: io.Discard, stderr: stderr, newDecider: newDecider}.run()
}

// check validates a configuration file as a start would; an empty name means the file that $GW_CONFIG names.
func (p processEnv) check(file string) int {
	getenv := p.getenv
	if file != "" {
		getenv = func(name string) string {
			if name == "GW_CONFIG" {
				return file
			}
			return p.getenv(name)
		}
	}
	c, err := LoadConfig(getenv)
	if err != nil {
		fmt.Fprintln(p.stderr, "cedarmast:", err)
		return 2
	}
	fmt.Fprintf(p.stdout, "good: %s on %s, %d servers known, %d classes, %d tenants\n", c.Name, c.Listen,
		len(c.Known.Endpoints), len(c.Settings.Classes), len(c.Settings.Tenants))
	return 0
}

// stats prints the counters of the router at addr.
func (p processEnv) stats(addr string) int {
	text, err := httpGet(addr, "/stats")
	if err == nil {
		_, err = p.stdout.Write(text)
	}
	if err != nil {
		fmt.Fprintln(p.stderr, "cedarmast: stats:", err)
		return 1
	}
	return 0
}
