package edge

import (
	"errors"
	"time"
)

// This file is how long this router may rely on what it holds, by the proof of its copy (statesync.Replica.Proof). Whoever asks here does so
// BEFORE it loads the plan: the copy puts a configuration into force before it moves its proof on, so the plan that is loaded afterwards
// lacks nothing that the proof is of. The other way round, a plan might be older than the proof. All times are of the steady clock.

const (
	revokeMarginPart  = 20                     // of revoke, by which a proof is given up earlier: clocks that drift, and the way to a server
	leastRevokeMargin = 100 * time.Millisecond // of that margin
	currentPart       = 2                      // of contact: a router with a younger proof knows all but the newest
	editionMarginPart = 20                     // of edition_time, by which a router that says that a key does not exist must know better
)

// errNotProven is the cause where a keyed request is refused because this router can't prove that it knows which keys were taken away.
var errNotProven = errors.New("it is not proven that all removed keys are known")

// mayRun tells whether keyed requests that were sent until now may run by the plan that is loaded after this call; else errNotProven. The
// plan lacks no removal that was acknowledged more than revoke ago.
func (e *Edge) mayRun(now time.Time) error {
	revoke := e.set.Bounds.Revoke
	if revoke == 0 || now.Sub(e.replica.Proof()) < revoke-revokeMargin(revoke) {
		return nil
	}
	return errNotProven
}

// revokeMargin is how much earlier than revoke a proof is given up.
func revokeMargin(revoke time.Duration) time.Duration {
	return max(revoke/revokeMarginPart, leastRevokeMargin)
}

// current tells whether this router surely knows all that had been acknowledged a short while ago: a part of contact, and less than edition_time,
// after which every router in touch must know of it.
func (e *Edge) current() bool {
	within := e.set.Bounds.Contact / currentPart
	if edition := e.set.Bounds.Edition; edition > 0 {
		within = min(within, edition-edition/editionMarginPart)
	}
	return time.Since(e.replica.Proof()) < within
}
