package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/standin"
)

// The operators' file turns sites on: a router prefers its own site, fails over to the next one and logs its view of
// the sites. An invalid file ends the start with status 2 and an error that names file and key; treating it as empty
// would silently turn every option off.
func TestOperatorsFile(t *testing.T) {
	home, away := serverNamed(t, "home"), serverNamed(t, "away")
	discovery := standin.NewDiscovery(t, 1)
	config := testConfig(t, home.Address, discovery.Address, 256)
	config["settings"].(map[string]any)["Zone"] = "z"
	dir := t.TempDir()
	file := func(text string) string {
		path := filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, marshal(t, config), 0o600); err != nil {
		t.Fatal(err)
	}
	for text, says := range map[string]string{
		"[sites]\nspil = 0.5":              "operator.toml:2: unknown key [sites spil]",
		"[sites]\nspill = 0":               "sites.spill: 0 is not greater than 0",
		"[sites]\nsteps = []":              "sites.steps: none",
		"[sites]\nhold = \"0s\"":           "sites.hold: 0s is not greater than 0",
		"[sites]\nspill = 1.5":             "sites.spill: 1.5 is not within 0 and 1",
		"[sites]\nprefer = [\"z\", \"z\"]": "sites.prefer[1]: \"z\" stands there twice",
		"[sites]\nsteps = [0.5, 0.25]":     "sites.steps[1]: 0.25 is not over 0.5",
		"[sites]\nhold = \"soon\"":         "sites.hold: \"soon\" is not a duration",
		"[shared]\nforget_after = \"1s\"":  "shared.forget_after: \"1s\" is not a duration",
		"[shared]":                         "",
		"[placement]\nby = \"lists\"":      "placement.by: \"lists\" is neither cuts nor list",
		"[placement]\nby = \"list\"":       "",
		"[sites":                           "operator.toml:1: ",
		"[sites]\nprefer = [\"z\"]":        "",
	} {
		path := file(text)
		var out, errs strings.Builder
		status := Main([]string{"check", configPath}, func(name string) string {
			return map[string]string{"CEDARMAST_OPERATOR": path}[name]
		}, &out, &errs)
		if (status == 0) != (says == "") || status != 0 && status != 2 || !strings.Contains(errs.String(), says) {
			t.Errorf("%q: status %d, %s", text, status, &errs)
		}
	}
	t.Setenv("CEDARMAST_OPERATOR", file("[sites]\nhold = \"1s\""))
	p := startProcess(t, config)
	discovery.Update(standin.Endpoint{Name: "b", Address: away.Address, Zone: "y", Type: "box", Status: "SERVING", Weight: 1})
	standin.Eventually(t, "the list is applied", func() bool { return discovery.Requests() > 2 })
	for range 20 {
		if _, body, err := ask(p.address, "/read/k"); err != nil || body != "home" {
			t.Fatalf("%q %v", body, err)
		}
	}
	home.Close()
	standin.Eventually(t, "the next site serves", func() bool { _, body, _ := ask(p.address, "/read/k"); return body == "away" })
	p.Process.Signal(syscall.SIGUSR1)
	ask(p.address, "/read/k") // gives the router time to handle the signal before SIGTERM
	time.Sleep(100 * time.Millisecond)
	p.Process.Signal(syscall.SIGTERM)
	if log := p.waitExit(t); !strings.Contains(log, `msg="site viewed" site=z order=0`) {
		t.Errorf("the view of the sites is not logged:\n%s", log)
	}
}
