package localnet

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Reload rewrites a machine's settings file, with its seed nodes in another order, and sends SIGHUP to its processes, whatever they are
// doing: they may have been started a moment ago, or shut down.
func (n *Network) Reload(m *Machine) error {
	m.mu.Lock()
	m.reloads++
	err := replaceFile(filepath.Join(m.Dir, settingsFile), []byte(n.settingsText(m)))
	m.mu.Unlock()
	if err != nil {
		return err
	}
	n.Signal(m, syscall.SIGHUP)
	return nil
}

// diesBy reports whether the kernel would end a process at a signal: it neither catches nor ignores it.
func (p *process) diesBy(s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	return (signalMask(string(status), "SigCgt")|signalMask(string(status), "SigIgn"))&(1<<(s-1)) == 0
}

// signalMask returns a mask of signals in a process's status; 0 if there is none.
func signalMask(status, name string) uint64 {
	_, text, _ := strings.Cut(status, "\n"+name+":\t")
	text, _, _ = strings.Cut(text, "\n")
	mask, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0
	}
	return mask
}

// rotated returns a copy of the items rotated to the left by a number of places.
func rotated(items []string, by int) []string {
	if len(items) == 0 {
		return nil
	}
	by %= len(items)
	return append(append([]string(nil), items[by:]...), items[:by]...)
}
