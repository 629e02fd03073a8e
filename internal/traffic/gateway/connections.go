package gateway

import (
	"net"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// clientConns are the ingress and its clients' connections. They follow the limits of
// the configuration in force, and end without cutting a request.
type clientConns struct {
	net.Listener
	lock sync.Mutex
	open map[*clientConn]struct{}
	// idleTimeout is how long a connection may be idle, and headerTimeout how long a header may take.
	idleTimeout, headerTimeout clock.Duration
	// newestIdleTimeout is the idle time of the newest configuration.
	configuredIdleTimeout clock.Duration
	// newestHeadBytes is the length of heads by the newest configuration.
	configuredHeadBytes int
}

// headLimiter is a listener that bounds heads, in bytes.
type headLimiter interface{ SetHeadLimit(limit int) }

func newClientConns(listener net.Listener, limits routeconfig.Limits) *clientConns {
	entry := &clientConns{Listener: listener, open: map[*clientConn]struct{}{}}
	entry.setLimits(limits)
	return entry
}

// Accept gives the next connection.
func (c *clientConns) Accept() (net.Conn, error) {
	raw, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &clientConn{Conn: raw, owner: c}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.open[connection] = struct{}{}
	return connection, nil
}

func (c *clientConns) remove(connection *clientConn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.open, connection)
}

// list gives the connections that are open.
func (c *clientConns) list() []*clientConn {
	c.lock.Lock()
	defer c.lock.Unlock()
	list := make([]*clientConn, 0, len(c.open))
	for connection := range c.open {
		list = append(list, connection)
	}
	return list
}

// setLimits takes the limits of a newer configuration. Clients go by the one that they
// know, which may be the one before, so the longer time of the two is given; what is idle
// already is given it as well.
func (c *clientConns) setLimits(limits routeconfig.Limits) {
	c.lock.Lock()
	stated := clock.Milliseconds(limits.IdleMs)
	c.idleTimeout, c.configuredIdleTimeout = max(stated, c.configuredIdleTimeout), stated
	c.headerTimeout = clock.Milliseconds(limits.HeaderWaitMs)
	idle := c.idleTimeout
	c.setHeadLimitLocked(limits.HeaderBytes)
	c.lock.Unlock()
	now := clock.Now()
	for _, connection := range c.list() {
		connection.extendIdle(idle, now)
	}
}

// setHeadLimitLocked takes the length of heads of a newer configuration: the longer of the two, for
// the same reason. The lock is held.
func (c *clientConns) setHeadLimitLocked(stated int) {
	if stated <= 0 {
		stated = constants.HeadLimit
	}
	limit := max(stated, c.configuredHeadBytes)
	c.configuredHeadBytes = stated
	if limiter, can := c.Listener.(headLimiter); can {
		limiter.SetHeadLimit(limit)
	}
}

// readTimeout is how long to wait for a client's next bytes.
func (c *clientConns) readTimeout(resting bool) clock.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if resting {
		return c.idleTimeout
	}
	return c.headerTimeout
}

// busy counts the connections on which a request comes or is answered.
func (c *clientConns) busy() int {
	count := 0
	for _, connection := range c.list() {
		if connection.busy() {
			count++
		}
	}
	return count
}

// closeIdle takes no more connections and closes those on which no request has begun to come.
// It tells whether none is left.
func (c *clientConns) closeIdle() bool {
	c.Listener.Close()
	for _, connection := range c.list() {
		connection.closeIdle()
	}
	return c.busy() == 0
}
