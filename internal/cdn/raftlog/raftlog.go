// Package raftlog stores a core machine's replicated log on disk, in an append-only journal file that is written in batches of
// one write and one sync each. It guarantees the following, whatever the disk does:
//
//   - Nothing counts as saved before the batch, and for a new file also the directory, is synced.
//   - A file is written by one process only, and never again after a write or sync of it has failed: the journal then has to be
//     renewed, which begins a new file, the next generation, with the complete state. So no data ever follows a gap.
//   - An older generation is removed only after the newer one is complete and both it and the directory are synced.
//   - A batch that the disk has corrupted after it was synced is detected at the next start: the disk then counts as lost.
package raftlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cedarmast/internal/cdn/consensus"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("journal")

// ErrBroken is the cause of a failed save after which the journal must be renewed: how much of the batch is on disk is unknown.
var ErrBroken = errors.New("journal file is no longer writable")

// ErrFormat is the cause of a journal that was written completely but can't be read by this version.
var ErrFormat = errors.New("not readable by this version")

const (
	filePrefix      = "log-"
	corruptPrefix   = "spoilt-"
	oldFormatPrefix = "journal-" // of the format used before the first release
)

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	files           Directory
	generation      int // the newest one that exists or was attempted
	current         File
	framing         framing
	batchNumber     uint64 // of the last batch in the current file
	firstBatchBytes int64  // bytes in the first batch of the current generation
	appendedBytes   int64  // bytes in the batches after it
	diskID          string
	committed       uint64 // commit index last passed to Note
	savedCommitted  uint64 // commit index on disk
}

// Open reads the journal in a directory. The returned journal accepts no saves before it is renewed by Begin or Renew, since how
// the previous process ended is unknown. For an empty directory, held.ID is empty. If the disk has corrupted synced data,
// held.ID is empty as well, and lost is the name of the file that was set aside.
func Open(files Directory) (j *Journal, held DiskState, lost string, err error) {
	j = &Journal{files: files}
	generations, err := j.listGenerations()
	if err != nil {
		return nil, held, "", err
	}
	for i := len(generations) - 1; i >= 0; i-- {
		j.generation = max(j.generation, generations[i])
		held, state, err := j.load(generations[i])
		switch {
		case err != nil:
			return nil, held, "", err
		case state == corrupt:
			return j, DiskState{}, fileName(generations[i]), j.setAside(generations[:i+1])
		case state == complete:
			j.diskID = held.ID
			return j, held, "", nil
		}
	}
	return j, DiskState{}, "", nil
}

// fileName returns the file name of a generation.
func fileName(generation int) string { return fmt.Sprintf("%s%08d", filePrefix, generation) }

// listGenerations returns the generations in the directory, the oldest first.
func (j *Journal) listGenerations() (generations []int, err error) {
	names, err := j.files.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if strings.HasPrefix(name, oldFormatPrefix) {
			return nil, Error.New("%s: written in the format used before the first release, which is not read any more: %w", name, ErrFormat)
		}
		if number, ok := strings.CutPrefix(name, filePrefix); ok {
			if n, err := strconv.Atoi(number); err == nil {
				generations = append(generations, n)
			}
		}
	}
	slices.Sort(generations)
	return generations, nil
}

// fileState is the condition of a generation's file.
type fileState int

const (
	incomplete fileState = iota // its first batch was never completed; the previous generation still holds the complete state
	complete
	corrupt
)

// load reads the file of a generation.
func (j *Journal) load(generation int) (held DiskState, _ fileState, err error) {
	data, err := j.files.Read(fileName(generation))
	if err != nil {
		return held, incomplete, err
	}
	c := readBatches(data)
	if c.corrupt {
		return held, corrupt, nil
	}
	sealed := false
	for i, batch := range c.batches {
		if err := held.replay(batch, &sealed); err != nil { // the checksum is valid, so the batch was written like this
			return held, incomplete, Error.New("%s: batch %d: %w: %w", fileName(generation), i+1, ErrFormat, err)
		}
	}
	if !sealed {
		return DiskState{}, incomplete, nil
	}
	return held, complete, nil
}

// setAside renames the newest of the given generations, which is corrupt, so that it can be inspected. Before that it removes the older
// generations, whose contents are outdated: if the process ends in between, the next start still finds the corrupt one to be the newest.
// It also removes the generation set aside before, so that at most one is kept.
func (j *Journal) setAside(generations []int) error {
	names, err := j.files.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasPrefix(name, corruptPrefix) {
			if err := j.files.Remove(name); err != nil {
				return err
			}
		}
	}
	for _, old := range generations[:len(generations)-1] {
		if err := j.files.Remove(fileName(old)); err != nil {
			return err
		}
	}
	if err := j.files.Sync(); err != nil {
		return err
	}
	newest := fileName(generations[len(generations)-1])
	if err := j.files.Rename(newest, corruptPrefix+newest); err != nil {
		return err
	}
	return j.files.Sync()
}

// Begin sets the ID of the disk and writes a new generation with the given state. It must be called after Open, before the first Save. A
// second call replaces the ID and the state; if it fails, the ID is the former one.
func (j *Journal) Begin(held DiskState) error {
	previous := j.diskID
	j.diskID = held.ID
	if err := j.Renew(held.Hard, held.Snapshot, held.Entries); err != nil {
		j.diskID = previous
		return err
	}
	return nil
}

// Save writes a batch with one sync. After an error nothing in the batch counts as saved, and the journal must be renewed.
func (j *Journal) Save(hard *consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) error {
	if j.current == nil {
		return Error.Wrap(ErrBroken)
	}
	var b []byte
	if hard != nil {
		b = appendRecord(b, kindHard, mustMarshal(hard))
	}
	if snap != nil {
		b = appendRecord(b, kindSnapshot, encodeSnapshot(*snap))
	}
	for _, e := range entries {
		b = appendRecord(b, kindEntry, encodeEntry(e))
	}
	if len(b) == 0 {
		return nil
	}
	savedCommitted := max(j.savedCommitted, j.committed)
	if savedCommitted > j.savedCommitted { // lets the next start apply committed entries without waiting for a leader
		b = appendRecord(b, kindCommitted, binary.AppendUvarint(nil, savedCommitted))
	}
	if err := j.writeBatch(b); err != nil {
		j.Close()
		return errors.Join(Error.Wrap(err), ErrBroken)
	}
	j.savedCommitted = savedCommitted
	j.appendedBytes += int64(len(b))
	return nil
}

// writeBatch appends a batch to the current file and syncs it.
func (j *Journal) writeBatch(batch []byte) error {
	if _, err := j.current.Write(j.framing.frame(j.batchNumber+1, batch)); err != nil {
		return err
	}
	j.batchNumber++
	return j.current.Sync()
}

// Note records that entries up to an index are committed. The index is written with the next batch, and causes no write itself.
func (j *Journal) Note(committed uint64) { j.committed = max(j.committed, committed) }

// Size returns the size of the current generation's batches in bytes.
func (j *Journal) Size() int64 { return j.firstBatchBytes + j.appendedBytes }

// Grown reports whether the current generation has grown by more than the given number of bytes, and by more than the size of
// its first batch.
func (j *Journal) Grown(minBytes int64) bool {
	return j.appendedBytes > max(minBytes, j.firstBatchBytes)
}

// Renew begins a new generation with the complete state, and removes the older ones once it is durable. If the new file can't be
// written, the current one, if there is one, stays in use. If it can't be synced, saves fail until a renewal succeeds.
func (j *Journal) Renew(hard consensus.HardState, snap consensus.Snapshot, entries []consensus.Entry) error {
	var b []byte
	b = appendRecord(b, kindID, []byte(j.diskID))
	b = appendRecord(b, kindHard, mustMarshal(hard))
	b = appendRecord(b, kindSnapshot, encodeSnapshot(snap))
	for _, e := range entries {
		b = appendRecord(b, kindEntry, encodeEntry(e))
	}
	b = appendRecord(b, kindCommitted, binary.AppendUvarint(nil, j.committed))
	b = appendRecord(b, kindSeal, nil)

	j.generation++ // each attempt writes a new file
	file, framing, err := j.createFile(b)
	if err != nil {
		return err
	}
	j.Close()
	if err := file.Sync(); err != nil {
		file.Close()
		return errors.Join(Error.Wrap(err), ErrBroken)
	}
	if err := j.files.Sync(); err != nil {
		file.Close()
		return errors.Join(err, ErrBroken)
	}
	j.current, j.framing, j.batchNumber = file, framing, 1
	j.firstBatchBytes, j.appendedBytes, j.savedCommitted = int64(len(b)), 0, j.committed
	j.removeOlder()
	return nil
}

// createFile creates the file of the current generation and writes its first batch. A file that was not written completely is
// never used.
func (j *Journal) createFile(batch []byte) (File, framing, error) {
	var f framing
	rand.Read(f.salt[:])
	file, err := j.files.Create(fileName(j.generation))
	if err != nil {
		return nil, f, err
	}
	if _, err := file.Write(append(f.header(), f.frame(1, batch)...)); err != nil {
		file.Close()
		j.files.Remove(fileName(j.generation)) // a leftover is ignored at the next start and removed by the next renewal
		return nil, f, Error.Wrap(err)
	}
	return file, f, nil
}

// removeOlder removes the older generations. One that can't be removed, or that reappears, is ignored at the next start.
func (j *Journal) removeOlder() {
	generations, err := j.listGenerations()
	if err != nil {
		return
	}
	for _, old := range generations {
		if old < j.generation {
			j.files.Remove(fileName(old))
		}
	}
}

// Close closes the journal's file.
func (j *Journal) Close() {
	if j.current != nil {
		j.current.Close()
		j.current = nil
	}
}
