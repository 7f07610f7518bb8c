package localnet

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// lineWriter writes a process's log to out in complete lines, each prefixed with the seconds since the network's start and the
// machine's name.
type lineWriter struct {
	out     io.Writer
	mu      *sync.Mutex // guards out; shared by all its writers
	prefix  string
	started time.Time

	partial []byte // the start of an incomplete line
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.partial = append(w.partial, b...)
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		end := bytes.IndexByte(w.partial, '\n')
		if end < 0 {
			return len(b), nil
		}
		if _, err := fmt.Fprintf(w.out, "%8.3f %s%s", time.Since(w.started).Seconds(), w.prefix, w.partial[:end+1]); err != nil {
			return 0, err
		}
		w.partial = w.partial[end+1:]
	}
}
