package maquette

import (
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// begin lets all workers beat.
func (workers *workers) begin() {
	period := watch.Milliseconds(workers.fleet.Plan.HeartbeatMs)
	for number := range workers.all {
		var beat func()
		beat = func() {
			workers.call(number, func() {})
			workers.fleet.world.After(period, beat)
		}
		workers.fleet.world.After(watch.Span(workers.random.Int63n(int64(period))), beat)
	}
}

// call is one heartbeat of a worker.
func (workers *workers) call(number int, done func()) {
	worker := &workers.all[number]
	if worker.Phase == pattern.PhaseGone {
		return
	}
	if node := workers.foreman(number); node != nil {
		worker.Count++
		workers.note(node, *worker, done)
	}
}

// turn has one worker drain, leave, and come back as a new life; what is measured is
// the time until every process that places work knows that it drains.
func (workers *workers) turn() {
	number := workers.random.Intn(len(workers.all))
	if workers.all[number].Phase != pattern.PhaseSteady || workers.foreman(number) == nil {
		return
	}
	workers.turned++
	worker := &workers.all[number]
	worker.Phase = pattern.PhaseDraining
	id, fleet := worker.ID, workers.fleet
	begun := fleet.world.Now
	fleet.troubles.track("worker drains", workers.foreman(number), func(node *Node) bool {
		known, found := workers.knows(node, id)
		// Who never heard of the worker sends it nothing either.
		return !node.places() || !found || known.Phase != pattern.PhaseSteady
	})
	workers.call(number, func() { fleet.troubles.acknowledged("worker drains", fleet.world.Now.Since(begun)) })
	fleet.world.After(seconds(4), func() {
		worker.Phase = pattern.PhaseGone
		if node := workers.foreman(number); node != nil {
			worker.Count++
			workers.note(node, *worker, func() {})
		}
	})
	fleet.world.After(seconds(8), func() {
		workers.all[number] = workers.worker(number, workers.turned)
		workers.call(number, func() {})
	})
}
