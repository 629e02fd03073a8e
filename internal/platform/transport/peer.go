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

func (one *peer) drop() {
	one.lock.Lock()
	current := one.current
	one.current, one.closed = nil, true
	one.lock.Unlock()
	if current != nil {
		current.end()
	}
}

// line gives the connection, and opens it where there is none. It waits until the end at
// most, and never for a second dial: a peer that is out of reach would else hold its
// callers for as many dials as there are of them.
func (one *peer) line(end clock.Moment) (*line, error) {
	one.lock.Lock()
	if one.current != nil {
		defer one.lock.Unlock()
		return one.current, nil
	}
	// A peer that has just been out of reach is not dialled by every caller anew.
	if one.failed != 0 && clock.Now().Since(one.failed) < constants.StartPause/2 {
		defer one.lock.Unlock()
		return nil, Unreached.New(one.address)
	}
	if one.attempt == nil {
		one.attempt = &attempt{done: make(chan struct{})}
		go one.open(one.attempt)
	}
	waited := one.attempt
	one.lock.Unlock()
	timer := clock.NewTimer(end.Since(clock.Now()))
	defer timer.Stop()
	select {
	case <-waited.done:
		return waited.line, waited.err
	case <-timer.C:
		return nil, Unreached.New(one.address + " not dialled in time")
	}
}

// open dials and tells all who wait.
func (one *peer) open(under *attempt) {
	connection, err := one.wire.dial(one.address)
	one.lock.Lock()
	defer one.lock.Unlock()
	defer close(under.done)
	one.attempt = nil
	if err == nil && one.closed {
		connection.Close()
		err = net.ErrClosed
	}
	if err != nil {
		one.failed = clock.Now()
		under.err = Unreached.Wrap(err, one.address)
		return
	}
	one.failed = 0
	under.line = &line{connection: connection, waiting: map[uint64]waiter{}, heard: clock.Now()}
	one.current = under.line
	go one.listen(under.line)
}

func (one *peer) listen(current *line) {
	reader := bufio.NewReaderSize(current.connection, 8<<10)
	for {
		answer, err := readFrame(reader)
		if err != nil {
			break
		}
		one.wire.meter.received(answer.kind, one.address, len(answer.body))
		if !current.deliver(answer) {
			break
		}
	}
	one.forget(current)
}

// deliver hands an answer to the call that it names; what names none is nobody's. False
// means that the line can't be trusted any more.
func (current *line) deliver(answer frame) bool {
	current.lock.Lock()
	defer current.lock.Unlock()
	current.heard = clock.Now()
	if answer.sort != sortAnswer && answer.sort != sortUnknown {
		return true
	}
	waiting, known := current.waiting[answer.number]
	if !known {
		return true
	}
	if waiting.kind != answer.kind {
		return false
	}
	delete(current.waiting, answer.number)
	waiting.answer <- answer
	return true
}

func (one *peer) forget(current *line) {
	one.lock.Lock()
	if one.current == current {
		one.current = nil
	}
	one.lock.Unlock()
	current.end()
}

func (current *line) end() {
	current.connection.Close()
	current.lock.Lock()
	defer current.lock.Unlock()
	current.dead = true
	for number, waiting := range current.waiting {
		close(waiting.answer)
		delete(current.waiting, number)
	}
}

// expect notes a call whose answer is waited for; false where the line has ended.
func (current *line) expect(number uint64, waiting waiter) bool {
	current.lock.Lock()
	defer current.lock.Unlock()
	if current.dead {
		return false
	}
	current.waiting[number] = waiting
	return true
}

// withdraw ends the wait of a call that gives up, and tells whether nothing at all came
// on the line since a moment.
func (current *line) withdraw(number uint64, since clock.Moment) (silent bool) {
	current.lock.Lock()
	defer current.lock.Unlock()
	delete(current.waiting, number)
	return current.heard < since
}

// write numbers a frame and sends it, if its time is not over before its turn comes. The
// receiver counts on rising numbers, so both happen under one lock. After a part of a
// frame nothing may follow: the line ends before the next writer's turn.
func (one *peer) write(current *line, outgoing *frame, end clock.Moment, before func(number uint64) bool) error {
	current.writing.Lock()
	defer current.writing.Unlock()
	left := end.Since(clock.Now())
	outgoing.number = one.wire.number.Add(1)
	if left <= 0 || (before != nil && !before(outgoing.number)) {
		return Unreached.New(one.address)
	}
	one.wire.meter.sent(outgoing.kind, one.address, len(outgoing.body))
	_ = current.connection.SetWriteDeadline(clock.Deadline(left))
	if _, err := current.connection.Write(appendFrame(make([]byte, 0, headBytes+len(outgoing.body)), *outgoing)); err != nil {
		one.forget(current)
		return Unanswered.Wrap(err, one.address)
	}
	return nil
}

// call sends a call and waits for its answer. Its span counts from here, dial included.
func (one *peer) call(question frame, span clock.Span) ([]byte, error) {
	end := clock.Now().Plus(span)
	current, err := one.line(end)
	if err != nil {
		return nil, err
	}
	asked := clock.Now()
	waiting := waiter{kind: question.kind, answer: make(chan frame, 1)}
	err = one.write(current, &question, end, func(number uint64) bool { return current.expect(number, waiting) })
	if err != nil {
		return nil, err
	}
	timer := clock.NewTimer(end.Since(clock.Now()))
	defer timer.Stop()
	select {
	case answer, open := <-waiting.answer:
		if !open {
			return nil, Unanswered.New(one.address + " broke off")
		}
		if answer.sort != sortAnswer {
			return nil, Refused.New(one.address)
		}
		return answer.body, nil
	case <-timer.C:
		if current.withdraw(question.number, asked) {
			// Nothing at all came in this time: the line may be cut, so the next
			// call opens a new one.
			one.forget(current)
		}
		return nil, Unanswered.New(one.address + " silent")
	}
}
