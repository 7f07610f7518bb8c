package balance

import (
	"fmt"
	"testing"
	"time"
)

// manyRoutersHarness returns one of 300 routers in front of 200 caches.
func manyRoutersHarness(t *testing.T) *harness {
	set := manyRoutersSettings()
	set.Routers = 300
	g := newHarness(t, set)
	g.caches(200)
	return g
}

// reportAnswers passes reports of other routers' answers to the router, perSecond of them for a time span.
func (g *harness) reportAnswers(span time.Duration, perSecond int, took time.Duration) {
	for n := range int(span.Seconds() * float64(perSecond)) {
		g.run(time.Second / time.Duration(perSecond))
		g.handle(PeerMessage{Content: encodeObservations([]observation{
			{key: 1, server: hashID(ServerID(fmt.Sprintf("c%d", n%200))), took: took, answered: true}})})
	}
}

// The mean latency that the gates use must follow the answers within two targets, for any number of caches and for few admitted requests.
// When it covered two answers per cache, so 400 here, it took five seconds to see overload at seventy answers per second, and half a
// minute to see the end of it at eleven per second, which is what a nearly closed gate lets pass.
func TestMeanLatencyFollowsAnswers(t *testing.T) {
	for _, perSecond := range []int{70, 11} {
		g := manyRoutersHarness(t)
		target := g.b.target
		g.reportAnswers(10*time.Second, perSecond, target/10)
		g.reportAnswers(2*target, perSecond, 2*target)
		if latency := g.b.Overall(g.now).FleetLatency; latency < target/2 {
			t.Errorf("%d per second: two targets into overload the mean latency is %v", perSecond, latency)
		}
		g.reportAnswers(4*target, perSecond, target/10)
		if latency := g.b.Overall(g.now).FleetLatency; latency > target/2 {
			t.Errorf("%d per second: four targets after the overload the mean latency is %v", perSecond, latency)
		}
	}
}

// A nearly closed gate must open while answers are fast even if one in four attempts fails for another reason. When each failure reset
// the streak of good answers by which the gate opens, it needed a hundred answers, which took a router ten seconds.
func TestGateOpensDespiteSingleFailures(t *testing.T) {
	g := manyRoutersHarness(t)
	g.reportAnswers(5*time.Second, 70, g.b.target/10)
	g.b.cacheGate.ratio = minGate
	s := g.b.servers["c1"]
	for n := range 60 {
		g.b.adjustGate(s, n%4 != 3)
	}
	if open := g.b.Overall(g.now).CacheGate; open < 0.9 {
		t.Errorf("after 60 attempts, a quarter of them failed, the gate is at %.2f", open)
	}
	g.b.cacheGate.ratio = 1 // it must still close once answers are late
	g.reportAnswers(10*time.Second, 70, 2*g.b.target)
	for range 20 {
		g.run(g.b.latency + time.Millisecond)
		g.handle()
		g.b.adjustGate(s, false)
	}
	if open := g.b.Overall(g.now).CacheGate; open > 0.1 {
		t.Errorf("after late answers the gate is at %.2f", open)
	}
}
