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

// The platform's place in a network, and the figures of the duty in its settings. They are shorter than on real days, so that tests are.
const (
	platformHost    = 250
	platformPort    = 9080
	platformPerS    = 40
	platformWindow  = time.Second
	platformDelay   = 5 * time.Second
	platformLease   = 2 * time.Second // a proof is as old as a question for news is held, half a second
	platformMaxBody = 1 << 20
)

// PlatformMood is how a stand-in platform treats calls.
type PlatformMood int

// The moods of a stand-in platform.
const (
	Answering PlatformMood = iota
	Busy                   // 429
	Failing                // 500
	Resetting              // takes the call and breaks the connection off
	Silent                 // takes the call and answers when its mood changes
)

// UsageCall is one call of the platform as it came.
type UsageCall struct {
	Holder string           `json:"-"`
	Fence  uint64           `json:"-"`
	Round  int64            `json:"round"`
	Counts map[string]int64 `json:"tallies"`
}

// Platform is a stand-in for the operators' platform. It takes usage reports and judges them: by counts of one window that differ, by
// fences that two holders use, and by holders that act by turns within a lease.
type Platform struct {
	lease time.Duration
	http  http.Server

	mu       sync.Mutex
	mood     PlatformMood
	delay    time.Duration
	changed  chan struct{} // closed and made anew with every change of mood
	windows  map[int64]map[string]int64
	holders  map[uint64]string // by fence
	fence    uint64            // the highest seen
	acts     []platformAct     // of the last lease
	statuses map[int]int       // how many calls were answered so
	breaches []string
}

// platformAct is a call that was not refused.
type platformAct struct {
	holder string
	at     time.Time
}

// NewPlatform returns a stand-in platform that answers at once.
func NewPlatform(lease time.Duration) *Platform {
	return &Platform{lease: lease, changed: make(chan struct{}), windows: map[int64]map[string]int64{}, holders: map[uint64]string{},
		statuses: map[int]int{}}
}

// Listen serves the platform's calls at an address until Stop, and returns where.
func (p *Platform) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", Error.Wrap(err)
	}
	p.http.Handler = p
	go p.http.Serve(l)
	return l.Addr().String(), nil
}

// Stop ends it without a word.
func (p *Platform) Stop() { p.http.Close() }

// Behave sets how calls are treated from now on, and how long each waits before.
func (p *Platform) Behave(mood PlatformMood, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mood, p.delay = mood, delay
	close(p.changed)
	p.changed = make(chan struct{})
}

// Windows are the counts that were taken, by window.
func (p *Platform) Windows() map[int64]map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.windows)
}

// Breaches are the rules that were broken.
func (p *Platform) Breaches() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.breaches...)
}

// Answered is how many calls were answered with a status.
func (p *Platform) Answered(status int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statuses[status]
}

func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := UsageCall{Holder: r.Header.Get("Holder")}
	fence, err := strconv.ParseUint(r.Header.Get("Fence"), 10, 64)
	call.Fence = fence
	if bad := json.NewDecoder(http.MaxBytesReader(w, r.Body, platformMaxBody)).Decode(&call); err != nil || bad != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" ||
		call.Counts == nil || r.Header.Get("Content-Type") != "application/json" {
		p.breach("no report: %s %s, fence %q, %v", r.Method, r.URL.Path, r.Header.Get("Fence"), bad)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	delay, mood, changed := p.delay, p.mood, p.changed
	p.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	switch mood {
	case Busy:
		p.answer(w, http.StatusTooManyRequests)
	case Failing:
		p.answer(w, http.StatusInternalServerError)
	case Resetting:
		p.Take(call, time.Now())
		panic(http.ErrAbortHandler)
	case Silent:
		p.Take(call, time.Now())
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	default:
		p.answer(w, p.Take(call, time.Now()))
	}
}

func (p *Platform) answer(w http.ResponseWriter, status int) {
	p.mu.Lock()
	p.statuses[status]++
	p.mu.Unlock()
	w.WriteHeader(status)
}

// Take judges a call and returns its status.
func (p *Platform) Take(call UsageCall, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, seen := p.holders[call.Fence]; seen && other != call.Holder {
		p.note("fence %d of %s and %s", call.Fence, other, call.Holder)
	}
	p.holders[call.Fence] = call.Holder
	if call.Fence < p.fence {
		return http.StatusConflict
	}
	p.fence = call.Fence
	p.act(call.Holder, now)
	if held, taken := p.windows[call.Round]; taken && !maps.Equal(held, call.Counts) {
		p.note("window %d: %v, then %v", call.Round, held, call.Counts)
	}
	p.windows[call.Round] = call.Counts
	return http.StatusOK
}

// act notes who acted, and looks for one who acted before and after another one within a lease. The caller holds the lock.
func (p *Platform) act(holder string, now time.Time) {
	for len(p.acts) > 0 && now.Sub(p.acts[0].at) > p.lease {
		p.acts = p.acts[1:]
	}
	before := false // this holder, and then another one
	mine := false
	for _, a := range p.acts {
		before = before || mine && a.holder != holder
		mine = mine || a.holder == holder
	}
	if before {
		p.note("%s, then another one, then %s within a lease", holder, holder)
	}
	p.acts = append(p.acts, platformAct{holder, now})
}

func (p *Platform) breach(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(format, args...)
}

// note writes a breach down. The caller holds the lock.
func (p *Platform) note(format string, args ...any) {
	p.breaches = append(p.breaches, fmt.Sprintf(format, args...))
}

// platformSettings are the lines of a settings file that name the platform.
func (n *Network) platformSettings(line func(key string, value any)) {
	line("yard.yard_api.address", n.platformAddress())
	line("yard.yard_api.duties", "usage")
	line("yard.yard_api.duty_per_s", platformPerS)
	line("tariff.timetable.report_window", platformWindow)
	line("tariff.timetable.usage_delay", platformDelay)
	line("tariff.timetable.lease", platformLease)
	line("tariff.timetable.fence_checked", true)
}

func (n *Network) platformAddress() string {
	return fmt.Sprintf("127.0.%d.%d:%d", n.Net, platformHost, platformPort)
}

// startPlatform starts the stand-in platform, if the network has one.
func (n *Network) startPlatform() error {
	if !n.Reports {
		return nil
	}
	n.Platform = NewPlatform(platformLease)
	_, err := n.Platform.Listen(n.platformAddress())
	return err
}
