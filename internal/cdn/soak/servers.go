package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// server is a stand-in server that works for long at times, fails, loses answers and falls silent. It drops what its caller has closed.
type server struct {
	id  string
	day *day

	told   *localnet.Server // its beats
	silent atomic.Bool      // from some moment on for good: it takes requests and answers nothing

	mu  sync.Mutex
	rng *rand.Rand
}

// work is what becomes of one run.
type work struct {
	lasts  time.Duration
	status int  // of its answer
	lost   bool // the connection ends in its place
}

const slowPart, failPart, lostPart = 0.35, 0.05, 0.05

func (s *server) draw() work {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := work{lasts: 20*time.Millisecond + time.Duration(s.rng.Int64N(int64(150*time.Millisecond))), status: http.StatusOK}
	if s.day.calm.Load() {
		return w
	}
	if s.rng.Float64() < slowPart {
		w.lasts = time.Second + time.Duration(s.rng.Int64N(int64(2*time.Second)))
	}
	if s.rng.Float64() < failPart {
		w.status = http.StatusInternalServerError
	}
	w.lost = s.rng.Float64() < lostPart
	return w
}

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Try-Id")
	if id != "" {
		rw.Header().Set("Try-Id", id)
	}
	if want := r.Header.Get("Addressee"); want != "" && want != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it never came whole
	}
	run := s.day.book.begun(&run{path: r.URL.Path, id: id, server: s.id, sender: r.Header.Get("Sender"), showsKey: r.Header.Get("Key") != ""})
	if s.silent.Load() {
		<-r.Context().Done()
		s.day.book.ended(run, dropped)
		return
	}
	w := s.draw()
	late := time.NewTimer(w.lasts)
	defer late.Stop()
	select {
	case <-late.C:
		if w.lost {
			s.day.book.ended(run, brokenOff)
			panic(http.ErrAbortHandler)
		}
		s.day.book.ended(run, answered)
	case <-r.Context().Done():
		s.day.book.ended(run, dropped)
		return
	}
	rw.Header().Set("Postmark", s.id+"."+id)
	rw.Header().Set("Etag", fmt.Sprintf("%q", r.URL.Path))
	rw.WriteHeader(w.status)
	fmt.Fprintf(rw, "%s of %s\n", r.URL.Path, s.id)
}
