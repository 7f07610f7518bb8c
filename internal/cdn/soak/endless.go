package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cedarmast/internal/cdn/abuse"
)

// How servers whose answers do not end are drawn: some server answers all requests in one such way for a while, then another one in another.
const (
	minEndlessTime     = 200 * time.Millisecond
	endlessTimeSpread  = 1300 * time.Millisecond
	endlessPauseSpread = 800 * time.Millisecond
	serversPerEndless  = 6 // of so many servers one at a time
)

// runEndlessAnswers makes servers answer without end until the context ends. Each call changes servers of its own: those whose number leaves
// the remainder n.
func (s *soakRun) runEndlessAnswers(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(300+n)))
	groups := max(len(s.servers)/serversPerEndless, 1)
	for sleep(ctx, time.Duration(rng.Int64N(int64(endlessPauseSpread)))) == nil {
		server := s.servers[(n+groups*rng.IntN(serversPerEndless))%len(s.servers)]
		answer := abuse.EndlessAnswers[rng.IntN(len(abuse.EndlessAnswers))]
		span := minEndlessTime + time.Duration(rng.Int64N(int64(endlessTimeSpread)))
		s.logf("%s answers without end for %s: %s", server.id, span.Round(time.Millisecond), answer.Name)
		server.endless.Store(&answer)
		sleep(ctx, span)
		server.endless.Store(nil)
	}
}

// answerWithoutEnd answers a request until its caller closes the connection, if the server does so now.
func (s *stubServer) answerWithoutEnd(w http.ResponseWriter, id string) bool {
	answer := s.endless.Load()
	if answer == nil || s.soakRun.faultsOver.Load() {
		return false
	}
	s.soakRun.endlessAnswers.Add(1)
	answer.Send(w, id)
	return true
}
