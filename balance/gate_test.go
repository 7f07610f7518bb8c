package balance

import (
	"fmt"
	"testing"
	"time"
)

// thinRig is one of three hundred routers before two hundred caches.
func thinRig(t *testing.T) *rig {
	set := thinSettings()
	set.Routers = 300
	g := newRig(t, set)
	g.caches(200)
	return g
}

// hear has it told of so many answers a second for a while.
func (g *rig) hear(span time.Duration, perSecond int, took time.Duration) {
	for n := range int(span.Seconds() * float64(perSecond)) {
		g.run(time.Second / time.Duration(perSecond))
		g.give(Heard{Content: encodeSightings([]sighting{{key: 1, server: hashID(ServerID(fmt.Sprintf("c%d", n%200))), took: took, answered: true}})})
	}
}

// The gates' mean of answers follows them within two aims, however many caches there are and however few pass. By two answers a cache it spanned
// 400: seventy a second took it five seconds to see a jam, and eleven a second, as a gate that is nearly shut lets through, half a minute
// to see that it was over.
func TestMeanOfAnswersFollowsThem(t *testing.T) {
	for _, perSecond := range []int{70, 11} {
		g := thinRig(t)
		aim := g.b.aim
		g.hear(10*time.Second, perSecond, aim/10)
		g.hear(2*aim, perSecond, 2*aim)
		if taking := g.b.Overall(g.now).Taking; taking < aim/2 {
			t.Errorf("%d a second: two aims into a jam the mean is %v", perSecond, taking)
		}
		g.hear(4*aim, perSecond, aim/10)
		if taking := g.b.Overall(g.now).Taking; taking > aim/2 {
			t.Errorf("%d a second: four aims after it the mean is %v", perSecond, taking)
		}
	}
}

// A gate that is nearly shut opens while answers are quick, though one in four attempts breaks for a reason of its own. As each of them ended the
// row of good ones by which it opens, it needed a hundred answers, which took a router ten seconds.
func TestGateOpensPastSingleBadOnes(t *testing.T) {
	g := thinRig(t)
	g.hear(5*time.Second, 70, g.b.aim/10)
	g.b.gate.open = gateFloor
	s := g.b.servers["c1"]
	for n := range 60 {
		g.b.moveGate(s, n%4 != 3)
	}
	if open := g.b.Overall(g.now).Gate; open < 0.9 {
		t.Errorf("after sixty attempts, a quarter of them bad, the gate is at %.2f", open)
	}
	g.b.gate.open = 1 // and it closes as before once answers are late
	g.hear(10*time.Second, 70, 2*g.b.aim)
	for range 20 {
		g.run(g.b.latency + time.Millisecond)
		g.give()
		g.b.moveGate(s, false)
	}
	if open := g.b.Overall(g.now).Gate; open > 0.1 {
		t.Errorf("late answers leave it at %.2f", open)
	}
}
