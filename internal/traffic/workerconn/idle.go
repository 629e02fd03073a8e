package workerconn

import (
	"net"
	"syscall"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Reuse selects the idle connections on which a request may be sent.
type Reuse int

// The values of Reuse.
const (
	// ReuseAny allows any idle connection: the request may be sent again after a reset.
	ReuseAny Reuse = iota
	// ReuseSafe allows only a connection whose idle time is short enough to be safe. A worker may
	// discard its state of an idle connection without closing it, and a request that must not run
	// twice can't be sent again after the resulting reset.
	ReuseSafe
	// ReuseNone requires a new connection.
	ReuseNone
)

// Get returns an idle connection that is still open, or opens one within the budget (0 means no
// limit). A request without an id, and one whose id has already been sent on the idle connection,
// gets a new connection. The errors are ErrPoolExhausted and ErrNoConnection.
func (p *Pool) Get(worker messages.Worker, budget int, attempt string, reuse Reuse) (*Connection, error) {
	if attempt == "" {
		reuse = ReuseNone
	}
	for {
		p.lock.Lock()
		connections := p.connectionsTo(worker.ID)
		count := len(connections.idle)
		now := clock.Now()
		// The connection that became idle last is the least likely to have been closed.
		if count == 0 || !p.mayReuse(connections.idle[count-1], attempt, reuse, now) {
			if budget > 0 && connections.open >= budget && count > 0 {
				// The budget is used up: close the oldest idle connection to open a new one.
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

// mayReuse reports whether a request may be sent on an idle connection. The lock must be held.
func (p *Pool) mayReuse(connection *Connection, attempt string, reuse Reuse, now clock.Instant) bool {
	switch {
	case reuse == ReuseNone, connection.sentRequests.has(attempt):
		return false
	case reuse == ReuseSafe:
		return now.Sub(connection.idleSince) <= p.safeIdle(connection.service)
	}
	return true
}

// safeIdle returns the idle time up to which connections to a service's workers are expected to
// remain usable. The lock must be held.
func (p *Pool) safeIdle(service string) clock.Duration {
	if safe, known := p.safeIdleTimes[service]; known {
		return safe
	}
	return constants.SafeIdle
}

// RecordReuse raises the safe idle time of a service if needed, after a connection that was idle
// still worked.
func (p *Pool) RecordReuse(connection *Connection) {
	if !connection.Reused {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	// Move slowly towards half of the idle time that the connection lasted: a single worker that
	// discards idle connections earlier is enough to cause a reset.
	if safe := p.safeIdle(connection.service); connection.IdleFor/2 > safe {
		const divisor = 16
		p.safeIdleTimes[connection.service] = min(safe+(connection.IdleFor/2-safe)/divisor, constants.SafeIdleMax)
	}
}

// RecordStale lowers the safe idle time of a service after a connection that was idle was reset
// before any byte of the response was received.
func (p *Pool) RecordStale(connection *Connection) {
	p.StaleCount.Add(1)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.safeIdleTimes[connection.service] = max(min(p.safeIdle(connection.service), connection.IdleFor/2), constants.SafeIdleMin)
}

// SafeIdle returns the current safe idle time of a service.
func (p *Pool) SafeIdle(service string) clock.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.safeIdle(service)
}

// isOpenAndDrained reports whether a connection is open and has no unread bytes, in the buffer or
// the socket.
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
