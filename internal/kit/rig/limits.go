package rig

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const memoryCheckInterval = 200 * time.Millisecond

// enforceLimits enforces the scenario's limits on a router's process. The kernel limits descriptors. Memory is polled, and a process
// over its limit is killed, as the kernel of the simulated machine would do. Processor time is told to routers and only measured.
func (r *Rig) enforceLimits(t *router, pid int) {
	descriptors := uint64(r.scenario.Limits.Descriptors)
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil) // fails only for a process that has exited
	setFileWriteLimit(pid, t.diskFull)
	exited := t.exited
	r.background(func() {
		tick := time.NewTicker(memoryCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-exited:
				return
			}
			if mb := residentMB(pid); mb > float64(r.scenario.Limits.MemoryMB) {
				r.RecordEvent(r.now(), fmt.Sprintf("%s took %.0f MB of %d and was killed for it", t.name, mb, r.scenario.Limits.MemoryMB))
				syscall.Kill(-pid, syscall.SIGKILL)
				return
			}
		}
	})
}

// setFileWriteLimit makes a process's writes to files fail, or lifts that limit. Pipes and sockets are not affected.
func setFileWriteLimit(pid int, diskFull bool) {
	limit := uint64(unix.RLIM_INFINITY)
	if diskFull {
		limit = 0
	}
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: unix.RLIM_INFINITY}, nil) // fails only for a process that has exited
}

// residentMB returns a process's anonymous resident memory in MB; 0 if it has exited.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "RssAnon:" {
			kb, _ := strconv.ParseFloat(string(fields[1]), 64)
			return kb / 1024
		}
	}
	return 0
}
