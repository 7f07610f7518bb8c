package balance

import "time"

// initEstimates sets the estimates before any answer; with a shorter latency slow work would seem silent.
func (b *Balancer) initEstimates() {
	b.cacheGate, b.originGate = gate{ratio: 1}, gate{ratio: 1}
	b.retryBudget, b.fleetLatency, b.latency = retryBurst*b.share(), b.target/4, b.target/4
}

// overShare counts a request and tells whether its tenant is over its allowance divided by the routers. An
// isolated router may get any part of the traffic: it compares tenants, and of one that asks more by its
// allowance than the others do, a random part as large as the excess is over.
func (b *Balancer) overShare(tenant string) bool {
	span, asked, allowed, index := b.cfg.OverloadFor, 0.0, 0.0, -1
	if b.isolated() {
		span *= isolatedFactor
	}
	for i, t := range b.cfg.Tenants {
		if t.Name == tenant {
			index = i
		} else {
			asked, allowed = asked+b.tenantRates[i].rate(b.now, span), allowed+t.AllowancePerS
		}
	}
	if index < 0 {
		return false
	}
	rate, allowance := b.tenantRates[index].add(b.now, span, 1), b.cfg.Tenants[index].AllowancePerS
	if !b.isolated() || allowed == 0 {
		return rate > allowance*b.share()
	}
	return asked > 0 && b.rng.Float64() > shareSlack*asked/allowed*allowance/rate // 0: none to compare with
}

// closeIfIdle closes the connections to s some time after the last attempt if they are multiplexed: each of
// many routers then uses a server rarely, and all their open connections would fill its connection table.
func (b *Balancer) closeIfIdle(s *server) {
	if s.lastUsed = b.now; b.cfg.StreamsPerConn > 1 && b.isolated() {
		b.after(idleTargets*b.target, func() {
			if s.inFlight == 0 && b.now.Sub(s.lastUsed) >= idleTargets*b.target {
				s.connected = false
				b.emit(CloseIdle{Server: s.Server})
			}
		})
	}
}

// recordAnswer updates the mean latency of one target's answers, twenty to a hundred, here and at routers
// that report theirs. Silent caches don't count: dead ones in a lost zone would look like general overload.
func (b *Balancer) recordAnswer(took time.Duration) {
	perTarget := float64(b.target) / float64(max(b.now.Sub(b.lastAnswer), 1)) // answers per target
	if b.isolated() {
		perTarget = 0
	}
	samples := min(loadWindow*float64(max(len(b.caches), 1)), maxSamples, max(perTarget, minSamples))
	b.fleetLatency += time.Duration(float64(took-b.fleetLatency) / samples)
	b.lastAnswer, b.unanswered = b.now, 0
}
