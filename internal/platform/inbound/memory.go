package inbound

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Memory is what the requests of all listeners of a process may hold together.
type Memory struct {
	// limit is in bytes; 0 for none.
	limit int64

	lock sync.Mutex
	used int64
	// leaving is the part of used whose requests had to give way and will end.
	leaving int64
	// released closes when a request gives bytes back.
	released  chan struct{}
	listeners []*Listener
}

// NewMemory makes an empty one; limit is in bytes, 0 for none.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, released: make(chan struct{})}
}

// Used is how many bytes are held.
func (m *Memory) Used() int64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.used
}

// reserve counts bytes for a connection's request; false where there is no room for them. Where
// there is none, requests that are still coming give way: slow ones, and those that hold much more
// than this one wants in all. That takes them a moment, which is waited for.
func (m *Memory) reserve(c *Conn, count, wanted int64) bool {
	end := clock.Now().Add(constants.ClientRoomTimeout)
	for {
		done, missing, released := m.take(c, count)
		if done {
			return true
		}
		if missing > 0 && !m.makeRoom(c, missing, wanted) {
			return false
		}
		select {
		case <-released:
		case <-clock.After(end.Sub(clock.Now())):
			return false
		}
	}
}

// take counts the bytes if there is room. Else it tells how many bytes are missing beyond those
// that will be given back anyway, and what closes when some are.
func (m *Memory) take(c *Conn, count int64) (done bool, missing int64, released <-chan struct{}) {
	m.lock.Lock()
	defer m.lock.Unlock()
	// A single request inside the limits is served whatever it holds.
	if m.limit <= 0 || m.used+count <= m.limit || m.used == c.charged {
		m.used += count
		c.charged += count
		return true, 0, nil
	}
	return false, m.used + count - m.limit - m.leaving, m.released
}

// release gives back all that a connection's request holds.
func (m *Memory) release(c *Conn) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if c.charged == 0 {
		return
	}
	m.used -= c.charged
	m.leaving -= c.leaving
	c.charged, c.leaving = 0, 0
	close(m.released)
	m.released = make(chan struct{})
}

// makeRoom makes requests give way until they hold as much as is missing; false where none can.
func (m *Memory) makeRoom(c *Conn, missing, wanted int64) bool {
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
			candidates[i].phase = phaseServing
		}
	}
	m.lock.Unlock()
	freed := false
	for missing > 0 {
		chosen := chooseHolder(candidates, wanted, now)
		if chosen == nil {
			break
		}
		if chosen.connection.evict(chosen) {
			missing -= m.markLeaving(chosen.connection)
			freed = true
		}
		chosen.charged = 0
	}
	return freed
}

// markLeaving notes that a request will give back what it holds, and tells how much that is; one that
// has ended since has given it back.
func (m *Memory) markLeaving(c *Conn) int64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.leaving += c.charged - c.leaving
	c.leaving = c.charged
	return c.leaving
}
