package controller

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// batches gathers changes of workers that come close together, so that a fleet whose
// workers all start at once is told a few times and not once a worker. A change that
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
	workerList []messages.Worker
	urgent     bool
	done       chan struct{}
}

// add puts a change into the next batch. done closes once the fleet was told.
func (b *batches) add(worker messages.Worker, urgent bool) (done chan struct{}) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.next == nil {
		ba := &batch{done: make(chan struct{})}
		b.next = ba
		b.afterWindow(func() {
			b.lock.Lock()
			defer b.lock.Unlock()
			if b.next == ba {
				b.launch()
			}
		})
	}
	ba := b.next
	ba.workerList, ba.urgent = append(ba.workerList, worker), ba.urgent || urgent
	if ba.urgent && b.inFlight < constants.UpdateBatchesInFlight {
		b.launch()
	}
	return ba.done
}

// launch sends the next batch on its way. The lock is held.
func (b *batches) launch() {
	batch := b.next
	b.next = nil
	b.inFlight++
	go func() {
		b.broadcast(batch.workerList)
		close(batch.done)
		b.lock.Lock()
		defer b.lock.Unlock()
		b.inFlight--
		if b.next != nil && b.next.urgent {
			b.launch()
		}
	}()
}

// afterBatchWindow runs a function once the window is over.
func afterBatchWindow(function func()) {
	go func() {
		clock.Sleep(constants.UpdateBatchWindow)
		function()
	}()
}

// announce spreads a change. It waits for the fleet only where the caller's acknowledgement
// binds it: a worker that is new may be known a moment later.
func (c *Controller) announce(worker messages.Worker) {
	binding := worker.Phase != messages.PhaseSteady
	done := c.batches.add(worker, binding)
	if !binding {
		return
	}
	timer := clock.NewTimer(constants.BroadcastTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
