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

// sweepCmd holds the arguments of "rehearse sweep".
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

// Point is one combination of settings in a sweep and its results.
type Point struct {
	Sets     []string           `json:"sets"`
	Mean     map[string]float64 `json:"mean"`
	Half     map[string]float64 `json:"half_width_95"`      // of Mean
	Less     map[string]float64 `json:"less_first"`         // this point minus the first one, paired by seed
	LessHalf map[string]float64 `json:"less_first_half_95"` // of Less
	Broken   int                `json:"days_with_a_rule_broken"`
	values   map[string][]float64
}

// Sweep is the result of a sweep, as written to JSON.
type Sweep struct {
	Scenario string   `json:"scenario"`
	Policy   string   `json:"policy"`
	Vary     []string `json:"vary"`
	Seeds    int      `json:"seeds"`
	From     uint64   `json:"from"`
	Points   []Point  `json:"points"`
}

// runResult is the result of one finished run, as stored in the state file.
type runResult struct {
	Point  int                `json:"point"`
	Seed   uint64             `json:"seed"`
	Values map[string]float64 `json:"values"`
	Broken bool               `json:"broken"`
}

// sweepMeasures returns the measures of a sweep: those of a comparison that exist in virtual time.
func sweepMeasures() (names []string) {
	for _, m := range measures {
		if !strings.HasPrefix(m.name, "router_") {
			names = append(names, m.name)
		}
	}
	return names
}

// sweep runs a scenario in virtual time at each combination of the given values, with each seed.
func (p *program) sweep(c sweepCmd) int {
	if c.Seeds < 1 || c.Jobs < 1 {
		return p.fail(fmt.Errorf("%w: --seeds and --jobs are 1 at least", errBadArgument))
	}
	if c.Policy != "" && c.Policy != "cedarmast" && baseline.New(c.Policy) == nil {
		return p.fail(fmt.Errorf("%w: there is no policy %q; they are cedarmast, %s", errBadArgument, c.Policy, strings.Join(baseline.Names, ", ")))
	}
	points, err := combinations(c.Vary)
	if err != nil {
		return p.fail(err)
	}
	loadScenario := func(point int) (*scenario.Scenario, error) {
		s, err := scenario.Find(c.Name, append(slices.Clone(c.Set), points[point]...)...)
		if err == nil && c.Short {
			s.Shorten()
		}
		return s, err
	}
	digest := sha256.New() // of everything that determines the results
	fmt.Fprintln(digest, build.VersionLine("rehearse"), c.Policy, c.Seeds, c.From, c.Vary)
	result := Sweep{Policy: cmp.Or(c.Policy, "cedarmast"), Vary: c.Vary, Seeds: c.Seeds, From: c.From}
	for i := range points {
		s, err := loadScenario(i)
		if err != nil {
			return p.fail(err)
		}
		result.Scenario = s.Name
		if err := json.NewEncoder(digest).Encode(s); err != nil {
			return p.fail(err)
		}
	}
	results, stateFile, err := openState(c.State, hex.EncodeToString(digest.Sum(nil)))
	if err != nil {
		return p.fail(err)
	}
	defer stateFile.close()
	eta := newProgressEstimate(p.stderr, len(points)*c.Seeds, len(results))
	var pending [][2]uint64 // point and seed
	for n := range len(points) * c.Seeds {
		key := [2]uint64{uint64(n / c.Seeds), c.From + uint64(n%c.Seeds)}
		if _, done := results[key]; !done {
			pending = append(pending, key)
		}
	}
	var mu sync.Mutex // guards results, stateFile and eta
	group, ctx := errgroup.WithContext(p.ctx)
	group.SetLimit(c.Jobs)
	for _, key := range pending {
		point, seed := int(key[0]), key[1]
		group.Go(func() error {
			s, err := loadScenario(point)
			if err != nil {
				return err
			}
			report, err := virtual.Run(ctx, s, virtual.Options{Seed: seed, NewDecider: baseline.New(c.Policy)})
			if err != nil {
				return err
			}
			run := runResult{point, seed, map[string]float64{}, report.Lost+report.Double+report.Drain+report.ColdFalls+report.Held > 0}
			for _, m := range measures {
				run.Values[m.name] = m.of(report)
			}
			mu.Lock()
			defer mu.Unlock()
			results[key] = run
			eta.update(len(results))
			return stateFile.append(run)
		})
	}
	if err := group.Wait(); err != nil {
		return p.fail(err)
	}
	result.aggregate(points, results)
	if c.JSON == "-" {
		writeJSON(p.stdout, &result)
	} else {
		result.printTable(p.stdout)
		if c.JSON != "" {
			err = writeFile(c.JSON, func(w io.Writer) error { return writeJSON(w, &result) })
		}
	}
	if c.HTML != "" {
		err = errors.Join(err, writeFile(c.HTML, result.writePage))
	}
	if err != nil {
		return p.fail(err)
	}
	return exitOK
}

// combinations returns each combination of the values of all keys; the last key's value changes fastest. Commas within quotes or
// brackets do not separate values.
func combinations(vary []string) (points [][]string, err error) {
	points = [][]string{nil}
	for _, v := range vary {
		key, list, ok := strings.Cut(v, "=")
		if !ok || key == "" || list == "" {
			return nil, fmt.Errorf("%w: --vary %q is not KEY=A,B,C", errBadArgument, v)
		}
		var values []string
		depth, quoted, start := 0, false, 0
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
				values, start = append(values, list[start:i]), i+1
			}
		}
		var extended [][]string
		for _, point := range points {
			for _, value := range append(slices.Clone(values), list[start:]) {
				extended = append(extended, append(slices.Clone(point), key+"="+value))
			}
		}
		points = extended
	}
	return points, nil
}

// aggregate computes the statistics of each point, ordered by point and seed whatever the order of the runs.
func (s *Sweep) aggregate(points [][]string, results map[[2]uint64]runResult) {
	for i, sets := range points {
		p := Point{Sets: sets, Mean: map[string]float64{}, Half: map[string]float64{}, Less: map[string]float64{}, LessHalf: map[string]float64{},
			values: map[string][]float64{}}
		for n := range s.Seeds {
			result := results[[2]uint64{uint64(i), s.From + uint64(n)}]
			if result.Broken {
				p.Broken++
			}
			for _, name := range sweepMeasures() {
				p.values[name] = append(p.values[name], result.Values[name])
			}
		}
		for _, name := range sweepMeasures() {
			p.Mean[name], p.Half[name] = interval(p.values[name])
			if i > 0 {
				diff := slices.Clone(p.values[name])
				for n := range diff {
					diff[n] -= s.Points[0].values[name][n]
				}
				p.Less[name], p.LessHalf[name] = interval(diff)
			}
		}
		s.Points = append(s.Points, p)
	}
}

// interval returns the mean and half the width of its 95% confidence interval by Student's t; half is 0 for a single value.
func interval(values []float64) (mean, half float64) {
	mean = stat.Mean(values, nil)
	if n := float64(len(values)); n > 1 {
		half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(values, nil) / math.Sqrt(n)
	}
	return mean, half
}

// tableMeasures lists the measures that the table and the plots show.
var tableMeasures = []string{"score", "worst_window", "answered_part", "database_peak", "sites_crossed", "regained_s"}

// printTable writes the sweep as a text table.
func (s *Sweep) printTable(out io.Writer) {
	fmt.Fprintf(out, "%s in virtual time, %d days a point, %s\n", s.Scenario, s.Seeds, s.Policy)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "point\t"+strings.Join(tableMeasures, "\t")+"\tscore less first\tdays with a broken rule")
	for i := range s.Points {
		p := &s.Points[i]
		fmt.Fprint(w, strings.Join(p.Sets, " "))
		for _, name := range tableMeasures {
			fmt.Fprintf(w, "\t%.3f ±%.3f", p.Mean[name], p.Half[name])
		}
		fmt.Fprintf(w, "\t%+.3f ±%.3f\t%d\n", p.Less["score"], p.LessHalf["score"], p.Broken)
	}
	w.Flush()
}

//go:embed sweep.html.tmpl
var sweepTemplateText string

var sweepTemplate = template.Must(template.New("sweep").Parse(sweepTemplateText))

// writePage writes the sweep as a self-contained HTML page.
func (s *Sweep) writePage(w io.Writer) error {
	var plots []template.HTML
	for _, name := range tableMeasures {
		plots = append(plots, template.HTML(s.plot(name)))
	}
	return sweepTemplate.Execute(w, map[string]any{"S": s, "Plots": plots})
}

// plot returns an SVG of a measure over the points, each with its confidence interval.
func (s *Sweep) plot(name string) string {
	low, high := math.Inf(1), math.Inf(-1)
	for _, p := range s.Points {
		low, high = min(low, p.Mean[name]-p.Half[name]), max(high, p.Mean[name]+p.Half[name])
	}
	span := max(high-low, 1e-9)
	out := &svg{seconds: len(s.Points)}
	fmt.Fprintf(out, `<svg viewBox="0 0 %.0f %.0f">`, nameWidth+plotWidth, plotHeight+34)
	y := func(v float64) float64 { return 6 + (1-(v-low)/span)*(plotHeight-12) }
	out.text(0, 14, fmt.Sprintf("%s %.3f", name, high))
	out.text(0, plotHeight-2, fmt.Sprintf("%.3f", low))
	for i, p := range s.Points {
		x := out.x(float64(i) + 0.5)
		fmt.Fprintf(out, `<path d="M%.1f %.1fV%.1f" stroke="#889" stroke-width="2"/>`, x, y(p.Mean[name]-p.Half[name]), y(p.Mean[name]+p.Half[name]))
		out.rect(x-3, y(p.Mean[name])-3, 6, 6, "#258")
		out.text(out.x(float64(i)), plotHeight+14+float64(i%2)*14, strings.Join(p.Sets, " "))
	}
	out.WriteString("</svg>")
	return out.String()
}

// sweepState stores finished runs in a file; a nil state stores none.
type sweepState struct{ file *os.File }

// stateHeader is the first line of a state file. It identifies the sweep.
type stateHeader struct {
	Sweep string `json:"sweep"`
}

// openState reads the finished runs of an interrupted sweep. An incomplete last line is truncated; a file of another sweep is an error.
func openState(path, digest string) (map[[2]uint64]runResult, *sweepState, error) {
	results := map[[2]uint64]runResult{}
	if path == "" {
		return results, nil, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, err
	}
	validBytes, reader := int64(0), bufio.NewReader(f)
	for first := true; ; first = false {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			break // end of file, or an incomplete line
		}
		var header stateHeader
		var result runResult
		switch {
		case first && (json.Unmarshal(line, &header) != nil || header.Sweep != digest):
			f.Close()
			return nil, nil, fmt.Errorf("%w: --state %s is of another sweep, scenario or build", errBadArgument, path)
		case first:
		case json.Unmarshal(line, &result) != nil:
			f.Close()
			return nil, nil, fmt.Errorf("%w: --state %s has a line that can't be read", errBadArgument, path)
		default:
			results[[2]uint64{uint64(result.Point), result.Seed}] = result
		}
		validBytes += int64(len(line))
	}
	s := &sweepState{f}
	if _, err := f.Seek(validBytes, io.SeekStart); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if err := f.Truncate(validBytes); err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if validBytes == 0 {
		err = s.append(stateHeader{digest})
	}
	return results, s, err
}

// append writes one line of JSON.
func (s *sweepState) append(line any) error {
	if s == nil {
		return nil
	}
	return json.NewEncoder(s.file).Encode(line)
}

func (s *sweepState) close() {
	if s != nil {
		s.file.Close()
	}
}

// progressEstimate prints a sweep's progress and the estimated time remaining.
type progressEstimate struct {
	w              io.Writer
	total, resumed int
	started        time.Time
	lastPrinted    time.Time
}

func newProgressEstimate(w io.Writer, total, resumed int) *progressEstimate {
	if resumed > 0 {
		fmt.Fprintf(w, "%d of %d days are done already\n", resumed, total)
	}
	return &progressEstimate{w: w, total: total, resumed: resumed, started: time.Now(), lastPrinted: time.Now()}
}

const estimateInterval = 2 * time.Second

// update prints the progress after n finished runs, at most once every estimateInterval.
func (c *progressEstimate) update(n int) {
	if time.Since(c.lastPrinted) < estimateInterval {
		return
	}
	c.lastPrinted = time.Now()
	remaining := time.Duration(float64(time.Since(c.started)) / float64(n-c.resumed) * float64(c.total-n))
	fmt.Fprintf(c.w, "%d of %d days, %v left\n", n, c.total, remaining.Round(time.Second))
}
