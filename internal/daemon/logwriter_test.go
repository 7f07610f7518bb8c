package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(p)
}

// A blocked log reader does not block writers, and the number of dropped lines is logged once it reads again.
func TestBlockedLogReaderDropsLines(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	l := newLogWriter(w)
	started := time.Now()
	for i := range maxQueuedLines + 100 {
		fmt.Fprintln(l, "line", i)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	close(w.unblock)
	l.Close()
	text := w.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "log lines dropped") || strings.Count(text, "line ") < maxQueuedLines {
		t.Errorf("written: %.100s... (%d bytes)", text, len(text))
	}
}

func TestCloseWithBlockedLogReader(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	defer close(w.unblock)
	l := newLogWriter(w)
	fmt.Fprintln(l, "line")
	started := time.Now()
	l.Close()
	if took := time.Since(started); took > 5*logFlushTimeout {
		t.Errorf("the end took %v", took)
	}
}
