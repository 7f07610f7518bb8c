package raftlog

import (
	"encoding/binary"
	"hash/crc32"
)

// A journal's file is a head, and behind it batches. Each batch was one write and one sync, and the next one was written only
// after that sync: so a batch that is not whole was never synced if nothing whole stands behind it, and the disk has
// spoilt it if something does.

const (
	fileMagic  = "cedarlog"
	saltBytes  = 8
	headBytes  = len(fileMagic) + saltBytes
	batchHead  = 4 + 4 + 8 // length, checksum, number
	mostNumber = 1 << 40   // of batches in a file; a greater one is no number
)

var table = crc32.MakeTable(crc32.Castagnoli)

// framing tells one file's batches from all other bytes: its checksums begin with the file's salt.
type framing struct{ salt [saltBytes]byte }

func (f framing) head() []byte { return append([]byte(fileMagic), f.salt[:]...) }

// frame puts a batch's head before it.
func (f framing) frame(number uint64, body []byte) []byte {
	out := make([]byte, batchHead, batchHead+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint64(out[8:], number)
	binary.LittleEndian.PutUint32(out[4:], f.sum(out[8:batchHead], body))
	return append(out, body...)
}

func (f framing) sum(number, body []byte) uint32 {
	sum := crc32.Update(0, table, f.salt[:])
	sum = crc32.Update(sum, table, number)
	return crc32.Update(sum, table, body)
}

// at returns the batch that begins at the text's start, if it is whole and its number is one of those wanted.
func (f framing) at(text []byte, least, most uint64) (number uint64, body []byte, ok bool) {
	if len(text) < batchHead {
		return 0, nil, false
	}
	size := binary.LittleEndian.Uint32(text)
	number = binary.LittleEndian.Uint64(text[8:])
	if uint64(size) > uint64(len(text)-batchHead) || number < least || number > most {
		return 0, nil, false
	}
	body = text[batchHead : batchHead+int(size)]
	if f.sum(text[8:batchHead], body) != binary.LittleEndian.Uint32(text[4:]) {
		return 0, nil, false
	}
	return number, body, true
}

// contents is what a file holds.
type contents struct {
	batches [][]byte
	spoilt  bool // a batch that was synced is not whole
}

// readBatches reads a file. A tail that is not whole is left out: it was never synced.
func readBatches(text []byte) (c contents) {
	if len(text) < headBytes || string(text[:len(fileMagic)]) != fileMagic {
		return c
	}
	var f framing
	copy(f.salt[:], text[len(fileMagic):])
	text = text[headBytes:]
	for len(text) > 0 {
		number := uint64(len(c.batches)) + 1
		_, body, ok := f.at(text, number, number)
		if !ok {
			c.spoilt = f.anyBehind(text[1:], number)
			return c
		}
		c.batches = append(c.batches, body)
		text = text[batchHead+len(body):]
	}
	return c
}

// anyBehind tells whether a whole batch of a later number stands anywhere in the text.
func (f framing) anyBehind(text []byte, number uint64) bool {
	for ; len(text) >= batchHead; text = text[1:] {
		if _, _, ok := f.at(text, number+1, mostNumber); ok {
			return true
		}
	}
	return false
}
