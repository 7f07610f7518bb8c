package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cedarmast/internal/cdn/localnet"
)

const (
	cancelTimeout   = 500 * time.Millisecond // from a client's leave to the end of the work for it, over all processes
	deadlineSlack   = 150 * time.Millisecond
	lateAnswerSlack = 500 * time.Millisecond // past a request's timeout, within which its answer must be sent
)

// pathRequests summarizes the requests of all clients for one path.
type pathRequests struct {
	firstStart         time.Time // when the first client sent its request
	lastEnd            time.Time // when the last client left or was answered
	kind               requestKind
	edges              []string
	abandoned, waiting int
}

// evaluate runs all checks after the day and builds the report.
func (s *soakRun) evaluate(ctx context.Context, faultCount int) (Report, error) {
	for _, m := range s.net.Machines { // the end of the day may have interrupted the start that follows a fault
		if err := s.net.StartMachine(m); err != nil {
			return Report{}, err
		}
	}
	settleCtx, settled := context.WithTimeout(ctx, settleTime)
	s.stopCaching(settleCtx)
	<-settleCtx.Done()
	settled()
	if err := ctx.Err(); err != nil {
		return Report{}, err
	}
	s.checkMetrics(ctx) // before the counters go with the processes
	closing := rand.New(rand.NewPCG(s.Seed, 8))
	s.playShorterShelf(ctx, closing)
	s.playClosingFault(ctx, closing)
	s.operators.current(ctx) // reads the newest configuration once no faults are injected
	s.checkRuns()
	s.checkAnswers()
	s.checkKeys()
	s.checkServing(ctx)
	s.checkEnds()
	s.checkMemory()
	rec := s.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := Report{Requests: len(rec.requests), Runs: len(rec.runs), Faults: faultCount, EndlessAnswers: int(s.endlessAnswers.Load()), EarlyAnswers: int(s.earlyAnswers.Load()), EndedEarly: s.net.EndedEarly(), Violations: rec.violations, Acknowledgements: s.acks}
	for _, req := range rec.requests {
		if req.abandoned {
			r.Abandoned++
		}
		switch {
		case req.keepAlive:
			r.KeepAlive++
		case !req.keyLive && !req.kind.public:
			r.Keyless++
		case req.willAbandon() && (req.status == http.StatusServiceUnavailable || req.status == http.StatusUnauthorized):
			r.Refused++
		}
	}
	return r, nil
}

// checkEnds checks that no process has ended that was told neither by SIGTERM nor by SIGKILL to do so.
func (s *soakRun) checkEnds() {
	for _, end := range s.net.UnexpectedEnds() {
		s.recorder.addViolation("%s", end)
	}
}

// willAbandon reports whether the client leaves without waiting for its answer.
func (req *request) willAbandon() bool {
	return req.behavior != waitsForAnswer && req.behavior != halfCloses
}

// requestsByPath summarizes the recorded requests by path. The caller holds the lock.
func (rec *recorder) requestsByPath() map[string]*pathRequests {
	byPath := map[string]*pathRequests{}
	for _, req := range rec.requests {
		requests := byPath[req.path]
		if requests == nil {
			requests = &pathRequests{kind: req.kind, firstStart: req.started}
			byPath[req.path] = requests
		}
		requests.edges = append(requests.edges, req.edge)
		if req.abandoned {
			requests.abandoned++
		} else {
			requests.waiting++
		}
		if req.end.After(requests.lastEnd) {
			requests.lastEnd = req.end
		}
	}
	return byPath
}

// checkRuns checks each run against the requests for its path: no run starts or continues half a second after the last client has
// left, except once-only requests, which are completed and never cancelled unless their proxy's process ends; and once-only requests run at
// most once. A server may read a request only after the proxy that sent it has ended.
func (s *soakRun) checkRuns() {
	rec := s.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	requestsByPath, onceRuns := rec.requestsByPath(), map[string]int{}
	var violations []string
	for _, r := range rec.runs {
		violation := func(format string, args ...any) {
			violations = append(violations, fmt.Sprintf(format, args...)+" ("+s.describePath(r.path)+")")
		}
		requests := requestsByPath[r.path]
		if requests == nil || requests.kind.cached { // proxies refresh cache entries independently of clients
			continue
		}
		bound := requests.lastEnd.Add(cancelTimeout)
		machine := ""
		if requests.kind.shared == 0 {
			machine = requests.edges[0]
		}
		if until := rec.pausedUntil(machine, requests.lastEnd.Add(-cancelTimeout), 2*cancelTimeout); until.Add(cancelTimeout).After(bound) {
			bound = until.Add(cancelTimeout)
		}
		after := func(t time.Time) time.Duration { return t.Sub(requests.lastEnd).Round(time.Millisecond) }
		switch {
		case requests.kind.onceOnly:
			if onceRuns[r.id]++; onceRuns[r.id] == 2 {
				violation("%s ran twice", r.path)
			}
			if r.started.After(bound) {
				violation("%s starts %s after its client has left", r.path, after(r.started))
			}
			if r.outcome == canceled && r.end.Before(r.started.Add(requestTimeout/2)) && !rec.processesEnded(machine, requests.firstStart, r.end.Add(deadlineSlack)) && requests.abandoned > 0 {
				violation("%s is cancelled %s after its client has left", r.path, after(r.end))
			}
		case r.started.After(bound):
			violation("%s starts at %s %s after the last client has left", r.path, r.server, after(r.started))
		case r.end.IsZero() || r.end.After(bound):
			violation("%s runs at %s until %s after the last client has left", r.path, r.server, after(r.end))
		}
	}
	rec.violations = append(rec.violations, violations...)
}

// describePath lists the requests for a path and its runs, with times in seconds since the start of the day. The caller holds the
// recorder's lock.
func (s *soakRun) describePath(path string) string {
	formatTime := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f", t.Sub(s.start).Seconds())
	}
	var parts []string
	for _, req := range s.recorder.requests {
		if req.path == path {
			parts = append(parts, fmt.Sprintf("%s sent to %s at %s, client %s, ended %s, status %d", req.id, req.edge, formatTime(req.started), behaviorNames[req.behavior], formatTime(req.end), req.status))
		}
	}
	for _, r := range s.recorder.runs {
		if r.path == path {
			parts = append(parts, fmt.Sprintf("%s ran it for %q from %s to %s, cancelled %v", r.server, r.id, formatTime(r.started), formatTime(r.end), r.outcome == canceled))
		}
	}
	return strings.Join(parts, "; ")
}

// promisesNotRun are the statuses which promise that a request has not run and will not run.
var promisesNotRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkAnswers checks that no once-only request that has run is answered as one that has not, and that a client that waits gets an answer
// within its timeout, unless its proxy's processes have ended. Only
// time in which the proxy ran counts: every pause during the request is subtracted, since the proxy's timeout starts anew after each.
// A client that waited for 4.5 s in all was answered after 3 s of them (seed 2063: its request arrived in one pause and its timeout
// expired 3 ms into the next). A client that gives up before its proxy has run for the request's timeout has nothing to complain of (seed
// 425: 2.94 s between two pauses).
func (s *soakRun) checkAnswers() {
	rec := s.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	ran := map[string]bool{}
	for _, r := range rec.runs {
		ran[r.id] = true
	}
	var violations []string
	for _, req := range rec.requests {
		if req.missingPostmark {
			violations = append(violations, fmt.Sprintf("%s (%s, a client that %s) gets a success from %s that no server sent", req.path, req.id, behaviorNames[req.behavior], req.edge))
		}
		if req.kind.onceOnly && ran[req.id] && slices.Contains(promisesNotRun, req.status) {
			violations = append(violations, fmt.Sprintf("%s (%s) has run and is answered with %d by %s (%s)", req.path, req.id, req.status, req.edge, s.describePath(req.path)))
		}
		if waits := req.behavior == waitsForAnswer || req.behavior == halfCloses; !waits || !ran[req.id] || rec.processesEnded(req.edge, req.started.Add(-time.Second), req.end) {
			continue
		}
		took := req.end.Sub(req.started) - rec.pausedTime(req.edge, req.started, req.end)
		unanswered := req.status == 0 && !(req.gaveUp && took < requestTimeout)
		if late := took > requestTimeout+lateAnswerSlack; unanswered || late {
			violations = append(violations, fmt.Sprintf("%s (%s, a client that %s) gets answer %d from %s after %s in which that proxy ran (%s)", req.path, req.id, behaviorNames[req.behavior], req.status, req.edge,
				took.Round(time.Millisecond), s.describePath(req.path)))
		}
	}
	rec.violations = append(rec.violations, violations...)
}

// The metrics that must be zero at every process after the day: violations of the invariant, and resources that were not released.
var mustBeZero = []string{"cedarmast_attempts_begun_after_leave_total", "cedarmast_work_ended_late_total", "cedarmast_work_overdue",
	"cedarmast_requests_in_hand", "cedarmast_attempts_in_flight", "cedarmast_server_connections_busy", "cedarmast_fetches_under_way"}

// Servers send heartbeats after the day too, so that a call may be in flight as metrics are read: only a metric that is not zero in every
// reading is a violation. Counters of violations stay above zero.
const (
	maxMetricsReads     = 5
	metricsReadInterval = 100 * time.Millisecond
)

// checkMetrics checks that the metrics in mustBeZero are zero on every machine, and collects the acknowledgement histograms. A machine
// that fails dumps its goroutines if logs are written.
func (s *soakRun) checkMetrics(ctx context.Context) {
	for _, m := range s.net.Machines {
		text, nonZero, err := s.settledMetrics(ctx, m)
		if err != nil {
			s.recorder.addViolation("%s: no metrics could be read: %v", m.Name, err)
			continue
		}
		s.acks.add(text)
		for _, line := range nonZero {
			s.recorder.addViolation("%s: %s", m.Name, line)
		}
		if len(nonZero) > 0 && s.Shape.Out != nil {
			s.net.Signal(m, syscall.SIGQUIT) // dumps the stacks of its goroutines
		}
	}
}

// settledMetrics reads a machine's metrics until all of mustBeZero are zero, at most maxMetricsReads times. It returns the last
// reading and the lines of it that are not zero.
func (s *soakRun) settledMetrics(ctx context.Context, m *localnet.Machine) (text string, nonZero []string, err error) {
	for reading := range maxMetricsReads {
		if reading > 0 {
			sleep(ctx, metricsReadInterval)
		}
		if text, err = s.net.ReadMetrics(ctx, m); err != nil {
			return "", nil, err
		}
		if nonZero = nonZeroMetrics(text); len(nonZero) == 0 {
			break
		}
	}
	return text, nonZero, nil
}

// nonZeroMetrics returns the lines of a Prometheus text whose metric is in mustBeZero and whose value is not zero.
func nonZeroMetrics(text string) (nonZero []string) {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		separator := strings.LastIndexByte(line, ' ')
		if separator < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line[:separator], "{")
		if value, err := strconv.ParseFloat(line[separator+1:], 64); slices.Contains(mustBeZero, name) && (err != nil || value != 0) {
			nonZero = append(nonZero, line)
		}
	}
	return nonZero
}
