// Package workerconn implements a pool of connections to workers. A connection belongs to one
// incarnation of a worker, carries one request at a time, and is closed after any received data
// that is not the response to its request.
package workerconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// The error kinds of connections.
var (
	// ErrNoConnection means that no connection could be opened, and nothing was sent.
	ErrNoConnection = errs.Define("no connection to worker")
	// ErrPoolExhausted means that all connections of the budget are in use, and nothing was sent.
	ErrPoolExhausted = errs.Define("connection budget exhausted")
	// ErrNotSent means that no byte of the request could be written, so it has not run.
	ErrNotSent = errs.Define("request not sent")
	// ErrConnectionBroken means that the request was sent, in part or completely, and may have run.
	ErrConnectionBroken = errs.Define("connection broken")
	// ErrWorkerUnresponsive means that the worker sent nothing in time.
	ErrWorkerUnresponsive = errs.Define("worker unresponsive")
)

// Connection is one connection to one incarnation of a worker.
type Connection struct {
	connection net.Conn
	reader     *bufio.Reader
	worker     *workerConnections
	idleSince  clock.Instant
	idleUntil  clock.Instant
	service    string
	// Reused is true if the connection has carried a request before the current one. IdleFor is how
	// long it was idle between the two.
	Reused  bool
	IdleFor clock.Duration
	closed  atomic.Bool
	// sentRequests records the requests that were sent on the connection.
	sentRequests requestHistory
	// tainted is true if bytes were received that do not belong to the response to the request in
	// flight.
	tainted bool
	// closedLocally is true if this process closed the connection with Close, which is no sign of a
	// failure of the worker.
	closedLocally atomic.Bool
}

// workerConnections contains the connections to one worker: idle those that carry no request, in the
// order in which they became idle, and open the number of all, in use or idle. Pool.lock protects both.
// lastReadAt is when a byte was last read on any of them.
type workerConnections struct {
	idle       []*Connection
	open       int
	lastReadAt atomic.Int64
}

// Pool contains the connections to all workers. It is safe for concurrent use. safeIdleTimes is by
// service.
type Pool struct {
	lock          sync.Mutex
	byWorker      map[string]*workerConnections
	safeIdleTimes map[string]clock.Duration
	// Opened counts the connections that were opened.
	Opened atomic.Int64
	// StaleCount counts idle connections that were reset when they were used again, because the
	// worker had discarded them.
	StaleCount atomic.Int64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{byWorker: map[string]*workerConnections{}, safeIdleTimes: map[string]clock.Duration{}}
}

func (p *Pool) connectionsTo(id string) *workerConnections {
	connections := p.byWorker[id]
	if connections == nil {
		connections = &workerConnections{}
		p.byWorker[id] = connections
	}
	return connections
}

// open opens a connection that the caller has already counted in connections.open. If that fails, it
// reduces the count again.
func (p *Pool) open(worker messages.Worker, connections *workerConnections) (*Connection, error) {
	connection, err := transport.Dial(worker.Address, constants.WorkerDialTimeout, constants.ConnectionTimeout)
	if err != nil {
		p.lock.Lock()
		connections.open--
		p.lock.Unlock()
		return nil, ErrNoConnection.Wrap(err, worker.ID)
	}
	p.Opened.Add(1)
	return &Connection{connection: connection, reader: bufio.NewReaderSize(connection, 4<<10), worker: connections, service: worker.Backend}, nil
}

// Send writes a complete request. attempt is the id that the response echoes.
func (c *Connection) Send(attempt string, text []byte, until clock.Instant) error {
	_ = c.connection.SetWriteDeadline(clock.Deadline(until.Sub(clock.Now())))
	c.sentRequests.add(attempt)
	count, err := c.connection.Write(text)
	switch {
	case err != nil && count == 0:
		return ErrNotSent.Wrap(err, "write request")
	case err != nil:
		return ErrConnectionBroken.Wrap(err, "write request")
	}
	return nil
}

// Taint marks the connection as not reusable, after bytes of the response to another request were
// received.
func (c *Connection) Taint() { c.tainted = true }

// ReadResponse reads the head of a response. Informational responses (1xx) are skipped.
func (c *Connection) ReadResponse(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, ErrConnectionBroken.Wrap(err, "read response head")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// Put returns a connection to the pool after a complete response, or closes it if it may not be used
// again.
func (p *Pool) Put(connection *Connection, resp *http.Response) {
	if !connection.reusable(resp) {
		p.Drop(connection)
		return
	}
	idle := constants.ConnectionIdle
	if keepAlive := parseKeepAliveTimeout(resp.Header.Get("Keep-Alive")); keepAlive > 0 {
		// Expire the connection before the worker closes it, since a request might otherwise be
		// sent on a connection that is being closed.
		idle = min(idle, keepAlive*3/5)
	}
	connection.idleSince = clock.Now()
	connection.idleUntil = connection.idleSince.Add(idle)
	p.lock.Lock()
	defer p.lock.Unlock()
	connection.worker.idle = append(connection.worker.idle, connection)
}

// reusable reports whether another request may be sent on the connection after this response.
// None may be sent after a HEAD request: its response states the length of a body that is not sent, so
// a second response to it could not be distinguished from the body of the next response.
func (c *Connection) reusable(resp *http.Response) bool {
	return !c.closed.Load() && !c.tainted && !resp.Close &&
		c.reader.Buffered() == 0 && resp.Request.Method != http.MethodHead
}

func parseKeepAliveTimeout(header string) clock.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			if err == nil {
				return clock.Milliseconds(float64(seconds) * 1000)
			}
		}
	}
	return 0
}

// Close closes the connection from any goroutine, so that a blocked read returns.
func (c *Connection) Close() {
	c.closedLocally.Store(true)
	c.closeOnce()
}

// ClosedLocally reports whether this process closed the connection with Close.
func (c *Connection) ClosedLocally() bool { return c.closedLocally.Load() }

func (c *Connection) closeOnce() {
	if !c.closed.Swap(true) {
		c.connection.Close()
	}
}

// Drop closes a connection and removes it from the count of open connections. It must be called only
// once for each connection, since each call reduces the count.
func (p *Pool) Drop(connection *Connection) {
	connection.closeOnce()
	p.lock.Lock()
	defer p.lock.Unlock()
	connection.worker.open--
}
