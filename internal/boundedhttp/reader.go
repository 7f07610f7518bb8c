package boundedhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	bufferBytes     = 4 << 10 // of a connection; a longer head makes its reader take a longer buffer for as long as it is read
	headerLineBytes = 128     // that a field of a head takes beside its own bytes
	headCopies      = 2       // of a long head: as read, and as parsed
	responsePrefix  = "HTTP/"
)

// Reader reads the responses of one connection. It is not safe for concurrent use.
type Reader struct {
	conn   io.Reader
	limits Limits
	buffer *bufio.Reader
}

// NewReader returns a reader of a connection's responses, within limits.
func NewReader(conn io.Reader, limits Limits) *Reader {
	return &Reader{conn: conn, limits: limits, buffer: bufio.NewReaderSize(conn, bufferBytes)}
}

// Buffered returns how many bytes have arrived behind the responses that were read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// AwaitByte waits until the connection has brought something.
func (r *Reader) AwaitByte() error {
	_, err := r.buffer.Peek(1)
	return err
}

// Response reads the head of the next final response to a request with this method. Its body must be read to its end before the next one.
func (r *Reader) Response(method string, charge Charge) (*http.Response, error) {
	r.shortenBuffer()
	left := HeadLimits{Bytes: r.limits.HeadBytes, Lines: r.limits.HeadLines, Prefix: responsePrefix}
	for range 1 + r.limits.InterimResponses {
		head, err := r.awaitHead(left, charge)
		if err != nil {
			return nil, err
		}
		lines := bytes.Count(head, lineEnd)
		if err := chargeHead(len(head), lines, charge); err != nil {
			return nil, err
		}
		left.Bytes -= len(head)
		left.Lines -= lines
		response, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, fmt.Errorf("%w: %w", ErrMalformedHead, err)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode < http.StatusContinue, response.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: unexpected status %.40q", ErrMalformedHead, response.Status)
		case left.Bytes <= 0 || left.Lines <= 0:
			return nil, ErrHeadTooLong
		}
	}
	return nil, ErrInterimResponses
}

// Body reads the body of a response to a request with this method.
func (r *Reader) Body(response *http.Response, method string, charge Charge) ([]byte, error) {
	length := response.ContentLength
	if method == http.MethodHead {
		length = 0
	}
	body, err := ReadBody(response.Body, length, r.limits.BodyBytes, charge)
	r.shortenBuffer() // the connection may stay idle for long
	return body, err
}

// awaitHead waits until the buffer holds a complete head. While the head is longer than the buffer, it takes a longer one.
func (r *Reader) awaitHead(limits HeadLimits, charge Charge) ([]byte, error) {
	for {
		size := r.buffer.Size()
		head, err := AwaitHead(r.buffer, limits)
		if !errors.Is(err, ErrHeadTooLong) || r.buffer.Buffered() < size || size >= limits.Bytes {
			return head, err
		}
		if err := r.lengthenBuffer(min(size*bufferGrowth, max(limits.Bytes, size)), charge); err != nil {
			return nil, err
		}
	}
}

// lengthenBuffer replaces the buffer by a longer one with the same bytes.
func (r *Reader) lengthenBuffer(size int, charge Charge) error {
	if err := charge.Grow(int64(size)); err != nil {
		return err
	}
	arrived, err := r.buffer.Peek(r.buffer.Buffered())
	if err != nil {
		return err
	}
	longer := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(arrived)), r.conn), size)
	if _, err := longer.Peek(len(arrived)); err != nil {
		return err
	}
	r.buffer = longer
	return nil
}

// shortenBuffer replaces a longer buffer that has been read to its end.
func (r *Reader) shortenBuffer() {
	if r.buffer.Size() > bufferBytes && r.buffer.Buffered() == 0 {
		r.buffer = bufio.NewReaderSize(r.conn, bufferBytes)
	}
}

// chargeHead charges a head that is not short: short ones are part of what a connection takes.
func chargeHead(length, lines int, charge Charge) error {
	bytes := headCopies*length + headerLineBytes*lines
	if bytes <= bufferBytes {
		return nil
	}
	return charge.Grow(int64(bytes))
}
