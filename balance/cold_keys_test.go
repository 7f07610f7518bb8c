package balance

import (
	"testing"
	"time"
)

// All routers split the keys between a cold cache and its replacement in the same way each time. When each request was decided at random,
// a key went to both in turn and missed at both, while the origin was at its limit.
func TestKeysOfAColdCacheGoOneWay(t *testing.T) {
	rigs := []*harness{manyRoutersHarness(t), manyRoutersHarness(t)}
	admitted := 0
	for key := range uint64(400) {
		var decisions []bool
		for _, g := range rigs {
			s := g.b.servers["c7"]
			s.Started = g.now.Add(-g.b.cfg.RampTime / 100)
			for range 200 { // it answers like the others and is rarely considered
				g.b.answerRate.add(g.now, 2*g.b.cfg.OverloadFor, 1/g.b.warmWeight(&g.b.pool))
			}
			for range 3 {
				g.b.coldChecks = meter{}
				decisions = append(decisions, g.b.withinBudget(s, &request{hash: mix(key)}))
			}
			g.run(time.Millisecond)
		}
		for _, w := range decisions {
			if w != decisions[0] {
				t.Fatalf("key %d: %v", key, decisions)
			}
		}
		if decisions[0] {
			admitted++
		}
	}
	if part := rigs[0].b.cfg.ColdStartShare * 2; float64(admitted) < 400*part/2 || float64(admitted) > 400*part*2 {
		t.Errorf("%d of 400 keys go to a cold cache", admitted)
	}
}
