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

// Pair is one day played by both.
type Pair struct {
	Seed uint64         `json:"seed"`
	A    *ledger.Report `json:"a"`
	B    *ledger.Report `json:"b"`
}

// Difference is one measure over all pairs: A less B.
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

// Comparison is what compare writes.
type Comparison struct {
	Scenario    string       `json:"scenario"`
	A           string       `json:"router_a"`
	B           string       `json:"router_b"`
	Differences []Difference `json:"differences"`
	Broken      [2]int       `json:"rules_broken"` // days on which a rule was, A and B
	Late        int          `json:"late_left_out"`
	Pairs       []Pair       `json:"pairs"`
}

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

// compare plays each seed's day with both routers, one after the other, the first one by turns: what drifts on the
// machine falls on both.
func (p *program) compare(c compareCmd) int {
	if len(c.Router) != 2 {
		return p.fail(fmt.Errorf("%w: --router belongs there twice, not %d times", errArgument, len(c.Router)))
	}
	if c.Seeds < 1 {
		return p.fail(fmt.Errorf("%w: --seeds %d is under 1", errArgument, c.Seeds))
	}
	var routers [2][]string
	for i, name := range c.Router {
		var err error
		if c.Virtual {
			if name != "cedarmast" && baseline.New(name) == nil {
				return p.fail(fmt.Errorf("%w: --virtual has no router %q: it is cedarmast or one of %s", errArgument, name, strings.Join(baseline.Names, ", ")))
			}
			continue
		}
		if routers[i], err = findRouter(name); err != nil {
			return p.fail(err)
		}
	}
	all := Comparison{A: c.Router[0], B: c.Router[1]}
	for n := range c.Seeds {
		seed := c.From + uint64(n)
		var reports [2]*ledger.Report
		late := false
		for k := range 2 {
			which := (n + k) % 2
			s, err := scenario.Find(c.Name, c.Set...)
			if err != nil {
				return p.fail(err)
			}
			if c.Short {
				s.Shorten()
			}
			all.Scenario = s.Name
			fmt.Fprintf(p.stderr, "seed %d, %s\n", seed, c.Router[which])
			var report *ledger.Report
			if c.Virtual {
				report, err = virtual.Run(p.ctx, s, virtual.Options{Seed: seed, NewDecider: baseline.New(c.Router[which])})
			} else {
				report, err = rig.Run(p.ctx, s, rig.Options{Seed: seed, Router: routers[which]})
			}
			if errors.Is(err, rig.ErrLate) {
				late = true
			} else if err != nil {
				return p.fail(err)
			}
			report.Router, report.Policy = c.Router[which], c.Router[which]
			reports[which] = report
		}
		if late {
			all.Late++
			continue
		}
		for i, r := range reports {
			if r.Lost+r.Double+r.Drain+r.ColdFalls+r.Held > 0 {
				all.Broken[i]++
			}
		}
		all.Pairs = append(all.Pairs, Pair{seed, reports[0], reports[1]})
	}
	if len(all.Pairs) == 0 {
		return p.fail(rig.ErrLate)
	}
	all.Differences = differences(all.Pairs)
	printComparison(p.stdout, &all)
	if c.JSON != "" {
		if err := writeFile(c.JSON, func(w io.Writer) error { return writeJSON(w, &all) }); err != nil {
			return p.fail(err)
		}
	}
	return held
}

func differences(pairs []Pair) (all []Difference) {
	for _, m := range measures {
		var a, b, d []float64
		for _, p := range pairs {
			x, y := m.of(p.A), m.of(p.B)
			a, b, d = append(a, x), append(b, y), append(d, x-y)
		}
		one := Difference{Measure: m.name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Mean: stat.Mean(d, nil), Pairs: len(d),
			Least: math.Inf(1), Most: math.Inf(-1)}
		if len(d) > 1 {
			one.Spread = stat.StdDev(d, nil)
		}
		_, one.Half = interval(d)
		for _, x := range d {
			one.Least, one.Most = min(one.Least, x), max(one.Most, x)
			if x > 0 {
				one.Positive++
			}
		}
		all = append(all, one)
	}
	return all
}

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
