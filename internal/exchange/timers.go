package exchange

import (
	"container/heap"

	"cedarmast/balance"
)

// timers are the decisions' timers, the earliest first; those of one time keep their order.
type timers struct {
	all  []timer
	made uint64
}

type timer struct {
	at    balance.Time
	order uint64
	token int64
}

func (t *timers) Len() int { return len(t.all) }
func (t *timers) Less(i, j int) bool {
	a, b := t.all[i], t.all[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (t *timers) Swap(i, j int) { t.all[i], t.all[j] = t.all[j], t.all[i] }
func (t *timers) Push(x any)    { t.all = append(t.all, x.(timer)) }
func (t *timers) Pop() any {
	last := t.all[len(t.all)-1]
	t.all = t.all[:len(t.all)-1]
	return last
}

func (t *timers) set(at balance.Time, token int64) {
	t.made++
	heap.Push(t, timer{at, t.made, token})
}

// due takes the next timer that is due, if any.
func (t *timers) due(now balance.Time) (timer, bool) {
	if len(t.all) == 0 || t.all[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
