// Package rehearse is the rehearsal kit's command line: it finds scenarios, runs them on a rig and shows what came of it.
package rehearse

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"cedarmast/internal/build"
	"cedarmast/internal/ledger"
	"cedarmast/internal/rig"
	"cedarmast/internal/scenario"
)

// The statuses to exit with.
const (
	held    = 0 // all rules and expectations
	broken  = 1 // a rule or an expectation, or a run that could not go on
	faulty  = 2 // scenario or argument
	tooLate = 3 // the machine was too slow for the figures to count
)

type command struct {
	List    struct{} `cmd:"" help:"List the scenarios that the kit brings."`
	Show    showCmd  `cmd:"" help:"Print a scenario's file, to read or to start one's own from."`
	Run     runCmd   `cmd:"" help:"Play a day against real routers and judge it."`
	Keys    struct{} `cmd:"" help:"Print the reference of all keys of a scenario file, in Markdown."`
	Version struct{} `cmd:"" help:"Print the version."`
}

type showCmd struct {
	Name string `arg:"" help:"A scenario that the kit brings."`
}

type runCmd struct {
	Name   string   `arg:"" help:"A scenario that the kit brings, or a file."`
	Seed   uint64   `default:"1" help:"Of all that is drawn."`
	Short  bool     `help:"Play the day in its short length."`
	Router string   `placeholder:"BIN" help:"The router's program; left out, cedarmast beside this program, else on the path."`
	Set    []string `sep:"none" placeholder:"KEY=VALUE" help:"Goes over a key of the scenario, as rate=100 or site[0].nodes=5; may be repeated."`
	JSON   string   `name:"json" placeholder:"FILE" help:"Write the report as JSON; - for standard output."`
	Logs   string   `placeholder:"DIR" help:"Keep the routers' logs there."`
}

// Main carries out a command line, without the program's name, and returns the status to exit with.
func Main(args []string, stdout, stderr io.Writer) int {
	var c command
	status := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description("Plays days of trouble against real routers on one machine."),
		kong.Writers(stdout, stderr), kong.Exit(func(s int) { status = s }))
	if err != nil {
		fmt.Fprintln(stderr, "rehearse:", err)
		return faulty
	}
	given, err := parser.Parse(args)
	switch {
	case status >= 0: // help was asked for and given
		return status
	case err != nil:
		fmt.Fprintln(stderr, "rehearse:", err)
		return faulty
	}
	// From here on an interrupt ends what was started, in order.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	p := &program{ctx, stdout, stderr}
	switch given.Selected().Name {
	case "list":
		return p.list()
	case "show":
		return p.show(c.Show)
	case "run":
		return p.run(c.Run)
	case "keys":
		io.WriteString(stdout, scenario.Reference())
		return held
	}
	fmt.Fprintln(stdout, build.Line("rehearse"))
	return held
}

// program is one call of the kit.
type program struct {
	ctx            context.Context
	stdout, stderr io.Writer
}

func (p *program) fail(err error) int {
	fmt.Fprintln(p.stderr, "rehearse:", err)
	var fault *scenario.Error
	switch {
	case errors.As(err, &fault), errors.Is(err, os.ErrNotExist), errors.Is(err, errArgument):
		return faulty
	case errors.Is(err, rig.ErrLate):
		return tooLate
	}
	return broken
}

var errArgument = errors.New("argument")

func (p *program) list() int {
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	for _, name := range scenario.Names() {
		s, err := scenario.Find(name)
		if err != nil {
			return p.fail(err)
		}
		fmt.Fprintf(w, "%s\t%v, short %v\t%s\n", name, s.Length.D(), s.Short.D(), s.About)
	}
	w.Flush()
	return held
}

func (p *program) show(c showCmd) int {
	text, ok := scenario.Text(c.Name)
	if !ok {
		return p.fail(fmt.Errorf("%w: there is no scenario %q; they are %s", errArgument, c.Name, strings.Join(scenario.Names(), ", ")))
	}
	p.stdout.Write(text)
	return held
}

// findRouter finds the router's program.
func findRouter(given string) ([]string, error) {
	if given != "" {
		path, err := exec.LookPath(given)
		if err != nil {
			return nil, fmt.Errorf("%w: --router: %w", errArgument, err)
		}
		if path, err = filepath.Abs(path); err != nil {
			return nil, err
		}
		return []string{path}, nil
	}
	if own, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(own), "cedarmast")
		if _, err := os.Stat(beside); err == nil {
			return []string{beside}, nil
		}
	}
	path, err := exec.LookPath("cedarmast")
	if err != nil {
		return nil, fmt.Errorf("%w: no program cedarmast beside this one or on the path; name one with --router", errArgument)
	}
	return []string{path}, nil
}

func (p *program) run(c runCmd) int {
	s, err := scenario.Find(c.Name, c.Set...)
	if err != nil {
		return p.fail(err)
	}
	if c.Short {
		s.Shorten()
	}
	router, err := findRouter(c.Router)
	if err != nil {
		return p.fail(err)
	}
	watch := newProgress(p.stderr, s)
	report, err := rig.Run(p.ctx, s, rig.Options{Seed: c.Seed, Router: router, Logs: c.Logs, Notes: watch.note})
	watch.end()
	if report == nil {
		return p.fail(err)
	}
	report.Router = filepath.Base(router[0])
	if c.JSON == "-" {
		writeJSON(p.stdout, report)
	} else {
		printReport(p.stdout, report)
		if c.JSON != "" {
			f, err := os.Create(c.JSON)
			if err == nil {
				err = writeJSON(f, report)
				err = errors.Join(err, f.Close())
			}
			if err != nil {
				return p.fail(err)
			}
		}
	}
	switch {
	case err != nil:
		return p.fail(err)
	case !report.RulesHeld:
		return broken
	}
	return held
}

func writeJSON(w io.Writer, r *ledger.Report) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}
