package boundedhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// HeadLimits bound one head.
type HeadLimits struct {
	Bytes      int // the head must also fit into the buffer
	Lines      int // 0: any number
	EmptyLines int // discarded before the head
	// Prefix begins every head; another beginning is an error as soon as it is read. Empty: any.
	Prefix string
}

var (
	lineEnd  = []byte("\r\n")
	headEnd  = []byte("\r\n\r\n")
	bareEnds = []byte("\n\n")
)

// AwaitHead waits until the buffer holds a complete head and returns it without consuming it. The slice is valid until the next read. Lines
// must end with CR and LF.
func AwaitHead(r *bufio.Reader, limits HeadLimits) ([]byte, error) {
	lines := 0
	for needed, searched := 1, 0; ; {
		buffered, err := peekAll(r, needed)
		if err != nil {
			return nil, err
		}
		if buffered[0] == '\r' && len(buffered) == 1 {
			needed = 2
			continue
		}
		if bytes.HasPrefix(buffered, lineEnd) {
			if limits.EmptyLines--; limits.EmptyLines < 0 {
				return nil, fmt.Errorf("%w: empty lines", ErrMalformedHead)
			}
			r.Discard(len(lineEnd))
			needed, searched = 1, 0
			continue
		}
		if !beginsWith(buffered, limits.Prefix) {
			return nil, fmt.Errorf("%w: begins with %q", ErrMalformedHead, buffered[:min(len(buffered), len(limits.Prefix))])
		}
		from := max(searched-len(headEnd)+1, 0) // the terminator may have arrived in pieces
		end := bytes.Index(buffered[from:], headEnd)
		bare := bytes.Index(buffered[from:], bareEnds)
		if end < 0 && bare >= 0 { // waiting for more input is of no use
			return nil, fmt.Errorf("%w: bare line ends", ErrMalformedHead)
		}
		unseen := buffered[searched:]
		if end >= 0 {
			unseen = buffered[searched : from+end+len(headEnd)]
		}
		lines += bytes.Count(unseen, bareEnds[:1])
		searched = len(buffered)
		needed = searched + 1
		switch {
		case limits.Lines > 0 && lines > limits.Lines, end >= 0 && from+end+len(headEnd) > limits.Bytes, end < 0 && needed > limits.Bytes:
			return nil, ErrHeadTooLong
		case end >= 0:
			return buffered[:from+end+len(headEnd)], nil
		}
	}
}

// peekAll waits until so many bytes are buffered, and returns all that are.
func peekAll(r *bufio.Reader, needed int) ([]byte, error) {
	_, err := r.Peek(needed)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, ErrHeadTooLong
	case errors.Is(err, io.EOF) && needed > 1:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	return r.Peek(r.Buffered())
}

// beginsWith reports whether the bytes that have arrived may be followed by such that make them begin with the prefix.
func beginsWith(arrived []byte, prefix string) bool {
	known := min(len(arrived), len(prefix))
	return string(arrived[:known]) == prefix[:known]
}
