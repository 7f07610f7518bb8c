package localnet

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A settings file is replaced atomically. When it was written in place, a process that had just started read it empty, exited
// because all settings were missing, and was down for the rest of the soak run (seed 6108).
func TestReplaceFileIsAtomic(t *testing.T) {
	path, text := filepath.Join(t.TempDir(), "boot.conf"), []byte(strings.Repeat("a.b=c\n", 1000))
	assert.NilError(t, replaceFile(path, text))
	over := make(chan struct{})
	go func() {
		defer close(over)
		for range 2000 {
			replaceFile(path, text)
		}
	}()
	for reading := true; reading; {
		select {
		case <-over:
			reading = false
		default:
		}
		got, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, text), "%d of %d bytes", len(got), len(text))
	}
}

// Logs are written in complete lines prefixed with the machine's name, however the writes are split.
func TestLineWriter(t *testing.T) {
	var out bytes.Buffer
	w := &lineWriter{out: &out, mu: new(sync.Mutex), prefix: "edge-1 ", started: time.Now()}
	for _, part := range []string{"one\ntw", "o\n", "thr"} {
		n, err := w.Write([]byte(part))
		assert.NilError(t, err)
		assert.Equal(t, n, len(part))
	}
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	assert.Equal(t, len(lines), 2, "what has no end waits for it")
	assert.Assert(t, strings.HasSuffix(lines[0], "edge-1 one") && strings.HasSuffix(lines[1], "edge-1 two"), out.String())
}
