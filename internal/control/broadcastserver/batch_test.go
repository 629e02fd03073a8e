package broadcastserver

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// batchRecorder records the batches that are sent. Each stays in flight until release is closed.
type batchRecorder struct {
	batches
	notified chan []messages.Worker
	release  chan struct{}
	windows  []func()
}

func newBatchRecorder() *batchRecorder {
	r := &batchRecorder{notified: make(chan []messages.Worker, 1000), release: make(chan struct{})}
	r.broadcast = func(workers []messages.Worker) {
		r.notified <- workers
		<-r.release
	}
	r.afterWindow = func(function func()) { r.windows = append(r.windows, function) }
	return r
}

// checkNothingSent fails the test if a batch was sent.
func (r *batchRecorder) checkNothingSent(t *testing.T) {
	t.Helper()

	select {
	case sent := <-r.notified:
		t.Fatalf("%d changes were sent before the end of their window", len(sent))
	default:
	}
}

// addUrgent adds urgent changes, and returns a group that waits until the fleet was notified of all
// of them.
func (r *batchRecorder) addUrgent(count int) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := 0; i < count; i++ {
		done := r.add(messages.Worker{ID: fmt.Sprint("e", i)}, true)
		group.Add(1)
		go func() {
			defer group.Done()
			<-done
		}()
	}
	return &group
}

// TestChangesAreBatchedAndDrainsAreSentAtOnce checks that a fleet whose workers all start at the same
// time is notified only a few times, that a drain is sent immediately together with the pending
// changes, and that every change is sent exactly once.
func TestChangesAreBatchedAndDrainsAreSentAtOnce(t *testing.T) {
	r := newBatchRecorder()
	for i := 0; i < 300; i++ {
		r.add(messages.Worker{ID: fmt.Sprint("w", i)}, false)
	}
	r.checkNothingSent(t)
	done := r.add(messages.Worker{ID: "d0", Phase: messages.PhaseDraining}, true)
	if first := <-r.notified; len(first) != 301 || first[300].ID != "d0" {
		t.Fatalf("got a batch of %d changes, want 301, with the drain as the last", len(first))
	}
	select {
	case <-done:
		t.Fatal("done was closed before the fleet was notified")
	default:
	}
	if r.windows[0](); len(r.windows) != 1 || len(r.notified) != 0 {
		t.Fatal("the end of the window sent changes again")
	}
	// Urgent batches are sent immediately up to UpdateBatchesInFlight; later changes are combined
	// and sent after one of them has ended.
	for i := 1; i < constants.UpdateBatchesInFlight; i++ {
		r.add(messages.Worker{ID: fmt.Sprint("d", i)}, true)
		if single := <-r.notified; len(single) != 1 {
			t.Fatalf("got a batch of %d changes for one urgent change, want 1: %v", len(single), single)
		}
	}
	group := r.addUrgent(50)
	close(r.release)
	count := 0
	for count < 50 {
		count += len(<-r.notified)
	}
	group.Wait()
	<-done
	if count != 50 {
		t.Fatalf("got %d changes after the batches in flight ended, want 50", count)
	}
	// Changes that are not urgent are sent at the end of their window.
	r.add(messages.Worker{ID: "f0"}, false)
	r.add(messages.Worker{ID: "f1"}, false)
	r.windows[len(r.windows)-1]()
	if last := <-r.notified; len(last) != 2 {
		t.Fatalf("got a batch of %d changes at the end of the window, want 2: %v", len(last), last)
	}
}
