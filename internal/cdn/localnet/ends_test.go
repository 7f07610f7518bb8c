package localnet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/cdn/bootconfig"

	"gotest.tools/v3/assert"
)

// serves reports whether a network acknowledges its first configuration, and all of its proxies become ready.
func serves(t *testing.T, n *Network) {
	t.Helper()
	assert.Equal(t, n.controlStatus(t, http.MethodPut, "/manifest", Manifest(1, 0, "shop")), 200)
	for _, m := range n.EdgeMachines() {
		waitFor(t, 20*time.Second, m.Name+" is ready", func() bool { return n.Ready(m) })
	}
}

// Core machines that are killed 1 to 5 ms after their first start, before most of them have written anything, start the system when they
// are started again with first_start=false. They took their empty disks for lost ones, and each waited for the others.
func TestCoreIsKilledAtItsFirstStart(t *testing.T) {
	n := Shape{Core: 3, Edges: 1, Started: func(n *Network, m *Machine) {
		if m.Core {
			n.Signal(m, syscall.SIGKILL)
		}
	}}.startForTest(t)
	for _, m := range n.CoreMachines() {
		assert.NilError(t, n.StartMachine(m))
	}
	serves(t, n)
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
}

// A core that has acknowledged a configuration and then loses all of its disks, beyond what must be tolerated, is not founded anew while a
// proxy holds the configuration.
func TestLostCoreIsNotFoundedAnew(t *testing.T) {
	n := startNetwork(t, 3, 1)
	serves(t, n)
	for _, m := range n.CoreMachines() {
		n.Signal(m, syscall.SIGKILL)
		assert.NilError(t, n.WipeDisk(m))
	}
	for _, m := range n.CoreMachines() {
		assert.NilError(t, n.StartMachine(m))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	_, _, err := n.Control(ctx, http.MethodGet, "/manifest", nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded, "the core answers without what it had acknowledged")
}

// The readers of all logs leave, or never read: no process ends or stalls, and each ends in order at SIGTERM.
func TestLogsWithoutReaders(t *testing.T) {
	for name, reader := range map[string]LogReader{"leaves at once": {LeaveAfter: 1}, "leaves later": {LeaveAfter: 300 * time.Millisecond}, "stalls": {Stalls: true}} {
		t.Run(name, func(t *testing.T) {
			n := Shape{Core: 3, Edges: 1, DrawLogReader: func() LogReader { return reader }}.startForTest(t)
			serves(t, n)
			edge := n.EdgeMachines()[0]
			for edition := 2; edition < 30; edition++ { // logged by all, with the changed seeds more than the smallest pipe holds
				for _, m := range n.Machines {
					assert.NilError(t, n.Reload(m))
				}
				assert.Equal(t, n.controlStatus(t, http.MethodPut, "/manifest", Manifest(edition, edition-1, "shop")), 200)
			}
			assert.Assert(t, n.Ready(edge))
			assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
			started := time.Now()
			n.Signal(n.Machines[0], syscall.SIGTERM)
			assert.Assert(t, time.Since(started) < 4*time.Second, "ended %s after SIGTERM", time.Since(started))
		})
	}
}

// A process that is told to end with its stacks, as a panic ends one, ends also if nobody reads its log and the pipe is full.
func TestStacksWithoutReader(t *testing.T) {
	n := Shape{Core: 1, Edges: 1, DrawLogReader: func() LogReader { return LogReader{Stalls: true} }}.startForTest(t)
	serves(t, n) // with --log trace that fills the pipe
	for _, m := range n.Machines {
		m.mu.Lock()
		processes := slices.Collect(maps.Values(m.processes))
		m.mu.Unlock()
		n.Signal(m, syscall.SIGQUIT)
		for _, p := range processes {
			select {
			case <-p.ended:
			case <-time.After(10 * time.Second):
				t.Fatalf("%s hangs", p.name)
			}
		}
	}
}

// Successors that are started while their predecessors run take over once those have ended, with all that was acknowledged meanwhile: the
// config store's successor opened its predecessor's journal, began a new generation and ended.
func TestSuccessorsWaitForPredecessors(t *testing.T) {
	n := startNetwork(t, 3, 1)
	serves(t, n)
	for _, m := range n.Machines {
		m.mu.Lock()
		for _, p := range m.processes {
			p.told.Store(true) // they are killed below
		}
		m.mu.Unlock()
		assert.NilError(t, n.StartSuccessors(m))
	}
	for edition := 2; edition < 12; edition++ {
		assert.Equal(t, n.controlStatus(t, http.MethodPut, "/manifest", Manifest(edition, edition-1, "shop")), 200)
	}
	for _, m := range n.Machines {
		m.mu.Lock()
		predecessors := m.predecessors
		for _, p := range predecessors {
			p.cmd.Process.Signal(syscall.SIGKILL)
		}
		m.mu.Unlock()
		for _, p := range predecessors {
			<-p.ended
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, text, err := n.Control(ctx, http.MethodGet, "/manifest", nil)
	assert.NilError(t, err)
	assert.Equal(t, string(text), string(Manifest(11, 10, "shop")))
	assert.Equal(t, n.controlStatus(t, http.MethodPut, "/manifest", Manifest(12, 11, "shop")), 200)
	for _, m := range n.EdgeMachines() {
		waitFor(t, 20*time.Second, m.Name+" is ready", func() bool { return n.Ready(m) })
	}
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
}

// A data directory that can't be made at the start, for lack of the disk that it lies on, ends nothing: the config store starts once it can be.
func TestDataDirectoryComesLater(t *testing.T) {
	disk := filepath.Join(t.TempDir(), "disk")
	n := Shape{Core: 3, Edges: 1, Started: func(n *Network, m *Machine) {
		if m.Name != "core-1" {
			return
		}
		n.Signal(m, syscall.SIGKILL)
		assert.NilError(t, n.WipeDisk(m))
		assert.NilError(t, os.Symlink(disk, filepath.Join(m.Dir, "data")))
		assert.NilError(t, n.StartMachine(m))
	}}.startForTest(t)
	serves(t, n) // two of three core machines suffice
	assert.NilError(t, os.Mkdir(disk, 0o755))
	waitFor(t, 20*time.Second, "the machine joins", func() bool { return n.status(n.Machines[0]).Index > 0 })
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
}

// A foreign process holds the ports of a machine when it starts: its processes wait, say so, and serve once the ports are free.
func TestPortsAreTaken(t *testing.T) {
	subnet, claim, err := ClaimSubnet(0)
	assert.NilError(t, err)
	claim.Close()
	var holders []net.Listener
	for _, port := range []int{controlPort, firstSparePort + bootconfig.ConfigStorePort} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", subnet, port))
		assert.NilError(t, err)
		holders = append(holders, l)
	}
	n := Shape{Core: 3, Edges: 1, Subnet: subnet}.startForTest(t)
	serves(t, n) // two of three core machines suffice
	for _, l := range holders {
		l.Close()
	}
	waitFor(t, 20*time.Second, "the machine joins", func() bool { return n.status(n.Machines[0]).Index > 0 })
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
	_, err = os.Stat(filepath.Join(n.Machines[0].Dir, "data"))
	assert.NilError(t, err)
}
