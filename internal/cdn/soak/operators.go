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

// How often operators put and read configurations, and how long they retry.
const (
	configInterval  = 900 * time.Millisecond
	configTimeout   = 4 * time.Second
	readInterval    = 300 * time.Millisecond
	retryInterval   = 20 * time.Millisecond
	maxOverlapDelay = 60 * time.Millisecond // between the puts of two overlapping changes
	minSeries       = 2                     // changes in a series after the first
	seriesSpread    = 3
)

// operators put configurations, read them back and record the results.
type operators struct {
	soakRun *soakRun
	history *history
	keys    *keySource
	rng     *rand.Rand
	edition int // the last edition number used
}

// newOperators returns the operators of a run; their random choices come from the run's seed.
func newOperators(s *soakRun) *operators {
	return &operators{soakRun: s, history: &history{}, keys: newKeySource(s.Seed), rng: rand.New(rand.NewPCG(s.Seed, 3))}
}

// putFirst puts the first configuration, with retries, until it is acknowledged.
func (o *operators) putFirst(ctx context.Context) error {
	v := o.newVersion(nil, o.keys.first(), valid)
	if o.put(ctx, v, 0); v.result != acknowledged {
		return Error.New("the first configuration is not acknowledged (result %d)", v.result)
	}
	return nil
}

// newVersion creates a version based on another one; base nil: on none. A version with staleEdition takes the edition of its base.
func (o *operators) newVersion(base *version, keys keyTable, defect defect) *version {
	o.edition++
	v := &version{edition: o.edition, base: base, keys: keys, fields: drawFields(o.rng), rate: ratePerEdge * o.soakRun.Shape.Edges, defect: defect}
	if defect == staleEdition && base != nil {
		v.edition = base.edition
		o.edition--
	}
	v.encode()
	return v
}

// newChange creates a version based on another one, with changed keys.
func (o *operators) newChange(base *version, defect defect) *version {
	return o.newVersion(base, o.keys.change(base.keys, o.rng), defect)
}

// runConfigChanges changes the configuration repeatedly until the context ends: one change alone, two on the same base, one or several
// based on others that are still in flight, or one together with an invalid change that must be refused.
func (o *operators) runConfigChanges(ctx context.Context) {
	for step := o.rng.IntN(len(defects)); sleep(ctx, configInterval) == nil; step++ {
		base := o.current(ctx)
		if base == nil {
			continue
		}
		first := o.newChange(base, valid)
		switch o.rng.IntN(6) {
		case 5:
			o.putSeries(ctx, first)
		case 0:
			o.putOverlapping(ctx, first, o.newChange(base, valid), 0)
		case 1:
			o.putOverlapping(ctx, first, o.newChange(first, valid), time.Duration(o.rng.Int64N(int64(maxOverlapDelay))))
		case 2:
			o.putOverlapping(ctx, first, o.newChange(base, defects[step%len(defects)]), time.Duration(o.rng.Int64N(int64(maxOverlapDelay))))
		default:
			o.put(ctx, first, o.rng.IntN(o.soakRun.Shape.Core))
		}
	}
}

// putSeries puts a version and several more, each based on the one before it, which may still be in flight or come into force too late.
func (o *operators) putSeries(ctx context.Context, first *version) {
	series := []*version{first}
	for range minSeries + o.rng.IntN(seriesSpread) {
		series = append(series, o.newChange(series[len(series)-1], valid))
	}
	delay := time.Duration(o.rng.Int64N(int64(maxOverlapDelay)))
	var all sync.WaitGroup
	for i, v := range series {
		all.Go(func() {
			if sleep(ctx, time.Duration(i)*delay) == nil {
				o.put(ctx, v, i)
			}
		})
	}
	all.Wait()
}

// putOverlapping puts two versions concurrently, the second after a delay, starting at different core machines.
func (o *operators) putOverlapping(ctx context.Context, first, second *version, delay time.Duration) {
	var both sync.WaitGroup
	both.Go(func() { o.put(ctx, first, 0) })
	both.Go(func() {
		if sleep(ctx, delay) == nil {
			o.put(ctx, second, 1)
		}
	})
	both.Wait()
}

// put sends a version to one core machine after the other until one acknowledges or refuses it or configTimeout expires. A refusal
// is recorded only if no earlier attempt can have applied the version.
func (o *operators) put(ctx context.Context, v *version, attempt int) {
	callCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	o.history.recordSent(v)
	ambiguous, core := false, o.soakRun.net.CoreMachines()
	for ; callCtx.Err() == nil; attempt++ {
		status, _, err := o.soakRun.net.ControlAt(callCtx, core[attempt%len(core)], http.MethodPut, "/manifest", v.text)
		switch {
		case err == nil && status == http.StatusOK:
			o.history.recordResult(v, acknowledged)
			return
		case err == nil && isRefusal(status):
			if !ambiguous {
				o.history.recordResult(v, refused)
			}
			return
		}
		ambiguous = ambiguous || !errors.Is(err, syscall.ECONNREFUSED)
		sleep(callCtx, retryInterval)
	}
}

// isRefusal reports whether a status is a final refusal, after which put does not retry.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}, status)
}

// current reads the newest configuration from one core machine after the other; nil if none answers within configTimeout, or if the
// text is none that was put.
func (o *operators) current(ctx context.Context) *version {
	callCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	for core, attempt := o.soakRun.net.CoreMachines(), o.rng.IntN(o.soakRun.Shape.Core); callCtx.Err() == nil; attempt++ {
		if r, ok := o.readAt(callCtx, core[attempt%len(core)]); ok {
			return o.history.findByText(r.text)
		}
		sleep(callCtx, retryInterval)
	}
	return nil
}

// readAt reads the newest configuration from one core machine and records the reading.
func (o *operators) readAt(ctx context.Context, m *localnet.Machine) (r reading, ok bool) {
	r.sent = time.Now()
	status, text, err := o.soakRun.net.ControlAt(ctx, m, http.MethodGet, "/manifest", nil)
	if err != nil || status != http.StatusOK {
		return r, false
	}
	r.edition, r.text = parseEdition(text), text
	o.history.recordReading(r)
	return r, true
}

// runReads reads the configuration repeatedly until the context ends, each time from a core machine drawn by the seed.
func (o *operators) runReads(ctx context.Context) {
	rng := rand.New(rand.NewPCG(o.soakRun.Seed, 4))
	for core := o.soakRun.net.CoreMachines(); sleep(ctx, readInterval) == nil; {
		callCtx, cancel := context.WithTimeout(ctx, configTimeout)
		o.readAt(callCtx, core[rng.IntN(len(core))])
		cancel()
	}
}
