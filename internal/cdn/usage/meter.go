package usage

import (
	"maps"
	"sync"
	"time"
)

// mostWindows bounds the windows that a meter holds: those that the log has not fixed. Past it the oldest is let go.
const mostWindows = 720

// settleTime is how long after a window's end its counts may still change: a server's word that it did not run a request takes it out again.
const settleTime = time.Second

// Meter counts the requests of one life of a proxy by tenant and report window. All moments are of true time. It is safe for use by many
// goroutines.
type Meter struct {
	node, life string
	window     time.Duration

	mu       sync.Mutex
	sequence uint64
	fixed    int64 // windows up to this one are fixed in the log
	windows  map[int64]Counts
}

// NewMeter returns an empty meter of a life of a node.
func NewMeter(node, life string, window time.Duration) *Meter {
	return &Meter{node: node, life: life, window: window, windows: map[int64]Counts{}}
}

// Count adds a request of a tenant to the window of a moment, and returns that window. One that is fixed already takes no more. Requests
// without a tenant are not counted.
func (m *Meter) Count(tenant string, at time.Time) (round int64) {
	round = RoundOf(at, m.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(tenant, round, 1)
	return round
}

// Withdraw takes a request out of the window in which it was counted.
func (m *Meter) Withdraw(tenant string, round int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[round][tenant] > 0 {
		m.add(tenant, round, -1)
	}
}

// add changes a count. The caller holds the lock.
func (m *Meter) add(tenant string, round, by int64) {
	if round <= m.fixed || tenant == "" {
		return
	}
	counts := m.windows[round]
	if counts == nil {
		counts = Counts{}
		m.windows[round] = counts
		m.letGo()
	}
	if counts[tenant] += by; counts[tenant] == 0 {
		delete(counts, tenant)
	}
}

// letGo keeps the number of windows within its bound.
func (m *Meter) letGo() {
	if len(m.windows) <= mostWindows {
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

// Fixed lets the windows go that are fixed in the log.
func (m *Meter) Fixed(round int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fixed = max(m.fixed, round)
	maps.DeleteFunc(m.windows, func(round int64, _ Counts) bool { return round <= m.fixed })
}

// Report is what has been counted in windows that are not fixed, as of a moment.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	r := Report{Node: m.node, Life: m.life, Sequence: m.sequence, Final: RoundOf(now.Add(-settleTime), m.window) - 1, Windows: map[int64]Counts{}}
	for round, counts := range m.windows {
		if len(counts) > 0 {
			r.Windows[round] = maps.Clone(counts)
		}
	}
	return r
}

// Request is the account of one request that servers run for a tenant: it is counted in the window in which it first left for a server that may
// have begun it, and taken out again when no server that it went to has begun it.
type Request struct {
	meter *Meter
	now   func() time.Time // true time

	mu     sync.Mutex
	tenant string
	round  int64
	open   int // attempts that a server may have begun
}

// NewRequest returns the account of a request that is not counted yet.
func NewRequest(m *Meter, now func() time.Time) *Request { return &Request{meter: m, now: now} }

// Begun notes that the request leaves for a server.
func (r *Request) Begun(tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open++; r.open == 1 {
		r.tenant = tenant
		r.round = r.meter.Count(tenant, r.now())
	}
}

// NotRun notes that a server that it went to did not begin it.
func (r *Request) NotRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open--; r.open == 0 {
		r.meter.Withdraw(r.tenant, r.round)
	}
}
