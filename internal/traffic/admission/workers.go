package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Judged takes a controller's list of the workers that are silent. It says, too, that a
// controller was heard.
func (scheduler *Scheduler) Judged(silent []messages.Overdue, now clock.Moment) {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.listening = now
	scheduler.Registry.Judged(silent, now)
	scheduler.Registry.Forget(now)
}

// Table stands for the workers known here.
func (scheduler *Scheduler) Table() messages.Digest {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	return scheduler.Registry.Digest(scheduler.own.Life)
}
