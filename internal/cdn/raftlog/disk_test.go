package raftlog_test

import (
	"errors"
	"fmt"
	"testing"

	"cedarmast/internal/cdn/consensus"
	"cedarmast/internal/cdn/raftlog"
	"cedarmast/internal/cdn/simulation"

	"gotest.tools/v3/assert"
)

// command returns the entry with an index.
func command(i uint64) consensus.Entry {
	return consensus.Entry{Index: i, Term: 1, Data: fmt.Appendf(nil, "command %d", i)}
}

// newJournalOn returns a new journal on an empty disk.
func newJournalOn(t *testing.T, disk *simulation.Disk) *raftlog.Journal {
	t.Helper()
	j, held, lost, err := raftlog.Open(disk)
	assert.NilError(t, err)
	assert.Equal(t, held.ID+lost, "")
	assert.NilError(t, j.Begin(raftlog.DiskState{ID: "me"}))
	return j
}

// stateOn returns the state on a disk.
func stateOn(t *testing.T, disk *simulation.Disk) raftlog.DiskState {
	t.Helper()
	_, held, lost, err := raftlog.Open(disk)
	assert.NilError(t, err)
	assert.Equal(t, lost, "")
	return held
}

const powerFailureSeeds = 60 // seeds of each case, since what a disk keeps after a power failure is random

// After a failed write or sync nothing in the batch counts as saved, and the journal refuses saves until it is renewed with the
// complete state. What is saved after that survives a power failure. A journal that continued in the same file would have a gap
// where the failed sync dropped data, and everything after the gap would be lost.
func TestFailedWrite(t *testing.T) {
	failures := map[string]func(*simulation.Disk){
		"a sync fails":          func(d *simulation.Disk) { d.FailSyncs = 1 },
		"the disk is full":      func(d *simulation.Disk) { d.Full = true },
		"the renewal fails too": func(d *simulation.Disk) { d.FailSyncs = 2 },
	}
	for name, inject := range failures {
		for seed := range uint64(powerFailureSeeds) {
			disk := simulation.NewDisk(seed)
			j := newJournalOn(t, disk)
			all := []consensus.Entry{command(1), command(2)}
			assert.NilError(t, j.Save(nil, nil, all[:1]))
			inject(disk)
			assert.Assert(t, errors.Is(j.Save(nil, nil, all[1:]), raftlog.ErrBroken), name)
			assert.Assert(t, errors.Is(j.Save(nil, nil, all[1:]), raftlog.ErrBroken), "%s: continues in the same file", name)
			disk.Full = false
			for n := 0; j.Renew(consensus.HardState{}, consensus.Snapshot{}, all) != nil; n++ {
				assert.Assert(t, n < 3, "%s: never renewed", name)
			}
			all = append(all, command(3))
			assert.NilError(t, j.Save(nil, nil, all[2:]))
			disk.LosePower()
			assert.DeepEqual(t, stateOn(t, disk).Entries, all)
		}
	}
}

// A new generation counts only once its directory is synced, and only then is the older one removed. Whatever a power failure
// leaves of the directory entries, what was saved before and after the renewal is kept.
func TestPowerFailureAroundRenewal(t *testing.T) {
	for seed := range uint64(powerFailureSeeds) {
		disk := simulation.NewDisk(seed)
		j := newJournalOn(t, disk)
		disk.LosePower()
		assert.Equal(t, stateOn(t, disk).ID, "me")
		for round := range uint64(3) {
			j, held, _, err := raftlog.Open(disk)
			assert.NilError(t, err)
			assert.NilError(t, j.Begin(held))
			assert.NilError(t, j.Save(nil, nil, []consensus.Entry{command(round + 1)}))
			disk.LosePower()
			assert.Equal(t, uint64(len(stateOn(t, disk).Entries)), round+1)
		}
		j.Close()
	}
}

// A corrupt generation stays the newest one until the older ones are gone, wherever the process ends while it is set aside. It was renamed
// first: a start after an end in between took the older generation for the state of the disk, with votes and entries missing.
func TestEndWhileCorruptFileIsSetAside(t *testing.T) {
	for operations := range 16 {
		for seed := range uint64(8) {
			disk := simulation.NewDisk(seed)
			j := newJournalOn(t, disk)
			older, err := disk.Read("log-00000001")
			assert.NilError(t, err)
			assert.NilError(t, j.Renew(consensus.HardState{Term: 7}, consensus.Snapshot{}, nil))
			assert.NilError(t, j.Save(nil, nil, []consensus.Entry{command(1)}))
			assert.NilError(t, j.Save(nil, nil, []consensus.Entry{command(2)}))
			newest, err := disk.Read("log-00000002")
			assert.NilError(t, err)
			newest[40] ^= 0x55
			replaceOn(t, disk, "log-00000001", older) // its removal was not durable
			replaceOn(t, disk, "log-00000002", newest)
			disk.PowerLossAfter = operations
			raftlog.Open(disk)
			disk.LosePower()
			_, held, _, err := raftlog.Open(disk)
			assert.NilError(t, err)
			assert.Equal(t, held.ID, "", "the older generation is read after %d operations, seed %d", operations, seed)
		}
	}
}

// replaceOn replaces a file durably.
func replaceOn(t *testing.T, disk *simulation.Disk, name string, data []byte) {
	t.Helper()
	file, err := disk.Create(name)
	assert.NilError(t, err)
	_, err = file.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, file.Sync())
	assert.NilError(t, disk.Sync())
}
