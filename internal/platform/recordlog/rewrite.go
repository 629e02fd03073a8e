package recordlog

import (
	"os"
	"path/filepath"
)

// rewriteBatch is how many bytes a rewrite writes at once.
const rewriteBatch = 1 << 20

// Rewrite replaces the file by one that holds just the records that next gives:
// a new file, synced, renamed over the old one, and the folder synced.
func (logfile *Logfile) Rewrite(next func() ([]byte, bool, error)) ([]int64, error) {
	fresh := logfile.name + ".new"
	// A rest of a rewrite that was interrupted is worth nothing.
	_ = logfile.disk.Remove(fresh)
	file, err := logfile.disk.Open(fresh)
	if err != nil {
		return nil, Broken.Wrap(err, "open "+fresh)
	}
	made := &Logfile{disk: logfile.disk, name: fresh, file: file}
	offsets, err := made.fill(next)
	if err == nil {
		err = made.Sync()
	}
	if err == nil {
		err = Broken.Wrap(logfile.disk.Rename(fresh, logfile.name), "rename "+fresh)
	}
	if err == nil {
		err = Broken.Wrap(logfile.disk.SyncFolder(), "sync folder of "+logfile.name)
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	logfile.file.Close()
	logfile.file, logfile.size = file, made.size
	return offsets, nil
}

func (logfile *Logfile) fill(next func() ([]byte, bool, error)) ([]int64, error) {
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
			written, err := logfile.Append(batch...)
			if err != nil {
				return nil, err
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
	facts, err := one.Stat()
	if err != nil {
		return 0, err
	}
	return facts.Size(), nil
}

// Open opens a file for appending and reading.
func (folder Folder) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(folder), name), os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
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
	handle, err := os.Open(string(folder))
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}
