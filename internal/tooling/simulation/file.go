package simulation

import (
	"io"
	"math/rand"
)

// tornBytes is the size of the pieces of a torn write; each piece is written or missing as a whole.
const tornBytes = 16

// pendingWrite is a change of a file that has not been synced yet: bytes written at an offset,
// or, if truncate is set, a change of the length to offset.
type pendingWrite struct {
	truncate bool
	offset   int
	text     []byte
}

// content is the content of a file: synced at its last sync, text at present. writes are the
// unsynced changes between the two, in order.
type content struct {
	synced []byte
	text   []byte
	writes []pendingWrite
}

// sync makes the present content durable.
func (c *content) sync() {
	c.synced = append([]byte(nil), c.text...)
	c.writes = nil
}

// powerLoss draws for each unsynced change whether it is present, missing or torn.
func (c *content) powerLoss(random *rand.Rand, allLost bool) {
	c.text = append([]byte(nil), c.synced...)
	for _, change := range c.writes {
		if allLost {
			break
		}
		switch random.Intn(3) {
		case 0:
			c.apply(change)
		case 1:
			c.applyTorn(change, random)
		}
	}
	c.sync()
}

func (c *content) apply(change pendingWrite) {
	if change.truncate {
		c.resize(change.offset)
		return
	}
	if end := change.offset + len(change.text); end > len(c.text) {
		c.resize(end)
	}
	copy(c.text[change.offset:], change.text)
}

// applyTorn applies a prefix of a write, in half of the cases with its last byte corrupted, or
// random pieces of it; missing bytes between them read as zeros.
func (c *content) applyTorn(change pendingWrite, random *rand.Rand) {
	if change.truncate || len(change.text) == 0 {
		return
	}
	if random.Intn(2) == 0 {
		change.text = append([]byte(nil), change.text[:random.Intn(len(change.text))]...)
		if len(change.text) > 0 && random.Intn(2) == 0 {
			change.text[len(change.text)-1] ^= 0x5a
		}
		c.apply(change)
		return
	}
	for start := 0; start < len(change.text); start += tornBytes {
		if random.Intn(2) == 0 {
			end := min(start+tornBytes, len(change.text))
			c.apply(pendingWrite{offset: change.offset + start, text: change.text[start:end]})
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

// Write appends to the file. A write that fails may have written a part.
func (h *handle) Write(text []byte) (int, error) {
	err := h.disk.intercept(OperationWrite, h.name)
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	written := len(text)
	if err != nil {
		written = h.disk.random.Intn(len(text) + 1)
	}
	if free := h.disk.FreeBytes; free >= 0 {
		if written > free {
			written, err = free, ErrFull
		}
		h.disk.FreeBytes -= written
	}
	change := pendingWrite{offset: len(h.file.text), text: append([]byte(nil), text[:written]...)}
	h.file.apply(change)
	h.file.writes = append(h.file.writes, change)
	return written, err
}

// ReadAt reads from an offset. It returns io.EOF if the file ends before the buffer is full.
func (h *handle) ReadAt(buffer []byte, offset int64) (int, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	if offset >= int64(len(h.file.text)) {
		return 0, io.EOF
	}
	count := copy(buffer, h.file.text[offset:])
	if count < len(buffer) {
		return count, io.EOF
	}
	return count, nil
}

// Sync makes everything written so far durable.
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

// Truncate sets the length of the file: it cuts a longer file and fills a shorter one with zeros.
func (h *handle) Truncate(size int64) error {
	if err := h.disk.intercept(OperationTruncate, h.name); err != nil {
		return err
	}
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	change := pendingWrite{truncate: true, offset: int(size)}
	h.file.apply(change)
	h.file.writes = append(h.file.writes, change)
	return nil
}

// Size returns the length in bytes.
func (h *handle) Size() (int64, error) {
	h.disk.lock.Lock()
	defer h.disk.lock.Unlock()
	return int64(len(h.file.text)), nil
}

// Close does nothing.
func (h *handle) Close() error { return nil }
