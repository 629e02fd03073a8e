package gateway

import (
	"net"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
)

// connections are the ingress and its clients' connections. They follow the limits of
// the configuration in force, and end without cutting a request.
type connections struct {
	net.Listener
	lock sync.Mutex
	open map[*patientConnection]struct{}
	// idle is how long a connection may rest, and head how long a head may take.
	idle, head clock.Duration
	// stated is the idle time of the newest configuration.
	stated clock.Duration
}

func newConnections(listener net.Listener, limits routeconfig.Limits) *connections {
	one := &connections{Listener: listener, open: map[*patientConnection]struct{}{}}
	one.setLimits(limits)
	return one
}

// Accept gives the next connection.
func (c *connections) Accept() (net.Conn, error) {
	raw, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &patientConnection{Conn: raw, owner: c}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.open[connection] = struct{}{}
	return connection, nil
}

func (c *connections) forget(connection *patientConnection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.open, connection)
}

// list gives the connections that are open.
func (c *connections) list() []*patientConnection {
	c.lock.Lock()
	defer c.lock.Unlock()
	list := make([]*patientConnection, 0, len(c.open))
	for connection := range c.open {
		list = append(list, connection)
	}
	return list
}

// setLimits takes the limits of a newer configuration. Clients go by the one that they
// know, which may be the one before, so the longer time of the two is given; what rests
// already is given it as well.
func (c *connections) setLimits(limits routeconfig.Limits) {
	c.lock.Lock()
	stated := clock.Milliseconds(limits.IdleMs)
	c.idle, c.stated = max(stated, c.stated), stated
	c.head = clock.Milliseconds(limits.HeaderWaitMs)
	idle := c.idle
	c.lock.Unlock()
	now := clock.Now()
	for _, connection := range c.list() {
		connection.extend(idle, now)
	}
}

// patience is how long to wait for a client's next bytes.
func (c *connections) patience(resting bool) clock.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if resting {
		return c.idle
	}
	return c.head
}

// busy counts the connections on which a request comes or is answered.
func (c *connections) busy() int {
	count := 0
	for _, connection := range c.list() {
		if connection.busy() {
			count++
		}
	}
	return count
}

// end takes no more connections and closes those on which no request has begun to come.
// It tells whether none is left.
func (c *connections) end() bool {
	c.Listener.Close()
	for _, connection := range c.list() {
		connection.endResting()
	}
	return c.busy() == 0
}
