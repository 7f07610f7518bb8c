package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// How servers that answer before they have read the request are drawn: some server answers all requests with a body in one such way for a
// while, then another one in another.
const (
	minEarlyTime       = 300 * time.Millisecond
	earlyTimeSpread    = 1500 * time.Millisecond
	earlyPauseSpread   = 500 * time.Millisecond
	maxReadPause       = 400 * time.Millisecond // before a server reads the rest
	serversPerEarly    = 3                      // of so many servers one at a time
	earlyCloseFraction = 0.3                    // of the answers are followed by the end of the connection
)

// earlyAnswer is how a server answers a request that it has not read.
type earlyAnswer struct {
	name     string
	readTo   float64 // the part of the body that it reads first; just under 1 leaves a byte
	status   int     // of its answer
	interim  bool    // interim answers come first, and the answer once the body has been read
	rejected bool    // it does not run the request and says so
}

var earlyAnswers = []earlyAnswer{
	{name: "success after the head", status: http.StatusOK},
	{name: "success after half of the body", readTo: 0.5, status: http.StatusOK},
	{name: "success before the last byte", readTo: 0.999999, status: http.StatusOK},
	{name: "failure after the head", status: http.StatusInternalServerError},
	{name: "failure after half of the body", readTo: 0.5, status: http.StatusInternalServerError},
	{name: "rejection after the head", status: http.StatusServiceUnavailable, rejected: true},
	{name: "rejection after half of the body", readTo: 0.5, status: http.StatusServiceUnavailable, rejected: true},
	{name: "interim answers after the head", status: http.StatusOK, interim: true},
}

// runEarlyAnswers makes servers answer before they have read the request until the context ends. Each call changes servers of its own: those
// whose number leaves the remainder n.
func (s *soakRun) runEarlyAnswers(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(500+n)))
	groups := max(len(s.servers)/serversPerEarly, 1)
	for sleep(ctx, time.Duration(rng.Int64N(int64(earlyPauseSpread)))) == nil {
		server := s.servers[(n+groups*rng.IntN(serversPerEarly))%len(s.servers)]
		answer := earlyAnswers[rng.IntN(len(earlyAnswers))]
		span := minEarlyTime + time.Duration(rng.Int64N(int64(earlyTimeSpread)))
		s.logf("%s answers early for %s: %s", server.id, span.Round(time.Millisecond), answer.name)
		server.early.Store(&answer)
		sleep(ctx, span)
		server.early.Store(nil)
	}
}

// earlyAnswerTo returns how the server answers a request that it has not read, nil if it reads it first.
func (s *stubServer) earlyAnswerTo(r *http.Request) *earlyAnswer {
	if r.ContentLength <= 0 || s.hung.Load() || s.soakRun.faultsOver.Load() {
		return nil
	}
	return s.early.Load()
}

// answerEarly reads a part of a request's body, runs the request unless it rejects it, answers it, and reads on later or closes the connection.
func (s *stubServer) answerEarly(w http.ResponseWriter, r *http.Request, answer *earlyAnswer) {
	s.soakRun.earlyAnswers.Add(1)
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		s.soakRun.recorder.addViolation("a server can't answer early: %v", err)
		return
	}
	pause, closes := s.drawEarlyEnd()
	body := newBodyReader(s.soakRun, s.id, r)
	if err := body.read(int(answer.readTo * float64(r.ContentLength))); err != nil {
		panic(http.ErrAbortHandler) // cut off
	}
	if answer.rejected {
		w.Header().Set("Not-Delivered", "1")
		s.writeEarly(w, answer.status)
	} else {
		run := s.soakRun.recorder.runStarted(newRun(r, s.id))
		w.Header().Set("Postmark", s.id+"."+r.Header.Get("Try-Id"))
		if answer.interim {
			w.WriteHeader(http.StatusEarlyHints)
			if body.readAll() != nil {
				s.soakRun.recorder.runEnded(run, canceled)
				panic(http.ErrAbortHandler)
			}
		}
		s.soakRun.recorder.runEnded(run, answered)
		s.writeEarly(w, answer.status)
	}
	if closes {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(pause)
	if body.readAll() != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeEarly writes an answer at once.
func (s *stubServer) writeEarly(w http.ResponseWriter, status int) {
	text := fmt.Sprintf("early answer of %s\n", s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	fmt.Fprint(w, text)
	http.NewResponseController(w).Flush()
}

// drawEarlyEnd draws what follows an early answer: a pause until the server reads on, or the end of the connection.
func (s *stubServer) drawEarlyEnd() (pause time.Duration, closes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.earlyRNG.Int64N(int64(maxReadPause))), s.earlyRNG.Float64() < earlyCloseFraction
}
