package simulation

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"syscall"

	"lemonarch/internal/platform/recordlog"
)

// ErrFull is the error of a write that does not fit on the disk.
var ErrFull = fmt.Errorf("fake disk: %w", syscall.ENOSPC)

// ErrDown is the error of every operation on a machine without power. Tests return it from
// Disk.Intercept.
var ErrDown = errors.New("fake disk: machine is down")

// Operation is a kind of operation on the disk.
type Operation int

// The operations that are passed to Disk.Intercept.
const (
	OperationOpen Operation = iota
	OperationWrite
	OperationTruncate
	OperationSync
	OperationRename
	OperationRemove
	OperationSyncDirectory
)

// Disk is a directory in memory that loses data on a power failure as a real disk does.
// After a power failure a file contains everything up to its last sync; each later write
// is present, missing or torn, independently of the others. Each directory entry that was
// created, renamed or removed since the directory's last sync is kept or lost,
// independently of the others.
type Disk struct {
	lock   sync.Mutex
	random *rand.Rand
	// names maps each file name to its current content. A nil content means that there is no file.
	names map[string]*content
	// unsynced lists, for each name that changed since the last sync of the directory, the
	// contents that it has referred to, oldest first. The first one is the synced one.
	unsynced map[string][]*content
	// FreeBytes is the free space in bytes; a negative value means unlimited.
	FreeBytes int
	// Syncs is the number of file syncs.
	Syncs int
	// Intercept, if set, is called before each operation. If it returns an error, the
	// operation fails with it; while it blocks, the operation does not return.
	Intercept func(operation Operation, name string) error
}

// NewDisk returns an empty disk without a space limit.
func NewDisk(seed int64) *Disk {
	disk := &Disk{random: rand.New(rand.NewSource(seed)), FreeBytes: -1}
	disk.Wipe()
	return disk
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.names, d.unsynced = map[string]*content{}, map[string][]*content{}
}

// PowerLoss simulates a power failure: it draws at random which unsynced changes survive.
// With a probability of one in four none of them does.
func (d *Disk) PowerLoss() {
	d.lock.Lock()
	defer d.lock.Unlock()
	allLost := d.random.Intn(4) == 0
	for _, name := range SortedKeys(d.unsynced) {
		versions := d.unsynced[name]
		kept := 0
		if !allLost {
			kept = d.random.Intn(len(versions))
		}
		d.set(name, versions[kept])
	}
	d.unsynced = map[string][]*content{}
	for _, name := range SortedKeys(d.names) {
		d.names[name].powerLoss(d.random, allLost)
	}
}

// CorruptByte inverts one byte of a file, as a failing disk may do.
func (d *Disk) CorruptByte(name string, offset int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	file := d.names[name]
	file.text[offset] ^= 0xff
	file.sync()
}

// Names returns the names of all files, sorted.
func (d *Disk) Names() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return SortedKeys(d.names)
}

// Open opens a file and creates it if it does not exist.
func (d *Disk) Open(name string) (recordlog.File, error) {
	if err := d.intercept(OperationOpen, name); err != nil {
		return nil, err
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.names[name] == nil {
		d.change(name, &content{})
	}
	return &handle{disk: d, name: name, file: d.names[name]}, nil
}

// Rename renames a file. The change is durable after the next SyncDirectory.
func (d *Disk) Rename(from, to string) error {
	if err := d.intercept(OperationRename, from); err != nil {
		return err
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	file := d.names[from]
	if file == nil {
		return syscall.ENOENT
	}
	d.change(to, file)
	d.change(from, nil)
	return nil
}

// Remove removes a file. The change is durable after the next SyncDirectory.
func (d *Disk) Remove(name string) error {
	if err := d.intercept(OperationRemove, name); err != nil {
		return err
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.names[name] == nil {
		return syscall.ENOENT
	}
	d.change(name, nil)
	return nil
}

// SyncDirectory makes all creations, renames and removals of files durable.
func (d *Disk) SyncDirectory() error {
	if err := d.intercept(OperationSyncDirectory, ""); err != nil {
		return err
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.unsynced = map[string][]*content{}
	return nil
}

// change makes a name refer to another content, or to none if file is nil, and records the
// unsynced change. The caller holds the lock.
func (d *Disk) change(name string, file *content) {
	if len(d.unsynced[name]) == 0 {
		d.unsynced[name] = []*content{d.names[name]}
	}
	d.unsynced[name] = append(d.unsynced[name], file)
	d.set(name, file)
}

func (d *Disk) set(name string, file *content) {
	if file == nil {
		delete(d.names, name)
		return
	}
	d.names[name] = file
}

func (d *Disk) intercept(operation Operation, name string) error {
	if d.Intercept == nil {
		return nil
	}
	return d.Intercept(operation, name)
}
