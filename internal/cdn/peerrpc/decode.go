package peerrpc

import "encoding/gob"

// decode decodes a value, or skips one if it is nil. Package gob panics on some malformed streams, as its documentation admits; that is an
// error of the stream here, and its connection ends.
func decode(decoder *gob.Decoder, value any) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = Error.New("malformed message: %v", panicked)
		}
	}()
	return decoder.Decode(value)
}
