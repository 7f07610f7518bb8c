package rehearse

import (
	"fmt"
	"text/tabwriter"
	"time"

	"cedarmast/internal/kit/spread"
)

// spreadCmd holds the arguments of "rehearse spread".
type spreadCmd struct {
	Routers []int   `default:"3,30,300" help:"How many, a line each."`
	Facts   int     `default:"200" help:"That all know before anything happens."`
	Loss    float64 `default:"0.3" help:"Part of the datagrams that is lost."`
	Repeats float64 `default:"0.1" help:"Part of them that comes again."`
	Seed    uint64  `default:"1" help:"Of all that is drawn."`
}

// spread measures how shared state propagates between routers and prints a table with a row for each fleet size.
func (p *program) spread(c spreadCmd) int {
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "routers\torder everywhere\thealed split\tcaught up\tknows it\tbytes a second, quiet\tnot by the rule")
	for _, n := range c.Routers {
		r, err := spread.Measure(spread.Options{Routers: n, Facts: c.Facts, Loss: c.Loss, Repeats: c.Repeats, Seed: c.Seed})
		if err != nil {
			return p.fail(fmt.Errorf("%w: %w", errBadArgument, err))
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\n", n, formatDuration(r.Order), formatDuration(r.Heal), formatDuration(r.CatchUp), formatDuration(r.Knows), r.Quiet, r.Wrong)
		w.Flush()
	}
	return exitOK
}

// formatDuration formats how long something took, or that it did not happen before spread.Timeout.
func formatDuration(d time.Duration) string {
	if d >= spread.Timeout {
		return "over " + spread.Timeout.String()
	}
	return d.String()
}
