package hollowfleet

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// begin lets all workers beat.
func (r *registrations) begin() {
	period := clock.Milliseconds(r.fleet.Plan.HeartbeatMs)
	for number := range r.all {
		var heartbeat func()
		heartbeat = func() {
			r.call(number, func() {})
			r.fleet.world.After(period, heartbeat)
		}
		r.fleet.world.After(clock.Duration(r.random.Int63n(int64(period))), heartbeat)
	}
}

// call is one heartbeat of a worker.
func (r *registrations) call(number int, done func()) {
	worker := &r.all[number]
	if worker.Phase == messages.PhaseDeparted {
		return
	}
	if node := r.controller(number); node != nil {
		worker.CallCount++
		r.note(node, *worker, done)
	}
}

// turn has one worker drain, leave, and come back as a new life; what is measured is
// the time until every process that places work knows that it drains.
func (r *registrations) turn() {
	number := r.random.Intn(len(r.all))
	if r.all[number].Phase != messages.PhaseSteady || r.controller(number) == nil {
		return
	}
	r.turned++
	worker := &r.all[number]
	worker.Phase = messages.PhaseDraining
	id, fleet := worker.ID, r.fleet
	started := fleet.world.Now
	fleet.troubles.track("worker drains", r.controller(number), func(node *Node) bool {
		known, found := r.knows(node, id)
		// Who never heard of the worker sends it nothing either.
		return !node.places() || !found || known.Phase != messages.PhaseSteady
	})
	r.call(number, func() { fleet.troubles.acknowledged("worker drains", fleet.world.Now.Sub(started)) })
	fleet.world.After(seconds(4), func() {
		worker.Phase = messages.PhaseDeparted
		if node := r.controller(number); node != nil {
			worker.CallCount++
			r.note(node, *worker, func() {})
		}
	})
	fleet.world.After(seconds(8), func() {
		r.all[number] = r.worker(number, r.turned)
		r.call(number, func() {})
	})
}
