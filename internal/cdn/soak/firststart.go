package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// The faults of the first start: from the first millisecond of a machine's processes on they are killed, ended and signaled, and started
// again, while nothing is acknowledged yet. Afterwards the network has to start by itself.

const (
	allCoreFraction     = 0.5 // of the runs in which all core machines are killed right after their start
	coreKillSpread      = 12 * time.Millisecond
	firstStartFraction  = 0.5 // of the other machines that are disturbed
	maxFirstStartRounds = 3
	firstSignalSpread   = 60 * time.Millisecond // from the start of the processes
	restartSpread       = 700 * time.Millisecond
)

// firstSignals are the signals that are drawn for processes that have just started.
var firstSignals = []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1}

// firstStart disturbs the first start of a network.
type firstStart struct {
	soakRun *soakRun
	ctx     context.Context
	rng     *rand.Rand
	allCore bool // all core machines are killed
	tasks   sync.WaitGroup
}

func newFirstStart(ctx context.Context, s *soakRun) *firstStart {
	rng := rand.New(rand.NewPCG(s.Seed, 9))
	return &firstStart{soakRun: s, ctx: ctx, rng: rng, allCore: rng.Float64() < allCoreFraction}
}

// firstSignal is a signal to the processes of a machine that have just started, which are started again if it ends them.
type firstSignal struct {
	signal       syscall.Signal
	delay        time.Duration // from the start
	restartAfter time.Duration
}

// disturb draws the signals of a machine that has just been started, and sends them in the background.
func (f *firstStart) disturb(n *localnet.Network, m *localnet.Machine) {
	var signals []firstSignal
	switch {
	case f.allCore && m.Core:
		signals = append(signals, firstSignal{syscall.SIGKILL, f.duration(coreKillSpread), f.duration(restartSpread)})
	case f.rng.Float64() < firstStartFraction:
		for range 1 + f.rng.IntN(maxFirstStartRounds) {
			signals = append(signals, firstSignal{firstSignals[f.rng.IntN(len(firstSignals))], f.duration(firstSignalSpread), f.duration(restartSpread)})
		}
	}
	f.tasks.Go(func() {
		for _, s := range signals {
			f.send(n, m, s)
		}
	})
}

// send sends one signal and starts the processes again that it has ended.
func (f *firstStart) send(n *localnet.Network, m *localnet.Machine, s firstSignal) {
	if sleep(f.ctx, s.delay) != nil {
		return
	}
	f.soakRun.logf("%s: %v %s after its start", m.Name, s.signal, s.delay.Round(time.Millisecond))
	if s.signal == syscall.SIGHUP {
		f.soakRun.reloadOn(n, m)
	} else {
		n.Signal(m, s.signal)
	}
	sleep(f.ctx, s.restartAfter)
	if err := n.StartMachine(m); err != nil {
		f.soakRun.recorder.addViolation("%s does not start: %v", m.Name, err)
	}
}

func (f *firstStart) duration(spread time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(spread)))
}

// logReaders draws how the readers of the processes' logs behave.
type logReaders struct {
	mu  sync.Mutex
	rng *rand.Rand
}

const (
	leavingReaderFraction  = 0.15
	stallingReaderFraction = 0.15
	maxReaderStay          = 4 * time.Second
)

// draw returns the behavior of the reader of one process's log.
func (l *logReaders) draw() localnet.LogReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch p := l.rng.Float64(); {
	case p < leavingReaderFraction:
		return localnet.LogReader{LeaveAfter: 1 + time.Duration(l.rng.Int64N(int64(maxReaderStay)))}
	case p < leavingReaderFraction+stallingReaderFraction:
		return localnet.LogReader{Stalls: true}
	}
	return localnet.LogReader{}
}
