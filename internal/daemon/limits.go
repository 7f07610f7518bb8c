package daemon

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// shares is how the descriptors are dealt out.
type shares struct{ clients, servers int }

const (
	otherDescriptors = 24 // listener, discovery, datagrams, the runtime's own, standard streams: 8, the rest spare
	serversPart      = 38 // percent of the descriptors: requests take a third at either side, silent and idle clients more
	memoryPart       = 0.7
	collectAt        = 300 // percent of growth at which the collector runs; the limit of memory makes it run before
	longPart         = 4   // of the memory is for long requests
)

// share deals out the descriptors, also where the process may hold fewer than it was told. Each request in hand
// wants one at either side; those of the clients that are turned away come on top.
func share(sockets int) shares {
	var have syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &have) == nil && have.Cur < uint64(sockets) {
		sockets = int(have.Cur)
	}
	rest := max(sockets-otherDescriptors, 2)
	servers := rest * serversPart / 100
	return shares{clients: max((rest-servers)*8/9, 1), servers: max(servers, 1)}
}

// longBodies is how many bytes of requests over the usual bound may be held at once.
func (l Limits) longBodies() int64 { return int64(l.MemoryMB) << 20 / longPart }

// of is the part that a process keeps to: half while there are two of one router.
func (l Limits) of(paired bool) Limits {
	if paired {
		l.MemoryMB, l.Sockets = l.MemoryMB/2, l.Sockets/2
	}
	return l
}

// apply sets the runtime's limits: processors, and memory that the collector keeps to while it can. Little is alive at
// a time, so by the usual percentage the collector would run many times a second, at a tenth of the work.
func (l Limits) apply() {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(l.MemoryMB) * memoryPart * (1 << 20)))
}
