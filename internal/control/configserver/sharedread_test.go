package configserver

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/messages"
)

// Many that ask at once share a read, and none gets a value read before it asked.
func TestReadsAreSharedButNeverOlderThanTheRequest(t *testing.T) {
	const rounds, callers = 50, 20
	var shared sharedRead
	var replica, reads atomic.Int64
	start, release := make(chan struct{}), make(chan struct{})
	read := func() (messages.RegisterValue, error) {
		value := messages.RegisterValue{SetEpoch: uint64(replica.Load())}
		reads.Add(1)
		start <- struct{}{}
		<-release
		return value, nil
	}
	var group sync.WaitGroup
	ask := func() {
		least := uint64(replica.Load())
		group.Add(1)
		go func() {
			defer group.Done()
			if value, _ := shared.Read(read); value.SetEpoch < least {
				t.Errorf("asked at %d, got %d", least, value.SetEpoch)
			}
		}()
	}
	ask()
	<-start
	for round := 0; round < rounds; round++ {
		// A read is under way; all who come now share the one after it.
		replica.Add(1)
		for caller := 0; caller < callers; caller++ {
			ask()
		}
		for waiting := 0; waiting < callers; runtime.Gosched() {
			shared.lock.Lock()
			if shared.next != nil {
				waiting = shared.next.shares
			}
			shared.lock.Unlock()
		}
		release <- struct{}{}
		<-start
	}
	release <- struct{}{}
	group.Wait()
	if reads.Load() != rounds+1 {
		t.Fatalf("%d reads for %d callers", reads.Load(), rounds*callers+1)
	}
}
