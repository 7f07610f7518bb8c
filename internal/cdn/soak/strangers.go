package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/cdn/abuse"
)

// How abuse is drawn: some machine is abused in some way for a while, then another one.
const (
	minAbuseConnections    = 5
	abuseConnectionsSpread = 60
	minAbuseTime           = 300 * time.Millisecond
	abuseTimeSpread        = 1500 * time.Millisecond
	abusePauseSpread       = time.Second
)

// runAbuse plays callers that send what no client or process would, on all ports, until the context ends. What they send is never meant to
// be taken.
func (s *soakRun) runAbuse(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	attacks := slices.DeleteFunc(slices.Clone(abuse.Attacks), func(a abuse.Attack) bool { return a.SpeaksAsPeer })
	for ctx.Err() == nil {
		attack, machine := attacks[rng.IntN(len(attacks))], s.net.Machines[rng.IntN(len(s.net.Machines))]
		connections := minAbuseConnections + rng.IntN(abuseConnectionsSpread)
		span := minAbuseTime + time.Duration(rng.Int64N(int64(abuseTimeSpread)))
		s.logf("%s: %s, %d connections for %s", machine.Name, attack.Name, connections, span.Round(time.Millisecond))
		attackCtx, stop := context.WithTimeout(ctx, span)
		attack.Run(attackCtx, machine, connections, rng.Uint64())
		stop()
		sleep(ctx, time.Duration(rng.Int64N(int64(abusePauseSpread))))
	}
}

// checkMemory checks that no process has held more memory than it is told to keep within. The race detector takes memory of its own.
func (s *soakRun) checkMemory() {
	if raceDetector {
		return
	}
	for _, peak := range s.net.PeakMemory() {
		if peak.Exceeds() {
			s.recorder.addViolation("memory: %s", peak)
		}
	}
}
