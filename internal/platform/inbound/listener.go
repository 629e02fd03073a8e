package inbound

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
)

// Listener accepts the connections of clients, up to a maximum number.
type Listener struct {
	net.Listener
	memory *Memory
	// connections is the maximum number of open connections; 0 means no limit.
	connections int

	lock sync.Mutex
	open map[*Conn]struct{}
	// headLimit is the header limit of the configuration, in bytes. A head may be longer by
	// constants.HeadSlack.
	headLimit atomic.Int64
	// evicted counts the evicted connections, rejected the requests and connections that were rejected
	// because a limit was reached, and rejectedDraining the requests that came after Drain.
	evicted, rejected, rejectedDraining atomic.Int64
	// announcing is set by AnnounceClose, draining by Drain.
	announcing, draining atomic.Bool
}

// Listen listens on an address for at most the given number of open connections, 0 for no limit. The
// requests of its connections share the memory limit with those of the process's other listeners.
func Listen(address string, connections int, memory *Memory) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Bytes in the receive buffer use memory as well, so the buffer is bounded. If the
			// system can't bound it, the listener serves anyway.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, constants.ClientReceiveBuffer)
		})
	}}
	listener, err := config.Listen(contexts.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	if connections > 0 {
		boundBacklog(listener, connections)
	}
	return NewListener(listener, connections, memory), nil
}

// boundBacklog limits the accept backlog to the maximum number of open connections, because bytes
// received on connections in the backlog use memory too. If the system can't set the limit, the
// listener serves anyway.
func boundBacklog(listener net.Listener, connections int) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), connections) })
}

// NewListener wraps a listener, whose open connections it counts and limits: connections is the
// maximum number, 0 for no limit. Heads are bounded by constants.HeadLimit until SetHeadLimit is called.
func NewListener(listener net.Listener, connections int, memory *Memory) *Listener {
	l := &Listener{Listener: listener, memory: memory, connections: connections, open: map[*Conn]struct{}{}}
	l.SetHeadLimit(constants.HeadLimit)
	memory.lock.Lock()
	defer memory.lock.Unlock()
	memory.listeners = append(memory.listeners, l)
	return l
}

// SetHeadLimit sets the header limit in bytes; a head may be longer by constants.HeadSlack. It applies
// from the next bytes received.
func (l *Listener) SetHeadLimit(limit int) { l.headLimit.Store(int64(limit)) }

func (l *Listener) headTooLarge(length int64) bool {
	return length > l.headLimit.Load()+constants.HeadSlack
}

// Accept returns the next connection. At the limit it evicts another connection, or rejects the new
// one if none can be evicted. After Drain it returns http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil && l.draining.Load() {
			return nil, http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		connection := newConn(raw, l)
		if l.admit(connection) {
			if l.draining.Load() {
				// Drain may have listed the connections before this one was among them.
				connection.lingerIfIdle()
			}
			return connection, nil
		}
		connection.reject()
	}
}

// admit registers a connection. It returns false at the limit if no connection can be evicted.
func (l *Listener) admit(connection *Conn) bool {
	for {
		l.lock.Lock()
		if l.connections <= 0 || len(l.open) < l.connections {
			l.open[connection] = struct{}{}
			l.lock.Unlock()
			return true
		}
		l.lock.Unlock()
		now := clock.Now()
		chosen := chooseConnection(l.candidates(now), now)
		if chosen == nil {
			return false
		}
		if chosen.connection.evict(chosen) {
			// Its handler may still be running, but the file descriptor is freed at once.
			_ = chosen.connection.abort()
		}
	}
}

func (l *Listener) forget(connection *Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.open, connection)
}

// candidates lists the open connections, except those that are already evicted.
func (l *Listener) candidates(now clock.Instant) []candidate {
	l.lock.Lock()
	defer l.lock.Unlock()
	list := make([]candidate, 0, len(l.open))
	for connection := range l.open {
		if snapshot, available := connection.candidate(now); available {
			list = append(list, snapshot)
		}
	}
	return list
}

func (c *Conn) candidate(now clock.Instant) (snapshot candidate, available bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	snapshot = candidate{connection: c, phase: c.phase, waitingSince: c.waitingSince, recent: c.rate.recent(now), writingSince: c.writeStart()}
	return snapshot, !c.evicted
}

// LogPressure logs one line for each period in which connections were evicted or rejected, until stop
// is closed. listener names the port.
func (l *Listener) LogPressure(log hclog.Logger, listener string, stop <-chan struct{}) {
	evicted, rejected := int64(0), int64(0)
	clock.Every(constants.ClientLogPeriod, stop, func() {
		nowEvicted, nowRejected := l.Evicted(), l.Rejected()
		if nowEvicted == evicted && nowRejected == rejected {
			return
		}
		log.Warn("clients turned away", "listener", listener, "evicted", nowEvicted-evicted, "refused", nowRejected-rejected,
			"open", l.Open(), "held-bytes", l.memory.Used())
		evicted, rejected = nowEvicted, nowRejected
	})
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.open)
}

// Evicted returns the number of connections evicted since the start.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Rejected returns the number of requests and connections rejected since the start because a limit was
// reached.
func (l *Listener) Rejected() int64 { return l.rejected.Load() }
