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

type selftestCmd struct {
	Seed uint64 `default:"1" help:"Of all that is drawn."`
}

const trialsAtOnce = 3

// selftest tries the ledger on routers that break one rule each: it must catch each one, for its own rule, and clear the
// one that breaks none.
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
	slots := make(chan struct{}, trialsAtOnce)
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
			verdicts[i].says, verdicts[i].good = judge(report, kind.Breaks)
		})
	}
	wg.Wait()
	status := held
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	var late error
	for i, kind := range faulty.Kinds {
		v := verdicts[i]
		switch {
		case errors.Is(v.err, rig.ErrLate):
			late = v.err
			fmt.Fprintf(w, "%s\tno verdict: %v\n", kind.Name, v.err)
		case v.err != nil:
			status = broken
			fmt.Fprintf(w, "%s\tno verdict: %v\n", kind.Name, v.err)
		case v.good:
			fmt.Fprintf(w, "%s\tas it should: %s\n", kind.Name, v.says)
		default:
			status = broken
			fmt.Fprintf(w, "%s\tWRONG: %s\n", kind.Name, v.says)
		}
	}
	w.Flush()
	if status == held && late != nil {
		return tooLate
	}
	return status
}

// judge tells whether a report convicts of the one rule, or of none.
func judge(r *ledger.Report, breaks string) (says string, good bool) {
	counts := map[string]int{"lost": r.Lost, "effect": r.Double, "drain": r.Drain, "cold": r.ColdFalls, "held": r.Held}
	says, good = "cleared", true
	for _, rule := range []string{"lost", "effect", "drain", "cold", "held"} {
		if n := counts[rule]; n > 0 {
			if says == "cleared" {
				says = "convicted of"
			}
			says += fmt.Sprintf(" %s (%d)", rule, n)
		}
		// A fault may drag another rule with it; its own must be there, and nothing at all where there is no fault.
		if breaks == "" && counts[rule] > 0 || breaks == rule && counts[rule] == 0 {
			good = false
		}
	}
	if breaks == "" && len(r.Breaches) > 0 {
		says += ": " + r.Breaches[0].String()
	}
	return says, good
}
