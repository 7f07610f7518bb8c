package cancellation

import (
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// maxStatsKeys is the maximum number of keys with statistics of their own. Later routes share those of otherRoutes.
const (
	maxStatsKeys  = 256
	maxRouteBytes = 256
	otherRoutes   = "other"
)

// Tracker tracks the callers of a process and counts them by kind and route. It is a prometheus.Collector that creates its metrics
// only when they are collected.
type Tracker struct {
	OnViolation func(Violation) // called on each violation of the invariant; set before use, may be nil

	mu    sync.RWMutex
	byKey map[statsKey]*callerStats

	cancelledMu sync.Mutex
	cancelled   map[*Caller]struct{} // cancelled callers that are not closed or have attempts in flight
	detecting   bool                 // the stall detector is running
	runDetector func()               // runs the stall detector, while cancelled callers remain; replaced in tests

	stalls stallDetector
}

// Violation is a violation of the invariant.
type Violation struct {
	Kind            Kind
	Route           string
	SentAfterCancel bool          // an attempt was sent after its caller's cancellation; if false, an attempt ended late
	SinceCancel     time.Duration // since the caller's cancellation
	Overrun         time.Duration // past the allowed end
	Finishing       bool          // an attempt with the policy Finish was in flight at the cancellation
}

// maxLogged is the maximum number of violations that a process logs. All are counted.
const maxLogged = 50

// LogViolations logs each violation from now on, at most maxLogged.
func (t *Tracker) LogViolations(log hclog.Logger) {
	var logged atomic.Int64
	t.OnViolation = func(b Violation) {
		if logged.Add(1) <= maxLogged {
			log.Warn("attempt outlived its cancelled caller", "caller", b.Kind, "route", b.Route,
				"begun", b.SentAfterCancel, "after", b.SinceCancel, "late", b.Overrun, "finished", b.Finishing)
		}
	}
}

// report passes a violation to OnViolation.
func (t *Tracker) report(b Violation) {
	if t.OnViolation != nil {
		t.OnViolation(b)
	}
}

// statsKey identifies callers that are counted together.
type statsKey struct {
	kind  Kind
	route string
}

// callerStats holds the counters of one statsKey.
type callerStats struct {
	statsKey
	waiting, attemptsInFlight   atomic.Int64
	cancelled, endedAfterCancel atomic.Int64
	begunAfterCancel, endedLate atomic.Int64 // violations of the invariant
	cancelToLastEnd             histogram
}

// NewTracker returns a tracker without callers.
func NewTracker() *Tracker {
	t := &Tracker{byKey: map[statsKey]*callerStats{}, cancelled: map[*Caller]struct{}{}}
	t.runDetector = t.detectStalls
	return t
}

// trackCancelled keeps a cancelled caller until it is closed and nothing is in flight for it. The stall detector runs from the first
// such caller's cancellation until none remains; otherwise no timer runs.
func (t *Tracker) trackCancelled(c *Caller, now time.Time) {
	t.cancelledMu.Lock()
	defer t.cancelledMu.Unlock()
	t.cancelled[c] = struct{}{} // bounded by the number of attempts in flight
	if !t.detecting {
		t.detecting = true
		t.stalls.start(now)
		go t.runDetector()
	}
}

// detectStalls runs the stall detector's ticks until no cancelled caller remains.
func (t *Tracker) detectStalls() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range ticker.C {
		t.stalls.tick(time.Now())
		if t.stopIfIdle() {
			return
		}
	}
}

// stopIfIdle stops the stall detector if no cancelled caller remains, and reports whether it did.
func (t *Tracker) stopIfIdle() bool {
	t.cancelledMu.Lock()
	defer t.cancelledMu.Unlock()
	if len(t.cancelled) > 0 {
		return false
	}
	t.detecting = false
	t.stalls.stop()
	return true
}

// untrack removes a cancelled caller that has ended.
func (t *Tracker) untrack(c *Caller) {
	t.cancelledMu.Lock()
	defer t.cancelledMu.Unlock()
	delete(t.cancelled, c)
}

// OverdueCount returns the number of cancelled callers that still have something in flight past the allowed end.
func (t *Tracker) OverdueCount(now time.Time) int {
	t.cancelledMu.Lock()
	callers := make([]*Caller, 0, len(t.cancelled))
	for c := range t.cancelled {
		callers = append(callers, c)
	}
	t.cancelledMu.Unlock()
	n := 0
	for _, c := range callers {
		c.mu.Lock()
		if now.After(c.endDeadline(now)) && !(c.closed && c.inFlight == 0) {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Violations returns the number of violations of the package's invariant: attempts that were sent after their caller's cancellation,
// and callers for which something was or is in flight past the allowed end.
func (t *Tracker) Violations() int64 {
	return t.sum(func(f *callerStats) *atomic.Int64 { return &f.begunAfterCancel }) +
		t.sum(func(f *callerStats) *atomic.Int64 { return &f.endedLate }) + int64(t.OverdueCount(time.Now()))
}

// statsFor returns the counters of a key, and creates them if need be.
func (t *Tracker) statsFor(key statsKey) *callerStats {
	t.mu.RLock()
	stats := t.byKey[key]
	t.mu.RUnlock()
	if stats != nil {
		return stats
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byKey) >= maxStatsKeys || len(key.route) > maxRouteBytes || !utf8.ValidString(key.route) { // other processes name routes as well
		key.route = otherRoutes
	}
	if stats = t.byKey[key]; stats == nil {
		stats = &callerStats{statsKey: key}
		t.byKey[key] = stats
	}
	return stats
}

// bucketBounds are the upper bounds of the histogram's buckets, in seconds.
var bucketBounds = [...]float64{0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 10}

// histogram counts durations. The zero value is empty.
type histogram struct {
	mu      sync.Mutex
	buckets [len(bucketBounds)]uint64 // durations up to each bound; cumulative
	count   uint64
	sum     float64
}

// observe counts a duration.
func (h *histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := d.Seconds()
	h.count++
	h.sum += seconds
	for i, bound := range bucketBounds {
		if seconds <= bound {
			h.buckets[i]++
		}
	}
}

// snapshot returns the count and sum of all durations, in seconds, and the cumulative count for each bucket bound.
func (h *histogram) snapshot() (count uint64, sum float64, buckets map[float64]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	buckets = make(map[float64]uint64, len(bucketBounds))
	for i, bound := range bucketBounds {
		buckets[bound] = h.buckets[i]
	}
	return h.count, h.sum, buckets
}

// metric describes one exported counter or gauge.
type metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*callerStats) *atomic.Int64
}

// newDesc describes a metric with the labels caller and route.
func newDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("cedarmast_"+name, help, []string{"caller", "route"}, nil)
}

var (
	metrics = []metric{
		{newDesc("requests_in_hand", "Requests that wait for their answer."), prometheus.GaugeValue,
			func(f *callerStats) *atomic.Int64 { return &f.waiting }},
		{newDesc("attempts_in_flight", "Attempts that were sent and have not ended."), prometheus.GaugeValue,
			func(f *callerStats) *atomic.Int64 { return &f.attemptsInFlight }},
		{newDesc("callers_left_total", "Callers that left before they had their answer."), prometheus.CounterValue,
			func(f *callerStats) *atomic.Int64 { return &f.cancelled }},
		{newDesc("attempts_begun_after_leave_total", "Attempts that were sent after their caller had left."), prometheus.CounterValue,
			func(f *callerStats) *atomic.Int64 { return &f.begunAfterCancel }},
		{newDesc("attempts_ended_after_leave_total", "Attempts that ended after their caller had left."), prometheus.CounterValue,
			func(f *callerStats) *atomic.Int64 { return &f.endedAfterCancel }},
		{newDesc("work_ended_late_total", "Callers that left and for whom something was under way past its bound."), prometheus.CounterValue,
			func(f *callerStats) *atomic.Int64 { return &f.endedLate }},
	}
	overdueDesc = prometheus.NewDesc("cedarmast_work_overdue",
		"Callers that have left and for whom something is under way past its bound.", nil, nil)
	lastEndDesc = newDesc("leave_to_last_end_seconds", "Time from a caller's leave to the end of the last attempt for it.")
)

// Describe implements prometheus.Collector.
func (t *Tracker) Describe(out chan<- *prometheus.Desc) {
	for _, m := range metrics {
		out <- m.desc
	}
	out <- lastEndDesc
	out <- overdueDesc
}

// Collect implements prometheus.Collector.
func (t *Tracker) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(overdueDesc, prometheus.GaugeValue, float64(t.OverdueCount(time.Now())))
	t.mu.RLock()
	defer t.mu.RUnlock()
	for key, stats := range t.byKey {
		for _, m := range metrics {
			out <- prometheus.MustNewConstMetric(m.desc, m.kind, float64(m.read(stats).Load()), string(key.kind), key.route)
		}
		count, sum, buckets := stats.cancelToLastEnd.snapshot()
		out <- prometheus.MustNewConstHistogram(lastEndDesc, count, sum, buckets, string(key.kind), key.route)
	}
}

// CancelledCount returns the number of callers that were cancelled, over all kinds and routes.
func (t *Tracker) CancelledCount() int64 {
	return t.sum(func(f *callerStats) *atomic.Int64 { return &f.cancelled })
}

// sum adds up one counter over all keys.
func (t *Tracker) sum(counter func(*callerStats) *atomic.Int64) (total int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, stats := range t.byKey {
		total += counter(stats).Load()
	}
	return total
}
