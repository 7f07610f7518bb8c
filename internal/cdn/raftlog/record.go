package raftlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"cedarmast/internal/cdn/consensus"
)

// The kinds of record.
const (
	kindID byte = iota + 1
	kindHard
	kindSnapshot
	kindEntry
	kindSeal // what stands before it is the whole of what an older generation held
	kindCommitted
)

var errCutShort = errors.New("record cut short")

// Held is what a disk holds.
type Held struct {
	ID       string // this disk's, drawn when it was first used; empty: it never was
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry

	Committed uint64 // entries up to this one are surely kept by a majority; there may be more
}

func appendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(append(b, kind), body...)
}

// replay takes a batch's records on.
func (h *Held) replay(batch []byte, sealed *bool) error {
	for len(batch) > 0 {
		size, n := binary.Uvarint(batch)
		if n <= 0 || size >= uint64(len(batch)-n) {
			return errCutShort
		}
		kind, body := batch[n], batch[n+1:n+1+int(size)]
		batch = batch[n+1+int(size):]
		if err := h.take(kind, body, sealed); err != nil {
			return err
		}
	}
	return nil
}

func (h *Held) take(kind byte, body []byte, sealed *bool) (err error) {
	switch kind {
	case kindID:
		h.ID = string(body)
	case kindHard:
		return json.Unmarshal(body, &h.Hard)
	case kindSnapshot:
		h.Snapshot, err = decodeSnapshot(body)
		h.Entries = nil
		return err
	case kindEntry:
		return h.takeEntry(body)
	case kindCommitted:
		committed, n := binary.Uvarint(body)
		if n <= 0 {
			return errCutShort
		}
		h.Committed = max(h.Committed, committed)
	case kindSeal:
		*sealed = true
	default:
		return fmt.Errorf("a record of kind %d", kind)
	}
	return nil
}

// takeEntry puts an entry in its place; it replaces what stood from its index on.
func (h *Held) takeEntry(body []byte) error {
	e, err := decodeEntry(body)
	if err != nil {
		return err
	}
	at := int64(e.Index) - int64(h.Snapshot.Index) - 1
	if at < 0 {
		return nil
	}
	if at > int64(len(h.Entries)) {
		return fmt.Errorf("entry %d does not follow %d", e.Index, int(h.Snapshot.Index)+len(h.Entries))
	}
	h.Entries = append(h.Entries[:at], e)
	return nil
}

func asJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs of numbers, strings and bytes
	}
	return text
}

// appendNumbers writes an index, a term and a membership, which entries and snapshots begin with.
func appendNumbers(b []byte, index, term uint64, m *consensus.Membership) []byte {
	var membership []byte
	if m != nil {
		membership = asJSON(m)
	}
	b = binary.AppendUvarint(b, index)
	b = binary.AppendUvarint(b, term)
	b = binary.AppendUvarint(b, uint64(len(membership)))
	return append(b, membership...)
}

func readNumbers(b []byte) (index, term uint64, m *consensus.Membership, rest []byte, err error) {
	var numbers [3]uint64
	for i := range numbers {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return 0, 0, nil, nil, errCutShort
		}
		numbers[i], b = v, b[n:]
	}
	size := numbers[2]
	if size > uint64(len(b)) {
		return 0, 0, nil, nil, errCutShort
	}
	if size > 0 {
		m = new(consensus.Membership)
		if err := json.Unmarshal(b[:size], m); err != nil {
			return 0, 0, nil, nil, err
		}
	}
	return numbers[0], numbers[1], m, slices.Clone(b[size:]), nil
}

func encodeEntry(e consensus.Entry) []byte {
	return append(appendNumbers(nil, e.Index, e.Term, e.Membership), e.Data...)
}

func decodeEntry(b []byte) (e consensus.Entry, err error) {
	e.Index, e.Term, e.Membership, e.Data, err = readNumbers(b)
	return e, err
}

func encodeSnapshot(s consensus.Snapshot) []byte {
	return append(appendNumbers(nil, s.Index, s.Term, &s.Membership), s.Data...)
}

func decodeSnapshot(b []byte) (s consensus.Snapshot, err error) {
	var m *consensus.Membership
	s.Index, s.Term, m, s.Data, err = readNumbers(b)
	if m != nil {
		s.Membership = *m
	}
	return s, err
}
