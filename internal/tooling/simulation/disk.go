// Package simulation is the seeded world for tests: a disk that loses, tears and
// reorders what was not synced, and a queue of events on a fake clock.
package simulation

import (
	"errors"
	"io"
	"math/rand"

	"lemonarch/internal/platform/recordlog"
)

// ErrFull is what a full disk says.
var ErrFull = errors.New("no space left on disk")

type content struct {
	synced []byte
	text   []byte
}

// Disk is a folder in memory with the habits of a real one.
type Disk struct {
	random *rand.Rand
	// names as they are seen now, and as they last.
	names   map[string]*content
	lasting map[string]*content
	// Room is how many more bytes fit; below zero means no bound.
	Room  int
	Syncs int
}

// NewDisk makes an empty disk.
func NewDisk(seed int64) *Disk {
	return &Disk{random: rand.New(rand.NewSource(seed)), names: map[string]*content{}, lasting: map[string]*content{}, Room: -1}
}

// PowerLoss keeps what was synced, and of later writes a part that may be torn.
func (disk *Disk) PowerLoss() {
	disk.names = map[string]*content{}
	for name, file := range disk.lasting {
		kept := append([]byte(nil), file.synced...)
		if len(file.text) > len(file.synced) && disk.random.Intn(2) == 0 {
			tail := file.text[len(file.synced):]
			tail = append([]byte(nil), tail[:disk.random.Intn(len(tail)+1)]...)
			if len(tail) > 0 && disk.random.Intn(2) == 0 {
				// The last write was torn: some of its bytes are not what was meant.
				tail[len(tail)-1] ^= 0x5a
			}
			kept = append(kept, tail...)
		}
		file.text, file.synced = kept, append([]byte(nil), kept...)
		disk.names[name] = file
	}
}

// Wipe empties it.
func (disk *Disk) Wipe() {
	disk.names, disk.lasting = map[string]*content{}, map[string]*content{}
}

// Spoil flips a byte of a file, as a failing disk would.
func (disk *Disk) Spoil(name string, offset int) {
	disk.names[name].text[offset] ^= 0xff
	disk.names[name].synced = append([]byte(nil), disk.names[name].text...)
}

type handle struct {
	disk *Disk
	file *content
}

// Open opens or makes a file.
func (disk *Disk) Open(name string) (recordlog.File, error) {
	if disk.names[name] == nil {
		disk.names[name] = &content{}
	}
	return &handle{disk, disk.names[name]}, nil
}

// Rename gives a file another name, which lasts with the folder.
func (disk *Disk) Rename(from, to string) error {
	if disk.names[from] == nil {
		return errors.New("no such file")
	}
	disk.names[to] = disk.names[from]
	delete(disk.names, from)
	return nil
}

// Remove takes a file away.
func (disk *Disk) Remove(name string) error {
	delete(disk.names, name)
	return nil
}

// SyncFolder makes names last.
func (disk *Disk) SyncFolder() error {
	disk.lasting = map[string]*content{}
	for name, file := range disk.names {
		disk.lasting[name] = file
	}
	return nil
}

func (one *handle) Write(text []byte) (int, error) {
	if one.disk.Room >= 0 {
		if len(text) > one.disk.Room {
			// A full disk may take a part.
			part := one.disk.Room
			one.file.text = append(one.file.text, text[:part]...)
			one.disk.Room = 0
			return part, ErrFull
		}
		one.disk.Room -= len(text)
	}
	one.file.text = append(one.file.text, text...)
	return len(text), nil
}

func (one *handle) ReadAt(into []byte, offset int64) (int, error) {
	if offset >= int64(len(one.file.text)) {
		return 0, io.EOF
	}
	count := copy(into, one.file.text[offset:])
	if count < len(into) {
		return count, io.EOF
	}
	return count, nil
}

func (one *handle) Sync() error {
	one.disk.Syncs++
	one.file.synced = append([]byte(nil), one.file.text...)
	return nil
}

func (one *handle) Truncate(size int64) error {
	one.file.text = one.file.text[:size]
	return nil
}

func (one *handle) Size() (int64, error) { return int64(len(one.file.text)), nil }

func (one *handle) Close() error { return nil }
