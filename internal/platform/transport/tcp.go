package transport

import (
	"bufio"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// userTimeout is the socket option TCP_USER_TIMEOUT, which the syscall package does not define.
const userTimeout = 0x12

// Dial opens a TCP connection that the kernel closes if sent bytes stay unacknowledged for longer than
// ackTimeout.
func Dial(address string, timeout, ackTimeout clock.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// If the network path is cut no packet comes back, and the kernel closes the connection
			// at this timeout.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeout, int(ackTimeout.Milliseconds()))
		})
	}
	return dialer.Dial("tcp4", address)
}

func dialPeer(address string) (net.Conn, error) {
	return Dial(address, constants.DialTimeout, constants.ConnectionTimeout)
}

// TCP is the Transport over TCP.
type TCP struct {
	ownAddress string
	meter      *Meter
	// lock guards peers, listener, closed and accepted.
	lock          sync.Mutex
	peers         map[string]*peer
	listener      net.Listener
	number        atomic.Uint64
	unknownFrames atomic.Int64
	closed        bool
	// accepted lists the connections opened by callers; Close closes them.
	accepted map[net.Conn]struct{}
	// dial opens a connection to a peer.
	dial func(address string) (net.Conn, error)
}

// NewTCP returns a transport that listens on ownAddress once Serve is called.
func NewTCP(ownAddress string) *TCP {
	w := &TCP{ownAddress: ownAddress, meter: NewMeter(), peers: map[string]*peer{}, accepted: map[net.Conn]struct{}{}, dial: dialPeer}
	// The upper half is random and identifies this incarnation, so that call numbers of an earlier
	// incarnation are not reused.
	w.number.Store(uint64(rand.Uint32()) << incarnationShift)
	return w
}

// incarnationShift is the position of the incarnation in a call number; the lower half is a counter.
const incarnationShift = 32

// Meter returns the meter of the traffic that this process sends and receives.
func (w *TCP) Meter() *Meter { return w.meter }

// UnknownFrames returns how many frames were of an unknown type or kind, or failed with an error of
// the handler.
func (w *TCP) UnknownFrames() int64 { return w.unknownFrames.Load() }

// Serve listens on the own address and passes calls to the handler.
func (w *TCP) Serve(handler Handler) error {
	listener, err := net.Listen("tcp4", w.ownAddress)
	if err != nil {
		return ErrUnreachable.Wrap(err, "listen on "+w.ownAddress)
	}
	w.lock.Lock()
	w.listener = listener
	w.lock.Unlock()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				w.lock.Lock()
				closed := w.closed
				w.lock.Unlock()
				if closed {
					return
				}
				// For example, no file descriptor is left: wait instead of retrying in a busy loop.
				clock.Sleep(constants.BackoffBase)
				continue
			}
			go w.serveConnection(connection, handler)
		}
	}()
	return nil
}

// Address returns the address on which the transport listens. Serve must have been called.
func (w *TCP) Address() string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.listener.Addr().String()
}

// admit registers a caller's connection. It returns false after Close.
func (w *TCP) admit(connection net.Conn) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.closed {
		return false
	}
	w.accepted[connection] = struct{}{}
	return true
}

func (w *TCP) release(connection net.Conn) {
	connection.Close()
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.accepted, connection)
}

func (w *TCP) serveConnection(connection net.Conn, handler Handler) {
	defer w.release(connection)
	if !w.admit(connection) {
		return
	}
	reader := bufio.NewReaderSize(connection, 8<<10)
	caller := connection.RemoteAddr().String()
	var writing sync.Mutex
	last := uint64(0)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		if f.version >= orderedFrameVersion && f.number <= last {
			// A duplicate: the first copy of this frame was already handled.
			continue
		}
		last = f.number
		w.meter.received(f.kind, caller, len(f.body))
		if f.frameType == frameNotification {
			go func() {
				if body, err := handler(f.kind, f.body); err != nil || body == nil {
					w.unknownFrames.Add(1)
				}
			}()
			continue
		}
		if f.frameType != frameRequest {
			w.unknownFrames.Add(1)
			continue
		}
		go func() {
			body, err := handler(f.kind, f.body)
			resp := frame{frameType: frameResponse, kind: f.kind, number: f.number, body: body}
			if err != nil || body == nil {
				w.unknownFrames.Add(1)
				resp.frameType, resp.body = frameRejected, nil
			}
			w.meter.sent(f.kind, caller, len(resp.body))
			writing.Lock()
			defer writing.Unlock()
			_ = connection.SetWriteDeadline(clock.Deadline(constants.BulkCallTimeout))
			if _, err := connection.Write(appendFrame(nil, resp)); err != nil {
				connection.Close()
			}
		}()
	}
}

// Call sends a request and waits for the response.
func (w *TCP) Call(address string, kind messages.Kind, body []byte, timeout clock.Duration) ([]byte, error) {
	return w.peer(address).call(frame{frameType: frameRequest, kind: kind, body: body}, timeout)
}

func (w *TCP) peer(address string) *peer {
	w.lock.Lock()
	defer w.lock.Unlock()
	p := w.peers[address]
	if p == nil {
		p = &peer{address: address, transport: w}
		w.peers[address] = p
	}
	return p
}

// Close closes the listener and all connections.
func (w *TCP) Close() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.closed = true
	if w.listener != nil {
		w.listener.Close()
	}
	for connection := range w.accepted {
		connection.Close()
	}
	for _, peer := range w.peers {
		peer.close()
	}
}
