package exchange

import (
	"container/heap"

	"cedarmast/balance"
)

// timerQueue is a heap of the balancer's timers, ordered by expiry; timers with equal expiry keep the order in which they were added.
type timerQueue struct {
	entries      []timer
	lastSequence uint64
}

// timer is a pending timer of the balancer; sequence orders timers with equal expiry.
type timer struct {
	expiry   balance.Time
	sequence uint64
	token    int64
}

func (t *timerQueue) Len() int { return len(t.entries) }
func (t *timerQueue) Less(i, j int) bool {
	a, b := t.entries[i], t.entries[j]
	return a.expiry < b.expiry || a.expiry == b.expiry && a.sequence < b.sequence
}
func (t *timerQueue) Swap(i, j int) { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }
func (t *timerQueue) Push(x any)    { t.entries = append(t.entries, x.(timer)) }
func (t *timerQueue) Pop() any {
	last := t.entries[len(t.entries)-1]
	t.entries = t.entries[:len(t.entries)-1]
	return last
}

// add adds a timer that expires at the given time.
func (t *timerQueue) add(expiry balance.Time, token int64) {
	t.lastSequence++
	heap.Push(t, timer{expiry, t.lastSequence, token})
}

// popExpired removes and returns the earliest timer if it has expired.
func (t *timerQueue) popExpired(now balance.Time) (timer, bool) {
	if len(t.entries) == 0 || t.entries[0].expiry > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
