package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// recorder records what is observed from outside the processes: clients' requests, servers' runs, and the faults of machines.
type recorder struct {
	mu         sync.Mutex
	requests   []*request
	pipelined  []*request // sent right after another request by a client that then closed the connection
	runs       []*run
	faults     map[string][]faultSpan // by machine
	violations []string
}

// request is a client's request and its result.
type request struct {
	id, path, edge string
	kind           requestKind
	behavior       clientBehavior
	abandonAfter   time.Duration // how long the client waits before it leaves
	status         int           // of its answer; 0: none. Owned by the client's goroutine until requestEnded

	gaveUp          bool   // the client's own time, answerTimeout, ran out before its answer
	missingPostmark bool   // a success that no server sent
	objectVersion   int    // of a cached object, that the answer holds; 0: none
	key             string // sent with the request; empty: none
	keyLive         bool   // the newest configuration held the key when the request was sent
	forgedTenant    string // the tenant in the Sender header that the client set itself; empty: none
	keepAlive       bool   // sent over a keep-alive connection
	pipelined       bool   // sent right after another request
	incomplete      bool   // the keep-alive connection closed before the complete answer

	started, end time.Time // while the client waits; zero end: it still waits
	abandoned    bool
}

// run is one execution of a request at a server.
type run struct {
	path, id, server string
	sender           string // the tenant that the proxy named to the server; empty: none
	keyExposed       bool   // the server received the client's key
	started, end     time.Time
	outcome          runOutcome
}

// runOutcome is how a run ended.
type runOutcome int

const (
	running runOutcome = iota
	answered
	canceled // its connection closed before the run had ended
	aborted  // its server closed the connection instead of answering
)

// faultSpan is the time span of a fault; zero end: it still lasts.
type faultSpan struct {
	kind         string
	started, end time.Time
}

func newRecorder() *recorder { return &recorder{faults: map[string][]faultSpan{}} }

// requestStarted records a request as sent now.
func (rec *recorder) requestStarted(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.started = time.Now()
	rec.requests = append(rec.requests, req)
}

// requestAbandoned records that the client left before it had an answer.
func (rec *recorder) requestAbandoned(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.end, req.abandoned = time.Now(), true
}

// requestEnded records the end of a request that was not abandoned before.
func (rec *recorder) requestEnded(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if req.end.IsZero() {
		req.end = time.Now()
	}
}

// pipelinedRequest records a request that a client sends after req on the same connection, without waiting for the answer to req.
func (rec *recorder) pipelinedRequest(req *request) *request {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	next := &request{id: req.id + "-next", path: "/again/next", kind: requestKinds[0], edge: req.edge, key: req.key, pipelined: true, started: time.Now()}
	rec.pipelined = append(rec.pipelined, next)
	return next
}

// runStarted records that a run starts now, and returns it.
func (rec *recorder) runStarted(r *run) *run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.started = time.Now()
	rec.runs = append(rec.runs, r)
	return r
}

// runEnded records that a run ends now.
func (rec *recorder) runEnded(r *run, outcome runOutcome) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.end, r.outcome = time.Now(), outcome
}

// faultStarted records that a fault starts, and returns the function that records its end.
func (rec *recorder) faultStarted(machine, kind string) func() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	index := len(rec.faults[machine])
	rec.faults[machine] = append(rec.faults[machine], faultSpan{kind: kind, started: time.Now()})
	return func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		rec.faults[machine][index].end = time.Now()
	}
}

// addViolation records a violated check.
func (rec *recorder) addViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// pausedUntil returns the end of the last pause in a chain of pauses of a machine, or of any machine if none is named: the first
// one overlaps the time from `from` to `within` later, and each further one starts within half of that after the end of the one
// before. A message that passes through two machines may reach both of them while they are paused. Zero means that there was no
// pause.
func (rec *recorder) pausedUntil(machine string, from time.Time, within time.Duration) (until time.Time) {
	limit := from.Add(within)
	for extended := true; extended; {
		extended = false
		for name, spans := range rec.faults {
			if machine != "" && name != machine {
				continue
			}
			for _, s := range spans {
				if s.kind == pause && s.started.Before(limit) && s.end.After(from) && s.end.After(until) {
					until, limit, extended = s.end, s.end.Add(within/2), true
				}
			}
		}
	}
	return until
}

// pausedTime returns how long a machine was paused between two times.
func (rec *recorder) pausedTime(machine string, from, to time.Time) (sum time.Duration) {
	for _, s := range rec.faults[machine] {
		if s.kind != pause {
			continue
		}
		started, end := s.started, s.end
		if started.Before(from) {
			started = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		sum += max(end.Sub(started), 0)
	}
	return sum
}

// processesEnded reports whether a machine's processes were killed or restarted between two times.
func (rec *recorder) processesEnded(machine string, from, to time.Time) bool {
	return rec.hadFault(machine, from, to, kill, restart)
}

// hadFault reports whether a machine had a fault of one of the kinds between two times.
func (rec *recorder) hadFault(machine string, from, to time.Time, kinds ...string) bool {
	for _, s := range rec.faults[machine] {
		if slices.Contains(kinds, s.kind) && s.started.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return true
		}
	}
	return false
}
