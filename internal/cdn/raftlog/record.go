package raftlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"cedarmast/internal/cdn/consensus"
)

// The record kinds.
const (
	kindID byte = iota + 1
	kindHard
	kindSnapshot
	kindEntry
	kindSeal // ends the complete state at the beginning of a generation
	kindCommitted
)

var errTruncated = errors.New("record is truncated")

// DiskState is the content of a journal: the ID of its disk and the consensus state from which a machine restarts.
type DiskState struct {
	ID       string // random ID of the disk, chosen at its first use; empty if it has not been used
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry

	Committed uint64 // last entry that is known to be committed; later ones may be as well
}

// appendRecord appends a record to a batch: the length of the body, the kind and the body.
func appendRecord(b []byte, kind byte, body []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(append(b, kind), body...)
}

// replay applies the records of a batch. It sets sealed if one of them is a seal.
func (h *DiskState) replay(batch []byte, sealed *bool) error {
	for len(batch) > 0 {
		size, n := binary.Uvarint(batch)
		if n <= 0 || size >= uint64(len(batch)-n) {
			return errTruncated
		}
		kind, body := batch[n], batch[n+1:n+1+int(size)]
		batch = batch[n+1+int(size):]
		if err := h.applyRecord(kind, body, sealed); err != nil {
			return err
		}
	}
	return nil
}

// applyRecord applies one record.
func (h *DiskState) applyRecord(kind byte, body []byte, sealed *bool) (err error) {
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
		return h.applyEntry(body)
	case kindCommitted:
		committed, n := binary.Uvarint(body)
		if n <= 0 {
			return errTruncated
		}
		h.Committed = max(h.Committed, committed)
	case kindSeal:
		*sealed = true
	default:
		return fmt.Errorf("unknown record kind %d", kind)
	}
	return nil
}

// applyEntry adds an entry, which replaces all entries from its index on. An entry covered by the snapshot is ignored.
func (h *DiskState) applyEntry(body []byte) error {
	e, err := decodeEntry(body)
	if err != nil {
		return err
	}
	position := int64(e.Index) - int64(h.Snapshot.Index) - 1
	if position < 0 {
		return nil
	}
	if position > int64(len(h.Entries)) {
		return fmt.Errorf("entry %d does not follow %d", e.Index, int(h.Snapshot.Index)+len(h.Entries))
	}
	h.Entries = append(h.Entries[:position], e)
	return nil
}

// mustMarshal returns the JSON encoding of a value that can always be encoded.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs of numbers, strings and bytes
	}
	return text
}

// appendHeader appends the index, term and membership that entries and snapshots begin with. The membership may be nil.
func appendHeader(b []byte, index, term uint64, m *consensus.Membership) []byte {
	var membership []byte
	if m != nil {
		membership = mustMarshal(m)
	}
	b = binary.AppendUvarint(b, index)
	b = binary.AppendUvarint(b, term)
	b = binary.AppendUvarint(b, uint64(len(membership)))
	return append(b, membership...)
}

// readHeader parses what appendHeader has written, and returns a copy of the bytes after it as rest.
func readHeader(b []byte) (index, term uint64, m *consensus.Membership, rest []byte, err error) {
	var numbers [3]uint64
	for i := range numbers {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return 0, 0, nil, nil, errTruncated
		}
		numbers[i], b = v, b[n:]
	}
	size := numbers[2]
	if size > uint64(len(b)) {
		return 0, 0, nil, nil, errTruncated
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
	return append(appendHeader(nil, e.Index, e.Term, e.Membership), e.Data...)
}

func decodeEntry(b []byte) (e consensus.Entry, err error) {
	e.Index, e.Term, e.Membership, e.Data, err = readHeader(b)
	return e, err
}

func encodeSnapshot(s consensus.Snapshot) []byte {
	return append(appendHeader(nil, s.Index, s.Term, &s.Membership), s.Data...)
}

func decodeSnapshot(b []byte) (s consensus.Snapshot, err error) {
	var m *consensus.Membership
	s.Index, s.Term, m, s.Data, err = readHeader(b)
	if m != nil {
		s.Membership = *m
	}
	return s, err
}
