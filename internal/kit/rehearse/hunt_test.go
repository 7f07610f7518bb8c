package rehearse

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestHunt checks that a hunt's findings depend only on its seed, that each is still below the threshold after shrinking, and that it
// replays from its file.
func TestHunt(t *testing.T) {
	args := []string{"hunt", "calm", "--short", "--days", "12", "--below", "0.95", "--keep", "1", "--without", "database-stall"}
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if status := Main(args, &out, &errs); status != want {
			t.Fatalf("%v: status %d, %s%s", args, status, &out, &errs)
		}
		return out.String()
	}
	dir := t.TempDir()
	reference := run(exitOK, append(args, "--jobs", "1", "--out", dir)...)
	if parallel := run(exitOK, append(args, "--jobs", "6")...); parallel != reference || strings.Contains(reference, "database-stall") {
		t.Errorf("with another number of jobs:\n%s\n%s", reference, parallel)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.toml"))
	if len(files) == 0 {
		t.Fatalf("nothing was found:\n%s", reference)
	}
	for _, file := range files {
		run(exitOK, "run", file, "--virtual", "--short", "--seed", "1") // the saved expectation is slightly under the score it was found with
		text, _ := os.ReadFile(file)
		better := bytes.Replace(text, []byte("[expect]\nscore = "), []byte("[expect]\nscore = 0.951 # "), 1)
		if err := os.WriteFile(file, better, 0o600); err != nil {
			t.Fatal(err)
		}
		run(exitFailed, "run", file, "--virtual", "--short", "--seed", "1")
	}
	for _, bad := range [][]string{{"--without", "plague"}, {"--most", "0"}, {"--set", "speed=1"}} {
		run(exitBadInput, append(args, bad...)...)
	}
}
