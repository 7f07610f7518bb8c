package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cedarmast/internal/standin"
)

// The command never changes the old file or an existing output file, and a dry run writes nothing. A router starts
// from the converted configuration, serves, and closes its idle connections, because many routers would otherwise fill
// a cache server's connection table.
func TestMoveCommand(t *testing.T) {
	cache := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(200, "v") })
	discovery := standin.NewDiscovery(t, 1, standin.Endpoint{Name: "a", Address: cache.Address, Zone: "z", Type: "box",
		Status: "SERVING", Weight: 1})
	config := testConfig(t, cache.Address, discovery.Address, 256)
	config["peer_listen"], config["peers"] = "127.0.0.1:7946", []string{"127.0.0.1:7947"}
	config["settings"].(map[string]any)["Typo"] = "z"
	path := filepath.Join(t.TempDir(), "old.json")
	text, _ := json.Marshal(config)
	text = bytes.ReplaceAll(text, []byte("500000000"), []byte("25000000")) // a 25 ms objective: idle connections close after 0.8 s
	odd := strings.Replace(string(text), `"peers"`, `"pears"`, 1)
	if err := errors.Join(os.WriteFile(path, text, 0o600), os.WriteFile(path+".odd", []byte(odd), 0o600)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args, out, errs string
		files           int
	}{
		{path + " --number 1", "", "--routers", 2},
		{path + ".odd --routers 2 --number 1", "", `unknown field "pears"`, 2},
		{path + ".no --routers 2 --number 1", "", "no such file", 2},
		{path + " --routers 80 --number 17 --dry-run", "not carried: peers: [127.0.0.1:7947]", "", 2},
		{path + " --routers 80 --number 17", "noted: settings.Typo: carried as it is", "", 3},
		{path + " --routers 80 --number 18", "", "already exists", 3},
		{path + ".moved --routers 80 --number 17 --out " + path + ".twice", "", "new shape already", 3},
	} {
		var out, errs bytes.Buffer
		status := Main(append([]string{"move"}, strings.Fields(c.args)...), noEnv, &out, &errs)
		files, _ := os.ReadDir(filepath.Dir(path))
		if (status == 0) != (c.errs == "") || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.errs) || len(files) != c.files {
			t.Errorf("%s: %d, %s%s, %d files", c.args, status, &out, &errs, len(files))
		}
	}
	if now, _ := os.ReadFile(path); !bytes.Equal(now, text) {
		t.Error("the old file has changed")
	}
	moved, _ := os.ReadFile(path + ".moved")
	clear(config)
	json.Unmarshal(moved, &config)
	p := startProcess(t, config)
	if status, body, err := ask(p.address, "/read/7f3a"); err != nil || status != 200 || body != "v" || cache.OpenConns() != 1 {
		t.Fatalf("%d %q %v, %d connections", status, body, err, cache.OpenConns())
	}
	standin.Eventually(t, "the connection is closed", func() bool { return cache.OpenConns() == 0 })
}
