package transport

import (
	"bufio"
	"net"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// peer is one other process and the connection to it.
type peer struct {
	address string
	wire    *Wire
	lock    sync.Mutex
	current *line
	// attempt is the dial under way, if any.
	attempt *attempt
	failed  clock.Moment
	closed  bool
}

// attempt is one dial, whose outcome all who wait for it take.
type attempt struct {
	done chan struct{}
	line *line
	err  error
}

// line is one connection with the calls that wait on it.
type line struct {
	connection net.Conn
	writing    sync.Mutex
	lock       sync.Mutex
	waiting    map[uint64]waiter
	heard      clock.Moment
	dead       bool
}

// waiter is a call that waits for its answer.
type waiter struct {
	kind   messages.Kind
	answer chan frame
}

func (p *peer) drop() {
	p.lock.Lock()
	current := p.current
	p.current, p.closed = nil, true
	p.lock.Unlock()
	if current != nil {
		current.end()
	}
}

// line gives the connection, and opens it where there is none. It waits until the end at
// most, and never for a second dial: a peer that is out of reach would else hold its
// callers for as many dials as there are of them.
func (p *peer) line(end clock.Moment) (*line, error) {
	p.lock.Lock()
	if p.current != nil {
		defer p.lock.Unlock()
		return p.current, nil
	}
	// A peer that has just been out of reach is not dialled by every caller anew.
	if p.failed != 0 && clock.Now().Since(p.failed) < constants.StartPause/2 {
		defer p.lock.Unlock()
		return nil, Unreached.New(p.address)
	}
	if p.attempt == nil {
		p.attempt = &attempt{done: make(chan struct{})}
		go p.open(p.attempt)
	}
	waited := p.attempt
	p.lock.Unlock()
	timer := clock.NewTimer(end.Since(clock.Now()))
	defer timer.Stop()
	select {
	case <-waited.done:
		return waited.line, waited.err
	case <-timer.C:
		return nil, Unreached.New(p.address + " not dialled in time")
	}
}

// open dials and tells all who wait.
func (p *peer) open(under *attempt) {
	connection, err := p.wire.dial(p.address)
	p.lock.Lock()
	defer p.lock.Unlock()
	defer close(under.done)
	p.attempt = nil
	if err == nil && p.closed {
		connection.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.failed = clock.Now()
		under.err = Unreached.Wrap(err, p.address)
		return
	}
	p.failed = 0
	under.line = &line{connection: connection, waiting: map[uint64]waiter{}, heard: clock.Now()}
	p.current = under.line
	go p.listen(under.line)
}

func (p *peer) listen(current *line) {
	reader := bufio.NewReaderSize(current.connection, 8<<10)
	for {
		answer, err := readFrame(reader)
		if err != nil {
			break
		}
		p.wire.meter.received(answer.kind, p.address, len(answer.body))
		if !current.deliver(answer) {
			break
		}
	}
	p.forget(current)
}

// deliver hands an answer to the call that it names; what names none is nobody's. False
// means that the line can't be trusted any more.
func (l *line) deliver(answer frame) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.heard = clock.Now()
	if answer.sort != sortAnswer && answer.sort != sortUnknown {
		return true
	}
	waiting, known := l.waiting[answer.number]
	if !known {
		return true
	}
	if waiting.kind != answer.kind {
		return false
	}
	delete(l.waiting, answer.number)
	waiting.answer <- answer
	return true
}

func (p *peer) forget(current *line) {
	p.lock.Lock()
	if p.current == current {
		p.current = nil
	}
	p.lock.Unlock()
	current.end()
}

func (l *line) end() {
	l.connection.Close()
	l.lock.Lock()
	defer l.lock.Unlock()
	l.dead = true
	for number, waiting := range l.waiting {
		close(waiting.answer)
		delete(l.waiting, number)
	}
}

// expect notes a call whose answer is waited for; false where the line has ended.
func (l *line) expect(number uint64, waiting waiter) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.dead {
		return false
	}
	l.waiting[number] = waiting
	return true
}

// withdraw ends the wait of a call that gives up, and tells whether nothing at all came
// on the line since a moment.
func (l *line) withdraw(number uint64, since clock.Moment) (silent bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.waiting, number)
	return l.heard < since
}

// write numbers a frame and sends it, if its time is not over before its turn comes. The
// receiver counts on rising numbers, so both happen under one lock. After a part of a
// frame nothing may follow: the line ends before the next writer's turn.
func (p *peer) write(current *line, outgoing *frame, end clock.Moment, before func(number uint64) bool) error {
	current.writing.Lock()
	defer current.writing.Unlock()
	left := end.Since(clock.Now())
	outgoing.number = p.wire.number.Add(1)
	if left <= 0 || (before != nil && !before(outgoing.number)) {
		return Unreached.New(p.address)
	}
	p.wire.meter.sent(outgoing.kind, p.address, len(outgoing.body))
	_ = current.connection.SetWriteDeadline(clock.Deadline(left))
	if _, err := current.connection.Write(appendFrame(make([]byte, 0, headBytes+len(outgoing.body)), *outgoing)); err != nil {
		p.forget(current)
		return Unanswered.Wrap(err, p.address)
	}
	return nil
}

// call sends a call and waits for its answer. Its span counts from here, dial included.
func (p *peer) call(question frame, span clock.Span) ([]byte, error) {
	end := clock.Now().Plus(span)
	current, err := p.line(end)
	if err != nil {
		return nil, err
	}
	asked := clock.Now()
	waiting := waiter{kind: question.kind, answer: make(chan frame, 1)}
	err = p.write(current, &question, end, func(number uint64) bool { return current.expect(number, waiting) })
	if err != nil {
		return nil, err
	}
	timer := clock.NewTimer(end.Since(clock.Now()))
	defer timer.Stop()
	select {
	case answer, open := <-waiting.answer:
		if !open {
			return nil, Unanswered.New(p.address + " broke off")
		}
		if answer.sort != sortAnswer {
			return nil, Refused.New(p.address)
		}
		return answer.body, nil
	case <-timer.C:
		if current.withdraw(question.number, asked) {
			// Nothing at all came in this time: the line may be cut, so the next
			// call opens a new one.
			p.forget(current)
		}
		return nil, Unanswered.New(p.address + " silent")
	}
}
