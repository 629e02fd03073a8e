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
func (c *content) settle() {
	c.synced = append([]byte(nil), c.text...)
	c.writes = nil
}

// powerLoss decides of each unsynced change whether it is there, missing or torn.
func (c *content) powerLoss(random *rand.Rand, allLost bool) {
	c.text = append([]byte(nil), c.synced...)
	for _, one := range c.writes {
		if allLost {
			break
		}
		switch random.Intn(3) {
		case 0:
			c.apply(one)
		case 1:
			c.applyTorn(one, random)
		}
	}
	c.settle()
}

func (c *content) apply(one write) {
	if one.truncate {
		c.resize(one.offset)
		return
	}
	if end := one.offset + len(one.text); end > len(c.text) {
		c.resize(end)
	}
	copy(c.text[one.offset:], one.text)
}

// applyTorn applies a beginning of a write, or pieces from anywhere in it; what is
// missing between them reads as zeros.
func (c *content) applyTorn(one write, random *rand.Rand) {
	if one.truncate || len(one.text) == 0 {
		return
	}
	if random.Intn(2) == 0 {
		one.text = append([]byte(nil), one.text[:random.Intn(len(one.text))]...)
		if len(one.text) > 0 && random.Intn(2) == 0 {
			one.text[len(one.text)-1] ^= 0x5a
		}
		c.apply(one)
		return
	}
	for start := 0; start < len(one.text); start += tornPiece {
		if random.Intn(2) == 0 {
			end := min(start+tornPiece, len(one.text))
			c.apply(write{offset: one.offset + start, text: one.text[start:end]})
		}
	}
}

func (c *content) resize(size int) {
	if size <= len(c.text) {
		c.text = c.text[:size:size]
		return
	}
	c.text = append(c.text, make([]byte, size-len(c.text))...)
}

// handle is an open file.
type handle struct {
	disk *Disk
	name string
	file *content
}

// Write appends; a refused write may have taken a part.
func (h *handle) Write(text []byte) (int, error) {
	err := h.disk.intercept(OperationWrite, h.name)
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	part := len(text)
	if err != nil {
		part = h.disk.random.Intn(len(text) + 1)
	}
	if room := h.disk.Room; room >= 0 {
		if part > room {
			part, err = room, ErrFull
		}
		h.disk.Room -= part
	}
	change := write{offset: len(h.file.text), text: append([]byte(nil), text[:part]...)}
	h.file.apply(change)
	h.file.writes = append(h.file.writes, change)
	return part, err
}

func (h *handle) ReadAt(into []byte, offset int64) (int, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	if offset >= int64(len(h.file.text)) {
		return 0, io.EOF
	}
	count := copy(into, h.file.text[offset:])
	if count < len(into) {
		return count, io.EOF
	}
	return count, nil
}

func (h *handle) Sync() error {
	if err := h.disk.intercept(OperationSync, h.name); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	h.disk.Syncs++
	h.file.settle()
	return nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.disk.intercept(OperationTruncate, h.name); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	change := write{truncate: true, offset: int(size)}
	h.file.apply(change)
	h.file.writes = append(h.file.writes, change)
	return nil
}

func (h *handle) Size() (int64, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	return int64(len(h.file.text)), nil
}

func (h *handle) Close() error { return nil }
