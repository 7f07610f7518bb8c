package edge

import (
	"fmt"
	"testing"

	"cedarmast/internal/cdn/clusterstate"
)

// BenchmarkFleetChange measures one state change at a router of a large fleet, until the load balancers have it.
// `go test -run XXX -bench FleetChange ./internal/cdn/edge`
func BenchmarkFleetChange(b *testing.B) {
	changes := map[string]func(i int) clusterstate.Command{
		"closing": func(i int) clusterstate.Command {
			sv := fleetServer(2 + i%100)
			sv.Beat, sv.State = uint64(i+1), clusterstate.ServerClosing
			return clusterstate.Command{Server: &sv}
		},
		"purge by tag": func(i int) clusterstate.Command {
			return clusterstate.Command{Purge: &clusterstate.Purge{Tag: fmt.Sprint("t-", i%40)}}
		},
		"rate cut": func(i int) clusterstate.Command {
			return clusterstate.Command{Cut: &clusterstate.RateDivision{Service: "s-0",
				Parts: map[string]float64{"n-290": 0.5, fmt.Sprint("n-", i%9): 0.5}}}
		},
		"cache router moves": func(i int) clusterstate.Command {
			return clusterstate.Command{Enrol: []clusterstate.Router{{Node: "n-7", Zone: "z-1", Address: fmt.Sprint("10.9.0.1:", i), Weight: 6.8}}}
		},
	}
	for name, change := range changes {
		b.Run(name, func(b *testing.B) {
			e, s := largeFleet(b)
			for i := 0; b.Loop(); i++ {
				e.apply(b, s, change(i))
				e.flush()
			}
		})
	}
}
