package balance

import "time"

// start sets what is taken for true before anything was seen.
func (b *Balancer) start() {
	b.gate, b.originGate = gate{open: 1}, gate{open: 1}
	b.retries, b.taking, b.latency = retryBurst*b.share(), b.aim/4, b.aim/4 // less: slow work passes for silence
}

// overShare counts a tenant's request and tells whether it is over the tenant's share: over its allowance
// divided by the routers. A lone router may carry any part of the traffic: there tenants are compared, and of
// one that asks more by its allowance than the others do, so much is over, drawn.
func (b *Balancer) overShare(tenant string) bool {
	span, asked, allowed, own := b.set.OverloadFor, 0.0, 0.0, -1
	if b.lone() {
		span *= ownMemory
	}
	for i, t := range b.set.Tenants {
		if t.Name == tenant {
			own = i
		} else {
			asked, allowed = asked+b.shares[i].rate(b.now, span), allowed+t.AllowancePerS
		}
	}
	if own < 0 {
		return false
	}
	rate, allowance := b.shares[own].add(b.now, span, 1), b.set.Tenants[own].AllowancePerS
	if !b.lone() || allowed == 0 {
		return rate > allowance*b.share()
	}
	return asked > 0 && b.rng.Float64() > shareSlack*asked/allowed*allowance/rate // none to compare with
}

// hangUp closes a server's connections a while after the last attempt, where one carries many: then each of
// many routers asks a server now and then, and what all keep open for it would fill its table.
func (b *Balancer) hangUp(s *server) {
	if s.used = b.now; b.set.Streams > 1 && b.lone() {
		b.after(keepOpen*b.aim, func() {
			if s.out == 0 && b.now.Sub(s.used) >= keepOpen*b.aim {
				s.linked = false
				b.do(CloseIdle{Server: s.Server})
			}
		})
	}
}

// answered moves the mean time of an aim's answers, twenty to a hundred, here and at routers that tell of
// theirs. Silent caches have no part in it: else the dead ones of a lost zone would pass for a jam of all.
func (b *Balancer) answered(took time.Duration) {
	pace := float64(b.aim) / float64(max(b.now.Sub(b.lastAnswer), 1)) // answers in an aim
	if b.lone() {
		pace = 0
	}
	last := min(loadMemory*float64(max(len(b.caches), 1)), meanAnswers, max(pace, ownAnswers))
	b.taking += time.Duration(float64(took-b.taking) / last)
	b.lastAnswer, b.unanswered = b.now, 0
}
