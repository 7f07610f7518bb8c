package daemon

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logWriter writes log lines in its own goroutine, so that a slow or blocked log reader never blocks the router. Lines
// that don't fit the queue are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when the queue has been written
}

const (
	maxQueuedLines  = 1024 // lines
	logFlushTimeout = 200 * time.Millisecond
)

// newLogWriter starts the goroutine that writes to w.
func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			if line == nil {
				return
			}
			if n := l.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "msg=\"log lines dropped\" lines=%d\n", n)
			}
			w.Write(line) // an error can't be reported anywhere
		}
	}()
	return l
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (l *logWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits up to logFlushTimeout for the queued lines. Lines written afterwards are lost.
func (l *logWriter) Close() {
	timeout := time.After(logFlushTimeout)
	select {
	case l.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-l.done:
	case <-timeout:
	}
}
