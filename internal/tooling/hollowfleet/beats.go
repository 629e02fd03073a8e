package hollowfleet

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// begin lets all workers beat.
func (registrations *registrations) begin() {
	period := clock.Milliseconds(registrations.fleet.Plan.HeartbeatMs)
	for number := range registrations.all {
		var beat func()
		beat = func() {
			registrations.call(number, func() {})
			registrations.fleet.world.After(period, beat)
		}
		registrations.fleet.world.After(clock.Span(registrations.random.Int63n(int64(period))), beat)
	}
}

// call is one heartbeat of a worker.
func (registrations *registrations) call(number int, done func()) {
	worker := &registrations.all[number]
	if worker.Phase == messages.PhaseGone {
		return
	}
	if node := registrations.controller(number); node != nil {
		worker.Count++
		registrations.note(node, *worker, done)
	}
}

// turn has one worker drain, leave, and come back as a new life; what is measured is
// the time until every process that places work knows that it drains.
func (registrations *registrations) turn() {
	number := registrations.random.Intn(len(registrations.all))
	if registrations.all[number].Phase != messages.PhaseSteady || registrations.controller(number) == nil {
		return
	}
	registrations.turned++
	worker := &registrations.all[number]
	worker.Phase = messages.PhaseDraining
	id, fleet := worker.ID, registrations.fleet
	begun := fleet.world.Now
	fleet.troubles.track("worker drains", registrations.controller(number), func(node *Node) bool {
		known, found := registrations.knows(node, id)
		// Who never heard of the worker sends it nothing either.
		return !node.places() || !found || known.Phase != messages.PhaseSteady
	})
	registrations.call(number, func() { fleet.troubles.acknowledged("worker drains", fleet.world.Now.Since(begun)) })
	fleet.world.After(seconds(4), func() {
		worker.Phase = messages.PhaseGone
		if node := registrations.controller(number); node != nil {
			worker.Count++
			registrations.note(node, *worker, func() {})
		}
	})
	fleet.world.After(seconds(8), func() {
		registrations.all[number] = registrations.worker(number, registrations.turned)
		registrations.call(number, func() {})
	})
}
