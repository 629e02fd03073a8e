package simulation

import (
	"io"
	"math/rand"
)

// tornPiece is how many bytes of a torn write are there or not there together.
const tornPiece = 16

// write is a change of a file that no sync has covered: bytes at an offset, or a
// new length where truncate is set.
type write struct {
	truncate bool
	offset   int
	text     []byte
}

// content is what a file holds: as its last sync left it, and as it is seen now.
type content struct {
	synced []byte
	text   []byte
	writes []write
}

// settle makes all of it last.
func (file *content) settle() {
	file.synced = append([]byte(nil), file.text...)
	file.writes = nil
}

// powerLoss decides of each unsynced change whether it is there, missing or torn.
func (file *content) powerLoss(random *rand.Rand, allLost bool) {
	file.text = append([]byte(nil), file.synced...)
	for _, one := range file.writes {
		if allLost {
			break
		}
		switch random.Intn(3) {
		case 0:
			file.apply(one)
		case 1:
			file.applyTorn(one, random)
		}
	}
	file.settle()
}

func (file *content) apply(one write) {
	if one.truncate {
		file.resize(one.offset)
		return
	}
	if end := one.offset + len(one.text); end > len(file.text) {
		file.resize(end)
	}
	copy(file.text[one.offset:], one.text)
}

// applyTorn applies a beginning of a write, or pieces from anywhere in it; what is
// missing between them reads as zeros.
func (file *content) applyTorn(one write, random *rand.Rand) {
	if one.truncate || len(one.text) == 0 {
		return
	}
	if random.Intn(2) == 0 {
		one.text = append([]byte(nil), one.text[:random.Intn(len(one.text))]...)
		if len(one.text) > 0 && random.Intn(2) == 0 {
			one.text[len(one.text)-1] ^= 0x5a
		}
		file.apply(one)
		return
	}
	for start := 0; start < len(one.text); start += tornPiece {
		if random.Intn(2) == 0 {
			end := min(start+tornPiece, len(one.text))
			file.apply(write{offset: one.offset + start, text: one.text[start:end]})
		}
	}
}

func (file *content) resize(size int) {
	if size <= len(file.text) {
		file.text = file.text[:size:size]
		return
	}
	file.text = append(file.text, make([]byte, size-len(file.text))...)
}

// handle is an open file.
type handle struct {
	disk *Disk
	name string
	file *content
}

// Write appends; a refused write may have taken a part.
func (one *handle) Write(text []byte) (int, error) {
	err := one.disk.intercept(OperationWrite, one.name)
	one.disk.lock.Lock()
	defer one.disk.lock.Unlock()
	part := len(text)
	if err != nil {
		part = one.disk.random.Intn(len(text) + 1)
	}
	if room := one.disk.Room; room >= 0 {
		if part > room {
			part, err = room, ErrFull
		}
		one.disk.Room -= part
	}
	change := write{offset: len(one.file.text), text: append([]byte(nil), text[:part]...)}
	one.file.apply(change)
	one.file.writes = append(one.file.writes, change)
	return part, err
}

func (one *handle) ReadAt(into []byte, offset int64) (int, error) {
	one.disk.lock.Lock()
	defer one.disk.lock.Unlock()
	if offset >= int64(len(one.file.text)) {
		return 0, io.EOF
	}
	count := copy(into, one.file.text[offset:])
	if count < len(into) {
		return count, io.EOF
	}
	return count, nil
}

func (one *handle) Sync() error {
	if err := one.disk.intercept(OperationSync, one.name); err != nil {
		return err
	}
	one.disk.lock.Lock()
	defer one.disk.lock.Unlock()
	one.disk.Syncs++
	one.file.settle()
	return nil
}

func (one *handle) Truncate(size int64) error {
	if err := one.disk.intercept(OperationTruncate, one.name); err != nil {
		return err
	}
	one.disk.lock.Lock()
	defer one.disk.lock.Unlock()
	change := write{truncate: true, offset: int(size)}
	one.file.apply(change)
	one.file.writes = append(one.file.writes, change)
	return nil
}

func (one *handle) Size() (int64, error) {
	one.disk.lock.Lock()
	defer one.disk.lock.Unlock()
	return int64(len(one.file.text)), nil
}

func (one *handle) Close() error { return nil }
