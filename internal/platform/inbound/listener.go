package inbound

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
)

// Listener takes the connections of clients, up to a number.
type Listener struct {
	net.Listener
	memory *Memory
	// connections is the most that may be open; 0 for no limit.
	connections int

	lock sync.Mutex
	open map[*Conn]struct{}
	// headLimit is how long a head may be, in bytes.
	headLimit atomic.Int64
	// evicted and refused count what had to give way and what found no room.
	evicted, refused atomic.Int64
}

// Listen listens at an address. The requests of its connections share memory with those of other
// listeners of the process.
func Listen(address string, connections int, memory *Memory) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// What has arrived and is not yet read counts as well. A system that can't bound it
			// is no reason not to serve.
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

// boundBacklog lets as many connections wait to be accepted as may be open: what arrives on them
// counts too. A system that can't bound them is no reason not to serve.
func boundBacklog(listener net.Listener, connections int) {
	socket, can := listener.(syscall.Conn)
	if !can {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), connections) })
}

// NewListener counts the connections of a listener. Heads are bounded by constants.HeadLimit until
// SetHeadLimit says otherwise.
func NewListener(listener net.Listener, connections int, memory *Memory) *Listener {
	l := &Listener{Listener: listener, memory: memory, connections: connections, open: map[*Conn]struct{}{}}
	l.SetHeadLimit(constants.HeadLimit)
	memory.lock.Lock()
	defer memory.lock.Unlock()
	memory.listeners = append(memory.listeners, l)
	return l
}

// SetHeadLimit bounds heads, in bytes, from the next bytes on that come.
func (l *Listener) SetHeadLimit(limit int) { l.headLimit.Store(int64(limit)) }

func (l *Listener) outgrowsHead(length int64) bool {
	return length > l.headLimit.Load()+constants.HeadSlack
}

// Accept gives the next connection. Where there are too many, another one is closed for it, or it
// is refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection := newConn(raw, l)
		if l.admit(connection) {
			return connection, nil
		}
		connection.turnAway()
	}
}

// admit notes a connection; false where there are too many and none can be closed.
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
			// Its handler may still be under way; the descriptor is free at once.
			_ = chosen.connection.cut()
		}
	}
}

func (l *Listener) forget(connection *Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.open, connection)
}

// candidates lists the connections that are open, except those that give way already.
func (l *Listener) candidates(now clock.Instant) []candidate {
	l.lock.Lock()
	defer l.lock.Unlock()
	list := make([]candidate, 0, len(l.open))
	for connection := range l.open {
		if entry, available := connection.candidate(now); available {
			list = append(list, entry)
		}
	}
	return list
}

func (c *Conn) candidate(now clock.Instant) (entry candidate, available bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	entry = candidate{connection: c, phase: c.phase, since: c.since, recent: c.rate.recent(now), writingSince: c.answerSince()}
	return entry, !c.evicted
}

// LogPressure writes a line each period in which connections had to give way or found no room, until
// stop closes. listener names the port.
func (l *Listener) LogPressure(log hclog.Logger, listener string, stop <-chan struct{}) {
	evicted, refused := int64(0), int64(0)
	clock.Every(constants.ClientLogPeriod, stop, func() {
		nowEvicted, nowRefused := l.Evicted(), l.Refused()
		if nowEvicted == evicted && nowRefused == refused {
			return
		}
		log.Warn("clients turned away", "listener", listener, "evicted", nowEvicted-evicted, "refused", nowRefused-refused,
			"open", l.Open(), "held-bytes", l.memory.Used())
		evicted, refused = nowEvicted, nowRefused
	})
}

// Open is how many connections are open.
func (l *Listener) Open() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.open)
}

// Evicted is how many connections had to give way.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Refused is how many requests and connections found no room.
func (l *Listener) Refused() int64 { return l.refused.Load() }
