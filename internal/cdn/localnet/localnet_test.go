package localnet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/cdn/configstore"
	"cedarmast/internal/cdn/programs"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// TestMain runs one of the three programs instead of the tests when the test binary is started as that program.
func TestMain(m *testing.M) {
	if programs.RunIfRequested() {
		return
	}
	os.Exit(m.Run())
}

func startNetwork(t *testing.T, core, edges int) *Network {
	t.Helper()
	return Shape{Core: core, Edges: edges, Zones: 2}.startForTest(t)
}

func (s Shape) startForTest(t *testing.T) *Network {
	t.Helper()
	s.Dir, s.Out, s.Program = t.TempDir(), t.Output(), programs.CommandLine
	n, err := Start(s)
	assert.NilError(t, err)
	t.Cleanup(n.Stop)
	return n
}

// waitFor polls a condition every 5 ms until it holds, fails the test after a timeout, and returns how long it took.
func waitFor(t *testing.T, limit time.Duration, condition string, ok func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	timeout, ticker := time.After(limit), time.NewTicker(5*time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-timeout:
			t.Fatalf("%s: not within %s", condition, limit)
		case <-ticker.C:
		}
	}
	return time.Since(started)
}

func (n *Network) controlStatus(t *testing.T, method, path string, body []byte) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	status, text, err := n.Control(ctx, method, path, body)
	assert.NilError(t, err)
	if status != 200 {
		t.Logf("%s %s: %d %s", method, path, status, text)
	}
	return status
}

func (n *Network) get(m *Machine, path, id string) (int, string) {
	status, _, body, err := n.Request(m, "GET", "shop.example", path, id)
	if err != nil {
		return 0, err.Error()
	}
	return status, body
}

func (n *Network) status(m *Machine) (s configstore.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, text, _ := n.ControlAt(ctx, m, "GET", "/status", nil)
	json.Unmarshal(text, &s)
	return s
}

func (n *Network) leader() *Machine {
	for _, m := range n.Machines[:n.Core] {
		if n.status(m).Role == "leader" {
			return m
		}
	}
	return nil
}

// The whole network end to end: servers register, a configuration takes effect, objects are served and purged, a server drains.
// Then the leader is killed and its disk wiped, then all core machines are killed at once, and nothing that was acknowledged is
// lost.
func TestFailoverAndRestart(t *testing.T) {
	n := startNetwork(t, 4, 3)
	one, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	two, err := n.Serve("i-2", "shop", 201)
	assert.NilError(t, err)
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(3, 0, "shop")), 200)
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(3, 0, "shop")), 200)
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(4, 0, "shop")), 412)
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(4, 3, "")), 400)
	for i, m := range n.EdgeMachines() {
		waitFor(t, 10*time.Second, "an edge is ready", func() bool { return n.Ready(m) })
		waitFor(t, 5*time.Second, "an object is served", func() bool { status, _ := n.get(m, "/shelved/1", fmt.Sprint("a", i)); return status == 200 })
	}
	waitFor(t, 10*time.Second, "every core machine is a voter", func() bool { return len(n.status(n.Machines[0]).Members) == 4 })

	one.UpdateObjects()
	two.UpdateObjects()
	assert.Equal(t, n.controlStatus(t, "POST", "/purge", []byte(`{"domain":"shop.example","path":"/shelved/1"}`)), 200)
	for i, m := range n.EdgeMachines() {
		took := waitFor(t, 2*time.Second, "the purge", func() bool {
			_, body := n.get(m, "/shelved/1", fmt.Sprint("b", i))
			return strings.Contains(body, "version 2")
		})
		t.Log("purged within", took)
	}
	status, _ := n.get(n.EdgeMachines()[0], "/new/1", "c")
	assert.Equal(t, status, 404)

	one.Drain()
	<-one.Acked // the call in flight, which may still have reported the state open
	<-one.Acked
	waitFor(t, 2*time.Second, "no request reaches a closing server", func() bool {
		before, _ := one.RunCounts()
		for i := range 12 {
			n.get(n.EdgeMachines()[i%3], "/resendable/1", fmt.Sprint("d", i, time.Now().UnixNano()))
		}
		after, _ := one.RunCounts()
		return after == before
	})

	l := n.leader()
	assert.Assert(t, l != nil)
	n.Signal(l, syscall.SIGKILL)
	assert.NilError(t, n.WipeDisk(l))
	begun := time.Now()
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(7, 3, "shop", "new")), 200)
	t.Log("a configuration acknowledged after the leader's loss within", time.Since(begun))
	assert.NilError(t, n.StartMachine(l))
	for i, m := range n.EdgeMachines() {
		waitFor(t, 5*time.Second, "the new route", func() bool {
			status, _ := n.get(m, "/new/1", fmt.Sprint("e", i, time.Now().UnixNano()))
			return status == 200
		})
	}
	waitFor(t, 10*time.Second, "the machine with the lost disk is a voter again", func() bool {
		s := n.status(l)
		return len(s.Members) == 4 && s.Version == "r7" && strings.Contains(s.ID, "~")
	})

	for _, m := range n.Machines[:n.Core] {
		n.Signal(m, syscall.SIGKILL)
	}
	for _, m := range n.Machines[:n.Core] {
		assert.NilError(t, n.StartMachine(m))
	}
	ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
	defer done()
	code, text, err := n.Control(ctx, "GET", "/manifest", nil)
	assert.NilError(t, err)
	assert.Equal(t, code, 200)
	assert.Equal(t, string(text), string(Manifest(7, 3, "shop", "new")))

	edge := n.EdgeMachines()[0]
	n.Signal(edge, syscall.SIGKILL)
	assert.NilError(t, n.StartMachine(edge))
	waitFor(t, 10*time.Second, "an edge, which has no disk, is ready again", func() bool { return n.Ready(edge) })
	status, _ = n.get(edge, "/new/1", "f")
	assert.Equal(t, status, 200, "a ready edge holds what was acknowledged before it asked")
	begun = time.Now()
	n.Signal(edge, syscall.SIGTERM)
	assert.Assert(t, time.Since(begun) < 6*time.Second)
}

// Store machines are killed and restarted while clients request objects: each edge serves them through the stores that are left,
// then without any, and the holder of the duty removes dead stores from the roster. A purge remains effective throughout.
func TestStoreMachinesGoAndCome(t *testing.T) {
	n := Shape{Core: 3, Edges: 3, Stores: 2, Zones: 2}.startForTest(t)
	shop, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(3, 0, "shop")), 200)
	next, version := 0, 1
	everywhere := func(what string, within time.Duration) {
		next++
		for i, m := range n.EdgeMachines() {
			waitFor(t, within, what, func() bool {
				status, body := n.get(m, fmt.Sprint("/shelved/", next), fmt.Sprint("o", next, "-", i, "-", time.Now().UnixNano()))
				return status == 200 && strings.Contains(body, fmt.Sprint("version ", version))
			})
		}
	}
	routers := func(want int) func() bool {
		return func() bool { return n.status(n.Machines[1]).Routers == want }
	}
	for _, m := range n.EdgeMachines() {
		waitFor(t, 10*time.Second, "an edge is ready", func() bool { return n.Ready(m) })
	}
	waitFor(t, 10*time.Second, "all are in the roster", routers(5))
	everywhere("an object through the stores", 5*time.Second)
	ran, _ := shop.RunCounts()
	assert.Assert(t, ran <= 2, "at most one fetch per zone, by its store: %d", ran)

	stores := n.StoreMachines()
	n.Signal(stores[0], syscall.SIGKILL)
	everywhere("an object while one store is down", 4*time.Second)
	waitFor(t, 10*time.Second, "the store is removed from the roster", routers(4))
	n.Signal(stores[1], syscall.SIGKILL)
	everywhere("an object without any store", 6*time.Second)
	waitFor(t, 10*time.Second, "both are removed from the roster", routers(3))
	shop.UpdateObjects()
	version++
	assert.Equal(t, n.controlStatus(t, "POST", "/purge", []byte(`{"domain":"shop.example","path":"/shelved/1"}`)), 200)
	next = 0
	everywhere("the purged object anew", 3*time.Second)
	for _, m := range stores {
		assert.NilError(t, n.StartMachine(m))
	}
	waitFor(t, 10*time.Second, "both are back", routers(5))
	next = 10
	everywhere("an object through the stores again", 4*time.Second)
}

// Core machines are paused one after the other while operators call concurrently: the history of their calls must be linearizable
// as that of a single compare-and-set register.
func TestOperatorsCallsAreLinearizable(t *testing.T) {
	n := startNetwork(t, 3, 0)
	assert.Equal(t, n.controlStatus(t, "PUT", "/manifest", Manifest(1, 0, "shop")), 200)
	type call struct {
		put            bool
		edition, based int
	}
	type result struct {
		known   bool
		ok      bool
		version int
	}
	model := porcupine.Model{
		Init: func() any { return 1 },
		Step: func(state, input, output any) (bool, any) {
			at, in, out := state.(int), input.(call), output.(result)
			switch {
			case !in.put:
				return !out.known || out.version == at, at
			case !out.known: // it may or may not have been applied
				if in.based == at {
					return true, in.edition
				}
				return true, at
			case out.ok:
				return in.based == at, in.edition
			}
			return in.based != at, at
		},
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	next, begun := 1, time.Now()
	end := begun.Add(5 * time.Second)
	for client := range 4 {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				m := n.Machines[(client+k)%3]
				ctx, done := context.WithTimeout(t.Context(), 2*time.Second)
				begun := time.Now()
				status, text, err := n.ControlAt(ctx, m, "GET", "/manifest", nil)
				var got struct{ Edition string }
				json.Unmarshal(text, &got)
				version := 0
				fmt.Sscanf(got.Edition, "r%d", &version)
				read := porcupine.Operation{ClientId: client, Input: call{}, Output: result{known: err == nil && status == 200, version: version}, Call: begun.UnixNano(), Return: time.Now().UnixNano()}
				mu.Lock()
				next++
				edition := next
				if read.Output.(result).known {
					history = append(history, read)
				}
				mu.Unlock()
				if version > 0 && edition > version {
					begun = time.Now()
					status, _, err = n.ControlAt(ctx, m, "PUT", "/manifest", Manifest(edition, version, "shop"))
					r := result{known: err == nil && (status == 200 || status == 412 || status == 400), ok: status == 200}
					op := porcupine.Operation{ClientId: client, Input: call{true, edition, version}, Output: r, Call: begun.UnixNano(), Return: time.Now().UnixNano()}
					if !r.known {
						op.Return = end.Add(time.Hour).UnixNano()
						op.ClientId = 100 + edition
					}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
				done()
			}
		})
	}
	for k := 0; time.Now().Before(end); k++ {
		m := n.leader()
		if m == nil {
			m = n.Machines[k%3]
		}
		n.Signal(m, syscall.SIGSTOP)
		thaw := time.After(900 * time.Millisecond)
		<-thaw
		n.Signal(m, syscall.SIGCONT)
		<-time.After(300 * time.Millisecond)
	}
	wg.Wait()
	taken := 0
	for _, op := range history {
		if r := op.Output.(result); r.known && r.ok {
			taken++
		}
	}
	t.Log(len(history), "calls,", taken, "configurations taken")
	assert.Assert(t, taken >= 3)
	verdict := porcupine.CheckOperationsTimeout(model, history, 20*time.Second)
	if verdict != porcupine.Ok {
		for _, op := range history {
			t.Logf("client %d, %.6f s to %.6f s: %+v %+v", op.ClientId, time.Duration(op.Call-begun.UnixNano()).Seconds(), time.Duration(op.Return-begun.UnixNano()).Seconds(), op.Input, op.Output)
		}
	}
	assert.Equal(t, verdict, porcupine.Ok)
}
