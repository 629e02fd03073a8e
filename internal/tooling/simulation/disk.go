package simulation

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"syscall"

	"lemonarch/internal/platform/recordlog"
)

// ErrFull is what a full disk says.
var ErrFull = fmt.Errorf("fake disk: %w", syscall.ENOSPC)

// ErrDown is what every operation says once the machine is without power.
var ErrDown = errors.New("fake disk: machine is down")

// Operation is a kind of call to the disk.
type Operation int

// The operations that Disk.Intercept hears of.
const (
	OperationOpen Operation = iota
	OperationWrite
	OperationTruncate
	OperationSync
	OperationRename
	OperationRemove
	OperationSyncFolder
)

// Disk is a folder in memory with the habits of a real one. After a loss of power a
// file holds what its last sync covered, and each later write by itself may be
// present, missing or torn; each entry of the folder that was made, renamed or
// removed since the folder's last sync is kept or lost by itself.
type Disk struct {
	lock   sync.Mutex
	random *rand.Rand
	// names is the folder as it is seen now; a nil content is no file.
	names map[string]*content
	// unsynced holds, for each name that changed since the last sync of the folder,
	// what it stood for one after the other; the first of them lasts.
	unsynced map[string][]*content
	// Room is how many more bytes fit; below zero means no bound.
	Room int
	// Syncs counts the syncs of files.
	Syncs int
	// Intercept, where set, hears of each operation before it is done. Its error
	// refuses the operation, and while it blocks, the disk answers nothing.
	Intercept func(operation Operation, name string) error
}

// NewDisk makes an empty disk.
func NewDisk(seed int64) *Disk {
	disk := &Disk{random: rand.New(rand.NewSource(seed)), Room: -1}
	disk.Wipe()
	return disk
}

// Wipe empties it.
func (disk *Disk) Wipe() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.names, disk.unsynced = map[string]*content{}, map[string][]*content{}
}

// PowerLoss decides what is left of all that was not synced. In one of four cases
// nothing of it is.
func (disk *Disk) PowerLoss() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	allLost := disk.random.Intn(4) == 0
	for _, name := range Keys(disk.unsynced) {
		choices := disk.unsynced[name]
		kept := 0
		if !allLost {
			kept = disk.random.Intn(len(choices))
		}
		disk.set(name, choices[kept])
	}
	disk.unsynced = map[string][]*content{}
	for _, name := range Keys(disk.names) {
		disk.names[name].powerLoss(disk.random, allLost)
	}
}

// Spoil flips a byte of a file, as a failing disk would.
func (disk *Disk) Spoil(name string, offset int) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	file := disk.names[name]
	file.text[offset] ^= 0xff
	file.settle()
}

// Names gives the names of the files there are.
func (disk *Disk) Names() []string {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return Keys(disk.names)
}

// Open opens or makes a file.
func (disk *Disk) Open(name string) (recordlog.File, error) {
	if err := disk.intercept(OperationOpen, name); err != nil {
		return nil, err
	}
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.names[name] == nil {
		disk.change(name, &content{})
	}
	return &handle{disk: disk, name: name, file: disk.names[name]}, nil
}

// Rename gives a file another name, which lasts with the folder.
func (disk *Disk) Rename(from, to string) error {
	if err := disk.intercept(OperationRename, from); err != nil {
		return err
	}
	disk.lock.Lock()
	defer disk.lock.Unlock()
	file := disk.names[from]
	if file == nil {
		return syscall.ENOENT
	}
	disk.change(to, file)
	disk.change(from, nil)
	return nil
}

// Remove takes a file away.
func (disk *Disk) Remove(name string) error {
	if err := disk.intercept(OperationRemove, name); err != nil {
		return err
	}
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.names[name] == nil {
		return syscall.ENOENT
	}
	disk.change(name, nil)
	return nil
}

// SyncFolder makes names last.
func (disk *Disk) SyncFolder() error {
	if err := disk.intercept(OperationSyncFolder, ""); err != nil {
		return err
	}
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.unsynced = map[string][]*content{}
	return nil
}

// change notes what a name stands for from now on. The lock is held.
func (disk *Disk) change(name string, file *content) {
	if len(disk.unsynced[name]) == 0 {
		disk.unsynced[name] = []*content{disk.names[name]}
	}
	disk.unsynced[name] = append(disk.unsynced[name], file)
	disk.set(name, file)
}

func (disk *Disk) set(name string, file *content) {
	if file == nil {
		delete(disk.names, name)
		return
	}
	disk.names[name] = file
}

func (disk *Disk) intercept(operation Operation, name string) error {
	if disk.Intercept == nil {
		return nil
	}
	return disk.Intercept(operation, name)
}
