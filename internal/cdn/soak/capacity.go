package soak

import (
	"runtime"
	"syscall"

	"cedarmast/internal/cdn/localnet"
)

// The limits of a network on one machine.
const (
	maxMachines     = 199      // the last byte of their addresses starts at 1, that of servers at 200
	maxServers      = 55       // the last byte of their addresses is 254 at most
	maxProcessBytes = 64 << 20 // maximum memory of one process during a run; 61 MB were seen
	memoryDivisor   = 2        // all processes together may take this fraction of the memory: a half

	edgesPerProcessor = 20 // more are so slow that clients' timeouts are missed without any fault
)

// checkCapacity returns an error if this machine can't run a network of this shape: for lack of loopback addresses, or because its
// processes would need more than half of the memory.
func checkCapacity(shape localnet.Shape) error {
	machines := machineCount(shape)
	if shape.Core < 1 || shape.Edges < 1 || machines > maxMachines || shape.Edges/edgesPerServer > maxServers {
		return Error.New("%d core machines, %d edges and %d stores: a network has at least one core machine and one edge, and at most %d machines", shape.Core, shape.Edges, shape.Stores, maxMachines)
	}
	available, err := availableMemory()
	if err != nil {
		return err
	}
	processes := uint64(processCount(shape))
	if processes*maxProcessBytes > available {
		return Error.New("%d processes of %d MB need more than half of this machine's memory, which is %d MB", processes, maxProcessBytes>>20, available>>20)
	}
	return nil
}

// machineCount returns the number of machines of a network.
func machineCount(shape localnet.Shape) int { return shape.Core + shape.Edges + shape.Stores }

// processCount returns the number of processes of a network. A core machine runs two.
func processCount(shape localnet.Shape) int { return machineCount(shape) + shape.Core }

// availableMemory returns the bytes that the processes of a network may use together.
func availableMemory() (uint64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, Error.Wrap(err)
	}
	return info.Totalram * uint64(info.Unit) / memoryDivisor, nil
}

// withMostEdges returns the shape with as many edges as this machine bears, but no fewer than it has.
func withMostEdges(shape localnet.Shape) (localnet.Shape, error) {
	available, err := availableMemory()
	if err != nil {
		return shape, err
	}
	others := shape
	others.Edges = 0
	most := min(int(available/maxProcessBytes)-processCount(others), maxMachines-machineCount(others), edgesPerProcessor*runtime.NumCPU())
	shape.Edges = max(shape.Edges, most)
	return shape, nil
}
