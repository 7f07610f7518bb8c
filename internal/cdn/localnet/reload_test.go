package localnet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowExitScript is a program that ignores SIGHUP and takes 0.5 s to exit after SIGTERM.
const slowExitScript = `trap "" HUP; trap "sleep 0.5; exit 0" TERM; while :; do sleep 0.02; done`

// A reload during a machine's shutdown returns without waiting for it; only the caller that sent SIGTERM waits. Each reload writes
// the seed nodes in another order, and the machine can be started again.
func TestReloadsWhileProcessesEnd(t *testing.T) {
	shape := Shape{Core: 2, Dir: t.TempDir(), Program: func(string) []string { return []string{"sh", "-c", slowExitScript} }, Revoke: 2 * time.Second}
	n, err := Start(shape)
	assert.NilError(t, err)
	t.Cleanup(n.Stop)
	m := n.Machines[0]
	settings := func() string {
		text, err := os.ReadFile(filepath.Join(m.Dir, settingsFile))
		assert.NilError(t, err)
		return string(text)
	}
	assert.Assert(t, strings.Contains(settings(), "tariff.timetable.revocation_global=true\ntariff.timetable.revoke=2s\n"), settings())
	assert.Assert(t, !strings.Contains(settings(), "tariff.timetable.contact"), settings())
	first, second := fmt.Sprint(n.Machines[0].IP, ":", controlPort), fmt.Sprint(n.Machines[1].IP, ":", controlPort)
	assert.Assert(t, strings.Contains(settings(), first+","+second), settings())
	waitFor(t, 5*time.Second, "the program handles SIGTERM", func() bool { return handlesSignal(m, syscall.SIGTERM) })

	ended := make(chan time.Duration, 1)
	begun := time.Now()
	go func() {
		n.Signal(m, syscall.SIGTERM)
		ended <- time.Since(begun)
	}()
	assert.NilError(t, n.Reload(m))
	reloaded := time.Since(begun)
	took := <-ended
	assert.Assert(t, reloaded < took, "the reload took %s, the end %s", reloaded, took)
	assert.Assert(t, strings.Contains(settings(), second+","+first), settings())
	assert.Equal(t, len(m.processes), 0)
	assert.NilError(t, n.StartMachine(m))
	assert.Equal(t, len(m.processes), 2)
}

// handlesSignal reports whether all processes of a machine have a handler for a signal.
func handlesSignal(m *Machine, s syscall.Signal) bool {
	for _, p := range m.processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		_, caught, _ := strings.Cut(string(text), "SigCgt:")
		var mask uint64
		if _, scanErr := fmt.Sscanf(caught, "%x", &mask); err != nil || scanErr != nil || mask&(1<<(s-1)) == 0 {
			return false
		}
	}
	return true
}
