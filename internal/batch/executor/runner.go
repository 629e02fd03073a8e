// Package executor tracks the items of batch jobs that a process has acquired, their locks, and the
// acknowledgements that it still has to send. It does no I/O: package executorserver runs the items.
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
	// Number is the number of the acquisition.
	Number uint64
	Item   *dispatch.Item
	// Run is the number of the item's run.
	Run int
	// Since is when the item was acquired.
	Since clock.Instant
	// Started reports whether the item was sent to a worker.
	Started bool
	// lockedUntil is the end of the lock by this process's monotonic clock, less LockMargin.
	lockedUntil clock.Instant
	// stopped is set once the run has to end.
	stopped bool
	// lastProgress is when the item was acquired or its stream last delivered events.
	lastProgress clock.Instant
}

// NoteProgress records that a task's stream delivered events.
func (t *Task) NoteProgress(now clock.Instant) { t.lastProgress = now }

// Stopped reports whether the run has to end.
func (t *Task) Stopped() bool { return t.stopped }

// Runner tracks the tasks of one process. It is not safe for concurrent use.
type Runner struct {
	tasks map[uint64]*Task
	// inputBytes is the memory that the inputs of all tasks occupy, in bytes.
	inputBytes int64
	// results are acknowledgements that end items or count a failure, releases all others.
	results  ackQueue
	releases ackQueue
	// fencedEpoch is the epoch below which acquired items are rejected.
	fencedEpoch uint64
}

// New returns a runner without tasks.
func New() *Runner { return &Runner{tasks: map[uint64]*Task{}} }

// Count returns the number of tasks, and how many of them wait for a worker.
func (r *Runner) Count() (all, waiting int) {
	for _, task := range r.tasks {
		if !task.Started {
			waiting++
		}
	}
	return len(r.tasks), waiting
}

// InputBytes returns the memory that the inputs of all tasks occupy, in bytes.
func (r *Runner) InputBytes() int64 { return r.inputBytes }

// Add adds the items in the response to an acquire request and returns their tasks. The lock is
// counted from sentAt, when the request was sent, plus the time that the dispatcher delayed the
// response. So it ends here no later than at the dispatcher, however late the response arrives.
// Items that are tasks already, whose lock has ended or whose epoch is rejected are left out.
func (r *Runner) Add(resp *messages.AcquireResponse, sentAt, now clock.Instant) []*Task {
	until := sentAt.Add(clock.Milliseconds(resp.WaitedMs + resp.LockMs)).Add(-constants.LockMargin)
	var added []*Task
	for i := range resp.Items {
		acquiredItem := &resp.Items[i]
		if r.tasks[acquiredItem.Number] != nil || now >= until || dispatch.EpochOf(acquiredItem.Number) < r.fencedEpoch {
			continue
		}
		job := &dispatch.Job{ID: acquiredItem.Job, Host: acquiredItem.Host, Path: acquiredItem.Path, SubmittedMs: acquiredItem.SubmittedMs}
		item := &dispatch.Item{JobItem: acquiredItem.Item, Job: job, Events: acquiredItem.Events, LastID: acquiredItem.LastID, Preempted: acquiredItem.Preempted, ResumePending: acquiredItem.ResumePending}
		task := &Task{Number: acquiredItem.Number, Item: item, Run: item.StartRun(), Since: now, lockedUntil: until, lastProgress: now}
		r.inputBytes += item.InputBytes()
		r.tasks[task.Number] = task
		added = append(added, task)
	}
	return added
}

// MayRun reports whether a task may be sent to a worker or continue there now.
func (t *Task) MayRun(now clock.Instant) bool { return !t.stopped && now < t.lockedUntil }

// All returns the tasks in order of their numbers, so that the order of processing is deterministic.
func (r *Runner) All() []*Task {
	tasks := make([]*Task, 0, len(r.tasks))
	for _, task := range r.tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(left, right int) bool { return tasks[left].Number < tasks[right].Number })
	return tasks
}

// RejectEpochsBefore makes Add reject items of epochs below the given one. It is called when all tasks are
// reported to the leader of that epoch: responses of earlier leaders that arrive later are ignored.
func (r *Runner) RejectEpochsBefore(epoch uint64) { r.fencedEpoch = max(r.fencedEpoch, epoch) }

// Renewals returns the renewals of locks, to be sent in one message. It includes each task that may run
// and was acquired, or last delivered events, within RenewWithoutEventsMax: a new run may still be
// waiting for its first event. The other locks are left to expire.
func (r *Runner) Renewals(now clock.Instant) []messages.Acknowledgement {
	var entries []messages.Acknowledgement
	for _, task := range r.All() {
		if task.MayRun(now) && now.Sub(task.lastProgress) < constants.RenewWithoutEventsMax {
			entries = append(entries, messages.Acknowledgement{Kind: messages.AckRenew, Number: task.Number, Job: task.Item.Job.ID, Item: task.Item.ID})
		}
	}
	return entries
}

// HandleRenewals processes the verdicts on renewals that were sent at an instant, and returns the
// tasks that have to stop.
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

// StopExpired stops the tasks whose lock is about to expire and returns those that it stopped, so that
// their runs end before the next executor's run starts.
func (r *Runner) StopExpired(now clock.Instant) []*Task {
	var stopped []*Task
	for _, task := range r.All() {
		if now >= task.lockedUntil {
			stopped = append(stopped, r.Stop(task)...)
		}
	}
	return stopped
}

// StopJob stops the tasks of a job that has ended and returns those that it stopped.
func (r *Runner) StopJob(jobID string) []*Task {
	var stopped []*Task
	for _, task := range r.All() {
		if task.Item.Job.ID == jobID {
			stopped = append(stopped, r.Stop(task)...)
		}
	}
	return stopped
}

// Stop marks a task as stopped and returns it, or nil if it was stopped before.
func (r *Runner) Stop(task *Task) []*Task {
	if task.stopped {
		return nil
	}
	task.stopped = true
	return []*Task{task}
}

// Done removes a task and queues its acknowledgement, which is sent until it has a final verdict.
// A task that was removed before is ignored.
func (r *Runner) Done(task *Task, ack messages.Acknowledgement) {
	if r.tasks[task.Number] != task {
		return
	}
	delete(r.tasks, task.Number)
	r.inputBytes -= task.Item.InputBytes()
	ack.Number, ack.Job, ack.Item = task.Number, task.Item.Job.ID, task.Item.ID
	if ack.Kind == messages.AckRelease {
		ack.Events, ack.LastID = task.Item.Events, task.Item.LastID
	}
	if ack.Kind == messages.AckRelease && !ack.Failed {
		r.releases.add(ack)
		return
	}
	r.results.add(ack)
}
