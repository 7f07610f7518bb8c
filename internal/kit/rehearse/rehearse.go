// Package rehearse is the rehearsal kit's command line: it finds scenarios, runs them on a rig and shows what came of it.
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

// The statuses to exit with.
const (
	held     = 0 // all rules and expectations
	broken   = 1 // a rule or an expectation, or a run that could not go on
	badInput = 2 // scenario or argument
	tooLate  = 3 // the machine was too slow for the figures to count
)

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

type policyCmd struct {
	Name string `arg:""`
}

type showCmd struct {
	Name string `arg:"" help:"A scenario that the kit brings."`
}

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

// Main carries out a command line, without the program's name, and returns the status to exit with.
func Main(args []string, stdout, stderr io.Writer) int {
	var c command
	status := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description("Plays days of trouble against real routers on one machine."),
		kong.Writers(stdout, stderr), kong.Exit(func(s int) { status = s }))
	if err != nil {
		fmt.Fprintln(stderr, "rehearse:", err)
		return badInput
	}
	given, err := parser.Parse(args)
	switch {
	case status >= 0: // help was asked for and given
		return status
	case err != nil:
		fmt.Fprintln(stderr, "rehearse:", err)
		return badInput
	}
	switch given.Selected().Name { // these are routers themselves, and see to their signals
	case "baseline":
		if decide := baseline.New(c.Baseline.Name); decide != nil {
			return daemon.RunWithDecider(decide, os.Getenv, stderr)
		}
		fmt.Fprintf(stderr, "rehearse: there is no policy %q\n", c.Baseline.Name)
		return badInput
	case "faulty":
		return faulty.Main(c.Faulty.Name, os.Getenv, stderr)
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
		return held
	}
	fmt.Fprintln(stdout, build.VersionLine("rehearse"))
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
		return badInput
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

// findRouter finds a router by what it was called: a baseline's name, or a program; nothing means cedarmast beside this
// program, or on the path.
func findRouter(given string) ([]string, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	switch {
	case baseline.New(given) != nil:
		return []string{own, "baseline", given}, nil
	case given != "" && given != "cedarmast":
		path, err := exec.LookPath(given)
		if err != nil {
			return nil, fmt.Errorf("%w: router %q: %w", errArgument, given, err)
		}
		if path, err = filepath.Abs(path); err != nil {
			return nil, err
		}
		return []string{path}, nil
	}
	beside := filepath.Join(filepath.Dir(own), "cedarmast")
	if _, err := os.Stat(beside); err == nil {
		return []string{beside}, nil
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
	if c.Policy != "" && c.Router != "" {
		return p.fail(fmt.Errorf("%w: --policy and --router exclude one another", errArgument))
	}
	direct := c.Policy == "none"
	oracle := c.Virtual && c.Policy == "oracle"
	if c.Policy != "" && c.Policy != "cedarmast" && !direct && !oracle && baseline.New(c.Policy) == nil {
		return p.fail(fmt.Errorf("%w: there is no policy %q; they are cedarmast, none, %s, and with --virtual oracle", errArgument, c.Policy, strings.Join(baseline.Names, ", ")))
	}
	if c.Virtual && (c.Router != "" || direct || c.Logs != "") {
		return p.fail(fmt.Errorf("%w: --virtual has no --router, --logs or policy none", errArgument))
	}
	if c.Virtual {
		report, err := virtual.Run(p.ctx, s, virtual.Options{Seed: c.Seed, NewDecider: baseline.New(c.Policy), Oracle: oracle})
		if err != nil {
			return p.fail(err)
		}
		return p.tell(c, report, "virtual", nil)
	}
	router := []string{"none"}
	if !direct {
		if router, err = findRouter(c.Policy + c.Router); err != nil {
			return p.fail(err)
		}
	}
	watch := newProgress(p.stderr, s)
	report, err := rig.Run(p.ctx, s, rig.Options{Seed: c.Seed, Router: router, Logs: c.Logs, Direct: direct, Notes: watch.note})
	watch.end()
	if report == nil {
		return p.fail(err)
	}
	return p.tell(c, report, filepath.Base(router[0]), err)
}

// tell writes a run's report where it is wanted; err is what the run ended with beside it.
func (p *program) tell(c runCmd, report *ledger.Report, router string, err error) int {
	report.Router, report.Policy = router, cmp.Or(c.Policy, "cedarmast")
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return writeHTML(w, report) }); err != nil {
			return p.fail(err)
		}
	}
	if c.JSON == "-" {
		writeJSON(p.stdout, report)
	} else {
		printReport(p.stdout, report)
		if c.JSON != "" {
			if err := writeFile(c.JSON, func(w io.Writer) error { return writeJSON(w, report) }); err != nil {
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
