package baseline

import (
	"hash/fnv"
	"slices"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/kit/model"
)

// Oracle returns a policy that sees the true state at each moment, which no router can: the cache, the queue and the pending
// fetches of each node, and the load of the database. It takes requests as they come, sends each to where it finishes first,
// and refuses at once what would miss its latency objective or overload the database. It is not an upper bound: it knows nothing
// of the future and doesn't weigh requests against one another, so another policy may score higher (on the small "deploy" the
// production decisions do, which shed by worth).
func Oracle(w *model.World, router int, set balance.Settings) exchange.Balancer {
	p := newPolicy(set)
	o := &oracle{policy: p, world: w, router: router, meanWork: w.MeanWork()}
	p.choose = o.choose
	return o
}

// oracle is a policy that chooses servers by the true state of the simulation.
type oracle struct {
	*policy
	world    *model.World
	router   int
	meanWork time.Duration // assumed work of a request before it runs: the mean over the run's classes
}

// retryAfter is the advice in refusals: a sooner retry will hardly find room.
const retryAfter = time.Second

// Handle handles the events of one moment and returns the actions.
func (o *oracle) Handle(now balance.Time, events []balance.Event) []balance.Action {
	actions := o.policy.Handle(now, events)
	for i, a := range actions {
		if r, ok := a.(balance.Refuse); ok {
			r.RetryAfter = min(retryAfter, o.set.MaxRetryAfter)
			actions[i] = r
		}
	}
	return actions
}

// choose prefers a node that caches the key, then one that fetches it or is placed for it, then the one that finishes first.
func (o *oracle) choose(r *request) (balance.ServerID, bool) {
	left := min(r.class.Target, r.Due.Sub(o.now))
	var soonest, holder, home *model.Node
	var soonestTime, holderTime time.Duration
	var homeScore uint64
	for _, n := range o.world.Nodes {
		s := o.servers[balance.ServerID(n.Name)] // rule 3: the list determines which servers may be used
		if s == nil || s.State != balance.Up || !n.Serves(o.router) || slices.Contains(r.attempts, balance.ServerID(n.Name)) {
			continue
		}
		completion := n.CompletionTime(o.meanWork) + o.world.RoundTrip(o.router, n)
		if soonest == nil || completion < soonestTime {
			soonest, soonestTime = n, completion
		}
		if !r.Write && n.Cached(r.Key) && (holder == nil || completion < holderTime) {
			holder, holderTime = n, completion
		}
		if at := placementScore(r.Key, n.Name); !r.Write && completion <= left/2 && (home == nil || at > homeScore) {
			home, homeScore = n, at
		}
		if !r.Write && n.FetchPending(r.Key) {
			home, homeScore = n, ^uint64(0)
		}
	}
	if holder != nil && holderTime <= left {
		return balance.ServerID(holder.Name), true
	}
	if home == nil {
		home = soonest
	}
	fetchTime, room := o.world.FetchTime()
	if home == nil || (room <= 0 && !home.FetchPending(r.Key)) || fetchTime+home.CompletionTime(o.meanWork) > left {
		return "", false
	}
	return balance.ServerID(home.Name), true
}

// placementScore returns a node's rank for a key, by rendezvous hashing.
func placementScore(key uint64, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	x := (h.Sum64() ^ key) * 0x9e3779b97f4a7c15
	return (x ^ x>>29) * 0xbf58476d1ce4e5b9
}
