package recordlog

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	// rewriteBatch is the size in bytes after which a rewrite writes its batch of records.
	rewriteBatch = 1 << 20
	// rewriteSuffix is the file name suffix of the replacement file of a rewrite.
	rewriteSuffix = ".new"
)

// Rewrite replaces the file by one that contains only the records returned by next, and returns
// their offsets. It writes and syncs a new file, renames it over the old one and syncs the
// directory. After an error the old records can still be read; if the rename may have happened,
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
		// The replacement file is discarded, so an error of Close can be ignored.
		_ = file.Close()
		if !l.unlinked {
			// Free its space, which the disk may need.
			_ = l.disk.Remove(newName)
		}
		return nil, err
	}
	// An error of Close can be ignored: the records are in the new file, which is synced.
	_ = l.file.Close()
	l.file, l.size, l.synced = file, replacement.size, replacement.synced
	l.pending, l.tailDirty, l.unlinked = nil, false, false
	return offsets, nil
}

// replaceBy renames the new file over this one and syncs the directory.
func (l *Log) replaceBy(newName string) error {
	// Set before the rename: an operation that returned an error may have been executed.
	l.unlinked = true
	if err := l.disk.Rename(newName, l.name); err != nil {
		return diskError(err, "rename "+newName)
	}
	return diskError(l.disk.SyncDirectory(), "sync directory of "+l.name)
}

// fill writes all records returned by next and syncs them. The file gets the name that Open reads
// only after all of it is synced, so each record can be marked as proof of those before it.
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

// Records returns a function for Rewrite that returns the given bodies in order.
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

// Directory is a Disk in a directory of the file system, named by its path.
type Directory string

type osFile struct{ *os.File }

// Size returns the length in bytes.
func (r osFile) Size() (int64, error) {
	info, err := r.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open opens a file for appending and reading, and creates it if it is missing.
func (f Directory) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename renames a file and replaces a file of the new name.
func (f Directory) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

// Remove removes a file.
func (f Directory) Remove(name string) error {
	return os.Remove(filepath.Join(string(f), name))
}

// SyncDirectory makes created, renamed and removed file names durable.
func (f Directory) SyncDirectory() error {
	handle, err := os.Open(string(f))
	if err != nil {
		return err
	}
	err = handle.Sync()
	return errors.Join(err, handle.Close())
}
