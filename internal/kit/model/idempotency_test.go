package model

import (
	"testing"
	"time"
)

// A repeated write is deduplicated if it arrives while its key is remembered, however long the node takes to run it. When the
// window was compared with the time at which the work ended, a retry that a cold node worked on for twelve seconds took effect
// twice, although no router had done anything wrong.
func TestDeduplicationUsesArrivalTime(t *testing.T) {
	for later, effects := range map[time.Duration]int{2 * time.Second: 1, 12 * time.Second: 2} {
		v := newTestHost(t, 1, "rate = 0.1\nlength = \"60s\"")
		a := &Request{Index: 0, Class: 2, Work: 100 * time.Millisecond} // tally: keyed, remembered for 10 s
		sent := func(n *Node, at time.Duration) {
			v.At(at, func() {
				try := a.newTry(v.scenario, v.Now())
				v.tries[try.CorrelationID] = try
				n.Arrive(&Job{ID: try.CorrelationID, Reply: func(*Reply) {}})
			})
		}
		sent(v.Nodes[0], time.Second)
		v.Nodes[1].slowdown = 150 // the second request takes 15 s
		sent(v.Nodes[1], time.Second+later)
		v.Run(40 * time.Second)
		if got := v.Ledger().Counts.DoubleEffects + 1; got != effects {
			t.Errorf("repeat after %v: %d effects, want %d", later, got, effects)
		}
	}
}
