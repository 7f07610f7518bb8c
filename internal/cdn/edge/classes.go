package edge

import (
	"fmt"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
)

// Routes that are judged alike share one class of the decisions: classes are searched and compared one by one, so that a change among thousands
// of routes would cost by their square.

const (
	fetchAim  = 4 // the part of its deadline within which a fetch is usual
	lateShare = 0.3
)

// classKey is what tells classes apart.
type classKey struct {
	aim, deadline time.Duration
	rank          int
	kind          string
}

func classKeyOf(r *clusterstate.Route, rank int) classKey {
	key := classKey{aim: r.Target, deadline: r.Timeout, rank: rank, kind: r.Kind}
	if key.aim <= 0 {
		key.aim = key.deadline / 2
	}
	if r.Kind == clusterstate.Shelved { // a fetch serves all who come after it: what is late for one is no sign of overload
		key.aim = max(key.aim, key.deadline/fetchAim)
	}
	return key
}

func (k classKey) String() string {
	return fmt.Sprintf("%v %v rank %d %s", k.aim, k.deadline, k.rank, k.kind)
}

// class is the decisions' class of that key.
func (k classKey) class() balance.Class {
	c := balance.Class{Name: k.String(), Aim: k.aim, Deadline: k.deadline, Worth: 1 / float64(1+k.rank), LateShare: lateShare}
	if k.kind != clusterstate.OnceOnly {
		c.Effect = balance.Safe
	}
	return c
}

// classNames makes the names of classes, each once.
type classNames map[classKey]string

func (n classNames) of(key classKey) string {
	name, known := n[key]
	if !known {
		name = key.String()
		n[key] = name
	}
	return name
}
