package configserver

import (
	"sync"

	"lemonarch/internal/platform/messages"
)

// sharedRead lets those that ask for the register at one time share a read: after a
// loss of power the whole fleet asks at once. A read that was under way when somebody
// came may be older than the request, so joiners wait for the next one.
type sharedRead struct {
	lock sync.Mutex
	next *readRound
	busy bool
}

type readRound struct {
	done   chan struct{}
	shares int
	value  messages.RegisterValue
	err    error
}

// Read gives a value read after the call began.
func (s *sharedRead) Read(read func() (messages.RegisterValue, error)) (messages.RegisterValue, error) {
	s.lock.Lock()
	if s.next == nil {
		s.next = &readRound{done: make(chan struct{})}
	}
	mine := s.next
	mine.shares++
	begin := !s.busy
	s.busy = true
	s.lock.Unlock()
	if begin {
		s.run(read)
	}
	<-mine.done
	return mine.value, mine.err
}

// run reads as long as somebody waits.
func (s *sharedRead) run(read func() (messages.RegisterValue, error)) {
	first := true
	for {
		s.lock.Lock()
		reading := s.next
		s.next = nil
		if reading == nil {
			s.busy = false
			s.lock.Unlock()
			return
		}
		s.lock.Unlock()
		work := func() {
			reading.value, reading.err = read()
			close(reading.done)
		}
		if first {
			work()
			first = false
			continue
		}
		// The one that began has its answer; the rest go on without it.
		go func() {
			work()
			s.run(read)
		}()
		return
	}
}
