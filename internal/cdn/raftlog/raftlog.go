// Package raftlog keeps a core machine's part of the replicated log on its disk: a journal of one file, which only grows, in
// batches of one write and one sync each. What follows is kept by it whatever the disk does:
//
//   - Nothing counts as saved before the batch, and for a new file the folder as well, is synced.
//   - A file is written by one process, and never again after a write or a sync of it failed: the next save begins a new
//     one, a generation, with all that is held. So nothing ever stands behind a hole.
//   - An older generation is removed only after the newer one is whole and both it and the folder are synced.
//   - A batch that the disk has spoilt after it was synced is found at the next start: the disk counts as lost.
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

// ErrBroken is the cause of a failed save after which the journal must be renewed: what is on the disk of it is not known.
var ErrBroken = errors.New("the journal's file can't be written any more")

const (
	filePrefix   = "log-"
	spoiltPrefix = "spoilt-"
	olderPrefix  = "journal-" // of a form before the first release
)

// Journal is the open journal. It belongs to one goroutine.
type Journal struct {
	files      Files
	generation int // the newest that was tried
	current    File
	framing    framing
	number     uint64 // of the last batch
	begun      int64  // bytes of the present generation's first batch
	appended   int64  // and of those behind it
	id         string
	committed  uint64 // as last noted
	told       uint64 // and as it stands on the disk
}

// Open reads what the folder holds. The journal that it returns takes nothing before it is renewed, for who knows how the
// process before ended. An empty folder yields Held without an ID; so does one whose disk has spoilt what was synced, and
// then lost says what was set aside.
func Open(files Files) (j *Journal, held Held, lost string, err error) {
	j = &Journal{files: files}
	generations, err := j.list()
	if err != nil {
		return nil, held, "", err
	}
	for i := len(generations) - 1; i >= 0; i-- {
		j.generation = max(j.generation, generations[i])
		held, state, err := j.load(generations[i])
		switch {
		case err != nil:
			return nil, held, "", err
		case state == spoilt:
			return j, Held{}, fileName(generations[i]), j.setAside(generations[:i+1])
		case state == whole:
			j.id = held.ID
			return j, held, "", nil
		}
	}
	return j, Held{}, "", nil
}

func fileName(generation int) string { return fmt.Sprintf("%s%08d", filePrefix, generation) }

// list returns the generations in their order.
func (j *Journal) list() (all []int, err error) {
	names, err := j.files.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if strings.HasPrefix(name, olderPrefix) {
			return nil, Error.New("%s: written by a form before the first release, which is not read any more", name)
		}
		if number, ok := strings.CutPrefix(name, filePrefix); ok {
			if n, err := strconv.Atoi(number); err == nil {
				all = append(all, n)
			}
		}
	}
	slices.Sort(all)
	return all, nil
}

// state is what became of a generation.
type state int

const (
	unfinished state = iota // its beginning never became whole, and the one before it still holds all
	whole
	spoilt
)

func (j *Journal) load(generation int) (held Held, _ state, err error) {
	text, err := j.files.Read(fileName(generation))
	if err != nil {
		return held, unfinished, err
	}
	c := readBatches(text)
	if c.spoilt {
		return held, spoilt, nil
	}
	sealed := false
	for i, batch := range c.batches {
		if err := held.replay(batch, &sealed); err != nil { // its checksum is good: it was written so
			return held, unfinished, Error.New("%s: batch %d: %w", fileName(generation), i+1, err)
		}
	}
	if !sealed {
		return Held{}, unfinished, nil
	}
	return held, whole, nil
}

// setAside keeps a spoilt generation for who wants to look into it, one at most, and removes the older ones: what they hold
// has been overtaken.
func (j *Journal) setAside(generations []int) error {
	names, err := j.files.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasPrefix(name, spoiltPrefix) {
			if err := j.files.Remove(name); err != nil {
				return err
			}
		}
	}
	newest := fileName(generations[len(generations)-1])
	if err := j.files.Rename(newest, spoiltPrefix+newest); err != nil {
		return err
	}
	for _, old := range generations[:len(generations)-1] {
		if err := j.files.Remove(fileName(old)); err != nil {
			return err
		}
	}
	return j.files.Sync()
}

// Begin uses a folder for the first time: the disk gets its ID and what it starts from.
func (j *Journal) Begin(held Held) error {
	j.id = held.ID
	return j.Renew(held.Hard, held.Snapshot, held.Entries)
}

// Save writes a batch with one sync. After an error nothing of it counts as saved, and the journal must be renewed.
func (j *Journal) Save(hard *consensus.HardState, snap *consensus.Snapshot, entries []consensus.Entry) error {
	if j.current == nil {
		return Error.Wrap(ErrBroken)
	}
	var b []byte
	if hard != nil {
		b = appendRecord(b, kindHard, asJSON(hard))
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
	told := max(j.told, j.committed)
	if told > j.told { // it rides along: a start need not wait for a leader to say what it knew
		b = appendRecord(b, kindCommitted, binary.AppendUvarint(nil, told))
	}
	if err := j.write(b); err != nil {
		j.Close()
		return errors.Join(Error.Wrap(err), ErrBroken)
	}
	j.told = told
	j.appended += int64(len(b))
	return nil
}

func (j *Journal) write(batch []byte) error {
	if _, err := j.current.Write(j.framing.frame(j.number+1, batch)); err != nil {
		return err
	}
	j.number++
	return j.current.Sync()
}

// Note says that entries up to an index are committed. It is written with what is saved next, and costs no write of its own.
func (j *Journal) Note(committed uint64) { j.committed = max(j.committed, committed) }

// Size is the length of the present generation in bytes.
func (j *Journal) Size() int64 { return j.begun + j.appended }

// Grown tells whether more than so many bytes, and more than it began with, stand behind the generation's beginning.
func (j *Journal) Grown(most int64) bool { return j.appended > max(most, j.begun) }

// Renew begins a new generation with all that is held, and lets the older ones go once it is lasting. If the new one can't
// be written the present one goes on, if there is one; if it can't be synced nothing is written any more before a renewal succeeds.
func (j *Journal) Renew(hard consensus.HardState, snap consensus.Snapshot, entries []consensus.Entry) error {
	var b []byte
	b = appendRecord(b, kindID, []byte(j.id))
	b = appendRecord(b, kindHard, asJSON(hard))
	b = appendRecord(b, kindSnapshot, encodeSnapshot(snap))
	for _, e := range entries {
		b = appendRecord(b, kindEntry, encodeEntry(e))
	}
	b = appendRecord(b, kindCommitted, binary.AppendUvarint(nil, j.committed))
	b = appendRecord(b, kindSeal, nil)

	j.generation++ // each attempt has a file of its own
	fresh, framing, err := j.beginFile(b)
	if err != nil {
		return err
	}
	j.Close()
	if err := fresh.Sync(); err != nil {
		fresh.Close()
		return errors.Join(Error.Wrap(err), ErrBroken)
	}
	if err := j.files.Sync(); err != nil {
		fresh.Close()
		return errors.Join(err, ErrBroken)
	}
	j.current, j.framing, j.number = fresh, framing, 1
	j.begun, j.appended, j.told = int64(len(b)), 0, j.committed
	j.removeOlder()
	return nil
}

// beginFile writes a generation's first batch. A file that could not be written whole is never taken for one.
func (j *Journal) beginFile(batch []byte) (File, framing, error) {
	var f framing
	rand.Read(f.salt[:])
	file, err := j.files.Create(fileName(j.generation))
	if err != nil {
		return nil, f, err
	}
	if _, err := file.Write(append(f.head(), f.frame(1, batch)...)); err != nil {
		file.Close()
		j.files.Remove(fileName(j.generation)) // a leftover is passed over, and removed with the next renewal
		return nil, f, Error.Wrap(err)
	}
	return file, f, nil
}

// removeOlder removes the older generations. One that can't be removed, or comes back, is passed over at the next start.
func (j *Journal) removeOlder() {
	all, err := j.list()
	if err != nil {
		return
	}
	for _, old := range all {
		if old < j.generation {
			j.files.Remove(fileName(old))
		}
	}
}

// Close lets the journal's file go.
func (j *Journal) Close() {
	if j.current != nil {
		j.current.Close()
		j.current = nil
	}
}
