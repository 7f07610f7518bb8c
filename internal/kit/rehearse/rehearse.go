// Package rehearse implements the rehearsal kit's command line: it finds scenarios, runs them and reports the results.
package rehearse

import (
	"cmp"
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
	"cedarmast/internal/daemon"
	"cedarmast/internal/kit/baseline"
	"cedarmast/internal/kit/faulty"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/kit/virtual"
)

// Exit statuses.
const (
	exitOK       = 0 // all rules and expectations held
	exitFailed   = 1 // a rule or an expectation was broken, or the run failed
	exitBadInput = 2 // invalid scenario or argument
	exitTooLate  = 3 // the machine was too slow for the figures to be valid
)

// command is the command line.
type command struct {
	List     struct{}    `cmd:"" help:"List the scenarios that the kit brings."`
	Show     showCmd     `cmd:"" help:"Print a scenario's file, to read or to start one's own from."`
	Run      runCmd      `cmd:"" help:"Play a day against real routers and judge it."`
	Compare  compareCmd  `cmd:"" help:"Play a day with two routers in turn, paired by seed, and tell the difference."`
	Sweep    sweepCmd    `cmd:"" help:"Play a day in virtual time at several settings and seeds, and tell how they differ."`
	Hunt     huntCmd     `cmd:"" help:"Search in virtual time for the days on which the decisions do worst, and shrink them."`
	Spread   spreadCmd   `cmd:"" help:"Measure in virtual time how routers come to know the same facts over a bad network."`
	Selftest selftestCmd `cmd:"" help:"Try the ledger on routers that each break one rule on purpose."`
	Baseline policyCmd   `cmd:"" hidden:"" help:"Run a router with a textbook policy."`
	Faulty   policyCmd   `cmd:"" hidden:"" help:"Run a router that breaks a rule."`
	Keys     struct{}    `cmd:"" help:"Print the reference of all keys of a scenario file, in Markdown."`
	Version  struct{}    `cmd:"" help:"Print the version."`
}

// policyCmd holds the argument of the hidden commands that run a router.
type policyCmd struct {
	Name string `arg:""`
}

// showCmd holds the argument of "rehearse show".
type showCmd struct {
	Name string `arg:"" help:"A scenario that the kit brings."`
}

// runCmd holds the arguments of "rehearse run".
type runCmd struct {
	Name    string   `arg:"" help:"A scenario that the kit brings, or a file."`
	Seed    uint64   `default:"1" help:"Of all that is drawn."`
	Short   bool     `help:"Play the day in its short length."`
	Router  string   `placeholder:"BIN" help:"The router's program; left out, cedarmast beside this program, else on the path."`
	Virtual bool     `help:"Play the day in virtual time: the decisions alone, with no sockets and no program, at any size."`
	Policy  string   `placeholder:"NAME" help:"Run a baseline in place of cedarmast: random or least-of-two, or oracle with --virtual, which sees the true state; none: no routers, to see what the rig itself carries."`
	Set     []string `sep:"none" placeholder:"KEY=VALUE" help:"Goes over a key of the scenario, as rate=100 or site[0].nodes=5; may be repeated."`
	HTML    string   `name:"html" placeholder:"FILE" help:"Write the report as one page that opens offline."`
	JSON    string   `name:"json" placeholder:"FILE" help:"Write the report as JSON; - for standard output."`
	Logs    string   `placeholder:"DIR" help:"Keep the routers' logs there."`
}

// Main runs the command given by args, without the program's name, and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	var c command
	status := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description("Plays days of trouble against real routers on one machine."),
		kong.Writers(stdout, stderr), kong.Exit(func(s int) { status = s }))
	if err != nil {
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitBadInput
	}
	parsed, err := parser.Parse(args)
	switch {
	case status >= 0: // kong has printed the help
		return status
	case err != nil:
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitBadInput
	}
	switch parsed.Selected().Name { // these run a router, which handles signals itself
	case "baseline":
		if decide := baseline.New(c.Baseline.Name); decide != nil {
			return daemon.RunWithDecider(decide, os.Getenv, stderr)
		}
		fmt.Fprintf(stderr, "rehearse: there is no policy %q\n", c.Baseline.Name)
		return exitBadInput
	case "faulty":
		return faulty.Main(c.Faulty.Name, os.Getenv, stderr)
	}
	// From here on a signal cancels the context, so that everything started is stopped in order.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	p := &program{ctx, stdout, stderr}
	switch parsed.Selected().Name {
	case "list":
		return p.list()
	case "show":
		return p.show(c.Show)
	case "run":
		return p.run(c.Run)
	case "selftest":
		return p.selftest(c.Selftest)
	case "compare":
		return p.compare(c.Compare)
	case "hunt":
		return p.hunt(c.Hunt)
	case "sweep":
		return p.sweep(c.Sweep)
	case "spread":
		return p.spread(c.Spread)
	case "keys":
		io.WriteString(stdout, scenario.Reference())
		return exitOK
	}
	fmt.Fprintln(stdout, build.VersionLine("rehearse"))
	return exitOK
}

// program is one invocation of the kit.
type program struct {
	ctx            context.Context
	stdout, stderr io.Writer
}

// fail prints the error and returns its exit status.
func (p *program) fail(err error) int {
	fmt.Fprintln(p.stderr, "rehearse:", err)
	var scenarioError *scenario.Error
	switch {
	case errors.As(err, &scenarioError), errors.Is(err, os.ErrNotExist), errors.Is(err, errBadArgument):
		return exitBadInput
	case errors.Is(err, rig.ErrHostTooSlow):
		return exitTooLate
	}
	return exitFailed
}

// errBadArgument marks errors in the command line.
var errBadArgument = errors.New("argument")

// list prints the built-in scenarios.
func (p *program) list() int {
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	for _, name := range scenario.BuiltinNames() {
		s, err := scenario.Find(name)
		if err != nil {
			return p.fail(err)
		}
		fmt.Fprintf(w, "%s\t%v, short %v\t%s\n", name, s.Length.D(), s.Short.D(), s.About)
	}
	w.Flush()
	return exitOK
}

// show prints the file of a built-in scenario.
func (p *program) show(c showCmd) int {
	text, ok := scenario.BuiltinText(c.Name)
	if !ok {
		return p.fail(fmt.Errorf("%w: there is no scenario %q; they are %s", errBadArgument, c.Name, strings.Join(scenario.BuiltinNames(), ", ")))
	}
	p.stdout.Write(text)
	return exitOK
}

// findRouter returns the command line of a router given as a baseline's name or a program. An empty name means cedarmast in this
// program's folder, or on the path.
func findRouter(name string) ([]string, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	switch {
	case baseline.New(name) != nil:
		return []string{executable, "baseline", name}, nil
	case name != "" && name != "cedarmast":
		path, err := exec.LookPath(name)
		if err != nil {
			return nil, fmt.Errorf("%w: router %q: %w", errBadArgument, name, err)
		}
		if path, err = filepath.Abs(path); err != nil {
			return nil, err
		}
		return []string{path}, nil
	}
	sibling := filepath.Join(filepath.Dir(executable), "cedarmast")
	if _, err := os.Stat(sibling); err == nil {
		return []string{sibling}, nil
	}
	path, err := exec.LookPath("cedarmast")
	if err != nil {
		return nil, fmt.Errorf("%w: no program cedarmast beside this one or on the path; name one with --router", errBadArgument)
	}
	return []string{path}, nil
}

// run plays a scenario once, on sockets or in virtual time.
func (p *program) run(c runCmd) int {
	s, err := scenario.Find(c.Name, c.Set...)
	if err != nil {
		return p.fail(err)
	}
	if c.Short {
		s.Shorten()
	}
	if c.Policy != "" && c.Router != "" {
		return p.fail(fmt.Errorf("%w: --policy and --router exclude one another", errBadArgument))
	}
	direct := c.Policy == "none"
	oracle := c.Virtual && c.Policy == "oracle"
	if c.Policy != "" && c.Policy != "cedarmast" && !direct && !oracle && baseline.New(c.Policy) == nil {
		return p.fail(fmt.Errorf("%w: there is no policy %q; they are cedarmast, none, %s, and with --virtual oracle", errBadArgument, c.Policy, strings.Join(baseline.Names, ", ")))
	}
	if c.Virtual && (c.Router != "" || direct || c.Logs != "") {
		return p.fail(fmt.Errorf("%w: --virtual has no --router, --logs or policy none", errBadArgument))
	}
	if c.Virtual {
		report, err := virtual.Run(p.ctx, s, virtual.Options{Seed: c.Seed, NewDecider: baseline.New(c.Policy), Oracle: oracle})
		if err != nil {
			return p.fail(err)
		}
		return p.writeReport(c, report, "virtual", nil)
	}
	router := []string{"none"}
	if !direct {
		if router, err = findRouter(c.Policy + c.Router); err != nil {
			return p.fail(err)
		}
	}
	display := newProgress(p.stderr, s)
	report, err := rig.Run(p.ctx, s, rig.Options{Seed: c.Seed, Router: router, LogDir: c.Logs, Direct: direct, OnEvent: display.logEvent})
	display.stop()
	if report == nil {
		return p.fail(err)
	}
	return p.writeReport(c, report, filepath.Base(router[0]), err)
}

// writeReport writes a run's report to the requested outputs and returns the exit status; err is the error that the run returned with it.
func (p *program) writeReport(cmd runCmd, report *ledger.Report, router string, err error) int {
	report.Router, report.Policy = router, cmp.Or(cmd.Policy, "cedarmast")
	if cmd.HTML != "" {
		if err := writeFile(cmd.HTML, func(w io.Writer) error { return writeHTML(w, report) }); err != nil {
			return p.fail(err)
		}
	}
	if cmd.JSON == "-" {
		writeJSON(p.stdout, report)
	} else {
		printReport(p.stdout, report)
		if cmd.JSON != "" {
			if err := writeFile(cmd.JSON, func(w io.Writer) error { return writeJSON(w, report) }); err != nil {
				return p.fail(err)
			}
		}
	}
	switch {
	case err != nil:
		return p.fail(err)
	case !report.RulesHeld:
		return exitFailed
	}
	return exitOK
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

func writeJSON(w io.Writer, r any) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}
