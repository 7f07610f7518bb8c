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

const watchEvery = 200 * time.Millisecond

// limit holds a router's process to the scenario's limits: descriptors by the system, memory by looking, now and then, and
// killing what is over it, as the machine that it stands for would. Processor time is told to routers and only measured.
func (r *Rig) limit(t *router, pid int) {
	most := uint64(r.set.Limits.Descriptors)
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil) // fails only for one that has ended
	limitFiles(pid, t.full)
	exited := t.exited
	r.background(func() {
		tick := time.NewTicker(watchEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-exited:
				return
			}
			if mb := residentMB(pid); mb > float64(r.set.Limits.MemoryMB) {
				r.RecordEvent(r.now(), fmt.Sprintf("%s took %.0f MB of %d and was killed for it", t.name, mb, r.set.Limits.MemoryMB))
				syscall.Kill(-pid, syscall.SIGKILL)
				return
			}
		}
	})
}

// limitFiles lets a process write no byte to any file, or as much as it will. Pipes and sockets are none.
func limitFiles(pid int, full bool) {
	most := uint64(unix.RLIM_INFINITY)
	if full {
		most = 0
	}
	unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil) // fails only for one that has ended
}

// residentMB is the memory that a process has now, of its own; 0 if it has ended.
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
