package raftlog

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cedarmast/internal/cdn/consensus"

	"gotest.tools/v3/assert"
)

// entry returns the entry with an index.
func entry(i uint64) consensus.Entry {
	return consensus.Entry{Index: i, Term: 1, Data: fmt.Appendf(nil, "command %d", i)}
}

// newJournal returns a new journal and its directory.
func newJournal(t *testing.T) (string, *Journal) {
	t.Helper()
	dir := t.TempDir()
	j, h := open(t, dir)
	assert.Equal(t, h.ID, "")
	assert.NilError(t, j.Begin(DiskState{ID: "me", Snapshot: consensus.Snapshot{
		Membership: consensus.Membership{Voters: []consensus.Member{{ID: "me", Addr: "a"}}}}}))
	return dir, j
}

// open opens the journal in a directory and fails if it is corrupt.
func open(t *testing.T, dir string) (*Journal, DiskState) {
	t.Helper()
	files, err := OpenDirectory(dir)
	assert.NilError(t, err)
	j, h, lost, err := Open(files)
	assert.NilError(t, err)
	assert.Equal(t, lost, "")
	return j, h
}

// reopen opens a journal and renews it for writing, as a process does when it starts.
func reopen(t *testing.T, dir string) (*Journal, DiskState) {
	t.Helper()
	j, h := open(t, dir)
	j.Note(h.Committed)
	assert.NilError(t, j.Begin(h))
	return j, h
}

func TestSaveAndReopen(t *testing.T) {
	dir, j := newJournal(t)
	assert.NilError(t, j.Save(&consensus.HardState{Term: 3, Vote: "x"}, nil, []consensus.Entry{entry(1), entry(2), entry(3)}))
	other := entry(2)
	other.Term, other.Membership = 4, &consensus.Membership{Voters: []consensus.Member{{ID: "b", Addr: "c"}}}
	assert.NilError(t, j.Save(nil, nil, []consensus.Entry{other})) // replaces the second and the third entry
	j.Close()
	j, h := reopen(t, dir)
	assert.Equal(t, h.ID, "me")
	assert.DeepEqual(t, h.Hard, consensus.HardState{Term: 3, Vote: "x"})
	assert.DeepEqual(t, h.Entries, []consensus.Entry{entry(1), other})
	assert.NilError(t, j.Renew(h.Hard, consensus.Snapshot{Index: 1, Term: 1, Data: []byte("all")}, []consensus.Entry{other}))
	assert.NilError(t, j.Save(nil, nil, []consensus.Entry{entry(3)}))
	j.Close()
	_, h = reopen(t, dir)
	assert.Equal(t, string(h.Snapshot.Data), "all")
	assert.DeepEqual(t, h.Entries, []consensus.Entry{other, entry(3)})
	left, _ := os.ReadDir(dir)
	assert.Equal(t, len(left), 1, "the old generation is not removed")
}

// The commit index passed to Note is saved with the next batch, is not reported before it is on disk, and never decreases.
func TestCommitIndexIsSaved(t *testing.T) {
	dir, j := newJournal(t)
	steps := []struct {
		note  uint64
		saves int
		want  uint64
	}{{2, 0, 0}, {2, 1, 2}, {1, 1, 2}, {5, 1, 5}, {6, 0, 5}}
	at := uint64(1)
	for i, s := range steps {
		j.Note(s.note)
		for range s.saves {
			assert.NilError(t, j.Save(nil, nil, []consensus.Entry{entry(at)}))
			at++
		}
		j.Close()
		var h DiskState
		j, h = reopen(t, dir)
		assert.Equal(t, h.Committed, s.want, "step %d", i)
		assert.Equal(t, uint64(len(h.Entries)), at-1)
	}
}

// newestFile returns the path of the newest generation's file.
func newestFile(t *testing.T, dir string) string {
	t.Helper()
	all, _ := filepath.Glob(filepath.Join(dir, filePrefix+"*"))
	assert.Assert(t, len(all) > 0)
	return all[len(all)-1]
}

// A power failure during a write leaves an incomplete or corrupt unsynced batch at the end of the file. Everything synced before
// must still be read, and the journal must accept further saves.
func TestIncompleteWrite(t *testing.T) {
	for cut := range 40 {
		dir, j := newJournal(t)
		assert.NilError(t, j.Save(nil, nil, []consensus.Entry{entry(1)}))
		synced, err := os.ReadFile(newestFile(t, dir))
		assert.NilError(t, err)
		assert.NilError(t, j.Save(nil, nil, []consensus.Entry{entry(2), entry(3)}))
		j.Close()
		file := newestFile(t, dir)
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		at := min(len(synced)+cut, len(text)-1)
		if cut%2 == 0 {
			text = text[:at]
		} else {
			text[at] ^= 0x55
		}
		assert.NilError(t, os.WriteFile(file, text, 0o644))
		j, h := reopen(t, dir)
		assert.Assert(t, len(h.Entries) >= 1, "cut %d: %v", cut, h)
		assert.DeepEqual(t, h.Entries[0], entry(1))
		next := entry(uint64(len(h.Entries)) + 1)
		assert.NilError(t, j.Save(nil, nil, []consensus.Entry{next}))
		j.Close()
		_, h = reopen(t, dir)
		assert.DeepEqual(t, h.Entries[len(h.Entries)-1], next)
	}
}

// A power failure while a new generation is written leaves an incomplete file, which must be ignored in favour of the previous
// generation.
func TestIncompleteGeneration(t *testing.T) {
	dir, j := newJournal(t)
	assert.NilError(t, j.Save(nil, nil, []consensus.Entry{entry(1)}))
	old, err := os.ReadFile(newestFile(t, dir))
	assert.NilError(t, err)
	assert.NilError(t, j.Renew(consensus.HardState{}, consensus.Snapshot{Index: 1, Term: 1, Data: []byte("all")}, nil))
	j.Close()
	fresh := newestFile(t, dir)
	text, err := os.ReadFile(fresh)
	assert.NilError(t, err)
	for cut := range len(text) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, fileName(1)), old, 0o644))
		assert.NilError(t, os.WriteFile(fresh, text[:cut], 0o644))
		_, h := open(t, dir)
		assert.DeepEqual(t, h.Entries, []consensus.Entry{entry(1)})
	}
}

// A batch that the disk has corrupted after it was synced must not be treated as an incomplete write: truncating the journal there
// would drop acknowledged entries. The disk counts as lost, and the file is kept for inspection.
func TestCorruptBatch(t *testing.T) {
	dir, j := newJournal(t)
	for i := range uint64(4) {
		assert.NilError(t, j.Save(nil, nil, []consensus.Entry{entry(i + 1)}))
	}
	j.Close()
	file := newestFile(t, dir)
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	position := strings.Index(string(text), "command 3")
	text[position] ^= 0x55
	assert.NilError(t, os.WriteFile(file, text, 0o644))
	files, err := OpenDirectory(dir)
	assert.NilError(t, err)
	_, h, lost, err := Open(files)
	assert.NilError(t, err)
	assert.Equal(t, h.ID, "")
	assert.Equal(t, lost, filepath.Base(file))
	kept, err := os.ReadFile(filepath.Join(dir, corruptPrefix+lost))
	assert.NilError(t, err)
	assert.DeepEqual(t, kept, text)
	_, h = open(t, dir)
	assert.Equal(t, h.ID, "", "the corrupt file was read again")
}

// A directory with a journal of the old format is rejected, not treated as empty.
func TestOldFormatIsRejected(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.Mkdir(filepath.Join(dir, oldFormatPrefix+"00000003"), 0o755))
	files, err := OpenDirectory(dir)
	assert.NilError(t, err)
	_, _, _, err = Open(files)
	assert.ErrorContains(t, err, "not read any more")
}
