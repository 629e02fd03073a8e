package dispatch

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// executorState is the state of an executor that recently sent an acquire or acknowledge request.
type executorState struct {
	incarnation int64
	zone        string
	lastContact clock.Instant
}

// ObserveExecutor records contact from an executor. A newer incarnation means that the process of the
// previous one has ended, and its runs with it, so the locks of older incarnations expire at once. This
// requires that the previous one is still among the executors. If ExpireExecutors or RemoveExecutor has
// removed it, its locks last for the rest of their duration.
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

// RemoveExecutor removes an executor that is draining and will acquire no more items.
func (d *Dispatcher) RemoveExecutor(executor Executor) {
	if d.executors[executor.Name] != nil {
		delete(d.executors, executor.Name)
		d.version++
	}
}

// ExpireExecutors removes the executors without contact for ExecutorTimeout, and reports whether there
// were any. Their acquisitions remain until the locks expire.
func (d *Dispatcher) ExpireExecutors(now clock.Instant) bool {
	removed := false
	for name, state := range d.executors {
		if now.Sub(state.lastContact) >= constants.ExecutorTimeout {
			delete(d.executors, name)
			d.version++
			removed = true
		}
	}
	return removed
}

// Executors returns the executors that are in contact, so that they can divide the workers among
// themselves, and the version of the list, which increases across epochs. It returns zero and nil if
// the caller already has this version, and during the first two ExecutorTimeout periods of an epoch,
// when some executors may not have made contact yet.
func (d *Dispatcher) Executors(known uint64, now clock.Instant) (uint64, []messages.ExecutorInfo) {
	version := d.epoch<<serialBits | d.version
	if version == known || now.Sub(d.startedAt) < 2*constants.ExecutorTimeout {
		return 0, nil
	}
	var infos []messages.ExecutorInfo
	for name, state := range d.executors {
		infos = append(infos, messages.ExecutorInfo{Name: name, Zone: state.zone})
	}
	sort.Slice(infos, func(left, right int) bool { return infos[left].Name < infos[right].Name })
	return version, infos
}
