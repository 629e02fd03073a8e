package dispatch

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// executorState is an executor that has asked for items or acknowledged lately.
type executorState struct {
	incarnation int64
	zone        string
	lastContact clock.Instant
}

// ObserveExecutor notes contact from an executor. A newer incarnation says that the process of the one
// before is gone, and its runs with it: its locks lapse at once.
func (d *Dispatcher) ObserveExecutor(executor Executor, now clock.Instant) {
	state := d.executors[executor.Name]
	if state == nil {
		state = &executorState{incarnation: executor.Incarnation, zone: executor.Zone}
		d.executors[executor.Name] = state
		d.version++
	}
	d.dropOlderIncarnations(executor, now)
	if executor.Incarnation > state.incarnation {
		state.incarnation = executor.Incarnation
		for _, acquisition := range d.inFlight {
			if acquisition.Executor.Name == executor.Name && acquisition.Executor.Incarnation < executor.Incarnation {
				acquisition.expiresAt = now
			}
		}
	}
	if executor.Incarnation == state.incarnation {
		state.lastContact = now
	}
}

// RemoveExecutor notes that an executor goes away and will ask no more.
func (d *Dispatcher) RemoveExecutor(executor Executor) {
	if d.executors[executor.Name] != nil {
		delete(d.executors, executor.Name)
		d.version++
	}
}

// ExpireExecutors drops executors that are silent; what they hold waits for its locks.
func (d *Dispatcher) ExpireExecutors(now clock.Instant) bool {
	abandoned := false
	for name, state := range d.executors {
		if now.Sub(state.lastContact) >= constants.ExecutorTimeout {
			delete(d.executors, name)
			d.version++
			abandoned = true
		}
	}
	return abandoned
}

// Executors lists the executors that are in contact, so that they share the workers,
// with the version of the list, which rises over all epochs. There is none where the
// asker knows it, nor before every executor had the time to report.
func (d *Dispatcher) Executors(known uint64, now clock.Instant) (uint64, []messages.ExecutorInfo) {
	version := d.epoch<<serialBits | d.version
	if version == known || now.Sub(d.startedAt) < 2*constants.ExecutorTimeout {
		return 0, nil
	}
	var found []messages.ExecutorInfo
	for name, state := range d.executors {
		found = append(found, messages.ExecutorInfo{Name: name, Zone: state.zone})
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Name < found[right].Name })
	return version, found
}
