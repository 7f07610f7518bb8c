package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// stuckWriter takes nothing until it is let go.
type stuckWriter struct {
	bytes.Buffer
	free chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.free
	return w.Buffer.Write(p)
}

// A log that nobody reads holds nobody up; what was lost is said once it is read again.
func TestStuckLogHoldsNobodyUp(t *testing.T) {
	w := &stuckWriter{free: make(chan struct{})}
	l := newLogWriter(w)
	begun := time.Now()
	for i := range logQueue + 100 {
		fmt.Fprintln(l, "line", i)
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	close(w.free)
	l.Close()
	text := w.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "log lines dropped") || strings.Count(text, "line ") < logQueue {
		t.Errorf("written: %.100s... (%d bytes)", text, len(text))
	}
}

func TestStuckLogDoesNotKeepTheEnd(t *testing.T) {
	w := &stuckWriter{free: make(chan struct{})}
	defer close(w.free)
	l := newLogWriter(w)
	fmt.Fprintln(l, "line")
	begun := time.Now()
	l.Close()
	if took := time.Since(begun); took > 5*logPatience {
		t.Errorf("the end took %v", took)
	}
}
