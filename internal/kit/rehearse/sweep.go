package rehearse

import (
	"bufio"
	"cmp"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"cedarmast/internal/build"
	"cedarmast/internal/kit/baseline"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/kit/virtual"
)

type sweepCmd struct {
	Name   string   `arg:"" help:"A scenario that the kit brings, or a file."`
	Vary   []string `required:"" sep:"none" placeholder:"KEY=A,B,C" help:"A key of the scenario and its values; may be repeated: then all of one are played with all of the other."`
	Seeds  int      `default:"10" help:"How many days at each point, the same for all points."`
	From   uint64   `default:"1" help:"The first seed."`
	Jobs   int      `default:"4" help:"Days played at once; the result is the same for any."`
	Short  bool     `help:"Play the day in its short length."`
	Policy string   `placeholder:"NAME" help:"A baseline in place of the decisions in service."`
	Set    []string `sep:"none" placeholder:"KEY=VALUE" help:"Goes over a key of the scenario at all points; may be repeated."`
	State  string   `placeholder:"FILE" help:"Keep each day that is done there, and go on from it if it is there."`
	JSON   string   `name:"json" placeholder:"FILE" help:"Write the result as JSON; - for standard output."`
	HTML   string   `name:"html" placeholder:"FILE" help:"Write the result as one page with plots that opens offline."`
}

// Point is one setting of a sweep and what came of it.
type Point struct {
	Sets     []string           `json:"sets"`
	Mean     map[string]float64 `json:"mean"`
	Half     map[string]float64 `json:"half_width_95"`      // of the mean
	Less     map[string]float64 `json:"less_first"`         // this point less the first one, paired by seed
	LessHalf map[string]float64 `json:"less_first_half_95"` // of that
	Broken   int                `json:"days_with_a_rule_broken"`
	values   map[string][]float64
}

// Sweep is what a sweep writes.
type Sweep struct {
	Scenario string   `json:"scenario"`
	Policy   string   `json:"policy"`
	Vary     []string `json:"vary"`
	Seeds    int      `json:"seeds"`
	From     uint64   `json:"from"`
	Points   []Point  `json:"points"`
}

// played is one day that is done, as the state file has it.
type played struct {
	Point  int                `json:"point"`
	Seed   uint64             `json:"seed"`
	Values map[string]float64 `json:"values"`
	Broken bool               `json:"broken"`
}

// swept are the measures of a sweep: those of a comparison that virtual time has.
func swept() (names []string) {
	for _, m := range measures {
		if !strings.HasPrefix(m.name, "router_") {
			names = append(names, m.name)
		}
	}
	return names
}

// sweep plays a scenario in virtual time at each combination of the values given.
func (p *program) sweep(c sweepCmd) int {
	if c.Seeds < 1 || c.Jobs < 1 {
		return p.fail(fmt.Errorf("%w: --seeds and --jobs are 1 at least", errArgument))
	}
	if c.Policy != "" && c.Policy != "cedarmast" && baseline.New(c.Policy) == nil {
		return p.fail(fmt.Errorf("%w: there is no policy %q; they are cedarmast, %s", errArgument, c.Policy, strings.Join(baseline.Names, ", ")))
	}
	points, err := combine(c.Vary)
	if err != nil {
		return p.fail(err)
	}
	day := func(point int) (*scenario.Scenario, error) {
		s, err := scenario.Find(c.Name, append(slices.Clone(c.Set), points[point]...)...)
		if err == nil && c.Short {
			s.Shorten()
		}
		return s, err
	}
	mark := sha256.New() // of all that the days hang on
	fmt.Fprintln(mark, build.VersionLine("rehearse"), c.Policy, c.Seeds, c.From, c.Vary)
	result := Sweep{Policy: cmp.Or(c.Policy, "cedarmast"), Vary: c.Vary, Seeds: c.Seeds, From: c.From}
	for i := range points {
		s, err := day(i)
		if err != nil {
			return p.fail(err)
		}
		result.Scenario = s.Name
		if err := json.NewEncoder(mark).Encode(s); err != nil {
			return p.fail(err)
		}
	}
	days, keep, err := openState(c.State, hex.EncodeToString(mark.Sum(nil)))
	if err != nil {
		return p.fail(err)
	}
	defer keep.close()
	watch := newCountdown(p.stderr, len(points)*c.Seeds, len(days))
	var left [][2]uint64 // point and seed
	for n := range len(points) * c.Seeds {
		one := [2]uint64{uint64(n / c.Seeds), c.From + uint64(n%c.Seeds)}
		if _, done := days[one]; !done {
			left = append(left, one)
		}
	}
	var mu sync.Mutex // days, keep and watch
	group, ctx := errgroup.WithContext(p.ctx)
	group.SetLimit(c.Jobs)
	for _, one := range left {
		point, seed := int(one[0]), one[1]
		group.Go(func() error {
			s, err := day(point)
			if err != nil {
				return err
			}
			report, err := virtual.Run(ctx, s, virtual.Options{Seed: seed, NewDecider: baseline.New(c.Policy)})
			if err != nil {
				return err
			}
			now := played{point, seed, map[string]float64{}, report.Lost+report.Double+report.Drain+report.ColdFalls+report.Held > 0}
			for _, m := range measures {
				now.Values[m.name] = m.of(report)
			}
			mu.Lock()
			defer mu.Unlock()
			days[one] = now
			watch.done(len(days))
			return keep.add(now)
		})
	}
	if err := group.Wait(); err != nil {
		return p.fail(err)
	}
	result.gather(points, days)
	if c.JSON == "-" {
		writeJSON(p.stdout, &result)
	} else {
		result.print(p.stdout)
		if c.JSON != "" {
			err = writeFile(c.JSON, func(w io.Writer) error { return writeJSON(w, &result) })
		}
	}
	if c.HTML != "" {
		err = errors.Join(err, writeFile(c.HTML, result.page))
	}
	if err != nil {
		return p.fail(err)
	}
	return held
}

// combine returns each combination of the values of all keys, the last key's changing first. Commas within quotes or
// brackets part nothing.
func combine(vary []string) (points [][]string, err error) {
	points = [][]string{nil}
	for _, v := range vary {
		key, list, ok := strings.Cut(v, "=")
		if !ok || key == "" || list == "" {
			return nil, fmt.Errorf("%w: --vary %q is not KEY=A,B,C", errArgument, v)
		}
		var values []string
		depth, quoted, from := 0, false, 0
		for i, r := range list {
			switch {
			case r == '"':
				quoted = !quoted
			case quoted:
			case r == '[' || r == '{':
				depth++
			case r == ']' || r == '}':
				depth--
			case r == ',' && depth == 0:
				values, from = append(values, list[from:i]), i+1
			}
		}
		var all [][]string
		for _, point := range points {
			for _, value := range append(slices.Clone(values), list[from:]) {
				all = append(all, append(slices.Clone(point), key+"="+value))
			}
		}
		points = all
	}
	return points, nil
}

// gather brings the days together, by point and seed whatever the order in which they were played.
func (s *Sweep) gather(points [][]string, days map[[2]uint64]played) {
	for i, sets := range points {
		p := Point{Sets: sets, Mean: map[string]float64{}, Half: map[string]float64{}, Less: map[string]float64{}, LessHalf: map[string]float64{},
			values: map[string][]float64{}}
		for n := range s.Seeds {
			one := days[[2]uint64{uint64(i), s.From + uint64(n)}]
			if one.Broken {
				p.Broken++
			}
			for _, name := range swept() {
				p.values[name] = append(p.values[name], one.Values[name])
			}
		}
		for _, name := range swept() {
			p.Mean[name], p.Half[name] = interval(p.values[name])
			if i > 0 {
				less := slices.Clone(p.values[name])
				for n := range less {
					less[n] -= s.Points[0].values[name][n]
				}
				p.Less[name], p.LessHalf[name] = interval(less)
			}
		}
		s.Points = append(s.Points, p)
	}
}

// interval is a mean and half the width of its 95% confidence interval by Student's t; 0 for a single value.
func interval(values []float64) (mean, half float64) {
	mean = stat.Mean(values, nil)
	if n := float64(len(values)); n > 1 {
		half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(values, nil) / math.Sqrt(n)
	}
	return mean, half
}

var tabled = []string{"score", "worst_window", "answered_part", "database_peak", "sites_crossed", "regained_s"}

func (s *Sweep) print(out io.Writer) {
	fmt.Fprintf(out, "%s in virtual time, %d days a point, %s\n", s.Scenario, s.Seeds, s.Policy)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "point\t"+strings.Join(tabled, "\t")+"\tscore less first\tdays with a broken rule")
	for i := range s.Points {
		p := &s.Points[i]
		fmt.Fprint(w, strings.Join(p.Sets, " "))
		for _, name := range tabled {
			fmt.Fprintf(w, "\t%.3f ±%.3f", p.Mean[name], p.Half[name])
		}
		fmt.Fprintf(w, "\t%+.3f ±%.3f\t%d\n", p.Less["score"], p.LessHalf["score"], p.Broken)
	}
	w.Flush()
}

//go:embed sweep.html.tmpl
var sweepText string

var sweepPage = template.Must(template.New("sweep").Parse(sweepText))

// page writes the sweep as one page without anything outside of it.
func (s *Sweep) page(w io.Writer) error {
	var plots []template.HTML
	for _, name := range tabled {
		plots = append(plots, template.HTML(s.plot(name)))
	}
	return sweepPage.Execute(w, map[string]any{"S": s, "Plots": plots})
}

// plot draws a measure over the points, each with its interval.
func (s *Sweep) plot(name string) string {
	least, most := math.Inf(1), math.Inf(-1)
	for _, p := range s.Points {
		least, most = min(least, p.Mean[name]-p.Half[name]), max(most, p.Mean[name]+p.Half[name])
	}
	span := max(most-least, 1e-9)
	out := &svg{seconds: len(s.Points)}
	fmt.Fprintf(out, `<svg viewBox="0 0 %.0f %.0f">`, nameWidth+plotWidth, plotHeight+34)
	y := func(v float64) float64 { return 6 + (1-(v-least)/span)*(plotHeight-12) }
	out.text(0, 14, fmt.Sprintf("%s %.3f", name, most))
	out.text(0, plotHeight-2, fmt.Sprintf("%.3f", least))
	for i, p := range s.Points {
		x := out.x(float64(i) + 0.5)
		fmt.Fprintf(out, `<path d="M%.1f %.1fV%.1f" stroke="#889" stroke-width="2"/>`, x, y(p.Mean[name]-p.Half[name]), y(p.Mean[name]+p.Half[name]))
		out.box(x-3, y(p.Mean[name])-3, 6, 6, "#258")
		out.text(out.x(float64(i)), plotHeight+14+float64(i%2)*14, strings.Join(p.Sets, " "))
	}
	out.WriteString("</svg>")
	return out.String()
}

// state keeps the days that are done; nil keeps none.
type state struct{ f *os.File }

type stateHead struct {
	Sweep string `json:"sweep"`
}

// openState reads what a sweep that was cut off has left. A last line that is not whole is cut away; a file of another sweep is
// refused.
func openState(path, mark string) (map[[2]uint64]played, *state, error) {
	days := map[[2]uint64]played{}
	if path == "" {
		return days, nil, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, err
	}
	good, in := int64(0), bufio.NewReader(f)
	for first := true; ; first = false {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break // the end, or a line that was cut off
		}
		var head stateHead
		var one played
		switch {
		case first && (json.Unmarshal(line, &head) != nil || head.Sweep != mark):
			f.Close()
			return nil, nil, fmt.Errorf("%w: --state %s is of another sweep, scenario or build", errArgument, path)
		case first:
		case json.Unmarshal(line, &one) != nil:
			f.Close()
			return nil, nil, fmt.Errorf("%w: --state %s has a line that can't be read", errArgument, path)
		default:
			days[[2]uint64{uint64(one.Point), one.Seed}] = one
		}
		good += int64(len(line))
	}
	s := &state{f}
	if _, err := f.Seek(good, io.SeekStart); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if err := f.Truncate(good); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if good == 0 {
		err = s.add(stateHead{mark})
	}
	return days, s, err
}

func (s *state) add(line any) error {
	if s == nil {
		return nil
	}
	return json.NewEncoder(s.f).Encode(line)
}

func (s *state) close() {
	if s != nil {
		s.f.Close()
	}
}

// countdown tells how far a sweep is and how long it may take yet.
type countdown struct {
	w          io.Writer
	all, found int
	begun      time.Time
	told       time.Time
}

func newCountdown(w io.Writer, all, found int) *countdown {
	if found > 0 {
		fmt.Fprintf(w, "%d of %d days are done already\n", found, all)
	}
	return &countdown{w: w, all: all, found: found, begun: time.Now(), told: time.Now()}
}

const tellEvery = 2 * time.Second

func (c *countdown) done(n int) {
	if time.Since(c.told) < tellEvery {
		return
	}
	c.told = time.Now()
	left := time.Duration(float64(time.Since(c.begun)) / float64(n-c.found) * float64(c.all-n))
	fmt.Fprintf(c.w, "%d of %d days, %v left\n", n, c.all, left.Round(time.Second))
}
