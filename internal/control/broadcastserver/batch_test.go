package broadcastserver

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// batchRecorder records the batches that leave; each is under way until release closes.
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

// checkNothingLeft fails where a batch has left.
func (r *batchRecorder) checkNothingSent(t *testing.T) {
	t.Helper()

	select {
	case sent := <-r.notified:
		t.Fatalf("%d left before their window", len(sent))
	default:
	}
}

// addBinding adds binding changes, and gives what waits until the fleet has all of them.
func (r *batchRecorder) addBinding(count int) *sync.WaitGroup {
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

// A fleet whose workers all start at once is notified a few times; a drain leaves at once
// and takes along what waits; nothing is sent twice or never.
func TestChangesAreBatchedAndDrainsAreSentAtOnce(t *testing.T) {
	r := newBatchRecorder()
	for i := 0; i < 300; i++ {
		r.add(messages.Worker{ID: fmt.Sprint("w", i)}, false)
	}
	r.checkNothingSent(t)
	done := r.add(messages.Worker{ID: "d0", Phase: messages.PhaseDraining}, true)
	if first := <-r.notified; len(first) != 301 || first[300].ID != "d0" {
		t.Fatalf("%d left with the drain", len(first))
	}
	select {
	case <-done:
		t.Fatal("done before the fleet was notified")
	default:
	}
	if r.windows[0](); len(r.windows) != 1 || len(r.notified) != 0 {
		t.Fatal("the window sent what had left")
	}
	// As many batches as may be under way leave; the rest go together after one of them.
	for i := 1; i < constants.UpdateBatchesInFlight; i++ {
		r.add(messages.Worker{ID: fmt.Sprint("d", i)}, true)
		if single := <-r.notified; len(single) != 1 {
			t.Fatal(single)
		}
	}
	group := r.addBinding(50)
	close(r.release)
	count := 0
	for count < 50 {
		count += len(<-r.notified)
	}
	group.Wait()
	<-done
	if count != 50 {
		t.Fatal(count)
	}
	// What does not bind leaves once its window is over.
	r.add(messages.Worker{ID: "f0"}, false)
	r.add(messages.Worker{ID: "f1"}, false)
	r.windows[len(r.windows)-1]()
	if last := <-r.notified; len(last) != 2 {
		t.Fatal(last)
	}
}
