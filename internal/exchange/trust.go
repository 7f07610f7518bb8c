package exchange

import (
	"math"
	"sync"
	"time"
)

// trust learns for how long an idle connection to a server is good. Servers, and what lies between, close idle
// connections sooner than they say, at times without a word: then the next request on one ends as a reset, which may
// have run for all the router knows. Such resets come at once and only past a certain age, which tells them from those
// that strike connections of any age.
type trust struct {
	mu   sync.Mutex
	ages [len(ageLimits) + 1]tally
}

// tally counts how requests on connections of one age ended; old news fades.
type tally struct {
	good, bad float64
	at        time.Time
}

// ageLimits divide the ages. The youngest are the measure for the others.
var ageLimits = [...]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond}

const (
	trustFades   = 10 * time.Second // to half: what is not used any more is tried again some time
	leastTallied = 2.0              // resets that prove nothing yet
	staleShare   = 0.12             // of an age's requests reset, over the youngest's share, and it is not used
	carefulShare = 0.02             // the same for what must not run twice
)

func ageOf(idle time.Duration) int {
	i := 0
	for i < len(ageLimits) && idle >= ageLimits[i] {
		i++
	}
	return i
}

func (t *tally) fade(now time.Time) {
	if !t.at.IsZero() {
		left := math.Exp2(-now.Sub(t.at).Seconds() / trustFades.Seconds())
		t.good, t.bad = t.good*left, t.bad*left
	}
	t.at = now
}

func (t *tally) share() float64 { return t.bad / max(t.good+t.bad, 1) }

// note books how the first word after so long an idleness came out.
func (t *trust) note(idle time.Duration, good bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.ages[ageOf(idle)]
	a.fade(now)
	if good {
		a.good++
	} else {
		a.bad++
	}
}

// limit is the age up to which idle connections are used, for a request that may be repeated or for one that may not.
func (t *trust) limit(careful bool, most time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, least := staleShare, leastTallied
	if careful {
		share, least = carefulShare, leastTallied/2
	}
	t.ages[0].fade(now)
	usual := t.ages[0].share()
	for i := 1; i < len(t.ages); i++ {
		a := &t.ages[i]
		a.fade(now)
		if a.bad >= least && a.share() > usual+share {
			return min(ageLimits[i-1], most)
		}
	}
	return most
}
