package admission

import (
	"io"
	"sync"
)

const (
	firstPartBytes = 16 << 10  // of a body or message that is read
	maxPartBytes   = 256 << 10 // of a body of unknown length
	partGrowth     = 4         // factor between the sizes of two parts
	bufferGrowth   = 8         // factor by which the buffer of a known length grows: a part of it has arrived before more is kept
)

// Body is a buffered request body and what it is charged. It must be released, also after an error.
type Body struct {
	Bytes       []byte
	Reservation *Reservation
}

// Release returns the body's bytes to the budget.
func (b *Body) Release() { b.Reservation.Release() }

// ReadBody buffers a body of the given length, or of unknown length if that is negative. The error is ErrNoRoom, or one of the reader.
func ReadBody(reader io.Reader, length int64, budget *Budget) (*Body, error) {
	b := &Body{Reservation: budget.Reserve()}
	var err error
	if length < 0 {
		b.Bytes, err = ReadAll(reader, b.Reservation)
	} else {
		b.Bytes, err = ReadFull(reader, length, b.Reservation)
	}
	return b, err
}

// ReadFull reads so many bytes and charges them. The buffer grows as the bytes arrive: a caller that only announces them holds little.
func ReadFull(reader io.Reader, length int64, reservation *Reservation) ([]byte, error) {
	if length > reservation.budget.limit {
		return nil, ErrNoRoom
	}
	var buffer []byte
	for size := min(length, firstPartBytes); ; size = min(length, size*bufferGrowth) {
		if err := reservation.Grow(size); err != nil {
			return nil, err
		}
		held := len(buffer)
		larger := make([]byte, size)
		copy(larger, buffer)
		buffer = larger
		reservation.Shrink(int64(held))
		if _, err := io.ReadFull(reader, buffer[held:]); err != nil || size == length {
			return buffer, err
		}
	}
}

// ReadAll reads until the end of the reader, and charges each part before it is read.
func ReadAll(reader io.Reader, reservation *Reservation) ([]byte, error) {
	var parts [][]byte
	total := 0
	for size := int64(firstPartBytes); ; size = min(size*partGrowth, maxPartBytes) {
		if err := reservation.Grow(size); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		n, err := fill(reader, part)
		total += n
		parts = append(parts, part[:n])
		switch {
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
