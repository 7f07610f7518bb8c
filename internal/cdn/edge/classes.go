package edge

import (
	"fmt"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
)

// Routes with the same targets share one load balancer class: classes are searched and compared linearly, so that with a class for each of
// thousands of routes a change would cost the square of their number.

const (
	fetchTargetDivisor = 4   // a fetch's target is at least deadline/fetchTargetDivisor
	lateShare          = 0.3 // share of a class's requests that may miss the target
)

// classKey holds the properties by which classes differ. target and deadline are those of the route; rank 0 is the highest.
type classKey struct {
	target, deadline time.Duration
	rank             int
	kind             string
}

// newClassKey returns the class key of a route's requests at a rank.
func newClassKey(r *clusterstate.Route, rank int) classKey {
	key := classKey{target: r.Target, deadline: r.Timeout, rank: rank, kind: r.Kind}
	if key.target <= 0 {
		key.target = key.deadline / 2
	}
	// A fetch serves all later requests from the cache: one that misses a request's target is no sign of overload.
	if r.Kind == clusterstate.KindCacheable {
		key.target = max(key.target, key.deadline/fetchTargetDivisor)
	}
	return key
}

// String returns the class name.
func (k classKey) String() string {
	return fmt.Sprintf("%v %v rank %d %s", k.target, k.deadline, k.rank, k.kind)
}

// balanceClass returns the load balancer class of the key.
func (k classKey) balanceClass() balance.Class {
	c := balance.Class{Name: k.String(), Target: k.target, Deadline: k.deadline, Priority: 1 / float64(1+k.rank), LateShare: lateShare}
	if k.kind != clusterstate.KindOnceOnly {
		c.Effect = balance.Safe
	}
	return c
}

// classNames caches the class names.
type classNames map[classKey]string

// name returns the class name of a key, and adds it if it is new.
func (n classNames) name(key classKey) string {
	className, known := n[key]
	if !known {
		className = key.String()
		n[key] = className
	}
	return className
}
