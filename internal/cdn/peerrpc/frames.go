package peerrpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"cedarmast/internal/cdn/admission"
)

// This file reads a gob stream message by message. A gob.Decoder would make room for up to a gigabyte as soon as a caller announces it, and
// what it decodes may take many times the bytes that were sent. Here a message is charged, bounded and read before the decoder sees it.
//
// In the stream each message stands behind its length. It defines a type, if it begins with a negative number, or is a value. Numbers under
// 128 take one byte; others follow, in big-endian order, a byte that holds the negated count of their bytes.

const (
	frameBufferBytes     = 4 << 10
	frameTimeout         = 10 * time.Second // for the next part of a message to arrive
	maxNumberBytes       = 8
	maxDefinitionBytes   = 16 << 10 // of the definitions of all types on a connection
	frameGrowth          = 8        // factor by which the buffer of a message grows
	emptyItemBytes       = 128      // an item of a list or map that takes a byte in a message may take this much once it is decoded
	structuredExpansion  = 24       // bytes that a byte of names and numbers may take once it is decoded
	bulkCopies           = 3        // of a message that is mostly one text: as read, as the decoder holds it, and as decoded
	maxSingleByteNumber  = 0x7f
	definitionNumberFlag = 1 // of a number that stands for a negative one
)

var errMessageTooLong = Error.New("a message that is too long, or none")

// messageLimits bound one kind of message.
type messageLimits struct {
	maxBytes int64
	// maxDropped is the length up to which a message over maxBytes is read and dropped; a longer one ends the stream. 0: maxBytes.
	maxDropped int64
	// bulk messages consist of few long texts. What they are charged follows their empty items; others are charged for items throughout.
	bulk bool
	// anyBytes means that zero bytes in a bulk message are no sign of empty items.
	anyBytes bool
}

// chargeLength returns what bytes of a message are charged before they are read.
func (l messageLimits) chargeLength(length int64) int64 {
	if l.bulk {
		return bulkCopies * length
	}
	return structuredExpansion * length
}

// chargeItems returns what bytes of a message are charged beside their length.
func (l messageLimits) chargeItems(data []byte) int64 {
	if l.bulk && !l.anyBytes {
		return emptyItemBytes * int64(bytes.Count(data, []byte{0}))
	}
	return 0
}

// frameReader passes the messages of a gob stream on to a gob.Decoder.
type frameReader struct {
	conn   net.Conn
	reader *bufio.Reader
	// slowestSender is the rate, in bytes per second, for which a long message is given more than frameTimeout; 0: none is.
	slowestSender int64
	definitions   []byte    // of all types that the connection has brought
	passedOn      int       // bytes of those that were passed on to the decoder
	message       [][]byte  // the value that was passed on last
	pending       byteParts // what the decoder has not read yet
}

// byteParts are bytes that a decoder reads. They implement io.ByteReader, so that the decoder does not buffer.
type byteParts [][]byte

// Read implements io.Reader.
func (p *byteParts) Read(b []byte) (int, error) {
	p.dropEmpty()
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(b, (*p)[0])
	(*p)[0] = (*p)[0][n:]
	return n, nil
}

// ReadByte implements io.ByteReader.
func (p *byteParts) ReadByte() (byte, error) {
	p.dropEmpty()
	if len(*p) == 0 {
		return 0, io.EOF
	}
	first := (*p)[0][0]
	(*p)[0] = (*p)[0][1:]
	return first, nil
}

// dropEmpty drops the parts that have been read.
func (p *byteParts) dropEmpty() {
	for len(*p) > 0 && len((*p)[0]) == 0 {
		*p = (*p)[1:]
	}
}

func newFrameReader(conn net.Conn) *frameReader {
	return &frameReader{conn: conn, reader: bufio.NewReaderSize(conn, frameBufferBytes)}
}

// Next reads messages up to the next value and returns that one's length. It charges the value to the reservation. If there is no room for
// it, it is read and dropped, and the error is admission.ErrNoRoom: the stream goes on behind it. Other errors end the stream.
func (f *frameReader) Next(limits messageLimits, reservation *admission.Reservation) (int, error) {
	if _, err := f.reader.Peek(1); err != nil {
		return 0, err
	}
	for {
		length, prefix, err := readNumber(f.reader)
		if err != nil {
			return 0, err
		}
		isDefinition, err := f.peekDefinition()
		switch {
		case err != nil:
			return 0, err
		case isDefinition && uint64(len(f.definitions))+length > maxDefinitionBytes, length == 0, length > uint64(max(limits.maxBytes, limits.maxDropped)):
			return 0, errMessageTooLong
		case !isDefinition && length > uint64(limits.maxBytes):
			return 0, f.drop(int64(length))
		}
		if !isDefinition {
			return f.passOn(prefix, int64(length), limits, reservation)
		}
		if err := f.readDefinition(prefix, int(length)); err != nil {
			return 0, err
		}
	}
}

// readDefinition reads the definition of a type. It is passed on with the next value.
func (f *frameReader) readDefinition(prefix []byte, length int) error {
	start := len(f.definitions) + len(prefix)
	f.definitions = append(append(f.definitions, prefix...), make([]byte, length)...)
	return f.readFull(f.definitions[start:])
}

// readFull fills a buffer, within frameTimeout.
func (f *frameReader) readFull(buffer []byte) error {
	if f.reader.Buffered() < len(buffer) {
		f.conn.SetReadDeadline(time.Now().Add(f.timeout(int64(len(buffer)))))
		defer f.conn.SetReadDeadline(time.Time{})
	}
	_, err := io.ReadFull(f.reader, buffer)
	return err
}

// timeout returns the time for so many bytes of a message to arrive.
func (f *frameReader) timeout(bytes int64) time.Duration {
	if f.slowestSender == 0 {
		return frameTimeout
	}
	return frameTimeout + time.Duration(bytes)*time.Second/time.Duration(f.slowestSender)
}

// passOn reads a value and passes it on to the decoder, with the definitions before it.
func (f *frameReader) passOn(prefix []byte, length int64, limits messageLimits, reservation *admission.Reservation) (int, error) {
	data, err := f.readValue(length, limits, reservation)
	if err != nil {
		return 0, err
	}
	f.message = [][]byte{prefix, data}
	f.pending = byteParts{f.definitions[f.passedOn:], prefix, data}
	f.passedOn = len(f.definitions)
	return int(length), nil
}

// readValue reads a message of the given length. Its buffer grows as the bytes arrive: a caller that only announces them holds little.
func (f *frameReader) readValue(length int64, limits messageLimits, reservation *admission.Reservation) ([]byte, error) {
	var data []byte
	for size := min(length, frameBufferBytes); ; size = min(length, size*frameGrowth) {
		held := len(data)
		if reservation.Grow(limits.chargeLength(size-int64(held))) != nil {
			return nil, f.drop(length - int64(held))
		}
		larger := make([]byte, size)
		copy(larger, data)
		data = larger
		if err := f.readFull(data[held:]); err != nil {
			return nil, err
		}
		if reservation.Grow(limits.chargeItems(data[held:])) != nil {
			return nil, f.drop(length - size)
		}
		if size == length {
			return data, nil
		}
	}
}

// drop reads the rest of a message that has no room, and returns ErrNoRoom.
func (f *frameReader) drop(rest int64) error {
	f.conn.SetReadDeadline(time.Now().Add(f.timeout(rest)))
	defer f.conn.SetReadDeadline(time.Time{})
	if _, err := io.CopyN(io.Discard, f.reader, rest); err != nil {
		return err
	}
	return admission.ErrNoRoom
}

// peekDefinition reports whether the message whose length has been read defines a type.
func (f *frameReader) peekDefinition() (bool, error) {
	first, err := f.reader.Peek(1)
	if err != nil {
		return false, err
	}
	count := numberBytes(first[0])
	if count > maxNumberBytes {
		return false, errMessageTooLong
	}
	number, err := f.reader.Peek(1 + count)
	if err != nil {
		return false, err
	}
	return number[len(number)-1]&definitionNumberFlag != 0, nil
}

// numberBytes returns how many bytes of a number follow its first one.
func numberBytes(first byte) int {
	if first <= maxSingleByteNumber {
		return 0
	}
	return -int(int8(first))
}

// readNumber reads a number, and returns it with its bytes.
func readNumber(reader *bufio.Reader) (number uint64, encoded []byte, err error) {
	first, err := reader.ReadByte()
	if err != nil {
		return 0, nil, err
	}
	count := numberBytes(first)
	if count > maxNumberBytes {
		return 0, nil, errMessageTooLong
	}
	encoded = make([]byte, 1+count)
	encoded[0] = first
	if _, err := io.ReadFull(reader, encoded[1:]); err != nil {
		return 0, nil, err
	}
	number, _ = decodeNumber(encoded)
	return number, encoded, nil
}

// decodeNumber returns the number at the start of some bytes, which must hold all of it, and the count of its bytes.
func decodeNumber(encoded []byte) (number uint64, length int) {
	count := numberBytes(encoded[0])
	if count == 0 {
		return uint64(encoded[0]), 1
	}
	var padded [maxNumberBytes]byte
	copy(padded[maxNumberBytes-count:], encoded[1:1+count])
	return binary.BigEndian.Uint64(padded[:]), 1 + count
}
