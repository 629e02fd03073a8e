package broadcastserver

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// batches combines worker changes that arrive within a short window, so that a fleet whose workers
// all start at the same time is notified a few times instead of once per worker. An urgent
// change (a drain, a departure) is sent immediately, together with all pending changes. If
// constants.UpdateBatchesInFlight batches are in flight already, it is sent when one of them has ended
// or the window is over.
type batches struct {
	// lock guards next and inFlight.
	lock sync.Mutex
	next *batch
	// inFlight is the number of batches that are being broadcast.
	inFlight  int
	broadcast func(workers []messages.Worker)
	// afterWindow calls a function after constants.UpdateBatchWindow.
	afterWindow func(function func())
}

// batch is a set of changes that are sent in one broadcast.
type batch struct {
	workers []messages.Worker
	urgent  bool
	// done is closed once the broadcast has returned: the processes in contact have the changes or
	// failed, or constants.BroadcastTimeout has passed.
	done chan struct{}
}

// add adds a change to the next batch. done is closed once the broadcast of the batch has returned.
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

// launchLocked starts the broadcast of the next batch. The caller holds the lock.
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

// afterBatchWindow calls a function after constants.UpdateBatchWindow, in a goroutine that ends when
// the function returns.
func afterBatchWindow(function func()) {
	go func() {
		clock.Sleep(constants.UpdateBatchWindow)
		function()
	}()
}
