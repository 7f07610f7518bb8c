package departure

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// mostSubjects is how many have figures of their own; the routes of later ones share those of otherRoutes.
const (
	mostSubjects = 256
	otherRoutes  = "other"
)

// Ledger is a process's account of its callers, by kind and route. It is a prometheus.Collector: figures are put into words only when
// they are asked for.
type Ledger struct {
	OnBreach func(Breach) // called where the invariant is broken; set before use, may be nil

	mu  sync.RWMutex
	all map[subject]*figures

	leavingMu sync.Mutex
	leaving   map[*Caller]struct{} // that have left and for whom something is still under way
	pulsing   bool                 // the process looks for standstills
	pulse     func()               // looks for them, while something is under way

	standstill standstill
}

// Breach is one breach of the invariant.
type Breach struct {
	Kind     Kind
	Route    string
	Begun    bool          // an attempt was sent after its caller had left; else something ended late
	After    time.Duration // from the leave
	Late     time.Duration // past the bound
	Finished bool          // what was under way was to be finished
}

// mostLogged is how many breaches a process logs; all are counted.
const mostLogged = 50

// LogBreaches logs breaches.
func (l *Ledger) LogBreaches(log hclog.Logger) {
	var logged atomic.Int64
	l.OnBreach = func(b Breach) {
		if logged.Add(1) <= mostLogged {
			log.Warn("work for a caller that had left", "caller", b.Kind, "route", b.Route, "begun", b.Begun, "after", b.After, "late", b.Late, "finished", b.Finished)
		}
	}
}

func (l *Ledger) tell(b Breach) {
	if l.OnBreach != nil {
		l.OnBreach(b)
	}
}

// subject is whose figures are kept apart.
type subject struct {
	kind  Kind
	route string
}

// figures are one subject's.
type figures struct {
	subject
	inHand, attempts      atomic.Int64
	left, endedAfter      atomic.Int64
	begunAfter, endedLate atomic.Int64 // breaches of the invariant
	lastEnd               histogram
}

// NewLedger returns an empty account.
func NewLedger() *Ledger {
	l := &Ledger{all: map[subject]*figures{}, leaving: map[*Caller]struct{}{}}
	l.pulse = l.pulseWhileLeaving
	return l
}

// note keeps a caller that has left until nothing is under way for it. While there are any the process looks for standstills, from that
// caller's leave on; else nothing wakes it.
func (l *Ledger) note(c *Caller, now time.Time) {
	l.leavingMu.Lock()
	defer l.leavingMu.Unlock()
	l.leaving[c] = struct{}{} // bounded by what is under way
	if !l.pulsing {
		l.pulsing = true
		l.standstill.begin(now)
		go l.pulse()
	}
}

// pulseWhileLeaving notes the time as long as something is under way for a caller that has left.
func (l *Ledger) pulseWhileLeaving() {
	turn := time.NewTicker(pulseEvery)
	defer turn.Stop()
	for range turn.C {
		l.standstill.pulse(time.Now())
		if l.endPulses() {
			return
		}
	}
}

// endPulses ends the pulses if nothing is under way any more.
func (l *Ledger) endPulses() bool {
	l.leavingMu.Lock()
	defer l.leavingMu.Unlock()
	if len(l.leaving) > 0 {
		return false
	}
	l.pulsing = false
	l.standstill.end()
	return true
}

func (l *Ledger) drop(c *Caller) {
	l.leavingMu.Lock()
	defer l.leavingMu.Unlock()
	delete(l.leaving, c)
}

// Overdue is how many callers have left for whom something is under way past its bound.
func (l *Ledger) Overdue(now time.Time) int {
	l.leavingMu.Lock()
	all := make([]*Caller, 0, len(l.leaving))
	for c := range l.leaving {
		all = append(all, c)
	}
	l.leavingMu.Unlock()
	n := 0
	for _, c := range all {
		c.mu.Lock()
		if now.After(c.bound(now)) && !(c.closed && c.open == 0) {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Violations counts the breaches of the package's invariant: attempts that were sent after their caller had left, and callers for whom
// something was or is under way past its bound.
func (l *Ledger) Violations() int64 {
	return l.sum(func(f *figures) *atomic.Int64 { return &f.begunAfter }) +
		l.sum(func(f *figures) *atomic.Int64 { return &f.endedLate }) + int64(l.Overdue(time.Now()))
}

func (l *Ledger) figuresOf(s subject) *figures {
	l.mu.RLock()
	f := l.all[s]
	l.mu.RUnlock()
	if f != nil {
		return f
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all) >= mostSubjects {
		s.route = otherRoutes
	}
	if f = l.all[s]; f == nil {
		f = &figures{subject: s}
		l.all[s] = f
	}
	return f
}

// bounds are the upper bounds of the histogram's buckets, in seconds.
var bounds = [...]float64{0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 10}

// histogram counts spans. The zero value is empty.
type histogram struct {
	mu      sync.Mutex
	buckets [len(bounds)]uint64 // spans up to each bound
	count   uint64
	sum     float64
}

func (h *histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seconds := d.Seconds()
	h.count++
	h.sum += seconds
	for i, bound := range bounds {
		if seconds <= bound {
			h.buckets[i]++
		}
	}
}

func (h *histogram) read() (count uint64, sum float64, buckets map[float64]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	buckets = make(map[float64]uint64, len(bounds))
	for i, bound := range bounds {
		buckets[bound] = h.buckets[i]
	}
	return h.count, h.sum, buckets
}

// metric is one family of figures.
type metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*figures) *atomic.Int64
}

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("cedarmast_"+name, help, []string{"caller", "route"}, nil)
}

var (
	metrics = []metric{
		{describe("requests_in_hand", "Requests that wait for their answer."), prometheus.GaugeValue,
			func(f *figures) *atomic.Int64 { return &f.inHand }},
		{describe("attempts_in_flight", "Attempts that were sent and have not ended."), prometheus.GaugeValue,
			func(f *figures) *atomic.Int64 { return &f.attempts }},
		{describe("callers_left_total", "Callers that left before they had their answer."), prometheus.CounterValue,
			func(f *figures) *atomic.Int64 { return &f.left }},
		{describe("attempts_begun_after_leave_total", "Attempts that were sent after their caller had left."), prometheus.CounterValue,
			func(f *figures) *atomic.Int64 { return &f.begunAfter }},
		{describe("attempts_ended_after_leave_total", "Attempts that ended after their caller had left."), prometheus.CounterValue,
			func(f *figures) *atomic.Int64 { return &f.endedAfter }},
		{describe("work_ended_late_total", "Callers that left and for whom something was under way past its bound."), prometheus.CounterValue,
			func(f *figures) *atomic.Int64 { return &f.endedLate }},
	}
	overdueDesc = prometheus.NewDesc("cedarmast_work_overdue", "Callers that have left and for whom something is under way past its bound.", nil, nil)
	lastEndDesc = describe("leave_to_last_end_seconds", "Time from a caller's leave to the end of the last attempt for it.")
)

// Describe implements prometheus.Collector.
func (l *Ledger) Describe(out chan<- *prometheus.Desc) {
	for _, m := range metrics {
		out <- m.desc
	}
	out <- lastEndDesc
	out <- overdueDesc
}

// Collect implements prometheus.Collector.
func (l *Ledger) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(overdueDesc, prometheus.GaugeValue, float64(l.Overdue(time.Now())))
	l.mu.RLock()
	defer l.mu.RUnlock()
	for s, f := range l.all {
		for _, m := range metrics {
			out <- prometheus.MustNewConstMetric(m.desc, m.kind, float64(m.read(f).Load()), string(s.kind), s.route)
		}
		count, sum, buckets := f.lastEnd.read()
		out <- prometheus.MustNewConstHistogram(lastEndDesc, count, sum, buckets, string(s.kind), s.route)
	}
}

// Left is how many callers have left, over all routes.
func (l *Ledger) Left() int64 { return l.sum(func(f *figures) *atomic.Int64 { return &f.left }) }

func (l *Ledger) sum(of func(*figures) *atomic.Int64) (all int64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, f := range l.all {
		all += of(f).Load()
	}
	return all
}
