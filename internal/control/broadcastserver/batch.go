package broadcastserver

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// batches gathers changes of workers that come close together, so that a fleet whose
// workers all start at once is notified a few times and not once a worker. A change that
// binds (a drain, a departure) leaves at once, with whatever else waits.
type batches struct {
	lock sync.Mutex
	next *batch
	// inFlight is how many batches are under way.
	inFlight  int
	broadcast func(workers []messages.Worker)
	// afterWindow runs a function once the window is over.
	afterWindow func(function func())
}

// batch is changes that go together.
type batch struct {
	workers []messages.Worker
	urgent  bool
	// done closes once the fleet was notified.
	done chan struct{}
}

// add puts a change into the next batch. done closes once the fleet was notified.
func (b *batches) add(worker messages.Worker, urgent bool) (done chan struct{}) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.next == nil {
		pending := &batch{done: make(chan struct{})}
		b.next = pending
		b.afterWindow(func() {
			b.lock.Lock()
			defer b.lock.Unlock()
			if b.next == pending {
				b.launchLocked()
			}
		})
	}
	pending := b.next
	pending.workers, pending.urgent = append(pending.workers, worker), pending.urgent || urgent
	if pending.urgent && b.inFlight < constants.UpdateBatchesInFlight {
		b.launchLocked()
	}
	return pending.done
}

// launchLocked sends the next batch on its way. The lock is held.
func (b *batches) launchLocked() {
	batch := b.next
	b.next = nil
	b.inFlight++
	go func() {
		b.broadcast(batch.workers)
		close(batch.done)
		b.lock.Lock()
		defer b.lock.Unlock()
		b.inFlight--
		if b.next != nil && b.next.urgent {
			b.launchLocked()
		}
	}()
}

// afterBatchWindow runs a function once the window is over, in a goroutine that ends with it.
func afterBatchWindow(function func()) {
	go func() {
		clock.Sleep(constants.UpdateBatchWindow)
		function()
	}()
}
