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

// largeFleet returns a router of a large fleet with running load balancers, and the state that it was given.
func largeFleet(t testing.TB) (*Edge, *clusterstate.State) {
	t.Helper()
	life, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	e := &Edge{log: hclog.NewNullLogger(), replica: statesync.New(), changes: make(chan func(), 4096),
		lifetime: life, cache: objectcache.New(64 << 20)}
	e.config.MemoryMB, e.config.FileHandles, e.config.Node, e.config.Zone = 184, 4100, "n-0", "z-0"
	e.init()
	s := clusterstate.New()
	s.Index, s.Version, s.Body = 1, 2, clusterstate.CompressedText("{}")
	for i := range fleetProxies + fleetCaches {
		r := clusterstate.Router{Node: fmt.Sprint("n-", i), Zone: fmt.Sprint("z-", i%6),
			Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Weight: 6.8}
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
	for _, tier := range []*cacheTier{e.zoneCaches, e.shields, e.zoneShields} {
		e.tasks.Go(func() { tier.loop.Run(life) })
	}
	e.applyChange(s, clusterstate.Command{Taken: m}, s.Index, true)
	e.flush()
	assert.Equal(t, e.plan.Load().Version, m.Version)
	return e, s
}

// fleetServer returns server i of the fleet.
func fleetServer(i int) clusterstate.Server {
	service := "s-1"
	if i < 2 {
		service = "s-0"
	}
	return clusterstate.Server{ID: fmt.Sprint("i-", i), Service: service, Address: fmt.Sprintf("10.1.0.%d:9", i), Zone: fmt.Sprint("z-", i%6),
		Slots: 2, State: clusterstate.ServerOpen}
}

// flush runs all deferred changes and returns once the load balancers have them.
func (e *Edge) flush() {
	for len(e.changes) > 0 {
		(<-e.changes)()
	}
	for _, sv := range e.services {
		for _, l := range sv.loops() {
			l.UpdateSettings(sv.applied)
		}
	}
}

// apply applies a command as the next change of the state.
func (e *Edge) apply(t testing.TB, s *clusterstate.State, c clusterstate.Command) {
	assert.Equal(t, s.Apply(s.Index+1, c).Status, clusterstate.StatusOK)
	e.applyChange(s, c, s.Index, false)
}

// A server change must not rebuild interval tables. On a large deployment the release of a third of the servers took more CPU time than all
// requests: each change of one server rebuilt two interval tables in which no key is ever looked up, and each rebuild split every server's
// part into more pieces.
func TestServerChangeAllocations(t *testing.T) {
	const (
		changes        = 300
		maxPerThousand = 3 << 20 // bytes that a change may allocate per thousand servers
	)
	e, s := largeFleet(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		server := fleetServer(2 + i%100)
		if server.Beat = uint64(i + 1); i/100%2 == 0 {
			server.State = clusterstate.ServerClosing
		}
		if server.State == clusterstate.ServerOpen { // another server in its place
			server.ID += "-next"
		}
		e.apply(t, s, clusterstate.Command{Server: &server})
		e.flush()
	}
	runtime.ReadMemStats(&after)
	perChange := (after.TotalAlloc - before.TotalAlloc) / changes
	assert.Assert(t, perChange < maxPerThousand*fleetServers/1000, "%d bytes per change", perChange)
}

// Server changes within listDelay are sent as one list.
func TestServerChangesAreBatched(t *testing.T) {
	e, s := largeFleet(t)
	e.listDelay = time.Hour // the test ends the delay itself
	sent := e.serverLists.Load()
	for i := range 28 {
		sv := fleetServer(2 + i)
		sv.Beat, sv.State = 1, clusterstate.ServerClosing
		e.apply(t, s, clusterstate.Command{Server: &sv})
	}
	assert.Equal(t, e.serverLists.Load(), sent)
	e.pushServerLists(s)
	assert.Equal(t, e.serverLists.Load(), sent+1)
	e.pushServerLists(s)
	assert.Equal(t, e.serverLists.Load(), sent+1, "list sent without a change")
}

// Servers are selected in proportion to their weights, and removed servers are not selected.
func TestWeightedPlacement(t *testing.T) {
	placement := newWeightedPlacement()
	assert.Equal(t, placement.Owner(7), balance.ServerID(""))
	placement.SetWeights(map[balance.ServerID]float64{"gone": 5})
	weights := map[balance.ServerID]float64{"a": 1, "b": 2, "c": 0.5, "d": 4}
	placement.SetWeights(weights)
	const draws = 100_000
	drawn := map[balance.ServerID]int{}
	random := rand.New(rand.NewPCG(1, 2))
	for range draws {
		drawn[placement.Owner(random.Uint64())]++
	}
	assert.Equal(t, len(drawn), len(weights))
	for server, weight := range weights {
		part := float64(drawn[server]) / draws
		assert.Assert(t, part > 0.95*weight/7.5 && part < 1.05*weight/7.5, "%s %v", server, part)
	}
	assert.Equal(t, placement.Owner(0), balance.ServerID("a"))
	assert.Equal(t, placement.Owner(^uint64(0)), balance.ServerID("d"))
}
