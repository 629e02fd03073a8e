// Package whetstone keeps records on disk: an append-only file of checksummed
// records that is rewritten when it gets long. Disk is an interface so that tests
// can lose, tear and reorder what was not synced.
package whetstone

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"lemonarch/internal/mishap"
)

// The mishaps of the store.
var (
	// Damage means a record that was whole once and no longer is.
	Damage = mishap.Define("record damaged")
	// Broken means that the disk refused an operation.
	Broken = mishap.Define("disk refused")
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

// Stone is one file of records.
type Stone struct {
	disk Disk
	name string
	file File
	size int64
}

// Open reads all whole records, in order, and cuts a torn tail.
func Open(disk Disk, name string, each func(offset int64, body []byte) error) (*Stone, error) {
	file, failure := disk.Open(name)
	if failure != nil {
		return nil, Broken.Wrap(failure, "open "+name)
	}
	// The name of a new file lasts only once its folder is synced.
	if failure = disk.SyncFolder(); failure != nil {
		return nil, Broken.Wrap(failure, "sync folder of "+name)
	}
	stone := &Stone{disk: disk, name: name, file: file}
	if failure = stone.replay(each); failure != nil {
		file.Close()
		return nil, failure
	}
	return stone, nil
}

func (stone *Stone) replay(each func(offset int64, body []byte) error) error {
	length, failure := stone.file.Size()
	if failure != nil {
		return Broken.Wrap(failure, "size of "+stone.name)
	}
	text := make([]byte, length)
	if length > 0 {
		if _, failure = stone.file.ReadAt(text, 0); failure != nil && failure != io.EOF {
			return Broken.Wrap(failure, "read "+stone.name)
		}
	}
	offset := int64(0)
	for offset < length {
		body, whole := recordAt(text[offset:])
		if !whole {
			// Only a tail may be torn. A whole record behind the bad place shows
			// that synced bytes were spoilt, and that is never skipped.
			if later, found := wholeAfter(text, offset+1); found {
				return Damage.New(fmt.Sprintf("file %s at byte %d, though a whole record stands at %d", stone.name, offset, later))
			}
			break
		}
		if failure = each(offset, body); failure != nil {
			return failure
		}
		offset += headBytes + int64(len(body))
	}
	stone.size = offset
	if offset < length {
		if failure = stone.file.Truncate(offset); failure != nil {
			return Broken.Wrap(failure, "cut tail of "+stone.name)
		}
		if failure = stone.file.Sync(); failure != nil {
			return Broken.Wrap(failure, "sync "+stone.name)
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
func (stone *Stone) Append(bodies ...[]byte) ([]int64, error) {
	var text []byte
	offsets := make([]int64, 0, len(bodies))
	for _, body := range bodies {
		offsets = append(offsets, stone.size+int64(len(text)))
		text = binary.BigEndian.AppendUint32(text, uint32(len(body)))
		text = binary.BigEndian.AppendUint32(text, crc32.Checksum(body, table))
		text = append(text, body...)
	}
	if _, failure := stone.file.Write(text); failure != nil {
		// A half-written record must not stand before later ones.
		_ = stone.file.Truncate(stone.size)
		return nil, Broken.Wrap(failure, "write "+stone.name)
	}
	stone.size += int64(len(text))
	return offsets, nil
}

// Sync makes all that was appended last.
func (stone *Stone) Sync() error { return Broken.Wrap(stone.file.Sync(), "sync "+stone.name) }

// ReadAt reads the record that starts at an offset.
func (stone *Stone) ReadAt(offset int64) ([]byte, error) {
	var head [headBytes]byte
	if _, failure := stone.file.ReadAt(head[:], offset); failure != nil {
		return nil, Broken.Wrap(failure, "read "+stone.name)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, failure := stone.file.ReadAt(body, offset+headBytes); failure != nil && failure != io.EOF {
		return nil, Broken.Wrap(failure, "read "+stone.name)
	}
	if crc32.Checksum(body, table) != binary.BigEndian.Uint32(head[4:]) {
		return nil, Damage.New(fmt.Sprintf("file %s at byte %d", stone.name, offset))
	}
	return body, nil
}

// Size gives the length of the file.
func (stone *Stone) Size() int64 { return stone.size }

// Close closes the file.
func (stone *Stone) Close() error { return stone.file.Close() }
