// Package faultrelay is a TCP relay for tests that strikes one connection at one byte:
// it cuts, resets, silences, holds back or doubles what passes.
package faultrelay

import (
	"net"
	"sync"
)

// Trouble is what befalls a connection.
type Trouble int

// The troubles.
const (
	// Cut closes both ends in order, and Reset with a reset.
	Cut Trouble = iota
	Reset
	// Silence passes nothing on any more.
	Silence
	// Freeze holds the bytes back until the relay is thawed.
	Freeze
	// Double delivers the bytes so far once more, behind what came with them.
	Double
	// Restart resets as well; the test starts the caller anew.
	Restart
)

var names = [...]string{"cut", "reset", "silence", "freeze", "double", "restart"}

// String gives the name of a trouble.
func (t Trouble) String() string { return names[t] }

// Troubles lists all of them.
func Troubles() []Trouble { return []Trouble{Cut, Reset, Silence, Freeze, Double, Restart} }

// Strike says what happens once so many bytes have passed in one direction.
type Strike struct {
	Trouble Trouble
	// Answer tells that the bytes are those that come back to the caller.
	Answer bool
	At     int
}

// Relay stands between callers and a server and strikes once, at one byte.
type Relay struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	armed    *Strike
	passed   [2]int
	kept     []byte
	thawed   chan struct{}
	ended    chan struct{}
	open     []net.Conn
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
	one := &Relay{listener: listener, target: target, thawed: make(chan struct{}), ended: make(chan struct{})}
	one.pumps.Add(1)
	go one.accept()
	return one, nil
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
	r.armed, r.passed, r.kept = next, [2]int{}, nil
}

// Counts tells how many bytes passed in each direction since the relay was armed.
func (r *Relay) Counts() (request, answer int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.passed[0], r.passed[1]
}

// due gives the strike, once, and how much of the bytes passes before it.
func (r *Relay) due(direction int, bytes []byte) (*Strike, int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	before := r.passed[direction]
	r.passed[direction] += len(bytes)
	if r.armed == nil || r.armed.Answer != (direction == 1) {
		return nil, 0
	}
	r.kept = append(r.kept, bytes...)
	if r.passed[direction] < r.armed.At {
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
	if struck.Trouble == Double {
		_, _ = to.Write(bytes)
		_, _ = to.Write(r.kept[:struck.At])
		return true
	}
	_, _ = to.Write(bytes[:allowed])
	switch struck.Trouble {
	case Silence:
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
	for place, connection := range r.open {
		if place%2 == 0 {
			// Ends the way to the server once what was read has been written.
			connection.Close()
		}
	}
	r.lock.Unlock()
	r.pumps.Wait()
}
