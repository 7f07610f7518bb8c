package localnet

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
)

// This file measures the memory of processes.

// peakMemoryField is the field of a process's status file that holds the most memory that was resident, in KB.
const peakMemoryField = "VmHWM:"

// peakMemory returns the most bytes that a running process has held; 0 if it has ended.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte(peakMemoryField)); ok {
			kilobytes, _ := strconv.ParseInt(string(bytes.Fields(value)[0]), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// notePeakMemory records the most memory that a process has held so far.
func (n *Network) notePeakMemory(p *process) {
	bytes := peakMemory(p.cmd.Process.Pid)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peakMemory[p.name] = max(n.peakMemory[p.name], bytes)
}

// PeakMemory returns, by machine and program, the most bytes that one of its processes has held until now, or until it was signaled.
func (n *Network) PeakMemory() map[string]int64 {
	for _, m := range n.Machines {
		m.mu.Lock()
		running := slices.Collect(maps.Values(m.processes))
		m.mu.Unlock()
		for _, p := range running {
			n.notePeakMemory(p)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.peakMemory)
}
