package wire

import (
	"errors"
	"io"
	"sync"
)

// bodyPipe carries the body of a long response from the server's connection to the client's. While it is streamed, the
// buffer is small, so that a slow client slows down the server instead of filling this router's memory.
type bodyPipe struct {
	mu         sync.Mutex
	changed    sync.Cond
	buf        []byte
	offset     int   // offset in buf of the next byte to read
	received   int64 // bytes received so far
	streaming  bool  // the body is being streamed: from now on the buffer is bounded
	early      bool  // streaming is to start with the next bytes
	handedOver bool  // the attempt has handed over the connection to the streamed body
	closed     bool  // the reader has closed the pipe
	err        error // why the body ended: io.EOF if it is complete
}

const maxPipeBuffer = 32 << 10 // buffer size in bytes while a body is streamed

// errPipeClosed is returned by reads and writes after Close.
var errPipeClosed = errors.New("the reader of the streamed body has closed it")

// newBodyPipe returns an empty pipe.
func newBodyPipe() *bodyPipe {
	r := &bodyPipe{}
	r.changed.L = &r.mu
	return r
}

// startStreaming marks the body as streamed. It returns true for the first call only, and false if the body has ended.
func (r *bodyPipe) startStreaming() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.streaming && r.err == nil
	r.streaming = r.streaming || first
	return first
}

// streamEarly requests that streaming starts with the first bytes. It returns true if there are bytes already.
func (r *bodyPipe) streamEarly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.early = true
	return r.received > 0
}

// write appends bytes to the buffer, and waits while the buffer of a streamed body is full. It reports whether streaming is
// to start now.
func (r *bodyPipe) write(p []byte) (start bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.streaming && !r.closed && len(r.buf)-r.offset >= maxPipeBuffer {
		r.changed.Wait()
	}
	if r.closed {
		return false, errPipeClosed
	}
	if r.offset > 0 {
		r.buf = r.buf[:copy(r.buf, r.buf[r.offset:])]
		r.offset = 0
	}
	r.buf, r.received = append(r.buf, p...), r.received+int64(len(p))
	r.changed.Broadcast()
	return !r.streaming && (r.early || r.received > maxBody), nil
}

// finish records why the body ended. It returns the buffer, and whether streaming was never started: then the buffer is
// all that was received.
func (r *bodyPipe) finish(err error) (content []byte, buffered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	r.changed.Broadcast()
	return r.buf, !r.streaming
}

// Read waits for bytes of the body. At its end it returns the error passed to finish.
func (r *bodyPipe) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buf) == r.offset && r.err == nil && !r.closed {
		r.changed.Wait()
	}
	switch {
	case r.closed:
		return 0, errPipeClosed
	case len(r.buf) > r.offset:
		n := copy(p, r.buf[r.offset:])
		r.offset += n
		r.changed.Broadcast()
		return n, nil
	}
	return 0, r.err
}

// handOver records that the attempt no longer uses the connection.
func (r *bodyPipe) handOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOver = true
	r.changed.Broadcast()
}

// Close ends reading, at the end of the body or before.
func (r *bodyPipe) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
	return nil
}

// awaitHandOver waits until the attempt has handed over the connection. It returns false if the reader closed the pipe
// instead.
func (r *bodyPipe) awaitHandOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.handedOver && !r.closed {
		r.changed.Wait()
	}
	return r.handedOver
}

var _ io.ReadCloser = (*bodyPipe)(nil)
