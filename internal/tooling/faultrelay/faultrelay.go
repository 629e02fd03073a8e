// Package faultrelay is a TCP relay for tests that strikes one connection at one byte:
// it closes, resets, drops, holds back or doubles what passes.
package faultrelay

import (
	"net"
	"sync"
)

// Fault is a fault of a connection.
type Fault int

// The faults.
const (
	// Close closes both ends in order, and Reset with a reset.
	Close Fault = iota
	Reset
	// Drop forwards nothing any more.
	Drop
	// Freeze holds the bytes back until the relay is thawed.
	Freeze
	// Double delivers the bytes so far once more, behind what came with them.
	Double
	// Restart resets as well; the test starts the caller anew.
	Restart
)

var names = [...]string{"cut", "reset", "silence", "freeze", "double", "restart"}

// String gives the name of a fault.
func (t Fault) String() string { return names[t] }

// Faults lists all of them.
func Faults() []Fault { return []Fault{Close, Reset, Drop, Freeze, Double, Restart} }

// Strike says what happens once so many bytes have passed in one direction.
type Strike struct {
	Fault Fault
	// Response tells that the bytes are those that come back to the caller.
	Response bool
	At       int
}

// Relay stands between callers and a server and strikes once, at one byte.
type Relay struct {
	listener  net.Listener
	target    string
	lock      sync.Mutex
	armed     *Strike
	forwarded [2]int
	frozen    []byte
	thawed    chan struct{}
	ended     chan struct{}
	open      []net.Conn
	// over tells that End has closed what is open: what is accepted later closes at once.
	over  bool
	pumps sync.WaitGroup
}

// New makes a relay to a target; callers connect to its Address.
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

// Address is where callers connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) accept() {
	defer r.pumps.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", r.target)
		if err != nil {
			near.Close()
			continue
		}
		r.lock.Lock()
		r.open = append(r.open, near, far)
		if r.over {
			near.Close()
		}
		r.lock.Unlock()
		r.pumps.Add(2)
		go r.pump(near, far, 0)
		go r.pump(far, near, 1)
	}
}

// Arm sets the strike and counts from here.
func (r *Relay) Arm(next *Strike) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.armed, r.forwarded, r.frozen = next, [2]int{}, nil
}

// Counts tells how many bytes passed in each direction since the relay was armed.
func (r *Relay) Counts() (request, response int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.forwarded[0], r.forwarded[1]
}

// due gives the strike, once, and how much of the bytes passes before it.
func (r *Relay) due(direction int, bytes []byte) (*Strike, int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	before := r.forwarded[direction]
	r.forwarded[direction] += len(bytes)
	if r.armed == nil || r.armed.Response != (direction == 1) {
		return nil, 0
	}
	r.frozen = append(r.frozen, bytes...)
	if r.forwarded[direction] < r.armed.At {
		return nil, 0
	}
	struck := r.armed
	r.armed = nil
	return struck, struck.At - before
}

func (r *Relay) pump(from, to net.Conn, direction int) {
	defer r.pumps.Done()
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			struck, allowed := r.due(direction, buffer[:count])
			if struck == nil {
				_, _ = to.Write(buffer[:count])
			} else if !r.befall(struck, from, to, buffer[:count], allowed) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// befall plays a strike; false ends the pump.
func (r *Relay) befall(struck *Strike, from, to net.Conn, bytes []byte, allowed int) bool {
	if struck.Fault == Double {
		_, _ = to.Write(bytes)
		_, _ = to.Write(r.frozen[:struck.At])
		return true
	}
	_, _ = to.Write(bytes[:allowed])
	switch struck.Fault {
	case Drop:
		<-r.ended
	case Freeze:
		select {
		case <-r.thawed:
		case <-r.ended:
		}
		_, _ = to.Write(bytes[allowed:])
		return true
	case Reset, Restart:
		for _, end := range []net.Conn{from, to} {
			_ = end.(*net.TCPConn).SetLinger(0)
		}
	}
	from.Close()
	return false
}

// Thaw lets what is held back pass on.
func (r *Relay) Thaw() { close(r.thawed) }

// End closes everything in order and waits until all that was under way has arrived.
func (r *Relay) End() {
	r.listener.Close()
	close(r.ended)
	r.lock.Lock()
	r.over = true
	for i, connection := range r.open {
		if i%2 == 0 {
			// Ends the way to the server once what was read has been written.
			connection.Close()
		}
	}
	r.lock.Unlock()
	r.pumps.Wait()
}
