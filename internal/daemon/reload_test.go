package daemon

import (
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cedarmast/internal/standin"
)

// reloadConfig replaces the configuration file of a process and sends it SIGHUP.
func (p *child) reloadConfig(t *testing.T, text []byte) {
	t.Helper()
	for _, line := range p.Env {
		if path, ok := strings.CutPrefix(line, "GW_CONFIG="); ok {
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func marshal(t *testing.T, config map[string]any) []byte {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func serverNamed(t *testing.T, name string) *standin.Server {
	return standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, name) })
}

// After SIGHUP with a new discovery address the whole list of the new service applies, although its indexes are lower
// than the old one's, then its changes; no connection to the old service stays. Without a handler, SIGHUP would end
// the process.
func TestNewDiscoveryOnSIGHUP(t *testing.T) {
	a, b, c := serverNamed(t, "a"), serverNamed(t, "b"), serverNamed(t, "c")
	first := standin.NewDiscovery(t, 40)
	second := standin.NewDiscovery(t, 3, standin.Endpoint{Name: "b", Address: b.Address, Status: "SERVING", Weight: 1})
	config := testConfig(t, a.Address, first.Address, 256)
	p := startProcess(t, config)
	if _, body, _ := ask(p.address, "/read/k"); body != "a" {
		t.Fatalf("served by %q", body)
	}
	config["discovery"] = second.Address
	p.reloadConfig(t, marshal(t, config))
	started := time.Now()
	standin.Eventually(t, "the new list applies", func() bool { _, body, _ := ask(p.address, "/read/k"); return body == "b" })
	if took := time.Since(started); took > time.Second {
		t.Errorf("the new list took %v", took)
	}
	first.SetStatus(500) // ends a watch request that might still be waiting
	standin.Eventually(t, "the connections to the old discovery and its server are closed",
		func() bool { return first.OpenConns() == 0 && a.OpenConns() == 0 })
	if targets := second.Targets(); targets[0] != "/registry/instances" {
		t.Errorf("asked for %q first", targets[0])
	}
	second.Update(standin.Endpoint{Name: "b", Address: b.Address, Status: "DRAINING", Weight: 1})
	second.Update(standin.Endpoint{Name: "c", Address: c.Address, Status: "SERVING", Weight: 1})
	standin.Eventually(t, "its changes apply", func() bool { _, body, _ := ask(p.address, "/read/k"); return body == "c" })
	p.Process.Signal(syscall.SIGTERM)
	p.waitExit(t)
}

// A new discovery service that does not answer leaves the current list in use and is asked until it does. Another
// SIGHUP and SIGTERM work meanwhile.
func TestSilentNewDiscoveryOnSIGHUP(t *testing.T) {
	a, b := serverNamed(t, "a"), serverNamed(t, "b")
	config := testConfig(t, a.Address, standin.NewDiscovery(t, 1).Address, 256)
	p := startProcess(t, config)
	silent := standin.NewDiscovery(t, 1)
	silent.SetStatus(-1)
	config["discovery"] = silent.Address
	p.reloadConfig(t, marshal(t, config))
	standin.Eventually(t, "the new service is asked", func() bool { return len(silent.Targets()) > 0 })
	if _, body, _ := ask(p.address, "/read/k"); body != "a" {
		t.Errorf("served by %q meanwhile", body)
	}
	late := standin.NewDiscovery(t, 9, standin.Endpoint{Name: "b", Address: b.Address, Status: "SERVING", Weight: 1})
	late.SetStatus(500)
	config["discovery"] = late.Address
	p.reloadConfig(t, marshal(t, config))
	standin.Eventually(t, "the next service is asked more than once", func() bool { return len(late.Targets()) > 2 })
	silent.SetStatus(500)
	standin.Eventually(t, "the silent service is dropped", func() bool { return silent.OpenConns() == 0 })
	silent.SetStatus(-1)
	late.SetStatus(0)
	standin.Eventually(t, "its list applies", func() bool { _, body, _ := ask(p.address, "/read/k"); return body == "b" })
	config["discovery"] = silent.Address
	p.reloadConfig(t, marshal(t, config))
	p.Process.Signal(syscall.SIGTERM)
	p.waitExit(t)
}

// An invalid configuration changes nothing and the log names the key, as it does for keys that need a restart.
func TestFaultyConfigurationOnSIGHUP(t *testing.T) {
	a := serverNamed(t, "a")
	discovery := standin.NewDiscovery(t, 1)
	config := testConfig(t, a.Address, discovery.Address, 256)
	good := marshal(t, config)
	p := startProcess(t, config)
	for _, text := range []string{"", "{", strings.Replace(string(good), discovery.Address, "nowhere", 1),
		strings.Replace(string(good), `"memory_mb":192`, `"memory_mb":1`, 1)} {
		p.reloadConfig(t, []byte(text))
		time.Sleep(50 * time.Millisecond)
		if status, body, err := ask(p.address, "/read/k"); status != 200 || body != "a" || err != nil {
			t.Errorf("after %q: %d %q %v", text, status, body, err)
		}
	}
	p.reloadConfig(t, []byte(strings.Replace(strings.Replace(string(good), `"name":"n0"`, `"name":"n1"`, 1), `"sockets":256`,
		`"sockets":128`, 1)))
	time.Sleep(50 * time.Millisecond)
	p.Process.Signal(syscall.SIGTERM)
	log := p.waitExit(t)
	for _, want := range []string{"not a JSON object", `discovery: \"nowhere\"`, "limits.memory_mb: 1 is less than",
		"waits for a restart\" key=name", "msg=\"configuration taken\"", "sockets=128"} {
		if !strings.Contains(log, want) {
			t.Errorf("no %s in the log:\n%s", want, log)
		}
	}
}

// SIGHUP before the router is ready, from the start of its process on, does not end it.
func TestSIGHUPBeforeReady(t *testing.T) {
	a := serverNamed(t, "a")
	discovery := standin.NewDiscovery(t, 0, standin.Endpoint{Name: "a", Address: a.Address, Status: "SERVING", Weight: 1})
	discovery.SetStatus(500)
	config := testConfig(t, "", discovery.Address, 256)
	delete(config, "known")
	p := startProcessWith(t, config, nil)
	standin.Eventually(t, "it is live", func() bool { status, _, _ := ask(p.address, "/health/live"); return status == 200 })
	second := standin.NewDiscovery(t, 1, standin.Endpoint{Name: "a", Address: a.Address, Status: "SERVING", Weight: 1})
	config["discovery"] = second.Address
	p.reloadConfig(t, marshal(t, config))
	p.waitReady(t)
	p.Process.Signal(syscall.SIGTERM)
	p.waitExit(t)
}

// New settings at SIGHUP: a class is added and another one removed while one of its requests is in flight, which is
// answered. Invalid files change nothing, and the log names the key.
func TestNewSettingsOnSIGHUP(t *testing.T) {
	release := make(chan struct{})
	a := standin.NewServer(t, func(r *standin.Request) bool {
		if r.URL.Path == "/once/slow" {
			<-release
		}
		return r.Answer(200, "a")
	})
	config := testConfig(t, a.Address, standin.NewDiscovery(t, 1).Address, 256)
	p := startProcess(t, config)
	getStatus := func(path string) int {
		got, _, err := ask(p.address, path)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	settings := config["settings"].(map[string]any)
	first := settings["Classes"].([]any)
	original := string(marshal(t, config))
	slow := make(chan int, 1)
	go func() { s, _, _ := ask(p.address, "/once/slow"); slow <- s }()
	standin.Eventually(t, "the request is in flight", func() bool { return a.Requests() == 1 })
	settings["Classes"] = []any{first[0], map[string]any{"Name": "next", "Objective": 500e6, "Deadline": 3000e6, "Worth": 1, "Effect": "unsafe"}}
	if got := getStatus("/next/k"); got != 404 {
		t.Errorf("before: %d", got)
	}
	good := string(marshal(t, config))
	p.reloadConfig(t, []byte(good))
	standin.Eventually(t, "the new class is served", func() bool { return getStatus("/next/k") == 200 })
	if got := getStatus("/once/k"); got != 404 {
		t.Errorf("a removed class: %d", got)
	}
	close(release)
	if got := <-slow; got != 200 {
		t.Errorf("in flight during the reload: %d", got)
	}
	for _, c := range []struct{ old, new, want string }{
		{good, "", "not a JSON object"},
		{good, good[:len(good)/2], "not a JSON object"},
		{`"SendCap":3`, `"SendCap":0`, "settings.Limits.SendCap: 0 is not greater than 0"},
		{`"SendCap":3`, `"SendCap":-2`, "settings.Limits.SendCap: -2 is negative"},
		{`"SendCap":3`, `"SendCap":2.5`, "SendCap"},
		{`"SendCap":3`, `"SendCap":"3"`, "SendCap"},
		{`,"SendCap":3`, ``, "settings.Limits.SendCap: missing"},
		{`"Deadline":3000000000`, `"Deadline":0`, "Deadline: 0 is not greater than 0"},
		{`"Deadline":3000000000`, `"Deadline":null`, "Deadline: 0 is not greater than 0"},
		{`"Deadline":3000000000,`, ``, "Deadline: 0 is not greater than 0"},
		{`"Worth":1`, `"Worst":1`, "Worth: missing"},
		{`"discovery"`, `"discover"`, "discovery"},
	} {
		broken := strings.Replace(good, c.old, c.new, 1)
		if broken == good {
			t.Fatalf("%s: nothing was changed", c.want)
		}
		from := len(p.log.String())
		p.reloadConfig(t, []byte(broken))
		standin.Eventually(t, "the invalid key is logged: "+c.want, func() bool {
			log := p.log.String()[from:]
			return strings.Contains(log, "not taken") && strings.Contains(log, c.want)
		})
		if getStatus("/next/k") != 200 || getStatus("/once/k") != 404 {
			t.Errorf("%s: part of the file was applied", c.want)
		}
	}
	p.reloadConfig(t, []byte(original))
	standin.Eventually(t, "the old settings are back", func() bool { return getStatus("/once/k") == 200 })
	p.Process.Signal(syscall.SIGTERM)
	p.waitExit(t)
}
