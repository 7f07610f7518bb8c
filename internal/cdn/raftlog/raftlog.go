// Package raftlog keeps a core machine's part of the log on its disk: a journal of records on tidwall/wal, each with a checksum
// of its own, written in batches of one sync. A torn or missing tail is cut off at the first record that is not whole;
// what was synced is never behind it. The journal only grows, and a snapshot begins a new one.
package raftlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"cedarmast/internal/cdn/consensus"

	"github.com/tidwall/wal"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("journal")

// Held is what a disk holds.
type Held struct {
	ID       string // this disk's, drawn when it was first used; empty: it never was
	Hard     consensus.Hard
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry

	Committed uint64 // entries up to this one are surely kept by a majority; there may be more
}

const (
	segmentBytes = 1 << 20
	prefix       = "journal-"
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

// Journal is the open journal. It belongs to one goroutine.
type Journal struct {
	dir        string
	generation int
	log        *wal.Log
	next       uint64
	written    int64 // bytes in this generation
	id         string
	committed  uint64 // as last noted
	told       uint64 // and as it stands on the disk
}

var table = crc32.MakeTable(crc32.Castagnoli)

// Open reads what the folder holds and readies its journal. An empty folder yields Held without an ID.
func Open(dir string) (*Journal, Held, error) {
	var h Held
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, h, Error.Wrap(err)
	}
	generations, err := list(dir)
	if err != nil {
		return nil, h, err
	}
	for i := len(generations) - 1; i >= 0; i-- {
		j := &Journal{dir: dir, generation: generations[i]}
		held, sealed, err := j.load()
		if err != nil {
			return nil, h, err
		}
		if sealed {
			for _, old := range generations[:i] {
				os.RemoveAll(path(dir, old)) // a leftover is passed over at the next start as well
			}
			j.id = held.ID
			return j, held, nil
		}
		j.Close() // its beginning never became whole, and the generation before it still holds all
		if err := os.RemoveAll(j.path()); err != nil {
			return nil, h, Error.Wrap(err)
		}
	}
	return &Journal{dir: dir}, h, nil
}

func path(dir string, generation int) string {
	return filepath.Join(dir, fmt.Sprintf("%s%08d", prefix, generation))
}

func (j *Journal) path() string { return path(j.dir, j.generation) }

func list(dir string) (all []int, err error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, e := range names {
		if number, ok := strings.CutPrefix(e.Name(), prefix); ok {
			if n, err := strconv.Atoi(number); err == nil {
				all = append(all, n)
			}
		}
	}
	slices.Sort(all)
	return all, nil
}

// load repairs the generation's tail, opens it and replays its records.
func (j *Journal) load() (h Held, sealed bool, err error) {
	if err := repair(j.path()); err != nil {
		return h, false, err
	}
	if err := j.open(); err != nil {
		return h, false, err
	}
	first, err := j.log.FirstIndex()
	if err != nil {
		return h, false, Error.Wrap(err)
	}
	for i := max(first, 1); i < j.next; i++ {
		text, err := j.log.Read(i)
		if err != nil {
			return h, false, Error.Wrap(err)
		}
		j.written += int64(len(text))
		kind, body, ok := unpack(text)
		if !ok { // of an older segment: it was synced, and the disk has lost it
			return h, false, Error.New("%s: record %d is spoilt", j.path(), i)
		}
		if err := h.replay(kind, body, &sealed); err != nil {
			return h, false, Error.New("%s: record %d: %w", j.path(), i, err)
		}
	}
	return h, sealed, nil
}

func (j *Journal) open() error {
	log, err := wal.Open(j.path(), &wal.Options{SegmentSize: segmentBytes, LogFormat: wal.Binary, SegmentCacheSize: 1,
		NoCopy: true, DirPerms: 0o755, FilePerms: 0o644})
	if err != nil {
		return Error.New("%s: %w", j.path(), err)
	}
	last, err := log.LastIndex()
	if err != nil {
		log.Close()
		return Error.Wrap(err)
	}
	j.log, j.next = log, last+1
	return nil
}

func (h *Held) replay(kind byte, body []byte, sealed *bool) error {
	switch kind {
	case kindID:
		h.ID = string(body)
	case kindHard:
		return json.Unmarshal(body, &h.Hard)
	case kindSnapshot:
		h.Snapshot, h.Entries = consensus.Snapshot{}, nil
		return json.Unmarshal(body, &h.Snapshot)
	case kindEntry:
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
		h.Entries = append(h.Entries[:at], e) // an entry replaces what stood from its index on
	case kindCommitted:
		n, size := binary.Uvarint(body)
		if size <= 0 {
			return errors.New("record cut short")
		}
		h.Committed = max(h.Committed, n)
	case kindSeal:
		*sealed = true
	}
	return nil
}

// Begin uses a folder for the first time: the disk gets its ID and what it starts from.
func (j *Journal) Begin(id string, h Held) error {
	j.id = id
	return j.Renew(h.Hard, h.Snapshot, h.Entries)
}

// Save writes a batch with one sync. After an error nothing of it counts as saved, and the journal is opened anew.
func (j *Journal) Save(hard *consensus.Hard, snap *consensus.Snapshot, entries []consensus.Entry) error {
	var b wal.Batch
	add := func(kind byte, body []byte) {
		b.Write(j.next, pack(kind, body))
		j.next++
		j.written += int64(len(body))
	}
	before := j.next
	if hard != nil {
		add(kindHard, asJSON(hard))
	}
	if snap != nil {
		add(kindSnapshot, asJSON(snap))
	}
	for _, e := range entries {
		add(kindEntry, encodeEntry(e))
	}
	told := j.told
	if j.committed > j.told && j.next > before { // it rides along: a start need not wait for a leader to say what it knew
		add(kindCommitted, binary.AppendUvarint(nil, j.committed))
		j.told = j.committed
	}
	err := j.commit(&b, before)
	if err != nil {
		j.told = told
	}
	return err
}

// Note says that entries up to an index are committed. It is written with what is saved next, and costs no write of its own.
func (j *Journal) Note(committed uint64) { j.committed = max(j.committed, committed) }

func (j *Journal) commit(b *wal.Batch, before uint64) error {
	if j.next == before {
		return nil
	}
	if j.log == nil {
		j.next = before
		return Error.New("%s is not open", j.path())
	}
	if err := j.log.WriteBatch(b); err != nil {
		j.next = before
		j.log.Close() // it may hold part of the batch
		j.log = nil
		if again := j.Reopen(); again != nil {
			return errors.Join(Error.Wrap(err), again)
		}
		return Error.Wrap(err)
	}
	return nil
}

// Reopen opens the journal after a failed write: what is whole stays, the rest is cut off.
func (j *Journal) Reopen() error {
	if j.log != nil {
		return nil
	}
	if err := repair(j.path()); err != nil {
		return err
	}
	return j.open()
}

// Size is the length of the present generation's records in bytes.
func (j *Journal) Size() int64 { return j.written }

// Renew begins a new generation with all that is held, and lets the old one go once it is on disk.
func (j *Journal) Renew(hard consensus.Hard, snap consensus.Snapshot, entries []consensus.Entry) error {
	old := *j
	fresh := &Journal{dir: j.dir, generation: j.generation + 1, id: j.id, committed: j.committed}
	if err := os.RemoveAll(fresh.path()); err != nil {
		return Error.Wrap(err)
	}
	if err := os.MkdirAll(fresh.path(), 0o755); err != nil {
		return Error.Wrap(err)
	}
	if err := fresh.open(); err != nil {
		return err
	}
	var b wal.Batch
	before := fresh.next
	add := func(kind byte, body []byte) {
		b.Write(fresh.next, pack(kind, body))
		fresh.next++
		fresh.written += int64(len(body))
	}
	add(kindID, []byte(j.id))
	add(kindHard, asJSON(&hard))
	add(kindSnapshot, asJSON(&snap))
	for _, e := range entries {
		add(kindEntry, encodeEntry(e))
	}
	add(kindSeal, nil)
	if err := fresh.commit(&b, before); err != nil {
		fresh.Close()
		os.RemoveAll(fresh.path())
		return err
	}
	if err := syncDir(j.dir); err != nil {
		fresh.Close()
		return err
	}
	*j = *fresh
	old.Close()
	if old.generation > 0 {
		return Error.Wrap(os.RemoveAll(old.path()))
	}
	return nil
}

// Close lets the journal's files go.
func (j *Journal) Close() {
	if j.log != nil {
		j.log.Close()
		j.log = nil
	}
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return Error.Wrap(err)
	}
	defer d.Close()
	return Error.Wrap(d.Sync())
}

// pack puts a record's checksum and kind before it.
func pack(kind byte, body []byte) []byte {
	text := make([]byte, 5, 5+len(body))
	text[4] = kind
	text = append(text, body...)
	binary.LittleEndian.PutUint32(text, crc32.Checksum(text[4:], table))
	return text
}

func unpack(text []byte) (kind byte, body []byte, ok bool) {
	if len(text) < 5 || crc32.Checksum(text[4:], table) != binary.LittleEndian.Uint32(text) {
		return 0, nil, false
	}
	return text[4], text[5:], true
}

// repair cuts the newest segment off behind its last whole record; an empty segment without a record before it is removed.
func repair(dir string) error {
	names, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	last := ""
	for _, e := range names {
		if len(e.Name()) == 20 && e.Name() > last { // the library's names for segments
			last = e.Name()
		}
	}
	if last == "" {
		return nil
	}
	file := filepath.Join(dir, last)
	text, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	whole := 0
	for whole < len(text) {
		size, n := binary.Uvarint(text[whole:])
		if n <= 0 || size > uint64(len(text)-whole-n) {
			break
		}
		if _, _, ok := unpack(text[whole+n : whole+n+int(size)]); !ok {
			break
		}
		whole += n + int(size)
	}
	if whole == len(text) {
		return nil
	}
	f, err := os.OpenFile(file, os.O_RDWR, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	if err := f.Truncate(int64(whole)); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(f.Sync())
}

func asJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs of numbers, strings and bytes
	}
	return text
}

func encodeEntry(e consensus.Entry) []byte {
	b := binary.AppendUvarint(nil, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	var conf []byte
	if e.Conf != nil {
		conf = asJSON(e.Conf)
	}
	b = binary.AppendUvarint(b, uint64(len(conf)))
	return append(append(b, conf...), e.Data...)
}

func decodeEntry(b []byte) (e consensus.Entry, err error) {
	var nums [3]uint64
	for i := range nums {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return e, errors.New("entry cut short")
		}
		nums[i], b = v, b[n:]
	}
	if nums[2] > uint64(len(b)) {
		return e, errors.New("entry cut short")
	}
	e.Index, e.Term = nums[0], nums[1]
	if nums[2] > 0 {
		if err := json.Unmarshal(b[:nums[2]], &e.Conf); err != nil {
			return e, err
		}
	}
	if rest := b[nums[2]:]; len(rest) > 0 {
		e.Data = slices.Clone(rest)
	}
	return e, nil
}
