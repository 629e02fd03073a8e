package gateway

import (
	"net"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// clientConns is the ingress listener with its open client connections. It applies the limits of the
// current configuration to them.
type clientConns struct {
	net.Listener
	lock sync.Mutex
	open map[*clientConn]struct{}
	// idleTimeout is how long a connection may be idle, and headerTimeout how long receiving a header may
	// take.
	idleTimeout, headerTimeout clock.Duration
	// configuredIdleTimeout is the idle timeout of the newest configuration alone.
	configuredIdleTimeout clock.Duration
	// configuredHeadBytes is the maximum length of a request head, in bytes, of the newest configuration
	// alone.
	configuredHeadBytes int
}

// headLimiter is implemented by a listener that limits the length of request heads, in bytes.
type headLimiter interface{ SetHeadLimit(limit int) }

func newClientConns(listener net.Listener, limits routeconfig.Limits) *clientConns {
	conns := &clientConns{Listener: listener, open: map[*clientConn]struct{}{}}
	conns.setLimits(limits)
	return conns
}

// Accept waits for the next connection and returns it.
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

// connections returns the open connections.
func (c *clientConns) connections() []*clientConn {
	c.lock.Lock()
	defer c.lock.Unlock()
	list := make([]*clientConn, 0, len(c.open))
	for connection := range c.open {
		list = append(list, connection)
	}
	return list
}

// setLimits applies the limits of a newer configuration. Clients use the idle timeout of the
// configuration that they know, which may be the previous one, so the longer of the two is applied, also
// to connections that are already idle.
func (c *clientConns) setLimits(limits routeconfig.Limits) {
	c.lock.Lock()
	configured := clock.Milliseconds(limits.IdleMs)
	c.idleTimeout, c.configuredIdleTimeout = max(configured, c.configuredIdleTimeout), configured
	c.headerTimeout = clock.Milliseconds(limits.HeaderWaitMs)
	idle := c.idleTimeout
	c.setHeadLimitLocked(limits.HeaderBytes)
	c.lock.Unlock()
	now := clock.Now()
	for _, connection := range c.connections() {
		connection.extendIdle(idle, now)
	}
}

// setHeadLimitLocked applies the maximum head length of a newer configuration. The longer of this and
// the previous one is applied, since clients may know only the previous configuration. The caller must
// hold the lock.
func (c *clientConns) setHeadLimitLocked(configured int) {
	if configured <= 0 {
		configured = constants.HeadLimit
	}
	limit := max(configured, c.configuredHeadBytes)
	c.configuredHeadBytes = configured
	if limiter, ok := c.Listener.(headLimiter); ok {
		limiter.SetHeadLimit(limit)
	}
}

// readTimeout returns how long to wait for the next bytes from a client: the idle timeout between requests,
// otherwise the header timeout.
func (c *clientConns) readTimeout(idle bool) clock.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if idle {
		return c.idleTimeout
	}
	return c.headerTimeout
}
