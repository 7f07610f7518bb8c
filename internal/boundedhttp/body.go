package boundedhttp

import (
	"io"
	"math"
	"sync"
)

const (
	firstPartBytes = 16 << 10  // of a body that is read
	maxPartBytes   = 256 << 10 // of a body of unknown length
	partGrowth     = 4         // factor between the sizes of two parts
	bufferGrowth   = 8         // factor by which the buffer of a known length grows: a part of it has arrived before more is kept
)

// ReadBody reads a body of the given length, or of unknown length if that is negative, of at most so many bytes.
func ReadBody(body io.Reader, length, maxBytes int64, charge Charge) ([]byte, error) {
	maxBytes = min(maxBytes, charge.Limit(), math.MaxInt64-1)
	switch {
	case length > maxBytes:
		return nil, ErrBodyTooLong
	case length == 0:
		return nil, nil
	case length > 0:
		return readFull(body, length, charge)
	}
	return readAll(body, maxBytes, charge)
}

// readFull reads so many bytes and charges them. The buffer grows as the bytes arrive: a peer that only announces them makes the process
// hold little.
func readFull(reader io.Reader, length int64, charge Charge) ([]byte, error) {
	var buffer []byte
	for size := min(length, firstPartBytes); ; size = min(length, size*bufferGrowth) {
		if err := charge.Grow(size); err != nil {
			return nil, err
		}
		held := len(buffer)
		larger := make([]byte, size)
		copy(larger, buffer)
		buffer = larger
		charge.Shrink(int64(held))
		if _, err := io.ReadFull(reader, buffer[held:]); err != nil || size == length {
			return buffer, err
		}
	}
}

// readAll reads until the end of a body of at most so many bytes, and charges each part before it is read.
func readAll(body io.Reader, maxBytes int64, charge Charge) ([]byte, error) {
	reader := io.LimitReader(body, maxBytes+1)
	var parts [][]byte
	total := 0
	for size := int64(firstPartBytes); ; size = min(size*partGrowth, maxPartBytes) {
		if err := charge.Grow(size); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		n, err := fill(reader, part)
		total += n
		parts = append(parts, part[:n])
		switch {
		case int64(total) > maxBytes:
			return nil, ErrBodyTooLong
		case err == io.EOF:
			return joinParts(parts, total), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until a part is full or the reader fails, and returns the reader's own error: io.EOF is the end of a body, and
// io.ErrUnexpectedEOF, which io.ReadFull would return for both, is one that was cut short.
func fill(reader io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var read int
		read, err = reader.Read(part[n:])
		n += read
	}
	return n, err
}

// joining is held while the parts of a body are joined, which takes their bytes once more: one body at a time.
var joining sync.Mutex

// joinParts returns the parts, of so many bytes in total, as one that takes no more than that: whoever keeps a body counts its bytes.
func joinParts(parts [][]byte, total int) []byte {
	if len(parts) == 1 {
		return append(make([]byte, 0, total), parts[0]...)
	}
	joining.Lock()
	defer joining.Unlock()
	joined := make([]byte, 0, total)
	for i, part := range parts {
		joined = append(joined, part...)
		parts[i] = nil
	}
	return joined
}
