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
	// Free is how many more bytes fit; below zero means no bound.
	Free int
	// Syncs counts the syncs of files.
	Syncs int
	// Intercept, where set, hears of each operation before it is done. Its error
	// refuses the operation, and while it blocks, the disk answers nothing.
	Intercept func(operation Operation, name string) error
}

// NewDisk makes an empty disk.
func NewDisk(seed int64) *Disk {
	disk := &Disk{random: rand.New(rand.NewSource(seed)), Free: -1}
	disk.Wipe()
	return disk
}

// Wipe empties it.
func (d *Disk) Wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.names, d.unsynced = map[string]*content{}, map[string][]*content{}
}

// PowerLoss decides what is left of all that was not synced. In one of four cases
// nothing of it is.
func (d *Disk) PowerLoss() {
	d.lock.Lock()
	defer d.lock.Unlock()
	allLost := d.random.Intn(4) == 0
	for _, name := range Keys(d.unsynced) {
		choices := d.unsynced[name]
		lasting := 0
		if !allLost {
			lasting = d.random.Intn(len(choices))
		}
		d.set(name, choices[lasting])
	}
	d.unsynced = map[string][]*content{}
	for _, name := range Keys(d.names) {
		d.names[name].powerLoss(d.random, allLost)
	}
}

// Spoil flips a byte of a file, as a failing disk would.
func (d *Disk) Spoil(name string, offset int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	file := d.names[name]
	file.text[offset] ^= 0xff
	file.sync()
}

// Names gives the names of the files there are.
func (d *Disk) Names() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return Keys(d.names)
}

// Open opens or makes a file.
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

// Rename gives a file another name, which lasts with the folder.
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

// Remove takes a file away.
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

// SyncDirectory makes names last.
func (d *Disk) SyncDirectory() error {
	if err := d.intercept(OperationSyncFolder, ""); err != nil {
		return err
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.unsynced = map[string][]*content{}
	return nil
}

// change notes what a name stands for from now on. The lock is held.
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
