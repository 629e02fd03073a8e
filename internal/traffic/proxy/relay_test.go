package proxy

import (
	"net"
	"sync"
	"testing"
)

// trouble is what befalls the connection between a node and a worker.
type trouble int

const (
	// troubleCut closes both ends in order, and troubleReset with a reset.
	troubleCut trouble = iota
	troubleReset
	// troubleSilence passes nothing on any more.
	troubleSilence
	// troubleFreeze holds the bytes back until the relay is thawed.
	troubleFreeze
	// troubleDouble delivers the bytes so far once more, behind what came with them.
	troubleDouble
	// troubleRestart resets the connections of the node and starts another in its place.
	troubleRestart
)

var troubleNames = [...]string{"cut", "reset", "silence", "freeze", "double", "restart"}

// strike says what happens once so many bytes have passed in one direction.
type strike struct {
	trouble trouble
	answer  bool
	at      int
}

// relay stands between a node and a worker and strikes once, at one byte.
type relay struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	armed    *strike
	passed   [2]int
	kept     []byte
	thawed   chan struct{}
	ended    chan struct{}
	open     []net.Conn
	pumps    sync.WaitGroup
}

func newRelay(test *testing.T, target string) *relay {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		test.Fatal(err)
	}
	one := &relay{listener: listener, target: target, thawed: make(chan struct{}), ended: make(chan struct{})}
	one.pumps.Add(1)
	go one.accept()
	return one
}

func (one *relay) accept() {
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
		one.lock.Unlock()
		one.pumps.Add(2)
		go one.pump(near, far, 0)
		go one.pump(far, near, 1)
	}
}

// arm sets the strike and counts from here.
func (one *relay) arm(next *strike) {
	one.lock.Lock()
	defer one.lock.Unlock()
	one.armed, one.passed, one.kept = next, [2]int{}, nil
}

// counts tells how many bytes passed in each direction since the relay was armed.
func (one *relay) counts() (request, answer int) {
	one.lock.Lock()
	defer one.lock.Unlock()
	return one.passed[0], one.passed[1]
}

// due gives the strike, once, and how much of the bytes passes before it.
func (one *relay) due(direction int, bytes []byte) (*strike, int) {
	one.lock.Lock()
	defer one.lock.Unlock()
	before := one.passed[direction]
	one.passed[direction] += len(bytes)
	if one.armed == nil || one.armed.answer != (direction == 1) {
		return nil, 0
	}
	one.kept = append(one.kept, bytes...)
	if one.passed[direction] < one.armed.at {
		return nil, 0
	}
	struck := one.armed
	one.armed = nil
	return struck, struck.at - before
}

func (one *relay) pump(from, to net.Conn, direction int) {
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
func (one *relay) befall(struck *strike, from, to net.Conn, bytes []byte, allowed int) bool {
	if struck.trouble == troubleDouble {
		_, _ = to.Write(bytes)
		_, _ = to.Write(one.kept[:struck.at])
		return true
	}
	_, _ = to.Write(bytes[:allowed])
	switch struck.trouble {
	case troubleSilence:
		<-one.ended
	case troubleFreeze:
		select {
		case <-one.thawed:
		case <-one.ended:
		}
		_, _ = to.Write(bytes[allowed:])
		return true
	case troubleReset, troubleRestart:
		for _, end := range []net.Conn{from, to} {
			_ = end.(*net.TCPConn).SetLinger(0)
		}
	}
	from.Close()
	return false
}

func (one *relay) thaw() { close(one.thawed) }

// end closes everything in order and waits until all that was under way has arrived.
func (one *relay) end() {
	one.listener.Close()
	close(one.ended)
	one.lock.Lock()
	for place, connection := range one.open {
		if place%2 == 0 {
			// Ends the way to the worker once what was read has been written.
			connection.Close()
		}
	}
	one.lock.Unlock()
	one.pumps.Wait()
}
