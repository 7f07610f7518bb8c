package simulation

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cedarmast/internal/cdn/raftlog"
)

const (
	syncTime        = 2 * time.Millisecond
	blockBytes      = 256 // unit in which a torn write is kept or lost
	keepProbability = 0.5 // that an unsynced write, block or directory entry survives a power loss
	tearProbability = 0.4 // that an unsynced write is torn instead of kept or lost as a whole
	slowFactor      = 30
	loseAllOneIn    = 4 // one in 4 power losses, on average, loses everything unsynced
)

var (
	errDiskFull = errors.New("no space left on device")
	errDiskSync = errors.New("input/output error")
	errNoPower  = errors.New("no power")
)

// Disk is a simulated directory that loses unsynced data at a power loss. It implements raftlog.Directory.
type Disk struct {
	rng             *rand.Rand
	visible         map[string]*inode // files as processes see them
	durable         map[string]*inode // files that survive a power loss
	unsyncedEntries []entryChange     // created or removed entries that were not synced

	Full                bool
	Slow                bool
	FailSyncs           int           // number of next syncs that fail; their data is lost without an error from later syncs
	PowerLossAfter      int           // operations until a power loss; 0 for none
	IgnoreDirectorySync bool          // disables a safeguard, for tests: directory entries are not synced
	SyncTime            time.Duration // time spent on syncs since the last TakeSyncTime
	Syncs, Bytes        int
	powerLost           bool
}

// inode holds a file's contents.
type inode struct {
	visible []byte // contents as processes see them
	durable []byte // contents that survive a power loss
	pending []write
}

// write is data that was written but not synced.
type write struct {
	offset int
	data   []byte
}

// entryChange is the creation or removal of a directory entry.
type entryChange struct {
	name string
	file *inode // nil if the entry was removed
}

// NewDisk returns an empty disk that draws its losses from seed.
func NewDisk(seed uint64) *Disk {
	return &Disk{rng: rand.New(rand.NewPCG(seed, 0xd15c)), visible: map[string]*inode{}, durable: map[string]*inode{}}
}

// beginOperation counts down to a power loss. After it, all operations fail until LosePower or Wipe.
func (d *Disk) beginOperation() error {
	if d.PowerLossAfter > 0 {
		if d.PowerLossAfter--; d.PowerLossAfter == 0 {
			d.powerLost = true
		}
	}
	if d.powerLost {
		return errNoPower
	}
	return nil
}

// PowerFailed reports whether power was lost between operations, because of PowerLossAfter.
func (d *Disk) PowerFailed() bool { return d.powerLost }

// RestorePower lets operations succeed again. Nothing is lost: the process was killed, not the machine.
func (d *Disk) RestorePower() { d.powerLost, d.PowerLossAfter = false, 0 }

// LosePower simulates a power loss. It keeps what was synced and a random part of the rest: each write, each block of a torn write and
// each directory entry is kept or lost independently.
func (d *Disk) LosePower() {
	allLost := d.rng.IntN(loseAllOneIn) == 0
	for _, c := range d.unsyncedEntries {
		switch {
		case allLost || d.rng.Float64() >= keepProbability:
		case c.file == nil:
			delete(d.durable, c.name)
		default:
			d.durable[c.name] = c.file
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		d.durable[name].losePower(d.rng, allLost)
	}
	d.visible, d.unsyncedEntries = maps.Clone(d.durable), nil
	d.RestorePower()
}

// losePower keeps a random part of the unsynced writes, or none.
func (f *inode) losePower(rng *rand.Rand, all bool) {
	for _, w := range f.pending {
		switch {
		case all:
		case rng.Float64() < tearProbability:
			f.writeTorn(w, rng)
		case rng.Float64() < keepProbability:
			f.durable = overwrite(f.durable, w.offset, w.data)
		}
	}
	f.pending, f.visible = nil, slices.Clone(f.durable)
}

// writeTorn keeps a random part of a write's blocks.
func (f *inode) writeTorn(w write, rng *rand.Rand) {
	for at := 0; at < len(w.data); at += blockBytes {
		if rng.Float64() < keepProbability {
			f.durable = overwrite(f.durable, w.offset+at, w.data[at:min(at+blockBytes, len(w.data))])
		}
	}
}

// overwrite writes data into b at an offset, extending b where needed.
func overwrite(b []byte, at int, data []byte) []byte {
	if grow := at + len(data) - len(b); grow > 0 {
		b = append(b, make([]byte, grow)...)
	}
	copy(b[at:], data)
	return b
}

// Wipe deletes everything on the disk.
func (d *Disk) Wipe() {
	d.visible, d.durable, d.unsyncedEntries = map[string]*inode{}, map[string]*inode{}, nil
	d.powerLost, d.PowerLossAfter = false, 0
}

// TakeSyncTime returns the time that syncs took since the last call.
func (d *Disk) TakeSyncTime() time.Duration {
	spent := d.SyncTime
	d.SyncTime = 0
	return spent
}

// addSyncTime accounts for the duration of one sync.
func (d *Disk) addSyncTime() {
	elapsed := syncTime
	if d.Slow {
		elapsed *= slowFactor
	}
	d.SyncTime += elapsed
	d.Syncs++
}

// List returns the names of the files in order.
func (d *Disk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.visible)), d.beginOperation()
}

// Read returns the contents of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	f := d.visible[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.visible), d.beginOperation()
}

// Create creates an empty file.
func (d *Disk) Create(name string) (raftlog.File, error) {
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	if d.Full {
		return nil, errDiskFull
	}
	f := new(inode)
	d.visible[name] = f
	d.unsyncedEntries = append(d.unsyncedEntries, entryChange{name, f})
	return &openFile{d, f}, nil
}

// Rename renames a file. It makes two changes to the directory, either of which may survive a power loss without the other.
func (d *Disk) Rename(from, to string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	f := d.visible[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.visible, from)
	d.visible[to] = f
	d.unsyncedEntries = append(d.unsyncedEntries, entryChange{to, f}, entryChange{from, nil})
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	delete(d.visible, name)
	d.unsyncedEntries = append(d.unsyncedEntries, entryChange{name, nil})
	return nil
}

// Sync makes the directory's entries durable.
func (d *Disk) Sync() error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.addSyncTime()
	if d.FailSyncs > 0 {
		d.FailSyncs--
		return errDiskSync
	}
	if d.IgnoreDirectorySync {
		return nil
	}
	d.durable, d.unsyncedEntries = maps.Clone(d.visible), nil
	return nil
}

// openFile is an open file. It implements raftlog.File.
type openFile struct {
	disk *Disk
	file *inode
}

func (o *openFile) Write(data []byte) (int, error) {
	if err := o.disk.beginOperation(); err != nil {
		return 0, err
	}
	if o.disk.Full {
		return 0, errDiskFull
	}
	o.file.pending = append(o.file.pending, write{len(o.file.visible), slices.Clone(data)})
	o.file.visible = append(o.file.visible, data...)
	o.disk.Bytes += len(data)
	return len(data), nil
}

// Sync makes the file's contents durable. After a failed sync the unsynced writes are lost.
func (o *openFile) Sync() error {
	if err := o.disk.beginOperation(); err != nil {
		return err
	}
	o.disk.addSyncTime()
	if o.disk.FailSyncs > 0 {
		o.disk.FailSyncs--
		o.file.pending = nil
		return errDiskSync
	}
	for _, w := range o.file.pending {
		o.file.durable = overwrite(o.file.durable, w.offset, w.data)
	}
	o.file.pending = nil
	return nil
}

func (o *openFile) Close() error { return nil }
