package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// How often operators send and ask, and for how long they try.
const (
	configEvery   = 900 * time.Millisecond
	configPatient = 4 * time.Second
	readEvery     = 300 * time.Millisecond
	callAgain     = 20 * time.Millisecond
	mostApart     = 60 * time.Millisecond // between the sendings of two changes that overlap
)

// operators send configurations and hold what became of them.
type operators struct {
	day     *day
	history *history
	keys    *keySource
	rng     *rand.Rand
	edition int // the last number given out
}

func newOperators(d *day) *operators {
	return &operators{day: d, history: &history{}, keys: newKeySource(d.Seed), rng: rand.New(rand.NewPCG(d.Seed, 3))}
}

// first sends the first configuration until it is taken.
func (o *operators) first(ctx context.Context) error {
	v := o.write(nil, o.keys.first(), valid)
	if o.put(ctx, v, 0); v.verdict != acknowledged {
		return Error.New("the first configuration is not acknowledged (verdict %d)", v.verdict)
	}
	return nil
}

// write makes a version on top of another one.
func (o *operators) write(base *version, keys keyTable, fault fault) *version {
	o.edition++
	v := &version{edition: o.edition, on: base, keys: keys, fault: fault}
	if fault == staleEdition && base != nil {
		v.edition = base.edition
		o.edition--
	}
	v.write()
	return v
}

// change makes a version with other keys on top of another one.
func (o *operators) change(base *version, fault fault) *version {
	return o.write(base, o.keys.change(base.keys, o.rng), fault)
}

// configure changes the configuration again and again until the context ends: alone, two on one base, one on top of another one that is still
// under way, and with faults that must be refused.
func (o *operators) configure(ctx context.Context) {
	for step := o.rng.IntN(len(faults)); sleep(ctx, configEvery) == nil; step++ {
		base := o.current(ctx)
		if base == nil {
			continue
		}
		first := o.change(base, valid)
		switch o.rng.IntN(5) {
		case 0:
			o.together(ctx, first, o.change(base, valid), 0)
		case 1:
			o.together(ctx, first, o.change(first, valid), time.Duration(o.rng.Int64N(int64(mostApart))))
		case 2:
			o.together(ctx, first, o.change(base, faults[step%len(faults)]), time.Duration(o.rng.Int64N(int64(mostApart))))
		default:
			o.put(ctx, first, o.rng.IntN(o.day.Shape.Core))
		}
	}
}

// together sends two versions so that they overlap, each to a core machine of its own at first.
func (o *operators) together(ctx context.Context, one, other *version, apart time.Duration) {
	var both sync.WaitGroup
	both.Go(func() { o.put(ctx, one, 0) })
	both.Go(func() {
		if sleep(ctx, apart) == nil {
			o.put(ctx, other, 1)
		}
	})
	both.Wait()
}

// put sends a version to one core machine after the other until a clear answer comes or the patience ends.
func (o *operators) put(ctx context.Context, v *version, turn int) {
	call, done := context.WithTimeout(ctx, configPatient)
	defer done()
	o.history.send(v)
	doubt, core := false, o.day.net.CoreMachines()
	for ; call.Err() == nil; turn++ {
		status, _, err := o.day.net.ControlAt(call, core[turn%len(core)], http.MethodPut, "/manifest", v.text)
		switch {
		case err == nil && status == http.StatusOK:
			o.history.settle(v, acknowledged)
			return
		case err == nil && isRefusal(status):
			if !doubt {
				o.history.settle(v, refused)
			}
			return
		}
		doubt = doubt || !errors.Is(err, syscall.ECONNREFUSED)
		sleep(call, callAgain)
	}
}

// isRefusal tells whether an operator's call ends with a status.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}, status)
}

// current reads the newest configuration back, at one core machine after the other; nil if none tells it in time, or if it is none that was sent.
func (o *operators) current(ctx context.Context) *version {
	call, done := context.WithTimeout(ctx, configPatient)
	defer done()
	for core, turn := o.day.net.CoreMachines(), o.rng.IntN(o.day.Shape.Core); call.Err() == nil; turn++ {
		if r, ok := o.readAt(call, core[turn%len(core)]); ok {
			return o.history.find(r.text)
		}
		sleep(call, callAgain)
	}
	return nil
}

// readAt asks one core machine for the newest configuration.
func (o *operators) readAt(ctx context.Context, m *localnet.Machine) (r reading, ok bool) {
	r.sent = time.Now()
	status, text, err := o.day.net.ControlAt(ctx, m, http.MethodGet, "/manifest", nil)
	if err != nil || status != http.StatusOK {
		return r, false
	}
	r.edition, r.text = editionOf(text), text
	o.history.read(r)
	return r, true
}

// ask reads the configuration back again and again, at a core machine that a seed draws each time.
func (o *operators) ask(ctx context.Context) {
	rng := rand.New(rand.NewPCG(o.day.Seed, 4))
	for core := o.day.net.CoreMachines(); sleep(ctx, readEvery) == nil; {
		call, done := context.WithTimeout(ctx, configPatient)
		o.readAt(call, core[rng.IntN(len(core))])
		done()
	}
}
