package configserver

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/messages"
)

// Concurrent callers share a read, and no caller receives a value that was read before its call.
// Otherwise a caller that arrives while a read is in flight could get a value older than its request.
func TestReadsAreSharedButNeverOlderThanTheRequest(t *testing.T) {
	const rounds, callers = 50, 20
	var shared sharedRead
	var current, reads atomic.Int64
	start, release := make(chan struct{}), make(chan struct{})
	read := func() (messages.RegisterValue, error) {
		value := messages.RegisterValue{SetEpoch: uint64(current.Load())}
		reads.Add(1)
		start <- struct{}{}
		<-release
		return value, nil
	}
	var group sync.WaitGroup
	startCaller := func() {
		least := uint64(current.Load())
		group.Add(1)
		go func() {
			defer group.Done()
			if value, _ := shared.Read(read); value.SetEpoch < least {
				t.Errorf("called Read at value %d, got the older value %d", least, value.SetEpoch)
			}
		}()
	}
	startCaller()
	<-start
	for round := 0; round < rounds; round++ {
		// A read is in flight. All callers that arrive now share the next one.
		current.Add(1)
		for caller := 0; caller < callers; caller++ {
			startCaller()
		}
		for waiting := 0; waiting < callers; runtime.Gosched() {
			shared.lock.Lock()
			if shared.next != nil {
				waiting = shared.next.waiters
			}
			shared.lock.Unlock()
		}
		release <- struct{}{}
		<-start
	}
	release <- struct{}{}
	group.Wait()
	if reads.Load() != rounds+1 {
		t.Fatalf("got %d reads for %d callers, want %d: one per round and the first", reads.Load(), rounds*callers+1, rounds+1)
	}
}
