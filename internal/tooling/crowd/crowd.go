// Package crowd simulates misbehaving clients of one listener of a real process: incomplete bodies
// on connections that stay open, bodies above the limit, chunks of one byte, incomplete heads and
// connections that send nothing. It also measures the resources that the process uses meanwhile.
package crowd

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
)

// ErrInvalidCrowd is the kind of the errors of NewWatch: an invalid address, or a process whose status
// can't be read.
var ErrInvalidCrowd = errs.Define("crowd")

const (
	// dialTimeout bounds one connection attempt of a member.
	dialTimeout = 2 * time.Second
	// settleTimeout is the time after which a member starts no further round, and the time that it has
	// in each round to send its request, so that it is settled in time even if the process reads slowly.
	settleTimeout = 8 * time.Second
	// statusNone is counted for a connection that ended without a status line.
	statusNone = 0
)

// Crowd is a number of clients that all send the same kind of request to one address. Set the
// exported fields before Start.
type Crowd struct {
	// Address is the listener's address, host:port.
	Address string
	// Members is the number of clients, each with one connection at a time.
	Members int
	// Rounds is how often a member reconnects after its connection has ended; 0 is never.
	Rounds int
	// Request is the request that each member sends.
	Request Request

	// lock guards open, closed and statuses.
	lock     sync.Mutex
	open     map[net.Conn]struct{}
	closed   bool
	statuses map[int]int
	settled  sync.WaitGroup
	ended    sync.WaitGroup
}

// Start starts the members; each connects and sends independently of the others.
func (c *Crowd) Start() {
	c.open, c.statuses = map[net.Conn]struct{}{}, map[int]int{}
	for number := range c.Members {
		c.settled.Add(1)
		c.ended.Add(1)
		go func() {
			defer c.ended.Done()
			c.runMember(number)
		}()
	}
}

// AwaitSettled waits until every member is settled, at most 2*settleTimeout. If the request sets
// StayOpen, a member is settled once it has sent the request, or the part that the process read
// within settleTimeout, and keeps its connection; a member that fails to send it, or does not stay
// open, is settled after its last round.
func (c *Crowd) AwaitSettled() {
	settled := make(chan struct{})
	go func() {
		c.settled.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-clock.After(2 * settleTimeout):
	}
}

// Close closes all connections and waits until the members have ended.
func (c *Crowd) Close() {
	c.lock.Lock()
	c.closed = true
	for connection := range c.open {
		connection.Close()
	}
	c.lock.Unlock()
	c.ended.Wait()
}

// Open returns the number of connections that the process has not closed.
func (c *Crowd) Open() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.open)
}

// Statuses returns the number of responses by status code; 0 counts the connections that ended
// without one. Responses and ends of connections after Close are not counted.
func (c *Crowd) Statuses() map[int]int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return maps.Clone(c.statuses)
}

// runMember connects, sends the request and waits for the end of the connection. It repeats this up
// to Rounds times, but starts no round after settleTimeout.
func (c *Crowd) runMember(number int) {
	settled := sync.OnceFunc(c.settled.Done)
	defer settled()
	end := clock.Now().Add(settleTimeout)
	for round := 0; round <= c.Rounds && clock.Now() < end; round++ {
		connection, err := net.DialTimeout("tcp4", c.Address, dialTimeout)
		if err != nil || !c.addConnection(connection) {
			if err == nil {
				connection.Close()
			}
			continue
		}
		c.exchange(connection, number, round, settled)
		c.removeConnection(connection)
	}
}

// exchange sends one request and reads until the connection ends.
func (c *Crowd) exchange(connection net.Conn, number, round int, settled func()) {
	_ = connection.SetWriteDeadline(clock.Deadline(settleTimeout))
	if !c.Request.StayOpen {
		_ = connection.SetReadDeadline(clock.Deadline(settleTimeout))
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.readResponses(connection)
	}()
	err := c.Request.write(connection, strconv.Itoa(number)+"-"+strconv.Itoa(round))
	if c.Request.StayOpen && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		settled()
		c.Request.trickle(connection, ended)
	}
	<-ended
}

// readResponses counts the responses on a connection until it ends.
func (c *Crowd) readResponses(connection net.Conn) {
	reader := bufio.NewReader(connection)
	status := statusNone
	for {
		line, err := reader.ReadString('\n')
		if fields := strings.Fields(line); len(fields) > 1 && strings.HasPrefix(line, "HTTP/1.1 ") {
			status, _ = strconv.Atoi(fields[1])
			c.count(status)
			if !c.Request.StayOpen {
				// A member that does not stay open closes its connection after the response.
				connection.Close()
			}
		}
		if err != nil {
			if status == statusNone {
				c.count(statusNone)
			}
			return
		}
	}
}

func (c *Crowd) count(status int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.closed {
		c.statuses[status]++
	}
}

// addConnection adds a connection to the open ones. It returns false if the crowd is closed.
func (c *Crowd) addConnection(connection net.Conn) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.closed {
		c.open[connection] = struct{}{}
	}
	return !c.closed
}

func (c *Crowd) removeConnection(connection net.Conn) {
	connection.Close()
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.open, connection)
}
