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
func (trouble Trouble) String() string { return names[trouble] }

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
func (one *Relay) Address() string { return one.listener.Addr().String() }

func (one *Relay) accept() {
	defer one.pumps.Done()
	for {
		near, err := one.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", one.target)
		if err != nil {
			near.Close()
			continue
		}
		one.lock.Lock()
		one.open = append(one.open, near, far)
		if one.over {
			near.Close()
		}
		one.lock.Unlock()
		one.pumps.Add(2)
		go one.pump(near, far, 0)
		go one.pump(far, near, 1)
	}
}

// Arm sets the strike and counts from here.
func (one *Relay) Arm(next *Strike) {
	one.lock.Lock()
	defer one.lock.Unlock()
	one.armed, one.passed, one.kept = next, [2]int{}, nil
}

// Counts tells how many bytes passed in each direction since the relay was armed.
func (one *Relay) Counts() (request, answer int) {
	one.lock.Lock()
	defer one.lock.Unlock()
	return one.passed[0], one.passed[1]
}

// due gives the strike, once, and how much of the bytes passes before it.
func (one *Relay) due(direction int, bytes []byte) (*Strike, int) {
	one.lock.Lock()
	defer one.lock.Unlock()
	before := one.passed[direction]
	one.passed[direction] += len(bytes)
	if one.armed == nil || one.armed.Answer != (direction == 1) {
		return nil, 0
	}
	one.kept = append(one.kept, bytes...)
	if one.passed[direction] < one.armed.At {
		return nil, 0
	}
	struck := one.armed
	one.armed = nil
	return struck, struck.At - before
}

func (one *Relay) pump(from, to net.Conn, direction int) {
	defer one.pumps.Done()
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			struck, allowed := one.due(direction, buffer[:count])
			if struck == nil {
				_, _ = to.Write(buffer[:count])
			} else if !one.befall(struck, from, to, buffer[:count], allowed) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// befall plays a strike; false ends the pump.
func (one *Relay) befall(struck *Strike, from, to net.Conn, bytes []byte, allowed int) bool {
	if struck.Trouble == Double {
		_, _ = to.Write(bytes)
		_, _ = to.Write(one.kept[:struck.At])
		return true
	}
	_, _ = to.Write(bytes[:allowed])
	switch struck.Trouble {
	case Silence:
		<-one.ended
	case Freeze:
		select {
		case <-one.thawed:
		case <-one.ended:
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
func (one *Relay) Thaw() { close(one.thawed) }

// End closes everything in order and waits until all that was under way has arrived.
func (one *Relay) End() {
	one.listener.Close()
	close(one.ended)
	one.lock.Lock()
	one.over = true
	for place, connection := range one.open {
		if place%2 == 0 {
			// Ends the way to the server once what was read has been written.
			connection.Close()
		}
	}
	one.lock.Unlock()
	one.pumps.Wait()
}
