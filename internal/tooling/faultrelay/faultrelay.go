// Package faultrelay provides a TCP relay for tests that injects one fault at one byte of one
// connection: it closes or resets the connection, or drops, delays or duplicates bytes.
package faultrelay

import (
	"net"
	"sync"
)

// Fault is a kind of fault on a connection.
type Fault int

// The kinds of faults.
const (
	// Close closes both connections in an orderly way; Reset closes them with a TCP reset.
	Close Fault = iota
	Reset
	// Drop forwards no more bytes in this direction and leaves the connections open.
	Drop
	// Freeze delays the bytes until Thaw is called.
	Freeze
	// Duplicate delivers all bytes up to the fault a second time, after the rest of the read that
	// reached it.
	Duplicate
	// Restart resets the connections as Reset does; the test also restarts the caller.
	Restart
)

var faultNames = [...]string{"cut", "reset", "silence", "freeze", "double", "restart"}

// String returns the name of a fault.
func (f Fault) String() string { return faultNames[f] }

// Faults returns all kinds of faults.
func Faults() []Fault { return []Fault{Close, Reset, Drop, Freeze, Duplicate, Restart} }

// Injection is a fault to inject once a number of bytes has passed in one direction.
type Injection struct {
	Fault Fault
	// Response selects the direction from the server to the caller; false is the direction from
	// the caller to the server.
	Response bool
	// At is the number of bytes, counted from Arm, after which the fault happens.
	At int
}

// Relay forwards connections from callers to a server and injects at most one armed fault.
type Relay struct {
	listener net.Listener
	target   string
	// lock guards pending, forwarded, received, open and closed.
	lock    sync.Mutex
	pending *Injection
	// forwarded counts the bytes since Arm: index 0 those from the caller, 1 those from the server.
	// received contains the bytes since Arm in the direction of the pending fault.
	forwarded [2]int
	received  []byte
	thawed    chan struct{}
	ended     chan struct{}
	// open lists the connections in pairs, the caller's before the server's.
	open []net.Conn
	// closed is set once Close has closed the open connections; a connection that is accepted
	// after that is closed at once.
	closed bool
	pumps  sync.WaitGroup
}

// New starts a relay to a target address. Callers connect to its Address.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{listener: listener, target: target, thawed: make(chan struct{}), ended: make(chan struct{})}
	relay.pumps.Add(1)
	go relay.accept()
	return relay, nil
}

// Address returns the address to which callers connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) accept() {
	defer r.pumps.Done()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", r.target)
		if err != nil {
			caller.Close()
			continue
		}
		r.lock.Lock()
		r.open = append(r.open, caller, server)
		if r.closed {
			caller.Close()
		}
		r.lock.Unlock()
		r.pumps.Add(2)
		go r.pump(caller, server, 0)
		go r.pump(server, caller, 1)
	}
}

// Arm sets the fault to inject and restarts the counting of bytes.
func (r *Relay) Arm(next *Injection) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.pending, r.forwarded, r.received = next, [2]int{}, nil
}

// Counts returns how many bytes have passed in each direction since the relay was armed.
func (r *Relay) Counts() (request, response int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.forwarded[0], r.forwarded[1]
}

// takeDue counts the bytes. If they reach the armed fault, it disarms it and returns it, with the
// number of these bytes to forward before it; otherwise it returns nil.
func (r *Relay) takeDue(direction int, chunk []byte) (*Injection, int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	before := r.forwarded[direction]
	r.forwarded[direction] += len(chunk)
	if r.pending == nil || r.pending.Response != (direction == 1) {
		return nil, 0
	}
	r.received = append(r.received, chunk...)
	if r.forwarded[direction] < r.pending.At {
		return nil, 0
	}
	due := r.pending
	r.pending = nil
	return due, due.At - before
}

// pump forwards bytes in one direction, 0 from the caller and 1 from the server, until the
// connection ends or a fault ends it.
func (r *Relay) pump(from, to net.Conn, direction int) {
	defer r.pumps.Done()
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			due, allowed := r.takeDue(direction, buffer[:count])
			if due == nil {
				_, _ = to.Write(buffer[:count])
			} else if !r.inject(due, from, to, buffer[:count], allowed) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// inject performs a fault. It returns false if the pump has to end.
func (r *Relay) inject(due *Injection, from, to net.Conn, chunk []byte, allowed int) bool {
	if due.Fault == Duplicate {
		_, _ = to.Write(chunk)
		_, _ = to.Write(r.received[:due.At])
		return true
	}
	_, _ = to.Write(chunk[:allowed])
	switch due.Fault {
	case Drop:
		<-r.ended
	case Freeze:
		select {
		case <-r.thawed:
		case <-r.ended:
		}
		_, _ = to.Write(chunk[allowed:])
		return true
	case Reset, Restart:
		for _, connection := range []net.Conn{from, to} {
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
	}
	from.Close()
	return false
}

// Thaw forwards the bytes that Freeze has delayed. It must be called at most once.
func (r *Relay) Thaw() { close(r.thawed) }

// Close closes all connections in an orderly way and waits until the bytes read so far have been
// forwarded. It must be called once.
func (r *Relay) Close() {
	r.listener.Close()
	close(r.ended)
	r.lock.Lock()
	r.closed = true
	for i, connection := range r.open {
		if i%2 == 0 {
			// Closing the caller's connection makes its pump close the server's once the bytes read
			// so far have been written.
			connection.Close()
		}
	}
	r.lock.Unlock()
	r.pumps.Wait()
}
