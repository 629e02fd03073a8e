package broadcastserver

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A fleet whose workers all start at once is told a few times; a drain leaves at once
// and takes along what waits; nothing is told twice or never.
func TestChangesAreBatchedAndDrainsLeaveAtOnce(t *testing.T) {
	notified := make(chan []messages.Worker, 1000)
	release := make(chan struct{})
	var windows []func()
	b := &batches{broadcast: func(workers []messages.Worker) {
		notified <- workers
		<-release
	}, afterWindow: func(function func()) { windows = append(windows, function) }}
	for i := 0; i < 300; i++ {
		b.add(messages.Worker{ID: fmt.Sprint("w", i)}, false)
	}
	select {
	case early := <-notified:
		t.Fatalf("%d left before their window", len(early))
	default:
	}
	done := b.add(messages.Worker{ID: "d0", Phase: messages.PhaseDraining}, true)
	if first := <-notified; len(first) != 301 || first[300].ID != "d0" {
		t.Fatalf("%d left with the drain", len(first))
	}
	select {
	case <-done:
		t.Fatal("done before the fleet was told")
	default:
	}
	if windows[0](); len(windows) != 1 || len(notified) != 0 {
		t.Fatal("the window sent what had left")
	}
	// As many batches as may be under way leave; the rest go together after one of them.
	for i := 1; i < constants.UpdateBatchesInFlight; i++ {
		b.add(messages.Worker{ID: fmt.Sprint("d", i)}, true)
		if alone := <-notified; len(alone) != 1 {
			t.Fatal(alone)
		}
	}
	var group sync.WaitGroup
	for i := 0; i < 50; i++ {
		waits := b.add(messages.Worker{ID: fmt.Sprint("e", i)}, true)
		group.Add(1)
		go func() {
			defer group.Done()
			<-waits
		}()
	}
	close(release)
	count := 0
	for count < 50 {
		count += len(<-notified)
	}
	group.Wait()
	<-done
	if count != 50 {
		t.Fatal(count)
	}
	// What does not bind leaves once its window is over.
	b.add(messages.Worker{ID: "f0"}, false)
	b.add(messages.Worker{ID: "f1"}, false)
	windows[len(windows)-1]()
	if last := <-notified; len(last) != 2 {
		t.Fatal(last)
	}
}
