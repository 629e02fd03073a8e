package transport

import (
	"bufio"
	"net"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// peer is one other process and the connection to it.
type peer struct {
	address string
	wire    *Wire
	dialing sync.Mutex
	lock    sync.Mutex
	current *line
	failed  clock.Moment
}

// line is one connection with the calls that wait on it.
type line struct {
	connection net.Conn
	writing    sync.Mutex
	lock       sync.Mutex
	waiting    map[uint64]chan frame
	heard      clock.Moment
	dead       bool
}

func (one *peer) drop() {
	one.lock.Lock()
	current := one.current
	one.current = nil
	one.lock.Unlock()
	if current != nil {
		current.end()
	}
}

func (one *peer) line(span clock.Span) (*line, error) {
	one.lock.Lock()
	current, failed := one.current, one.failed
	one.lock.Unlock()
	if current != nil {
		return current, nil
	}
	// A peer that has just been out of reach is not dialled by every caller anew.
	if failed != 0 && clock.Now().Since(failed) < constants.StartPause/2 {
		return nil, Unreached.New(one.address)
	}
	one.dialing.Lock()
	defer one.dialing.Unlock()
	one.lock.Lock()
	current = one.current
	one.lock.Unlock()
	if current != nil {
		return current, nil
	}
	connection, err := Dial(one.address, min(span, constants.DialTime), constants.SilentConnection)
	one.lock.Lock()
	defer one.lock.Unlock()
	if err != nil {
		one.failed = clock.Now()
		return nil, Unreached.Wrap(err, one.address)
	}
	one.failed = 0
	current = &line{connection: connection, waiting: map[uint64]chan frame{}, heard: clock.Now()}
	one.current = current
	go one.listen(current)
	return current, nil
}

func (one *peer) listen(current *line) {
	reader := bufio.NewReaderSize(current.connection, 8<<10)
	for {
		answer, err := readFrame(reader)
		if err != nil {
			break
		}
		one.wire.meter.received(answer.kind, one.address, len(answer.body))
		current.lock.Lock()
		waiter := current.waiting[answer.number]
		delete(current.waiting, answer.number)
		current.heard = clock.Now()
		current.lock.Unlock()
		if waiter != nil {
			waiter <- answer
		}
	}
	one.forget(current)
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
	for number, waiter := range current.waiting {
		close(waiter)
		delete(current.waiting, number)
	}
}

func (one *peer) call(question frame, span clock.Span) ([]byte, error) {
	current, err := one.line(span)
	if err != nil {
		return nil, err
	}
	waiter := make(chan frame, 1)
	current.lock.Lock()
	if current.dead {
		current.lock.Unlock()
		return nil, Unreached.New(one.address)
	}
	current.waiting[question.number] = waiter
	current.lock.Unlock()
	one.wire.meter.sent(question.kind, one.address, len(question.body))
	begun := clock.Now()
	current.writing.Lock()
	_ = current.connection.SetWriteDeadline(clock.Deadline(span))
	_, err = current.connection.Write(appendFrame(make([]byte, 0, headBytes+len(question.body)), question))
	current.writing.Unlock()
	if err != nil {
		one.forget(current)
		return nil, Unanswered.Wrap(err, one.address)
	}
	timer := clock.NewTimer(span)
	defer timer.Stop()
	select {
	case answer, open := <-waiter:
		if !open {
			return nil, Unanswered.New(one.address + " broke off")
		}
		if answer.sort != sortAnswer {
			return nil, Refused.New(one.address)
		}
		return answer.body, nil
	case <-timer.C:
		current.lock.Lock()
		delete(current.waiting, question.number)
		silent := current.heard < begun
		current.lock.Unlock()
		if silent {
			// Nothing at all came in this time: the line may be cut, so the next
			// call opens a new one.
			one.forget(current)
		}
		return nil, Unanswered.New(one.address + " silent")
	}
}
