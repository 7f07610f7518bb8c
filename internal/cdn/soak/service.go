package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// The probes that show whether a proxy serves once all is calm: so many requests one after the other, each proxy on its own.
const (
	probes      = 30
	probeWithin = 20 * time.Second
	probePause  = 5 * time.Millisecond // after one that was not served
)

// probeTally is how the probes of one proxy ended.
type probeTally struct {
	served   int
	others   map[string]int // by status or error
	slowest  time.Duration
	spent    time.Duration
	firstEnd time.Duration // of the first one served
}

func (t probeTally) String() string {
	text := fmt.Sprintf("serves %d of %d once all is calm, in %s", t.served, probes, t.spent.Round(time.Millisecond))
	if t.served > 0 {
		text += fmt.Sprintf(", the first after %s, the slowest probe took %s", t.firstEnd.Round(time.Millisecond), t.slowest.Round(time.Millisecond))
	}
	for _, outcome := range slices.Sorted(maps.Keys(t.others)) {
		text += fmt.Sprintf("; %d times %s", t.others[outcome], outcome)
	}
	return text
}

// checkService holds that every proxy serves again once all is calm: neither places nor trust in servers were lost. Proxies are probed at the
// same time, each with a deadline of its own, so that one that serves hardly anything hides nothing about the others.
func (d *day) checkService(ctx context.Context) {
	var all sync.WaitGroup
	for _, m := range d.net.EdgeMachines() {
		all.Go(func() {
			tally := d.probe(ctx, m)
			d.say("%s %s", m.Name, tally)
			if tally.served < probes {
				d.book.breach("%s %s", m.Name, tally)
				d.tellFigures(ctx, m)
			}
		})
	}
	all.Wait()
}

func (d *day) probe(ctx context.Context, m *localnet.Machine) (t probeTally) {
	call, done := context.WithTimeout(ctx, probeWithin)
	defer done()
	t.others = map[string]int{}
	key := pickKey(d.operators.history.newest().keys, rand.New(rand.NewPCG(d.Seed, 5)))
	start := time.Now()
	for n := 0; t.served < probes && call.Err() == nil; n++ {
		begun := time.Now()
		status, err := d.net.AskWithKey(m, "shop.example", fmt.Sprintf("/again/probe-%s-%d", m.Name, n), fmt.Sprintf("probe-%s-%d-%d", m.Name, d.Seed, n), key)
		t.slowest = max(t.slowest, time.Since(begun))
		switch {
		case err == nil && status == 200:
			if t.served++; t.served == 1 {
				t.firstEnd = time.Since(start)
			}
			continue
		case err != nil:
			t.others[errorKind(err)]++
		default:
			t.others[fmt.Sprint(status)]++
		}
		sleep(call, probePause)
	}
	t.spent = time.Since(start)
	return t
}

// errorKind is an error's last part, which does not name ports.
func errorKind(err error) string {
	text := err.Error()
	return strings.TrimSpace(text[strings.LastIndexByte(text, ':')+1:])
}

// tellFigures prints what a proxy that serves too little tells of itself, and of the core machines where they stand.
func (d *day) tellFigures(ctx context.Context, m *localnet.Machine) {
	d.net.Signal(m, syscall.SIGUSR1) // it logs what its decisions hold
	if text, err := d.net.Figures(ctx, m); err == nil {
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, "#") {
				d.say("%s: %s", m.Name, strings.TrimSpace(line))
			}
		}
	}
	for _, core := range d.net.CoreMachines() {
		_, status, err := d.net.ControlAt(ctx, core, "GET", "/status", nil)
		d.say("%s: %s %v", core.Name, strings.TrimSpace(string(status)), err)
	}
}
