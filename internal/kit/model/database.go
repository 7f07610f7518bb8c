package model

import (
	"time"

	"cedarmast/internal/kit/scenario"
)

// database is the origin behind the nodes: workers and a queue. It stalls when its load exceeds its limit for too long.
type database struct {
	config             *scenario.Database
	world              *World
	busy               int
	waiting            []func(bool)
	stalls             int  // number of troubles that stall it now
	stallEnd           Time // end of the last stall
	heldCompletions    []func()
	overload           overloadDetector
	currentSecond      int64
	requestsThisSecond int
	Peak               float64 // most requests in one second, as a multiple of the capacity
	Fetches            int
}

// capacity returns the requests per second that the workers can serve.
func (d *database) capacity() float64 { return float64(d.config.Workers) / d.config.Time.D().Seconds() }

// do requests one fetch or write and calls done with the result; ok is false if the queue is full.
func (d *database) do(done func(ok bool)) {
	now := d.world.Now()
	if now < 0 { // warm-up requests must not overload the database for the start of the run
		d.world.After(d.config.Time.D(), func() { done(true) })
		return
	}
	if second := int64(now / time.Second); second != d.currentSecond {
		d.currentSecond, d.requestsThisSecond = second, 0
	}
	d.requestsThisSecond++
	d.world.ledger.DatabaseRequested(now)
	d.Fetches++
	d.Peak = max(d.Peak, float64(d.requestsThisSecond)/max(d.capacity(), 1))
	if d.config.Fall > 0 && d.stalls == 0 && d.overload.add(now, 1, d.capacity(), d.config.Fall, d.config.FallFor.D()) {
		d.world.ledger.DatabaseFall(now)
		d.stall(d.config.StallFor.D())
		d.overload = overloadDetector{}
	}
	switch {
	case d.busy < d.config.Workers:
		d.run(done)
	case len(d.waiting) < d.config.Queue:
		d.waiting = append(d.waiting, done)
	default:
		done(false)
	}
}

func (d *database) run(done func(bool)) {
	d.busy++
	d.world.After(d.config.Time.D(), func() {
		end := func() {
			d.busy--
			if len(d.waiting) > 0 {
				next := d.waiting[0]
				d.waiting = d.waiting[1:]
				d.run(next)
			}
			done(true)
		}
		if d.stalls > 0 {
			d.heldCompletions = append(d.heldCompletions, end)
			return
		}
		end()
	})
}

// stall delays all completions for a span.
func (d *database) stall(span time.Duration) {
	d.stalls++
	d.stallEnd = max(d.stallEnd, d.world.Now()+span)
	d.world.After(span, func() {
		if d.stalls--; d.stalls > 0 {
			return
		}
		held := d.heldCompletions
		d.heldCompletions = nil
		for _, end := range held {
			end()
		}
	})
}
