// Package crowd plays clients that don't behave against one listener of a real process: bodies
// that stop short of their end and stay open, bodies over every limit, chunks of one byte, heads
// without an end, connections that say nothing. It also watches what they cost that process.
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

// ErrInvalidCrowd is the error of a crowd that can't be played.
var ErrInvalidCrowd = errs.Define("crowd")

const (
	// dialTimeout bounds one connection attempt of a member.
	dialTimeout = 2 * time.Second
	// settleTimeout is how long a member goes on trying to send, however slowly it is read.
	settleTimeout = 8 * time.Second
	// statusNone is recorded where a connection ended without a status line.
	statusNone = 0
)

// Crowd is a number of clients that all send the same kind of request to one address.
type Crowd struct {
	// Address is the listener, host and port.
	Address string
	// Members is how many clients there are, each with one connection at a time.
	Members int
	// Rounds is how often a member connects again after its connection has ended; 0 for never.
	Rounds int
	// Request is what each of them sends.
	Request Request

	lock     sync.Mutex
	open     map[net.Conn]struct{}
	closed   bool
	statuses map[int]int
	settled  sync.WaitGroup
	ended    sync.WaitGroup
}

// Start connects the members; each sends on its own.
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

// AwaitSettled waits until every member has sent what it wants to send, or was refused each
// time, for a bounded time. Members that stay open still do.
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

// Close ends all connections.
func (c *Crowd) Close() {
	c.lock.Lock()
	c.closed = true
	for connection := range c.open {
		connection.Close()
	}
	c.lock.Unlock()
	c.ended.Wait()
}

// Open counts the connections that the other side has not ended.
func (c *Crowd) Open() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.open)
}

// Statuses counts the answers by status; 0 stands for a connection that ended without one.
func (c *Crowd) Statuses() map[int]int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return maps.Clone(c.statuses)
}

// play is one member's life: a connection, and further ones where it is refused.
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

// exchange sends one request and stays until the other side ends the connection.
func (c *Crowd) exchange(connection net.Conn, number, round int, settled func()) {
	_ = connection.SetWriteDeadline(clock.Deadline(settleTimeout))
	if !c.Request.StayOpen {
		_ = connection.SetReadDeadline(clock.Deadline(settleTimeout))
	}
	over := make(chan struct{})
	go func() {
		defer close(over)
		c.readResponses(connection)
	}()
	err := c.Request.write(connection, strconv.Itoa(number)+"-"+strconv.Itoa(round))
	if c.Request.StayOpen && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		settled()
		c.Request.trickle(connection, over)
	}
	<-over
}

// readAnswers counts the answers of a connection until it ends.
func (c *Crowd) readResponses(connection net.Conn) {
	reader := bufio.NewReader(connection)
	status := statusNone
	for {
		line, err := reader.ReadString('\n')
		if fields := strings.Fields(line); len(fields) > 1 && strings.HasPrefix(line, "HTTP/1.1 ") {
			status, _ = strconv.Atoi(fields[1])
			c.count(status)
			if !c.Request.StayOpen {
				// The answer is all that this member wanted.
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

// admit notes a connection; false once the crowd is closed.
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
