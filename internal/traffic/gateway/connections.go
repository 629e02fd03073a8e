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
	idle, head clock.Span
	// stated is the idle time of the newest configuration.
	stated clock.Span
}

func newConnections(listener net.Listener, limits routeconfig.Limits) *connections {
	one := &connections{Listener: listener, open: map[*patientConnection]struct{}{}}
	one.setLimits(limits)
	return one
}

// Accept gives the next connection.
func (one *connections) Accept() (net.Conn, error) {
	raw, err := one.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &patientConnection{Conn: raw, owner: one}
	one.lock.Lock()
	defer one.lock.Unlock()
	one.open[connection] = struct{}{}
	return connection, nil
}

func (one *connections) forget(connection *patientConnection) {
	one.lock.Lock()
	defer one.lock.Unlock()
	delete(one.open, connection)
}

// list gives the connections that are open.
func (one *connections) list() []*patientConnection {
	one.lock.Lock()
	defer one.lock.Unlock()
	list := make([]*patientConnection, 0, len(one.open))
	for connection := range one.open {
		list = append(list, connection)
	}
	return list
}

// setLimits takes the limits of a newer configuration. Clients go by the one that they
// know, which may be the one before, so the longer time of the two is given; what rests
// already is given it as well.
func (one *connections) setLimits(limits routeconfig.Limits) {
	one.lock.Lock()
	stated := clock.Milliseconds(limits.IdleMs)
	one.idle, one.stated = max(stated, one.stated), stated
	one.head = clock.Milliseconds(limits.HeaderWaitMs)
	idle := one.idle
	one.lock.Unlock()
	now := clock.Now()
	for _, connection := range one.list() {
		connection.extend(idle, now)
	}
}

// patience is how long to wait for a client's next bytes.
func (one *connections) patience(resting bool) clock.Span {
	one.lock.Lock()
	defer one.lock.Unlock()
	if resting {
		return one.idle
	}
	return one.head
}

// busy counts the connections on which a request comes or is answered.
func (one *connections) busy() int {
	count := 0
	for _, connection := range one.list() {
		if connection.busy() {
			count++
		}
	}
	return count
}

// end takes no more connections and closes those on which no request has begun to come.
// It tells whether none is left.
func (one *connections) end() bool {
	one.Listener.Close()
	for _, connection := range one.list() {
		connection.endResting()
	}
	return one.busy() == 0
}
