// Package recordlog keeps records on disk: an append-only file of checksummed
// records that is rewritten when it gets long. Disk is an interface so that tests
// can lose, tear and reorder what was not synced.
//
// A record lasts once Sync has returned without an error after its Append, or
// Rewrite has. A failed Append takes back its own records, a failed Sync all that
// was appended since the last one that succeeded; after a restart they may be there
// all the same. A failed Rewrite leaves the old records or the new ones. A Log
// is for one goroutine at a time; it blocks for as long as its disk does.
package recordlog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"syscall"

	"lemonarch/internal/platform/errs"
)

// The errors of the store.
var (
	// ErrCorrupt means a record that was complete once and no longer is.
	ErrCorrupt = errs.Define("record damaged")
	// ErrDisk means that the disk refused an operation.
	ErrDisk = errs.Define("disk refused")
	// ErrDiskFull means that the disk takes no more bytes; such an error is ErrDisk too.
	ErrDiskFull = errs.Define("disk full")
)

// File is an open file.
type File interface {
	io.Writer
	io.ReaderAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// Disk is a folder of files.
type Disk interface {
	// Open opens a file for appending and reading, making it where it is missing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDirectory makes names last.
	SyncDirectory() error
}

// Log is one file of records.
type Log struct {
	disk Disk
	name string
	file File
	// size is where the next record goes, and synced what the last sync covered.
	size, synced int64
	// pending is what was appended since that sync, in case it must be written again.
	pending []byte
	// tailDirty says that the file may hold something else behind synced.
	tailDirty bool
	// unlinked says that a rewrite failed at its rename or later: the open file may
	// have lost its name, and what is written to it would be lost with it.
	unlinked bool
}

// Open reads all complete records, in order, and cuts a torn tail. What it has read
// lasts, also if the process that wrote it was killed before its sync.
func Open(disk Disk, name string, each func(offset int64, body []byte) error) (*Log, error) {
	file, err := disk.Open(name)
	if err != nil {
		return nil, diskError(err, "open "+name)
	}
	logfile := &Log{disk: disk, name: name, file: file}
	if err = logfile.recover(each); err != nil {
		// Nothing was written that the close could lose.
		_ = file.Close()
		return nil, err
	}
	return logfile, nil
}

func (l *Log) recover(each func(offset int64, body []byte) error) error {
	if err := l.removeUnfinishedRewrite(); err != nil {
		return err
	}
	// The name of a new file lasts only once its folder is synced.
	if err := l.disk.SyncDirectory(); err != nil {
		return diskError(err, "sync folder of "+l.name)
	}
	return l.replay(each)
}

// removeUnfinished takes away what a rewrite that was interrupted has left.
func (l *Log) removeUnfinishedRewrite() error {
	newName := l.name + rewriteSuffix
	if err := l.disk.Remove(newName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return diskError(err, "remove "+newName)
	}
	return nil
}

func (l *Log) replay(each func(offset int64, body []byte) error) error {
	data, err := l.readAll()
	if err != nil {
		return err
	}
	offset := int64(0)
	for offset < int64(len(data)) {
		body, _, complete := parseRecord(data[offset:])
		if !complete {
			if later, found := findProofAfter(data, offset+1); found {
				return ErrCorrupt.New(fmt.Sprintf("file %s at byte %d, which was synced before the record at %d", l.name, offset, later))
			}
			break
		}
		if err = each(offset, body); err != nil {
			return err
		}
		offset += headerBytes + int64(len(body))
	}
	l.size, l.synced = offset, offset
	l.tailDirty = offset < int64(len(data))
	return l.Sync()
}

func (l *Log) readAll() ([]byte, error) {
	length, err := l.file.Size()
	if err != nil {
		return nil, diskError(err, "size of "+l.name)
	}
	data := make([]byte, length)
	if length == 0 {
		return data, nil
	}
	if _, err = l.file.ReadAt(data, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, diskError(err, "read "+l.name)
	}
	return data, nil
}

// Append writes records without syncing and gives their offsets.
func (l *Log) Append(bodies ...[]byte) ([]int64, error) {
	return l.write(bodies, false)
}

// write appends records; proof says that all of them prove what stands before them.
func (l *Log) write(bodies [][]byte, proof bool) ([]int64, error) {
	if err := l.repairTail(); err != nil {
		return nil, err
	}
	var data []byte
	offsets := make([]int64, 0, len(bodies))
	for _, body := range bodies {
		if len(body) == 0 || len(body) > lengthMask {
			return nil, ErrDisk.New(fmt.Sprintf("record of %d bytes for %s", len(body), l.name))
		}
		offset := l.size + int64(len(data))
		offsets = append(offsets, offset)
		data = appendRecord(data, body, proof || offset == l.synced)
	}
	if _, err := l.file.Write(data); err != nil {
		l.tailDirty = true
		_ = l.file.Truncate(l.size)
		return nil, diskError(err, "write "+l.name)
	}
	l.size += int64(len(data))
	switch {
	case proof:
		// A file that fails while it is filled is given up as a whole.
	case len(l.pending) == 0:
		l.pending = data
	default:
		l.pending = append(l.pending, data...)
	}
	return offsets, nil
}

// Sync makes all that was appended last.
func (l *Log) Sync() error {
	err := l.repairTail()
	if err == nil {
		err = diskError(l.file.Sync(), "sync "+l.name)
	}
	if err != nil {
		l.size, l.pending, l.tailDirty = l.synced, nil, true
		return err
	}
	l.synced, l.pending = l.size, nil
	return nil
}

// repairTail puts the file right after a refused operation: what no sync has covered is
// cut and written again, since the system may have dropped it without telling later
// syncs. It is synced before anything follows it, so that nothing that was cut can
// come back between later records.
func (l *Log) repairTail() error {
	if l.unlinked {
		return ErrDisk.New("a rewrite of " + l.name + " failed: its file may have no name")
	}
	if !l.tailDirty {
		return nil
	}
	if err := l.file.Truncate(l.synced); err != nil {
		return diskError(err, "cut tail of "+l.name)
	}
	if len(l.pending) > 0 {
		if _, err := l.file.Write(l.pending); err != nil {
			return diskError(err, "write "+l.name)
		}
	}
	if err := l.file.Sync(); err != nil {
		return diskError(err, "sync "+l.name)
	}
	l.tailDirty = false
	return nil
}

// ReadAt reads the record that starts at an offset.
func (l *Log) ReadAt(offset int64) ([]byte, error) {
	var head [headerBytes]byte
	if _, err := l.file.ReadAt(head[:], offset); err != nil {
		return nil, diskError(err, "read "+l.name)
	}
	data := make([]byte, headerBytes+bodyLength(head[:]))
	if _, err := l.file.ReadAt(data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, diskError(err, "read "+l.name)
	}
	body, _, complete := parseRecord(data)
	if !complete {
		return nil, ErrCorrupt.New(fmt.Sprintf("file %s at byte %d", l.name, offset))
	}
	return body, nil
}

// Size gives the length of the file.
func (l *Log) Size() int64 { return l.size }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// diskError types an error of the disk.
func diskError(err error, operation string) error {
	if errors.Is(err, syscall.ENOSPC) {
		err = ErrDiskFull.Wrap(err, "no space left")
	}
	return ErrDisk.Wrap(err, operation)
}
