package daemon

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// descriptorShares is how many file descriptors client and server connections may use.
type descriptorShares struct{ clients, servers int }

const (
	reservedDescriptors      = 24  // listener, discovery, datagrams, runtime and standard streams use 8, the rest is spare
	serverDescriptorPercent  = 38  // requests need a third for servers and a third for clients, silent and idle clients the rest
	memoryLimitFraction      = 0.7 // of Limits.MemoryMB, for the runtime's soft memory limit
	gcPercent                = 300 // heap growth in percent that triggers a collection; the memory limit triggers it earlier
	longRequestMemoryDivisor = 4   // 1/4 of the memory is for long requests
)

// splitDescriptors divides the descriptors between clients and servers, within the process's own RLIMIT_NOFILE. Each
// request in flight needs one for its client and one for its server; connections of clients that are being rejected
// come on top.
func splitDescriptors(sockets int) descriptorShares {
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) == nil && rlimit.Cur < uint64(sockets) {
		sockets = int(rlimit.Cur)
	}
	available := max(sockets-reservedDescriptors, 2)
	servers := available * serverDescriptorPercent / 100
	return descriptorShares{clients: max((available-servers)*8/9, 1), servers: max(servers, 1)}
}

// longRequestBytes is how many bytes of oversized requests may be held at once.
func (l Limits) longRequestBytes() int64 { return int64(l.MemoryMB) << 20 / longRequestMemoryDivisor }

// perProcess returns the limits of one process: half of memory and sockets while two processes of the router run.
func (l Limits) perProcess(paired bool) Limits {
	if paired {
		l.MemoryMB, l.Sockets = l.MemoryMB/2, l.Sockets/2
	}
	return l
}

// apply sets the runtime's processor count and soft memory limit. The live heap is small, so with the default GC
// percentage the collector would run many times a second and take a tenth of the CPU time.
func (l Limits) apply() {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(l.MemoryMB) * memoryLimitFraction * (1 << 20)))
}
