package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/objectcache"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

const (
	fleetProxies = 284
	fleetCaches  = 18
	fleetServers = 178
)

// largeFleet is an edge of a large fleet whose decisions run, and the state that it was told.
func largeFleet(t testing.TB) (*Edge, *clusterstate.State) {
	t.Helper()
	life, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	f := &Edge{log: hclog.NewNullLogger(), replica: statesync.New(), changes: make(chan func(), 4096), life: life, cache: objectcache.New(64 << 20)}
	f.set.MemoryMB, f.set.FileHandles, f.set.Node, f.set.Zone = 184, 4100, "n-0", "z-0"
	f.init()
	s := clusterstate.New()
	s.Index, s.Version, s.Body = 1, 2, clusterstate.Text("{}")
	for i := range fleetProxies + fleetCaches {
		r := clusterstate.Router{Node: fmt.Sprint("n-", i), Zone: fmt.Sprint("z-", i%6), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Weight: 6.8}
		if i >= fleetProxies {
			r.Weight, r.Inner = 640, true
		}
		s.Routers[r.Node] = r
		s.Roster = append(s.Roster, clusterstate.Step{Router: r, Index: 1})
	}
	for i := range fleetServers {
		sv := fleetServer(i)
		s.Servers[sv.ID] = sv
	}
	m := manyRoutes(t, 22, 0, 1500)
	m.Version = s.Version
	for _, tier := range []*cacheTier{f.zoneCaches, f.shields, f.zoneShields} {
		f.running.Go(func() { tier.loop.Run(life) })
	}
	f.took(s, clusterstate.Command{Taken: m}, s.Index, true)
	f.settle()
	assert.Equal(t, f.plan.Load().Version, m.Version)
	return f, s
}

func fleetServer(i int) clusterstate.Server {
	service := "s-1"
	if i < 2 {
		service = "s-0"
	}
	return clusterstate.Server{ID: fmt.Sprint("i-", i), Service: service, Address: fmt.Sprintf("10.1.0.%d:9", i), Zone: fmt.Sprint("z-", i%6), Slots: 2, State: clusterstate.Open}
}

// settle returns once the decisions have all that they were told.
func (e *Edge) settle() {
	for len(e.changes) > 0 {
		(<-e.changes)()
	}
	for _, sv := range e.services {
		for _, l := range sv.loops() {
			l.Retune(sv.tuned)
		}
	}
}

// give has the edge hear of a command as the next change of the state.
func (e *Edge) give(t testing.TB, s *clusterstate.State, c clusterstate.Command) {
	assert.Equal(t, s.Apply(s.Index+1, c).Status, clusterstate.Done)
	e.took(s, c, s.Index, false)
}

// On a large deployment the release of a third of the servers took more of the processors than all requests: each change of one server cut two
// interval tables anew that nobody looks a key up in, and each cut left every server's part in more pieces.
func TestWorkOfAServerChange(t *testing.T) {
	const (
		changes     = 300
		mostPerKilo = 3 << 20 // bytes that a change may allocate for each thousand servers
	)
	f, s := largeFleet(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		sv := fleetServer(2 + i%100)
		if sv.Beat = uint64(i + 1); i/100%2 == 0 {
			sv.State = clusterstate.Closing
		}
		if sv.State == clusterstate.Open { // another one in the same place
			sv.ID += "-next"
		}
		f.give(t, s, clusterstate.Command{Server: &sv})
		f.settle()
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / changes
	assert.Assert(t, each < mostPerKilo*fleetServers/1000, "%d bytes a change", each)
}

// Servers that leave together are one list.
func TestServersThatLeaveTogether(t *testing.T) {
	f, s := largeFleet(t)
	f.listPause = time.Hour // the test tells when it is over
	told := f.lists.Load()
	for i := range 28 {
		sv := fleetServer(2 + i)
		sv.Beat, sv.State = 1, clusterstate.Closing
		f.give(t, s, clusterstate.Command{Server: &sv})
	}
	assert.Equal(t, f.lists.Load(), told)
	f.tellServers(s)
	assert.Equal(t, f.lists.Load(), told+1)
	f.tellServers(s)
	assert.Equal(t, f.lists.Load(), told+1, "nothing has changed since")
}

// A server is drawn as often as its weight says, and one that has gone is not.
func TestWeightedDraw(t *testing.T) {
	d := newWeightedDraw()
	assert.Equal(t, d.Owner(7), balance.ServerID(""))
	d.Follow(map[balance.ServerID]float64{"gone": 5})
	weights := map[balance.ServerID]float64{"a": 1, "b": 2, "c": 0.5, "d": 4}
	d.Follow(weights)
	const draws = 100_000
	drawn := map[balance.ServerID]int{}
	random := rand.New(rand.NewPCG(1, 2))
	for range draws {
		drawn[d.Owner(random.Uint64())]++
	}
	assert.Equal(t, len(drawn), len(weights))
	for server, weight := range weights {
		part := float64(drawn[server]) / draws
		assert.Assert(t, part > 0.95*weight/7.5 && part < 1.05*weight/7.5, "%s %v", server, part)
	}
	assert.Equal(t, d.Owner(0), balance.ServerID("a"))
	assert.Equal(t, d.Owner(^uint64(0)), balance.ServerID("d"))
}
