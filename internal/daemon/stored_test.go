package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cedarmast/internal/standin"
)

// startPersistent starts a router that stores its state in a directory.
func startPersistent(t *testing.T, config map[string]any, dir string) *child {
	t.Helper()
	own := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(own, fmt.Appendf(nil, "[state]\ndir = %q\nevery = \"1s\"\n", dir), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("CEDARMAST_OPERATOR", own)
	return startInSharedDir(t, config, "").waitReady(t)
}

// An order survives kill -9 from the moment it is acknowledged, and so does the list while discovery is down: the
// router restarts from its stored state, which has a server that the configuration lacks. A failing disk causes a
// warning and nothing else.
func TestStoredStateSurvivesKill(t *testing.T) {
	answer := func(body string) *standin.Server {
		return standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, body) })
	}
	a, b := answer("a"), answer("b")
	discovery := standin.NewDiscovery(t, 0, standin.Endpoint{Name: "a", Address: a.Address, Status: "SERVING", Weight: 1},
		standin.Endpoint{Name: "b", Address: b.Address, Status: "SERVING", Weight: 1})
	config := testConfig(t, a.Address, discovery.Address, 256)
	delete(config, "known")
	config["operator"] = freeAddress(t)
	dir := t.TempDir()
	p := startPersistent(t, config, dir)
	standin.Eventually(t, "the order is accepted", func() bool {
		return call(t, config["operator"].(string), "PUT", "/cache-servers/a/maint") == 200
	})
	p.Process.Kill()
	<-p.exited
	discovery.SetStatus(500)
	p = startPersistent(t, config, dir)
	if !strings.Contains(p.log.String(), "stored state taken up") {
		t.Errorf("unexpected log: %s", p.log)
	}
	for n := range 8 {
		if status, body, err := ask(p.address, fmt.Sprintf("/read/k%d", n)); err != nil || status != 200 || body != "b" {
			t.Errorf("%d %q %v: a is out, and only the stored list has b", status, body, err)
		}
	}
	p.Process.Signal(syscall.SIGHUP) // replaces the configuration while another goroutine saves
	standin.Eventually(t, "the configuration is applied", func() bool { return strings.Contains(p.log.String(), "configuration taken") })
	if status := call(t, config["operator"].(string), "PUT", "/cache-servers/b/maint"); status != 200 || strings.Contains(p.log.String(), "DATA RACE") {
		t.Errorf("an order after SIGHUP: %d\n%s", status, p.log)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if status := call(t, config["operator"].(string), "PUT", "/cache-servers/b/ready"); status != 200 {
		t.Errorf("an order without a disk: %d", status)
	}
	standin.Eventually(t, "the failure is logged", func() bool { return strings.Contains(p.log.String(), "the state can't be stored") })
	if status, _, err := ask(p.address, "/read/k"); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "saving works again", func() bool { return strings.Contains(p.log.String(), "the state is stored again") })
	all, err := filepath.Glob(filepath.Join(dir, "state-*.[01]"))
	if err != nil || len(all) == 0 {
		t.Errorf("%v %v", all, err)
	}
}

// A router reaches full service once discovery has answered and it has served for a while, and shows it in its
// counters.
func TestFullServiceIsReported(t *testing.T) {
	cache := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") })
	discovery := standin.NewDiscovery(t, 0, standin.Endpoint{Name: "a", Address: cache.Address, Status: "SERVING", Weight: 1})
	p := startProcess(t, testConfig(t, cache.Address, discovery.Address, 256))
	for range 30 {
		if status, _, err := ask(p.address, "/read/k"); err != nil || status != 200 {
			t.Fatalf("%d %v", status, err)
		}
	}
	standin.Eventually(t, "the router has recovered", func() bool { return strings.Contains(p.log.String(), "back at full service") })
	if _, stats, err := ask(p.address, "/stats"); err != nil || !strings.Contains(stats, `"phase": 2`) {
		t.Errorf("%s %v", stats, err)
	}
}
