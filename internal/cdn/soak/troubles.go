package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// trouble is one thing that goes wrong with a machine, or is done to it.
type trouble struct {
	what      string
	machine   *localnet.Machine
	at, lasts time.Duration
}

// The troubles of processes. Those of servers are drawn by each request.
const (
	kill    = "kill"    // and start again after a while
	pause   = "pause"   // as a machine that is cut off: nothing is lost, and nothing is heard
	restart = "restart" // as planned, with signals around it that the settings have changed
	reload  = "reload"  // the settings file changes, and a signal says so
)

// How long troubles last, and what goes with them.
const (
	leastTrouble    = 300 * time.Millisecond
	troubleSpread   = time.Second
	longPausePart   = 0.3 // of the pauses outlast `revoke`
	longPauseBeyond = 1500 * time.Millisecond
	reloadPart      = 0.2
	reloadsAtEnd    = 3 // signals around the end of a process in order
	reloadsApart    = 120 * time.Millisecond
	smallNetwork    = 8 // machines; on a larger one each has so much less trouble that as many overlap
)

// draw draws troubles so that at most times two or three overlap, each on a machine of its own.
func draw(rng *rand.Rand, length time.Duration, n *localnet.Network) []trouble {
	var all []trouble
	for i, m := range n.Machines {
		rarer := time.Duration(1)
		if i >= n.Core {
			rarer = time.Duration(max(len(n.Machines)/smallNetwork, 1))
		}
		for at := time.Duration(rng.Int64N(int64(length / 2 * rarer))); at < length; {
			t := drawOne(rng, n.Revoke)
			t.machine, t.at = m, at
			all = append(all, t)
			at += t.lasts + rarer*(2*time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
		}
	}
	return all
}

func drawOne(rng *rand.Rand, revoke time.Duration) trouble {
	t := trouble{lasts: leastTrouble + time.Duration(rng.Int64N(int64(troubleSpread)))}
	if rng.Float64() < reloadPart {
		t.what = reload
		return t
	}
	t.what = []string{kill, pause, restart}[rng.IntN(3)]
	if t.what == pause && rng.Float64() < longPausePart {
		t.lasts = revoke + time.Duration(rng.Int64N(int64(longPauseBeyond)))
	}
	return t
}

func (d *day) strike(ctx context.Context, t trouble) {
	if sleep(ctx, t.at) != nil {
		return
	}
	d.say("%s: %s for %s", t.machine.Name, t.what, t.lasts.Round(time.Millisecond))
	over := d.book.trouble(t.machine.Name, t.what)
	defer over()
	switch t.what {
	case kill:
		d.net.Signal(t.machine, syscall.SIGKILL)
		sleep(ctx, t.lasts)
	case restart:
		d.restart(t.machine)
	case reload:
		d.reload(t.machine)
		sleep(ctx, t.lasts)
		return
	case pause:
		d.net.Signal(t.machine, syscall.SIGSTOP)
		sleep(ctx, t.lasts)
		d.net.Signal(t.machine, syscall.SIGCONT)
		return
	}
	if err := d.net.Up(t.machine); err != nil {
		d.book.breach("%s does not start: %v", t.machine.Name, err)
	}
}

// restart ends a machine's processes in order. Its settings change before and meanwhile.
func (d *day) restart(m *localnet.Machine) {
	var reloads sync.WaitGroup
	reloads.Go(func() {
		for range reloadsAtEnd {
			d.reload(m)
			time.Sleep(reloadsApart)
		}
	})
	time.Sleep(reloadsApart / 2)
	d.net.Signal(m, syscall.SIGTERM)
	reloads.Wait()
}

func (d *day) reload(m *localnet.Machine) {
	if err := d.net.Reload(m); err != nil {
		d.book.breach("%s: its settings can't be written: %v", m.Name, err)
	}
}
