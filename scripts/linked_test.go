// Package scripts contains only tests of the shell scripts in its folder.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestLinked guards against a check that fails on a busy machine: ldd was killed by SIGPIPE when it was still writing after its reader
// had exited, and a correctly linked router was refused. A static one must still be refused.
func TestLinked(t *testing.T) {
	for _, c := range []struct {
		ldd string
		ok  bool
	}{
		{"echo 'libc.so.6 => /lib/libc.so.6'; sleep 0.1; echo '/lib64/ld.so'; sleep 0.1; echo more", true},
		{"echo 'not a dynamic executable'; exit 1", false},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "ldd"), []byte("#!/usr/bin/env bash\nset -e\n"+c.ldd+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", "linked.sh", "some-router")
		cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
		if out, err := cmd.CombinedOutput(); (err == nil) != c.ok {
			t.Errorf("ldd that does %q: %v, %s", c.ldd, err, out)
		}
	}
}
