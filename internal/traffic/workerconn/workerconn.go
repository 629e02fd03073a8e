// Package workerconn keeps the connections to workers. A connection belongs to one incarnation
// of a worker, carries one request at a time, and is dropped after anything that is not
// the response to its request.
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

// The errors of connections.
var (
	// ErrNoConnection means that nothing was sent.
	ErrNoConnection = errs.Define("no connection to worker")
	// ErrPoolExhausted means that nothing was sent, for want of a connection in the budget.
	ErrPoolExhausted = errs.Define("connection budget spent")
	// ErrNotSent means that the connection took no byte of the request, which has not run.
	ErrNotSent = errs.Define("request unsent")
	// ErrConnectionBroken means that the request was sent, in part or completely, and may have run.
	ErrConnectionBroken = errs.Define("connection broken")
	// ErrWorkerUnresponsive means that the worker sent nothing in time.
	ErrWorkerUnresponsive = errs.Define("worker silent")
)

// Connection is one connection to one incarnation of a worker.
type Connection struct {
	connection net.Conn
	reader     *bufio.Reader
	worker     *workerConnections
	idleSince  clock.Instant
	idleUntil  clock.Instant
	backend    string
	// Reused tells that it has carried a request before, and Idle how long it then lay
	// unused.
	Reused bool
	IdleFor   clock.Duration
	closed atomic.Bool
	// sentRequests holds the requests that travelled on it.
	sentRequests requestHistory
	// tainted tells that bytes came that were no response to the request under way.
	tainted bool
	// halted: our own side ended it, which says nothing about the worker.
	closedLocally atomic.Bool
}

type workerConnections struct {
	idle     []*Connection
	open     int
	lastReadAt atomic.Int64
}

// Pool holds the connections to all workers.
type Pool struct {
	lock     sync.Mutex
	byWorker map[string]*workerConnections
	safeIdleTimes     map[string]clock.Duration
	Opened   atomic.Int64
	// StaleCount counts idle connections that turned out to be forgotten by their worker.
	StaleCount atomic.Int64
}

// NewPool makes an empty one.
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

func (p *Pool) open(worker messages.Worker, connections *workerConnections) (*Connection, error) {
	connection, err := transport.Dial(worker.Address, constants.WorkerDial, constants.ConnectionTimeout)
	if err != nil {
		p.lock.Lock()
		connections.open--
		p.lock.Unlock()
		return nil, ErrNoConnection.Wrap(err, worker.ID)
	}
	p.Opened.Add(1)
	return &Connection{connection: connection, reader: bufio.NewReaderSize(connection, 4<<10), worker: connections, backend: worker.Backend}, nil
}

// Send writes a complete request, which is named by the id that its response will echo.
func (c *Connection) Send(attempt string, text []byte, until clock.Instant) error {
	_ = c.connection.SetWriteDeadline(clock.Deadline(until.Sub(clock.Now())))
	c.sentRequests.add(attempt)
	count, err := c.connection.Write(text)
	switch {
	case err != nil && count == 0:
		return ErrNotSent.Wrap(err, "write")
	case err != nil:
		return ErrConnectionBroken.Wrap(err, "write")
	}
	return nil
}

// Taint notes that bytes of another request's response came: the connection is not used again.
func (c *Connection) Taint() { c.tainted = true }

// ReadResponse reads the head of a response.
func (c *Connection) ReadResponse(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, ErrConnectionBroken.Wrap(err, "answer")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// Put puts a connection back after a whole response, if it may be used again.
func (p *Pool) Put(connection *Connection, resp *http.Response) {
	if !connection.reusable(resp) {
		p.Drop(connection)
		return
	}
	idle := constants.ConnectionIdle
	if stated := parseKeepAliveTimeout(resp.Header.Get("Keep-Alive")); stated > 0 {
		// Retire it before the worker does, or a request would meet the end.
		idle = min(idle, stated*3/5)
	}
	connection.idleSince = clock.Now()
	connection.idleUntil = connection.idleSince.Add(idle)
	p.lock.Lock()
	defer p.lock.Unlock()
	connection.worker.idle = append(connection.worker.idle, connection)
}

// reusable tells whether another request may travel on the connection after this answer.
// What a HEAD's answer says of its length is not on the wire, so a second response to it
// could not be told from the next one's body.
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

// Close ends the connection from any side, so that a reader wakes up.
func (c *Connection) Close() {
	c.closedLocally.Store(true)
	c.closeOnce()
}

// Halted tells that it was our own side that ended the connection.
func (c *Connection) Halted() bool { return c.closedLocally.Load() }

func (c *Connection) closeOnce() {
	if !c.closed.Swap(true) {
		c.connection.Close()
	}
}

// Drop ends a connection and takes it out of the budget.
func (p *Pool) Drop(connection *Connection) {
	connection.closeOnce()
	p.lock.Lock()
	defer p.lock.Unlock()
	connection.worker.open--
}
