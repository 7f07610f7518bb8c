package clusterstate

import (
	"bytes"
	"fmt"
)

// Delta is a configuration's body as its difference from the one before it, so that the size of an update depends on what has changed and
// not on the number of routes. It carries the digest of the result, so that a wrong base is detected.
type Delta struct {
	Base    Version  `json:"base"`
	Version Version  `json:"version"` // of the body
	Sum     [32]byte `json:"sum"`     // the Digest of the body
	Pieces  []Piece  `json:"pieces"`
}

// Piece is a range of the base or, if Len is 0, literal text.
type Piece struct {
	From int            `json:"f,omitempty"` // offset in the base, in bytes
	Len  int            `json:"n,omitempty"` // in bytes
	Text CompressedText `json:"t,omitempty"`
}

var parcelPrefix = []byte(`{"parcel_kind"`)

// splitParcels splits a body in front of each parcel. The first chunk is what comes before the first parcel.
func splitParcels(body []byte) (chunks [][]byte) {
	for len(body) > 0 {
		i := bytes.Index(body[1:], parcelPrefix)
		if i < 0 {
			return append(chunks, body)
		}
		chunks, body = append(chunks, body[:i+1]), body[i+1:]
	}
	return chunks
}

// Diff returns the delta that turns the body of the base version, from, into body, whose digest is sum. It returns nil if a delta is not
// worth it: if more than half of the body would be literal, or if there are too many pieces.
func Diff(base, version Version, from, body []byte, sum [32]byte) *Delta {
	if len(from) == 0 {
		return nil
	}
	baseOffsets, offset := map[string]int{}, 0
	for _, p := range splitParcels(from) {
		baseOffsets[string(p)] = offset
		offset += len(p)
	}
	d := &Delta{Base: base, Version: version, Sum: sum}
	literalBytes := 0
	for _, p := range splitParcels(body) {
		from, known := baseOffsets[string(p)]
		last := len(d.Pieces) - 1
		switch {
		case !known && last >= 0 && d.Pieces[last].Len == 0:
			literalBytes += len(p)
			d.Pieces[last].Text = append(d.Pieces[last].Text, p...)
		case !known:
			literalBytes += len(p)
			d.Pieces = append(d.Pieces, Piece{Text: bytes.Clone(p)})
		case last >= 0 && d.Pieces[last].Len > 0 && d.Pieces[last].From+d.Pieces[last].Len == from:
			d.Pieces[last].Len += len(p)
		default:
			d.Pieces = append(d.Pieces, Piece{From: from, Len: len(p)})
		}
	}
	if literalBytes*2 > len(body) || len(d.Pieces) > 256 {
		return nil
	}
	return d
}

// Patch returns the body that a delta yields from the body of the given version. The caller must check its digest.
func (d *Delta) Patch(version Version, base []byte) ([]byte, error) {
	if version != d.Base {
		return nil, fmt.Errorf("a delta on %s, but %s is held", d.Base, version)
	}
	var body []byte
	for _, p := range d.Pieces {
		if p.Len == 0 {
			body = append(body, p.Text...)
			continue
		}
		if p.From < 0 || p.Len < 0 || p.From > len(base)-p.Len {
			return nil, fmt.Errorf("a delta that points past its base")
		}
		body = append(body, base[p.From:p.From+p.Len]...)
	}
	return body, nil
}
