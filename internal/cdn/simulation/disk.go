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
	syncTime    = 2 * time.Millisecond
	blockBytes  = 256 // what is kept or lost of a write that was not synced
	keepChance  = 0.5 // that a write, a block of one, or an entry of the folder outlives a loss of power unsynced
	tearChance  = 0.4 // that a write is torn and not kept or lost whole
	slowFactor  = 30
	allLostLots = 4 // one in so many losses of power takes all that was not synced
)

var (
	errDiskFull = errors.New("no space left on device")
	errDiskSync = errors.New("input/output error")
	errNoPower  = errors.New("no power")
)

// Disk is a folder on a disk that forgets what it may. It is a raftlog.Files.
type Disk struct {
	rng    *rand.Rand
	seen   map[string]*inode // as processes see the folder
	synced map[string]*inode // as the disk holds it
	folder []folderChange    // not synced

	Full             bool
	Slow             bool
	FailSyncs        int           // so many syncs fail; what they were to keep is never written, and no later one says so
	DiesAfter        int           // power is lost at so many operations from now; 0: it is not
	IgnoreFolderSync bool          // a weakness, for tests: a new file's entry is not synced
	Spent            time.Duration // on syncs since it was last looked at
	Syncs, Bytes     int
	dead             bool
}

// inode is a file's contents.
type inode struct {
	view    []byte // as processes see it
	durable []byte
	pending []write
}

type write struct {
	at   int
	data []byte
}

// folderChange is an entry of the folder that was made or removed.
type folderChange struct {
	name string
	file *inode // nil: removed
}

// NewDisk returns an empty disk.
func NewDisk(seed uint64) *Disk {
	return &Disk{rng: rand.New(rand.NewPCG(seed, 0xd15c)), seen: map[string]*inode{}, synced: map[string]*inode{}}
}

// operate counts an operation. Once power is lost none succeeds any more.
func (d *Disk) operate() error {
	if d.DiesAfter > 0 {
		if d.DiesAfter--; d.DiesAfter == 0 {
			d.dead = true
		}
	}
	if d.dead {
		return errNoPower
	}
	return nil
}

// Died tells whether power was lost in the midst of operations.
func (d *Disk) Died() bool { return d.dead }

// PowerLost leaves what the disk happens to hold: what was synced, and of the rest each write, or each block of one, and
// each entry of the folder by itself.
func (d *Disk) PowerLost() {
	allLost := d.rng.IntN(allLostLots) == 0
	for _, c := range d.folder {
		switch {
		case allLost || d.rng.Float64() >= keepChance:
		case c.file == nil:
			delete(d.synced, c.name)
		default:
			d.synced[c.name] = c.file
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.synced)) {
		d.synced[name].lose(d.rng, allLost)
	}
	d.seen, d.folder = maps.Clone(d.synced), nil
	d.dead, d.DiesAfter = false, 0
}

func (f *inode) lose(rng *rand.Rand, all bool) {
	for _, w := range f.pending {
		switch {
		case all:
		case rng.Float64() < tearChance:
			f.tear(w, rng)
		case rng.Float64() < keepChance:
			f.durable = overwrite(f.durable, w.at, w.data)
		}
	}
	f.pending, f.view = nil, slices.Clone(f.durable)
}

// tear keeps some blocks of a write.
func (f *inode) tear(w write, rng *rand.Rand) {
	for at := 0; at < len(w.data); at += blockBytes {
		if rng.Float64() < keepChance {
			f.durable = overwrite(f.durable, w.at+at, w.data[at:min(at+blockBytes, len(w.data))])
		}
	}
}

func overwrite(b []byte, at int, data []byte) []byte {
	if grow := at + len(data) - len(b); grow > 0 {
		b = append(b, make([]byte, grow)...)
	}
	copy(b[at:], data)
	return b
}

// Wipe takes all away that the disk holds.
func (d *Disk) Wipe() {
	d.seen, d.synced, d.folder = map[string]*inode{}, map[string]*inode{}, nil
	d.dead, d.DiesAfter = false, 0
}

// TakeSpent returns the time that operations took since it was last asked.
func (d *Disk) TakeSpent() time.Duration {
	spent := d.Spent
	d.Spent = 0
	return spent
}

func (d *Disk) spend() {
	took := syncTime
	if d.Slow {
		took *= slowFactor
	}
	d.Spent += took
	d.Syncs++
}

// List names the files.
func (d *Disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.seen)), d.operate() }

// Read reads a file.
func (d *Disk) Read(name string) ([]byte, error) {
	f := d.seen[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.view), d.operate()
}

// Create makes an empty file.
func (d *Disk) Create(name string) (raftlog.File, error) {
	if err := d.operate(); err != nil {
		return nil, err
	}
	if d.Full {
		return nil, errDiskFull
	}
	f := new(inode)
	d.seen[name] = f
	d.folder = append(d.folder, folderChange{name, f})
	return &openFile{d, f}, nil
}

// Rename renames a file: two changes of the folder, each of which may be kept without the other.
func (d *Disk) Rename(from, to string) error {
	if err := d.operate(); err != nil {
		return err
	}
	f := d.seen[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.seen, from)
	d.seen[to] = f
	d.folder = append(d.folder, folderChange{to, f}, folderChange{from, nil})
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	if err := d.operate(); err != nil {
		return err
	}
	delete(d.seen, name)
	d.folder = append(d.folder, folderChange{name, nil})
	return nil
}

// Sync makes the folder's entries lasting.
func (d *Disk) Sync() error {
	if err := d.operate(); err != nil {
		return err
	}
	d.spend()
	if d.FailSyncs > 0 {
		d.FailSyncs--
		return errDiskSync
	}
	if d.IgnoreFolderSync {
		return nil
	}
	d.synced, d.folder = maps.Clone(d.seen), nil
	return nil
}

// openFile is a file that a process has open.
type openFile struct {
	disk *Disk
	file *inode
}

func (o *openFile) Write(data []byte) (int, error) {
	if err := o.disk.operate(); err != nil {
		return 0, err
	}
	if o.disk.Full {
		return 0, errDiskFull
	}
	o.file.pending = append(o.file.pending, write{len(o.file.view), slices.Clone(data)})
	o.file.view = append(o.file.view, data...)
	o.disk.Bytes += len(data)
	return len(data), nil
}

func (o *openFile) Sync() error {
	if err := o.disk.operate(); err != nil {
		return err
	}
	o.disk.spend()
	if o.disk.FailSyncs > 0 {
		o.disk.FailSyncs--
		o.file.pending = nil
		return errDiskSync
	}
	for _, w := range o.file.pending {
		o.file.durable = overwrite(o.file.durable, w.at, w.data)
	}
	o.file.pending = nil
	return nil
}

func (o *openFile) Close() error { return nil }
