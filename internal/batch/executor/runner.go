// Package executor keeps what a process that runs items of batch jobs has acquired, under
// which lock, and which acknowledgements it still has to send. Step functions without I/O;
// package store runs the items.
package executor

import (
	"sort"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Task is one acquired item.
type Task struct {
	Number uint64
	Item   *dispatch.Item
	Run    int
	// Since is when it was acquired; Started says that it is at a worker.
	Since   clock.Instant
	Started bool
	// lockedUntil is the end of the lock by our own steady clock, less the margin.
	lockedUntil clock.Instant
	stopped     bool
	// lastProgress is when it was acquired or last brought events.
	lastProgress clock.Instant
}

// NoteProgress notes that a task's stream brought events.
func (t *Task) NoteProgress(now clock.Instant) { t.lastProgress = now }

// Stopped tells whether the run may go on no more.
func (t *Task) Stopped() bool { return t.stopped }

// Runner keeps the tasks of one process.
type Runner struct {
	tasks map[uint64]*Task
	// inputBytes is what the inputs of all tasks take.
	inputBytes int64
	results    ackQueue
	releases   ackQueue
	// fencedEpoch is the epoch below which nothing handed out is taken any more.
	fencedEpoch uint64
}

// New makes one without tasks.
func New() *Runner { return &Runner{tasks: map[uint64]*Task{}} }

// Count is how many tasks there are; waiting is how many of them have no worker yet.
func (r *Runner) Count() (all, waiting int) {
	for _, task := range r.tasks {
		if !task.Started {
			waiting++
		}
	}
	return len(r.tasks), waiting
}

// InputBytes is how many bytes of memory the inputs of all tasks take.
func (r *Runner) InputBytes() int64 { return r.inputBytes }

// Add adds what the dispatcher handed out to a request asked at an instant. The
// lock is reckoned from the asking and the time that the request was held, so it
// ends here no later than at the dispatcher, however late the answer came.
func (r *Runner) Add(resp *messages.AcquireResponse, sentAt, now clock.Instant) []*Task {
	until := sentAt.Add(clock.Milliseconds(resp.WaitedMs + resp.LockMs)).Add(-constants.LockMargin)
	var taken []*Task
	for i := range resp.Items {
		acquiredItem := &resp.Items[i]
		if r.tasks[acquiredItem.Number] != nil || now >= until || dispatch.EpochOf(acquiredItem.Number) < r.fencedEpoch {
			continue
		}
		job := &dispatch.Job{ID: acquiredItem.Job, Host: acquiredItem.Host, Path: acquiredItem.Path, SubmittedMs: acquiredItem.SubmittedMs}
		item := &dispatch.Item{JobItem: acquiredItem.Item, Job: job, Events: acquiredItem.Events, LastID: acquiredItem.LastID, Preempted: acquiredItem.Preempted, OwedResume: acquiredItem.Owed}
		task := &Task{Number: acquiredItem.Number, Item: item, Run: item.StartRun(), Since: now, lockedUntil: until, lastProgress: now}
		r.inputBytes += item.InputBytes()
		r.tasks[task.Number] = task
		taken = append(taken, task)
	}
	return taken
}

// MayRun tells whether a task may be sent to a worker or go on there at this moment.
func (t *Task) MayRun(now clock.Instant) bool { return !t.stopped && now < t.lockedUntil }

// All gives the tasks in order, so that no history depends on chance.
func (r *Runner) All() []*Task {
	tasks := make([]*Task, 0, len(r.tasks))
	for _, task := range r.tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(left, right int) bool { return tasks[left].Number < tasks[right].Number })
	return tasks
}

// DropBefore says that a leader of an epoch has been told all that is held here: answers of
// earlier leaders that are still on their way are not taken any more.
func (r *Runner) DropBefore(epoch uint64) { r.fencedEpoch = max(r.fencedEpoch, epoch) }

// Renewals asks for locks to run anew, in one message: of all that brings events, or
// may still be waiting for its first. Anything else is left to lapse.
func (r *Runner) Renewals(now clock.Instant) []messages.Acknowledgement {
	var entries []messages.Acknowledgement
	for _, task := range r.All() {
		if task.MayRun(now) && now.Sub(task.lastProgress) < constants.RenewWithoutEventsMax {
			entries = append(entries, messages.Acknowledgement{Kind: messages.AckRenew, Number: task.Number, Job: task.Item.Job.ID, Item: task.Item.ID})
		}
	}
	return entries
}

// HandleRenewals takes the verdicts on renewals that were asked at an instant, and names the
// runs that have to stop.
func (r *Runner) HandleRenewals(entries []messages.Acknowledgement, verdicts []messages.AckVerdict, sentAt clock.Instant, lock clock.Duration) []*Task {
	var stopped []*Task
	for i := range entries {
		task := r.tasks[entries[i].Number]
		if task == nil || i >= len(verdicts) {
			continue
		}
		switch verdicts[i] {
		case messages.AckRenewed:
			task.lockedUntil = max(task.lockedUntil, sentAt.Add(lock-constants.LockMargin))
		case messages.AckStopped, messages.AckTerminal:
			stopped = append(stopped, r.Stop(task)...)
		}
	}
	return stopped
}

// Lapsed names the runs whose lock is about to end unrenewed: they stop, so that
// the next executor's run is the only one.
func (r *Runner) Lapsed(now clock.Instant) []*Task {
	var stopped []*Task
	for _, task := range r.All() {
		if now >= task.lockedUntil {
			stopped = append(stopped, r.Stop(task)...)
		}
	}
	return stopped
}

// StopJob names the runs of a job that has ended.
func (r *Runner) StopJob(jobID string) []*Task {
	var stopped []*Task
	for _, task := range r.All() {
		if task.Item.Job.ID == jobID {
			stopped = append(stopped, r.Stop(task)...)
		}
	}
	return stopped
}

// Stop ends a task's run; it names it if it was not stopped before.
func (r *Runner) Stop(task *Task) []*Task {
	if task.stopped {
		return nil
	}
	task.stopped = true
	return []*Task{task}
}

// Done ends a task with its acknowledgement, which is repeated until it is answered.
func (r *Runner) Done(task *Task, entry messages.Acknowledgement) {
	if r.tasks[task.Number] != task {
		return
	}
	delete(r.tasks, task.Number)
	r.inputBytes -= task.Item.InputBytes()
	entry.Number, entry.Job, entry.Item = task.Number, task.Item.Job.ID, task.Item.ID
	if entry.Kind == messages.AckRelease {
		entry.Events, entry.LastID = task.Item.Events, task.Item.LastID
	}
	if entry.Kind == messages.AckRelease && !entry.Failed {
		r.releases.add(entry)
		return
	}
	r.results.add(entry)
}
