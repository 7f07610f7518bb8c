package logwriter

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reader is the reader of a log. It takes a write once the test allows it, or fails it.
type reader struct {
	allow chan error
	mu    sync.Mutex
	got   bytes.Buffer
}

func (r *reader) Write(b []byte) (int, error) {
	if err := <-r.allow; err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(b)
}

func (r *reader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

// A reader that stalls holds nobody up: writes return, memory is bounded, and what was dropped is reported once the reader goes on.
func TestStalledReader(t *testing.T) {
	r := &reader{allow: make(chan error)}
	w := New(r)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 4 * maxQueuedBytes / 100
	for range lines {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, !w.Flush(time.Millisecond), "flushed without a reader")
	assert.Assert(t, len(w.queue) <= maxQueuedBytes)
	close(r.allow)
	assert.Assert(t, w.Flush(10*time.Second))
	assert.Assert(t, strings.Contains(r.text(), "lines are missing here"), "nothing says that lines are missing")
	assert.Assert(t, strings.Count(r.text(), "x\n") < lines)
}

// A reader that has gone costs only what was written meanwhile.
func TestReaderThatHasGone(t *testing.T) {
	r := &reader{allow: make(chan error)}
	w := New(r)
	w.Write([]byte("lost\n"))
	r.allow <- errors.New("broken pipe")
	close(r.allow)
	assert.Assert(t, w.Flush(10*time.Second))
	w.Write([]byte("kept\n"))
	assert.Assert(t, w.Flush(10*time.Second))
	assert.Equal(t, r.text(), "kept\n[WARN]  log: 1 lines are missing here: the reader of this log was slow or gone\n")
}
