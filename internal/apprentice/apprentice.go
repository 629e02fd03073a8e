// Package apprentice is the driver of items: it keeps what a process has acquired,
// under which lock, and what it has yet to acknowledge. Step functions without I/O.
package apprentice

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Task is one acquired item.
type Task struct {
	Number uint64
	Item   *ledgerbox.Item
	Run    int
	// Since is when it was acquired; Begun says that it is at a worker.
	Since watch.Moment
	Begun bool
	// until is the end of the lock by our own steady clock, less the margin.
	until   watch.Moment
	stopped bool
	// moved is when it was acquired or last brought events.
	moved watch.Moment
}

// Moved notes that a task's stream brought events.
func (task *Task) Moved(now watch.Moment) { task.moved = now }

// Stopped tells whether the run may go on no more.
func (task *Task) Stopped() bool { return task.stopped }

// Apprentice keeps the tasks of one process.
type Apprentice struct {
	tasks   map[uint64]*Task
	durable queue
	soft    queue
	// fence is the epoch below which nothing handed out is taken any more.
	fence uint64
}

// New makes one without tasks.
func New() *Apprentice { return &Apprentice{tasks: map[uint64]*Task{}} }

// Count is how many tasks there are; waiting is how many of them have no place yet.
func (apprentice *Apprentice) Count() (all, waiting int) {
	for _, task := range apprentice.tasks {
		if !task.Begun {
			waiting++
		}
	}
	return len(apprentice.tasks), waiting
}

// Take adds what the dispatcher handed out to a question asked at a moment. The
// lock is reckoned from the asking and the time that the question was held, so it
// ends here no later than at the dispatcher, however late the answer came.
func (apprentice *Apprentice) Take(answer *pattern.Acquired, asked, now watch.Moment) []*Task {
	until := asked.Plus(watch.Milliseconds(answer.HeldMs + answer.LockMs)).Plus(-almanac.LockMargin)
	var taken []*Task
	for place := range answer.Items {
		one := &answer.Items[place]
		if apprentice.tasks[one.Number] != nil || now >= until || ledgerbox.EpochOf(one.Number) < apprentice.fence {
			continue
		}
		lot := &ledgerbox.Lot{ID: one.Lot, Host: one.Host, Path: one.Path, SentMs: one.SentMs}
		item := &ledgerbox.Item{LotItem: one.Item, Lot: lot, Pieces: one.Pieces, LastID: one.LastID, Displaced: one.Displaced, Owed: one.Owed}
		task := &Task{Number: one.Number, Item: item, Run: item.Begin(), Since: now, until: until, moved: now}
		apprentice.tasks[task.Number] = task
		taken = append(taken, task)
	}
	return taken
}

// May tells whether a task may be sent to a worker or go on there at this moment.
func (task *Task) May(now watch.Moment) bool { return !task.stopped && now < task.until }

// All gives the tasks in order, so that no history depends on chance.
func (apprentice *Apprentice) All() []*Task {
	tasks := make([]*Task, 0, len(apprentice.tasks))
	for _, task := range apprentice.tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(left, right int) bool { return tasks[left].Number < tasks[right].Number })
	return tasks
}

// Fence says that a holder of an epoch is told all that is held here: answers of
// earlier holders that are still on their way are not taken any more.
func (apprentice *Apprentice) Fence(epoch uint64) { apprentice.fence = max(apprentice.fence, epoch) }

// Renewals asks for locks to run anew, in one message: of all that brings events, or
// may still be waiting for its first. Anything else is left to lapse.
func (apprentice *Apprentice) Renewals(now watch.Moment) []pattern.Acknowledgement {
	var entries []pattern.Acknowledgement
	for _, task := range apprentice.All() {
		if task.May(now) && now.Since(task.moved) < almanac.RenewPatience {
			entries = append(entries, pattern.Acknowledgement{Kind: pattern.AckRenew, Number: task.Number, Lot: task.Item.Lot.ID, Item: task.Item.ID})
		}
	}
	return entries
}

// Renewed takes the verdicts on renewals that were asked at a moment, and names the
// runs that have to stop.
func (apprentice *Apprentice) Renewed(entries []pattern.Acknowledgement, verdicts []pattern.AckVerdict, asked watch.Moment, lock watch.Span) []*Task {
	var stopped []*Task
	for place := range entries {
		task := apprentice.tasks[entries[place].Number]
		if task == nil || place >= len(verdicts) {
			continue
		}
		switch verdicts[place] {
		case pattern.AckRenewed:
			task.until = max(task.until, asked.Plus(lock-almanac.LockMargin))
		case pattern.AckStopped, pattern.AckTerminal:
			stopped = append(stopped, apprentice.Stop(task)...)
		}
	}
	return stopped
}

// Lapsed names the runs whose lock is about to end unrenewed: they stop, so that
// the next driver's run is the only one.
func (apprentice *Apprentice) Lapsed(now watch.Moment) []*Task {
	var stopped []*Task
	for _, task := range apprentice.All() {
		if now >= task.until {
			stopped = append(stopped, apprentice.Stop(task)...)
		}
	}
	return stopped
}

// StopLot names the runs of a lot that has ended.
func (apprentice *Apprentice) StopLot(lot string) []*Task {
	var stopped []*Task
	for _, task := range apprentice.All() {
		if task.Item.Lot.ID == lot {
			stopped = append(stopped, apprentice.Stop(task)...)
		}
	}
	return stopped
}

// Stop ends a task's run; it names it if it was not stopped before.
func (apprentice *Apprentice) Stop(task *Task) []*Task {
	if task.stopped {
		return nil
	}
	task.stopped = true
	return []*Task{task}
}

// Done ends a task with its acknowledgement, which is repeated until it is answered.
func (apprentice *Apprentice) Done(task *Task, entry pattern.Acknowledgement) {
	if apprentice.tasks[task.Number] != task {
		return
	}
	delete(apprentice.tasks, task.Number)
	entry.Number, entry.Lot, entry.Item = task.Number, task.Item.Lot.ID, task.Item.ID
	if entry.Kind == pattern.AckRelease {
		entry.Pieces, entry.LastID = task.Item.Pieces, task.Item.LastID
	}
	if entry.Kind == pattern.AckRelease && !entry.Failed {
		apprentice.soft.add(entry)
		return
	}
	apprentice.durable.add(entry)
}
