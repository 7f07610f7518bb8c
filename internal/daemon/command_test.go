package daemon

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cedarmast/internal/standin"
)

// The output and exit status of each command: 0 for success, 2 for an invalid argument or file, 1 for any other
// failure.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	text, err := json.Marshal(testConfig(t, "127.0.0.1:1", "127.0.0.1:2", 256))
	if err != nil {
		t.Fatal(err)
	}
	for file, text := range map[string][]byte{good: text, bad: bytes.Replace(text, []byte(`"n0"`), []byte(`7`), 1)} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stats := standin.NewServer(t, func(r *standin.Request) bool {
		return r.URL.Path == "/stats" && r.Answer(200, "requests.taken 7\n")
	})
	broken := standin.NewServer(t, func(r *standin.Request) bool { return r.Answer(500, "") })
	for _, c := range []struct {
		args           string
		status         int
		stdout, stderr string // substrings of the output
	}{
		{"version", 0, "cedarmast ", ""},
		{"--help", 0, "check [<file>]", ""},
		{"check " + good, 0, "good: n0 on ", ""},
		{"check", 2, "", "GW_CONFIG is not set"},
		{"check " + bad, 2, "", "bad.json: name: unexpected JSON number"},
		{"check " + good + " more", 2, "", "unexpected argument more"},
		{"nonsense", 2, "", "unexpected argument nonsense"},
		{"run --fast", 2, "", "unknown flag --fast"},
		{"stats " + stats.Address, 0, "requests.taken 7", ""},
		{"stats " + broken.Address, 1, "", "500"},
		{"stats 127.0.0.1:1", 1, "", "refused"},
		{"stats", 2, "", "<addr>"},
	} {
		var out, errs bytes.Buffer
		status := Main(strings.Fields(c.args), noEnv, &out, &errs)
		if status != c.status || !strings.Contains(out.String(), c.stdout) || !strings.Contains(errs.String(), c.stderr) {
			t.Errorf("%s: status %d, %q, %q", c.args, status, &out, &errs)
		}
	}
}
