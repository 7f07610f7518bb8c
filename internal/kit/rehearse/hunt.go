package rehearse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/model"
	"cedarmast/internal/kit/scenario"
	"cedarmast/internal/kit/virtual"
)

// huntCmd holds the arguments of "rehearse hunt".
type huntCmd struct {
	Name    string        `arg:"" help:"The fleet and its load: a scenario that the kit brings, or a file. Its own troubles are left out."`
	Budget  time.Duration `default:"1m" help:"How long to search; shrinking comes on top."`
	Days    int           `help:"How many days to try, in place of a time: the same days for the same seed."`
	Below   float64       `default:"0.8" help:"A day is a find if its score is under this, or a rule is broken."`
	Without []string      `placeholder:"KIND" help:"Kinds of trouble that are left out."`
	Most    int           `default:"4" help:"Most troubles on one day."`
	Keep    int           `default:"5" help:"How many finds, the worst ones, of different kinds of trouble."`
	Seed    uint64        `default:"1" help:"Of what is drawn, and of the days."`
	Jobs    int           `help:"Days played at once; left out, one for each core. The result is the same for any, given --days."`
	Short   bool          `help:"Play the day in its short length."`
	Set     []string      `sep:"none" placeholder:"KEY=VALUE" help:"Goes over a key of the scenario; may be repeated."`
	Out     string        `placeholder:"DIR" help:"Save each find there as a scenario that replays."`
}

// finding is a combination of troubles and the result of the run with it.
type finding struct {
	troubles []scenario.Trouble
	score    float64
	broken   bool
}

// kindNames returns the distinct kinds of trouble, sorted and joined by "+".
func (f finding) kindNames() string {
	var names []string
	for _, t := range f.troubles {
		names = append(names, t.Kind)
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), "+")
}

// isWorse orders by broken rules first, then by lower score.
func (f finding) isWorse(o finding) bool {
	return f.broken && !o.broken || f.broken == o.broken && f.score < o.score
}

// hunter runs one fleet with generated troubles.
type hunter struct {
	ctx   context.Context
	c     huntCmd
	kinds []string
}

// hunt searches for the combinations of troubles with which this build does worst.
func (p *program) hunt(c huntCmd) int {
	s, err := scenario.Find(c.Name, c.Set...)
	if err != nil {
		return p.fail(err)
	}
	if c.Most < 1 || c.Keep < 1 || c.Days < 0 {
		return p.fail(fmt.Errorf("%w: --most and --keep are 1 at least, --days is not under 0", errBadArgument))
	}
	if c.Jobs < 1 {
		c.Jobs = runtime.NumCPU()
	}
	h := &hunter{ctx: p.ctx, c: c}
	for _, kind := range c.Without {
		if !slices.Contains(scenario.Kinds(), kind) {
			return p.fail(fmt.Errorf("%w: --without %q is no kind of trouble", errBadArgument, kind))
		}
	}
	for _, kind := range scenario.Kinds() { // without the kinds that do not reach decisions or that need a layout of their own
		if !slices.Contains([]string{"bad-clients", "grow", "router-reload", "cut", "disk-full"}, kind) && (kind != "router-link" || s.Messages.On) && !slices.Contains(c.Without, kind) {
			h.kinds = append(h.kinds, kind)
		}
	}
	rng, deadline := model.Stream(c.Seed, "hunt"), time.Now().Add(c.Budget)
	var finds []finding
	runs := 0
	if len(h.kinds) == 0 {
		return p.fail(fmt.Errorf("%w: --without leaves no kind of trouble", errBadArgument))
	}
	for h.ctx.Err() == nil && (c.Days > 0 && runs < c.Days || c.Days == 0 && time.Now().Before(deadline)) {
		n := 4 * c.Jobs
		if c.Days > 0 {
			n = min(64, c.Days-runs) // the same batches for any number of jobs
		}
		batch := make([]finding, n)
		for i := range batch {
			batch[i].troubles = h.drawTroubles(rng, s)
		}
		if err := h.runAll(batch); err != nil {
			return p.fail(err)
		}
		runs += n
		for _, f := range batch {
			if f.broken || f.score < c.Below {
				finds = append(finds, f)
			}
		}
	}
	if err := h.ctx.Err(); err != nil {
		return p.fail(err)
	}
	slices.SortStableFunc(finds, func(a, b finding) int {
		if a.isWorse(b) {
			return -1
		}
		if b.isWorse(a) {
			return 1
		}
		return 0
	})
	fmt.Fprintf(p.stdout, "%s: %d days tried, %d under %.2f or with a broken rule\n", s.Name, runs, len(finds), c.Below)
	seen := map[string]bool{}
	kept := 0
	for _, f := range finds {
		if seen[f.kindNames()] || kept == c.Keep {
			continue
		}
		seen[f.kindNames()] = true
		shrunk, err := h.shrink(f)
		if err != nil {
			return p.fail(err)
		}
		if seen[shrunk.kindNames()] && shrunk.kindNames() != f.kindNames() { // it shrank to kinds that are reported already
			continue
		}
		seen[shrunk.kindNames()] = true
		kept++
		fmt.Fprintf(p.stdout, "%d. score %.3f (found with %.3f)%s: %s\n", kept, shrunk.score, f.score,
			map[bool]string{true: ", a rule is broken"}[shrunk.broken], shrunk.kindNames())
		for _, t := range shrunk.troubles {
			fmt.Fprintf(p.stdout, "   %s\n", strings.ReplaceAll(strings.TrimSpace(troubleTOML(t)), "\n", ", "))
		}
		if c.Out != "" {
			if err := h.save(s, shrunk, kept); err != nil {
				return p.fail(err)
			}
		}
	}
	return exitOK
}

// drawTroubles generates the troubles of one run.
func (h *hunter) drawTroubles(rng *rand.Rand, s *scenario.Scenario) (troubles []scenario.Trouble) {
	length := s.Length.D()
	for range 1 + rng.IntN(h.c.Most) {
		kind := h.kinds[rng.IntN(len(h.kinds))]
		t := scenario.Trouble{Kind: kind, At: roundTenth(time.Duration((0.1 + 0.5*rng.Float64()) * float64(length))),
			For: roundTenth(time.Duration((0.05 + 0.3*rng.Float64()) * float64(length)))}
		part := float64(1+rng.IntN(10)) / 20 // up to half of the nodes or routers
		switch scenario.AffectedTargets(kind) {
		case "nodes", "routers":
			t.Part = part
		case "site":
			t.Site = s.Sites[rng.IntN(len(s.Sites))].Name
		}
		switch kind {
		case "errors", "turn-away", "spoil":
			t.Size = float64(1+rng.IntN(10)) / 10
		case "router-crash-loop":
			t.Size = float64(1 + rng.IntN(3))
		case "slow":
			t.Size = float64(2 + rng.IntN(8))
		case "heavy":
			t.Size, t.Part = float64(5+rng.IntN(20)), float64(1+rng.IntN(5))/100
		case "burst":
			t.Size = 1 + float64(1+rng.IntN(10))/5
		case "hot-key":
			t.Size, t.Part = float64(1+rng.IntN(4)), float64(1+rng.IntN(6))/10
		}
		troubles = append(troubles, t)
	}
	return troubles
}

// roundTenth rounds to 100 milliseconds.
func roundTenth(d time.Duration) scenario.Duration {
	return scenario.Duration(d.Round(100 * time.Millisecond))
}

// runAll runs all combinations of the batch concurrently and stores their results in it.
func (h *hunter) runAll(batch []finding) error {
	group, ctx := errgroup.WithContext(h.ctx)
	group.SetLimit(h.c.Jobs)
	for i := range batch {
		group.Go(func() error {
			s, err := scenario.Find(h.c.Name, h.c.Set...)
			if err != nil {
				return err
			}
			s.Troubles, s.Expect = batch[i].troubles, scenario.Expect{}
			s.Troubles = slices.Clone(s.Troubles)
			if h.c.Short {
				s.Shorten()
			}
			var r *ledger.Report
			if r, err = virtual.Run(ctx, s, virtual.Options{Seed: h.c.Seed}); err != nil {
				return err
			}
			batch[i].score, batch[i].broken = r.Score, !r.RulesHeld
			return nil
		})
	}
	return group.Wait()
}

// shrink minimizes a finding while it stays one: it removes whole troubles first, then halves their durations, parts and sizes.
func (h *hunter) shrink(f finding) (finding, error) {
	for {
		var variants []finding
		for i, t := range f.troubles {
			addVariant := func(change func(t *scenario.Trouble)) {
				all := slices.Clone(f.troubles)
				if change == nil {
					all = slices.Delete(all, i, i+1)
				} else {
					change(&all[i])
				}
				variants = append(variants, finding{troubles: all})
			}
			if len(f.troubles) > 1 {
				addVariant(nil)
			}
			if t.For.D() >= 2*time.Second {
				addVariant(func(t *scenario.Trouble) { t.For = roundTenth(t.For.D() / 2) })
			}
			if t.Part >= 0.1 {
				addVariant(func(t *scenario.Trouble) { t.Part = float64(int(t.Part*50)) / 100 })
			}
			if t.Size >= 2 && t.Kind != "hot-key" {
				addVariant(func(t *scenario.Trouble) { t.Size = max(float64(int(t.Size*5))/10, 1.1) })
			}
		}
		if err := h.runAll(variants); err != nil {
			return f, err
		}
		index := slices.IndexFunc(variants, func(s finding) bool { return s.broken && f.broken || !f.broken && s.score < h.c.Below })
		if index < 0 {
			return f, nil
		}
		f = variants[index]
	}
}

// troubleTOML encodes a trouble as in a scenario file.
func troubleTOML(t scenario.Trouble) string {
	var b strings.Builder
	row := func(key string, set bool, value any) {
		if set {
			fmt.Fprintf(&b, "%s = %v\n", key, value)
		}
	}
	row("kind", true, fmt.Sprintf("%q", t.Kind))
	row("at", true, fmt.Sprintf("%q", t.At.D()))
	row("for", t.For > 0, fmt.Sprintf("%q", t.For.D()))
	row("part", t.Part > 0, t.Part)
	row("size", t.Size > 0, t.Size)
	row("site", t.Site != "", fmt.Sprintf("%q", t.Site))
	return b.String()
}

// save writes a finding as a scenario file based on the searched scenario.
func (h *hunter) save(s *scenario.Scenario, f finding, n int) error {
	if _, ok := scenario.BuiltinText(h.c.Name); !ok {
		return errors.New("finds can be saved over a scenario that the kit brings alone: a file has no base to name")
	}
	if err := os.MkdirAll(h.c.Out, 0o755); err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d-%d", s.Name, h.c.Seed, n)
	return writeFile(filepath.Join(h.c.Out, name+".toml"), func(w io.Writer) error {
		flags := ""
		for _, set := range h.c.Set {
			flags += fmt.Sprintf(" --set '%s'", set)
		}
		if h.c.Short {
			flags += " --short"
		}
		fmt.Fprintf(w, "# Found by a hunt on %s. Replay: rehearse run THIS --virtual --seed %d%s\n", h.c.Name, h.c.Seed, flags)
		fmt.Fprintf(w, "name = %q\nabout = \"a day found by a hunt: %s\"\nbase = %q\n", name, f.kindNames(), h.c.Name)
		for _, t := range f.troubles {
			fmt.Fprintf(w, "\n[[trouble]]\n%s", troubleTOML(t))
		}
		_, err := fmt.Fprintf(w, "\n[expect]\nscore = %.2f\n", max(f.score-0.05, 0))
		return err
	})
}
