package simulation

import (
	"io"
	"math/rand"
)

// tornBytes is how many bytes of a torn write are there or not there together.
const tornBytes = 16

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

// sync makes all of it last.
func (c *content) sync() {
	c.synced = append([]byte(nil), c.text...)
	c.writes = nil
}

// powerLoss decides of each unsynced change whether it is there, missing or torn.
func (c *content) powerLoss(random *rand.Rand, allLost bool) {
	c.text = append([]byte(nil), c.synced...)
	for _, item := range c.writes {
		if allLost {
			break
		}
		switch random.Intn(3) {
		case 0:
			c.apply(item)
		case 1:
			c.applyTorn(item, random)
		}
	}
	c.sync()
}

func (c *content) apply(item write) {
	if item.truncate {
		c.resize(item.offset)
		return
	}
	if end := item.offset + len(item.text); end > len(c.text) {
		c.resize(end)
	}
	copy(c.text[item.offset:], item.text)
}

// applyTorn applies a beginning of a write, or pieces from anywhere in it; what is
// missing between them reads as zeros.
func (c *content) applyTorn(item write, random *rand.Rand) {
	if item.truncate || len(item.text) == 0 {
		return
	}
	if random.Intn(2) == 0 {
		item.text = append([]byte(nil), item.text[:random.Intn(len(item.text))]...)
		if len(item.text) > 0 && random.Intn(2) == 0 {
			item.text[len(item.text)-1] ^= 0x5a
		}
		c.apply(item)
		return
	}
	for start := 0; start < len(item.text); start += tornBytes {
		if random.Intn(2) == 0 {
			end := min(start+tornBytes, len(item.text))
			c.apply(write{offset: item.offset + start, text: item.text[start:end]})
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
	if free := h.disk.Free; free >= 0 {
		if part > free {
			part, err = free, ErrFull
		}
		h.disk.Free -= part
	}
	change := write{offset: len(h.file.text), text: append([]byte(nil), text[:part]...)}
	h.file.apply(change)
	h.file.writes = append(h.file.writes, change)
	return part, err
}

// ReadAt reads from an offset; io.EOF says that the file ends before.
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

// Sync makes what was written last.
func (h *handle) Sync() error {
	if err := h.disk.intercept(OperationSync, h.name); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	h.disk.Syncs++
	h.file.sync()
	return nil
}

// Truncate cuts the file where it is longer.
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

// Size is the length in bytes.
func (h *handle) Size() (int64, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	return int64(len(h.file.text)), nil
}

// Close has nothing to do.
func (h *handle) Close() error { return nil }
