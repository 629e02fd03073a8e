package configserver

import (
	"sync"

	"lemonarch/internal/platform/messages"
)

// sharedRead lets concurrent callers share a read of the register: after a power loss, all processes
// of the fleet send their requests at once. A read that was already in flight when a caller arrives
// may return a value older than the caller's request, so the caller waits for the next one.
type sharedRead struct {
	lock sync.Mutex
	// next is the round that the next caller joins, nil if there is none.
	next *readRound
	// busy is set while a goroutine runs the rounds.
	busy bool
}

type readRound struct {
	done chan struct{}
	// waiters is the number of callers that joined the round.
	waiters int
	value   messages.RegisterValue
	err     error
}

// Read returns a value that was read after the call began.
func (s *sharedRead) Read(read func() (messages.RegisterValue, error)) (messages.RegisterValue, error) {
	s.lock.Lock()
	if s.next == nil {
		s.next = &readRound{done: make(chan struct{})}
	}
	round := s.next
	round.waiters++
	start := !s.busy
	s.busy = true
	s.lock.Unlock()
	if start {
		s.run(read)
	}
	<-round.done
	return round.value, round.err
}

// run reads until no caller is waiting. It does the first read itself and the later ones in a new
// goroutine.
func (s *sharedRead) run(read func() (messages.RegisterValue, error)) {
	first := true
	for {
		s.lock.Lock()
		round := s.next
		s.next = nil
		if round == nil {
			s.busy = false
			s.lock.Unlock()
			return
		}
		s.lock.Unlock()
		runRound := func() {
			round.value, round.err = read()
			close(round.done)
		}
		if first {
			runRound()
			first = false
			continue
		}
		// The caller of run has its result and returns. A new goroutine serves the others.
		go func() {
			runRound()
			s.run(read)
		}()
		return
	}
}
