package rehearse

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"cedarmast/internal/kit/faulty"
	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/rig"
	"cedarmast/internal/kit/scenario"
)

// selftestCmd holds the argument of "rehearse selftest".
type selftestCmd struct {
	Seed uint64 `default:"1" help:"Of all that is drawn."`
}

// maxConcurrentRuns bounds the concurrent runs of a self-test.
const maxConcurrentRuns = 3

// selftest checks the ledger with routers that each break one rule: it must detect each broken rule, and find none with the router
// that breaks none.
func (p *program) selftest(c selftestCmd) int {
	own, err := os.Executable()
	if err != nil {
		return p.fail(err)
	}
	type verdict struct {
		says string
		good bool
		err  error
	}
	verdicts := make([]verdict, len(faulty.Kinds))
	slots := make(chan struct{}, maxConcurrentRuns)
	var wg sync.WaitGroup
	for i, kind := range faulty.Kinds {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := scenario.Selftest()
			if err != nil {
				verdicts[i].err = err
				return
			}
			report, err := rig.Run(p.ctx, s, rig.Options{Seed: c.Seed, Router: []string{own, "faulty", kind.Name}})
			if report == nil || err != nil {
				verdicts[i].err = err
				return
			}
			verdicts[i].says, verdicts[i].good = checkVerdict(report, kind.Breaks)
		})
	}
	wg.Wait()
	status := exitOK
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	var late error
	for i, kind := range faulty.Kinds {
		v := verdicts[i]
		switch {
		case errors.Is(v.err, rig.ErrHostTooSlow):
			late = v.err
			fmt.Fprintf(w, "%s\tno verdict: %v\n", kind.Name, v.err)
		case v.err != nil:
			status = exitFailed
			fmt.Fprintf(w, "%s\tno verdict: %v\n", kind.Name, v.err)
		case v.good:
			fmt.Fprintf(w, "%s\tas it should: %s\n", kind.Name, v.says)
		default:
			status = exitFailed
			fmt.Fprintf(w, "%s\tWRONG: %s\n", kind.Name, v.says)
		}
	}
	w.Flush()
	if status == exitOK && late != nil {
		return exitTooLate
	}
	return status
}

// checkVerdict reports whether a report shows the expected rule broken, or none if expectedRule is empty.
func checkVerdict(r *ledger.Report, expectedRule string) (verdict string, ok bool) {
	counts := map[string]int{"lost": r.Lost, "effect": r.Double, "drain": r.Drain, "cold": r.ColdFalls, "held": r.Held}
	verdict, ok = "cleared", true
	for _, rule := range []string{"lost", "effect", "drain", "cold", "held"} {
		if n := counts[rule]; n > 0 {
			if verdict == "cleared" {
				verdict = "convicted of"
			}
			verdict += fmt.Sprintf(" %s (%d)", rule, n)
		}
		// A fault may break other rules as well, but must break its own; without a fault no rule may be broken.
		if expectedRule == "" && counts[rule] > 0 || expectedRule == rule && counts[rule] == 0 {
			ok = false
		}
	}
	if expectedRule == "" && len(r.Breaches) > 0 {
		verdict += ": " + r.Breaches[0].String()
	}
	return verdict, ok
}
