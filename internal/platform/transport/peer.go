package transport

import (
	"bufio"
	"net"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// peer is one remote process and the connection to it. Its lock guards the fields after it.
type peer struct {
	address   string
	transport *TCP
	lock      sync.Mutex
	current   *peerConn
	// dialing is the dial in progress, nil if there is none.
	dialing     *dialAttempt
	lastFailure clock.Instant
	closed      bool
}

// dialAttempt is one dial; all callers that wait for it share its outcome.
type dialAttempt struct {
	done chan struct{}
	conn *peerConn
	err  error
}

// peerConn is one connection and its pending calls.
type peerConn struct {
	conn net.Conn
	// writing is locked while a frame is numbered and written; lock guards the fields after it.
	writing      sync.Mutex
	lock         sync.Mutex
	pending      map[uint64]pendingCall
	lastReceived clock.Instant
	closed       bool
}

// pendingCall is a call that waits for its response.
type pendingCall struct {
	kind     messages.Kind
	response chan frame
}

func (p *peer) close() {
	p.lock.Lock()
	current := p.current
	p.current, p.closed = nil, true
	p.lock.Unlock()
	if current != nil {
		current.close()
	}
}

// connect returns the connection and opens it if there is none. It waits until end at most, and never
// for a second dial: otherwise an unreachable peer would block its callers for as many dials as there
// are callers.
func (p *peer) connect(end clock.Instant) (*peerConn, error) {
	p.lock.Lock()
	if p.current != nil {
		defer p.lock.Unlock()
		return p.current, nil
	}
	// After a failed dial the peer is not dialled again by every caller.
	if p.lastFailure != 0 && clock.Now().Sub(p.lastFailure) < constants.StartBackoff/2 {
		defer p.lock.Unlock()
		return nil, ErrUnreachable.New(p.address)
	}
	if p.dialing == nil {
		p.dialing = &dialAttempt{done: make(chan struct{})}
		go p.open(p.dialing)
	}
	attempt := p.dialing
	p.lock.Unlock()
	timer := clock.NewTimer(end.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-timer.C:
		return nil, ErrUnreachable.New(p.address + ": dial timed out")
	}
}

// open dials the peer and publishes the outcome to all callers that wait for the attempt.
func (p *peer) open(attempt *dialAttempt) {
	connection, err := p.transport.dial(p.address)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer close(attempt.done)
	p.dialing = nil
	if err == nil && p.closed {
		connection.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.lastFailure = clock.Now()
		attempt.err = ErrUnreachable.Wrap(err, p.address)
		return
	}
	p.lastFailure = 0
	attempt.conn = &peerConn{conn: connection, pending: map[uint64]pendingCall{}, lastReceived: clock.Now()}
	p.current = attempt.conn
	go p.readLoop(attempt.conn)
}

func (p *peer) readLoop(current *peerConn) {
	reader := bufio.NewReaderSize(current.conn, 8<<10)
	for {
		resp, err := readFrame(reader)
		if err != nil {
			break
		}
		p.transport.meter.received(resp.kind, p.address, len(resp.body))
		if !current.deliver(resp) {
			break
		}
	}
	p.forget(current)
}

// deliver passes a response to the pending call with its number and ignores a response that matches
// none. It returns false if the response's kind differs from the call's, since the connection's data
// can't be trusted any more.
func (l *peerConn) deliver(resp frame) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.lastReceived = clock.Now()
	if resp.frameType != frameResponse && resp.frameType != frameRejected {
		return true
	}
	call, known := l.pending[resp.number]
	if !known {
		return true
	}
	if call.kind != resp.kind {
		return false
	}
	delete(l.pending, resp.number)
	call.response <- resp
	return true
}

func (p *peer) forget(current *peerConn) {
	p.lock.Lock()
	if p.current == current {
		p.current = nil
	}
	p.lock.Unlock()
	current.close()
}

func (l *peerConn) close() {
	l.conn.Close()
	l.lock.Lock()
	defer l.lock.Unlock()
	l.closed = true
	for number, call := range l.pending {
		close(call.response)
		delete(l.pending, number)
	}
}

// register adds a pending call. It returns false if the connection is closed.
func (l *peerConn) register(number uint64, call pendingCall) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed {
		return false
	}
	l.pending[number] = call
	return true
}

// withdraw removes a pending call that timed out, and reports whether nothing at all was received on
// the connection since an instant.
func (l *peerConn) withdraw(number uint64, since clock.Instant) (silent bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.pending, number)
	return l.lastReceived < since
}

// write numbers a frame and sends it, unless end passes while it waits for the lock. The receiver
// relies on increasing numbers, so a frame is numbered and written under one lock. Nothing may be
// written after a partial frame, so a failed write closes the connection before the next writer gets
// the lock. before, if set, is called with the number before the write; false cancels the write.
func (p *peer) write(current *peerConn, outgoing *frame, end clock.Instant, before func(number uint64) bool) error {
	current.writing.Lock()
	defer current.writing.Unlock()
	remaining := end.Sub(clock.Now())
	outgoing.number = p.transport.number.Add(1)
	if remaining <= 0 || (before != nil && !before(outgoing.number)) {
		return ErrUnreachable.New(p.address)
	}
	p.transport.meter.sent(outgoing.kind, p.address, len(outgoing.body))
	_ = current.conn.SetWriteDeadline(clock.Deadline(remaining))
	if _, err := current.conn.Write(appendFrame(make([]byte, 0, headerBytes+len(outgoing.body)), *outgoing)); err != nil {
		p.forget(current)
		return ErrTimeout.Wrap(err, p.address)
	}
	return nil
}

// call sends a request and waits for the response. The timeout includes the dial.
func (p *peer) call(req frame, timeout clock.Duration) ([]byte, error) {
	end := clock.Now().Add(timeout)
	current, err := p.connect(end)
	if err != nil {
		return nil, err
	}
	sentAt := clock.Now()
	pending := pendingCall{kind: req.kind, response: make(chan frame, 1)}
	err = p.write(current, &req, end, func(number uint64) bool { return current.register(number, pending) })
	if err != nil {
		return nil, err
	}
	timer := clock.NewTimer(end.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case resp, open := <-pending.response:
		if !open {
			return nil, ErrTimeout.New(p.address + ": connection closed before the response")
		}
		if resp.frameType != frameResponse {
			return nil, ErrRejected.New(p.address)
		}
		return resp.body, nil
	case <-timer.C:
		if current.withdraw(req.number, sentAt) {
			// Nothing at all was received in this time, so the connection may be broken: the
			// next call opens a new one.
			p.forget(current)
		}
		return nil, ErrTimeout.New(p.address + " did not respond")
	}
}
