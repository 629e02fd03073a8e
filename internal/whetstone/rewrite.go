package whetstone

import (
	"os"
	"path/filepath"
)

// rewriteBatch is how many bytes a rewrite writes at once.
const rewriteBatch = 1 << 20

// Rewrite replaces the file by one that holds just the records that next gives:
// a new file, synced, renamed over the old one, and the folder synced.
func (stone *Stone) Rewrite(next func() ([]byte, bool, error)) ([]int64, error) {
	fresh := stone.name + ".new"
	// A rest of a rewrite that was interrupted is worth nothing.
	_ = stone.disk.Remove(fresh)
	file, failure := stone.disk.Open(fresh)
	if failure != nil {
		return nil, Broken.Wrap(failure, "open "+fresh)
	}
	made := &Stone{disk: stone.disk, name: fresh, file: file}
	offsets, failure := made.fill(next)
	if failure == nil {
		failure = made.Sync()
	}
	if failure == nil {
		failure = Broken.Wrap(stone.disk.Rename(fresh, stone.name), "rename "+fresh)
	}
	if failure == nil {
		failure = Broken.Wrap(stone.disk.SyncFolder(), "sync folder of "+stone.name)
	}
	if failure != nil {
		file.Close()
		return nil, failure
	}
	stone.file.Close()
	stone.file, stone.size = file, made.size
	return offsets, nil
}

func (stone *Stone) fill(next func() ([]byte, bool, error)) ([]int64, error) {
	var offsets []int64
	var batch [][]byte
	size := 0
	for {
		body, more, failure := next()
		if failure != nil {
			return nil, failure
		}
		if more {
			batch = append(batch, body)
			size += len(body)
		}
		if len(batch) > 0 && (!more || size > rewriteBatch) {
			written, failure := stone.Append(batch...)
			if failure != nil {
				return nil, failure
			}
			offsets = append(offsets, written...)
			batch, size = batch[:0], 0
		}
		if !more {
			return offsets, nil
		}
	}
}

// Once gives a list of bodies to Rewrite.
func Once(bodies ...[]byte) func() ([]byte, bool, error) {
	return func() ([]byte, bool, error) {
		if len(bodies) == 0 {
			return nil, false, nil
		}
		body := bodies[0]
		bodies = bodies[1:]
		return body, true, nil
	}
}

// Folder is a real folder as a Disk.
type Folder string

type realFile struct{ *os.File }

func (one realFile) Size() (int64, error) {
	facts, failure := one.Stat()
	if failure != nil {
		return 0, failure
	}
	return facts.Size(), nil
}

// Open opens a file for appending and reading.
func (folder Folder) Open(name string) (File, error) {
	file, failure := os.OpenFile(filepath.Join(string(folder), name), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if failure != nil {
		return nil, failure
	}
	return realFile{file}, nil
}

// Rename gives a file another name.
func (folder Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(folder), from), filepath.Join(string(folder), to))
}

// Remove takes a file away.
func (folder Folder) Remove(name string) error {
	return os.Remove(filepath.Join(string(folder), name))
}

// SyncFolder makes names last.
func (folder Folder) SyncFolder() error {
	handle, failure := os.Open(string(folder))
	if failure != nil {
		return failure
	}
	defer handle.Close()
	return handle.Sync()
}
