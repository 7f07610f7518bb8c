package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// book is what was seen from outside: clients' requests, servers' runs, machines' troubles.
type book struct {
	mu       sync.Mutex
	asks     []*ask
	next     []*ask // sent behind another one by a client that closed early
	runs     []*run
	troubles map[string][]span // by machine
	breaches []string
}

// ask is one request of a client.
type ask struct {
	id, path, edge string
	kind           kind
	manner         manner
	wait           time.Duration // before it leaves
	status         int           // of its answer; 0: none. Its client's until over

	unstamped bool   // a success that no server gave
	key       string // that it bears; empty: none
	live      bool   // the newest configuration held it when the request was sent
	forged    string // the tenant that it names itself; empty: none
	kept      bool   // it came over a connection that its client keeps
	cut       bool   // that connection closed before its whole answer

	begun, end time.Time // of the client's interest; a zero end: it waits
	hasLeft    bool
}

// run is one run of a request at a server.
type run struct {
	path, id, server string
	sender           string // the tenant that the server was told; empty: none
	showsKey         bool   // the server saw a key
	begun, end       time.Time
	outcome          runOutcome
}

// runOutcome is how a run ended.
type runOutcome int

const (
	underWay runOutcome = iota
	answered
	dropped   // its connection closed before it had ended
	brokenOff // its server closed the connection in place of the answer
)

// span is the time of a trouble; a zero end: it lasts.
type span struct {
	what       string
	begun, end time.Time
}

func newBook() *book { return &book{troubles: map[string][]span{}} }

func (b *book) asked(a *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.begun = time.Now()
	b.asks = append(b.asks, a)
}

func (b *book) left(a *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.end, a.hasLeft = time.Now(), true
}

func (b *book) over(a *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.end.IsZero() {
		a.end = time.Now()
	}
}

// follows notes a request that a client sends behind another one, without waiting for its answer.
func (b *book) follows(a *ask) *ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := &ask{id: a.id + "-next", path: "/again/next", kind: kinds[0], edge: a.edge, key: a.key, begun: time.Now()}
	b.next = append(b.next, next)
	return next
}

func (b *book) begun(r *run) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.begun = time.Now()
	b.runs = append(b.runs, r)
	return r
}

func (b *book) ended(r *run, outcome runOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.end, r.outcome = time.Now(), outcome
}

// trouble notes that one begins, and returns what notes its end.
func (b *book) trouble(machine, what string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := len(b.troubles[machine])
	b.troubles[machine] = append(b.troubles[machine], span{what: what, begun: time.Now()})
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.troubles[machine][at].end = time.Now()
	}
}

func (b *book) breach(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaches = append(b.breaches, fmt.Sprintf(format, args...))
}

// pausedUntil is the end of the last of the pauses of a machine, or of any machine, that follow one another from a moment on, each within a span of
// the one before: a word that is on its way through two machines may meet both while they are paused.
func (b *book) pausedUntil(machine string, from time.Time, within time.Duration) (until time.Time) {
	last := from.Add(within)
	for extended := true; extended; {
		extended = false
		for name, all := range b.troubles {
			if machine != "" && name != machine {
				continue
			}
			for _, s := range all {
				if s.what == pause && s.begun.Before(last) && s.end.After(from) && s.end.After(until) {
					until, last, extended = s.end, s.end.Add(within/2), true
				}
			}
		}
	}
	return until
}

// paused is for how long a machine was paused between two moments.
func (b *book) paused(machine string, from, to time.Time) (sum time.Duration) {
	for _, s := range b.troubles[machine] {
		if s.what != pause {
			continue
		}
		begun, end := s.begun, s.end
		if begun.Before(from) {
			begun = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		sum += max(end.Sub(begun), 0)
	}
	return sum
}

// struck tells whether a machine's processes ended between two moments.
func (b *book) struck(machine string, from, to time.Time) bool {
	return b.troubled(machine, from, to, kill, restart)
}

// troubled tells whether a machine had one of some troubles between two moments.
func (b *book) troubled(machine string, from, to time.Time, kinds ...string) bool {
	for _, s := range b.troubles[machine] {
		if slices.Contains(kinds, s.what) && s.begun.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return true
		}
	}
	return false
}
