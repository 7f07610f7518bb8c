package raftlog

import (
	"encoding/binary"
	"hash/crc32"
)

// A journal file is a header followed by batches. Each batch is one write and one sync, and the next batch is written only after
// that sync. So an incomplete batch was never synced if no complete batch follows it, and was corrupted by the disk if one does.

const (
	fileMagic        = "cedarlog"
	saltBytes        = 8
	fileHeaderBytes  = len(fileMagic) + saltBytes
	batchHeaderBytes = 4 + 4 + 8 // length, checksum, number
	maxBatchNumber   = 1 << 40   // highest valid batch number
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// framing encodes and recognizes the batches of one file. The checksums cover the file's salt, so that batches of another file
// are not accepted.
type framing struct{ salt [saltBytes]byte }

// header returns the header of the file.
func (f framing) header() []byte { return append([]byte(fileMagic), f.salt[:]...) }

// frame returns a batch with its header.
func (f framing) frame(number uint64, body []byte) []byte {
	out := make([]byte, batchHeaderBytes, batchHeaderBytes+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint64(out[8:], number)
	binary.LittleEndian.PutUint32(out[4:], f.checksum(out[8:batchHeaderBytes], body))
	return append(out, body...)
}

// checksum returns the checksum of a batch, over the salt, the encoded number and the body.
func (f framing) checksum(number, body []byte) uint32 {
	sum := crc32.Update(0, crcTable, f.salt[:])
	sum = crc32.Update(sum, crcTable, number)
	return crc32.Update(sum, crcTable, body)
}

// parse returns the batch that begins at the start of data, if it is complete and its number is from minNumber to maxNumber.
func (f framing) parse(data []byte, minNumber, maxNumber uint64) (number uint64, body []byte, ok bool) {
	if len(data) < batchHeaderBytes {
		return 0, nil, false
	}
	size := binary.LittleEndian.Uint32(data)
	number = binary.LittleEndian.Uint64(data[8:])
	if uint64(size) > uint64(len(data)-batchHeaderBytes) || number < minNumber || number > maxNumber {
		return 0, nil, false
	}
	body = data[batchHeaderBytes : batchHeaderBytes+int(size)]
	if f.checksum(data[8:batchHeaderBytes], body) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, nil, false
	}
	return number, body, true
}

// contents holds the batches of a file.
type contents struct {
	batches [][]byte
	corrupt bool // a batch that had been synced is incomplete or fails its checksum
}

// readBatches parses a file. An incomplete batch at the end is left out, since it was never synced.
func readBatches(data []byte) (c contents) {
	if len(data) < fileHeaderBytes || string(data[:len(fileMagic)]) != fileMagic {
		return c
	}
	var f framing
	copy(f.salt[:], data[len(fileMagic):])
	data = data[fileHeaderBytes:]
	for len(data) > 0 {
		number := uint64(len(c.batches)) + 1
		_, body, ok := f.parse(data, number, number)
		if !ok {
			c.corrupt = f.hasLaterBatch(data[1:], number)
			return c
		}
		c.batches = append(c.batches, body)
		data = data[batchHeaderBytes+len(body):]
	}
	return c
}

// hasLaterBatch reports whether data contains, at any offset, a complete batch with a number greater than the given one.
func (f framing) hasLaterBatch(data []byte, number uint64) bool {
	for ; len(data) >= batchHeaderBytes; data = data[1:] {
		if _, _, ok := f.parse(data, number+1, maxBatchNumber); ok {
			return true
		}
	}
	return false
}
