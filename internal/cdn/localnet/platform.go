package localnet

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The platform's address in a network, and the settings of the usage duty. The durations are shorter than in production to keep
// tests short.
const (
	platformHost           = 250
	platformPort           = 9080
	platformCallsPerSecond = 40
	platformWindow         = time.Second
	platformDelay          = 5 * time.Second
	platformLease          = 2 * time.Second // a proof may be half a second old, as long as a request for news is held open
	platformMaxBody        = 1 << 20
)

// PlatformBehavior is how a stand-in platform responds to calls.
type PlatformBehavior int

// The behaviors of a stand-in platform.
const (
	Answering PlatformBehavior = iota // checks each call and answers
	Busy                              // answers 429
	Failing                           // answers 500
	Resetting                         // takes the call, then closes the connection without an answer
	Silent                            // takes the call, then closes the connection without an answer at the next call of SetBehavior
)

// UsageReport is one usage report as received.
type UsageReport struct {
	Holder string           `json:"-"`
	Fence  uint64           `json:"-"`
	Round  int64            `json:"round"`
	Counts map[string]int64 `json:"tallies"`
}

// Platform is a stand-in for the operators' platform. It accepts usage reports and records violations: different counts for one window, a
// fence used by two holders, and holders that act alternately within one lease.
type Platform struct {
	lease time.Duration
	http  http.Server

	mu              sync.Mutex
	behavior        PlatformBehavior
	delay           time.Duration
	behaviorChanged chan struct{} // closed and replaced at every call of SetBehavior
	windowCounts    map[int64]map[string]int64
	holders         map[uint64]string // by fence
	highestFence    uint64            // the highest seen
	recentActors    []actor           // within the last lease
	answerCounts    map[int]int       // number of answers by status
	violations      []string
}

// actor is the holder and time of a call that was not refused.
type actor struct {
	holder string
	at     time.Time
}

// NewPlatform returns a stand-in platform that answers without delay.
func NewPlatform(lease time.Duration) *Platform {
	return &Platform{lease: lease, behaviorChanged: make(chan struct{}), windowCounts: map[int64]map[string]int64{}, holders: map[uint64]string{},
		answerCounts: map[int]int{}}
}

// Listen serves calls at an address until Stop, and returns the address it listens on.
func (p *Platform) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", Error.Wrap(err)
	}
	p.http.Handler = p
	go p.http.Serve(l)
	return l.Addr().String(), nil
}

// Stop closes the listener and all connections.
func (p *Platform) Stop() { p.http.Close() }

// SetBehavior sets how further calls are answered and how long each is delayed, and releases calls that a Silent platform holds.
func (p *Platform) SetBehavior(behavior PlatformBehavior, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behavior, p.delay = behavior, delay
	close(p.behaviorChanged)
	p.behaviorChanged = make(chan struct{})
}

// Windows returns the accepted counts by window.
func (p *Platform) Windows() map[int64]map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.windowCounts)
}

// Violations returns the recorded violations.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.violations...)
}

// AnswerCount returns how many calls were answered with a status. Calls without an answer are not counted.
func (p *Platform) AnswerCount(status int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answerCounts[status]
}

func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := UsageReport{Holder: r.Header.Get("Holder")}
	fence, err := strconv.ParseUint(r.Header.Get("Fence"), 10, 64)
	call.Fence = fence
	if decodeErr := json.NewDecoder(http.MaxBytesReader(w, r.Body, platformMaxBody)).Decode(&call); err != nil || decodeErr != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" ||
		call.Counts == nil || r.Header.Get("Content-Type") != "application/json" {
		p.addViolation("invalid report: %s %s, fence %q, %v", r.Method, r.URL.Path, r.Header.Get("Fence"), decodeErr)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	delay, behavior, changed := p.delay, p.behavior, p.behaviorChanged
	p.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	switch behavior {
	case Busy:
		p.answer(w, http.StatusTooManyRequests)
	case Failing:
		p.answer(w, http.StatusInternalServerError)
	case Resetting:
		p.Accept(call, time.Now())
		panic(http.ErrAbortHandler)
	case Silent:
		p.Accept(call, time.Now())
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	default:
		p.answer(w, p.Accept(call, time.Now()))
	}
}

// answer counts and sends a status.
func (p *Platform) answer(w http.ResponseWriter, status int) {
	p.mu.Lock()
	p.answerCounts[status]++
	p.mu.Unlock()
	w.WriteHeader(status)
}

// Accept checks a usage report, records its counts and violations, and returns the status for its answer.
func (p *Platform) Accept(call UsageReport, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, seen := p.holders[call.Fence]; seen && other != call.Holder {
		p.addViolationLocked("fence %d of %s and %s", call.Fence, other, call.Holder)
	}
	p.holders[call.Fence] = call.Holder
	if call.Fence < p.highestFence {
		return http.StatusConflict
	}
	p.highestFence = call.Fence
	p.recordActor(call.Holder, now)
	if earlier, accepted := p.windowCounts[call.Round]; accepted && !maps.Equal(earlier, call.Counts) {
		p.addViolationLocked("window %d: %v, then %v", call.Round, earlier, call.Counts)
	}
	p.windowCounts[call.Round] = call.Counts
	return http.StatusOK
}

// recordActor records that a holder acted, and adds a violation if it acted both before and after another holder within a lease.
// The caller holds the lock.
func (p *Platform) recordActor(holder string, now time.Time) {
	for len(p.recentActors) > 0 && now.Sub(p.recentActors[0].at) > p.lease {
		p.recentActors = p.recentActors[1:]
	}
	interleaved := false // this holder acted, and then another one
	acted := false
	for _, a := range p.recentActors {
		interleaved = interleaved || acted && a.holder != holder
		acted = acted || a.holder == holder
	}
	if interleaved {
		p.addViolationLocked("%s, then another holder, then %s acted within a lease", holder, holder)
	}
	p.recentActors = append(p.recentActors, actor{holder, now})
}

// addViolation records a violation.
func (p *Platform) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addViolationLocked(format, args...)
}

// addViolationLocked records a violation. The caller holds the lock.
func (p *Platform) addViolationLocked(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// platformSettings writes the settings of the platform and the usage duty.
func (n *Network) platformSettings(writeLine func(key string, value any)) {
	writeLine("yard.yard_api.address", n.platformAddress())
	writeLine("yard.yard_api.duties", "usage")
	writeLine("yard.yard_api.duty_per_s", platformCallsPerSecond)
	writeLine("tariff.timetable.report_window", platformWindow)
	writeLine("tariff.timetable.usage_delay", platformDelay)
	writeLine("tariff.timetable.lease", platformLease)
	writeLine("tariff.timetable.fence_checked", true)
}

// platformAddress returns the address and port of the stand-in platform.
func (n *Network) platformAddress() string {
	return fmt.Sprintf("127.0.%d.%d:%d", n.Subnet, platformHost, platformPort)
}

// startPlatform starts the stand-in platform, if the network has one.
func (n *Network) startPlatform() error {
	if !n.UsageReports {
		return nil
	}
	n.Platform = NewPlatform(platformLease)
	_, err := n.Platform.Listen(n.platformAddress())
	return err
}
