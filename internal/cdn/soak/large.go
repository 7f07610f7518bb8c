package soak

import (
	"syscall"

	"cedarmast/internal/cdn/localnet"
)

// What a network may have at most on one machine.
const (
	mostMachines   = 199      // their addresses end at 1 and up, those of servers at 200 and up
	mostServers    = 55       // whose addresses end at 254 at most
	bytesOfProcess = 64 << 20 // that one takes at most on a day; 61 MB were seen
	memoryPart     = 2        // the part of the memory that all processes may take: a half
)

// fits tells whether this machine can carry a network: by its loopback addresses, and by half of its memory.
func fits(shape localnet.Shape) error {
	machines := shape.Core + shape.Edges + shape.Stores
	if shape.Core < 1 || shape.Edges < 1 || machines > mostMachines || shape.Edges/edgesAServer > mostServers {
		return Error.New("%d core machines, %d edges and %d stores: a network has a core machine and an edge at least, and %d machines at most", shape.Core, shape.Edges, shape.Stores, mostMachines)
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return Error.Wrap(err)
	}
	processes := uint64(machines + shape.Core) // a core machine runs two
	if have := info.Totalram * uint64(info.Unit) / memoryPart; processes*bytesOfProcess > have {
		return Error.New("%d processes of %d MB are more than half of this machine's memory, %d MB", processes, bytesOfProcess>>20, have>>20)
	}
	return nil
}
