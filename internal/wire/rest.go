package wire

import (
	"errors"
	"io"
	"sync"
)

// rest is what follows of a long answer while it is passed on: the server's connection fills it, the client's empties it.
// It holds little, so that a client that reads slowly holds its server back and not this router's memory.
type rest struct {
	mu     sync.Mutex
	change sync.Cond
	buf    []byte
	from   int   // of buf, what has been taken
	total  int64 // bytes that have come so far
	begun  bool  // it is being passed on: what is held is bounded from here on
	hasty  bool  // it is to be passed on with its next bytes
	owned  bool  // by whoever passes it on: the attempt has let go of the connection
	closed bool  // nobody reads it any more
	err    error // its end: io.EOF if it came whole
}

const restMost = 32 << 10 // bytes held while an answer is passed on

var errRestClosed = errors.New("nobody reads the answer any more")

func newRest() *rest {
	r := &rest{}
	r.change.L = &r.mu
	return r
}

// begin says that the answer is passed on; true to the first who says so, unless it has ended before.
func (r *rest) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.begun && r.err == nil
	r.begun = r.begun || first
	return first
}

// hurry says that it is to be passed on as soon as there is anything of it; true if it is to begin now.
func (r *rest) hurry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasty = true
	return r.total > 0
}

// push brings bytes, and waits while those before are not taken. It tells whether it is to begin now.
func (r *rest) push(p []byte) (now bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.begun && !r.closed && len(r.buf)-r.from >= restMost {
		r.change.Wait()
	}
	if r.closed {
		return false, errRestClosed
	}
	if r.from > 0 {
		r.buf = r.buf[:copy(r.buf, r.buf[r.from:])]
		r.from = 0
	}
	r.buf, r.total = append(r.buf, p...), r.total+int64(len(p))
	r.change.Broadcast()
	return !r.begun && (r.hasty || r.total > maxBody), nil
}

// end says how it ended. If nothing of it has been passed on it is returned whole.
func (r *rest) end(err error) (whole []byte, short bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	r.change.Broadcast()
	return r.buf, !r.begun
}

// Read waits for bytes of it.
func (r *rest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buf) == r.from && r.err == nil && !r.closed {
		r.change.Wait()
	}
	switch {
	case r.closed:
		return 0, errRestClosed
	case len(r.buf) > r.from:
		n := copy(p, r.buf[r.from:])
		r.from += n
		r.change.Broadcast()
		return n, nil
	}
	return 0, r.err
}

// own says that the connection is the answer's alone now.
func (r *rest) own() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned = true
	r.change.Broadcast()
}

// Close lets go of it, read to its end or not.
func (r *rest) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.change.Broadcast()
	return nil
}

// settled waits until its connection is nobody else's; false if nobody took it.
func (r *rest) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.owned && !r.closed {
		r.change.Wait()
	}
	return r.owned
}

var _ io.ReadCloser = (*rest)(nil)
