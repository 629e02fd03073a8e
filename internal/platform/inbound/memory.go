package inbound

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Memory accounts for the memory that the requests of all listeners of a process use together.
type Memory struct {
	// limit is in bytes; 0 means no limit.
	limit int64

	lock sync.Mutex
	used int64
	// releasing is the part of used that belongs to evicted requests, which will end soon.
	releasing int64
	// released is closed when a request releases bytes, and then replaced.
	released  chan struct{}
	listeners []*Listener
}

// NewMemory returns a Memory with nothing charged; limit is in bytes, 0 means no limit.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, released: make(chan struct{})}
}

// Used returns the number of charged bytes.
func (m *Memory) Used() int64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.used
}

// reserve charges count bytes to a connection's request; total is the memory that the whole request
// needs. At the limit it evicts requests that are not received completely yet: slow ones, and those
// charged much more than total. It waits for evicted requests to release their memory, up to
// ClientMemoryTimeout, and returns false if the bytes could not be charged.
func (m *Memory) reserve(c *Conn, count, total int64) bool {
	end := clock.Now().Add(constants.ClientMemoryTimeout)
	for {
		reserved, shortfall, released := m.tryReserve(c, count)
		if reserved {
			return true
		}
		if shortfall > 0 && !m.evictRequests(c, shortfall, total) {
			return false
		}
		select {
		case <-released:
		case <-clock.After(end.Sub(clock.Now())):
			return false
		}
	}
}

// tryReserve charges the bytes if the limit allows it. Otherwise it returns how many bytes are short,
// not counting those that evicted requests will release, and a channel that is closed at the next
// release.
func (m *Memory) tryReserve(c *Conn, count int64) (reserved bool, shortfall int64, released <-chan struct{}) {
	m.lock.Lock()
	defer m.lock.Unlock()
	// If no other request is charged, this one is served even above the memory limit: its own size is
	// bounded by the limits of heads and bodies.
	if m.limit <= 0 || m.used+count <= m.limit || m.used == c.charged {
		m.used += count
		c.charged += count
		return true, 0, nil
	}
	return false, m.used + count - m.limit - m.releasing, m.released
}

// release releases all bytes charged to a connection's request.
func (m *Memory) release(c *Conn) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if c.charged == 0 {
		return
	}
	m.used -= c.charged
	m.releasing -= c.releasing
	c.charged, c.releasing = 0, 0
	close(m.released)
	m.released = make(chan struct{})
}

// evictRequests evicts requests until their charged bytes cover the shortfall. It returns false if no
// request could be evicted.
func (m *Memory) evictRequests(c *Conn, shortfall, total int64) bool {
	now := clock.Now()
	var candidates []candidate
	m.lock.Lock()
	listeners := m.listeners
	m.lock.Unlock()
	for _, listener := range listeners {
		candidates = append(candidates, listener.candidates(now)...)
	}
	m.lock.Lock()
	for i := range candidates {
		candidates[i].charged = candidates[i].connection.charged
		if candidates[i].connection == c {
			// A request is not evicted to make room for itself.
			candidates[i].phase = phaseServing
		}
	}
	m.lock.Unlock()
	freed := false
	for shortfall > 0 {
		chosen := chooseRequest(candidates, total, now)
		if chosen == nil {
			break
		}
		if chosen.connection.evict(chosen) {
			shortfall -= m.markReleasing(chosen.connection)
			freed = true
		}
		chosen.charged = 0
	}
	return freed
}

// markReleasing records that an evicted request will release its charged bytes and returns their
// number. It returns 0 if the request has ended in the meantime and has already released them.
func (m *Memory) markReleasing(c *Conn) int64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.releasing += c.charged - c.releasing
	c.releasing = c.charged
	return c.releasing
}
