package localnet

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// lineWriter passes a process's log on by whole lines, each behind the time since the network's start and the machine's name.
type lineWriter struct {
	out     io.Writer
	mu      *sync.Mutex // shared by all that write to out
	prefix  string
	started time.Time

	rest []byte // of a line that is not whole yet
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.rest = append(w.rest, b...)
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		end := bytes.IndexByte(w.rest, '\n')
		if end < 0 {
			return len(b), nil
		}
		if _, err := fmt.Fprintf(w.out, "%8.3f %s%s", time.Since(w.started).Seconds(), w.prefix, w.rest[:end+1]); err != nil {
			return 0, err
		}
		w.rest = w.rest[end+1:]
	}
}
