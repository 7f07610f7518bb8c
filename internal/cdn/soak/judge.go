package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

const (
	goneWithin = 500 * time.Millisecond // from a leave to the end of the work for it, over all processes
	dueSlack   = 150 * time.Millisecond
	lateSlack  = 500 * time.Millisecond // past a request's time, within which its answer is to be out
)

// interest is who wanted a path, over all clients that asked for it.
type interest struct {
	end        time.Time // when the last one wanted it no longer
	kind       kind
	edges      []string
	left, stay int
}

// judge looks at a day that is over.
func (d *day) judge(ctx context.Context, troubles int) (Report, error) {
	for _, m := range d.net.Machines { // a trouble's own start may have been cut short by the day's end
		if err := d.net.Up(m); err != nil {
			return Report{}, err
		}
	}
	if err := sleep(ctx, restTime); err != nil {
		return Report{}, err
	}
	d.operators.current(ctx) // the newest configuration, once all is calm
	d.checkRuns()
	d.checkAnswers()
	d.checkKeys()
	d.checkFigures(ctx)
	d.checkService(ctx)
	b := d.book
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Requests: len(b.asks), Runs: len(b.runs), Troubles: troubles, Breaches: b.breaches, Acknowledgements: d.acks}
	for _, a := range b.asks {
		if a.hasLeft {
			r.Left++
		}
		switch {
		case a.kept:
			r.Kept++
		case !a.live && !a.kind.open:
			r.Keyless++
		case a.meansToLeave() && (a.status == http.StatusServiceUnavailable || a.status == http.StatusUnauthorized):
			r.Refused++
		}
	}
	return r, nil
}

// meansToLeave tells whether the client would not wait for its answer.
func (a *ask) meansToLeave() bool { return a.manner != stays && a.manner != halfCloses }

func (b *book) interests() map[string]*interest {
	all := map[string]*interest{}
	for _, a := range b.asks {
		i := all[a.path]
		if i == nil {
			i = &interest{kind: a.kind}
			all[a.path] = i
		}
		i.edges = append(i.edges, a.edge)
		if a.hasLeft {
			i.left++
		} else {
			i.stay++
		}
		if a.end.After(i.end) {
			i.end = a.end
		}
	}
	return all
}

// checkRuns holds each run against those who wanted it: nothing begins or is still at work half a second after the last one has left, but for
// what is finished, which nobody breaks off; what may run once runs once.
func (d *day) checkRuns() {
	b := d.book
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted, once := b.interests(), map[string]int{}
	var breaches []string
	for _, r := range b.runs {
		breach := func(format string, args ...any) {
			breaches = append(breaches, fmt.Sprintf(format, args...)+" ("+d.story(r.path)+")")
		}
		i := wanted[r.path]
		if i == nil || i.kind.copies { // copies are refreshed on the proxies' own account
			continue
		}
		bound := i.end.Add(goneWithin)
		machine := ""
		if i.kind.shared == 0 {
			machine = i.edges[0]
		}
		if until := b.pausedUntil(machine, i.end.Add(-goneWithin), 2*goneWithin); until.Add(goneWithin).After(bound) {
			bound = until.Add(goneWithin)
		}
		after := func(t time.Time) time.Duration { return t.Sub(i.end).Round(time.Millisecond) }
		switch {
		case i.kind.once:
			if once[r.id]++; once[r.id] == 2 {
				breach("%s ran twice", r.path)
			}
			if r.begun.After(bound) {
				breach("%s begins %s after its client has left", r.path, after(r.begun))
			}
			if r.outcome == dropped && r.end.Before(r.begun.Add(timeLeft/2)) && !b.struck(machine, r.begun, r.end.Add(dueSlack)) && i.left > 0 {
				breach("%s is broken off %s after its client has left", r.path, after(r.end))
			}
		case r.begun.After(bound):
			breach("%s begins at %s %s after the last one has left", r.path, r.server, after(r.begun))
		case r.end.IsZero() || r.end.After(bound):
			breach("%s is at work at %s until %s after the last one has left", r.path, r.server, after(r.end))
		}
	}
	b.breaches = append(b.breaches, breaches...)
}

// story tells who wanted a path, where and until when, and where it ran, in the day's time.
func (d *day) story(path string) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f", t.Sub(d.start).Seconds())
	}
	var all []string
	for _, a := range d.book.asks {
		if a.path == path {
			all = append(all, fmt.Sprintf("%s asked %s at %s, %s, until %s, got %d", a.id, a.edge, at(a.begun), mannerNames[a.manner], at(a.end), a.status))
		}
	}
	for _, r := range d.book.runs {
		if r.path == path {
			all = append(all, fmt.Sprintf("%s ran it for %q from %s to %s, broken off %v", r.server, r.id, at(r.begun), at(r.end), r.outcome == dropped))
		}
	}
	return strings.Join(all, "; ")
}

// checkAnswers holds that a client that waits gets an answer within its time, by the time in which its proxy ran, unless the processes that worked
// for it have ended. A proxy that is paused twice over one request has its time anew each time: a client that waited for 4.5 s in all was
// answered after 3 s of them (seed 2063: its request came in one pause and its time ended 3 ms into the next).
func (d *day) checkAnswers() {
	b := d.book
	b.mu.Lock()
	defer b.mu.Unlock()
	ran := map[string]bool{}
	for _, r := range b.runs {
		ran[r.id] = true
	}
	var breaches []string
	for _, a := range b.asks {
		if a.unstamped {
			breaches = append(breaches, fmt.Sprintf("%s (%s, a client that %s) gets a success from %s that no server gave", a.path, a.id, mannerNames[a.manner], a.edge))
		}
		if waits := a.manner == stays || a.manner == halfCloses; !waits || !ran[a.id] || b.struck(a.edge, a.begun.Add(-time.Second), a.end) {
			continue
		}
		took := a.end.Sub(a.begun) - b.paused(a.edge, a.begun, a.end)
		if late := took > timeLeft+lateSlack; a.status == 0 || late {
			breaches = append(breaches, fmt.Sprintf("%s (%s, a client that %s) gets answer %d from %s after %s in which that ran (%s)", a.path, a.id, mannerNames[a.manner], a.status, a.edge,
				took.Round(time.Millisecond), d.story(a.path)))
		}
	}
	b.breaches = append(b.breaches, breaches...)
}

// The figures that must be zero at every proxy once a day is over: breaches of the invariant, and what would not have been given back.
var mustBeZero = []string{"cedarmast_attempts_begun_after_leave_total", "cedarmast_work_ended_late_total", "cedarmast_work_overdue",
	"cedarmast_requests_in_hand", "cedarmast_attempts_in_flight", "cedarmast_server_connections_busy", "cedarmast_fetches_under_way"}

// Servers beat on after the day, so that a call may be in hand as figures are read: what is not zero must stay so over some readings. Counts of
// breaches do.
const (
	figureReadings = 5
	readingPause   = 100 * time.Millisecond
)

func (d *day) checkFigures(ctx context.Context) {
	for _, m := range d.net.Machines {
		text, wrong, err := d.figuresAtRest(ctx, m)
		if err != nil {
			d.book.breach("%s tells no figures: %v", m.Name, err)
			continue
		}
		d.acks.add(text)
		for _, line := range wrong {
			d.book.breach("%s: %s", m.Name, line)
		}
		if len(wrong) > 0 && d.Shape.Out != nil {
			d.net.Signal(m, syscall.SIGQUIT) // it logs what its goroutines do
		}
	}
}

// figuresAtRest reads a machine's figures, and what of them is not zero each time.
func (d *day) figuresAtRest(ctx context.Context, m *localnet.Machine) (text string, wrong []string, err error) {
	for reading := range figureReadings {
		if reading > 0 {
			sleep(ctx, readingPause)
		}
		if text, err = d.net.Figures(ctx, m); err != nil {
			return "", nil, err
		}
		if wrong = notZero(text); len(wrong) == 0 {
			break
		}
	}
	return text, wrong, nil
}

// notZero returns the figures that must be zero and are not.
func notZero(text string) (wrong []string) {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line[:at], "{")
		if value, err := strconv.ParseFloat(line[at+1:], 64); slices.Contains(mustBeZero, name) && (err != nil || value != 0) {
			wrong = append(wrong, line)
		}
	}
	return wrong
}
