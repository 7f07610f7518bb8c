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

// The test binary plays the three programs when it is told to.
func TestMain(m *testing.M) {
	if programs.Play() {
		return
	}
	os.Exit(m.Run())
}

func start(t *testing.T, core, edges int) *Network {
	t.Helper()
	return Shape{Core: core, Edges: edges, Zones: 2}.start(t)
}

func (s Shape) start(t *testing.T) *Network {
	t.Helper()
	s.Dir, s.Out, s.Program = t.TempDir(), t.Output(), programs.Line
	n, err := Start(s)
	assert.NilError(t, err)
	t.Cleanup(n.Stop)
	return n
}

// until waits for something that must come, looking often.
func until(t *testing.T, within time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	late, look := time.After(within), time.NewTicker(5*time.Millisecond)
	defer look.Stop()
	for !ok() {
		select {
		case <-late:
			t.Fatalf("%s: not within %s", what, within)
		case <-look.C:
		}
	}
	return time.Since(begun)
}

func (n *Network) order(t *testing.T, method, path string, body []byte) int {
	t.Helper()
	ctx, done := context.WithTimeout(t.Context(), 15*time.Second)
	defer done()
	status, text, err := n.Control(ctx, method, path, body)
	assert.NilError(t, err)
	if status != 200 {
		t.Logf("%s %s: %d %s", method, path, status, text)
	}
	return status
}

func (n *Network) served(m *Machine, path, id string) (int, string) {
	status, _, body, err := n.Ask(m, "GET", "shop.example", path, id)
	if err != nil {
		return 0, err.Error()
	}
	return status, body
}

func (n *Network) status(m *Machine) (s configstore.Status) {
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
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

// A day of the whole path: servers become known, a configuration comes into force, objects are served and purged, a server drains;
// then the leader is killed, a disk is lost, and all of the core at once, and nothing that was acknowledged is gone.
func TestADay(t *testing.T) {
	n := start(t, 4, 3)
	one, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	two, err := n.Serve("i-2", "shop", 201)
	assert.NilError(t, err)
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(3, 0, "shop")), 200)
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(3, 0, "shop")), 200)
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(4, 0, "shop")), 412)
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(4, 3, "")), 400)
	for i, m := range n.EdgeMachines() {
		until(t, 10*time.Second, "an edge is ready", func() bool { return n.Ready(m) })
		until(t, 5*time.Second, "an object", func() bool { status, _ := n.served(m, "/shelved/1", fmt.Sprint("a", i)); return status == 200 })
	}
	until(t, 10*time.Second, "every core machine is a voter", func() bool { return len(n.status(n.Machines[0]).Members) == 4 })

	one.Change()
	two.Change()
	assert.Equal(t, n.order(t, "POST", "/purge", []byte(`{"domain":"shop.example","path":"/shelved/1"}`)), 200)
	for i, m := range n.EdgeMachines() {
		took := until(t, 2*time.Second, "the purge", func() bool {
			_, body := n.served(m, "/shelved/1", fmt.Sprint("b", i))
			return strings.Contains(body, "version 2")
		})
		t.Log("purged within", took)
	}
	status, _ := n.served(n.EdgeMachines()[0], "/new/1", "c")
	assert.Equal(t, status, 404)

	one.Close()
	<-one.Acked // the call under way, which may still have said that it is open
	<-one.Acked
	until(t, 2*time.Second, "nobody comes to a closing server", func() bool {
		before, _ := one.Ran()
		for i := range 12 {
			n.served(n.EdgeMachines()[i%3], "/resendable/1", fmt.Sprint("d", i, time.Now().UnixNano()))
		}
		after, _ := one.Ran()
		return after == before
	})

	l := n.leader()
	assert.Assert(t, l != nil)
	n.Signal(l, syscall.SIGKILL)
	assert.NilError(t, n.Wipe(l))
	begun := time.Now()
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(7, 3, "shop", "new")), 200)
	t.Log("a configuration acknowledged after the leader's loss within", time.Since(begun))
	assert.NilError(t, n.Up(l))
	for i, m := range n.EdgeMachines() {
		until(t, 5*time.Second, "the new route", func() bool {
			status, _ := n.served(m, "/new/1", fmt.Sprint("e", i, time.Now().UnixNano()))
			return status == 200
		})
	}
	until(t, 10*time.Second, "the machine with the lost disk is a voter again", func() bool {
		s := n.status(l)
		return len(s.Members) == 4 && s.Version == "r7" && strings.Contains(s.ID, "~")
	})

	for _, m := range n.Machines[:n.Core] {
		n.Signal(m, syscall.SIGKILL)
	}
	for _, m := range n.Machines[:n.Core] {
		assert.NilError(t, n.Up(m))
	}
	ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
	defer done()
	code, text, err := n.Control(ctx, "GET", "/manifest", nil)
	assert.NilError(t, err)
	assert.Equal(t, code, 200)
	assert.Equal(t, string(text), string(Manifest(7, 3, "shop", "new")))

	edge := n.EdgeMachines()[0]
	n.Signal(edge, syscall.SIGKILL)
	assert.NilError(t, n.Up(edge))
	until(t, 10*time.Second, "a diskless edge is back", func() bool { return n.Ready(edge) })
	status, _ = n.served(edge, "/new/1", "f")
	assert.Equal(t, status, 200, "a ready edge holds what was acknowledged before it asked")
	begun = time.Now()
	n.Signal(edge, syscall.SIGTERM)
	assert.Assert(t, time.Since(begun) < 6*time.Second)
}

// Store machines go and come while clients ask for objects: each edge has its objects by way of those that are left, then without any, and the
// holder of the duty takes the dead out of the roster. A purge holds all the while.
func TestStoreMachinesGoAndCome(t *testing.T) {
	n := Shape{Core: 3, Edges: 3, Stores: 2, Zones: 2}.start(t)
	shop, err := n.Serve("i-1", "shop", 200)
	assert.NilError(t, err)
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(3, 0, "shop")), 200)
	next, version := 0, 1
	everywhere := func(what string, within time.Duration) {
		next++
		for i, m := range n.EdgeMachines() {
			until(t, within, what, func() bool {
				status, body := n.served(m, fmt.Sprint("/shelved/", next), fmt.Sprint("o", next, "-", i, "-", time.Now().UnixNano()))
				return status == 200 && strings.Contains(body, fmt.Sprint("version ", version))
			})
		}
	}
	routers := func(want int) func() bool {
		return func() bool { return n.status(n.Machines[1]).Routers == want }
	}
	for _, m := range n.EdgeMachines() {
		until(t, 10*time.Second, "an edge is ready", func() bool { return n.Ready(m) })
	}
	until(t, 10*time.Second, "all are in the roster", routers(5))
	everywhere("an object by way of the stores", 5*time.Second)
	ran, _ := shop.Ran()
	assert.Assert(t, ran <= 2, "one fetch a zone at most, by its store: %d", ran)

	stores := n.StoreMachines()
	n.Signal(stores[0], syscall.SIGKILL)
	everywhere("an object beside a store that is gone", 4*time.Second)
	until(t, 10*time.Second, "the store is taken out", routers(4))
	n.Signal(stores[1], syscall.SIGKILL)
	everywhere("an object without any store", 6*time.Second)
	until(t, 10*time.Second, "both are taken out", routers(3))
	shop.Change()
	version++
	assert.Equal(t, n.order(t, "POST", "/purge", []byte(`{"domain":"shop.example","path":"/shelved/1"}`)), 200)
	next = 0
	everywhere("the purged object anew", 3*time.Second)
	for _, m := range stores {
		assert.NilError(t, n.Up(m))
	}
	until(t, 10*time.Second, "both are back", routers(5))
	next = 10
	everywhere("an object by way of the stores again", 4*time.Second)
}

// Core machines are frozen, one after the other, while operators race: the history of their calls is that of one register that
// is compared and set.
func TestOperatorsCallsAreLinearizable(t *testing.T) {
	n := start(t, 3, 0)
	assert.Equal(t, n.order(t, "PUT", "/manifest", Manifest(1, 0, "shop")), 200)
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
			case !out.known: // it may have come into force, now or never
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
	for who := range 4 {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				m := n.Machines[(who+k)%3]
				ctx, done := context.WithTimeout(t.Context(), 2*time.Second)
				begun := time.Now()
				status, text, err := n.ControlAt(ctx, m, "GET", "/manifest", nil)
				var got struct{ Edition string }
				json.Unmarshal(text, &got)
				version := 0
				fmt.Sscanf(got.Edition, "r%d", &version)
				read := porcupine.Operation{ClientId: who, Input: call{}, Output: result{known: err == nil && status == 200, version: version}, Call: begun.UnixNano(), Return: time.Now().UnixNano()}
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
					op := porcupine.Operation{ClientId: who, Input: call{true, edition, version}, Output: r, Call: begun.UnixNano(), Return: time.Now().UnixNano()}
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
