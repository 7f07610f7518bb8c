package abuse

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/programs"

	"gotest.tools/v3/assert"
)

// TestMain runs one of the three programs instead of the tests when the test binary is started as that program.
func TestMain(m *testing.M) {
	if programs.RunIfRequested() {
		return
	}
	os.Exit(m.Run())
}

// Connections to each machine: of one kind of abuse, and of each kind if all are played at once.
const (
	attackConnections = 900
	mixedConnections  = 100
)

var (
	attackTime = flag.Duration("attack-time", 1500*time.Millisecond, "how long each kind of abuse lasts")
	seed       = flag.Uint64("seed", 1, "seed of what is drawn")
)

// The allowances of the smallest deployment.
const (
	coreMemoryMB  = 280
	storeMemoryMB = 536
	proxyMemoryMB = 244
	fileHandles   = 4100
)

// allow returns what a machine's processes are told to keep within.
func allow(m *localnet.Machine) localnet.Allowances {
	switch {
	case m.Core:
		return localnet.Allowances{MemoryMB: coreMemoryMB, FileHandles: fileHandles}
	case m.Store:
		return localnet.Allowances{MemoryMB: storeMemoryMB, FileHandles: fileHandles}
	}
	return localnet.Allowances{MemoryMB: proxyMemoryMB, FileHandles: fileHandles}
}

// startNetwork starts a network of all three programs, with a configuration in force.
func startNetwork(t *testing.T) (n *localnet.Network, targets []*localnet.Machine) {
	t.Helper()
	n, err := localnet.Start(localnet.Shape{Core: 3, Edges: 1, Stores: 1, Zones: 1, Dir: t.TempDir(), Program: programs.CommandLine, Metrics: true, Allow: allow, Out: t.Output()})
	assert.NilError(t, err)
	t.Cleanup(n.Stop)
	_, err = n.Serve("server-1", "shop", 200)
	assert.NilError(t, err)
	put(t, n, localnet.Manifest(1, 0, "shop"))
	awaitService(t, n)
	return n, []*localnet.Machine{n.CoreMachines()[0], n.EdgeMachines()[0], n.StoreMachines()[0]}
}

// Each kind of abuse alone, and then all of them at once: no process holds more than the memory that it is told to keep within, none ends,
// and afterwards the network serves as before. The test is run without the race detector, which takes memory of its own.
func TestProcessesKeepWithinMemory(t *testing.T) {
	n, targets := startNetwork(t)
	for _, attack := range Attacks {
		t.Run(attack.Name, func(t *testing.T) {
			play(t, n, targets, []Attack{attack}, attackConnections)
		})
	}
	t.Run("all at once", func(t *testing.T) { play(t, n, targets, Attacks, mixedConnections) })
	put(t, n, localnet.Manifest(2, 1, "shop"))
	awaitService(t, n)
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
}

// The same with the greatest configuration and as many servers as are taken, while operators put further configurations of that size.
func TestGreatestStateBesideAbuse(t *testing.T) {
	n, targets := startNetwork(t)
	put(t, n, greatestManifest(2, 1))
	accepted := registerServers(t, n)
	t.Logf("%d servers are taken", accepted)
	assert.Assert(t, accepted < offeredServers && accepted > offeredServers/4)
	ctx, stop := context.WithCancel(t.Context())
	var operators sync.WaitGroup
	for i := range operatorCount {
		operators.Go(func() { // one of them wins, the others get 412, or 503 while there is no memory for another one
			n.ControlAt(ctx, n.CoreMachines()[i%n.Core], http.MethodPut, "/manifest", greatestManifest(3+i, 2))
		})
	}
	play(t, n, targets, Attacks, mixedConnections)
	stop()
	operators.Wait()
	readCtx, end := context.WithTimeout(t.Context(), 20*time.Second)
	defer end()
	status, text, err := n.Control(readCtx, http.MethodGet, "/manifest", nil)
	assert.NilError(t, err)
	assert.Assert(t, status == http.StatusOK && len(text) > greatestBytes/2, "%d, %d bytes", status, len(text))
	for !n.Ready(n.EdgeMachines()[0]) {
		assert.NilError(t, readCtx.Err(), "the edge is not ready")
	}
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
}

const (
	offeredServers    = 6000
	registrationCalls = 32 // at once
	operatorCount     = 40
	greatestBytes     = coreMemoryMB << 20 / 80
)

// greatestManifest returns a configuration that is about as long as one may be, and whose routes differ from those of other editions.
func greatestManifest(edition, base int) []byte {
	small := localnet.Manifest(edition, base, "shop")
	const route = `{"parcel_kind":"routes","label":{"name":"r-%[2]d"},"manifest":{"domain":"shop%[2]d.example","path_prefix":"/p%[2]dx%[1]d/",` +
		`"mail_class":"resendable","timeout":"2000ms","target":"500ms","precedence":1,"carrier":"shop","tries":2}},`
	first := bytes.Index(small, []byte(`{"parcel_kind"`))
	var routes []byte
	for i := 0; len(small)+len(routes) < greatestBytes-len(route); i++ {
		routes = fmt.Appendf(routes, route, edition, i)
	}
	return slices.Concat(small[:first], routes, small[first:])
}

// registerServers offers many servers and returns how many are taken.
func registerServers(t *testing.T, n *localnet.Network) int {
	t.Helper()
	var callers sync.WaitGroup
	var taken atomic.Int64
	for caller := range registrationCalls {
		callers.Go(func() {
			for i := caller; i < offeredServers; i += registrationCalls {
				body := fmt.Appendf(nil, `{"id":"many-%d","carrier":"shop","address":"10.1.%d.%d:80","zone":"zone-1","berths":4,"state":"open","warmup":"0ms","postmark":1}`, i, i/250, i%250)
				if status, _, err := n.ControlAt(t.Context(), n.CoreMachines()[i%n.Core], http.MethodPut, fmt.Sprint("/servers/many-", i), body); err == nil && status == http.StatusOK {
					taken.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return int(taken.Load())
}

// play plays attacks on some machines at once, and checks the memory of all processes.
func play(t *testing.T, n *localnet.Network, targets []*localnet.Machine, attacks []Attack, connections int) {
	ctx, stop := context.WithTimeout(t.Context(), *attackTime)
	defer stop()
	var tasks sync.WaitGroup
	for _, m := range targets {
		for _, attack := range attacks {
			tasks.Go(func() { attack.Run(ctx, m, connections, *seed) })
		}
	}
	tasks.Wait()
	for _, peak := range n.PeakMemory() {
		t.Log(peak)
		assert.Check(t, !peak.Exceeds(), "%s", peak)
	}
	assert.Equal(t, len(n.UnexpectedEnds()), 0, "%v", n.UnexpectedEnds())
}

// put puts a configuration, which must be acknowledged.
func put(t *testing.T, n *localnet.Network, body []byte) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	status, text, err := n.Control(ctx, http.MethodPut, "/manifest", body)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "%s", text)
}

// awaitService waits until the edge answers a request with a server's success.
func awaitService(t *testing.T, n *localnet.Network) {
	t.Helper()
	status, err := 0, error(nil)
	for attempt, deadline := 0, time.Now().Add(20*time.Second); time.Now().Before(deadline); attempt++ {
		status, _, _, err = n.Request(n.EdgeMachines()[0], http.MethodGet, "shop.example", "/resendable/1", fmt.Sprint("try-", attempt))
		if err == nil && status == http.StatusOK {
			return
		}
	}
	t.Fatalf("not served: status %d, %v", status, err)
}
