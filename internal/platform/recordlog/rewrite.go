package recordlog

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	// rewriteBatch is how many bytes a rewrite writes at once.
	rewriteBatch = 1 << 20
	// rewriteSuffix names the file that a rewrite fills.
	rewriteSuffix = ".new"
)

// Rewrite replaces the file by one that holds just the records that next gives:
// a new file, synced, renamed over the old one, and the folder synced. After an
// error the old records can still be read; if the rename may have been done,
// nothing can be appended until a rewrite succeeds.
func (l *Log) Rewrite(next func() ([]byte, bool, error)) ([]int64, error) {
	if err := l.removeUnfinishedRewrite(); err != nil {
		return nil, err
	}
	newName := l.name + rewriteSuffix
	file, err := l.disk.Open(newName)
	if err != nil {
		return nil, diskError(err, "open "+newName)
	}
	replacement := &Log{disk: l.disk, name: newName, file: file}
	offsets, err := replacement.fill(next)
	if err == nil {
		err = l.replaceBy(newName)
	}
	if err != nil {
		// The file is given up as it is.
		_ = file.Close()
		if !l.unlinked {
			// Its bytes are space that the disk may need.
			_ = l.disk.Remove(newName)
		}
		return nil, err
	}
	// What the old file held is in the new one, which is synced.
	_ = l.file.Close()
	l.file, l.size, l.synced = file, replacement.size, replacement.synced
	l.pending, l.tailDirty, l.unlinked = nil, false, false
	return offsets, nil
}

// replaceBy lets a new file take the name of this one.
func (l *Log) replaceBy(newName string) error {
	// Also an operation that was refused may have been done.
	l.unlinked = true
	if err := l.disk.Rename(newName, l.name); err != nil {
		return diskError(err, "rename "+newName)
	}
	return diskError(l.disk.SyncDirectory(), "sync folder of "+l.name)
}

// fill writes all records that next gives and syncs them. The file has no name that
// is read before all of it is synced, so that each record proves those before it.
func (l *Log) fill(next func() ([]byte, bool, error)) ([]int64, error) {
	var offsets []int64
	var batch [][]byte
	size := 0
	for {
		body, more, err := next()
		if err != nil {
			return nil, err
		}
		if more {
			batch = append(batch, body)
			size += len(body)
		}
		if len(batch) > 0 && (!more || size > rewriteBatch) {
			written, err := l.write(batch, true)
			if err != nil {
				return nil, err
			}
			offsets = append(offsets, written...)
			batch, size = batch[:0], 0
		}
		if !more {
			return offsets, l.Sync()
		}
	}
}

// Records gives a list of bodies to Rewrite.
func Records(bodies ...[]byte) func() ([]byte, bool, error) {
	return func() ([]byte, bool, error) {
		if len(bodies) == 0 {
			return nil, false, nil
		}
		body := bodies[0]
		bodies = bodies[1:]
		return body, true, nil
	}
}

// Directory is a real folder as a Disk.
type Directory string

type osFile struct{ *os.File }

// Size is the length in bytes.
func (r osFile) Size() (int64, error) {
	info, err := r.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open opens a file for appending and reading.
func (f Directory) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename gives a file another name.
func (f Directory) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

// Remove takes a file away.
func (f Directory) Remove(name string) error {
	return os.Remove(filepath.Join(string(f), name))
}

// SyncDirectory makes names last.
func (f Directory) SyncDirectory() error {
	handle, err := os.Open(string(f))
	if err != nil {
		return err
	}
	err = handle.Sync()
	return errors.Join(err, handle.Close())
}
