package recordlog

import (
	"io"
	"os"
	"sync"
)

// Fleeting is a folder in memory, for a process on a machine without a disk: what
// it holds ends with the process, as if the disk came back empty each time.
type Fleeting struct {
	lock  sync.Mutex
	files map[string]*fleetingFile
}

// NewFleeting makes an empty one.
func NewFleeting() *Fleeting { return &Fleeting{files: map[string]*fleetingFile{}} }

// Open opens a file, making it where it is missing.
func (disk *Fleeting) Open(name string) (File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.files[name] == nil {
		disk.files[name] = &fleetingFile{}
	}
	return disk.files[name], nil
}

// Rename replaces one file by another.
func (disk *Fleeting) Rename(from, to string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	file := disk.files[from]
	if file == nil {
		return os.ErrNotExist
	}
	delete(disk.files, from)
	disk.files[to] = file
	return nil
}

// Remove forgets a file.
func (disk *Fleeting) Remove(name string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	delete(disk.files, name)
	return nil
}

// SyncFolder has nothing to do.
func (disk *Fleeting) SyncFolder() error { return nil }

type fleetingFile struct {
	lock sync.Mutex
	text []byte
}

func (file *fleetingFile) Write(text []byte) (int, error) {
	file.lock.Lock()
	defer file.lock.Unlock()
	file.text = append(file.text, text...)
	return len(text), nil
}

func (file *fleetingFile) ReadAt(into []byte, offset int64) (int, error) {
	file.lock.Lock()
	defer file.lock.Unlock()
	if offset >= int64(len(file.text)) {
		return 0, io.EOF
	}
	count := copy(into, file.text[offset:])
	if count < len(into) {
		return count, io.EOF
	}
	return count, nil
}

func (file *fleetingFile) Sync() error { return nil }

func (file *fleetingFile) Truncate(size int64) error {
	file.lock.Lock()
	defer file.lock.Unlock()
	file.text = file.text[:min(size, int64(len(file.text)))]
	return nil
}

func (file *fleetingFile) Size() (int64, error) {
	file.lock.Lock()
	defer file.lock.Unlock()
	return int64(len(file.text)), nil
}

func (file *fleetingFile) Close() error { return nil }
