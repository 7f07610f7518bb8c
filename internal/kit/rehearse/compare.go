package rehearse

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"cedarmast/internal/kit/baseline"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/kit/virtual"
)

// compareCmd holds the arguments of "rehearse compare".
type compareCmd struct {
	Name    string   `arg:"" help:"A scenario that the kit brings, or a file."`
	Router  []string `required:"" sep:"none" placeholder:"ROUTER" help:"Twice: a program, cedarmast, or a baseline (random, least-of-two). The first is A, the second B."`
	Seeds   int      `default:"5" help:"How many days, each played by both."`
	From    uint64   `default:"1" help:"The first seed."`
	Short   bool     `help:"Play the day in its short length."`
	Virtual bool     `help:"Play the days in virtual time: the decisions alone, so routers are cedarmast or a baseline."`
	Set     []string `sep:"none" placeholder:"KEY=VALUE" help:"Goes over a key of the scenario; may be repeated."`
	JSON    string   `name:"json" placeholder:"FILE" help:"Write all reports and the comparison as JSON."`
}

// Pair holds the reports of both routers for one seed.
type Pair struct {
	Seed uint64         `json:"seed"`
	A    *ledger.Report `json:"a"`
	B    *ledger.Report `json:"b"`
}

// Difference is one measure over all pairs: A minus B.
type Difference struct {
	Measure  string  `json:"measure"`
	A        float64 `json:"a_mean"`
	B        float64 `json:"b_mean"`
	Mean     float64 `json:"difference"`
	Spread   float64 `json:"difference_deviation"`
	Half     float64 `json:"difference_half_width_95"` // of the 95% confidence interval by Student's t
	Least    float64 `json:"difference_least"`
	Most     float64 `json:"difference_most"`
	Positive int     `json:"a_over_b"`
	Pairs    int     `json:"pairs"`
}

// Comparison is the result of compare, as written to JSON.
type Comparison struct {
	Scenario    string       `json:"scenario"`
	A           string       `json:"router_a"`
	B           string       `json:"router_b"`
	Differences []Difference `json:"differences"`
	Broken      [2]int       `json:"rules_broken"` // runs in which a rule was broken, by A and by B
	Late        int          `json:"late_left_out"`
	Pairs       []Pair       `json:"pairs"`
}

// measures are the figures of a report that comparisons and sweeps use.
var measures = []struct {
	name string
	of   func(r *ledger.Report) float64
}{
	{"score", func(r *ledger.Report) float64 { return r.Score }},
	{"worst_window", func(r *ledger.Report) float64 { return r.WorstWindow }},
	{"worst_class", func(r *ledger.Report) float64 { return r.WorstClass }},
	{"worst_tenant", func(r *ledger.Report) float64 { return r.WorstTenant }},
	{"answered_part", func(r *ledger.Report) float64 { return float64(r.Answered) / float64(max(r.Requests, 1)) }},
	{"database_asks", func(r *ledger.Report) float64 { return float64(r.Fetches) }},
	{"database_peak", func(r *ledger.Report) float64 { return r.DatabasePeak }},
	{"sites_crossed", func(r *ledger.Report) float64 { return float64(r.Crossed) }},
	{"regained_s", func(r *ledger.Report) float64 { return r.Regained }},
	{"work_wasted", func(r *ledger.Report) float64 { return r.Wasted }},
	{"router_cpu_s", func(r *ledger.Report) float64 { return r.CPU }},
	{"router_memory_mb", func(r *ledger.Report) float64 { return r.MemoryMB }},
}

// compare runs each seed with both routers, one after the other. Which one goes first alternates, so that drift of the machine
// affects both.
func (p *program) compare(c compareCmd) int {
	if len(c.Router) != 2 {
		return p.fail(fmt.Errorf("%w: --router belongs there twice, not %d times", errBadArgument, len(c.Router)))
	}
	if c.Seeds < 1 {
		return p.fail(fmt.Errorf("%w: --seeds %d is under 1", errBadArgument, c.Seeds))
	}
	var routers [2][]string
	for i, name := range c.Router {
		var err error
		if c.Virtual {
			if name != "cedarmast" && baseline.New(name) == nil {
				return p.fail(fmt.Errorf("%w: --virtual has no router %q: it is cedarmast or one of %s", errBadArgument, name, strings.Join(baseline.Names, ", ")))
			}
			continue
		}
		if routers[i], err = findRouter(name); err != nil {
			return p.fail(err)
		}
	}
	comparison := Comparison{A: c.Router[0], B: c.Router[1]}
	for n := range c.Seeds {
		seed := c.From + uint64(n)
		var reports [2]*ledger.Report
		late := false
		for k := range 2 {
			index := (n + k) % 2
			s, err := scenario.Find(c.Name, c.Set...)
			if err != nil {
				return p.fail(err)
			}
			if c.Short {
				s.Shorten()
			}
			comparison.Scenario = s.Name
			fmt.Fprintf(p.stderr, "seed %d, %s\n", seed, c.Router[index])
			var report *ledger.Report
			if c.Virtual {
				report, err = virtual.Run(p.ctx, s, virtual.Options{Seed: seed, NewDecider: baseline.New(c.Router[index])})
			} else {
				report, err = rig.Run(p.ctx, s, rig.Options{Seed: seed, Router: routers[index]})
			}
			if errors.Is(err, rig.ErrHostTooSlow) {
				late = true
			} else if err != nil {
				return p.fail(err)
			}
			report.Router, report.Policy = c.Router[index], c.Router[index]
			reports[index] = report
		}
		if late {
			comparison.Late++
			continue
		}
		for i, r := range reports {
			if r.Lost+r.Double+r.Drain+r.ColdFalls+r.Held > 0 {
				comparison.Broken[i]++
			}
		}
		comparison.Pairs = append(comparison.Pairs, Pair{seed, reports[0], reports[1]})
	}
	if len(comparison.Pairs) == 0 {
		return p.fail(rig.ErrHostTooSlow)
	}
	comparison.Differences = differences(comparison.Pairs)
	printComparison(p.stdout, &comparison)
	if c.JSON != "" {
		if err := writeFile(c.JSON, func(w io.Writer) error { return writeJSON(w, &comparison) }); err != nil {
			return p.fail(err)
		}
	}
	return exitOK
}

// differences computes each measure's difference over all pairs.
func differences(pairs []Pair) (all []Difference) {
	for _, m := range measures {
		var a, b, d []float64
		for _, p := range pairs {
			x, y := m.of(p.A), m.of(p.B)
			a, b, d = append(a, x), append(b, y), append(d, x-y)
		}
		diff := Difference{Measure: m.name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Mean: stat.Mean(d, nil), Pairs: len(d),
			Least: math.Inf(1), Most: math.Inf(-1)}
		if len(d) > 1 {
			diff.Spread = stat.StdDev(d, nil)
		}
		_, diff.Half = interval(d)
		for _, x := range d {
			diff.Least, diff.Most = min(diff.Least, x), max(diff.Most, x)
			if x > 0 {
				diff.Positive++
			}
		}
		all = append(all, diff)
	}
	return all
}

// printComparison writes the comparison as a text table.
func printComparison(out io.Writer, c *Comparison) {
	fmt.Fprintf(out, "%s over %d days, A %s, B %s\n", c.Scenario, len(c.Pairs), c.A, c.B)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "measure\tA\tB\tA - B\t95%\tleast\tmost\tA over B")
	for _, d := range c.Differences {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%+.3f\t±%.3f\t%+.3f\t%+.3f\t%d of %d\n", d.Measure, d.A, d.B, d.Mean, d.Half, d.Least, d.Most, d.Positive, d.Pairs)
	}
	w.Flush()
	fmt.Fprintf(out, "days with a broken rule: A %d, B %d", c.Broken[0], c.Broken[1])
	if c.Late > 0 {
		fmt.Fprintf(out, "; %d days left out, on which the machine ran late", c.Late)
	}
	fmt.Fprintln(out)
}
