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

// Text is a long text, a configuration's in the main, that travels and lies on disk deflated: routes are much alike, and a link of
// 12 Mbit/s that is full of clients' answers takes seconds for what a thousand of them weigh.
type Text []byte

const (
	shortText   = 512       // bytes, below which it stays as it is
	longestText = 128 << 20 // bytes; more is refused and not unfolded
	packedMark  = '~'       // before one that is deflated, where others have base64
	plainByte   = 0
	packedByte  = 1
)

// Writers are kept: a new one clears a megabyte first.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // a constant level
	}
	return w
}}

func (t Text) pack() []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	w.Write(t) // to memory
	w.Close()
	return b.Bytes()
}

func unpackText(packed []byte) (Text, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), longestText+1))
	if err != nil {
		return nil, fmt.Errorf("a text that can't be unfolded: %w", err)
	}
	if len(text) > longestText {
		return nil, fmt.Errorf("a text of more than %d bytes", longestText)
	}
	return text, nil
}

// MarshalJSON writes it as a string: base64, behind a mark if it is deflated.
func (t Text) MarshalJSON() ([]byte, error) {
	if len(t) < shortText {
		return json.Marshal([]byte(t))
	}
	packed := t.pack()
	out := make([]byte, 0, base64.StdEncoding.EncodedLen(len(packed))+3)
	out = append(out, '"', packedMark)
	return append(base64.StdEncoding.AppendEncode(out, packed), '"'), nil
}

// UnmarshalJSON reads either form.
func (t *Text) UnmarshalJSON(b []byte) error {
	if len(b) < 3 || b[1] != packedMark {
		return json.Unmarshal(b, (*[]byte)(t))
	}
	packed, err := base64.StdEncoding.DecodeString(string(b[2 : len(b)-1]))
	if err != nil {
		return fmt.Errorf("a text that can't be read: %w", err)
	}
	*t, err = unpackText(packed)
	return err
}

// GobEncode writes it behind a byte that tells the form.
func (t Text) GobEncode() ([]byte, error) {
	if len(t) < shortText {
		return append([]byte{plainByte}, t...), nil
	}
	return append([]byte{packedByte}, t.pack()...), nil
}

// GobDecode reads either form.
func (t *Text) GobDecode(b []byte) (err error) {
	switch {
	case len(b) == 0:
		return fmt.Errorf("a text without its form")
	case b[0] == plainByte:
		*t = append(Text(nil), b[1:]...)
	case b[0] == packedByte:
		*t, err = unpackText(b[1:])
	default:
		err = fmt.Errorf("a text of form %d", b[0])
	}
	return err
}
