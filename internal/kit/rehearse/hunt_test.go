package rehearse

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A hunt's finds hang on its seed alone, each is bad yet when it has been shrunk, and replays from its file.
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
	one := run(held, append(args, "--jobs", "1", "--out", dir)...)
	if many := run(held, append(args, "--jobs", "6")...); many != one || strings.Contains(one, "database-stall") {
		t.Errorf("with another number of jobs:\n%s\n%s", one, many)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.toml"))
	if len(files) == 0 {
		t.Fatalf("nothing was found:\n%s", one)
	}
	for _, file := range files {
		run(held, "run", file, "--virtual", "--short", "--seed", "1") // it reaches what it was found with, less a little
		text, _ := os.ReadFile(file)
		better := bytes.Replace(text, []byte("[expect]\nscore = "), []byte("[expect]\nscore = 0.951 # "), 1)
		if err := os.WriteFile(file, better, 0o600); err != nil {
			t.Fatal(err)
		}
		run(broken, "run", file, "--virtual", "--short", "--seed", "1")
	}
	for _, bad := range [][]string{{"--without", "plague"}, {"--most", "0"}, {"--set", "speed=1"}} {
		run(badInput, append(args, bad...)...)
	}
}
