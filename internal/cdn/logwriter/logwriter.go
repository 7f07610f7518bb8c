// Package logwriter writes a process's log so that the reader of the log can neither hold the process up nor end it. Lines wait in a
// bounded queue for a goroutine that writes them; what does not fit is dropped, and the log says how many lines are missing.
package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedBytes bounds the lines that wait for the reader.
const maxQueuedBytes = 256 << 10

// Writer is the queue in front of a log. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	wake chan struct{} // holds an element if there may be something to write

	mu      sync.Mutex
	queue   []byte
	dropped int           // lines that did not fit or could not be written, and are not reported yet
	writing bool          // a write to out is in progress
	written chan struct{} // closed and replaced after each write
}

// New returns a writer to out and starts its goroutine, which runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), written: make(chan struct{})}
	go w.run()
	return w
}

// Write queues complete lines. It neither blocks nor fails.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	if len(w.queue)+len(lines) > maxQueuedBytes {
		w.dropped += bytes.Count(lines, []byte("\n"))
	} else {
		w.queue = append(w.queue, lines...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Flush waits until everything is written, but no longer than the timeout. It reports whether it is.
func (w *Writer) Flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		w.mu.Lock()
		done, written := !w.writing && len(w.queue) == 0, w.written
		w.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-written:
		case <-timer.C:
			return false
		}
	}
}

// run writes what is queued, whenever there is something.
func (w *Writer) run() {
	for range w.wake {
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			_, err := w.out.Write(batch)
			w.finish(batch, err)
		}
	}
}

// take removes what is queued and returns it, with a line on what is missing behind it.
func (w *Writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queue
	if len(batch) > 0 && w.dropped > 0 {
		batch = fmt.Appendf(batch, "[WARN]  log: %d lines are missing here: the reader of this log was slow or gone\n", w.dropped)
		w.dropped = 0
	}
	w.queue, w.writing = nil, len(batch) > 0
	return batch
}

// finish records the end of a write. Lines that could not be written count as dropped: the reader may come back.
func (w *Writer) finish(batch []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.dropped += bytes.Count(batch, []byte("\n"))
	}
	w.writing = false
	close(w.written)
	w.written = make(chan struct{})
}
