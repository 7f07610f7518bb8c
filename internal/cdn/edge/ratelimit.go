package edge

import (
	"context"
	"sync"
	"time"

	"cedarmast/internal/cdn/bootconfig"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
)

// rateLimiter is a token bucket for this router's share of the rate at which all routers together may send requests to a service's servers
// (clusterstate.State.RateShare). Its burst is small, so that the sum over all routers stays under the ceiling in every window.
type rateLimiter struct {
	mu         sync.Mutex
	perSecond  float64 // refill rate; 0 means unlimited
	burst      float64
	tokens     float64
	refilledAt time.Time // time of the last refill

	requests  int       // requests for a server since the last sample, whether let through or not
	sampledAt time.Time // time of that sample
	demand    float64   // requests per second, smoothed
}

const (
	rateFraction      = 0.97 // of the ceiling; the rest is for clock differences and for requests that cross a window's edge
	demandInterval    = 500 * time.Millisecond
	demandSmoothing   = 0.5 // weight of the newest sample in the smoothed demand
	reservedFraction  = 0.2 // of the burst, reserved for a service's highest rank
	minReportedDemand = 0.5 // requests per second; less is not reported
)

// setRate sets the limit to perS requests per second; 0 removes it.
func (r *rateLimiter) setRate(perS float64, b bootconfig.Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond := perS * rateFraction
	burst := max(perS*(b.CeilingExcess-rateFraction)*b.CeilingWindow.Seconds()*0.7, 1)
	if r.perSecond == 0 && perSecond > 0 {
		r.tokens, r.refilledAt = burst, time.Now()
	}
	r.perSecond, r.burst = perSecond, burst
	r.tokens = min(r.tokens, burst)
}

// countDemand counts a request that needs a server.
func (r *rateLimiter) countDemand() {
	r.mu.Lock()
	r.requests++
	r.mu.Unlock()
}

// sampleDemand returns the smoothed demand in requests per second, 0 if there is no limit, and starts the next sample.
func (r *rateLimiter) sampleDemand(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if span := now.Sub(r.sampledAt).Seconds(); !r.sampledAt.IsZero() && span > 0 {
		r.demand += demandSmoothing * (float64(r.requests)/span - r.demand)
	}
	r.requests, r.sampledAt = 0, now
	if r.perSecond <= 0 {
		return 0
	}
	return r.demand
}

// reportDemand periodically reports this router's demand per service to the duty holder (the core machine that State.Duty names), which
// divides the rate limits among the routers by demand. Nothing is sent while there is no demand.
func (e *Edge) reportDemand(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			needs, holder := clusterstate.Needs{Node: e.config.Node, Per: map[string]float64{}}, ""
			e.replica.View(func(s *clusterstate.State) {
				holder = s.Duty.Holder
				for name, svc := range e.services {
					if demand := svc.limiter.sampleDemand(now); demand >= minReportedDemand && !svc.life.removed.Load() {
						needs.Per[name] = demand
					}
				}
			})
			if len(needs.Per) == 0 || holder == "" {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, demandInterval)
			if _, err := peerrpc.Call[clusterstate.Needs, bool](callCtx, e.peers.At(e.config.InternalAddress(holder, bootconfig.ConfigStorePort)),
				"ConfigStore.Need", &needs); err != nil {
				e.log.Debug("cannot report demand", "err", err)
			}
			cancel()
		}
	}
}

// take takes a token if one is available. A request that ranks below others of its service leaves the reserved tokens to those.
func (r *rateLimiter) take(lowRank bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond <= 0 {
		return true
	}
	now := time.Now()
	r.tokens = min(r.tokens+r.perSecond*now.Sub(r.refilledAt).Seconds(), r.burst)
	r.refilledAt = now
	if r.tokens < r.minTokens(lowRank) {
		return false
	}
	r.tokens--
	return true
}

// charge takes n tokens for requests that were sent already, even if the bucket goes into debt: later requests wait for it. A negative n
// returns unused tokens.
func (r *rateLimiter) charge(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(max(r.tokens-float64(n), -r.burst), r.burst)
}

// minTokens returns how many tokens must be available for one more request. It is never more than the burst: otherwise a very small rate
// would let no request of a low rank through.
func (r *rateLimiter) minTokens(lowRank bool) float64 {
	if lowRank {
		return min(1+r.burst*reservedFraction, r.burst)
	}
	return 1
}

// waitTime returns how long until one more request may be sent.
func (r *rateLimiter) waitTime(lowRank bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	needed := r.minTokens(lowRank)
	if r.perSecond <= 0 || r.tokens >= needed {
		return 0
	}
	return time.Duration((needed - r.tokens) / r.perSecond * float64(time.Second))
}

// rateView is a snapshot of a rate limiter for the state log.
type rateView struct{ perSecond, tokens, burst, demand float64 }

// view returns a snapshot.
func (r *rateLimiter) view() rateView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rateView{perSecond: r.perSecond, tokens: r.tokens, burst: r.burst, demand: r.demand}
}

// hasSpare reports whether at least half of the burst is available: background requests leave the other half to requests that somebody
// waits for.
func (r *rateLimiter) hasSpare() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.perSecond <= 0 || min(r.tokens+r.perSecond*time.Since(r.refilledAt).Seconds(), r.burst) >= r.burst/2
}
