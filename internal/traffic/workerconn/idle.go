package workerconn

import (
	"net"
	"syscall"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Reuse says which idle connections a request may travel on.
type Reuse int

// The choices.
const (
	// ReuseAny: after a reset the request is sent again.
	ReuseAny Reuse = iota
	// ReuseSafe: only one that was idle for a time that is known to be short. A worker
	// may forget an idle connection without closing it, and a request that must not run
	// twice can't be sent again after the reset.
	ReuseSafe
	// ReuseNone: a new one.
	ReuseNone
)

// Get gives an idle connection that still looks sound, or opens one within the budget.
// What bears no id, and an id that has travelled on the connection, takes a new one.
func (p *Pool) Get(worker messages.Worker, budget int, attempt string, reuse Reuse) (*Connection, error) {
	if attempt == "" {
		reuse = ReuseNone
	}
	for {
		p.lock.Lock()
		connections := p.connectionsTo(worker.ID)
		count := len(connections.idle)
		now := clock.Now()
		// The newest idle one is the least likely to have been closed.
		if count == 0 || !p.mayReuse(connections.idle[count-1], attempt, reuse, now) {
			if budget > 0 && connections.open >= budget && count > 0 {
				// The oldest idle one is dropped for it.
				oldest := connections.idle[0]
				connections.idle = append(connections.idle[:0], connections.idle[1:]...)
				p.lock.Unlock()
				p.Drop(oldest)
				continue
			}
			if budget > 0 && connections.open >= budget {
				p.lock.Unlock()
				return nil, ErrPoolExhausted.New(worker.ID)
			}
			connections.open++
			p.lock.Unlock()
			return p.open(worker, connections)
		}
		connection := connections.idle[count-1]
		connections.idle = connections.idle[:count-1]
		p.lock.Unlock()
		connection.IdleFor = now.Sub(connection.idleSince)
		if now < connection.idleUntil && connection.isOpenAndDrained() {
			connection.Reused = true
			return connection, nil
		}
		p.Drop(connection)
	}
}

// mayReuse tells whether a request may travel on an idle connection. The lock is held.
func (p *Pool) mayReuse(connection *Connection, attempt string, reuse Reuse, now clock.Instant) bool {
	switch {
	case reuse == ReuseNone, connection.sentRequests.has(attempt):
		return false
	case reuse == ReuseSafe:
		return now.Sub(connection.idleSince) <= p.safeIdle(connection.backend)
	}
	return true
}

// safeIdle is the time for which a service's connections are known to stay. The lock is held.
func (p *Pool) safeIdle(backend string) clock.Duration {
	if safe, known := p.safeIdleTimes[backend]; known {
		return safe
	}
	return constants.SafeIdle
}

// RecordReuse learns from a connection that still worked after it was idle.
func (p *Pool) RecordReuse(connection *Connection) {
	if !connection.Reused {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	// Half of what was seen to last, and slowly: one forgetful worker is enough.
	if safe := p.safeIdle(connection.backend); connection.IdleFor/2 > safe {
		const slowly = 16
		p.safeIdleTimes[connection.backend] = min(safe+(connection.IdleFor/2-safe)/slowly, constants.SafeIdleMost)
	}
}

// RecordStale learns from a reset on a connection that was idle, before any byte came back.
func (p *Pool) RecordStale(connection *Connection) {
	p.StaleCount.Add(1)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.safeIdleTimes[connection.backend] = max(min(p.safeIdle(connection.backend), connection.IdleFor/2), constants.SafeIdleLeast)
}

// SafeIdle tells the learnt time.
func (p *Pool) SafeIdle(backend string) clock.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.safeIdle(backend)
}

// isOpenAndDrained tells that a connection neither ended nor holds bytes that nobody has read.
func (c *Connection) isOpenAndDrained() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		drained = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && drained
}
