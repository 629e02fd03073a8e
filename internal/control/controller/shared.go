package controller

import (
	"sync"

	"lemonarch/internal/platform/messages"
)

// sharedRead lets those that ask for the register at one time share a read: after a
// loss of power the whole fleet asks at once. A read that was under way when somebody
// came may be older than the question, so newcomers wait for the next one.
type sharedRead struct {
	lock sync.Mutex
	next *reading
	busy bool
}

type reading struct {
	done   chan struct{}
	shares int
	value  messages.Register
	err    error
}

// Read gives a value read after the call began.
func (shared *sharedRead) Read(read func() (messages.Register, error)) (messages.Register, error) {
	shared.lock.Lock()
	if shared.next == nil {
		shared.next = &reading{done: make(chan struct{})}
	}
	mine := shared.next
	mine.shares++
	begin := !shared.busy
	shared.busy = true
	shared.lock.Unlock()
	if begin {
		shared.run(read)
	}
	<-mine.done
	return mine.value, mine.err
}

// run reads as long as somebody waits.
func (shared *sharedRead) run(read func() (messages.Register, error)) {
	first := true
	for {
		shared.lock.Lock()
		one := shared.next
		shared.next = nil
		if one == nil {
			shared.busy = false
			shared.lock.Unlock()
			return
		}
		shared.lock.Unlock()
		work := func() {
			one.value, one.err = read()
			close(one.done)
		}
		if first {
			work()
			first = false
			continue
		}
		// The one that began has its answer; the rest go on without it.
		go func() {
			work()
			shared.run(read)
		}()
		return
	}
}
