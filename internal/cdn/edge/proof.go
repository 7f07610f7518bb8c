package edge

import (
	"errors"
	"time"
)

// This file decides how long this router may rely on its replica of the cluster state, by the replica's freshness proof
// (statesync.Replica.Proof): the time up to which it provably holds every acknowledged change. Callers must check BEFORE they load the
// plan: the replica puts a configuration into force before it advances the proof, so a plan that is loaded afterwards lacks nothing that
// the proof covers. In the other order the plan might be older than the proof. All times are of the monotonic clock.

const (
	revokeMarginDivisor = 20                     // a proof expires earlier by revoke divided by this, for clock drift and the way to a server
	minRevokeMargin     = 100 * time.Millisecond // lower bound of that margin
	contactDivisor      = 2                      // a router is current while its proof is younger than contact divided by this
	// A router is current, and may say that a key does not exist, only if its proof is also younger than edition_time less edition_time
	// divided by this.
	editionMarginDivisor = 20
)

// errNotProven is the error of a keyed request that is refused because this router can't prove that it knows all removed keys.
var errNotProven = errors.New("cannot prove that all removed keys are known")

// checkProof returns nil if keyed requests sent until now may run according to the plan that is loaded after this call, else errNotProven.
// That plan lacks no key removal that was acknowledged more than revoke ago.
func (e *Edge) checkProof(now time.Time) error {
	revoke := e.config.Limits.RevokeTimeout
	if revoke == 0 || now.Sub(e.replica.Proof()) < revoke-revokeMargin(revoke) {
		return nil
	}
	return errNotProven
}

// revokeMargin returns how much earlier than revoke a proof expires.
func revokeMargin(revoke time.Duration) time.Duration {
	return max(revoke/revokeMarginDivisor, minRevokeMargin)
}

// isCurrent reports whether this router provably knows all that was acknowledged a short time ago: a part of contact, and less than
// edition_time, after which every connected router must know of a change.
func (e *Edge) isCurrent() bool {
	maxAge := e.config.Limits.Contact / contactDivisor
	if edition := e.config.Limits.Edition; edition > 0 {
		maxAge = min(maxAge, edition-edition/editionMarginDivisor)
	}
	return time.Since(e.replica.Proof()) < maxAge
}
