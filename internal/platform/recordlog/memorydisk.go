package recordlog

import (
	"io"
	"os"
	"sync"
)

// MemoryDisk is a folder in memory, for a process on a machine without a disk: what it holds
// ends with the process, as if the disk came back empty each time.
type MemoryDisk struct {
	lock  sync.Mutex
	files map[string]*memoryFile
}

// NewMemoryDisk makes an empty one.
func NewMemoryDisk() *MemoryDisk { return &MemoryDisk{files: map[string]*memoryFile{}} }

// Open opens a file, making it where it is missing.
func (f *MemoryDisk) Open(name string) (File, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.files[name] == nil {
		f.files[name] = &memoryFile{}
	}
	return f.files[name], nil
}

// Rename replaces one file by another.
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

// Remove forgets a file.
func (f *MemoryDisk) Remove(name string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.files, name)
	return nil
}

// SyncDirectory has nothing to do.
func (f *MemoryDisk) SyncDirectory() error { return nil }

type memoryFile struct {
	lock sync.Mutex
	text []byte
}

// Write appends.
func (f *memoryFile) Write(text []byte) (int, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.text = append(f.text, text...)
	return len(text), nil
}

// ReadAt reads from an offset; io.EOF says that the file ends before.
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

// Sync has nothing to do.
func (f *memoryFile) Sync() error { return nil }

// Truncate cuts the file where it is longer.
func (f *memoryFile) Truncate(size int64) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.text = f.text[:min(size, int64(len(f.text)))]
	return nil
}

// Size is the length in bytes.
func (f *memoryFile) Size() (int64, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return int64(len(f.text)), nil
}

// Close has nothing to do: the file lasts as long as its disk.
func (f *memoryFile) Close() error { return nil }
