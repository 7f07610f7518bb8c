package edge

import (
	"context"
	"sync"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
)

// rate is this router's share of what a service's servers may be asked, all routers together (clusterstate.Share says which). What is
// not used is saved for a moment only, so that the sum stays under the ceiling in every window.
type rate struct {
	mu     sync.Mutex
	per    float64 // a second; 0: no bound
	burst  float64
	tokens float64
	at     time.Time

	wants int       // requests that would have gone to a server, let or not, since the need was last told
	told  time.Time // when that was
	need  float64   // a second, smoothed
}

const (
	ratePart  = 0.97 // of the ceiling: for clocks and for requests that cross a window's edge
	tellEvery = 500 * time.Millisecond
	needPart  = 0.5 // of the newest span in the need
	rankPart  = 0.2 // of what may be saved, that is kept for a service's highest rank
	leastNeed = 0.5 // requests a second that are worth telling
)

func (r *rate) set(perS float64, b bootconfig.Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	per := perS * ratePart
	burst := max(perS*(b.CeilingExcess-ratePart)*b.CeilingWindow.Seconds()*0.7, 1)
	if r.per == 0 && per > 0 {
		r.tokens, r.at = burst, time.Now()
	}
	r.per, r.burst = per, burst
	r.tokens = min(r.tokens, burst)
}

// want notes a request that a server is to be asked for.
func (r *rate) want() {
	r.mu.Lock()
	r.wants++
	r.mu.Unlock()
}

// needs is what would be asked for in a second, and begins the next span.
func (r *rate) needs(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if span := now.Sub(r.told).Seconds(); !r.told.IsZero() && span > 0 {
		r.need += needPart * (float64(r.wants)/span - r.need)
	}
	r.wants, r.told = 0, now
	if r.per <= 0 {
		return 0
	}
	return r.need
}

// tell lets the holder of the duty know what this router would ask of the servers, while that is anything: the rate is cut by it.
func (e *Edge) tell(ctx context.Context) {
	turn := time.NewTicker(tellEvery)
	defer turn.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-turn.C:
			needs, holder := clusterstate.Needs{Node: e.set.Node, Per: map[string]float64{}}, ""
			e.replica.Read(func(s *clusterstate.State) {
				holder = s.Duty.Holder
				for name, sv := range e.services {
					if need := sv.rate.needs(now); need >= leastNeed {
						needs.Per[name] = need
					}
				}
			})
			if len(needs.Per) == 0 || holder == "" {
				continue
			}
			call, done := context.WithTimeout(ctx, tellEvery)
			if _, err := peerrpc.Call[clusterstate.Needs, bool](call, e.peers.At(e.set.Inner(holder, bootconfig.ConfigStorePort)), "ConfigStore.Need", &needs); err != nil {
				e.log.Debug("need not told", "err", err)
			}
			done()
		}
	}
}

// take takes one request's room if there is any. What ranks below others of its service leaves the last of it to those.
func (r *rate) take(low bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.per <= 0 {
		return true
	}
	now := time.Now()
	r.tokens = min(r.tokens+r.per*now.Sub(r.at).Seconds(), r.burst)
	r.at = now
	if r.tokens < r.least(low) {
		return false
	}
	r.tokens--
	return true
}

// spend takes room that has been used already, be there any or not: what comes next waits for it. Under 0 it gives room back that was not used.
func (r *rate) spend(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(max(r.tokens-float64(n), -r.burst), r.burst)
}

// least is what must have been saved for one more; never more than can be saved, for a sliver of a rate would let nothing through then.
func (r *rate) least(low bool) float64 {
	if low {
		return min(1+r.burst*rankPart, r.burst)
	}
	return 1
}

// wait is how long until there is room for one more.
func (r *rate) wait(low bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := r.least(low)
	if r.per <= 0 || r.tokens >= least {
		return 0
	}
	return time.Duration((least - r.tokens) / r.per * float64(time.Second))
}

// rateView is what a rate is at a moment, for whoever looks into a router.
type rateView struct{ perSecond, tokens, burst, need float64 }

func (r *rate) view() rateView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rateView{perSecond: r.per, tokens: r.tokens, burst: r.burst, need: r.need}
}

// spare tells whether half of what may be saved is there: what nobody waits for leaves the rest to those who do.
func (r *rate) spare() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.per <= 0 || min(r.tokens+r.per*time.Since(r.at).Seconds(), r.burst) >= r.burst/2
}
