package usage

import (
	"maps"
	"sync"
	"time"
)

// maxWindows bounds the windows that a meter holds, which are those not fixed yet. Beyond it the oldest is dropped.
const maxWindows = 720

// settleTime is how long after a window's end its counts may still change: a server's response that it did not run a
// request removes the request from the count.
const settleTime = time.Second

// Meter counts the requests of one process instance of a proxy by tenant and report window. All times are true time. It
// is safe for concurrent use.
type Meter struct {
	node, instance string
	window         time.Duration

	mu       sync.Mutex
	sequence uint64
	fixed    int64 // windows up to this one are fixed
	windows  map[int64]Counts
}

// NewMeter returns an empty meter of a node's process instance, with report windows of the given length.
func NewMeter(node, instance string, window time.Duration) *Meter {
	return &Meter{node: node, instance: instance, window: window, windows: map[int64]Counts{}}
}

// Count adds a request of a tenant to the window that contains at, and returns that window. Requests without a tenant,
// or in a window that is already fixed, are not counted.
func (m *Meter) Count(tenant string, at time.Time) (round int64) {
	round = RoundOf(at, m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(tenant, round, 1)
	return round
}

// Withdraw removes a request from the window in which it was counted.
func (m *Meter) Withdraw(tenant string, round int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[round][tenant] > 0 {
		m.add(tenant, round, -1)
	}
}

// add adds delta to a count. The caller holds the lock.
func (m *Meter) add(tenant string, round, delta int64) {
	if round <= m.fixed || tenant == "" {
		return
	}
	counts := m.windows[round]
	if counts == nil {
		counts = Counts{}
		m.windows[round] = counts
		m.evictOldest()
	}
	if counts[tenant] += delta; counts[tenant] == 0 {
		delete(counts, tenant)
	}
}

// evictOldest drops the oldest window if there are more than maxWindows. The caller holds the lock.
func (m *Meter) evictOldest() {
	if len(m.windows) <= maxWindows {
		return
	}
	oldest := int64(0)
	for round := range m.windows {
		if oldest == 0 || round < oldest {
			oldest = round
		}
	}
	delete(m.windows, oldest)
}

// DropFixed drops all windows up to round, which are fixed.
func (m *Meter) DropFixed(round int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fixed = max(m.fixed, round)
	maps.DeleteFunc(m.windows, func(round int64, _ Counts) bool { return round <= m.fixed })
}

// Report returns the counts of the windows that are not fixed, as of now.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	r := Report{Node: m.node, Life: m.instance, Sequence: m.sequence, Final: RoundOf(now.Add(-settleTime), m.window) - 1, Windows: map[int64]Counts{}}
	for round, counts := range m.windows {
		if len(counts) > 0 {
			r.Windows[round] = maps.Clone(counts)
		}
	}
	return r
}

// RequestCount keeps the count of one request that servers run for a tenant. The request is counted in the window of the first attempt that
// a server may have started, and removed from the count when no server that it was sent to has started it.
type RequestCount struct {
	meter *Meter
	now   func() time.Time // true time

	mu       sync.Mutex
	tenant   string
	round    int64
	attempts int // attempts that a server may have started
}

// NewRequestCount returns the RequestCount of a request that is not counted yet. now returns the true time.
func NewRequestCount(m *Meter, now func() time.Time) *RequestCount {
	return &RequestCount{meter: m, now: now}
}

// CountAttempt records that an attempt of the request is sent to a server.
func (r *RequestCount) CountAttempt(tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts++; r.attempts == 1 {
		r.tenant = tenant
		r.round = r.meter.Count(tenant, r.now())
	}
}

// UncountAttempt records that a server did not start an attempt that was sent to it.
func (r *RequestCount) UncountAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts--; r.attempts == 0 {
		r.meter.Withdraw(r.tenant, r.round)
	}
}
