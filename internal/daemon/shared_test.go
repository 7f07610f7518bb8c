package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/recovery"
	"cedarmast/internal/standin"
)

// sharingConfigs returns the configurations of two routers that exchange messages and use two cache servers, with the
// given operators' file.
func sharingConfigs(t *testing.T, operators string) (config [2]map[string]any) {
	t.Helper()
	a, b := serverNamed(t, "a"), serverNamed(t, "b")
	discovery := standin.NewDiscovery(t, 0, standin.Endpoint{Name: "a", Address: a.Address, Status: "SERVING", Weight: 1},
		standin.Endpoint{Name: "b", Address: b.Address, Status: "SERVING", Weight: 1})
	peers := []string{freeAddress(t), freeAddress(t)}
	for k := range config {
		c := testConfig(t, a.Address, discovery.Address, 256)
		delete(c, "known")
		c["name"], c["peer_listen"], c["peers"], c["operator"] = fmt.Sprint("n", k), peers[k], peers, freeAddress(t)
		set := c["settings"].(map[string]any)
		set["FleetSize"], set["MyNumber"], set["Limits"].(map[string]any)["PeerMessages"] = 2, k, true
		config[k] = c
	}
	own := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(own, []byte(operators), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("CEDARMAST_OPERATOR", own)
	return config
}

// giveOrder retries an order about server b until the router accepts it.
func giveOrder(t *testing.T, config map[string]any, what string) {
	t.Helper()
	standin.Eventually(t, "the order is accepted", func() bool {
		return call(t, config["operator"].(string), "PUT", "/cache-servers/b/"+what) == 200
	})
}

// Two routers share orders: an order from before sharing was on is shared once the other router is heard, a later
// order on the other router overrides it on both, and a successor process takes over what its predecessor knew. The
// facts command compares the copies and reports a router that does not answer.
func TestSharedOrders(t *testing.T) {
	config, dirs := sharingConfigs(t, "[shared]\n"), []string{t.TempDir(), t.TempDir()}
	operators := func(k int) string { return config[k]["operator"].(string) }
	waitForFact := func(k int, what string) {
		t.Helper()
		standin.Eventually(t, fmt.Sprintf("router %d holds %s", k, what), func() bool {
			text, err := httpGet(operators(k), "/facts")
			return err == nil && strings.Contains(string(text), what)
		})
	}
	own := os.Getenv("CEDARMAST_OPERATOR")
	t.Setenv("CEDARMAST_OPERATOR", "")
	first := startInSharedDir(t, config[0], dirs[0]).waitReady(t)
	if status := call(t, operators(0), "GET", "/facts"); status != 404 {
		t.Errorf("facts of a router without sharing: %d", status)
	}
	giveOrder(t, config[0], "maint")
	first.Process.Kill()
	<-first.exited

	t.Setenv("CEDARMAST_OPERATOR", own)
	old, other := startInSharedDir(t, config[0], dirs[0]), startInSharedDir(t, config[1], dirs[1])
	old.waitReady(t)
	other.waitReady(t)
	waitForFact(1, `"says": "out"`)
	if status := call(t, operators(1), "PUT", "/cache-servers/a/ready"); status != 200 {
		t.Errorf("putting back a server that is in use: %d", status)
	}
	giveOrder(t, config[1], "ready")
	waitForFact(0, `"says": "back"`)
	n := 0
	standin.Eventually(t, "the server put back is used", func() bool {
		n++
		_, body, err := ask(old.address, fmt.Sprint("/read/k", n))
		return err == nil && body == "b"
	})
	giveOrder(t, config[0], "maint")

	oldAddress := config[0]["operator"]
	config[0]["operator"] = freeAddress(t)
	successor := startInSharedDir(t, config[0], dirs[0])
	successor.waitHealthy(t, operators(0))
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	waitForFact(0, `"says": "out"`)
	waitForFact(1, `"says": "out"`)
	compare := func(addrs ...string) (int, string) {
		var out, errs strings.Builder
		status := Main(append([]string{"facts"}, addrs...), noEnv, &out, &errs)
		return status, out.String() + errs.String()
	}
	output := ""
	standin.Eventually(t, "the copies are identical", func() bool {
		var status int
		status, output = compare(operators(0), operators(1))
		return status == 0 && strings.Contains(output, "1 more identical on all routers")
	})
	if text, err := httpGet(operators(1), "/facts"); err != nil || strings.Contains(string(text), `"subject": "a"`) {
		t.Errorf("putting back a server that was not out was shared: %s, %v", text, err)
	}
	if status, says := compare(operators(0), oldAddress.(string)); status != 1 || !strings.Contains(says, "refused") {
		t.Errorf("with a router that has stopped: %d %s", status, says)
	}
	for _, p := range []*child{successor, other} {
		p.Process.Signal(syscall.SIGTERM)
		if log := p.waitExit(t); strings.Contains(log, "DATA RACE") {
			t.Error(log)
		}
	}
}

// A clock set back by an hour invalidates a stored list and counts, but no order: versions of facts don't depend on
// the clock. Guards against refusing the whole state, which lost an order that kept a server drained.
func TestStoredOrderWithClockSetBack(t *testing.T) {
	dir := t.TempDir()
	config := sharingConfigs(t, fmt.Sprintf("[state]\ndir = %q\n[shared]\n", dir))[0] // the other router is not started
	p := startInSharedDir(t, config, "").waitReady(t)
	giveOrder(t, config, "maint")
	p.Process.Kill()
	<-p.exited
	store := recovery.NewStore(dir, config["listen"].(string))
	state, ok, faults := store.Load()
	if !ok || len(faults) > 0 || len(state.Facts) == 0 {
		t.Fatalf("%v, %v, %d bytes of facts", ok, faults, len(state.Facts))
	}
	state.Saved = state.Saved.Add(time.Hour)                                  // as if the clock had been set back since
	if err := errors.Join(store.Save(state), store.Save(state)); err != nil { // overwrites both stored files
		t.Fatal(err)
	}
	p = startInSharedDir(t, config, "").waitReady(t)
	if log := p.log.String(); !strings.Contains(log, "the clock was set back") {
		t.Errorf("unexpected log: %s", log)
	}
	for n := range 12 {
		if status, body, err := ask(p.address, fmt.Sprint("/read/k", n)); err != nil || status != 200 || body != "a" {
			t.Errorf("%d %q %v: b is out", status, body, err)
		}
	}
}
