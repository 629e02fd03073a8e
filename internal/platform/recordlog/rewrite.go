package recordlog

import (
	"os"
	"path/filepath"
)

const (
	// rewriteBatch is how many bytes a rewrite writes at once.
	rewriteBatch = 1 << 20
	// freshSuffix names the file that a rewrite fills.
	freshSuffix = ".new"
)

// Rewrite replaces the file by one that holds just the records that next gives:
// a new file, synced, renamed over the old one, and the folder synced. After an
// error the old records can still be read; if the rename may have been done,
// nothing can be appended until a rewrite succeeds.
func (l *Logfile) Rewrite(next func() ([]byte, bool, error)) ([]int64, error) {
	if err := l.removeUnfinished(); err != nil {
		return nil, err
	}
	fresh := l.name + freshSuffix
	file, err := l.disk.Open(fresh)
	if err != nil {
		return nil, broken(err, "open "+fresh)
	}
	made := &Logfile{disk: l.disk, name: fresh, file: file}
	offsets, err := made.fill(next)
	if err == nil {
		err = l.giveWay(fresh)
	}
	if err != nil {
		file.Close()
		if !l.nameless {
			// Its bytes are room that the disk may need.
			_ = l.disk.Remove(fresh)
		}
		return nil, err
	}
	l.file.Close()
	l.file, l.size, l.synced = file, made.size, made.synced
	l.pending, l.uncut, l.nameless = nil, false, false
	return offsets, nil
}

// giveWay lets a new file take the name of this one.
func (l *Logfile) giveWay(fresh string) error {
	// Also an operation that was refused may have been done.
	l.nameless = true
	if err := l.disk.Rename(fresh, l.name); err != nil {
		return broken(err, "rename "+fresh)
	}
	return broken(l.disk.SyncFolder(), "sync folder of "+l.name)
}

// fill writes all records that next gives and syncs them. The file has no name that
// is read before all of it is synced, so that each record proves those before it.
func (l *Logfile) fill(next func() ([]byte, bool, error)) ([]int64, error) {
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

func (r realFile) Size() (int64, error) {
	facts, err := r.Stat()
	if err != nil {
		return 0, err
	}
	return facts.Size(), nil
}

// Open opens a file for appending and reading.
func (f Folder) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return realFile{file}, nil
}

// Rename gives a file another name.
func (f Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

// Remove takes a file away.
func (f Folder) Remove(name string) error {
	return os.Remove(filepath.Join(string(f), name))
}

// SyncFolder makes names last.
func (f Folder) SyncFolder() error {
	handle, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}
