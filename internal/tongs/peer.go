package tongs

import (
	"bufio"
	"net"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// peer is one other process and the connection to it.
type peer struct {
	address string
	wire    *Wire
	dialing sync.Mutex
	lock    sync.Mutex
	current *line
	failed  watch.Moment
}

// line is one connection with the calls that wait on it.
type line struct {
	connection net.Conn
	writing    sync.Mutex
	lock       sync.Mutex
	waiting    map[uint64]chan frame
	heard      watch.Moment
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

func (one *peer) line(span watch.Span) (*line, error) {
	one.lock.Lock()
	current, failed := one.current, one.failed
	one.lock.Unlock()
	if current != nil {
		return current, nil
	}
	// A peer that has just been out of reach is not dialled by every caller anew.
	if failed != 0 && watch.Now().Since(failed) < almanac.StartPause/2 {
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
	connection, failure := Dial(one.address, min(span, almanac.DialTime), almanac.SilentPipe)
	one.lock.Lock()
	defer one.lock.Unlock()
	if failure != nil {
		one.failed = watch.Now()
		return nil, Unreached.Wrap(failure, one.address)
	}
	one.failed = 0
	current = &line{connection: connection, waiting: map[uint64]chan frame{}, heard: watch.Now()}
	one.current = current
	go one.listen(current)
	return current, nil
}

func (one *peer) listen(current *line) {
	reader := bufio.NewReaderSize(current.connection, 8<<10)
	for {
		answer, failure := readFrame(reader)
		if failure != nil {
			break
		}
		one.wire.meter.received(answer.kind, one.address, len(answer.body))
		current.lock.Lock()
		waiter := current.waiting[answer.number]
		delete(current.waiting, answer.number)
		current.heard = watch.Now()
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

func (one *peer) call(question frame, span watch.Span) ([]byte, error) {
	current, failure := one.line(span)
	if failure != nil {
		return nil, failure
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
	begun := watch.Now()
	current.writing.Lock()
	_ = current.connection.SetWriteDeadline(watch.Deadline(span))
	_, failure = current.connection.Write(appendFrame(make([]byte, 0, headBytes+len(question.body)), question))
	current.writing.Unlock()
	if failure != nil {
		one.forget(current)
		return nil, Unanswered.Wrap(failure, one.address)
	}
	timer := watch.NewTimer(span)
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
