package peerrpc

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"sync"
)

// This file encodes replies. A gob.Encoder keeps a buffer of the longest value that it has encoded, for as long as its stream lives: one for
// each connection would hold a state or an object for each. Here connections share encoders. What an encoder writes for a value depends on
// the types that it has written before and on nothing else, since a process numbers its types; so a shared encoder that has written a type's
// definitions writes the value alone, and the definitions are sent once on each connection.

const (
	keptEncoderBytes = 64 << 10 // an encoder whose buffer has grown beyond this is dropped
	shortReplyBytes  = 512
)

// definition is the message that defines a type, with the number of that type.
type definition struct {
	number  uint64
	message []byte
}

// typeEncoding encodes values of one type.
type typeEncoding struct {
	definitions []definition
	encoders    sync.Pool // of *sharedEncoder
}

// sharedEncoder is an encoder that has written the definitions of its type.
type sharedEncoder struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// typeEncodings holds the *typeEncoding of each reflect.Type.
var typeEncodings sync.Map

// encodingOf returns the encoding of a value's type.
func encodingOf(value any) (*typeEncoding, error) {
	t := reflect.Indirect(reflect.ValueOf(value)).Type()
	if known, ok := typeEncodings.Load(t); ok {
		return known.(*typeEncoding), nil
	}
	first, err := newSharedEncoder(t)
	if err != nil {
		return nil, err
	}
	encoding := &typeEncoding{definitions: readDefinitions(first.buffer.Bytes())}
	encoding.encoders.New = func() any {
		encoder, err := newSharedEncoder(t)
		if err != nil {
			return nil // cannot happen: the type has been encoded before
		}
		return encoder
	}
	known, _ := typeEncodings.LoadOrStore(t, encoding)
	return known.(*typeEncoding), nil
}

// newSharedEncoder returns an encoder that has written the definitions of a type and its zero value.
func newSharedEncoder(t reflect.Type) (*sharedEncoder, error) {
	s := &sharedEncoder{}
	s.encoder = gob.NewEncoder(&s.buffer)
	return s, s.encoder.EncodeValue(reflect.New(t))
}

// readDefinitions returns the definitions in an encoded stream, which ends with a value.
func readDefinitions(stream []byte) (definitions []definition) {
	for len(stream) > 0 {
		length, prefix := decodeNumber(stream)
		message := stream[:prefix+int(length)]
		number, _ := decodeNumber(message[prefix:])
		if number&definitionNumberFlag != 0 {
			definitions = append(definitions, definition{number, bytes.Clone(message)})
		}
		stream = stream[len(message):]
	}
	return definitions
}

// replyStream encodes the values of one connection.
type replyStream struct {
	defined map[uint64]bool // numbers of the types whose definitions have been sent
}

// appendValue appends a value to a buffer, with the definitions that the connection lacks.
func (s *replyStream) appendValue(out []byte, value any) ([]byte, error) {
	encoding, err := encodingOf(value)
	if err != nil {
		return out, err
	}
	shared := encoding.encoders.Get().(*sharedEncoder)
	shared.buffer.Reset()
	if err := shared.encoder.Encode(value); err != nil { // the encoder may have failed for good
		return out, err
	}
	for _, d := range encoding.definitions {
		if !s.defined[d.number] {
			s.defined[d.number] = true
			out = append(out, d.message...)
		}
	}
	out = append(out, shared.buffer.Bytes()...)
	if shared.buffer.Cap() <= keptEncoderBytes {
		encoding.encoders.Put(shared)
	}
	return out, nil
}
