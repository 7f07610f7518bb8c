package clusterstate

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// CompressedText is a long text, usually a configuration, that is compressed with DEFLATE on the wire and on disk; in memory it is plain.
// Routes are very similar and compress well; uncompressed, a thousand of them take seconds on a link of 12 Mbit/s that is full of responses
// to clients.
type CompressedText []byte

const (
	minCompressedText = 512       // bytes; a shorter text is not compressed
	maxTextBytes      = 128 << 20 // bytes; a text that would decompress to more is refused
	compressedMark    = '~'       // first character of a compressed text in JSON; base64 does not contain it
	plainFormat       = 0         // first byte of an uncompressed text in gob
	compressedFormat  = 1         // first byte of a compressed text in gob
)

// flateWriters is a pool, because a new writer clears a megabyte first.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return w
}}

// compress returns the text in DEFLATE format.
func (t CompressedText) compress() []byte {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	w.Write(t) // a write to memory does not fail
	w.Close()
	return b.Bytes()
}

// decompress is the inverse of CompressedText.compress. It refuses a text of more than maxTextBytes without holding all of it.
func decompress(compressed []byte) (CompressedText, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxTextBytes+1))
	if err != nil {
		return nil, fmt.Errorf("a text that can't be unfolded: %w", err)
	}
	if len(text) > maxTextBytes {
		return nil, fmt.Errorf("a text of more than %d bytes", maxTextBytes)
	}
	return text, nil
}

// MarshalJSON encodes the text as a string: base64, with a mark in front if it is compressed.
func (t CompressedText) MarshalJSON() ([]byte, error) {
	if len(t) < minCompressedText {
		return json.Marshal([]byte(t))
	}
	compressed := t.compress()
	out := make([]byte, 0, base64.StdEncoding.EncodedLen(len(compressed))+3)
	out = append(out, '"', compressedMark)
	return append(base64.StdEncoding.AppendEncode(out, compressed), '"'), nil
}

// UnmarshalJSON decodes a text, compressed or not.
func (t *CompressedText) UnmarshalJSON(b []byte) error {
	if len(b) < 3 || b[1] != compressedMark {
		return json.Unmarshal(b, (*[]byte)(t))
	}
	compressed, err := base64.StdEncoding.DecodeString(string(b[2 : len(b)-1]))
	if err != nil {
		return fmt.Errorf("a text that can't be read: %w", err)
	}
	*t, err = decompress(compressed)
	return err
}

// GobEncode encodes the text after a byte that tells whether it is compressed.
func (t CompressedText) GobEncode() ([]byte, error) {
	if len(t) < minCompressedText {
		return append([]byte{plainFormat}, t...), nil
	}
	return append([]byte{compressedFormat}, t.compress()...), nil
}

// GobDecode decodes a text, compressed or not.
func (t *CompressedText) GobDecode(b []byte) (err error) {
	switch {
	case len(b) == 0:
		return fmt.Errorf("a text without its form")
	case b[0] == plainFormat:
		*t = append(CompressedText(nil), b[1:]...)
	case b[0] == compressedFormat:
		*t, err = decompress(b[1:])
	default:
		err = fmt.Errorf("a text of form %d", b[0])
	}
	return err
}
