package soak

import (
	"syscall"

	"cedarmast/internal/cdn/localnet"
)

// The limits of a network on one machine.
const (
	maxMachines     = 199      // the last byte of their addresses starts at 1, that of servers at 200
	maxServers      = 55       // the last byte of their addresses is 254 at most
	maxProcessBytes = 64 << 20 // maximum memory of one process during a run; 61 MB were seen
	memoryDivisor   = 2        // all processes together may take this fraction of the memory: a half
)

// checkCapacity returns an error if this machine can't run a network of this shape: for lack of loopback addresses, or because its
// processes would need more than half of the memory.
func checkCapacity(shape localnet.Shape) error {
	machines := shape.Core + shape.Edges + shape.Stores
	if shape.Core < 1 || shape.Edges < 1 || machines > maxMachines || shape.Edges/edgesPerServer > maxServers {
		return Error.New("%d core machines, %d edges and %d stores: a network has at least one core machine and one edge, and at most %d machines", shape.Core, shape.Edges, shape.Stores, maxMachines)
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return Error.Wrap(err)
	}
	processes := uint64(machines + shape.Core) // a core machine runs two processes
	if available := info.Totalram * uint64(info.Unit) / memoryDivisor; processes*maxProcessBytes > available {
		return Error.New("%d processes of %d MB need more than half of this machine's memory, which is %d MB", processes, maxProcessBytes>>20, available>>20)
	}
	return nil
}
