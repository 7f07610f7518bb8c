package localnet

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
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

// MemoryPeak is the most memory that the processes of one program on one machine have held.
type MemoryPeak struct {
	Name           string // of the machine and the program
	Bytes, Allowed int64
}

// Exceeds reports whether the processes have held more than they are told to keep within.
func (p MemoryPeak) Exceeds() bool { return p.Bytes > p.Allowed }

// String implements fmt.Stringer.
func (p MemoryPeak) String() string {
	return fmt.Sprintf("%s: %d of %d MB", p.Name, p.Bytes>>20, p.Allowed>>20)
}

// notePeakMemory records the most memory that a process has held so far.
func (n *Network) notePeakMemory(p *process) {
	bytes := peakMemory(p.cmd.Process.Pid)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peakMemory[p.name] = MemoryPeak{Name: p.name, Bytes: max(n.peakMemory[p.name].Bytes, bytes), Allowed: p.allowed}
}

// PeakMemory returns the most memory that the processes of each program on each machine have held until now, or until they were signaled.
func (n *Network) PeakMemory() []MemoryPeak {
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
	return slices.SortedFunc(maps.Values(n.peakMemory), func(a, b MemoryPeak) int { return strings.Compare(a.Name, b.Name) })
}
