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

// sharingConfigs are configurations of two routers that may send each other messages, before two servers, with an operators' file.
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

// giveOrder gives an order about server b, as soon as it is taken.
func giveOrder(t *testing.T, config map[string]any, what string) {
	t.Helper()
	standin.Eventually(t, "the order is taken", func() bool {
		return call(t, config["operator"].(string), "PUT", "/cache-servers/b/"+what) == 200
	})
}

// Two routers share orders: one that was given before sharing was on is told once others are heard, a later one from the other side wins over
// it at both, and a process that replaces another takes up what that knew. The command compares the copies and says when one does not answer.
func TestSharedOrders(t *testing.T) {
	config, dirs := sharingConfigs(t, "[shared]\n"), []string{t.TempDir(), t.TempDir()}
	operators := func(k int) string { return config[k]["operator"].(string) }
	holds := func(k int, what string) {
		t.Helper()
		standin.Eventually(t, fmt.Sprintf("router %d holds %s", k, what), func() bool {
			text, err := httpGet(operators(k), "/facts")
			return err == nil && strings.Contains(string(text), what)
		})
	}
	own := os.Getenv("CEDARMAST_OPERATOR")
	t.Setenv("CEDARMAST_OPERATOR", "")
	first := startInSharedDir(t, config[0], dirs[0]).ready(t)
	if status := call(t, operators(0), "GET", "/facts"); status != 404 {
		t.Errorf("facts of a router that shares nothing: %d", status)
	}
	giveOrder(t, config[0], "maint")
	first.Process.Kill()
	<-first.exited

	t.Setenv("CEDARMAST_OPERATOR", own)
	old, other := startInSharedDir(t, config[0], dirs[0]), startInSharedDir(t, config[1], dirs[1])
	old.ready(t)
	other.ready(t)
	holds(1, `"says": "out"`)
	if status := call(t, operators(1), "PUT", "/cache-servers/a/ready"); status != 200 {
		t.Errorf("a call back of a server that is in use: %d", status)
	}
	giveOrder(t, config[1], "ready")
	holds(0, `"says": "back"`)
	n := 0
	standin.Eventually(t, "the server that is back is used", func() bool {
		n++
		_, body, err := ask(old.address, fmt.Sprint("/read/k", n))
		return err == nil && body == "b"
	})
	giveOrder(t, config[0], "maint")

	was := config[0]["operator"]
	config[0]["operator"] = freeAddress(t)
	young := startInSharedDir(t, config[0], dirs[0])
	young.healthy(t, operators(0))
	old.Process.Signal(syscall.SIGTERM)
	old.end(t)
	holds(0, `"says": "out"`)
	holds(1, `"says": "out"`)
	compare := func(addrs ...string) (int, string) {
		var out, errs strings.Builder
		status := Main(append([]string{"facts"}, addrs...), noEnv, &out, &errs)
		return status, out.String() + errs.String()
	}
	said := ""
	standin.Eventually(t, "the copies are alike", func() bool {
		var status int
		status, said = compare(operators(0), operators(1))
		return status == 0 && strings.Contains(said, "1 more identical on all routers")
	})
	if text, err := httpGet(operators(1), "/facts"); err != nil || strings.Contains(string(text), `"subject": "a"`) {
		t.Errorf("a call back of a server that nobody had called out was shared: %s, %v", text, err)
	}
	if status, says := compare(operators(0), was.(string)); status != 1 || !strings.Contains(says, "refused") {
		t.Errorf("with one that has gone: %d %s", status, says)
	}
	for _, p := range []*child{young, other} {
		p.Process.Signal(syscall.SIGTERM)
		if log := p.end(t); strings.Contains(log, "DATA RACE") {
			t.Error(log)
		}
	}
}

// A clock that was set back by an hour costs a router its stored list and counts, and no order: what others have written, and in which order,
// hangs on no clock. Guard: the whole state is refused then, and an order that keeps a drain went with it.
func TestStoredOrderWithClockSetBack(t *testing.T) {
	dir := t.TempDir()
	config := sharingConfigs(t, fmt.Sprintf("[state]\ndir = %q\n[shared]\n", dir))[0] // nobody is the other one
	p := startInSharedDir(t, config, "").ready(t)
	giveOrder(t, config, "maint")
	p.Process.Kill()
	<-p.exited
	store := recovery.NewStore(dir, config["listen"].(string))
	state, ok, faults := store.Load()
	if !ok || len(faults) > 0 || len(state.Facts) == 0 {
		t.Fatalf("%v, %v, %d bytes of facts", ok, faults, len(state.Facts))
	}
	state.Saved = state.Saved.Add(time.Hour)                                  // as seen by a clock that has gone back since
	if err := errors.Join(store.Save(state), store.Save(state)); err != nil { // in the place of both that are kept
		t.Fatal(err)
	}
	p = startInSharedDir(t, config, "").ready(t)
	if log := p.log.String(); !strings.Contains(log, "the clock was set back") {
		t.Errorf("the log: %s", log)
	}
	for n := range 12 {
		if status, body, err := ask(p.address, fmt.Sprint("/read/k", n)); err != nil || status != 200 || body != "a" {
			t.Errorf("%d %q %v: b is out", status, body, err)
		}
	}
}
