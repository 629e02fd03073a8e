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
func (f *Fleeting) Open(name string) (File, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.files[name] == nil {
		f.files[name] = &fleetingFile{}
	}
	return f.files[name], nil
}

// Rename replaces one file by another.
func (f *Fleeting) Rename(from, to string) error {
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
func (f *Fleeting) Remove(name string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.files, name)
	return nil
}

// SyncFolder has nothing to do.
func (f *Fleeting) SyncFolder() error { return nil }

type fleetingFile struct {
	lock sync.Mutex
	text []byte
}

func (f *fleetingFile) Write(text []byte) (int, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.text = append(f.text, text...)
	return len(text), nil
}

func (f *fleetingFile) ReadAt(into []byte, offset int64) (int, error) {
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

func (f *fleetingFile) Sync() error { return nil }

func (f *fleetingFile) Truncate(size int64) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.text = f.text[:min(size, int64(len(f.text)))]
	return nil
}

func (f *fleetingFile) Size() (int64, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return int64(len(f.text)), nil
}

func (f *fleetingFile) Close() error { return nil }
