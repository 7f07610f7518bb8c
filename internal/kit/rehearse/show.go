package rehearse

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cedarmast/internal/kit/ledger"
	"cedarmast/internal/kit/scenario"
)

// progress shows a run's progress: a line that is redrawn on a terminal, plain lines of events elsewhere.
type progress struct {
	w        io.Writer
	terminal bool
	name     string
	length   time.Duration
	started  time.Time
	done     chan struct{}
	ended    chan struct{}
	mu       sync.Mutex
}

func newProgress(w io.Writer, s *scenario.Scenario) *progress {
	p := &progress{w: w, name: s.Name, length: s.Length.D(), started: time.Now().Add(s.WarmUp.D()), done: make(chan struct{}), ended: make(chan struct{})}
	if f, ok := w.(*os.File); ok {
		if info, err := f.Stat(); err == nil {
			p.terminal = info.Mode()&os.ModeCharDevice != 0
		}
	}
	fmt.Fprintf(w, "%s: %v with %d nodes and %d routers\n", s.Name, p.length, len(s.NodeNames()), len(s.RouterNames()))
	go p.redraw()
	return p
}

func (p *progress) redraw() {
	defer close(p.ended)
	if !p.terminal {
		<-p.done
		return
	}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.mu.Lock()
			fraction := max(min(float64(time.Since(p.started))/float64(p.length), 1), 0)
			fmt.Fprintf(p.w, "\r\x1b[K%s [%-30s] %v of %v", p.name, strings.Repeat("=", int(30*fraction)), time.Since(p.started).Round(time.Second), p.length)
			p.mu.Unlock()
		case <-p.done:
			fmt.Fprint(p.w, "\r\x1b[K")
			return
		}
	}
}

// logEvent prints an event of the run.
func (p *progress) logEvent(at time.Duration, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.w, "\r\x1b[K")
	}
	fmt.Fprintf(p.w, "%7.1fs %s\n", at.Seconds(), what)
}

func (p *progress) stop() {
	close(p.done)
	<-p.ended
}

// printReport writes a report as text.
func printReport(out io.Writer, r *ledger.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("score", "%.3f  worst ten seconds %.3f, worst class %.3f, worst tenant %.3f", r.Score, r.WorstWindow, r.WorstClass, r.WorstTenant)
	row("requests", "%d, %d answered (%.1f nines); %d tries, %d refused, %d failed, %d with no router", r.Requests, r.Answered, r.Nines, r.Tries, r.Refused, r.Failed, r.Unheard)
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c := r.Classes[name]
		row("class "+name, "%.3f of %d; %.0f ms in the middle, %.0f at 99%%, %.0f at 99.9%%", c.Score, c.Requests, c.P50, c.P99, c.P999)
	}
	row("rules", "%d lost, %d double effects, %d sends against a drain, %d cold nodes pushed over, %d answers held back", r.Lost, r.Double, r.Drain, r.ColdFalls, r.Held)
	row("behind", "%d sends, %d connections, %d sites crossed; database asked %d times, at most %.2f of what it can; %.1f%% of the work wasted", r.Sends, r.Connections, r.Crossed, r.Fetches, r.DatabasePeak, 100*r.Wasted)
	for _, t := range r.Troubles {
		full := "never"
		if t.FullServiceS != nil {
			full = fmt.Sprintf("after %.1f s", *t.FullServiceS)
		}
		row("back from", "%s, %.1f to %.1f s: full service %s; at most %.1f times the usual dials, %.1f list calls, %.1f fetches (%.2f of what the database can), %.1f cold sends; %d stale sends, %d stale refusals",
			t.Kind, t.AtS, t.EndS, full, t.PeakDials, t.PeakListCalls, t.PeakFetches, t.FetchesOfCan, t.PeakColdSends, t.StaleSends, t.StaleRefusals)
	}
	row("routers", "%.0f MB at most, %.1f s of processor time together, %d crashes", r.MemoryMB, r.CPU, r.Crashes)
	row("rig", "%.1f ms late at 99%%, %.1f s of processor time, %.0f MB at the end", r.HostLateMS, r.HostCPU, r.HostMemoryMB)
	w.Flush()
	for i, b := range r.Breaches {
		if i == 10 {
			fmt.Fprintf(out, "... and %d more\n", len(r.Breaches)-i)
			break
		}
		fmt.Fprintln(out, "broken:", b)
	}
	for _, m := range r.Missed {
		fmt.Fprintln(out, "expected more of:", m)
	}
	fmt.Fprintln(out, map[bool]string{true: "held", false: "NOT HELD"}[r.RulesHeld])
}
