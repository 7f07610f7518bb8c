package daemon

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logWriter writes log lines in a goroutine of its own: whoever reads the log may be slow or stand still, and no part
// of the router is to wait for it. What does not fit its queue is dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when all is written
}

const (
	logQueue    = 1024 // lines
	logPatience = 200 * time.Millisecond
)

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			if line == nil {
				return
			}
			if n := l.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "msg=\"log lines dropped\" lines=%d\n", n)
			}
			w.Write(line) // nobody is there to hear of an error
		}
	}()
	return l
}

// Write queues one line.
func (l *logWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits a moment for what is queued. What is written afterwards is lost.
func (l *logWriter) Close() {
	late := time.After(logPatience)
	select {
	case l.lines <- nil:
	case <-late:
		return
	}
	select {
	case <-l.done:
	case <-late:
	}
}
