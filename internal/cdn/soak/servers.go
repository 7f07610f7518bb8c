package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/cdn/abuse"
	"cedarmast/internal/cdn/localnet"
)

// stubServer is an HTTP server that takes long for some requests, fails others, drops responses and may hang. It cancels a request
// whose connection is closed.
type stubServer struct {
	id      string
	soakRun *soakRun

	registered *localnet.Server                    // sends its heartbeats
	hung       atomic.Bool                         // once set, it accepts requests and never answers
	endless    atomic.Pointer[abuse.EndlessAnswer] // sent in place of answers; nil: it answers properly

	early atomic.Pointer[earlyAnswer] // sent before a request has been read; nil: it reads first

	mu       sync.Mutex
	rng      *rand.Rand
	earlyRNG *rand.Rand // for early answers
}

// newRun returns a run of a request at a server.
func newRun(r *http.Request, server string) *run {
	return &run{path: r.URL.Path, id: r.Header.Get("Try-Id"), server: server, sender: r.Header.Get("Sender"), keyExposed: r.Header.Get("Key") != ""}
}

// plannedRun is the drawn outcome of one run.
type plannedRun struct {
	duration       time.Duration
	status         int  // of its response
	dropConnection bool // close the connection instead of responding
}

// The fractions of runs that take seconds, fail with 500, and drop their connection.
const slowFraction, failFraction, dropFraction = 0.35, 0.05, 0.05

// drawRun draws the outcome of the next run. Once faults are over, every run is short and succeeds.
func (s *stubServer) drawRun() plannedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := plannedRun{duration: 20*time.Millisecond + time.Duration(s.rng.Int64N(int64(150*time.Millisecond))), status: http.StatusOK}
	if s.soakRun.faultsOver.Load() {
		return plan
	}
	if s.rng.Float64() < slowFraction {
		plan.duration = time.Second + time.Duration(s.rng.Int64N(int64(2*time.Second)))
	}
	if s.rng.Float64() < failFraction {
		plan.status = http.StatusInternalServerError
	}
	plan.dropConnection = s.rng.Float64() < dropFraction
	return plan
}

func (s *stubServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Try-Id")
	if id != "" {
		w.Header().Set("Try-Id", id)
	}
	if addressee := r.Header.Get("Addressee"); addressee != "" && addressee != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if early := s.earlyAnswerTo(r); early != nil {
		s.answerEarly(w, r, early)
		return
	}
	if err := newBodyReader(s.soakRun, s.id, r).readAll(); err != nil {
		return // the body was incomplete
	}
	run := s.soakRun.recorder.runStarted(newRun(r, s.id))
	if s.hung.Load() {
		<-r.Context().Done()
		s.soakRun.recorder.runEnded(run, canceled)
		return
	}
	if s.answerWithoutEnd(w, id) {
		s.soakRun.recorder.runEnded(run, aborted)
		return
	}
	plan := s.drawRun()
	finished := time.NewTimer(plan.duration)
	defer finished.Stop()
	select {
	case <-finished.C:
		if plan.dropConnection {
			s.soakRun.recorder.runEnded(run, aborted)
			panic(http.ErrAbortHandler)
		}
		s.soakRun.recorder.runEnded(run, answered)
	case <-r.Context().Done():
		s.soakRun.recorder.runEnded(run, canceled)
		return
	}
	w.Header().Set("Postmark", s.id+"."+id)
	etag := s.soakRun.objects.etag(r.URL.Path)
	w.Header().Set("Etag", etag)
	if plan.status == http.StatusOK && isCachedPath(r.URL.Path) && r.Header.Get("If-None-Match") == etag {
		plan.status = http.StatusNotModified
	}
	w.WriteHeader(plan.status)
	if plan.status != http.StatusNotModified {
		fmt.Fprintf(w, "%s of %s\n", etag, s.id)
	}
}
