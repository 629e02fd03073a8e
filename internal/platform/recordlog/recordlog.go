// Package recordlog stores records on disk, in an append-only file of checksummed records that is
// rewritten when it becomes long. Disk is an interface so that tests can drop, tear and reorder
// writes that were not synced.
//
// A record is durable once a Sync after its Append, or a Rewrite that contains it, has returned
// without an error. A failed Append discards its own records, and a failed Sync all records appended
// since the last successful Sync; after a restart the discarded records may be present nevertheless.
// A failed Rewrite leaves either the old records or the new ones. A Log must be used by one
// goroutine at a time; its methods block for as long as the disk does.
package recordlog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"syscall"

	"lemonarch/internal/platform/errs"
)

// The errors of the record log.
var (
	// ErrCorrupt means that a record that was once complete is no longer valid.
	ErrCorrupt = errs.Define("corrupt record")
	// ErrDisk means that a disk operation failed.
	ErrDisk = errs.Define("disk operation failed")
	// ErrDiskFull means that the disk has no space left; such an error is an ErrDisk too.
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

// Disk is a directory of files.
type Disk interface {
	// Open opens a file for appending and reading, and creates it if it is missing.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDirectory makes created, renamed and removed file names durable.
	SyncDirectory() error
}

// Log is one file of records.
type Log struct {
	disk Disk
	name string
	file File
	// size is the offset of the next record, synced the size that the last successful sync covered.
	size, synced int64
	// pending is what was appended since that sync, in case it has to be written again.
	pending []byte
	// tailDirty means that the bytes of the file after synced may differ from pending.
	tailDirty bool
	// unlinked means that a rewrite failed at its rename or later: the open file may no longer
	// have a name, in which case everything written to it would be lost.
	unlinked bool
}

// Open opens a log, passes all complete records to each in order, and truncates a torn tail. The
// records it has read are durable when it returns, even if their writer was killed before its sync.
func Open(disk Disk, name string, each func(offset int64, body []byte) error) (*Log, error) {
	file, err := disk.Open(name)
	if err != nil {
		return nil, diskError(err, "open "+name)
	}
	logfile := &Log{disk: disk, name: name, file: file}
	if err = logfile.recover(each); err != nil {
		// An error of Close can be ignored, since nothing was written.
		_ = file.Close()
		return nil, err
	}
	return logfile, nil
}

func (l *Log) recover(each func(offset int64, body []byte) error) error {
	if err := l.removeUnfinishedRewrite(); err != nil {
		return err
	}
	// The name of a new file is durable only after its directory is synced.
	if err := l.disk.SyncDirectory(); err != nil {
		return diskError(err, "sync directory of "+l.name)
	}
	return l.replay(each)
}

// removeUnfinishedRewrite removes the file that an interrupted rewrite may have left.
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
			if proofOffset, found := findProofAfter(data, offset+1); found {
				return ErrCorrupt.New(fmt.Sprintf("file %s at byte %d, which was synced before the record at byte %d was written", l.name, offset, proofOffset))
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
		return nil, diskError(err, "get size of "+l.name)
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

// Append writes records without syncing and returns their offsets.
func (l *Log) Append(bodies ...[]byte) ([]int64, error) {
	return l.write(bodies, false)
}

// write appends records and returns their offsets. With proof all of them are marked with
// provesPrefix, otherwise only one that starts at synced.
func (l *Log) write(bodies [][]byte, proof bool) ([]int64, error) {
	if err := l.repairTail(); err != nil {
		return nil, err
	}
	var data []byte
	offsets := make([]int64, 0, len(bodies))
	for _, body := range bodies {
		if len(body) == 0 || len(body) > lengthMask {
			return nil, ErrDisk.New(fmt.Sprintf("invalid record length of %d bytes for %s", len(body), l.name))
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
		// If a rewrite fails its replacement file is discarded, so its records are not kept.
	case len(l.pending) == 0:
		l.pending = data
	default:
		l.pending = append(l.pending, data...)
	}
	return offsets, nil
}

// Sync makes all appended records durable.
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

// repairTail restores the file after a failed operation. It truncates the part that no sync has covered
// and writes it again, since the system may have dropped that part without reporting an error to later
// syncs. It syncs before anything else is appended, so that truncated data can't reappear between
// later records.
func (l *Log) repairTail() error {
	if l.unlinked {
		return ErrDisk.New("a rewrite of " + l.name + " failed: the open file may have no name")
	}
	if !l.tailDirty {
		return nil
	}
	if err := l.file.Truncate(l.synced); err != nil {
		return diskError(err, "truncate tail of "+l.name)
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

// ReadAt returns the body of the record that starts at an offset.
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

// Size returns the length of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// diskError wraps an error of the disk as ErrDisk, and as ErrDiskFull if no space is left.
func diskError(err error, operation string) error {
	if errors.Is(err, syscall.ENOSPC) {
		err = ErrDiskFull.Wrap(err, "no space left")
	}
	return ErrDisk.Wrap(err, operation)
}
