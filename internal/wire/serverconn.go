package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// response is a server's response, or the error that came instead.
type response struct {
	status int
	header http.Header
	body   []byte
	keep   bool // the connection can be reused
	err    error

	pipe   *bodyPipe // the body of a streamed response; nil if it is in body
	length int64     // of a streamed body in bytes; -1 if unknown
}

// release closes the streamed body of a response that nobody reads.
func (r response) release() {
	if r.pipe != nil {
		r.pipe.Close()
	}
}

// serverConn is a connection to a server. A goroutine reads from it until it is closed, so that a close by the server is
// noticed at once, also while the connection is idle.
type serverConn struct {
	net.Conn
	server          balance.ServerID
	address         string
	pool            *exchange.Pool
	responses       chan response // buffers one: the response to the request in flight
	responseStarted atomic.Bool   // the first byte of the response has arrived

	mu        sync.Mutex
	idleSince time.Time // when it last became idle; zero for a new one
	busy      bool      // a request is in flight
	abandoned bool      // the attempt no longer waits for a response
	broken    bool      // closed, or no longer usable for a request
	closed    sync.Once
}

// newServerConn wraps a connection for which the pool has reserved a slot, and starts its read loop. It is busy at first.
func newServerConn(c net.Conn, server balance.ServerID, address string, pool *exchange.Pool) *serverConn {
	s := &serverConn{Conn: c, server: server, address: address, pool: pool, responses: make(chan response, 1), busy: true}
	go s.readLoop()
	return s
}

// Acquire marks an idle connection as busy. It returns false if the connection is busy or broken.
func (c *serverConn) Acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.busy {
		return false
	}
	c.busy = true
	c.responseStarted.Store(false)
	return true
}

// Close closes the connection and returns its slot to the pool. Further calls do nothing.
func (c *serverConn) Close() error {
	var err error
	c.closed.Do(func() {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		err = c.Conn.Close()
		c.pool.Release()
	})
	return err
}

// usable reports whether the connection is not known to be broken.
func (c *serverConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken
}

// idleTime returns how long the connection has been idle; 0 for a new one.
func (c *serverConn) idleTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}

// stale asks the kernel whether the server has closed the connection or sent unexpected bytes that the read loop has not
// seen yet. On a busy core this makes the difference between an attempt that certainly never ran and one that may have.
// Unexpected bytes count too, since they would be taken for the next request's response.
func (c *serverConn) stale() bool {
	state := socket.Peek(c.Conn)
	return state == socket.Unread || state == socket.Closed
}

// markIdle makes the connection available for the next request. It returns false if the connection is broken.
func (c *serverConn) markIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, time.Now()
	return !c.broken
}

// readLoop reads one response per request. Bytes without a request in flight close the connection, and so does a panic,
// which is reported to the request in flight.
func (c *serverConn) readLoop() {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil {
			c.deliver(response{err: fmt.Errorf("panic: %v", p)})
		}
	}()
	input := &stallReader{Conn: c.Conn}
	reader := bufio.NewReaderSize(input, maxHead)
	for {
		_, err := reader.Peek(1)
		c.mu.Lock()
		busy := c.busy
		if !busy || err != nil {
			c.broken = true
		}
		c.mu.Unlock()
		if !busy {
			c.pool.Remove(c.server, c)
			return
		}
		if err != nil {
			c.deliver(response{err: err})
			return
		}
		c.responseStarted.Store(true)
		input.arm(stallTimeout)
		resp, body := readResponse(reader)
		if body != nil {
			if c.readLongBody(input, reader, resp, body) {
				continue
			}
			return
		}
		input.arm(0)
		if reader.Buffered() > 0 { // bytes after the response: they belong to no request
			resp.keep = false
		}
		if resp.err != nil || !resp.keep {
			c.mu.Lock()
			c.broken = true
			c.mu.Unlock()
		} else if !c.markIdle() {
			resp.keep = false
		}
		c.deliver(resp)
		if resp.err != nil || !resp.keep {
			return
		}
	}
}

// deliver passes a response to the attempt, or releases it if nobody waits for it.
func (c *serverConn) deliver(resp response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		resp.release()
		return
	}
	select {
	case c.responses <- resp:
	default: // there is one already: nobody waits for a second
		resp.release()
	}
}

// abandon closes the connection while its request is in flight. A response that arrives is released.
func (c *serverConn) abandon() {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	select {
	case resp := <-c.responses:
		resp.release()
	default:
	}
}

// readLongBody reads a body that is over maxBody or of unknown length. If it ends within maxBody bytes and streamAfter, it
// is delivered as a buffered response; otherwise the response is delivered with a bodyPipe as soon as that is clear, and
// the rest follows at the client's pace. It reports whether the connection can be reused.
func (c *serverConn) readLongBody(input *stallReader, reader *bufio.Reader, resp response, body io.Reader) bool {
	pipe, keep := newBodyPipe(), resp.keep
	startStreaming := func() {
		input.raise(streamStallTimeout)
		if streamed := resp; pipe.startStreaming() {
			streamed.pipe = pipe
			c.deliver(streamed)
		}
	}
	if resp.length > maxBody {
		pipe.streamEarly() // streaming starts with the first bytes: until then another server can be tried
	} else {
		earlyTimer := time.AfterFunc(streamAfter, func() {
			if pipe.streamEarly() {
				startStreaming()
			}
		})
		defer earlyTimer.Stop()
	}
	var err error
	var total int64
	buf := make([]byte, maxPipeBuffer/2)
	for err == nil {
		var n int
		if n, err = body.Read(buf); n > 0 {
			start, closedErr := pipe.write(buf[:n])
			if closedErr != nil {
				err = closedErr
			} else if total += int64(n); total > maxStreamedBody {
				err = ErrBodyTooLarge
			} else if start {
				startStreaming()
			}
		}
	}
	input.arm(0)
	complete := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if keep = keep && complete && reader.Buffered() == 0; !keep {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
	}
	content, buffered := pipe.finish(err)
	switch {
	case buffered && !complete:
		c.deliver(response{err: classifyReadError(err)})
		return false
	case buffered:
		if keep = keep && c.markIdle(); !keep {
			resp.keep = false
		}
		resp.body = content
		c.deliver(resp)
		return keep
	case !keep || !pipe.awaitHandOver() || !c.markIdle():
		return false
	}
	c.pool.Put(c.server, c.address, c, time.Now())
	if !c.usable() { // it closed meanwhile, before the pool had it
		c.pool.Remove(c.server, c)
	}
	return true
}

const (
	maxInterimResponses = 8                      // interim (1xx) responses before the final one
	stallTimeout        = 200 * time.Millisecond // for the next bytes of a response: servers write it in one go
	streamStallTimeout  = 10 * time.Second       // the same for a streamed body: no other server can be tried any more
	streamAfter         = 100 * time.Millisecond // a body of unknown length is streamed if it does not end in this time
)

// stallReader reads from a connection with a timeout for each read while it is armed. After a timeout it checks for unread
// bytes and reads again if there are any, so that a slow router does not take its own delay for the server's.
type stallReader struct {
	net.Conn
	timeout atomic.Int64 // nanoseconds; 0: not armed
}

// Read reads from the connection. If it is armed, it fails when no bytes arrive within the timeout.
func (s *stallReader) Read(p []byte) (int, error) {
	started := time.Now()
	for {
		timeout := time.Duration(s.timeout.Load())
		if timeout > 0 {
			s.SetReadDeadline(started.Add(timeout))
		}
		n, err := s.Conn.Read(p)
		if n > 0 || timeout == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if time.Since(started) < time.Duration(s.timeout.Load()) { // the timeout has been raised meanwhile
			continue
		}
		if socket.Peek(s.Conn) != socket.Unread {
			return n, err
		}
		started = time.Now()
	}
}

// arm sets the timeout of each read; 0 disables it.
func (s *stallReader) arm(timeout time.Duration) {
	if s.timeout.Store(int64(timeout)); timeout == 0 {
		s.SetReadDeadline(time.Time{})
	}
}

// raise sets a longer timeout, also for a Read in progress.
func (s *stallReader) raise(timeout time.Duration) { s.timeout.Store(int64(timeout)) }

// singleResponseHeaders may occur once in a response, since they change its meaning.
var singleResponseHeaders = map[string]bool{headerUnprocessed: true, headerLookup: true}

// readResponse reads one response. A response that is malformed or ambiguous is an error. If the body is over maxBody or of
// unknown length, it is returned unread.
func readResponse(r *bufio.Reader) (response, io.Reader) {
	for interim := 0; ; interim++ {
		head, err := awaitHead(r, 0)
		if err != nil {
			return response{err: classifyReadError(err)}, nil
		}
		blankBadLoadReport(head)
		start := string(head[:min(len(head), 160)])
		frame, err := checkHead(head, singleResponseHeaders)
		if err != nil {
			return response{err: fmt.Errorf("%w: %w: %q", errMalformed, err, start)}, nil
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return response{err: fmt.Errorf("%w: %w", errMalformed, err)}, nil
		}
		body := frame.chunked || frame.length > 0
		// A body may end with the connection only if the head says so: a head that was cut short may lack its length too.
		endsWithConn := frame.closes || !resp.ProtoAtLeast(1, 1)
		switch {
		case resp.ProtoMajor != 1 || resp.StatusCode < 100 || resp.StatusCode > 599,
			resp.StatusCode == http.StatusSwitchingProtocols, resp.StatusCode < 200 && body, interim > maxInterimResponses:
			return response{err: fmt.Errorf("%w: unexpected status %.40q", errMalformed, resp.Status)}, nil
		case resp.StatusCode < 200:
			continue
		case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		case frame.length < 0 && !frame.chunked && !endsWithConn:
			return response{err: fmt.Errorf("%w: no body length: %q", errMalformed, start)}, nil
		}
		result := response{status: resp.StatusCode, keep: !resp.Close, length: resp.ContentLength}
		resp.Header.Del(headerLoad)
		result.header = endToEnd(resp.Header)
		if resp.ContentLength > maxStreamedBody {
			return response{err: fmt.Errorf("%w: %w", errMalformed, ErrBodyTooLarge)}, nil
		}
		if resp.ContentLength < 0 || resp.ContentLength > maxBody {
			return result, resp.Body
		}
		if result.body, err = readBody(resp.Body, resp.ContentLength, maxBody); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return response{err: classifyReadError(err)}, nil
		}
		return result, nil
	}
}

// classifyReadError wraps errors of responses that are malformed or stalled in errMalformed, and returns errors of broken
// connections unchanged.
func classifyReadError(err error) error {
	var netErr *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: stalled", errMalformed)
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return err
	}
	return fmt.Errorf("%w: %w", errMalformed, err)
}

// blankBadLoadReport overwrites a load report that has control bytes with spaces, in place: the report is lost, but the
// response is still valid.
func blankBadLoadReport(head []byte) {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !bytes.EqualFold(name, []byte(headerLoad)) || noControlBytes(value) {
			continue
		}
		for i := range value {
			value[i] = ' '
		}
	}
}
