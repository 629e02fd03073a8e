package hollowfleet

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// begin lets all workers beat.
func (workerList *workerList) begin() {
	period := clock.Milliseconds(workerList.fleet.Plan.HeartbeatMs)
	for number := range workerList.all {
		var beat func()
		beat = func() {
			workerList.call(number, func() {})
			workerList.fleet.world.After(period, beat)
		}
		workerList.fleet.world.After(clock.Span(workerList.random.Int63n(int64(period))), beat)
	}
}

// call is one heartbeat of a worker.
func (workerList *workerList) call(number int, done func()) {
	worker := &workerList.all[number]
	if worker.Phase == messages.PhaseGone {
		return
	}
	if node := workerList.controller(number); node != nil {
		worker.Count++
		workerList.note(node, *worker, done)
	}
}

// turn has one worker drain, leave, and come back as a new life; what is measured is
// the time until every process that places work knows that it drains.
func (workerList *workerList) turn() {
	number := workerList.random.Intn(len(workerList.all))
	if workerList.all[number].Phase != messages.PhaseSteady || workerList.controller(number) == nil {
		return
	}
	workerList.turned++
	worker := &workerList.all[number]
	worker.Phase = messages.PhaseDraining
	id, fleet := worker.ID, workerList.fleet
	begun := fleet.world.Now
	fleet.troubles.track("worker drains", workerList.controller(number), func(node *Node) bool {
		known, found := workerList.knows(node, id)
		// Who never heard of the worker sends it nothing either.
		return !node.places() || !found || known.Phase != messages.PhaseSteady
	})
	workerList.call(number, func() { fleet.troubles.acknowledged("worker drains", fleet.world.Now.Since(begun)) })
	fleet.world.After(seconds(4), func() {
		worker.Phase = messages.PhaseGone
		if node := workerList.controller(number); node != nil {
			worker.Count++
			workerList.note(node, *worker, func() {})
		}
	})
	fleet.world.After(seconds(8), func() {
		workerList.all[number] = workerList.worker(number, workerList.turned)
		workerList.call(number, func() {})
	})
}
