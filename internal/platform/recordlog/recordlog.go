// Package recordlog keeps records on disk: an append-only file of checksummed
// records that is rewritten when it gets long. Disk is an interface so that tests
// can lose, tear and reorder what was not synced.
package recordlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"lemonarch/internal/platform/errs"
)

// The errors of the store.
var (
	// Damage means a record that was whole once and no longer is.
	Damage = errs.Define("record damaged")
	// Broken means that the disk refused an operation.
	Broken = errs.Define("disk refused")
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
	// SyncFolder makes names last.
	SyncFolder() error
}

const headBytes = 8

var table = crc32.MakeTable(crc32.Castagnoli)

// Logfile is one file of records.
type Logfile struct {
	disk Disk
	name string
	file File
	size int64
}

// Open reads all whole records, in order, and cuts a torn tail.
func Open(disk Disk, name string, each func(offset int64, body []byte) error) (*Logfile, error) {
	file, err := disk.Open(name)
	if err != nil {
		return nil, Broken.Wrap(err, "open "+name)
	}
	// The name of a new file lasts only once its folder is synced.
	if err = disk.SyncFolder(); err != nil {
		return nil, Broken.Wrap(err, "sync folder of "+name)
	}
	logfile := &Logfile{disk: disk, name: name, file: file}
	if err = logfile.replay(each); err != nil {
		file.Close()
		return nil, err
	}
	return logfile, nil
}

func (logfile *Logfile) replay(each func(offset int64, body []byte) error) error {
	length, err := logfile.file.Size()
	if err != nil {
		return Broken.Wrap(err, "size of "+logfile.name)
	}
	text := make([]byte, length)
	if length > 0 {
		if _, err = logfile.file.ReadAt(text, 0); err != nil && err != io.EOF {
			return Broken.Wrap(err, "read "+logfile.name)
		}
	}
	offset := int64(0)
	for offset < length {
		body, whole := recordAt(text[offset:])
		if !whole {
			// Only a tail may be torn. A whole record behind the bad place shows
			// that synced bytes were spoilt, and that is never skipped.
			if later, found := wholeAfter(text, offset+1); found {
				return Damage.New(fmt.Sprintf("file %s at byte %d, though a whole record stands at %d", logfile.name, offset, later))
			}
			break
		}
		if err = each(offset, body); err != nil {
			return err
		}
		offset += headBytes + int64(len(body))
	}
	logfile.size = offset
	if offset < length {
		if err = logfile.file.Truncate(offset); err != nil {
			return Broken.Wrap(err, "cut tail of "+logfile.name)
		}
		if err = logfile.file.Sync(); err != nil {
			return Broken.Wrap(err, "sync "+logfile.name)
		}
	}
	return nil
}

func recordAt(text []byte) ([]byte, bool) {
	if len(text) < headBytes {
		return nil, false
	}
	length := int64(binary.BigEndian.Uint32(text))
	if length == 0 || length > int64(len(text)-headBytes) {
		return nil, false
	}
	body := text[headBytes : headBytes+length]
	return body, crc32.Checksum(body, table) == binary.BigEndian.Uint32(text[4:])
}

func wholeAfter(text []byte, offset int64) (int64, bool) {
	for ; offset+headBytes < int64(len(text)); offset++ {
		if _, whole := recordAt(text[offset:]); whole {
			return offset, true
		}
	}
	return 0, false
}

// Append writes records without syncing and gives their offsets.
func (logfile *Logfile) Append(bodies ...[]byte) ([]int64, error) {
	var text []byte
	offsets := make([]int64, 0, len(bodies))
	for _, body := range bodies {
		offsets = append(offsets, logfile.size+int64(len(text)))
		text = binary.BigEndian.AppendUint32(text, uint32(len(body)))
		text = binary.BigEndian.AppendUint32(text, crc32.Checksum(body, table))
		text = append(text, body...)
	}
	if _, err := logfile.file.Write(text); err != nil {
		// A half-written record must not stand before later ones.
		_ = logfile.file.Truncate(logfile.size)
		return nil, Broken.Wrap(err, "write "+logfile.name)
	}
	logfile.size += int64(len(text))
	return offsets, nil
}

// Sync makes all that was appended last.
func (logfile *Logfile) Sync() error { return Broken.Wrap(logfile.file.Sync(), "sync "+logfile.name) }

// ReadAt reads the record that starts at an offset.
func (logfile *Logfile) ReadAt(offset int64) ([]byte, error) {
	var head [headBytes]byte
	if _, err := logfile.file.ReadAt(head[:], offset); err != nil {
		return nil, Broken.Wrap(err, "read "+logfile.name)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := logfile.file.ReadAt(body, offset+headBytes); err != nil && err != io.EOF {
		return nil, Broken.Wrap(err, "read "+logfile.name)
	}
	if crc32.Checksum(body, table) != binary.BigEndian.Uint32(head[4:]) {
		return nil, Damage.New(fmt.Sprintf("file %s at byte %d", logfile.name, offset))
	}
	return body, nil
}

// Size gives the length of the file.
func (logfile *Logfile) Size() int64 { return logfile.size }

// Close closes the file.
func (logfile *Logfile) Close() error { return logfile.file.Close() }
