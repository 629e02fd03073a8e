package recordlog

import (
	"io"
	"os"
	"sync"
)

// MemoryDisk is a Disk in memory, for a process on a machine without a disk. Its files are lost when
// the process ends, as if the disk were empty at each start.
type MemoryDisk struct {
	lock  sync.Mutex
	files map[string]*memoryFile
}

// NewMemoryDisk returns a disk without files.
func NewMemoryDisk() *MemoryDisk { return &MemoryDisk{files: map[string]*memoryFile{}} }

// Open opens a file and creates it if it is missing.
func (f *MemoryDisk) Open(name string) (File, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.files[name] == nil {
		f.files[name] = &memoryFile{}
	}
	return f.files[name], nil
}

// Rename renames a file and replaces a file of the new name.
func (f *MemoryDisk) Rename(from, to string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	file := f.files[from]
	if file == nil {
		return os.ErrNotExist
	}
	delete(f.files, from)
	f.files[to] = file
	return nil
}

// Remove removes a file.
func (f *MemoryDisk) Remove(name string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.files, name)
	return nil
}

// SyncDirectory does nothing: file names in memory need no sync.
func (f *MemoryDisk) SyncDirectory() error { return nil }

type memoryFile struct {
	lock sync.Mutex
	text []byte
}

// Write appends to the file.
func (f *memoryFile) Write(text []byte) (int, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.text = append(f.text, text...)
	return len(text), nil
}

// ReadAt reads from an offset; it returns io.EOF if the file ends before the buffer is full.
func (f *memoryFile) ReadAt(into []byte, offset int64) (int, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if offset >= int64(len(f.text)) {
		return 0, io.EOF
	}
	count := copy(into, f.text[offset:])
	if count < len(into) {
		return count, io.EOF
	}
	return count, nil
}

// Sync does nothing: data in memory needs no sync.
func (f *memoryFile) Sync() error { return nil }

// Truncate shortens the file to size if it is longer.
func (f *memoryFile) Truncate(size int64) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.text = f.text[:min(size, int64(len(f.text)))]
	return nil
}

// Size returns the length in bytes.
func (f *memoryFile) Size() (int64, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return int64(len(f.text)), nil
}

// Close does nothing: the file exists as long as its disk.
func (f *memoryFile) Close() error { return nil }
